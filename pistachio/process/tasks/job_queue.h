#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/tasks/internal/queue_state.h"
#include "pistachio/process/tasks/rack_controller.h"
#include "pistachio/process/tasks/types.h"

namespace pistachio {

/// \brief What a rack's owner tells job queues about its room, every second or so.
struct RackRoom {
  RackId rack;
  std::vector<Resources> free;      ///< for each live target, by target
  std::vector<Resources> capacity;  ///< for each live target, by target
  Resources preemptible;            ///< committed to batch work below urgent priority
};

/// \brief A team's bound on what its tasks may have committed in this queue's data centre.
struct TeamQuota {
  TeamId team;
  Resources limit;
};

/// \brief An operator submits a job. Submitting the same job again changes nothing.
struct JobSubmitted {
  JobSpec spec;
};
/// \brief An operator cancels a job.
struct JobCancelled {
  JobId job;
};
struct RoomReported {
  RackRoom room;
};
struct QuotasChanged {
  std::vector<TeamQuota> quotas;
};
struct AssignmentConfirmed {
  TaskId task;
  AttemptNumber attempt = 1;
};
struct EndReceived {
  AttemptEnd end;
};
struct QueueTick {};

using QueueEvent =
    std::variant<RackRecovered, RecordsCommitted, ActUntilChanged, JobSubmitted, JobCancelled,
                 RoomReported, QuotasChanged, AssignmentConfirmed, EndReceived, QueueTick>;

/// \brief Send an assignment to the rack's owner; repeated until confirmed.
struct SendAssignment {
  TaskAssignment assignment;
};
/// \brief Ask the rack's owner to give an attempt back; repeated until its end arrives.
struct SendWithdrawal {
  RackId rack;
  WithdrawalReceived withdrawal;
};
/// \brief Tell the rack's owner that an end is on record.
struct AcknowledgeEnd {
  RackId rack;
  TaskId task;
  AttemptNumber attempt = 1;
  UnitId queue;
  std::uint64_t settled_below = 0;  ///< as in `TaskAssignment`
};
/// \brief Tell the operator that a job is on record, or why it is refused.
struct AnswerSubmission {
  JobId job;
  bool accepted = false;
  std::string reason;
};

using QueueAction = std::variant<AppendRecord, SendAssignment, SendWithdrawal, AcknowledgeEnd,
                                 AnswerSubmission, ReportEvent>;

/// \brief Counts of a job's tasks by state, for `pistachioctl job status`.
struct JobStatus {
  JobSpec spec;
  std::uint32_t waiting = 0;
  std::uint32_t assigned = 0;  ///< with a rack, running or about to
  std::uint32_t finished = 0;
  std::uint32_t failed = 0;
  std::uint32_t cancelled = 0;
  std::uint32_t unplaceable = 0;
  std::uint64_t evictions = 0;
  std::string reason;  ///< why tasks wait or cannot run
};

/// \brief Holds the jobs of one share of a data centre's teams and hands their tasks to racks.
///
/// A task belongs to the queue or to one rack at a time, never to both: the queue writes down an
/// assignment before it sends it, and takes a task back only when the rack has written down the
/// attempt's end. Pure, like `RackController`.
class JobQueue {
 public:
  JobQueue(UnitId queue, const RackLimits& limits);

  /// \brief Takes in one event. \returns what is to be done, in order.
  std::vector<QueueAction> Handle(const QueueEvent& event, TimePoint now);

  /// \returns the whole state for the ledger, in place of every record up to `last_sequence()`.
  std::string TakeSnapshot() const;

  /// \returns the number of the newest record that was appended.
  std::uint64_t last_sequence() const { return this->next_sequence - 1; }

  /// \returns the status of every job that is known, by name.
  std::vector<JobStatus> jobs() const;

 private:
  // Events (job_queue.cc).
  void On(const RackRecovered& event);
  void On(const RecordsCommitted& event);
  void On(const ActUntilChanged& event);
  void On(const JobSubmitted& event);
  void On(const JobCancelled& event);
  void On(const RoomReported& event);
  void On(const QuotasChanged& event);
  void On(const AssignmentConfirmed& event);
  void On(const EndReceived& event);
  void On(const QueueTick& event);

  bool HasEndOnRecord(const AttemptEnd& end) const;

