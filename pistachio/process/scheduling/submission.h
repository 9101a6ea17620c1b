#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/tail_level.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief One incarnation of a target: the time between two restarts. A restarted target has no
/// knowledge of its earlier incarnations.
struct TargetIncarnation {
  TargetId target;
  std::uint64_t number = 0;  ///< see TargetEntry::incarnation
  std::string address;       ///< IP address and port; empty if an earlier version wrote the record

  friend bool operator==(const TargetIncarnation& a, const TargetIncarnation& b) {
    return a.number == b.number && a.target == b.target;
  }
  friend bool operator!=(const TargetIncarnation& a, const TargetIncarnation& b) {
    return !(a == b);
  }
};

/// \brief Phase of a task.
enum class TaskPhase : std::uint8_t {
  kWaiting,   ///< uses no resources of any target
  kAssigned,  ///< has a target; the assignment is not in the store yet, so no start was sent
  kStarting,  ///< the assignment is in the store; a start order may have been sent
  kRunning,   ///< the target has confirmed the run
  kStopping,  ///< may run until the target reports its end or is known to have lost the run
  kDone,
};

/// \returns the name of \a phase in logs.
const char* NameOf(TaskPhase phase);

/// \brief Why a run is being stopped.
enum class StopReason : std::uint8_t {
  kNone,
  kCancelled,         ///< the submission was cancelled or has failed
  kUnconfirmedStart,  ///< unknown whether the run has started
  kMoved,             ///< the task is to run on another target
  kGangBroken,        ///< another member of its gang ended
  kCompleted,         ///< an earlier run of the task has ended as done
  kPreempted          ///< a long-running task without a place needs its resources
};

/// \returns the name of \a reason in logs.
const char* NameOf(StopReason reason);

/// \brief What is known of a task whose runs may crash their targets.
struct CrashRecord {
  /// Number of targets that are known to have crashed shortly after they had confirmed a run.
  std::uint32_t crashes = 0;
  /// Number of targets that are known to have crashed when a run of the task may just have started,
  /// those of `crashes` included.
  std::uint32_t losses = 0;
  /// A target may have crashed under the task, and no run has lasted long enough since to show
  /// that the task is harmless.
  bool suspect = false;
  /// No other run was started on the target of the current run shortly before it or since, so a
  /// crash of the target is due to this one.
  bool isolated = false;

  friend bool operator==(const CrashRecord& a, const CrashRecord& b) {
    return a.crashes == b.crashes && a.losses == b.losses && a.suspect == b.suspect &&
           a.isolated == b.isolated;
  }
};

