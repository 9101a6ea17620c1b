#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/rack_controller.h"

namespace pistachio {

using internal::Placement;
using internal::PlacementStage;

void RackController::ExpireCommands() {
  const Duration patience = 2 * this->limits.command_timeout;
  std::vector<internal::SentCommand> expired;
  for (const auto& [id, sent] : this->sent_commands) {
    if (this->now - sent.sent_at < patience) {
      break;  // ids rise with the time of sending
    }
    expired.push_back(sent);
  }
  for (const internal::SentCommand& sent : expired) {
    this->sent_commands.erase(sent.id);
    this->TakeAnswer(sent, {CommandStatus::kUnknown, "no answer in time", {}, std::nullopt});
  }
}

void RackController::ExpireLeases() {
  std::vector<TaskId> stopped;
  for (const auto& [task, placement] : this->placements) {
    const bool started = placement.stage != PlacementStage::kIntended;
    if (started && this->now >= placement.sure_stopped_at) {
      stopped.push_back(task);
    }
  }
  for (const TaskId& task : stopped) {
    const Placement& placement = this->placements.at(task);
    const bool wanted = placement.stage == PlacementStage::kStopping;
    const std::string reason =
        wanted ? placement.reason : "its target was silent until its lease ran out";
    this->End(task, wanted ? placement.goal : AttemptOutcome::kLost, reason);
  }
}

void RackController::ResumePlacements() {
  for (auto& [task, placement] : this->placements) {
    if (placement.stage == PlacementStage::kIntended) {
      this->Start(placement);
    } else if (placement.stage == PlacementStage::kStopping) {
      this->SendStop(placement);
    }
  }
}

void RackController::RenewTargets() {
  for (auto& [id, target] : this->targets) {
    const bool wanted = target.listed || !target.tasks.empty();
    if (wanted && !target.renew_in_flight && this->now >= target.next_renew) {
      this->Renew(target);
    }
  }
}

void RackController::RefillEvictions() {
  if (this->now < this->next_eviction) {
    return;
  }
  this->next_eviction = this->now + this->limits.eviction_every;
  this->evictions_left = std::min(this->evictions_left + 1, this->limits.eviction_burst);
}

bool RackController::SpendEviction() {
  if (this->evictions_left == 0) {
    return false;
  }
  --this->evictions_left;
  return true;
}

void RackController::ReactToReports() {
  if (this->now >= this->act_until) {
    return;
  }
  std::vector<Reaction> reactions;
  for (auto& [id, target] : this->targets) {
    if (!std::exchange(target.unread_report, false)) {
      continue;
    }
    for (const Reaction& reaction : React(this->policy, target.view, this->now)) {
      reactions.push_back(reaction);
    }
  }
  for (const Reaction& reaction : reactions) {
    this->Carry(reaction);
  }
  for (EventRecord& event : TakeEvents(this->policy)) {
    this->actions.emplace_back(ReportEvent{std::move(event)});
  }
}

void RackController::Carry(const Reaction& reaction) {
  const auto found = this->placements.find(reaction.task);
  if (found == this->placements.end() || found->second.stage != PlacementStage::kRunning) {
    return;
  }
  Placement& placement = found->second;
  this->actions.emplace_back(ReportEvent{EventOf(reaction)});
  if (reaction.kind == ReactionKind::kEvict) {
    if (this->SpendEviction()) {
      this->BeginStop(placement, AttemptOutcome::kEvicted, reaction.reason);
    }
    return;
  }
  placement.throttle = reaction.throttle;
  TargetView& view = this->targets.at(placement.target).view;
  view.changed_at = this->now;
  for (Neighbour& neighbour : view.neighbours) {
    if (neighbour.task == reaction.task) {
      neighbour.throttle = reaction.throttle;
    }
  }
  this->Send(placement.target, ThrottleCommand{reaction.task, placement.attempt, reaction.throttle},
             reaction.task, placement.attempt, std::nullopt);
  this->Report(EventCode::kTaskThrottled, {{"task", reaction.task.str()},
                                           {"target", placement.target.str()},
                                           {"throttle", std::to_string(reaction.throttle)},
                                           {"reason", reaction.reason}});
}

void RackController::LeaveTargets() {
  if (this->now >= this->act_until) {
    return;
  }
  std::vector<TaskId> leaving;
  for (const auto& [task, placement] : this->placements) {
    const TargetStanding standing = this->targets.at(placement.target).standing;
    const bool leaves =
        standing == TargetStanding::kLeaving || standing == TargetStanding::kDrained;
    if (leaves && placement.stage != PlacementStage::kStopping) {
      leaving.push_back(task);
    }
  }
  for (const TaskId& task : leaving) {
    if (!this->SpendEviction()) {
      return;
    }
    this->BeginStop(this->placements.at(task), AttemptOutcome::kEvicted, "its target leaves");
  }
}

}  // namespace pistachio
