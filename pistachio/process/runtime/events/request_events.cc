#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& RequestEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kCallerAnswered, Severity::kInfo, "caller-answered",
       "A caller's request was answered; the path ends with the submission's id."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
