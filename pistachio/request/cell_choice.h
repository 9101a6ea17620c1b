#pragma once

#include <optional>
#include <vector>

#include "pistachio/process/scheduling/move_choice.h"

namespace pistachio {

/// \brief A cell that a new submission may go to, with the properties that the choice depends on.
struct CellCandidate {
  CellId cell;
  bool local = false;         ///< the cell of the data centre where the request arrived
  bool owned = false;         ///< has an owner now
  std::uint32_t targets = 0;  ///< number of ready targets that the submission may run on
  /// Number of targets that it may run on once the evacuation of their data centre has ended.
  std::uint32_t evacuated_targets = 0;
  bool has_data_rack = false;  ///< has a target in the rack of the input data
  /// Load of the cell: its last load record and what this host has sent to it since.
  CellRoom room;
  /// Predicted end of the submission in the cell; either all candidates have one or none.
  std::optional<Forecast> forecast;
};

/// \brief Thresholds for sending submissions away from the local cell.
struct CellChoiceSettings {
  /// Backlog by which the local cell may exceed the best cell before submissions are redirected.
  /// Traffic between data centres has a cost, and a load record is up to 1 s old.
  Duration local_backlog_margin = std::chrono::milliseconds(400);
  /// Time beyond the earliest predicted end up to which cells get submissions, each in proportion
  /// to its processors and to what it lacks to this level. It covers the age of a load record, so
  /// that hosts that decide on the same records do not all choose the same cell.
  Duration forecast_horizon = std::chrono::milliseconds(1000);
  /// Share of CPU for long-running tasks by which a cell may exceed the mean of all cells before it
  /// gets no further long-running submissions. Each cell gets them in proportion to what it lacks
  /// to this level, so that the hosts together fill all cells evenly although they decide on the
  /// same load records. With a smaller value, the submissions that arrive between two load records
  /// would overshoot.
  double long_running_margin = 0.1;
  /// Number of free slots that the local cell must have for an urgent submission to stay, relative
  /// to the tasks of the submission's widest step. Other hosts use the same slots.
  double local_slot_ratio = 2.0;
};

/// \brief Chooses the permanent cell of a new submission.
///
/// Balances load between data centres and avoids cells that have lost their owner. A cell with
/// enough targets for the submission comes first, then one with its data, then an owned cell before
/// an unowned one. Among equals, long-running submissions go to each cell in proportion to the room
/// it has left. Submissions of tasks that end stay in the local cell if it has enough free slots,
/// and go to a cell with free slots otherwise. If there are none, and for best-effort submissions,
/// the local cell is chosen; if its backlog is much larger than that of other cells, a fraction of
/// the new submissions goes to these; with forecasts for all cells, the predicted end decides in
/// place of the backlog. All choices are random with weights: the hosts decide on
/// load records up to 1 s old, and would otherwise all choose the same cell.
///
/// Targets under evacuation count only if no cell has enough others; the submission then waits for
/// the end of the evacuation, or until it moves.
/// \param draw number in [0, 1) that differs between submissions
/// \returns nothing if no cell has a target for the submission
std::optional<CellId> ChooseCell(const std::vector<CellCandidate>& candidates,
                                 const CellDemand& demand, double draw,
                                 const CellChoiceSettings& settings);

}  // namespace pistachio
