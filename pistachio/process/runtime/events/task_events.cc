#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& TaskEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kTaskPlaced, Severity::kInfo, "task-placed",
       "A target was chosen for an attempt; the fields hold the reason and the targets it beat."},
      {EventCode::kTaskReturned, Severity::kInfo, "task-returned",
       "A rack gives an attempt back to the job queue without having started it."},
      {EventCode::kTaskEnded, Severity::kInfo, "task-ended",
       "An attempt has ended on its target and its declared amount is free again."},
      {EventCode::kTaskStopping, Severity::kInfo, "task-stopping",
       "An attempt is being checkpointed or stopped; the goal says what becomes of the task."},
      {EventCode::kTaskThrottled, Severity::kInfo, "task-throttled",
       "The policy limits a batch task's speed, or lifts the limit, for the services beside it."},
      {EventCode::kStartUncertain, Severity::kWarning, "start-uncertain",
       "A start had no answer. Its amount stays committed until the target's list tells, or the "
       "task lease has run out. Check the target if this repeats."},
      {EventCode::kTargetQuarantined, Severity::kWarning, "target-quarantined",
       "A target failed tasks of several jobs and gets one probe at a time. Check the target."},
      {EventCode::kTargetReleased, Severity::kInfo, "target-released",
       "A quarantined target ran a task well and takes work again."},
      {EventCode::kQuarantineBound, Severity::kWarning, "quarantine-bound",
       "A target fails what it starts, but too many of its rack are quarantined already. Look for "
       "a cause that the rack's targets share."},
      {EventCode::kRackTakenOver, Severity::kInfo, "rack-taken-over",
       "The ledger of a rack was read under a new epoch; its targets are asked what they run."},
      {EventCode::kStrayStopped, Severity::kWarning, "stray-stopped",
       "A target runs an attempt that is not on record there; it is being stopped and the target "
       "gets no work meanwhile. Frequent strays mean that a target ignores its task leases."},
      {EventCode::kTargetRestarted, Severity::kWarning, "target-restarted",
       "A target came back with a new boot number; what it ran is lost."},
      {EventCode::kTargetSilent, Severity::kWarning, "target-silent",
       "A target did not answer renewals; its tasks go elsewhere once their lease has run out."},
      {EventCode::kAssignmentStale, Severity::kInfo, "assignment-stale",
       "A late copy of an assignment that was settled long ago was dropped."},
      {EventCode::kLedgerRecordBad, Severity::kError, "ledger-record-bad",
       "A ledger could not be read whole, so its owner acts on nothing. Restore the ledger's keys "
       "in the key-value service, or run a release that knows its records."},
      {EventCode::kJobAccepted, Severity::kInfo, "job-accepted", "A job is on record."},
      {EventCode::kJobRefused, Severity::kInfo, "job-refused",
       "A job was refused; the reason is in the fields and was told to the operator."},
      {EventCode::kJobCancelled, Severity::kInfo, "job-cancelled",
       "A cancellation is on record; running tasks are being withdrawn."},
      {EventCode::kTaskAssigned, Severity::kInfo, "task-assigned",
       "The job queue chose a rack for an attempt; the fields hold the racks it beat."},
      {EventCode::kJobUnplaceable, Severity::kWarning, "job-unplaceable",
       "No host can hold a task of this job; the largest one considered is in the fields. Declare "
       "less, or cancel the job."},
      {EventCode::kTaskTakenBack, Severity::kInfo, "task-taken-back",
       "The end of an attempt is on record at the job queue, which decides what comes next."},
      {EventCode::kTaskGivenUp, Severity::kWarning, "task-given-up",
       "A task failed its last attempt. See the reason, mend the job and submit it anew."},
      {EventCode::kQueueRecovered, Severity::kInfo, "queue-recovered",
       "The ledger of a job queue was read under a new epoch."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
