#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/policy/types.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/process/runtime/resources.h"

namespace pistachio {

/// \brief Priority from which work counts as urgent and may preempt batch work of lower priority.
constexpr std::int32_t kUrgentPriority = 900;

/// \brief Bound on the tasks of one job.
constexpr std::uint32_t kMaxTasksPerJob = 100000;

/// \brief What an operator submits: a number of equal tasks.
struct JobSpec {
  JobId job;
  TeamId team;
  WorkKind kind = WorkKind::kBatch;
  ServiceId service;  ///< what callers ask for; services only
  WorkClass work_class;
  std::int32_t priority = 0;  ///< 0 to 1000
  std::uint32_t count = 1;    ///< tasks of a batch job, instances of a service
  Resources declared;         ///< for each task
  Duration expected_run{0};   ///< declared run time of a batch task; often wrong
  std::uint32_t max_attempts = 5;
  std::uint32_t max_per_rack = 0;  ///< anti-affinity: tasks of this job in one rack; 0 is no bound
  std::vector<RackId> only_in_racks;  ///< placement rule; empty is any rack
};

/// \brief One task on its way to a rack: decided by the job queue and written there first.
struct TaskAssignment {
  TaskId task;
  AttemptNumber attempt = 1;
  UnitId queue;  ///< whom the rack answers
  RackId rack;
  JobSpec spec;
  std::string checkpoint;               ///< where to resume; empty for a fresh start
  std::vector<TargetId> avoid_targets;  ///< where earlier attempts failed
  std::uint64_t serial = 0;             ///< number of the queue's record of this assignment
  std::uint64_t settled_below = 0;      ///< the queue repeats no assignment of a lower serial
};

/// \brief How a rack's part in a task's attempt ended.
enum class AttemptOutcome {
  kFinished,   ///< ran to its end; counted once
  kFailed,     ///< the task itself failed
  kEvicted,    ///< stopped for other work; resumes from its checkpoint
  kReturned,   ///< never started here: no room, or the rack gives it back
  kLost,       ///< its target is gone and its lease has run out
  kCancelled,  ///< stopped because the job was cancelled
};

/// \returns the outcome's name in logs and status output, such as `finished`.
const char* NameOf(AttemptOutcome outcome);

/// \brief The end of an attempt, told by a rack to the job queue until it is acknowledged.
struct AttemptEnd {
  TaskId task;
  AttemptNumber attempt = 1;
  AttemptOutcome outcome = AttemptOutcome::kFinished;
  std::string checkpoint;
  TargetId target;
  std::string reason;
  RackId rack;               ///< who tells, and gets the acknowledgement
  std::uint64_t serial = 0;  ///< of the assignment that has ended
};

// ---- What a target is told and what it tells.

/// \brief Starts an attempt; the target refuses an older attempt and, where it can, an older epoch.
struct StartCommand {
  TaskId task;
  AttemptNumber attempt = 1;
  JobSpec spec;
  std::string checkpoint;
  Duration lease_term{0};  ///< the target stops the task unless renewed within this time
};

/// \brief Renews the lease of tasks on a target and asks for its report.
struct RenewCommand {
  std::vector<std::pair<TaskId, AttemptNumber>> tasks;
  Duration lease_term{0};
};

/// \brief Stops an attempt; a stop of an attempt that does not run is confirmed too.
struct StopCommand {
  TaskId task;
  AttemptNumber attempt = 1;
};

/// \brief Writes a checkpoint and stops; the answer carries the checkpoint's name.
struct CheckpointCommand {
  TaskId task;
  AttemptNumber attempt = 1;
};

/// \brief Limits an attempt to a share of its speed.
struct ThrottleCommand {
  TaskId task;
  AttemptNumber attempt = 1;
  double throttle = 1.0;
};

/// \brief Tells the target that an attempt's end is on record, so that it may forget it.
struct ForgetCommand {
  TaskId task;
  AttemptNumber attempt = 1;
};

/// \brief Any command to a target; each is sent with the rack's epoch.
using TargetCommand = std::variant<StartCommand, RenewCommand, StopCommand, CheckpointCommand,
                                   ThrottleCommand, ForgetCommand>;

/// \brief State of an attempt as a target sees it.
enum class TargetTaskState { kRunning, kFinished, kFailed, kStopped };

/// \brief One row of a target's own task list.
struct TargetTask {
  TaskId task;
  AttemptNumber attempt = 1;
  TargetTaskState state = TargetTaskState::kRunning;
  std::string checkpoint;  ///< newest checkpoint, if any
  Resources used;          ///< lagging
  double latency_ratio = 0.0;
  double progress_rate = 0.0;
  std::string reason;  ///< why it failed
};

/// \brief What a target reports with every answer.
struct TargetReport {
  TargetId target;
  std::uint64_t boot =
      0;  ///< changes when the target restarts; a restarted target runs nothing old
  Resources capacity;
  double load = 0.0;  ///< share of request slots in use
  Duration age{0};    ///< how old the measurements are
  std::vector<TargetTask> tasks;
};

/// \brief How a command ended.
enum class CommandStatus {
  kDone,     ///< carried out; the report is the target's state afterwards
  kRefused,  ///< the target says no, nothing was changed; see the reason
  kNotSent,  ///< the target was not reached; nothing was changed
  kUnknown,  ///< no answer; it may have been carried out
};

/// \brief Answer to a command.
struct CommandAnswer {
  CommandStatus status = CommandStatus::kUnknown;
  std::string reason;
  std::string checkpoint;              ///< for CheckpointCommand
  std::optional<TargetReport> report;  ///< if the target answered
};

/// \brief Standing of a target on the platform's list and with operators.
enum class TargetStanding { kLive, kLeaving, kDrained, kGone };

/// \brief One row of the platform's lagging list of targets.
struct TargetListing {
  TargetId target;
  RackId rack;
  DataCentreId data_centre;
  std::string address;  ///< IP number and port
  Resources capacity;
  std::uint32_t slots = 0;        ///< requests at once
  std::uint32_t connections = 0;  ///< connections at once
  TargetStanding standing = TargetStanding::kLive;
};

}  // namespace pistachio
