#include "pistachio/process/policy/simple_policies.h"

#include "pistachio/process/policy/room.h"

namespace pistachio {

namespace internal {

// The library's distributions differ between implementations; a remainder gives the same choice
// everywhere, and its bias is far below one in a billion for any number of targets.
std::size_t DrawBelow(RandomSource& random, std::size_t bound) {
  return static_cast<std::size_t>(random() % bound);
}

ScoredTarget ScoreByShare(const TargetView& target, const Resources& declared, double sign) {
  return {target.target, sign * CommittedShare(target, declared)};
}

}  // namespace internal

std::optional<PlacementDecision> RandomPolicy::Place(const PlacementRequest& request,
                                                     const std::vector<TargetView>& targets) {
  const auto with_room = TargetsWithRoom(targets, request.declared);
  if (with_room.empty()) {
    return std::nullopt;
  }
  const std::size_t drawn = with_room[internal::DrawBelow(this->random, with_room.size())];
  return PickLowest({{targets[drawn].target, 0.0}}, "random among those with room");
}

std::optional<PlacementDecision> RoundRobinPolicy::Place(const PlacementRequest& request,
                                                         const std::vector<TargetView>& targets) {
  for (std::size_t step = 0; step < targets.size(); ++step) {
    const std::size_t index = (this->next + step) % targets.size();
    if (HasRoom(targets[index], request.declared)) {
      this->next = index + 1;
      return PickLowest({{targets[index].target, 0.0}}, "next in turn with room");
    }
  }
  return std::nullopt;
}

std::optional<PlacementDecision> LeastCommittedPolicy::Place(
    const PlacementRequest& request, const std::vector<TargetView>& targets) {
  std::vector<ScoredTarget> scored;
  for (const std::size_t index : TargetsWithRoom(targets, request.declared)) {
    scored.push_back(internal::ScoreByShare(targets[index], request.declared, 1.0));
  }
  return PickLowest(std::move(scored), "least committed share after placing");
}

std::optional<PlacementDecision> BestFitPolicy::Place(const PlacementRequest& request,
                                                      const std::vector<TargetView>& targets) {
  std::vector<ScoredTarget> scored;
  for (const std::size_t index : TargetsWithRoom(targets, request.declared)) {
    scored.push_back(internal::ScoreByShare(targets[index], request.declared, -1.0));
  }
  return PickLowest(std::move(scored), "least room left after placing");
}

std::optional<PlacementDecision> TwoChoicesPolicy::Place(const PlacementRequest& request,
                                                         const std::vector<TargetView>& targets) {
  const auto with_room = TargetsWithRoom(targets, request.declared);
  if (with_room.empty()) {
    return std::nullopt;
  }
  std::vector<ScoredTarget> scored;
  for (int draw = 0; draw < 2; ++draw) {
    const std::size_t drawn = with_room[internal::DrawBelow(this->random, with_room.size())];
    scored.push_back(internal::ScoreByShare(targets[drawn], request.declared, 1.0));
  }
  return PickLowest(std::move(scored), "less committed of two drawn");
}

}  // namespace pistachio
