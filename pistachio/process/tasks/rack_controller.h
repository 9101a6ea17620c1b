#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/policy/policy.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/tasks/internal/rack_state.h"
#include "pistachio/process/tasks/types.h"

namespace pistachio {

// ---- Events of a rack controller.

/// \brief The ledger was read under a new epoch; \a snapshot and \a records are its content.
struct RackRecovered {
  Epoch epoch = 0;
  std::string snapshot;
  std::vector<std::string> records;
  std::uint64_t next_sequence = 1;  ///< number of the next record to be appended
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
  std::uint64_t serial = 0;         ///< of the assignment that is withdrawn
  std::uint64_t settled_below = 0;  ///< as in `TaskAssignment`
};
/// \brief The job queue has the end of an attempt on record.
struct EndAcknowledged {
  TaskId task;
  AttemptNumber attempt = 1;
  UnitId queue;
  std::uint64_t settled_below = 0;  ///< as in `TaskAssignment`
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
  bool urgent = false;  ///< to be committed without waiting for the batch interval
};
/// \brief Send \a command to \a target under \a epoch.
struct SendCommand {
  std::uint64_t command_id = 0;
  TargetId target;
  Epoch epoch = 0;
  TargetCommand command;
  std::optional<TimePoint> not_after;  ///< not sent from this instant on: answer kNotSent instead
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
  Duration renew_grace = std::chrono::minutes(10);   ///< renewals go on past `act_until` so long
  Duration service_drain = std::chrono::seconds(5);  ///< from no new requests to the stop
  Duration make_room_timeout = std::chrono::seconds(30);  ///< for urgent work, on one target
  Duration repeat_every = std::chrono::seconds(2);        ///< messages that await an answer
  std::uint32_t failures_before_quarantine = 3;
  Duration quarantine_probe_every = std::chrono::seconds(30);
  double max_quarantined_share = 0.3;                 ///< of a rack's targets
  std::uint32_t eviction_burst = 8;                   ///< evictions at once, in a rack
  Duration eviction_every = std::chrono::seconds(5);  ///< one more eviction is allowed
};

/// \brief Places and runs the tasks of one rack, as its one owner.
///
/// Pure: events in, actions out, with the caller's instant; no I/O, threads or clock. A command
/// with `not_after` is checked once more by whoever sends it, right before the first byte leaves.
///
/// What is assumed of targets: a task stops unless its lease is renewed within the term; a command
/// is carried out at most `command_timeout` after it was sent; a restarted target runs nothing old.
class RackController {
 public:
  RackController(RackId rack, const RackLimits& limits, const Policy& policy);

  /// \brief Takes in one event. \returns what is to be done, in order.
  std::vector<RackAction> Handle(const RackEvent& event, TimePoint now);

  /// \brief Takes the operators' weights; what the policy has learned stays.
  void SetWeights(const PolicyWeights& weights);

  /// \returns the whole state for the ledger, in place of every record up to `last_sequence()`.
  std::string TakeSnapshot() const;

  /// \returns the number of the newest record that was appended.
  std::uint64_t last_sequence() const { return this->next_sequence - 1; }

  /// \returns what is committed on each target: declared amounts of all tasks that may run there.
  std::map<TargetId, Resources> committed() const;

  /// \returns targets with a running instance of each service, for routing.
  std::map<ServiceId, std::vector<TargetId>> routes() const;

  /// \returns every live target that takes new work, for the job queue's choice of rack.
  std::vector<TargetView> views() const;

  /// \returns what batch work below urgent priority has committed, for `RackRoom`.
  Resources preemptible() const;

 private:
  // Events (rack_controller.cc).
  void On(const RackRecovered& event);
  void On(const RecordsCommitted& event);
  void On(const ActUntilChanged& event);
  void On(const TargetsListed& event);
  void On(const AssignmentReceived& event);
  void On(const WithdrawalReceived& event);
  void On(const EndAcknowledged& event);
  void On(const CommandAnswered& event);
  void On(const RackTick& event);

  // Recovery (rack_recovery.cc).
  bool ApplyRecord(const internal::RackRecord& record);
  void Apply(const internal::RackJobRecord& record);
  void Apply(const internal::RackIntentRecord& record);
  void Apply(const internal::RackEndRecord& record);
  void Apply(const internal::RackFloorRecord& record);
  void AdoptAfterTakeover();

