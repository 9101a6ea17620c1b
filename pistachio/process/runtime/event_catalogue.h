#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pistachio {

/// \brief Number of a logged event. Numbers are never reused; docs/EVENTS.md is the catalogue.
///
/// Ranges: 1000 process, 2000 membership, ownership and ledger, 3000 tasks and placement,
/// 4000 requests and routing, 5000 settings, 6000 interference policy.
enum class EventCode : int {
  // 1000: process (events/process_events.cc)
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kStoreUnreachable = 1004,
  kStoreReachable = 1005,
  kBadInput = 1006,
  kPeerConnected = 1007,
  kPeerLost = 1008,
  kMemberRejoining = 1009,

  // 2000: membership, ownership and ledger (events/membership_events.cc)
  kRosterChanged = 2001,
  kPeerExpelled = 2002,
  kSelfExpelled = 2003,
  kMemberLeft = 2004,
  kLeaseHeld = 2005,
  kLeaseLapsed = 2006,
  kLeaseVouched = 2007,
  kVouchRefused = 2008,
  kUnitAcquired = 2009,
  kUnitHandedOver = 2010,
  kSlotsSettled = 2011,
  kLedgerRecovered = 2101,
  kLedgerFenced = 2102,
  kLedgerSnapshotWritten = 2103,
  kLedgerWriteInDoubt = 2104,
  kLedgerDamaged = 2105,
  kLedgerRecordTooLarge = 2106,

  // 3000: tasks and placement (events/task_events.cc)
  kTaskPlaced = 3001,
  kTaskReturned = 3002,
  kTaskEnded = 3003,
  kTaskStopping = 3004,
  kTaskThrottled = 3005,
  kStartUncertain = 3006,
  kTargetQuarantined = 3007,
  kTargetReleased = 3008,
  kQuarantineBound = 3009,
  kRackTakenOver = 3010,
  kStrayStopped = 3011,
  kTargetRestarted = 3012,
  kTargetSilent = 3013,
  kAssignmentStale = 3014,
  kLedgerRecordBad = 3015,
  kJobAccepted = 3016,
  kJobRefused = 3017,
  kJobCancelled = 3018,
  kTaskAssigned = 3019,
  kJobUnplaceable = 3020,
  kTaskTakenBack = 3021,
  kTaskGivenUp = 3022,
  kQueueRecovered = 3023,

  // 4000: requests and routing (events/request_events.cc)
  kRequestRouted = 4001,
  kRequestQueued = 4002,
  kRequestRefused = 4003,
  kRequestFinished = 4004,
  kRequestJoined = 4005,
  kAnswerDropped = 4006,
  kTargetEjected = 4007,
  kTargetProbed = 4008,
  kTargetRecovered = 4009,
  kEjectionBoundReached = 4010,
  kSlotReleasedByBound = 4011,

  // 5000: settings (events/settings_events.cc)
  kSettingsInForce = 5001,
  kSettingsWatchStarted = 5002,
  kSettingsWatchStopped = 5003,
  kSettingsWatchFailing = 5004,
  kSettingsUnreadable = 5005,
  kSettingsForked = 5006,
  kSettingsLowered = 5007,
  kSettingsAccepted = 5008,
  kSettingsRejected = 5009,
  kSettingsUnknown = 5010,

  // 6000: interference policy (events/policy_events.cc)
  kThrottleAdvised = 6001,
  kRestoreAdvised = 6002,
  kEvictionAdvised = 6003,
  kEvictionBudgetSpent = 6004,
  kModelDrift = 6005,
};

/// \brief How urgent an event is to an operator.
enum class Severity { kInfo, kWarning, kError };

/// \brief One row of the catalogue.
struct EventDescription {
  EventCode code;
  Severity severity;
  const char* name;     ///< short, lower-case, with dashes
  const char* meaning;  ///< what happened and, from warnings up, what an operator does
};

namespace internal {

// Each area keeps its own rows beside its own code range, so that areas grow apart.
const std::vector<EventDescription>& ProcessEvents();
const std::vector<EventDescription>& MembershipEvents();
const std::vector<EventDescription>& TaskEvents();
const std::vector<EventDescription>& RequestEvents();
const std::vector<EventDescription>& SettingsEvents();
const std::vector<EventDescription>& PolicyEvents();

}  // namespace internal

/// \returns every event, by rising number.
const std::vector<EventDescription>& EventCatalogue();

/// \returns the row of \a code, or nothing if the catalogue lacks it.
std::optional<EventDescription> FindEvent(EventCode code);

/// \returns docs/EVENTS.md, made from the catalogue.
std::string RenderEventsPage();

/// \brief One event as decided by pure code, to be written by whoever carries out its actions.
struct EventRecord {
  EventCode code;
  std::vector<std::pair<std::string, std::string>> fields;

  /// \returns `name=value` pairs after the number and the name, values quoted where needed.
  std::string str() const;
};

}  // namespace pistachio