  // Recovery (queue_recovery.cc).
  bool ApplyRecord(const internal::QueueRecord& record);
  bool Apply(const internal::QueueJobRecord& record);
  bool Apply(const internal::QueueAssignRecord& record);
  bool Apply(const internal::QueueEndRecord& record);
  bool Apply(const internal::QueueCancelRecord& record);
  bool Apply(const internal::QueueTaskRecord& record);
  bool Apply(const internal::QueueDoneRecord& record);
  internal::QueueJob* FindByNumber(std::uint32_t number, std::uint32_t index);

  // Tasks' states, the same for new records and for those that are read back (queue_tasks.cc).
  void ApplyAssignment(internal::QueueJob& job, std::uint32_t index, const RackId& rack,
                       std::uint64_t serial);
  void ApplyEnd(internal::QueueJob& job, std::uint32_t index, AttemptOutcome outcome,
                const TargetId& target, const std::string& checkpoint);
  void ApplyCancel(internal::QueueJob& job);
  void Settle(internal::QueueJob& job, std::uint32_t index, internal::QueueStage stage);
  void Wait(internal::QueueJob& job, std::uint32_t index);
  void Count(internal::QueueJob& job, const RackId& rack);
  void Uncount(internal::QueueJob& job, const RackId& rack);
  void FinishIfDone(const JobId& name);

  // Choice of task and rack (queue_dispatch.cc).
  void Dispatch();
  void DispatchPriority(std::int32_t priority);
  std::optional<TeamId> NeediestTeam(std::int32_t priority, const std::set<TeamId>& passed) const;
  double ShareOf(const TeamId& team) const;
  bool DispatchTeam(std::int32_t priority, const TeamId& team);
  bool DispatchJob(internal::QueueJob& job);
  bool WithinQuota(const internal::QueueJob& job) const;
  bool Allows(const internal::QueueJob& job, const RackId& rack) const;
  std::optional<RackId> ChooseRack(const internal::QueueJob& job, std::string& beaten);
  std::optional<RackId> ChooseRackToPreempt(const internal::QueueJob& job);
  void TakeRoom(RackRoom& room, const Resources& declared);
  void ExplainWait(internal::QueueJob& job);
  void MarkUnplaceable(internal::QueueJob& job, const std::string& reason);
  void Assign(internal::QueueJob& job, const RackId& rack, const std::string& beaten);

  // Messages (queue_messages.cc).
  void SendAssignments();
  void SendWithdrawals();
  void Acknowledge(const RackId& rack, const TaskId& task, AttemptNumber attempt);
  std::uint64_t SettledBelow(const RackId& rack) const;
  void AnswerJob(internal::QueueJob& job);
  void RefuseJob(const JobId& job, const std::string& reason);

  std::uint64_t Append(const internal::QueueRecord& record, bool urgent);
  void Report(EventCode code, std::vector<std::pair<std::string, std::string>> fields);
  internal::QueueTask* FindTask(const TaskId& task);

  using TeamJobs = std::map<TeamId, std::set<std::pair<std::uint32_t, JobId>>>;

  UnitId queue;
  RackLimits limits;
  bool recovered = false;
  TimePoint now{};  ///< of the event in hand
  TimePoint act_until{};
  std::vector<QueueAction> actions;  ///< of the event in hand
  std::uint64_t next_sequence = 1;
  std::uint64_t committed_through = 0;
  std::uint32_t next_job_number = 1;
  std::map<JobId, internal::QueueJob> known_jobs;
  std::map<std::uint32_t, JobId> job_names;                ///< by the number that records use
  std::deque<JobId> done_jobs;                             ///< oldest first
  std::map<std::int32_t, TeamJobs, std::greater<>> ready;  ///< jobs with waiting tasks
  std::set<std::pair<TimePoint, TaskId>> delayed;          ///< tasks that wait before a new attempt
  std::map<RackId, std::map<std::uint64_t, TaskId>> unconfirmed;  ///< by serial
  std::set<TaskId> withdrawing;
  std::deque<std::pair<std::uint64_t, AcknowledgeEnd>> acknowledgements;  ///< wait for a commit
  std::deque<std::pair<std::uint64_t, JobId>> submissions;                ///< wait for a commit
  std::map<RackId, RackRoom> rooms;
  std::map<TeamId, Resources> quotas;
  std::map<TeamId, Resources> team_committed;
  Resources total_capacity;
  std::vector<Resources> full_sizes;  ///< of this round: sizes that found no room anywhere
};

}  // namespace pistachio
