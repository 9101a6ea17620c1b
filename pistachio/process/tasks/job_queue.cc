#include "pistachio/process/tasks/job_queue.h"

#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/internal/record_codec.h"

namespace pistachio {

using internal::QueueJob;
using internal::QueueStage;
using internal::QueueTask;

namespace {

constexpr std::int32_t kMaxPriority = 1000;

std::string FaultOf(const JobSpec& spec) {
  const Resources& declared = spec.declared;
  if (spec.job.empty()) {
    return "the job has no name";
  }
  if (spec.count == 0 || spec.count > kMaxTasksPerJob) {
    return "count is not in 1.." + std::to_string(kMaxTasksPerJob);
  }
  if (spec.priority < 0 || spec.priority > kMaxPriority) {
    return "priority is not in 0.." + std::to_string(kMaxPriority);
  }
  if (declared.cpu_millis < 0 || declared.memory_mib < 0 || declared.accelerators < 0) {
    return "a declared amount is negative";
  }
  if (declared == Resources{}) {
    return "nothing is declared";
  }
  return spec.max_attempts == 0 ? "max_attempts is 0" : "";
}

}  // namespace

JobQueue::JobQueue(UnitId queue, const RackLimits& limits)
    : queue(std::move(queue)), limits(limits) {}

std::vector<QueueAction> JobQueue::Handle(const QueueEvent& event, TimePoint now) {
  this->now = now;
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  return std::exchange(this->actions, {});
}

void JobQueue::On(const RecordsCommitted& event) {
  this->committed_through = std::max(this->committed_through, event.through);
  while (!this->submissions.empty() && this->submissions.front().first <= this->committed_through) {
    const auto found = this->known_jobs.find(this->submissions.front().second);
    this->submissions.pop_front();
    if (found != this->known_jobs.end()) {
      this->AnswerJob(found->second);
    }
  }
  while (!this->acknowledgements.empty() &&
         this->acknowledgements.front().first <= this->committed_through) {
    const AcknowledgeEnd end = this->acknowledgements.front().second;
    this->acknowledgements.pop_front();
    this->Acknowledge(end.rack, end.task, end.attempt);
  }
  this->SendAssignments();
  this->SendWithdrawals();
}

void JobQueue::On(const ActUntilChanged& event) { this->act_until = event.act_until; }

void JobQueue::On(const JobSubmitted& event) {
  if (!this->recovered) {
    this->RefuseJob(event.spec.job, "the job queue is not ready; submit again");
    return;
  }
  const std::string fault = FaultOf(event.spec);
  if (!fault.empty()) {
    this->RefuseJob(event.spec.job, fault);
    return;
  }
  const auto known = this->known_jobs.find(event.spec.job);
  if (known != this->known_jobs.end()) {
    QueueJob& job = known->second;
    if (internal::EncodeSpec(job.spec) != internal::EncodeSpec(event.spec)) {
      this->RefuseJob(event.spec.job, "another job has this name");
    } else if (job.record <= this->committed_through) {
      this->AnswerJob(job);
    }
    return;
  }
  const bool urgent = event.spec.priority >= kUrgentPriority;
  const internal::QueueJobRecord record{this->next_job_number, event.spec, 0};
  const std::uint64_t sequence = this->Append(record, urgent);
  this->Apply(record);
  this->known_jobs.at(event.spec.job).record = sequence;
  this->submissions.emplace_back(sequence, event.spec.job);
  this->Dispatch();
}

void JobQueue::On(const JobCancelled& event) {
  const auto found = this->known_jobs.find(event.job);
  if (!this->recovered || found == this->known_jobs.end() || found->second.cancelled ||
      found->second.tasks.empty()) {
    return;
  }
  QueueJob& job = found->second;
  job.cancel_record = this->Append(internal::QueueCancelRecord{job.number}, true);
  this->Report(EventCode::kJobCancelled,
               {{"job", event.job.str()}, {"assigned", std::to_string(job.assigned)}});
  this->ApplyCancel(job);
  this->FinishIfDone(event.job);
}

void JobQueue::On(const RoomReported& event) {
  RackRoom& room = this->rooms[event.room.rack];
  room = event.room;
  const auto sent = this->unconfirmed.find(event.room.rack);
  if (sent != this->unconfirmed.end()) {
    // The rack did not know of these yet when it told its room.
    for (const auto& [serial, task] : sent->second) {
      this->TakeRoom(room, this->known_jobs.at(task.job).spec.declared);
    }
  }
  this->total_capacity = {};
  for (const auto& [rack, other] : this->rooms) {
    for (const Resources& capacity : other.capacity) {
      this->total_capacity += capacity;
    }
  }
  this->Dispatch();
}

void JobQueue::On(const QuotasChanged& event) {
  this->quotas.clear();
  for (const TeamQuota& quota : event.quotas) {
    this->quotas[quota.team] = quota.limit;
  }
}

void JobQueue::On(const AssignmentConfirmed& event) {
  const QueueTask* task = this->FindTask(event.task);
  if (task == nullptr || task->attempt != event.attempt) {
    return;
  }
  const auto sent = this->unconfirmed.find(task->rack);
  if (sent != this->unconfirmed.end()) {
    sent->second.erase(task->serial);
  }
}

void JobQueue::On(const EndReceived& event) {
  if (!this->recovered) {
    return;
  }
  const AttemptEnd& end = event.end;
  QueueTask* task = this->FindTask(end.task);
  const bool newest = task != nullptr && task->attempt == end.attempt;
  if (!newest || task->stage != QueueStage::kAssigned) {
    if (this->HasEndOnRecord(end)) {
      this->Acknowledge(end.rack, end.task, end.attempt);
    }
    return;
  }
  QueueJob& job = this->known_jobs.at(end.task.job);
  const bool urgent = job.spec.priority >= kUrgentPriority;
  job.last_end_record = this->Append(
      internal::QueueEndRecord{job.number, end.task.index, end.outcome, end.target, end.checkpoint},
      urgent);
  this->acknowledgements.emplace_back(
      job.last_end_record, AcknowledgeEnd{end.rack, end.task, end.attempt, this->queue, 0});
  this->Report(EventCode::kTaskTakenBack, {{"task", end.task.str()},
                                           {"attempt", std::to_string(end.attempt)},
                                           {"outcome", NameOf(end.outcome)},
                                           {"reason", end.reason}});
  job.reason = end.outcome == AttemptOutcome::kFinished ? job.reason : end.reason;
  this->ApplyEnd(job, end.task.index, end.outcome, end.target, end.checkpoint);
  this->FinishIfDone(end.task.job);
}

bool JobQueue::HasEndOnRecord(const AttemptEnd& end) const {
  const auto job = this->known_jobs.find(end.task.job);
  if (job == this->known_jobs.end()) {
    return this->committed_through >= this->last_sequence();
  }
  const auto& tasks = job->second.tasks;
  const bool ahead = end.task.index < tasks.size() && tasks[end.task.index].attempt < end.attempt;
  return !ahead && job->second.last_end_record <= this->committed_through;
}

void JobQueue::On(const QueueTick& /*event*/) {
  if (!this->recovered) {
    return;
  }
  while (!this->delayed.empty() && this->delayed.begin()->first <= this->now) {
    const TaskId task = this->delayed.begin()->second;
    this->delayed.erase(this->delayed.begin());
    const QueueTask* row = this->FindTask(task);
    if (row != nullptr && row->stage == QueueStage::kWaiting) {
      QueueJob& job = this->known_jobs.at(task.job);
      job.waiting.push_back(task.index);
      this->ready[job.spec.priority][job.spec.team].emplace(job.number, task.job);
    }
  }
  this->Dispatch();
  this->SendAssignments();
  this->SendWithdrawals();
}

std::vector<JobStatus> JobQueue::jobs() const {
  std::vector<JobStatus> rows;
  for (const auto& [name, job] : this->known_jobs) {
    JobStatus row;
    row.spec = job.spec;
    row.assigned = job.assigned;
    row.finished = job.finished;
    row.failed = job.failed;
    row.cancelled = job.cancelled_tasks;
    const std::uint32_t idle =
        job.spec.count - job.assigned - job.finished - job.failed - job.cancelled_tasks;
    row.waiting = job.unplaceable ? 0 : idle;
    row.unplaceable = job.unplaceable ? idle : 0;
    row.evictions = job.evictions;
    row.reason = job.reason;
    rows.push_back(row);
  }
  return rows;
}

std::uint64_t JobQueue::Append(const internal::QueueRecord& record, bool urgent) {
  const std::uint64_t sequence = this->next_sequence++;
  this->actions.emplace_back(AppendRecord{sequence, internal::EncodeQueueRecord(record), urgent});
  return sequence;
}

void JobQueue::Report(EventCode code, std::vector<std::pair<std::string, std::string>> fields) {
  fields.emplace_back("queue", this->queue.str());
  this->actions.emplace_back(ReportEvent{EventRecord{code, std::move(fields)}});
}

QueueTask* JobQueue::FindTask(const TaskId& task) {
  const auto job = this->known_jobs.find(task.job);
  if (job == this->known_jobs.end() || task.index >= job->second.tasks.size()) {
    return nullptr;
  }
  return &job->second.tasks[task.index];
}

}  // namespace pistachio