/// \brief One task and its current run.
struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  RunNumber run = 0;              ///< number of the current or the last run; 0 if it never had one
  TargetIncarnation incarnation;  ///< target incarnation of the current run; empty while waiting
  std::uint32_t failures = 0;     ///< number of failed runs
  std::string checkpoint;         ///< last reported checkpoint; empty if there is none
  CrashRecord crash_record;       ///< of the targets that crashed under the task
  /// Another run that has ended as done while the current one held resources; 0 if there is none.
  /// The task is done once the current run has ended, however it ends.
  RunNumber done_run = 0;

  // Of the fields below, only `open_start_at` is stored. A new owner of the cell gets the others
  // from the target's replies.
  StopReason stop_reason = StopReason::kNone;
  TimePoint phase_since{};  ///< when the phase began
  /// When a run of the task was last known to exist; unset while none is known. The epoch if it
  /// ended under an earlier owner.
  std::optional<TimePoint> run_seen_at;
  /// The last run was given up because its lease had expired: since when its target had been out of
  /// reach, see `Cell::UnreachedSince`. The epoch for any other end.
  TimePoint unreached_since{};
  /// The target that has room, or where room is made, for the task's next run; empty while there is
  /// none. Reservations for the task stay there.
  TargetId destination;
  /// When resources were first reserved for the task's next run.
  std::optional<TimePoint> reserved_since;
  std::uint32_t preemptions = 0;  ///< number of runs stopped as `StopReason::kPreempted`
  /// Waits because its last run had to leave a draining target or its cell.
  bool displaced = false;
  /// In all scheduling rounds since then, no target of the cell could have taken the waiting task,
  /// even with all its short tasks gone. The epoch if one could.
  TimePoint unplaceable_since{};
  TimePoint retry_at{};          ///< earliest time of the next order about the run
  std::uint32_t sends = 0;       ///< number of times the order of this phase was sent
  bool order_in_flight = false;  ///< an order of this phase has no reply yet
  bool maybe_started = false;    ///< a start had no reply; the target may still start the run later
  /// Number of a hold. If the reply to a later hold does not list the run, the run is gone.
  std::uint64_t absent_after_hold = 0;
  /// `Cell::RecordLoss` has accounted for the loss of the run, which may still start later.
  bool loss_recorded = false;
  /// An earlier owner assigned the run, and it is not known yet whether it has begun.
  bool inherited = false;
  /// The run is known to have begun on the target's incarnation `incarnation`: that one has
  /// confirmed it, or the record of an earlier owner says so of a suspected task. A start without
  /// an answer proves neither that the run has begun nor that it has not.
  bool confirmed = false;
  /// A later incarnation than `incarnation` has confirmed the run, see AnswerOrigin::kLater.
  bool confirmed_later = false;
  bool reported = false;  ///< the current incarnation of the target has reported the run as running
  double percent = 0.0;   ///< see RunningRun::percent
  double metric = 0.0;    ///< see RunningRun::metric
  double first_percent = 0.0;  ///< `percent` at `first_seen_at`
  TimePoint first_seen_at{};   ///< first report of the run since it started or since `pace` changed
  TimePoint progressed_at{};   ///< when `percent` last grew
  TimePoint started_at{};      ///< when the target confirmed the run
  TimePoint paced_at{};        ///< when `pace` last changed
  std::uint32_t pace = 100;    ///< allowed share of the run's full speed, in percent
  TailLevel tail_level;        ///< of a serving task: its own load in the current run
  Duration worked{0};          ///< time at work before `paced_at`, at full speed
  /// The run resumed from a checkpoint, or its start was not seen, so that its time tells only that
  /// of the work since `measured_from`.
  bool partial = false;
  std::optional<TimePoint> measured_from;  ///< first report of a partial run
  double measured_percent = 0.0;           ///< `percent` at `measured_from`
  TargetId avoid_target;  ///< target of the last run that did not complete; placement avoids it
  /// A target that might carry out a start of an earlier run when the task began to wait, or under
  /// the earlier owner; empty if there is none. Stored while the task waits, so that a new owner
  /// knows of starts that only the former one has sent.
  TargetId open_start_at;
  /// Number of runs in a row that were given up without an answer to a start, from a target that
  /// has not restarted.
  std::uint32_t unanswered_runs = 0;

  /// \returns true while the task uses, or may use, resources of a target.
  bool HoldsResources() const {
    return this->phase != TaskPhase::kWaiting && this->phase != TaskPhase::kDone;
  }
  /// \returns true while a run is assigned that does not exist, since its start was never sent.
  bool IsUnsent() const {
    return this->phase == TaskPhase::kAssigned ||
           (this->phase == TaskPhase::kStarting && this->sends == 0 && !this->inherited);
  }
};

/// \brief Tasks of one step in one occurrence.
struct StepProgress {
  std::vector<Task> tasks;
  std::uint32_t done = 0;     ///< number of tasks in phase `kDone`
  std::uint32_t waiting = 0;  ///< number of tasks in phase `kWaiting`
  /// When a task of the step first found room only where it would do too much harm. Not stored.
  std::optional<TimePoint> harm_wait_since;
};

/// \brief One repetition of all steps of a submission.
struct Occurrence {
  std::vector<StepProgress> steps;
};

/// \brief What the learned durations say about a submission. Computed from time to time, since each
/// scheduling round needs it for all waiting submissions.
struct WorkEstimate {
  TimePoint valid_until{};
  std::uint64_t configuration_version = 0;           ///< that it was computed with
  std::chrono::milliseconds objective{0};            ///< see ObjectiveOf()
  std::chrono::milliseconds hard_deadline{0};        ///< from the start, as the objective
  std::vector<std::chrono::milliseconds> remaining;  ///< critical path from each step on
  std::vector<double> task_core_seconds;  ///< of one task of each step; 0 if it is long-running
  double core_seconds = 0.0;              ///< of all tasks
  double value = 1.0;                     ///< see ServiceShares::ValueOf()
  bool favoured = false;                  ///< see ServiceShares::IsFavoured()
  /// Time from the start after which work from each step on earns nothing even if its tasks take
  /// as short, or as long, as they rarely do. Empty if that is not known.
  std::vector<std::chrono::milliseconds> last_chance;
};

