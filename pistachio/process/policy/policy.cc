#include "pistachio/process/policy/policy.h"

namespace pistachio {

std::optional<PlacementDecision> Place(Policy& policy, const PlacementRequest& request,
                                       const std::vector<TargetView>& targets) {
  return std::visit([&](auto& chosen) { return chosen.Place(request, targets); }, policy);
}

void Learn(Policy& /*policy*/, const UsageSample& /*sample*/, const TargetView& /*view*/) {
  // Only policies that predict interference learn; none of the simple ones does.
}

std::vector<Reaction> React(Policy& /*policy*/, const TargetView& /*view*/, TimePoint /*now*/) {
  return {};
}

}  // namespace pistachio
