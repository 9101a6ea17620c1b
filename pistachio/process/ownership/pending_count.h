#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pistachio/connection/store.h"
#include "pistachio/process/ownership/cluster_view.h"

namespace pistachio {

/// \brief Number of waiting submissions of one queue, and how far the records prove it.
struct PendingCount {
  std::uint64_t waiting = 0;      ///< uncancelled submissions of which no task has begun
  std::size_t cells = 0;          ///< cells of the installation
  std::size_t missing_cells = 0;  ///< cells without a readable load record
  CellId oldest_cell;             ///< cell with the oldest record
  /// When the oldest record was written, or before; nothing if that is unknown.
  std::optional<TimePoint> written_after;
};

/// \returns the number of waiting submissions of \a queue over all of \a cells.
/// \param clock revisions that this host has learned
PendingCount CountPending(const ClusterView& view, const std::vector<CellId>& cells,
                          const QueueId& queue, const RevisionClock& clock);

}  // namespace pistachio
