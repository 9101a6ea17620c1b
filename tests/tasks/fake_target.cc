#include "tests/tasks/fake_target.h"

#include <algorithm>

namespace pistachio::testing {

namespace {

std::string CheckpointOf(const FakeRow& row) {
  return row.service ? "" : std::to_string(row.done.count());
}

}  // namespace

CommandAnswer FakeTarget::Handle(Epoch epoch, const TargetCommand& command, TimePoint now) {
  if (this->fences_epochs && epoch < this->newest_epoch) {
    return {CommandStatus::kRefused, "old epoch", {}, std::nullopt};
  }
  this->newest_epoch = std::max(this->newest_epoch, epoch);
  CommandAnswer answer =
      std::visit([&](const auto& typed) { return this->On(typed, now); }, command);
  answer.report = this->Report();
  return answer;
}

CommandAnswer FakeTarget::On(const StartCommand& command, TimePoint now) {
  const auto known = this->rows.find(command.task);
  if (known != this->rows.end() && known->second.attempt >= command.attempt) {
    const bool same = known->second.attempt == command.attempt &&
                      known->second.state == TargetTaskState::kRunning;
    return {same ? CommandStatus::kDone : CommandStatus::kRefused, "known attempt", {}, {}};
  }
  FakeRow row;
  row.attempt = command.attempt;
  row.declared = command.spec.declared;
  row.service = command.spec.kind == WorkKind::kService;
  row.total = command.spec.expected_run;
  row.resumed_from = command.checkpoint;
  row.done = command.checkpoint.empty() ? Duration(0) : Duration(std::stoll(command.checkpoint));
  row.lease_until = now + command.lease_term;
  row.state = this->fails_everything ? TargetTaskState::kFailed : TargetTaskState::kRunning;
  this->rows[command.task] = row;
  return {CommandStatus::kDone, {}, {}, {}};
}

CommandAnswer FakeTarget::On(const RenewCommand& command, TimePoint now) {
  for (const auto& [task, attempt] : command.tasks) {
    const auto row = this->rows.find(task);
    if (row != this->rows.end() && row->second.attempt == attempt) {
      row->second.lease_until = now + command.lease_term;
    }
  }
  return {CommandStatus::kDone, {}, {}, {}};
}

CommandAnswer FakeTarget::On(const StopCommand& command, TimePoint /*now*/) {
  const auto row = this->rows.find(command.task);
  const bool runs = row != this->rows.end() && row->second.attempt == command.attempt &&
                    row->second.state == TargetTaskState::kRunning;
  if (runs) {
    row->second.state = TargetTaskState::kStopped;
  }
  return {CommandStatus::kDone, {}, {}, {}};
}

CommandAnswer FakeTarget::On(const CheckpointCommand& command, TimePoint now) {
  CommandAnswer answer = this->On(StopCommand{command.task, command.attempt}, now);
  const auto row = this->rows.find(command.task);
  if (row != this->rows.end() && row->second.attempt == command.attempt) {
    answer.checkpoint = CheckpointOf(row->second);
  }
  return answer;
}

CommandAnswer FakeTarget::On(const ThrottleCommand& /*command*/, TimePoint /*now*/) {
  return {CommandStatus::kDone, {}, {}, {}};
}

CommandAnswer FakeTarget::On(const ForgetCommand& command, TimePoint /*now*/) {
  const auto row = this->rows.find(command.task);
  const bool over = row != this->rows.end() && row->second.attempt == command.attempt &&
                    row->second.state != TargetTaskState::kRunning;
  if (over) {
    this->rows.erase(row);
  }
  return {CommandStatus::kDone, {}, {}, {}};
}

void FakeTarget::Advance(TimePoint now, Duration step) {
  for (auto& [task, row] : this->rows) {
    if (row.state != TargetTaskState::kRunning) {
      continue;
    }
    if (now >= row.lease_until) {
      row.state = TargetTaskState::kStopped;
      continue;
    }
    row.done += step;
    if (!row.service && row.done >= row.total) {
      row.state = TargetTaskState::kFinished;
    }
  }
}

void FakeTarget::Restart() {
  this->rows.clear();
  ++this->boot;
}

TargetReport FakeTarget::Report() const {
  TargetReport report;
  report.target = this->id;
  report.boot = this->boot;
  report.capacity = this->capacity;
  for (const auto& [task, row] : this->rows) {
    TargetTask told;
    told.task = task;
    told.attempt = row.attempt;
    told.state = row.state;
    told.checkpoint = row.state == TargetTaskState::kStopped ? CheckpointOf(row) : "";
    report.tasks.push_back(told);
  }
  return report;
}

}  // namespace pistachio::testing
