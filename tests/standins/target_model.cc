#include "tests/standins/target_model.h"

#include <algorithm>

namespace pistachio::standins {

TargetModel::TargetModel(TargetListing listing, std::uint64_t boot)
    : description(std::move(listing)), boot(boot) {}

CommandAnswer TargetModel::Handle(Epoch epoch, const TargetCommand& command, TimePoint now) {
  this->Advance(now);
  if (epoch < this->highest_epoch && !this->fault_switches.ignores_epochs) {
    CommandAnswer answer;
    answer.status = CommandStatus::kRefused;
    answer.reason = "older epoch";
    answer.report = this->Report();
    return answer;
  }
  this->highest_epoch = std::max(this->highest_epoch, epoch);
  CommandAnswer answer =
      std::visit([this, now](const auto& typed) { return this->Run(typed, now); }, command);
  answer.report = this->Report();
  return answer;
}

CommandAnswer TargetModel::Run(const StartCommand& command, TimePoint now) {
  CommandAnswer answer;
  AttemptNumber& newest = this->newest_attempts[command.task];
  if (command.attempt <= newest) {
    const bool same = this->Find(command.task, command.attempt) != nullptr;
    answer.status = same ? CommandStatus::kDone : CommandStatus::kRefused;
    answer.reason = same ? "" : "attempt is not newer";
    return answer;
  }
  newest = command.attempt;
  this->tasks.erase(command.task);
  RunningTask task;
  task.spec = command.spec;
  task.attempt = command.attempt;
  task.lease_end = now + command.lease_term;
  task.advanced_to = now;
  task.done = command.checkpoint.empty() ? Duration(0) : Duration(std::stoll(command.checkpoint));
  task.interval = this->history.size();
  this->history.push_back(
      RunInterval{command.task, command.attempt, now, now, false, TargetTaskState::kRunning});
  RunningTask& held = this->tasks.emplace(command.task, std::move(task)).first->second;
  this->CheckCommitted();
  if (this->fault_switches.fails_starts) {
    held.reason = "cannot run here";
    this->End(held, TargetTaskState::kFailed, now);
  }
  answer.status = CommandStatus::kDone;
  return answer;
}

CommandAnswer TargetModel::Run(const RenewCommand& command, TimePoint now) {
  for (const auto& [id, attempt] : command.tasks) {
    RunningTask* task = this->Find(id, attempt);
    if (task != nullptr && task->state == TargetTaskState::kRunning) {
      task->lease_end = now + command.lease_term;
    }
  }
  CommandAnswer answer;
  answer.status = CommandStatus::kDone;
  return answer;
}

CommandAnswer TargetModel::Run(const StopCommand& command, TimePoint now) {
  AttemptNumber& newest = this->newest_attempts[command.task];
  newest = std::max(newest, command.attempt);
  RunningTask* task = this->Find(command.task, command.attempt);
  if (task != nullptr && task->state == TargetTaskState::kRunning) {
    this->End(*task, TargetTaskState::kStopped, now);
  }
  CommandAnswer answer;
  answer.status = CommandStatus::kDone;
  return answer;
}

CommandAnswer TargetModel::Run(const CheckpointCommand& command, TimePoint now) {
  CommandAnswer answer;
  RunningTask* task = this->Find(command.task, command.attempt);
  if (task == nullptr) {
    answer.status = CommandStatus::kRefused;
    answer.reason = "no such attempt";
    return answer;
  }
  if (task->state == TargetTaskState::kRunning) {
    this->End(*task, TargetTaskState::kStopped, now);
  }
  answer.status = CommandStatus::kDone;
  answer.checkpoint = this->CheckpointOf(*task);
  return answer;
}

CommandAnswer TargetModel::Run(const ThrottleCommand& command, TimePoint /*now*/) {
  CommandAnswer answer;
  RunningTask* task = this->Find(command.task, command.attempt);
  answer.status = task == nullptr ? CommandStatus::kRefused : CommandStatus::kDone;
  if (task != nullptr) {
    task->throttle = command.throttle;
  }
  return answer;
}

CommandAnswer TargetModel::Run(const ForgetCommand& command, TimePoint /*now*/) {
  RunningTask* task = this->Find(command.task, command.attempt);
  if (task != nullptr && task->state != TargetTaskState::kRunning) {
    this->tasks.erase(command.task);
  }
  CommandAnswer answer;
  answer.status = CommandStatus::kDone;
  return answer;
}

void TargetModel::Advance(TimePoint now) {
  for (auto& [id, task] : this->tasks) {
    if (task.state == TargetTaskState::kRunning) {
      this->AdvanceTask(task, now);
    }
  }
}

void TargetModel::AdvanceTask(RunningTask& task, TimePoint now) {
  const TimePoint until = std::min(now, task.lease_end);
  const double speed = task.throttle / this->fault_switches.slowdown;
  const auto passed = std::chrono::duration<double, std::micro>(until - task.advanced_to);
  const Duration before = task.done;
  task.done += Duration(static_cast<Duration::rep>(passed.count() * speed));
  const bool batch = task.spec.kind == WorkKind::kBatch;
  if (batch && task.done >= task.spec.expected_run) {
    const auto needed = static_cast<Duration::rep>(
        static_cast<double>((task.spec.expected_run - before).count()) / speed);
    this->End(task, TargetTaskState::kFinished, task.advanced_to + Duration(needed));
    return;
  }
  task.advanced_to = until;
  if (now >= task.lease_end) {
    task.reason = "lease ran out";
    this->End(task, TargetTaskState::kStopped, task.lease_end);
  }
}

void TargetModel::Restart(TimePoint now) {
  this->Advance(now);
  for (auto& [id, task] : this->tasks) {
    if (task.state == TargetTaskState::kRunning) {
      this->End(task, TargetTaskState::kStopped, now);
    }
  }
  this->tasks.clear();
  this->boot++;
}

bool TargetModel::RunsService(const ServiceId& service) const {
  return std::any_of(this->tasks.begin(), this->tasks.end(), [&service](const auto& row) {
    return row.second.state == TargetTaskState::kRunning && row.second.spec.service == service;
  });
}

TargetModel::RunningTask* TargetModel::Find(const TaskId& task, AttemptNumber attempt) {
  const auto found = this->tasks.find(task);
  const bool same = found != this->tasks.end() && found->second.attempt == attempt;
  return same ? &found->second : nullptr;
}

void TargetModel::End(RunningTask& task, TargetTaskState state, TimePoint now) {
  task.state = state;
  RunInterval& interval = this->history.at(task.interval);
  interval.end = now;
  interval.ended = true;
  interval.state = state;
}

void TargetModel::CheckCommitted() {
  Resources sum;
  for (const auto& [id, task] : this->tasks) {
    if (task.state == TargetTaskState::kRunning) {
      sum += task.spec.declared;
    }
  }
  this->over_committed += sum.FitsIn(this->description.capacity) ? 0 : 1;
}

std::string TargetModel::CheckpointOf(const RunningTask& task) const {
  return std::to_string(task.done.count());
}

TargetReport TargetModel::Report() const {
  TargetReport report;
  report.target = this->description.target;
  report.boot = this->boot;
  report.capacity = this->description.capacity;
  for (const auto& [id, task] : this->tasks) {
    TargetTask row;
    row.task = id;
    row.attempt = task.attempt;
    row.state = task.state;
    row.checkpoint = this->CheckpointOf(task);
    row.used = task.spec.declared;
    row.progress_rate = task.throttle / this->fault_switches.slowdown;
    row.reason = task.reason;
    report.tasks.push_back(std::move(row));
  }
  return report;
}

}  // namespace pistachio::standins