  // Placement (rack_placement.cc).
  bool IsStale(const UnitId& queue, std::uint64_t serial) const;
  void RaiseFloor(const UnitId& queue, std::uint64_t settled_below);
  bool TryPlace(const TaskAssignment& assignment);
  bool MakeRoom(const TaskAssignment& assignment);
  std::optional<std::vector<TaskId>> FindVictims(const internal::RackTarget& target,
                                                 const JobSpec& spec) const;
  bool TakesWork(const internal::RackTarget& target) const;
  bool Suits(const internal::RackTarget& target, const TaskAssignment& assignment,
             bool avoid) const;
  void RecordIntent(const TaskAssignment& assignment, const PlacementDecision& decision);
  void RetryWaiting();
  void DropWaiting(const TaskId& task);
  std::uint32_t JobNumber(const JobSpec& spec);
  void Occupy(const internal::Placement& placement);
  void Release(const internal::Placement& placement);

  // Commands and answers (rack_commands.cc).
  std::uint64_t Send(const TargetId& target, TargetCommand command, const TaskId& task,
                     AttemptNumber attempt, std::optional<TimePoint> not_after);
  void Start(internal::Placement& placement);
  void BeginStop(internal::Placement& placement, AttemptOutcome goal, const std::string& reason);
  void SendStop(internal::Placement& placement);
  void Renew(internal::RackTarget& target);
  void ExtendLease(internal::Placement& placement);
  void TakeAnswer(const internal::SentCommand& sent, const CommandAnswer& answer);
  void TakeStartAnswer(const internal::SentCommand& sent, const CommandAnswer& answer);
  void TakeStopAnswer(const internal::SentCommand& sent, const CommandAnswer& answer);

  // Reports of targets (rack_reports.cc).
  void TakeReport(const internal::SentCommand& sent, const TargetReport& report);
  void TakeRow(internal::RackTarget& target, const TargetTask& row,
               const internal::SentCommand& sent);
  void TakeRunning(internal::RackTarget& target, internal::Placement& placement);
  void TakeAbsence(internal::Placement& placement, const internal::SentCommand& sent);
  void TakeStray(internal::RackTarget& target, const TargetTask& row);
  void LearnFrom(const internal::RackTarget& target, const TargetReport& report);
  void NoteFailure(internal::RackTarget& target, const JobId& job);
  void NoteSuccess(internal::RackTarget& target);

  // Ends (rack_ends.cc).
  void End(const TaskId& running, AttemptOutcome outcome, const std::string& reason);
  void Refuse(const TaskId& task, AttemptNumber attempt, const UnitId& queue, std::uint64_t serial,
              AttemptOutcome outcome, const std::string& reason);
  void Tell(internal::EndedAttempt& ended);
  void ForgetSettled();
  void RecordFloors();
  void ForgetJobs();

  // Timers (rack_timers.cc).
  void ExpireCommands();
  void ExpireLeases();
  void ResumePlacements();
  void RenewTargets();
  void ReactToReports();
  void Carry(const Reaction& reaction);
  void RefillEvictions();
  void LeaveTargets();
  void RepeatEnds();
  bool SpendEviction();

  std::uint64_t Append(const internal::RackRecord& record, bool urgent);
  void Report(EventCode code, std::vector<std::pair<std::string, std::string>> fields);
  const JobSpec& SpecOf(const JobId& job) const;

  RackId rack;
  RackLimits limits;
  Policy policy;
  Epoch epoch = 0;
  bool recovered = false;
  TimePoint now{};                  ///< of the event in hand
  TimePoint act_until{};            ///< no start from here on
  std::vector<RackAction> actions;  ///< of the event in hand
  std::uint64_t next_sequence = 1;
  std::uint64_t committed_through = 0;
  std::uint64_t next_command = 1;
  std::uint32_t next_job_number = 1;
  std::map<JobId, internal::RackJob> jobs;
  std::map<std::uint32_t, JobId> job_names;               ///< by the number that records use
  std::map<TaskId, internal::Placement> placements;       ///< attempts that may run
  std::map<TaskId, internal::WaitingAssignment> waiting;  ///< urgent work whose room is being made
  std::map<TaskId, internal::EndedAttempt> ended;         ///< attempts that must not start again
  std::map<UnitId, internal::QueueFloor> floors;
  std::map<TargetId, internal::RackTarget> targets;
  std::map<std::uint64_t, internal::SentCommand> sent_commands;
  std::deque<std::pair<std::uint64_t, TaskId>> awaiting_commit;
  std::uint32_t evictions_left = 0;
  TimePoint next_eviction{};
};

}  // namespace pistachio
