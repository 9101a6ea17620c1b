#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& MembershipEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kRosterChanged, Severity::kInfo, "roster-changed",
       "A newer version of the data centre's member list was read or written."},
      {EventCode::kPeerExpelled, Severity::kWarning, "peer-expelled",
       "Another member's lease ran out and this member expelled it. Check the host named."},
      {EventCode::kSelfExpelled, Severity::kWarning, "self-expelled",
       "This member was expelled after its lease ran out; it starts again as a new member. If it "
       "repeats, check the host for pauses and its path to the key-value service."},
      {EventCode::kMemberLeft, Severity::kInfo, "member-left",
       "This member handed its units over and released its lease."},
      {EventCode::kLeaseHeld, Severity::kInfo, "lease-held",
       "This member has the right to act on its units."},
      {EventCode::kLeaseLapsed, Severity::kWarning, "lease-lapsed",
       "Neither the key-value service nor every peer renewed the lease: no new starts. What runs "
       "goes on. Check the service and the peers."},
      {EventCode::kLeaseVouched, Severity::kWarning, "lease-vouched",
       "The lease rests on the promises of the peers, since its record cannot be renewed. Check "
       "the key-value service."},
      {EventCode::kVouchRefused, Severity::kInfo, "vouch-refused",
       "A peer asked not to be expelled, but its expulsion may be under way or done."},
      {EventCode::kUnitAcquired, Severity::kInfo, "unit-acquired",
       "This member owns a unit under the epoch given."},
      {EventCode::kUnitHandedOver, Severity::kInfo, "unit-handed-over",
       "This member gave a drained unit to its successor."},
      {EventCode::kSlotsSettled, Severity::kInfo, "slots-settled",
       "The division of target slots follows the roster version given from now on."},
      {EventCode::kLedgerRecovered, Severity::kInfo, "ledger-recovered",
       "A unit's ledger was read under the fence of a new epoch."},
      {EventCode::kLedgerFenced, Severity::kWarning, "ledger-fenced",
       "A newer owner wrote to a unit's ledger: this owner stopped acting on it."},
      {EventCode::kLedgerSnapshotWritten, Severity::kInfo, "ledger-snapshot-written",
       "A snapshot covers the unit's older records; their slots are free again."},
      {EventCode::kLedgerWriteInDoubt, Severity::kInfo, "ledger-write-in-doubt",
       "The answer to a write was lost; it is read back before anything depends on it."},
      {EventCode::kLedgerDamaged, Severity::kError, "ledger-damaged",
       "A unit's ledger lacks records or a snapshot part. Its owner does not act. Find out who "
       "changed the keys by hand; then restore them or release the unit."},
      {EventCode::kLedgerRecordTooLarge, Severity::kError, "ledger-record-too-large",
       "A record exceeds what the key-value service takes and cannot be committed."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
