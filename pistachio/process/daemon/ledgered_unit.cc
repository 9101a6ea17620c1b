#include "pistachio/process/daemon/ledgered_unit.h"

#include "pistachio/process/runtime/random.h"

namespace pistachio {

namespace internal {

constexpr char kRackPrefix[] = "rack/";
constexpr char kQueuePrefix[] = "queue/";

}  // namespace internal

UnitId UnitOfRack(const RackId& rack) { return UnitId(internal::kRackPrefix + rack.str()); }

std::optional<RackId> RackOfUnit(const UnitId& unit) {
  const std::string prefix = internal::kRackPrefix;
  if (unit.str().rfind(prefix, 0) != 0) {
    return std::nullopt;
  }
  return RackId(unit.str().substr(prefix.size()));
}

UnitId UnitOfQueue(std::uint32_t number) {
  return UnitId(internal::kQueuePrefix + std::to_string(number));
}

UnitId QueueOfTeam(const TeamId& team, std::uint32_t queues) {
  return UnitOfQueue(static_cast<std::uint32_t>(StableHash(team.str()) % queues));
}

}  // namespace pistachio
