#include "pistachio/process/ownership/pending_count.h"

namespace pistachio {

bool PendingCount::IsComplete(TimePoint now, Duration max_age) const {
  return this->cells != 0 && this->missing_cells == 0 && this->complete_until &&
         now - *this->complete_until <= max_age;
}

std::optional<std::uint64_t> PendingCount::Estimate() const {
  const auto& [waiting, unconfirmed] = this->submissions;
  return unconfirmed <= waiting ? std::optional(waiting + unconfirmed) : std::nullopt;
}

PendingCount CountPending(const ClusterView& view, const std::vector<CellId>& cells,
                          const QueueId& queue, const RevisionClock& clock) {
  PendingCount count;
  count.cells = cells.size();
  std::optional<std::uint64_t> oldest;
  for (const CellId& cell : cells) {
    const auto load = view.LoadOf(cell);
    if (!load || !load->counted_revision) {
      count.missing_cells++;
      continue;
    }
    const auto pending = load->pending.find(queue);
    if (pending != load->pending.end()) {
      count.submissions.waiting += pending->second.waiting;
      count.submissions.unconfirmed += pending->second.unconfirmed;
    }
    if (!oldest || *load->counted_revision < *oldest) {
      oldest = load->counted_revision;
      count.oldest_cell = cell;
    }
  }
  count.complete_until = oldest ? clock.TimeOf(*oldest) : std::nullopt;
  return count;
}

}  // namespace pistachio
