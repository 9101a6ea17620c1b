#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& PolicyEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kThrottleAdvised, Severity::kInfo, "throttle-advised",
       "The policy slows a batch task down because a service beside it stayed slow; see the "
       "reason."},
      {EventCode::kRestoreAdvised, Severity::kInfo, "restore-advised",
       "The policy gives a throttled batch task speed back because the services beside it are "
       "calm."},
      {EventCode::kEvictionAdvised, Severity::kWarning, "eviction-advised",
       "A batch task is checkpointed and moved because throttling did not help a service beside "
       "it. "
       "If it happens often, keep that work off this service's racks by a placement rule."},
      {EventCode::kEvictionBudgetSpent, Severity::kWarning, "eviction-budget-spent",
       "A service stays slow, but the budget of evictions is spent. Drain the target, or add "
       "capacity."},
      {EventCode::kModelDrift, Severity::kWarning, "model-drift",
       "Measurements of a class have moved away from what was learned of it; a new version of the "
       "work is the usual cause. Nothing to do unless it goes on."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
