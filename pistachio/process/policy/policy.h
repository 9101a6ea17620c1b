#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "pistachio/process/policy/interference_policy.h"
#include "pistachio/process/policy/simple_policies.h"
#include "pistachio/process/policy/types.h"

namespace pistachio {

/// \brief A placement policy: which of the targets with room a task goes to.
///
/// The alternatives share one interface through `Place`, `Learn` and `React`.
using Policy = std::variant<RandomPolicy, RoundRobinPolicy, LeastCommittedPolicy, BestFitPolicy,
                            TwoChoicesPolicy, InterferencePolicy>;

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

/// \returns events since the last call, for the log: model drift, a spent eviction budget.
std::vector<EventRecord> TakeEvents(Policy& policy);

/// \returns the event of a reaction that is about to be carried out, with its reason.
EventRecord EventOf(const Reaction& reaction);

}  // namespace pistachio
