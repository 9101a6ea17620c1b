#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/process/runtime/resources.h"

namespace pistachio {

/// \brief Id of a submission: a job of one or more steps, under an id that its caller chose.
using SubmissionId = NamedId<struct SubmissionIdTag>;
/// \brief Id of a queue. Each route of the configuration defines one queue.
using QueueId = NamedId<struct QueueIdTag>;
/// \brief Id of a cell: the targets of one data centre and the submissions assigned to them.
using CellId = NamedId<struct CellIdTag>;
/// \brief Id of the image that the tasks of a step run. The interference model assumes that tasks
/// of the same image behave alike.
using ImageId = NamedId<struct ImageIdTag>;

/// \brief Wall-clock time since the Unix epoch, in milliseconds.
using WallTime = std::chrono::milliseconds;
/// \brief Time on the clock of one target, in milliseconds. Never compare times of two targets.
using TargetTime = std::chrono::milliseconds;

/// \brief Fencing token of an order: the store revision of a write by which the sender took the
/// cell or changed it as its owner. A target refuses orders with a lower token than it has seen.
using FencingToken = std::uint64_t;
/// \brief Number of a run of a task: 1 for the first run, one higher for each later run. The count
/// continues when the cell changes its owner.
using RunNumber = std::uint32_t;

/// \brief Identifies one task of a submission.
struct TaskKey {
  SubmissionId submission;
  std::uint32_t occurrence = 0;  ///< repetition, from 0; always 0 if the submission runs once
  std::uint32_t step = 0;        ///< index of the step in the submission
  std::uint32_t index = 0;       ///< index of the task in its step

  friend bool operator==(const TaskKey& a, const TaskKey& b) {
    return a.index == b.index && a.step == b.step && a.occurrence == b.occurrence &&
           a.submission == b.submission;
  }
  friend bool operator!=(const TaskKey& a, const TaskKey& b) { return !(a == b); }
  friend bool operator<(const TaskKey& a, const TaskKey& b) {
    return std::tie(a.submission, a.occurrence, a.step, a.index) <
           std::tie(b.submission, b.occurrence, b.step, b.index);
  }
  /// \returns `ID.OCCURRENCE.STEP.INDEX`.
  std::string str() const;
};

/// \brief Parses a task key in the form `ID.OCCURRENCE.STEP.INDEX`.
/// \returns nothing if \a text does not have this form or a number does not fit into 32 bits.
std::optional<TaskKey> ParseTaskKey(const std::string& text);

/// \brief One step of a submission: a number of identical tasks.
///
/// The scheduler stores `same_rack` and `speculative` but does not act on them. It regards
/// `max_unavailable` only for moves to other cells.
struct StepSpec {
  std::uint32_t count = 1;           ///< number of tasks
  Resources need;                    ///< resources that each task requests
  Duration estimate{0};              ///< estimated run time of one task
  std::vector<std::uint32_t> after;  ///< indices of the steps that must be done first
  bool checkpointing = false;        ///< a new run of a task resumes from the last checkpoint
  bool gang = false;                 ///< all tasks must run at the same time (gang scheduling)
  bool same_rack = false;            ///< the tasks should run in one rack
  bool speculative = false;          ///< several copies of a task may run at the same time
  bool long_running = false;         ///< runs until the submission is cancelled
  /// Best-effort step: its tasks use processor time that other tasks leave idle. Their processors
  /// are not counted as used on a target, their memory is.
  bool best_effort = false;
  std::string required_label;  ///< label that a target must have; empty for none
  std::string data_rack;       ///< label of the rack that holds the input data; empty for none
  std::uint32_t max_per_target = 0;  ///< maximum number of its tasks on one target; 0 for no limit
  ImageId image;                     ///< image that the tasks run
  /// Upper bound on the tail of the response times; 0 unless the tasks serve requests.
  std::chrono::milliseconds tail_bound{0};
  /// Number of tasks that planned maintenance may stop at a time.
  std::uint32_t max_unavailable = 0;
};

/// \returns the declared work of one task of the step, in core-seconds; 0 for a long-running step.
double DeclaredCoreSeconds(const StepSpec& step);

/// \brief Description of a submission, as its caller sent it.
struct SubmissionSpec {
  std::string payload;                    ///< passed to every task unchanged
  std::vector<StepSpec> steps;            ///< a step depends only on steps before it
  std::uint32_t repeat_count = 0;         ///< number of occurrences; 0 if it runs once, at once
  WallTime start_at{0};                   ///< time of the first occurrence of a repeated submission
  std::chrono::milliseconds interval{0};  ///< time between two occurrences
};

/// \brief Settings of a queue, read from a route of the configuration.
struct QueueSettings {
  QueueId id;
  std::string host;                ///< host name of the requests that are routed to the queue
  std::string path_prefix;         ///< prefix of the request paths that are routed to the queue
  ServiceId service;               ///< service whose targets run the queue's tasks
  std::int32_t priority = 0;       ///< 0 is the highest priority
  std::uint32_t max_attempts = 1;  ///< failed runs of one task at which its submission fails
  double stretch = 1.0;            ///< factor on the critical path, see ObjectiveOf()
  std::chrono::milliseconds objective_slack{0};    ///< added after `stretch`, see ObjectiveOf()
  std::chrono::milliseconds answer_timeout{3000};  ///< time that callers wait for an answer
  bool needs_advice = false;  ///< an advice service selects the targets; not used by the scheduler
};

/// \brief Settings of a service, read from the configuration.
struct ServiceSettings {
  ServiceId id;
  std::string health_path;  ///< request path of the health check
};

/// \brief One version of the operators' configuration.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<QueueSettings> queues;
  std::map<ServiceId, ServiceSettings> services;
  std::size_t max_body_bytes = 262144;  ///< largest accepted request body

