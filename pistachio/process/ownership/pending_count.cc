#include "pistachio/process/ownership/pending_count.h"

#include <algorithm>

namespace pistachio {

bool PendingCount::IsComplete(TimePoint now, Duration max_age) const {
  return this->cells != 0 && this->missing_cells == 0 && this->complete_until &&
         now - *this->complete_until <= max_age;
}

std::optional<std::uint64_t> PendingCount::Estimate() const {
  const auto& [waiting, unconfirmed] = this->submissions;
  return unconfirmed <= waiting ? std::optional(waiting + unconfirmed) : std::nullopt;
}

namespace internal {

/// \returns true if another cell has a record of an owner that took it after \a counted_revision.
/// The owner before it may have moved submissions to \a cell in between, which neither record
/// counts.
bool MayMissMoves(const ClusterView& view, const std::vector<CellId>& cells, const CellId& cell,
                  std::uint64_t counted_revision) {
  return std::any_of(cells.begin(), cells.end(), [&](const CellId& other) {
    const auto owner = view.OwnerOf(other);
    return other != cell && owner && counted_revision < owner->revision &&
           owner->revision < view.LoadRevisionOf(other);
  });
}

}  // namespace internal

PendingCount CountPending(const ClusterView& view, const std::vector<CellId>& cells,
                          const QueueId& queue, const RevisionClock& clock) {
  PendingCount count;
  count.cells = cells.size();
  std::optional<std::uint64_t> oldest;
  for (const CellId& cell : cells) {
    const auto load = view.LoadOf(cell);
    if (!load || !load->counted_revision ||
        internal::MayMissMoves(view, cells, cell, *load->counted_revision)) {
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
