#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/rack_controller.h"

namespace pistachio {

using internal::Placement;
using internal::RackTarget;

namespace {

PlacementRequest RequestFor(const TaskAssignment& assignment) {
  const JobSpec& spec = assignment.spec;
  return {assignment.task, spec.kind, spec.work_class, spec.priority, spec.declared};
}

Resources FreeOf(const RackTarget& target) {
  return target.view.capacity - target.view.committed - target.reserved;
}

bool Avoids(const TaskAssignment& assignment, const TargetId& target) {
  const auto& avoided = assignment.avoid_targets;
  return std::find(avoided.begin(), avoided.end(), target) != avoided.end();
}

std::string TextOf(const std::vector<ScoredTarget>& beaten) {
  std::string text;
  for (const ScoredTarget& other : beaten) {
    text += (text.empty() ? "" : " ") + other.target.str() + "=" + std::to_string(other.score);
  }
  return text;
}

}  // namespace

bool RackController::IsStale(const UnitId& queue, std::uint64_t serial) const {
  const auto floor = this->floors.find(queue);
  return floor != this->floors.end() && serial < floor->second.settled_below;
}

void RackController::RaiseFloor(const UnitId& queue, std::uint64_t settled_below) {
  internal::QueueFloor& floor = this->floors[queue];
  floor.settled_below = std::max(floor.settled_below, settled_below);
}

bool RackController::TakesWork(const RackTarget& target) const {
  const bool live = target.listed && target.standing == TargetStanding::kLive;
  const bool answers = target.reported && target.misses == 0;
  const bool probing = target.tasks.empty() && this->now >= target.next_probe;
  return live && answers && target.strays.empty() && (!target.quarantined || probing);
}

bool RackController::Suits(const RackTarget& target, const TaskAssignment& assignment,
                           bool avoid) const {
  if (!this->TakesWork(target) || (avoid && Avoids(assignment, target.view.target))) {
    return false;
  }
  return assignment.spec.declared.FitsIn(target.view.capacity);
}

bool RackController::TryPlace(const TaskAssignment& assignment) {
  const bool avoid =
      std::any_of(this->targets.begin(), this->targets.end(),
                  [&](const auto& entry) { return this->Suits(entry.second, assignment, true); });
  std::vector<TargetView> candidates;
  for (const auto& [id, target] : this->targets) {
    const bool fits = assignment.spec.declared.FitsIn(FreeOf(target));
    if (fits && this->Suits(target, assignment, avoid)) {
      candidates.push_back(target.view);
    }
  }
  if (candidates.empty()) {
    return false;
  }
  const std::optional<PlacementDecision> decision =
      Place(this->policy, RequestFor(assignment), candidates);
  if (!decision) {
    return false;
  }
  this->RecordIntent(assignment, *decision);
  return true;
}

std::optional<std::vector<TaskId>> RackController::FindVictims(const RackTarget& target,
                                                               const JobSpec& spec) const {
  std::vector<Neighbour> lower;
  Resources free = FreeOf(target);
  for (const Neighbour& neighbour : target.view.neighbours) {
    const auto placement = this->placements.find(neighbour.task);
    if (placement->second.stage == internal::PlacementStage::kStopping) {
      free += neighbour.declared;
    } else if (neighbour.kind == WorkKind::kBatch && neighbour.priority < spec.priority &&
               neighbour.priority < kUrgentPriority) {
      lower.push_back(neighbour);
    }
  }
  std::sort(lower.begin(), lower.end(), [](const Neighbour& a, const Neighbour& b) {
    return std::make_pair(a.priority, -a.declared.cpu_millis) <
           std::make_pair(b.priority, -b.declared.cpu_millis);
  });
  std::vector<TaskId> victims;
  for (std::size_t i = 0; i < lower.size() && !spec.declared.FitsIn(free); ++i) {
    free += lower[i].declared;
    victims.push_back(lower[i].task);
  }
  if (!spec.declared.FitsIn(free)) {
    return std::nullopt;
  }
  return victims;
}

bool RackController::MakeRoom(const TaskAssignment& assignment) {
  const JobSpec& spec = assignment.spec;
  if (spec.priority < kUrgentPriority) {
    return false;
  }
  RackTarget* best = nullptr;
  std::vector<TaskId> victims;
  for (auto& [id, target] : this->targets) {
    if (!this->Suits(target, assignment, true) || target.quarantined) {
      continue;
    }
    std::optional<std::vector<TaskId>> found = this->FindVictims(target, spec);
    if (found && (best == nullptr || found->size() < victims.size())) {
      best = &target;
      victims = std::move(*found);
    }
  }
  if (best == nullptr || victims.size() > this->evictions_left) {
    return false;
  }
  this->evictions_left -= static_cast<std::uint32_t>(victims.size());
  best->reserved += spec.declared;
  this->waiting[assignment.task] = {assignment, best->view.target, this->now};
  for (const TaskId& victim : victims) {
    this->BeginStop(this->placements.at(victim), AttemptOutcome::kEvicted,
                    "room for urgent " + assignment.task.str());
  }
  return true;
}

void RackController::DropWaiting(const TaskId& task) {
  const auto found = this->waiting.find(task);
  if (found == this->waiting.end()) {
    return;
  }
  this->targets.at(found->second.target).reserved -= found->second.assignment.spec.declared;
  this->waiting.erase(found);
}

void RackController::RetryWaiting() {
  std::vector<TaskId> tasks;
  for (const auto& [task, entry] : this->waiting) {
    tasks.push_back(task);
  }
  for (const TaskId& task : tasks) {
    const internal::WaitingAssignment entry = this->waiting.at(task);
    const TaskAssignment& assignment = entry.assignment;
    const RackTarget& target = this->targets.at(entry.target);
    const Resources free = target.view.capacity - target.view.committed;
    if (this->TakesWork(target) && assignment.spec.declared.FitsIn(free)) {
      this->DropWaiting(task);
      this->RecordIntent(assignment, {entry.target, 0.0, "room was made for urgent work", {}});
    } else if (this->now - entry.since >= this->limits.make_room_timeout) {
      this->DropWaiting(task);
      this->Refuse(task, assignment.attempt, assignment.queue, assignment.serial,
                   AttemptOutcome::kReturned, "room for urgent work was not made in time");
    }
  }
}

void RackController::RecordIntent(const TaskAssignment& assignment,
                                  const PlacementDecision& decision) {
  Placement placement;
  placement.task = assignment.task;
  placement.attempt = assignment.attempt;
  placement.queue = assignment.queue;
  placement.serial = assignment.serial;
  placement.checkpoint = assignment.checkpoint;
  placement.target = decision.target;
  internal::RackIntentRecord record;
  record.job = this->JobNumber(assignment.spec);
  record.index = assignment.task.index;
  record.attempt = assignment.attempt;
  record.serial = assignment.serial;
  record.queue = assignment.queue;
  record.target = decision.target;
  record.checkpoint = assignment.checkpoint;
  placement.record = this->Append(record, assignment.spec.priority >= kUrgentPriority);
  this->awaiting_commit.emplace_back(placement.record, placement.task);
  this->ended.erase(placement.task);
  this->Occupy(placement);
  this->Report(EventCode::kTaskPlaced, {{"task", placement.task.str()},
                                        {"attempt", std::to_string(placement.attempt)},
                                        {"target", decision.target.str()},
                                        {"score", std::to_string(decision.score)},
                                        {"reason", decision.reason},
                                        {"beaten", TextOf(decision.beaten)}});
}

std::uint32_t RackController::JobNumber(const JobSpec& spec) {
  const auto known = this->jobs.find(spec.job);
  if (known != this->jobs.end()) {
    return known->second.number;
  }
  const std::uint32_t number = this->next_job_number++;
  this->jobs[spec.job] = {spec, number, 0};
  this->job_names[number] = spec.job;
  this->Append(internal::RackJobRecord{number, spec}, false);
  return number;
}

void RackController::Occupy(const Placement& placement) {
  internal::RackJob& job = this->jobs.at(placement.task.job);
  const JobSpec& spec = job.spec;
  ++job.live_tasks;
  RackTarget& target = this->targets[placement.target];
  target.view.target = placement.target;
  target.view.rack = this->rack;
  target.view.committed += spec.declared;
  target.view.neighbours.push_back(
      {placement.task, spec.kind, spec.work_class, spec.priority, spec.declared, 1.0});
  target.view.changed_at = this->now;
  target.tasks.insert(placement.task);
  if (target.quarantined) {
    target.next_probe = this->now + this->limits.quarantine_probe_every;
  }
  this->placements[placement.task] = placement;
}

void RackController::Release(const Placement& placement) {
  RackTarget& target = this->targets.at(placement.target);
  internal::RackJob& job = this->jobs.at(placement.task.job);
  --job.live_tasks;
  target.view.committed -= job.spec.declared;
  auto& neighbours = target.view.neighbours;
  const auto row = std::find_if(neighbours.begin(), neighbours.end(), [&](const Neighbour& other) {
    return other.task == placement.task;
  });
  neighbours.erase(row);
  target.view.changed_at = this->now;
  target.tasks.erase(placement.task);
}

}  // namespace pistachio