/// \brief A submission and its progress.
struct Submission {
  AcceptedSubmission accepted;
  std::map<std::uint32_t, Occurrence> occurrences;  ///< those whose start time has come, by number
  bool cancelled = false;  ///< its caller has cancelled it; runs may still be stopping
  bool failed = false;     ///< a task has used up its attempts; runs may still be stopping
  bool started = false;    ///< a task was assigned to a target at least once
  /// A run of a task is known to have begun. Stored with the next write of the record, so runs of
  /// tasks that hold resources may have begun as well.
  bool begun = false;
  std::optional<WallTime> ended_at;  ///< when it ended, after its last run; empty while it is open

  // The fields below are not stored.
  std::uint64_t revision = 0;  ///< store revision of the submission's record in the cell's inbox
  TimePoint arrived_at{};      ///< when the cell got the submission
  bool moving = false;         ///< a write that moves it to another cell is not confirmed yet
  TimePoint next_move_at{};    ///< it is in no write that moves it before
  /// The store refused a write that would have moved it with others, so it is tried by itself.
  bool move_alone = false;
  WorkEstimate estimate;          ///< see `Cell::EstimateOf`
  bool outcome_recorded = false;  ///< see `Cell::RecordServed`
  bool chosen = true;             ///< see `DelayedWork::chosen`, in the last round with scarce room
  bool set_aside_logged = false;  ///< `kWorkDelayed` was logged with the reason `set-aside`
  bool given_up_logged = false;   ///< the same with `given-up`
  /// Cell to which it moves once its runs have ended; empty if there is none. Its tasks get no run
  /// meanwhile.
  CellId leaving_for;
  TimePoint leaving_since{};
  std::uint32_t failed_leaves = 0;  ///< times that its runs were stopped for a move that failed
  TimePoint next_leave_at{};        ///< its runs are not stopped for a move before
  /// Starts that an earlier owner of the cell has sent may take effect until then.
  TimePoint inherited_starts_until{};

  SubmissionState State() const;
  bool Ended() const { return this->ended_at.has_value(); }
  const StepSpec& Step(std::uint32_t step) const { return this->accepted.spec.steps[step]; }
  /// \returns true if \a predicate holds for a task.
  bool AnyTask(const std::function<bool(const Task&)>& predicate) const;
  /// \returns the task with this key, or null if there is none.
  Task* FindTask(const TaskKey& key);
  const Task* FindTask(const TaskKey& key) const;

  /// \returns true if all tasks of the steps that \a step depends on are done.
  bool DependenciesDone(const Occurrence& occurrence, std::uint32_t step) const;
  /// \returns true if all occurrences have started and all their tasks are done.
  bool AllDone() const;
  /// \returns the number of occurrences, at least 1.
  std::uint32_t OccurrenceCount() const;
  /// \brief Adds occurrence \a number with all its tasks waiting.
  void AddOccurrence(std::uint32_t number);
};

/// \brief Maximum number of tasks of a submission over all steps and occurrences. A progress record
/// takes up to 30 bytes a task, and the store accepts values of 1 MiB.
constexpr std::uint64_t kMaxTasks = 20000;

/// \returns true if an owner can hold the submission: its tasks, resources and times are within
///   fixed limits, and each step depends only on steps before it.
bool IsWithinLimits(const SubmissionSpec& spec);

/// \returns the declared run time of a task of each step.
std::vector<Duration> DeclaredDurations(const SubmissionSpec& spec);

/// \returns the declared run time of the critical path through all steps.
Duration CriticalPath(const SubmissionSpec& spec);

/// \returns the run time of the critical path from \a step to the end, \a step included.
/// \param durations run time of a task of each step
Duration RemainingCriticalPath(const SubmissionSpec& spec, std::uint32_t step,
                               const std::vector<Duration>& durations);

/// \returns the declared run time of the critical path from \a step to the end, \a step included.
Duration RemainingCriticalPath(const SubmissionSpec& spec, std::uint32_t step);

/// \returns the run time of the critical path through all steps.
/// \param durations run time of a task of each step
Duration CriticalPath(const SubmissionSpec& spec, const std::vector<Duration>& durations);

/// \returns the objective of a submission: the time from acceptance to completion up to which it
///   has its full value. For a repeated submission, the time counts from the start time of each
///   occurrence. The objective is the critical path times `stretch` plus `objective_slack`.
Duration ObjectiveOf(const QueueSettings& queue, const SubmissionSpec& spec);

/// \returns the objective for a critical path of \a critical_path.
Duration ObjectiveOf(const QueueSettings& queue, Duration critical_path);

}  // namespace pistachio
