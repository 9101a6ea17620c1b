#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/policy/policy.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/tasks/types.h"

namespace pistachio {

// ---- Events of a rack controller.

/// \brief The ledger was read under a new epoch; \a snapshot and \a records are its content.
struct RackRecovered {
  Epoch epoch = 0;
  std::string snapshot;
  std::vector<std::string> records;
};
/// \brief Every record up to \a through is on record in the ledger.
struct RecordsCommitted {
  std::uint64_t through = 0;
};
/// \brief The rack's owner may start, and write about, work until this instant of its own clock.
struct ActUntilChanged {
  TimePoint act_until;
};
/// \brief The platform's list changed; it holds the rack's targets.
struct TargetsListed {
  std::vector<TargetListing> targets;
};
/// \brief The job queue sent a task, maybe not for the first time.
struct AssignmentReceived {
  TaskAssignment assignment;
};
/// \brief The job queue wants an attempt back: cancelled (never resumes) or preempted (resumes).
struct WithdrawalReceived {
  TaskId task;
  AttemptNumber attempt = 1;
  bool cancelled = false;
  UnitId queue;
};
/// \brief The job queue has the end of an attempt on record.
struct EndAcknowledged {
  TaskId task;
  AttemptNumber attempt = 1;
};
/// \brief A target answered a command, or did not.
struct CommandAnswered {
  std::uint64_t command = 0;
  CommandAnswer answer;
};
/// \brief Time has passed.
struct RackTick {};

using RackEvent = std::variant<RackRecovered, RecordsCommitted, ActUntilChanged, TargetsListed,
                               AssignmentReceived, WithdrawalReceived, EndAcknowledged,
                               CommandAnswered, RackTick>;

// ---- Actions of a rack controller.

/// \brief Append \a record to the rack's ledger; it is committed as number \a sequence.
struct AppendRecord {
  std::uint64_t sequence = 0;
  std::string record;
};
/// \brief Send \a command to \a target under \a epoch.
struct SendCommand {
  std::uint64_t command_id = 0;
  TargetId target;
  Epoch epoch = 0;
  TargetCommand command;
};
/// \brief Tell the job queue that an assignment is on record here.
struct ConfirmAssignment {
  UnitId queue;
  TaskId task;
  AttemptNumber attempt = 1;
};
/// \brief Tell the job queue how an attempt ended; repeated until acknowledged.
struct TellEnd {
  UnitId queue;
  AttemptEnd end;
};
/// \brief Log an event.
struct ReportEvent {
  EventRecord event;
};

using RackAction = std::variant<AppendRecord, SendCommand, ConfirmAssignment, TellEnd, ReportEvent>;

/// \brief Timing and bounds of a rack controller.
struct RackLimits {
  Duration task_lease_term = std::chrono::seconds(12);
  Duration renew_every = std::chrono::seconds(3);
  Duration command_timeout = std::chrono::seconds(2);
  Duration drift_margin = std::chrono::milliseconds(500);
  std::uint32_t failures_before_quarantine = 3;
  Duration quarantine_probe_every = std::chrono::seconds(30);
  double max_quarantined_share = 0.3;  ///< of a rack's targets
};

/// \brief Places and runs the tasks of one rack, as its one owner.
///
/// Pure: events in, actions out, with the caller's instant; no I/O, threads or clock.
class RackController {
 public:
  RackController(RackId rack, const RackLimits& limits, Policy policy);

  /// \brief Takes in one event. \returns what is to be done, in order.
  std::vector<RackAction> Handle(const RackEvent& event, TimePoint now);

  /// \returns the whole state for the ledger, in place of every record appended so far.
  std::string TakeSnapshot() const;

  /// \returns what is committed on each target: declared amounts of all tasks that may run there.
  std::map<TargetId, Resources> committed() const;

  /// \returns targets with a running instance of each service, for routing.
  std::map<ServiceId, std::vector<TargetId>> routes() const;

  /// \returns room left in the rack for tasks of this size, for the job queue's choice of rack.
  std::vector<TargetView> views() const;
};

}  // namespace pistachio
