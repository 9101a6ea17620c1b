#include "pistachio/process/ownership/pending_count.h"

namespace pistachio {

PendingCount CountPending(const ClusterView& view, const std::vector<CellId>& cells,
                          const QueueId& queue, const RevisionClock& clock) {
  PendingCount count;
  count.cells = cells.size();
  std::uint64_t oldest_revision = 0;
  for (const CellId& cell : cells) {
    const auto load = view.LoadOf(cell);
    if (!load) {
      count.missing_cells++;
      continue;
    }
    const auto pending = load->pending.find(queue);
    count.waiting += pending == load->pending.end() ? 0 : pending->second;
    const std::uint64_t revision = view.LoadRevisionOf(cell);
    if (oldest_revision == 0 || revision < oldest_revision) {
      oldest_revision = revision;
      count.oldest_cell = cell;
    }
  }
  count.written_after = clock.TimeOf(oldest_revision);
  return count;
}

}  // namespace pistachio
