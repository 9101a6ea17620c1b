#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& RequestEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kCallerAnswered, Severity::kInfo, "caller-answered",
       "A caller's request was answered; the path ends with the submission's id."},
      {EventCode::kPendingCounted, Severity::kInfo, "pending-counted",
       "A caller asked how many submissions of a queue wait. The fields hold the answer, the "
       "number "
       "of cells, of those without a load record, and the cell with the oldest record and its "
       "age."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
