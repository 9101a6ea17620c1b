#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pistachio/connection/store.h"
#include "pistachio/process/ownership/cluster_view.h"

namespace pistachio {

/// \brief Number of waiting submissions of one queue, and how far the load records prove it.
struct PendingCount {
  SubmissionCount submissions;    ///< of which no task is known to have begun
  std::size_t cells = 0;          ///< cells of the installation
  std::size_t missing_cells = 0;  ///< cells whose submissions no load record counts
  CellId oldest_cell;             ///< cell with the oldest count
  /// All submissions that were accepted until then are considered; nothing if that is unknown.
  std::optional<TimePoint> complete_until;

  /// \returns true if the count considers all submissions that were accepted before \a now -
  ///   \a max_age.
  bool IsComplete(TimePoint now, Duration max_age) const;
  /// \returns the number of submissions of which no task is known to have begun, or nothing if
  ///   less than half of them certainly wait. The number is then no answer, in either direction.
  std::optional<std::uint64_t> Estimate() const;
};

/// \returns the number of waiting submissions of \a queue over all of \a cells.
///
/// The owner of a cell, or a host that stands in for it, may be down, suspended or cut off from the
/// store while other hosts accept submissions. The age of the count therefore comes from the
/// revision that each record names, not from the presence of an owner or of a record.
/// \param clock revisions that this host has learned
PendingCount CountPending(const ClusterView& view, const std::vector<CellId>& cells,
                          const QueueId& queue, const RevisionClock& clock);

}  // namespace pistachio
