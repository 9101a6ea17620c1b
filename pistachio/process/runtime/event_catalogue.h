#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pistachio {

/// \brief Number of a logged event. The number of a deleted event is never used again.
///
/// docs/EVENTS.md lists all events. Ranges: 1000 process, 2000 ownership of cells, 3000 tasks and
/// targets, 4000 requests, 5000 configuration.
enum class EventCode : int {
  // 1000: process (events/process_events.cc)
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kStoreUnreachable = 1004,
  kStoreReachable = 1005,
  kBadInput = 1006,
  kSettingsReread = 1010,
  kSettingsRefused = 1011,
  kLogLinesDropped = 1012,
  kTrafficCounts = 1013,

  // 2000: ownership (events/ownership_events.cc)
  kLeaseHeld = 2005,
  kLeaseLapsed = 2006,
  kCellTaken = 2201,
  kTakeFailed = 2202,
  kCellLoaded = 2203,
  kCellLost = 2204,
  kCommitUnanswered = 2205,
  kRecordUnreadable = 2206,
  kSubmissionMissed = 2207,
  kWitnessesAnswered = 2208,

  // 3000: tasks and targets (events/task_events.cc)
  kOrphanedRunStopped = 3011,
  kStartCancelled = 3012,
  kTaskAssigned = 3101,
  kRunStarted = 3102,
  kStartNotDone = 3103,
  kRunEnded = 3104,
  kRunStopping = 3105,
  kRunMoved = 3106,
  kTaskRequeued = 3107,
  kSubmissionCancelled = 3108,
  kSubmissionFailed = 3109,
  kSubmissionEnded = 3110,
  kSubmissionMoved = 3111,
  kMoveRejected = 3112,
  kTaskSuspected = 3113,
  kTaskCleared = 3114,
  kSubmissionLeaves = 3115,
  kSubmissionStays = 3116,
  kStopLate = 3117,
  kLateEnd = 3118,
  kEndForwarded = 3119,
  kWorkDelayed = 3120,
  kRunPreempted = 3121,
  kTaskOverdue = 3122,
  kTargetListed = 3201,
  kTargetUnlisted = 3202,
  kTargetSilent = 3203,
  kTargetAnswers = 3204,
  kTargetRunsLost = 3205,
  kTargetSuspect = 3206,
  kTargetPaced = 3207,
  kTargetUnreadable = 3208,
  kCellLoad = 3209,
  kTargetRestarted = 3210,
  kEvacuationWaits = 3211,
  kTargetCrashed = 3212,
  kHarmWait = 3213,
  kTargetReconciled = 3214,
  kTargetRestartSeen = 3215,

  // 4000: requests (events/request_events.cc)
  kCallerAnswered = 4101,
  kPendingCounted = 4102,

  // 5000: configuration (events/configuration_events.cc)
  kConfigurationInForce = 5101,
  kConfigurationUnreadable = 5102,
  kEvacuationBegun = 5103,
  kEvacuationEnded = 5104,
  kEvacuationUnreadable = 5105,
  kEvacuationsOutdated = 5106,
  kEvacuationsCurrent = 5107,
};

/// \brief Urgency of an event for an operator; the level of its log line.
enum class Severity { kInfo, kWarning, kError };

/// \brief Catalogue entry of one event.
struct EventDescription {
  EventCode code;
  Severity severity;
  const char* name;     ///< lower-case words joined by dashes
  const char* meaning;  ///< what happened and, for warnings and errors, what an operator does
};

namespace internal {

// Catalogue entries of each range of numbers, by rising number. The tables are in separate files so
// that changes to different areas do not conflict.
const std::vector<EventDescription>& ProcessEvents();
const std::vector<EventDescription>& OwnershipEvents();
const std::vector<EventDescription>& TaskEvents();
const std::vector<EventDescription>& RequestEvents();
const std::vector<EventDescription>& ConfigurationEvents();

}  // namespace internal

/// \returns the entries of all events, by rising number.
const std::vector<EventDescription>& EventCatalogue();

/// \returns the entry of \a code, or nothing if the catalogue has none.
std::optional<EventDescription> FindEvent(EventCode code);

/// \returns the text of docs/EVENTS.md, generated from the catalogue.
std::string RenderEventsPage();

/// \brief One occurrence of an event.
///
/// Code without input or output, such as Node, returns records; its caller writes them to the log.
struct EventRecord {
  EventCode code;
  std::vector<std::pair<std::string, std::string>> fields;  ///< names and values, in log order

  /// \returns the line for the log: `E` and the number, the event's name, then the fields as
  ///   `name=value`, with quotes around values that need them. The name of an event without a
  ///   catalogue entry is `uncatalogued`.
  std::string str() const;
};

}  // namespace pistachio
