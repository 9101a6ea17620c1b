#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& RequestEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kCallerAnswered, Severity::kInfo, "caller-answered",
       "A caller's request was answered; the path ends with the submission's id."},
      {EventCode::kPendingCounted, Severity::kInfo, "pending-counted",
       "A caller asked how many submissions of a queue wait. The fields hold the number "
       "that certainly wait, the number of those whose start is not confirmed, the number of "
       "cells, of those that no load record counts, and the cell with the oldest count "
       "and its age. If that age is over the limit or a cell is missing, the outcome is "
       "unavailable."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
