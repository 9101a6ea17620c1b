#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/job_queue.h"

namespace pistachio {

using internal::QueueJob;
using internal::QueueRecord;
using internal::QueueStage;
using internal::QueueTask;

void JobQueue::On(const RackRecovered& event) {
  const auto rooms = std::move(this->rooms);
  const auto quotas = std::move(this->quotas);
  const Resources capacity = this->total_capacity;
  const TimePoint now = this->now;
  const TimePoint act_until = this->act_until;
  *this = JobQueue(this->queue, this->limits);
  this->rooms = rooms;
  this->quotas = quotas;
  this->total_capacity = capacity;
  this->now = now;
  this->act_until = act_until;
  this->next_sequence = event.next_sequence;
  this->committed_through = event.next_sequence - 1;
  std::string reason = "a record names an unknown job or task";
  const auto snapshot = internal::DecodeQueueSnapshot(event.snapshot, reason);
  bool whole = snapshot.has_value();
  for (std::size_t i = 0; whole && i < snapshot->size(); ++i) {
    whole = this->ApplyRecord((*snapshot)[i]);
  }
  for (std::size_t i = 0; whole && i < event.records.size(); ++i) {
    const std::optional<QueueRecord> record = internal::DecodeQueueRecord(event.records[i], reason);
    whole = record && this->ApplyRecord(*record);
  }
  this->actions.clear();
  if (!whole) {
    // Acting on half a ledger could hand a task out twice, so this owner acts on nothing.
    this->Report(EventCode::kLedgerRecordBad, {{"reason", reason}});
    return;
  }
  this->recovered = true;
  this->Report(EventCode::kQueueRecovered, {{"epoch", std::to_string(event.epoch)},
                                            {"jobs", std::to_string(this->known_jobs.size())}});
}

bool JobQueue::ApplyRecord(const QueueRecord& record) {
  return std::visit([this](const auto& typed) { return this->Apply(typed); }, record);
}

QueueJob* JobQueue::FindByNumber(std::uint32_t number, std::uint32_t index) {
  const auto name = this->job_names.find(number);
  if (name == this->job_names.end()) {
    return nullptr;
  }
  QueueJob& job = this->known_jobs.at(name->second);
  return index < job.tasks.size() ? &job : nullptr;
}

bool JobQueue::Apply(const internal::QueueJobRecord& record) {
  const bool again = this->known_jobs.count(record.spec.job) > 0;
  if (again || this->job_names.count(record.number) > 0 || record.spec.count == 0) {
    return false;
  }
  QueueJob job;
  job.spec = record.spec;
  job.number = record.number;
  job.evictions = record.evictions;
  job.tasks.resize(record.spec.count);
  for (std::uint32_t index = 0; index < record.spec.count; ++index) {
    job.waiting.push_back(index);
  }
  this->job_names[record.number] = record.spec.job;
  this->next_job_number = std::max(this->next_job_number, record.number + 1);
  this->ready[record.spec.priority][record.spec.team].emplace(record.number, record.spec.job);
  this->known_jobs[record.spec.job] = std::move(job);
  return true;
}

bool JobQueue::Apply(const internal::QueueAssignRecord& record) {
  QueueJob* job = this->FindByNumber(record.job, record.index);
  if (job == nullptr || job->tasks[record.index].stage != QueueStage::kWaiting) {
    return false;
  }
  auto& waiting = job->waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), record.index), waiting.end());
  this->ApplyAssignment(*job, record.index, record.rack, record.serial);
  return true;
}

bool JobQueue::Apply(const internal::QueueEndRecord& record) {
  QueueJob* job = this->FindByNumber(record.job, record.index);
  if (job == nullptr || job->tasks[record.index].stage != QueueStage::kAssigned) {
    return false;
  }
  this->ApplyEnd(*job, record.index, record.outcome, record.target, record.checkpoint);
  this->FinishIfDone(job->spec.job);
  return true;
}

bool JobQueue::Apply(const internal::QueueCancelRecord& record) {
  QueueJob* job = this->FindByNumber(record.job, 0);
  if (job == nullptr) {
    return false;
  }
  this->ApplyCancel(*job);
  this->FinishIfDone(job->spec.job);
  return true;
}

bool JobQueue::Apply(const internal::QueueTaskRecord& record) {
  QueueJob* job = this->FindByNumber(record.job, record.index);
  if (job == nullptr || record.stage > static_cast<std::uint32_t>(QueueStage::kCancelled)) {
    return false;
  }
  QueueTask& task = job->tasks[record.index];
  const bool assigned = record.stage == static_cast<std::uint32_t>(QueueStage::kAssigned);
  const bool untouched = task.stage == QueueStage::kWaiting && task.attempt == 0;
  if (!untouched || (assigned && record.attempt == 0)) {
    return false;
  }
  auto& waiting = job->waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), record.index), waiting.end());
  task.attempt = record.attempt;
  task.checkpoint = record.checkpoint;
  task.failures = record.failures;
  task.losses = record.losses;
  task.avoid_targets = record.avoid_targets;
  switch (static_cast<QueueStage>(record.stage)) {
    case QueueStage::kWaiting:
      this->Wait(*job, record.index);
      return true;
    case QueueStage::kAssigned:
      --task.attempt;  // counted again by the assignment
      this->ApplyAssignment(*job, record.index, record.rack, record.serial);
      return true;
    default:
      this->Settle(*job, record.index, static_cast<QueueStage>(record.stage));
      return true;
  }
}

bool JobQueue::Apply(const internal::QueueDoneRecord& record) {
  if (this->known_jobs.count(record.spec.job) > 0) {
    return false;
  }
  QueueJob job;
  job.spec = record.spec;
  job.finished = record.finished;
  job.failed = record.failed;
  job.cancelled_tasks = record.cancelled;
  job.evictions = record.evictions;
  this->known_jobs[record.spec.job] = std::move(job);
  this->done_jobs.push_back(record.spec.job);
  return true;
}

std::string JobQueue::TakeSnapshot() const {
  std::vector<QueueRecord> records;
  for (const auto& [name, job] : this->known_jobs) {
    if (job.tasks.empty()) {
      continue;
    }
    records.emplace_back(internal::QueueJobRecord{job.number, job.spec, job.evictions});
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
      const QueueTask& task = job.tasks[index];
      if (task.stage == QueueStage::kWaiting && task.attempt == 0) {
        continue;
      }
      records.emplace_back(internal::QueueTaskRecord{
          job.number, index, static_cast<std::uint32_t>(task.stage), task.attempt, task.rack,
          task.serial, task.checkpoint, task.failures, task.losses, task.avoid_targets});
    }
    if (job.cancelled) {
      records.emplace_back(internal::QueueCancelRecord{job.number});
    }
  }
  for (const JobId& name : this->done_jobs) {
    const QueueJob& job = this->known_jobs.at(name);
    records.emplace_back(internal::QueueDoneRecord{job.spec, job.finished, job.failed,
                                                   job.cancelled_tasks, job.evictions});
  }
  return internal::EncodeQueueSnapshot(records);
}

}  // namespace pistachio
