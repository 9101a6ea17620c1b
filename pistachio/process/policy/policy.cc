#include "pistachio/process/policy/policy.h"

#include <fmt/format.h>

namespace pistachio {

namespace internal {

EventCode CodeOf(ReactionKind kind) {
  switch (kind) {
    case ReactionKind::kThrottle:
      return EventCode::kThrottleAdvised;
    case ReactionKind::kRestore:
      return EventCode::kRestoreAdvised;
    case ReactionKind::kEvict:
      return EventCode::kEvictionAdvised;
  }
  return EventCode::kThrottleAdvised;
}

}  // namespace internal

std::optional<PlacementDecision> Place(Policy& policy, const PlacementRequest& request,
                                       const std::vector<TargetView>& targets) {
  return std::visit([&](auto& chosen) { return chosen.Place(request, targets); }, policy);
}

void Learn(Policy& policy, const UsageSample& sample, const TargetView& view) {
  if (auto* learning = std::get_if<InterferencePolicy>(&policy)) {
    learning->Learn(sample, view);
  }
}

std::vector<Reaction> React(Policy& policy, const TargetView& view, TimePoint now) {
  if (auto* reacting = std::get_if<InterferencePolicy>(&policy)) {
    return reacting->React(view, now);
  }
  return {};
}

std::vector<EventRecord> TakeEvents(Policy& policy) {
  if (auto* learning = std::get_if<InterferencePolicy>(&policy)) {
    return learning->TakeEvents();
  }
  return {};
}

EventRecord EventOf(const Reaction& reaction) {
  return {internal::CodeOf(reaction.kind),
          {{"target", reaction.target.str()},
           {"task", reaction.task.str()},
           {"speed", fmt::format("{:.2f}", reaction.throttle)},
           {"reason", reaction.reason}}};
}

}  // namespace pistachio
