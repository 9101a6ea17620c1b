#pragma once

#include <optional>
#include <vector>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief A cell that a new submission may go to, with the properties that the choice depends on.
struct CellCandidate {
  CellId cell;
  bool local = false;               ///< the cell of the data centre where the request arrived
  bool owned = false;               ///< has an owner now
  std::uint32_t targets = 0;        ///< number of ready targets that the submission may run on
  bool has_data_rack = false;       ///< has a target in the rack of the input data
  Duration backlog{0};              ///< expected wait of batch work that is submitted now
  double long_running_share = 0.0;  ///< fraction of CPU that long-running tasks request
};

/// \brief Thresholds for sending submissions away from the local cell.
struct CellChoiceSettings {
  /// Backlog by which the local cell may exceed the best cell before submissions are redirected.
  /// Traffic between data centres has a cost, and a load record is up to 1 s old.
  Duration local_backlog_margin = std::chrono::milliseconds(400);
  /// Share of CPU for long-running tasks by which the local cell may exceed the best cell before
  /// long-running submissions are redirected: about one submission in a cell of 150 targets.
  double long_running_margin = 0.02;
  /// Excess over `long_running_margin` at which all long-running submissions are redirected. With a
  /// smaller value, all submissions that arrive between two load records would go to one cell.
  double long_running_full_redirect = 0.1;
};

/// \brief Chooses the permanent cell of a new submission.
///
/// Balances load between data centres and avoids cells that have lost their owner. A cell with the
/// submission's data comes first, then an owned cell before an unowned one, then the local cell.
/// If the local cell has a much larger backlog than the best cell, or a much larger share of
/// long-running tasks, a fraction of the new submissions goes to the best cell. A fraction limits
/// overshoot: the hosts decide on load records up to 1 s old and would otherwise all redirect.
/// \param long_running the submission has long-running tasks
/// \param draw number in [0, 1) that differs between submissions
/// \returns nothing if no cell has a target for the submission
std::optional<CellId> ChooseCell(const std::vector<CellCandidate>& candidates, bool long_running,
                                 double draw, const CellChoiceSettings& settings);

}  // namespace pistachio