  /// \returns the queue of \a host with the longest prefix of \a path, or null if no queue
  ///   matches.
  const QueueSettings* MatchQueue(const std::string& host, const std::string& path) const;
  /// \returns the queue with this id, or null if there is none.
  const QueueSettings* FindQueue(const QueueId& id) const;
};

/// \brief Immutable part of a submission, written to the store when the submission is accepted.
struct AcceptedSubmission {
  SubmissionId id;
  QueueSettings queue;  ///< settings of the queue at the time of acceptance
  SubmissionSpec spec;
  WallTime accepted_at{0};
  std::uint32_t moves = 0;  ///< number of times that it was moved to another cell
  /// Its progress at the last move, see EncodeProgress(); empty if no task had begun by then. Used
  /// in store records only.
  std::string progress;
};

/// \brief Numbers of uncancelled submissions of which no task is known to have begun.
struct SubmissionCount {
  std::uint64_t waiting = 0;  ///< no task has begun
  /// A stored record names a run, and its target has not told yet whether the run has begun.
  std::uint64_t unconfirmed = 0;
};

/// \brief Whether a target accepts new tasks.
enum class TargetState {
  kReady,
  kDraining  ///< accepts no new tasks and leaves after `TargetEntry::drain_remaining`
};

/// \brief Registration of a target.
struct TargetEntry {
  TargetId id;
  ServiceId service;         ///< service whose tasks the target runs
  std::string address;       ///< IP address and port
  DataCentreId data_centre;  ///< data centre that the target is in
  TargetState state = TargetState::kReady;
  Resources capacity;                            ///< total resources for tasks
  std::vector<std::string> labels;               ///< compared with the labels that a step requires
  std::string machine;                           ///< name of the machine that the target runs on
  std::chrono::milliseconds drain_remaining{0};  ///< time until a draining target leaves
  /// Time, from the registration on, for which the target stays slow after its start; 0 if warm.
  std::chrono::milliseconds cold_remaining{0};
  /// Start time of the target's current incarnation, in milliseconds since the Unix epoch; 0 if
  /// unknown. Each restart of a target begins a new incarnation.
  std::uint64_t incarnation = 0;
  TimePoint known_since{};  ///< since when this process has known the incarnation
};

/// \brief The longest time for which leases of targets may still last, by target.
using LeaseBounds = std::map<TargetId, Duration>;

/// \brief Targets that decide whether an owner without the store extends leases, see
/// LeaseWitnesses.
using WitnessSet = std::set<std::uint64_t>;

