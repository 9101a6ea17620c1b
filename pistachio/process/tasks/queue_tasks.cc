#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/job_queue.h"

namespace pistachio {

using internal::QueueJob;
using internal::QueueStage;
using internal::QueueTask;

namespace {

constexpr std::size_t kMaxAvoidedTargets = 8;
constexpr std::uint32_t kLossesPerAttempt = 3;  ///< lost targets are seldom the task's own fault
constexpr std::uint32_t kMaxDelayDoublings = 5;
constexpr Duration kFirstDelay = std::chrono::seconds(1);
constexpr std::size_t kMaxDoneJobs = 2000;

void Avoid(QueueTask& task, const TargetId& target) {
  if (target.empty()) {
    return;
  }
  task.avoid_targets.push_back(target);
  if (task.avoid_targets.size() > kMaxAvoidedTargets) {
    task.avoid_targets.erase(task.avoid_targets.begin());
  }
}

bool IsSpent(const JobSpec& spec, const QueueTask& task) {
  if (spec.kind == WorkKind::kService) {
    return false;
  }
  return task.failures >= spec.max_attempts || task.losses >= kLossesPerAttempt * spec.max_attempts;
}

}  // namespace

void JobQueue::Count(QueueJob& job, const RackId& rack) {
  ++job.assigned;
  ++job.per_rack[rack];
  this->team_committed[job.spec.team] += job.spec.declared;
}

void JobQueue::Uncount(QueueJob& job, const RackId& rack) {
  --job.assigned;
  --job.per_rack[rack];
  this->team_committed[job.spec.team] -= job.spec.declared;
}

void JobQueue::ApplyAssignment(QueueJob& job, std::uint32_t index, const RackId& rack,
                               std::uint64_t serial) {
  QueueTask& task = job.tasks[index];
  task.stage = QueueStage::kAssigned;
  // Read back from the ledger, the assignment may come before its wait is over.
  this->delayed.erase({task.wait_until, {job.spec.job, index}});
  ++task.attempt;
  task.rack = rack;
  task.serial = serial;
  task.next_send = {};
  this->unconfirmed[rack][serial] = {job.spec.job, index};
  this->Count(job, rack);
}

void JobQueue::ApplyEnd(QueueJob& job, std::uint32_t index, AttemptOutcome outcome,
                        const TargetId& target, const std::string& checkpoint) {
  QueueTask& task = job.tasks[index];
  const bool service = job.spec.kind == WorkKind::kService;
  this->Uncount(job, task.rack);
  this->unconfirmed[task.rack].erase(task.serial);
  this->withdrawing.erase({job.spec.job, index});
  task.checkpoint = checkpoint.empty() ? task.checkpoint : checkpoint;
  if (outcome == AttemptOutcome::kFinished && !service) {
    this->Settle(job, index, QueueStage::kFinished);
    return;
  }
  if (job.cancelled || outcome == AttemptOutcome::kCancelled) {
    this->Settle(job, index, QueueStage::kCancelled);
    return;
  }
  const bool returned = outcome == AttemptOutcome::kReturned;
  task.returns = returned ? task.returns + 1 : 0;
  if (outcome == AttemptOutcome::kEvicted) {
    ++job.evictions;
  } else {
    Avoid(task, target);
  }
  task.failures += outcome == AttemptOutcome::kFailed ? 1 : 0;
  task.losses += outcome == AttemptOutcome::kLost ? 1 : 0;
  if (IsSpent(job.spec, task)) {
    this->Settle(job, index, QueueStage::kFailed);
    return;
  }
  this->Wait(job, index);
}

void JobQueue::Wait(QueueJob& job, std::uint32_t index) {
  QueueTask& task = job.tasks[index];
  task.stage = QueueStage::kWaiting;
  const std::uint32_t tries = task.returns + task.failures + task.losses;
  if (tries == 0) {
    job.waiting.push_back(index);
    this->ready[job.spec.priority][job.spec.team].emplace(job.number, job.spec.job);
    return;
  }
  const Duration delay = kFirstDelay * (1U << std::min(tries - 1, kMaxDelayDoublings));
  task.wait_until = this->now + delay;
  this->delayed.emplace(task.wait_until, TaskId{job.spec.job, index});
}

void JobQueue::Settle(QueueJob& job, std::uint32_t index, QueueStage stage) {
  QueueTask& task = job.tasks[index];
  task.stage = stage;
  switch (stage) {
    case QueueStage::kFinished:
      ++job.finished;
      return;
    case QueueStage::kFailed:
      ++job.failed;
      this->Report(EventCode::kTaskGivenUp, {{"task", TaskId{job.spec.job, index}.str()},
                                             {"attempts", std::to_string(task.attempt)},
                                             {"reason", job.reason}});
      return;
    case QueueStage::kCancelled:
      ++job.cancelled_tasks;
      return;
    case QueueStage::kWaiting:
    case QueueStage::kAssigned:
      return;
  }
}

void JobQueue::ApplyCancel(QueueJob& job) {
  job.cancelled = true;
  job.waiting.clear();
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    QueueTask& task = job.tasks[index];
    if (task.stage == QueueStage::kWaiting) {
      this->Settle(job, index, QueueStage::kCancelled);
    } else if (task.stage == QueueStage::kAssigned) {
      task.next_send = {};
      this->withdrawing.insert({job.spec.job, index});
    }
  }
}

void JobQueue::FinishIfDone(const JobId& name) {
  QueueJob& job = this->known_jobs.at(name);
  const std::uint32_t settled = job.finished + job.failed + job.cancelled_tasks;
  if (settled < job.spec.count || job.tasks.empty()) {
    return;
  }
  this->job_names.erase(job.number);  // no record names it any more
  job.tasks = {};
  job.waiting = {};
  job.per_rack = {};
  this->done_jobs.push_back(name);
  if (this->done_jobs.size() > kMaxDoneJobs) {
    this->known_jobs.erase(this->done_jobs.front());
    this->done_jobs.pop_front();
  }
}

}  // namespace pistachio
