#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/rack_controller.h"

namespace pistachio {

using internal::Placement;
using internal::PlacementStage;
using internal::RackTarget;
using internal::SentCommand;

namespace {

constexpr std::uint32_t kMissesBeforeProbe = 2;  ///< renewals without an answer
constexpr std::uint32_t kCheckpointTries = 2;    ///< before a plain stop

}  // namespace

std::uint64_t RackController::Send(const TargetId& target, TargetCommand command,
                                   const TaskId& task, AttemptNumber attempt,
                                   std::optional<TimePoint> not_after) {
  const std::uint64_t id = this->next_command++;
  this->sent_commands[id] = {id, target, command, task, attempt, this->now};
  this->actions.emplace_back(SendCommand{id, target, this->epoch, std::move(command), not_after});
  return id;
}

void RackController::ExtendLease(Placement& placement) {
  const RackLimits& bounds = this->limits;
  const TimePoint end =
      this->now + bounds.command_timeout + bounds.task_lease_term + bounds.drift_margin;
  // After a takeover the earlier owner may renew for longer than this owner has asked for.
  placement.sure_stopped_at = std::max(placement.sure_stopped_at, end);
}

void RackController::Start(Placement& placement) {
  const bool on_record = placement.record <= this->committed_through;
  if (!on_record || this->now >= this->act_until) {
    return;
  }
  placement.stage = PlacementStage::kStarting;
  placement.quiet_from = this->now + this->limits.command_timeout;
  this->ExtendLease(placement);
  this->Send(placement.target,
             StartCommand{placement.task, placement.attempt, this->SpecOf(placement.task.job),
                          placement.checkpoint, this->limits.task_lease_term},
             placement.task, placement.attempt, this->act_until);
}

void RackController::BeginStop(Placement& placement, AttemptOutcome goal,
                               const std::string& reason) {
  if (placement.stage == PlacementStage::kIntended) {
    const AttemptOutcome outcome =
        goal == AttemptOutcome::kEvicted ? AttemptOutcome::kReturned : goal;
    this->End(placement.task, outcome, reason);
    return;
  }
  if (placement.stage == PlacementStage::kStopping) {
    // A cancelled task never resumes, so a cancellation replaces the reason of a stop under way.
    if (goal == AttemptOutcome::kCancelled) {
      placement.goal = goal;
      placement.reason = reason;
    }
    return;
  }
  const bool service = this->SpecOf(placement.task.job).kind == WorkKind::kService;
  const bool serves = service && placement.stage == PlacementStage::kRunning;
  const Duration drain = serves ? this->limits.service_drain : Duration(0);
  placement.stage = PlacementStage::kStopping;
  placement.goal = goal;
  placement.reason = reason;
  // A stop proves something only if no start that was sent can be carried out after it.
  placement.next_stop = std::max(this->now + drain, placement.quiet_from);
  this->Report(EventCode::kTaskStopping, {{"task", placement.task.str()},
                                          {"attempt", std::to_string(placement.attempt)},
                                          {"target", placement.target.str()},
                                          {"goal", NameOf(goal)},
                                          {"reason", reason}});
  this->SendStop(placement);
}

void RackController::SendStop(Placement& placement) {
  const bool may_act = this->now < this->act_until;
  if (!may_act || placement.stop_in_flight || this->now < placement.next_stop) {
    return;
  }
  const bool batch = this->SpecOf(placement.task.job).kind == WorkKind::kBatch;
  const bool resumes = placement.goal == AttemptOutcome::kEvicted;
  const bool checkpoint = batch && resumes && placement.stop_tries < kCheckpointTries;
  ++placement.stop_tries;
  placement.stop_in_flight = true;
  if (checkpoint) {
    this->Send(placement.target, CheckpointCommand{placement.task, placement.attempt},
               placement.task, placement.attempt, std::nullopt);
  } else {
    this->Send(placement.target, StopCommand{placement.task, placement.attempt}, placement.task,
               placement.attempt, std::nullopt);
  }
}

void RackController::Renew(RackTarget& target) {
  RenewCommand command;
  command.lease_term = this->limits.task_lease_term;
  const TimePoint not_after = this->act_until + this->limits.renew_grace;
  const bool renews = target.misses < kMissesBeforeProbe && this->now < not_after;
  for (const TaskId& task : target.tasks) {
    Placement& placement = this->placements.at(task);
    const bool may_run = placement.stage == PlacementStage::kStarting ||
                         placement.stage == PlacementStage::kUncertain ||
                         placement.stage == PlacementStage::kRunning;
    if (renews && may_run) {
      command.tasks.emplace_back(task, placement.attempt);
      this->ExtendLease(placement);
    }
  }
  target.renew_in_flight = true;
  target.next_renew = this->now + this->limits.renew_every;
  const bool bounded = !command.tasks.empty();
  this->Send(target.view.target, std::move(command), {}, 0,
             bounded ? std::optional<TimePoint>(not_after) : std::nullopt);
}

void RackController::TakeAnswer(const SentCommand& sent, const CommandAnswer& answer) {
  const auto target = this->targets.find(sent.target);
  if (target != this->targets.end() && std::holds_alternative<RenewCommand>(sent.command)) {
    target->second.renew_in_flight = false;
    const bool answered = answer.report.has_value();
    target->second.misses = answered ? 0 : target->second.misses + 1;
    if (target->second.misses == kMissesBeforeProbe) {
      this->Report(EventCode::kTargetSilent,
                   {{"target", sent.target.str()}, {"reason", answer.reason}});
    }
  }
  if (std::holds_alternative<StartCommand>(sent.command)) {
    this->TakeStartAnswer(sent, answer);
  } else if (std::holds_alternative<StopCommand>(sent.command) ||
             std::holds_alternative<CheckpointCommand>(sent.command)) {
    this->TakeStopAnswer(sent, answer);
  }
  if (answer.report && target != this->targets.end()) {
    this->TakeReport(sent, *answer.report);
  }
}

void RackController::TakeStartAnswer(const SentCommand& sent, const CommandAnswer& answer) {
  const auto found = this->placements.find(sent.task);
  if (found == this->placements.end() || found->second.attempt != sent.attempt) {
    return;
  }
  Placement& placement = found->second;
  if (placement.stage != PlacementStage::kStarting) {
    return;
  }
  RackTarget& target = this->targets.at(placement.target);
  switch (answer.status) {
    case CommandStatus::kDone:
      placement.stage = PlacementStage::kRunning;
      placement.running_since = this->now;
      return;
    case CommandStatus::kNotSent:
      ++target.misses;
      this->End(sent.task, AttemptOutcome::kReturned, "target not reached: " + answer.reason);
      return;
    case CommandStatus::kRefused:
      // Another copy of the command may have been carried out, so the refusal alone is no proof.
      this->NoteFailure(target, sent.task.job);
      this->BeginStop(placement, AttemptOutcome::kReturned, "refused: " + answer.reason);
      return;
    case CommandStatus::kUnknown:
      placement.stage = PlacementStage::kUncertain;
      target.next_renew = std::max(this->now, placement.quiet_from);
      this->Report(EventCode::kStartUncertain,
                   {{"task", sent.task.str()}, {"target", sent.target.str()}});
      return;
  }
}

void RackController::TakeStopAnswer(const SentCommand& sent, const CommandAnswer& answer) {
  const auto found = this->placements.find(sent.task);
  if (found == this->placements.end() || found->second.attempt != sent.attempt ||
      found->second.stage != PlacementStage::kStopping) {
    return;
  }
  Placement& placement = found->second;
  placement.stop_in_flight = false;
  placement.next_stop = this->now + this->limits.repeat_every;
  if (answer.status != CommandStatus::kDone || sent.sent_at < placement.quiet_from) {
    return;
  }
  const TargetReport* report = answer.report ? &*answer.report : nullptr;
  if (report != nullptr) {
    // The task may have finished before the stop came: then the finish wins.
    for (const TargetTask& row : report->tasks) {
      const bool same = row.task == sent.task && row.attempt == sent.attempt;
      if (same && row.state != TargetTaskState::kStopped) {
        return;
      }
    }
  }
  if (!answer.checkpoint.empty()) {
    placement.checkpoint = answer.checkpoint;
  }
  this->End(sent.task, placement.goal, placement.reason);
}

}  // namespace pistachio
