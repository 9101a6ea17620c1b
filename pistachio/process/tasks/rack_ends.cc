#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/rack_controller.h"

namespace pistachio {

using internal::EndedAttempt;
using internal::Placement;

void RackController::End(const TaskId& running, AttemptOutcome outcome, const std::string& reason) {
  const TaskId task = running;  // the placement that holds it goes
  const auto found = this->placements.find(task);
  const Placement placement = found->second;
  const JobSpec& spec = this->SpecOf(task.job);
  internal::RackEndRecord record;
  record.job = this->jobs.at(task.job).number;
  record.task.index = task.index;
  record.attempt = placement.attempt;
  record.outcome = outcome;
  record.checkpoint = outcome == AttemptOutcome::kFinished ? std::string() : placement.checkpoint;
  record.reason = reason;
  EndedAttempt& ended = this->ended[task];
  ended = {};
  ended.end = {task,   placement.attempt, outcome,         record.checkpoint, placement.target,
               reason, this->rack,        placement.serial};
  ended.queue = placement.queue;
  ended.quiet_from = placement.quiet_from;
  ended.record = this->Append(record, spec.priority >= kUrgentPriority || !this->waiting.empty());
  this->awaiting_commit.emplace_back(ended.record, task);
  this->Release(placement);
  this->placements.erase(task);  // which may hold what `reason` refers to
  this->Report(EventCode::kTaskEnded, {{"task", task.str()},
                                       {"attempt", std::to_string(placement.attempt)},
                                       {"target", placement.target.str()},
                                       {"outcome", NameOf(outcome)},
                                       {"reason", record.reason}});
}

void RackController::Refuse(const TaskId& task, AttemptNumber attempt, const UnitId& queue,
                            std::uint64_t serial, AttemptOutcome outcome,
                            const std::string& reason) {
  internal::RackEndRecord record;
  record.task = task;
  record.attempt = attempt;
  record.serial = serial;
  record.queue = queue;
  record.outcome = outcome;
  record.reason = reason;
  EndedAttempt& ended = this->ended[task];
  ended = {};
  ended.end = {task, attempt, outcome, {}, {}, reason, this->rack, serial};
  ended.queue = queue;
  ended.record = this->Append(record, false);
  this->awaiting_commit.emplace_back(ended.record, task);
  this->Report(EventCode::kTaskReturned, {{"task", task.str()},
                                          {"attempt", std::to_string(attempt)},
                                          {"outcome", NameOf(outcome)},
                                          {"reason", reason}});
}

void RackController::Tell(EndedAttempt& ended) {
  if (ended.acknowledged || ended.record > this->committed_through) {
    return;
  }
  ended.next_tell = this->now + this->limits.repeat_every;
  this->actions.emplace_back(TellEnd{ended.queue, ended.end});
}

void RackController::RepeatEnds() {
  for (auto& [task, ended] : this->ended) {
    if (this->now >= ended.next_tell) {
      this->Tell(ended);
    }
  }
}

void RackController::On(const RecordsCommitted& event) {
  this->committed_through = std::max(this->committed_through, event.through);
  while (!this->awaiting_commit.empty() &&
         this->awaiting_commit.front().first <= this->committed_through) {
    const auto [record, task] = this->awaiting_commit.front();
    this->awaiting_commit.pop_front();
    const auto live = this->placements.find(task);
    if (live != this->placements.end() && live->second.record == record) {
      const Placement& placement = live->second;
      this->actions.emplace_back(
          ConfirmAssignment{placement.queue, placement.task, placement.attempt});
      this->Start(live->second);
    }
    const auto ended = this->ended.find(task);
    if (ended != this->ended.end() && ended->second.record == record) {
      this->Tell(ended->second);
    }
  }
}

void RackController::ForgetSettled() {
  for (auto it = this->ended.begin(); it != this->ended.end();) {
    const EndedAttempt& ended = it->second;
    const bool settled = ended.acknowledged && this->IsStale(ended.queue, ended.end.serial);
    const bool quiet = this->now >= ended.quiet_from;
    // The floor must be on record first, or a later owner would take an old assignment for new.
    const auto floor = this->floors.find(ended.queue);
    const bool on_record = floor != this->floors.end() && ended.end.serial < floor->second.recorded;
    it = settled && quiet && on_record ? this->ended.erase(it) : std::next(it);
  }
  this->RecordFloors();
  this->ForgetJobs();
}

void RackController::RecordFloors() {
  for (auto& [queue, floor] : this->floors) {
    if (floor.recorded < floor.settled_below) {
      floor.recorded = floor.settled_below;
      this->Append(internal::RackFloorRecord{queue, floor.settled_below}, false);
    }
  }
}

void RackController::ForgetJobs() {
  for (auto it = this->jobs.begin(); it != this->jobs.end();) {
    const auto waits = this->waiting.lower_bound({it->first, 0});
    const bool used = it->second.live_tasks > 0 ||
                      (waits != this->waiting.end() && waits->first.job == it->first);
    if (used) {
      ++it;
      continue;
    }
    this->job_names.erase(it->second.number);
    it = this->jobs.erase(it);
  }
}

}  // namespace pistachio
