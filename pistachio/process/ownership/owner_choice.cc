#include "pistachio/process/ownership/owner_choice.h"

#include <algorithm>
#include <tuple>

#include "pistachio/process/runtime/random.h"

namespace pistachio {

namespace internal {

/// Minimum ratio of the new owner's CPU to the old owner's. A handover pauses scheduling in the
/// cell for about 100 ms, so a smaller gain is not worth it.
constexpr std::int64_t kHandoverCpuRatio = 2;

}  // namespace internal

std::size_t RankOf(const HostId& host, const std::vector<OwnerCandidate>& candidates,
                   const CellId& cell) {
  std::vector<std::tuple<double, std::uint64_t, HostId>> ranks;
  for (const OwnerCandidate& candidate : candidates) {
    const double cpu = static_cast<double>(std::max<std::int64_t>(1, candidate.cpu_millis));
    const double cells_per_cpu = static_cast<double>(candidate.owned_cells + 1) / cpu;
    ranks.emplace_back(cells_per_cpu, StableHash(candidate.host.str() + cell.str()),
                       candidate.host);
  }
  std::sort(ranks.begin(), ranks.end());
  const auto found = std::find_if(ranks.begin(), ranks.end(), [&host](const auto& rank) {
    return std::get<HostId>(rank) == host;
  });
  return static_cast<std::size_t>(std::distance(ranks.begin(), found));
}

bool HasMuchStrongerIdleHost(const OwnerCandidate& owner,
                             const std::vector<OwnerCandidate>& candidates) {
  return std::any_of(candidates.begin(), candidates.end(), [&](const OwnerCandidate& candidate) {
    return candidate.owned_cells == 0 &&
           candidate.cpu_millis >= internal::kHandoverCpuRatio * owner.cpu_millis;
  });
}

}  // namespace pistachio
