#include "pistachio/process/tasks/rack_controller.h"

#include <utility>

namespace pistachio {

RackController::RackController(RackId rack, const RackLimits& limits, const Policy& policy)
    : rack(std::move(rack)), limits(limits), policy(policy) {
  this->evictions_left = limits.eviction_burst;
}

std::vector<RackAction> RackController::Handle(const RackEvent& event, TimePoint now) {
  this->now = now;
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  return std::exchange(this->actions, {});
}

void RackController::On(const ActUntilChanged& event) { this->act_until = event.act_until; }

void RackController::On(const TargetsListed& event) {
  for (auto& [id, target] : this->targets) {
    target.listed = false;
  }
  for (const TargetListing& listing : event.targets) {
    if (listing.rack != this->rack) {
      continue;
    }
    internal::RackTarget& target = this->targets[listing.target];
    target.view.target = listing.target;
    target.view.rack = this->rack;
    target.view.capacity = listing.capacity;
    target.standing = listing.standing;
    target.listed = true;
  }
  for (auto it = this->targets.begin(); it != this->targets.end();) {
    const bool unused = it->second.tasks.empty() && it->second.reserved == Resources{};
    it = !it->second.listed && unused ? this->targets.erase(it) : std::next(it);
  }
}

void RackController::On(const AssignmentReceived& event) {
  if (!this->recovered) {
    return;
  }
  const TaskAssignment& assignment = event.assignment;
  this->RaiseFloor(assignment.queue, assignment.settled_below);
  const auto ended = this->ended.find(assignment.task);
  if (ended != this->ended.end()) {
    if (ended->second.end.attempt >= assignment.attempt) {
      if (ended->second.end.attempt == assignment.attempt) {
        ended->second.acknowledged = false;  // the queue would not ask had it the end on record
        this->Tell(ended->second);
      }
      return;
    }
    // A later attempt is assigned only once the end of the earlier one is on record.
    ended->second.acknowledged = true;
  }
  const auto live = this->placements.find(assignment.task);
  if (live != this->placements.end()) {
    const internal::Placement& placement = live->second;
    if (placement.attempt == assignment.attempt && placement.record <= this->committed_through) {
      this->actions.emplace_back(
          ConfirmAssignment{placement.queue, placement.task, placement.attempt});
    }
    return;
  }
  if (this->waiting.count(assignment.task) > 0) {
    return;
  }
  if (this->IsStale(assignment.queue, assignment.serial)) {
    this->Report(EventCode::kAssignmentStale,
                 {{"task", assignment.task.str()}, {"serial", std::to_string(assignment.serial)}});
    return;
  }
  this->JobNumber(assignment.spec);
  if (this->TryPlace(assignment) || this->MakeRoom(assignment)) {
    return;
  }
  this->Refuse(assignment.task, assignment.attempt, assignment.queue, assignment.serial,
               AttemptOutcome::kReturned, "no target of the rack has room");
}

void RackController::On(const WithdrawalReceived& event) {
  if (!this->recovered) {
    return;
  }
  this->RaiseFloor(event.queue, event.settled_below);
  const AttemptOutcome outcome =
      event.cancelled ? AttemptOutcome::kCancelled : AttemptOutcome::kReturned;
  const auto live = this->placements.find(event.task);
  if (live != this->placements.end()) {
    if (live->second.attempt != event.attempt) {
      return;
    }
    const bool started = live->second.stage != internal::PlacementStage::kIntended;
    const AttemptOutcome goal = started && !event.cancelled ? AttemptOutcome::kEvicted : outcome;
    this->BeginStop(live->second, goal, event.cancelled ? "cancelled" : "withdrawn");
    return;
  }
  const auto ended = this->ended.find(event.task);
  if (ended != this->ended.end() && ended->second.end.attempt >= event.attempt) {
    ended->second.acknowledged = false;
    this->Tell(ended->second);
    return;
  }
  if (this->IsStale(event.queue, event.serial)) {
    return;
  }
  this->DropWaiting(event.task);
  this->Refuse(event.task, event.attempt, event.queue, event.serial, outcome,
               "withdrawn before it started");
}

void RackController::On(const EndAcknowledged& event) {
  this->RaiseFloor(event.queue, event.settled_below);
  const auto ended = this->ended.find(event.task);
  if (ended != this->ended.end() && ended->second.end.attempt == event.attempt) {
    ended->second.acknowledged = true;
  }
}

void RackController::On(const CommandAnswered& event) {
  const auto found = this->sent_commands.find(event.command);
  if (found == this->sent_commands.end()) {
    return;
  }
  const internal::SentCommand sent = std::move(found->second);
  this->sent_commands.erase(found);
  this->TakeAnswer(sent, event.answer);
}

void RackController::On(const RackTick& /*event*/) {
  if (!this->recovered) {
    return;
  }
  this->RefillEvictions();
  this->ExpireCommands();
  this->ExpireLeases();
  this->ResumePlacements();
  this->RenewTargets();
  this->ReactToReports();
  this->LeaveTargets();
  this->RetryWaiting();
  this->RepeatEnds();
  this->ForgetSettled();
}

void RackController::SetWeights(const PolicyWeights& weights) {
  if (auto* interference = std::get_if<InterferencePolicy>(&this->policy)) {
    interference->SetWeights(weights);
  }
}

std::map<TargetId, Resources> RackController::committed() const {
  std::map<TargetId, Resources> amounts;
  for (const auto& [id, target] : this->targets) {
    amounts[id] = target.view.committed;
  }
  return amounts;
}

std::map<ServiceId, std::vector<TargetId>> RackController::routes() const {
  std::map<ServiceId, std::vector<TargetId>> found;
  for (const auto& [task, placement] : this->placements) {
    const JobSpec& spec = this->SpecOf(task.job);
    const internal::RackTarget& target = this->targets.at(placement.target);
    const bool serves = spec.kind == WorkKind::kService &&
                        placement.stage == internal::PlacementStage::kRunning &&
                        target.standing == TargetStanding::kLive;
    if (serves) {
      found[spec.service].push_back(placement.target);
    }
  }
  return found;
}

std::vector<TargetView> RackController::views() const {
  std::vector<TargetView> found;
  for (const auto& [id, target] : this->targets) {
    if (!target.listed || target.standing != TargetStanding::kLive) {
      continue;
    }
    found.push_back(target.view);
    found.back().committed = target.view.committed + target.reserved;
    if (!this->TakesWork(target)) {
      found.back().committed = target.view.capacity;
    }
  }
  return found;
}

Resources RackController::preemptible() const {
  Resources sum;
  for (const auto& [id, target] : this->targets) {
    for (const Neighbour& neighbour : target.view.neighbours) {
      if (neighbour.kind == WorkKind::kBatch && neighbour.priority < kUrgentPriority) {
        sum += neighbour.declared;
      }
    }
  }
  return sum;
}

std::uint64_t RackController::Append(const internal::RackRecord& record, bool urgent) {
  const std::uint64_t sequence = this->next_sequence++;
  this->actions.emplace_back(AppendRecord{sequence, internal::EncodeRackRecord(record), urgent});
  return sequence;
}

void RackController::Report(EventCode code,
                            std::vector<std::pair<std::string, std::string>> fields) {
  fields.emplace_back("rack", this->rack.str());
  this->actions.emplace_back(ReportEvent{EventRecord{code, std::move(fields)}});
}

const JobSpec& RackController::SpecOf(const JobId& job) const { return this->jobs.at(job).spec; }

}  // namespace pistachio
