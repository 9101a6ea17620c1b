#include "pistachio/process/policy/room.h"

#include <algorithm>

namespace pistachio {

namespace internal {

constexpr std::size_t kBeatenKept = 3;

double Share(std::int64_t used, std::int64_t capacity) {
  return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
}

bool IsBetter(const ScoredTarget& a, const ScoredTarget& b) {
  if (a.score != b.score) {
    return a.score < b.score;
  }
  return a.target < b.target;
}

}  // namespace internal

bool HasRoom(const TargetView& target, const Resources& declared) {
  return (target.committed + declared).FitsIn(target.capacity);
}

double CommittedShare(const TargetView& target, const Resources& declared) {
  const Resources after = target.committed + declared;
  return std::max({internal::Share(after.cpu_millis, target.capacity.cpu_millis),
                   internal::Share(after.memory_mib, target.capacity.memory_mib),
                   internal::Share(after.accelerators, target.capacity.accelerators)});
}

std::vector<std::size_t> TargetsWithRoom(const std::vector<TargetView>& targets,
                                         const Resources& declared) {
  std::vector<std::size_t> with_room;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (HasRoom(targets[i], declared)) {
      with_room.push_back(i);
    }
  }
  return with_room;
}

std::optional<PlacementDecision> PickLowest(std::vector<ScoredTarget> scored, std::string reason) {
  if (scored.empty()) {
    return std::nullopt;
  }
  const std::size_t kept = std::min(scored.size(), internal::kBeatenKept + 1);
  const auto kept_end = scored.begin() + static_cast<std::ptrdiff_t>(kept);
  std::partial_sort(scored.begin(), kept_end, scored.end(), internal::IsBetter);
  PlacementDecision decision;
  decision.target = scored.front().target;
  decision.score = scored.front().score;
  decision.reason = std::move(reason);
  decision.beaten.assign(scored.begin() + 1, kept_end);
  return decision;
}

}  // namespace pistachio
