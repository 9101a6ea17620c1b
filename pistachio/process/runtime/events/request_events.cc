#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& RequestEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kRequestRouted, Severity::kInfo, "request-routed",
       "An attempt was sent to a target; the fields name the reason and the targets it beat."},
      {EventCode::kRequestQueued, Severity::kInfo, "request-queued",
       "No slot was free, so the request waits by its deadline."},
      {EventCode::kRequestRefused, Severity::kInfo, "request-refused",
       "A request was turned away with the outcome and the reason given."},
      {EventCode::kRequestFinished, Severity::kInfo, "request-finished",
       "A request that had been taken in got its outcome."},
      {EventCode::kRequestJoined, Severity::kInfo, "request-joined",
       "The same id came again while it runs; this caller gets the same outcome."},
      {EventCode::kAnswerDropped, Severity::kInfo, "answer-dropped",
       "An answer came late, twice or for an attempt that is gone, and was dropped."},
      {EventCode::kTargetEjected, Severity::kWarning, "target-ejected",
       "A target fails or is far slower than the others and gets no new requests for a while. "
       "Check that target if it happens again."},
      {EventCode::kTargetProbed, Severity::kInfo, "target-probed",
       "An ejected target gets single requests again."},
      {EventCode::kTargetRecovered, Severity::kInfo, "target-recovered",
       "A target answered its probes well and takes its full share again, step by step."},
      {EventCode::kEjectionBoundReached, Severity::kWarning, "ejection-bound-reached",
       "A target should be ejected, but too many of its service's targets are already. Check the "
       "service: its fault is likely not one of single targets."},
      {EventCode::kSlotReleasedByBound, Severity::kWarning, "slot-released-by-bound",
       "An attempt did not end by its deadline and the bound after it; its slot is free again. "
       "Check whether the target enforces deadlines."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
