#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& OwnershipEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kLeaseHeld, Severity::kInfo, "lease-held",
       "This host has a lease at the store and has written its member record under it."},
      {EventCode::kLeaseLapsed, Severity::kWarning, "lease-lapsed",
       "This host's lease has expired, and the store has removed all keys under it. The host "
       "requests a new lease automatically."},
      {EventCode::kCellTaken, Severity::kInfo, "cell-taken",
       "This host has become the owner of a cell. Its fencing token invalidates the orders of "
       "all earlier owners."},
      {EventCode::kTakeFailed, Severity::kInfo, "take-failed",
       "This host did not become the owner of a cell: another host took it first, or the store "
       "did not answer."},
      {EventCode::kCellLoaded, Severity::kInfo, "cell-loaded",
       "The submissions and progress of a cell were read from the store; the targets are asked "
       "what they run."},
      {EventCode::kCellLost, Severity::kWarning, "cell-lost",
       "This host is no longer the owner of a cell; the cause says how the loss was detected."},
      {EventCode::kCommitUnanswered, Severity::kWarning, "commit-unanswered",
       "A write of progress had no answer or was refused; the same write is sent again."},
      {EventCode::kRecordUnreadable, Severity::kError, "record-unreadable",
       "A record in the store cannot be read and is skipped. Compare the program versions of the "
       "hosts."},
      {EventCode::kSubmissionMissed, Severity::kError, "submission-missed",
       "A submission was in the cell's inbox in the store and not in the owner's memory. It is "
       "added "
       "late; nothing else would have started it. Report a fault of the program."},
      {EventCode::kWitnessesAnswered, Severity::kInfo, "witnesses-answered",
       "A majority of the targets that the former owner named as witnesses has answered the new "
       "owner, so the former one extends no lease any more. Runs on targets out of reach are "
       "waited "
       "for until their leases have expired. taken-ms is the time since the takeover, unowned-ms "
       "that since the cell had no owner. Without this line the wait is up to 4 s longer."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
