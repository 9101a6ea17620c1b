#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/policy/types.h"
#include "pistachio/process/runtime/random.h"

namespace pistachio {

/// \brief Places on any feasible target, each as likely.
struct RandomPolicy {
  RandomSource random;
};

/// \brief Places on feasible targets in turn.
struct RoundRobinPolicy {
  std::size_t next = 0;
};

/// \brief Places where the largest committed share after placing is smallest.
struct LeastCommittedPolicy {};

/// \brief A placement policy: which of the feasible targets a task goes to.
///
/// The alternatives share one interface through `Place`, `Learn` and `React`.
using Policy = std::variant<RandomPolicy, RoundRobinPolicy, LeastCommittedPolicy>;

/// \brief Picks a target for a task among \a targets that have room for it.
///
/// \param targets candidates; those without room for the declared amount are passed over
/// \returns the decision, or nothing if no target has room. Cost: linear in the targets.
std::optional<PlacementDecision> Place(Policy& policy, const PlacementRequest& request,
                                       const std::vector<TargetView>& targets);

/// \brief Takes in one lagging measurement of a task among its neighbours on \a view.
void Learn(Policy& policy, const UsageSample& sample, const TargetView& view);

/// \brief Decides what to throttle, restore or evict on \a view now.
std::vector<Reaction> React(Policy& policy, const TargetView& view, TimePoint now);

}  // namespace pistachio
