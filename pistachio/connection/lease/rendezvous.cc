#include "pistachio/connection/lease/rendezvous.h"

#include <utility>

#include "pistachio/process/runtime/random.h"

namespace pistachio::internal {

std::optional<MemberId> RendezvousWinner(const std::vector<MemberId>& members,
                                         const std::string& key) {
  std::optional<std::pair<std::uint64_t, MemberId>> best;
  const std::uint64_t key_hash = StableHash(key);
  for (const MemberId& member : members) {
    const std::pair<std::uint64_t, MemberId> candidate(StableHash(member.str(), key_hash), member);
    if (!best || *best < candidate) {
      best = candidate;
    }
  }
  return best ? std::optional<MemberId>(best->second) : std::nullopt;
}

}  // namespace pistachio::internal
