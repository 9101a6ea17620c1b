#include <algorithm>

#include "pistachio/process/tasks/job_queue.h"

namespace pistachio {

using internal::QueueJob;
using internal::QueueTask;

namespace {

constexpr std::size_t kMaxSendsPerRound = 1000;  ///< messages of one kind for one event

}  // namespace

void JobQueue::SendAssignments() {
  std::size_t sent = 0;
  for (auto& [rack, tasks] : this->unconfirmed) {
    const std::uint64_t settled_below = this->SettledBelow(rack);
    for (const auto& [serial, id] : tasks) {
      QueueJob& job = this->known_jobs.at(id.job);
      QueueTask& task = job.tasks[id.index];
      const bool on_record = serial <= this->committed_through;
      if (!on_record || job.cancelled || this->now < task.next_send) {
        continue;
      }
      if (++sent > kMaxSendsPerRound) {
        return;
      }
      task.next_send = this->now + this->limits.repeat_every;
      this->actions.emplace_back(
          SendAssignment{{id, task.attempt, this->queue, rack, job.spec, task.checkpoint,
                          task.avoid_targets, serial, settled_below}});
    }
  }
}

void JobQueue::SendWithdrawals() {
  std::size_t sent = 0;
  for (const TaskId& id : this->withdrawing) {
    const QueueJob& job = this->known_jobs.at(id.job);
    QueueTask& task = *this->FindTask(id);
    if (job.cancel_record > this->committed_through || this->now < task.next_send) {
      continue;
    }
    if (++sent > kMaxSendsPerRound) {
      return;
    }
    task.next_send = this->now + this->limits.repeat_every;
    this->actions.emplace_back(SendWithdrawal{
        task.rack,
        {id, task.attempt, true, this->queue, task.serial, this->SettledBelow(task.rack)}});
  }
}

void JobQueue::Acknowledge(const RackId& rack, const TaskId& task, AttemptNumber attempt) {
  this->actions.emplace_back(
      AcknowledgeEnd{rack, task, attempt, this->queue, this->SettledBelow(rack)});
}

std::uint64_t JobQueue::SettledBelow(const RackId& rack) const {
  const std::uint64_t next = this->committed_through + 1;
  const auto sent = this->unconfirmed.find(rack);
  if (sent == this->unconfirmed.end() || sent->second.empty()) {
    return next;
  }
  return std::min(next, sent->second.begin()->first);
}

void JobQueue::AnswerJob(QueueJob& job) {
  this->actions.emplace_back(AnswerSubmission{job.spec.job, true, job.reason});
  this->Report(EventCode::kJobAccepted, {{"job", job.spec.job.str()},
                                         {"tasks", std::to_string(job.spec.count)},
                                         {"reason", job.reason}});
}

void JobQueue::RefuseJob(const JobId& job, const std::string& reason) {
  this->actions.emplace_back(AnswerSubmission{job, false, reason});
  this->Report(EventCode::kJobRefused, {{"job", job.str()}, {"reason", reason}});
}

}  // namespace pistachio
