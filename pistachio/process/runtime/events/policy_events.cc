#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& PolicyEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kTaskThrottled, Severity::kInfo, "task-throttled",
       "A batch task was slowed down because a service beside it stayed slow; see the reason."},
      {EventCode::kTaskRestored, Severity::kInfo, "task-restored",
       "A throttled batch task got speed back because the services beside it are calm."},
      {EventCode::kTaskEvictedForTail, Severity::kWarning, "task-evicted-for-tail",
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
