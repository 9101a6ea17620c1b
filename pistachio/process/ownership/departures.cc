#include "pistachio/process/ownership/departures.h"

#include <algorithm>

namespace pistachio {

namespace internal {

/// Time after which a move is forgotten. A record of the destination that does not cover it by then
/// is older than any count that is still answered, see RequestHandlerSettings::max_count_age.
constexpr Duration kMaxDepartureAge = std::chrono::seconds(10);

}  // namespace internal

void Departures::Add(const QueueId& queue, const CellId& destination, std::uint64_t revision,
                     TimePoint now) {
  this->departures.push_back(Departure{queue, destination, revision, now});
}

void Departures::AddTo(const std::map<CellId, std::uint64_t>& counted_revisions, TimePoint now,
                       LoadRecord* load) {
  const auto counted_elsewhere = [&](const Departure& departure) {
    return counted_revisions.at(departure.destination) >= departure.revision ||
           now - departure.left_at > internal::kMaxDepartureAge;
  };
  this->departures.erase(
      std::remove_if(this->departures.begin(), this->departures.end(), counted_elsewhere),
      this->departures.end());
  for (const Departure& departure : this->departures) {
    load->pending[departure.queue].waiting++;
  }
}

std::map<CellId, std::uint64_t> ReadCountedRevisions(const ClusterView& view,
                                                     const std::vector<CellId>& cells) {
  std::map<CellId, std::uint64_t> revisions;
  for (const CellId& cell : cells) {
    const auto record = view.LoadOf(cell);
    revisions[cell] = record ? record->counted_revision.value_or(0) : 0;
  }
  return revisions;
}

}  // namespace pistachio
