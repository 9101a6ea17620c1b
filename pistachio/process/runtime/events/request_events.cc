#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& RequestEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kCallerAnswered, Severity::kInfo, "caller-answered",
       "A caller's request was answered; the path ends with the submission's id."},
      {EventCode::kPendingCounted, Severity::kInfo, "pending-counted",
       "A caller asked how many submissions of a queue wait. The fields hold the submissions that "
       "certainly wait, those whose start is not confirmed, the cells, those that no record "
       "counts, "
       "whether submissions may be between two counts after a change of owner, and the cell with "
       "the oldest count and its age. If that age is over the limit, a cell is missing or moves "
       "are "
       "unknown, the outcome is unavailable."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