/// \brief What the owner of a cell writes of its targets' leases for the owner after it. Times
/// count from the write.
struct LeaseRecord {
  /// For targets that the owner does not reach: the longest time for which runs on the target may
  /// still exist. While a bound is in the store, no owner extends the target's lease.
  LeaseBounds bounds;
  /// For targets with runs that may hold a longer lease than the owner sets, from a deadline for an
  /// earlier incarnation: the longest time for which that lease may last.
  LeaseBounds long_leases;
  WitnessSet witnesses;  ///< empty in records of earlier versions
};

/// \brief How a run ended.
enum class RunOutcome {
  kDone,
  kFailed,          ///< the task or the target is at fault
  kStopped,         ///< a stop order ended it
  kLeaseExpired,    ///< its lease expired
  kGangBroken,      ///< another member of its gang ended
  kGangIncomplete,  ///< its gang was not complete in time
};

/// \returns the name of \a outcome in logs.
const char* NameOf(RunOutcome outcome);

/// \brief A run that a target reports as running.
struct RunningRun {
  TaskKey task;
  RunNumber run = 0;
  std::string checkpoint;  ///< last checkpoint; empty if there is none
  double percent = 0.0;    ///< finished share of the work; 100 for a working long-running task
  /// Tail of the response times in milliseconds for a serving task, processor use in thousandths of
  /// a core for any other.
  double metric = 0.0;
};

/// \brief A run that a target reports as ended.
struct FinishedRun {
  std::uint64_t number = 0;  ///< number of the end, increasing within one target incarnation
  TaskKey task;
  RunNumber run = 0;
  RunOutcome outcome = RunOutcome::kFailed;
  std::string checkpoint;  ///< last checkpoint; empty if there is none
};

/// \brief The end of a run as done, which the owner of another cell has to take into account.
struct ForwardedEnd {
  TaskKey task;
  RunNumber run = 0;

  friend bool operator<(const ForwardedEnd& a, const ForwardedEnd& b) {
    return std::tie(a.task, a.run) < std::tie(b.task, b.run);
  }
  /// \returns `ID.OCCURRENCE.STEP.INDEX.RUN`.
  std::string str() const;
};

/// \brief Parses an end in the form of ForwardedEnd::str().
/// \returns nothing if \a text does not have this form or a number is too large.
std::optional<ForwardedEnd> ParseForwardedEnd(const std::string& text);

/// \brief Result of an order to a target.
enum class OrderStatus {
  kDone,
  kFenced,          ///< rejected: the target has seen a higher fencing token
  kSuperseded,      ///< rejected: the run, or a later one of its task, has ended or was stopped
  kDeadlinePassed,  ///< rejected: the deadline of the order had passed
  kNoCapacity,      ///< rejected: not enough free resources
  kBadTicket,       ///< rejected: the target gave the reason `ticket`; not about an `OrderTicket`
  kUnhealthy,       ///< rejected: the target is unhealthy or overloaded and did nothing
  kWrongInstance,   ///< rejected: the target has restarted, and its address has another target id
  kRejected,        ///< rejected for any other reason, such as a malformed order
  kNoAnswer,        ///< unknown: the target may carry out the order at once, seconds later or never
};

/// \returns the name of \a status in logs.
const char* NameOf(OrderStatus status);

/// \returns a time in whole milliseconds, as logs contain it.
std::string MillisecondsText(Duration time);

/// \brief Reply to a start, a stop or a pace order.
struct OrderReply {
  OrderStatus status = OrderStatus::kNoAnswer;
  std::optional<TargetTime> clock;  ///< time on the target's clock, if the reply contains it
};

/// \brief Reply to a hold order: the target's running runs, and its ended runs that are not
/// acknowledged yet.
struct HoldReply {
  OrderStatus status = OrderStatus::kNoAnswer;
  std::optional<TargetTime> clock;    ///< time on the target's clock, if the reply contains it
  std::vector<RunningRun> running;    ///< every run that the target is running
  std::vector<FinishedRun> finished;  ///< at most `kMaxFinishedPerReply` ends
  std::uint64_t incarnation = 0;      ///< see TargetEntry::incarnation; 0 if unknown
};

/// \brief Maximum number of ended runs in one hold reply. A reply with fewer lists all of them.
constexpr std::size_t kMaxFinishedPerReply = 500;

/// \brief State of a submission that callers see.
enum class SubmissionState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// \returns the name of \a state in logs and records.
const char* NameOf(SubmissionState state);

}  // namespace pistachio
