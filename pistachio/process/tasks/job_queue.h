#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/runtime/event_catalogue.h"
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

  std::vector<QueueAction> Handle(const QueueEvent& event, TimePoint now);
  std::string TakeSnapshot() const;
  std::vector<JobStatus> jobs() const;
};

}  // namespace pistachio
