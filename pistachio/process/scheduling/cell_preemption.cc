#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

namespace internal {

/// A run that may be stopped.
struct PreemptibleRun {
  TaskKey key;
  Resources resources;  ///< that its end frees
  std::int32_t priority = 0;
  std::uint32_t preemptions = 0;
  double lost_value = 0.0;  ///< of its submission
  double lost_work = 0.0;   ///< in processor time, microseconds
};

/// \returns true if the end of a run with \a freed takes resources off \a shortfall.
bool Helps(const Resources& freed, const Resources& shortfall) {
  return (shortfall.cpu_millis > 0 && freed.cpu_millis > 0) ||
         (shortfall.memory_mib > 0 && freed.memory_mib > 0) ||
         (shortfall.accelerators > 0 && freed.accelerators > 0);
}

bool IsCovered(const Resources& shortfall) { return shortfall.FitsIn(Resources{}); }

/// \returns the time of work that a stop of the run throws away.
Duration LostTime(const StepSpec& spec, const Task& task, Duration usual) {
  // Checkpoints are frequent, so little is lost since the last one.
  constexpr double kLostShareWithCheckpoint = 0.1;
  constexpr double kFullPercent = 100.0;
  const double share =
      task.percent / kFullPercent *
      (spec.checkpointing && !task.checkpoint.empty() ? kLostShareWithCheckpoint : 1.0);
  return std::chrono::duration_cast<Duration>(share * usual);
}

}  // namespace internal

void Cell::PreemptForReservations(TimePoint now) {
  // Without these, the place could not be used once it is free.
  if (!this->registrations_current || !this->MayExtendLeases(now)) {
    return;
  }
  std::vector<std::pair<TimePoint, TaskKey>> due;
  for (const auto& [id, target] : this->targets) {
    for (const TaskKey& key : target.reserved_for) {
      Submission* submission = this->FindSubmission(key.submission);
      const Task& task = *submission->FindTask(key);
      if (this->IsPlaceDue(*submission, key, task, now)) {
        due.emplace_back(task.run_seen_at.value_or(now), key);
      }
    }
  }
  if (due.empty()) {
    return;
  }
  std::sort(due.begin(), due.end());
  std::size_t under_way = this->CountPreemptionsUnderWay();
  // Steps that no stops would help, with the target that the place is reserved on. The reservations
  // of the other tasks of a step are in the way of the first, not in their own.
  std::set<std::tuple<SubmissionId, std::uint32_t, TargetId>> hopeless;
  for (const auto& [run_seen_at, key] : due) {
    if (under_way >= this->settings.preemption.max_under_way) {
      return;
    }
    Submission* submission = this->FindSubmission(key.submission);
    Task* task = submission->FindTask(key);
    Target* reserved_on = nullptr;
    for (auto& [id, target] : this->targets) {
      const std::vector<TaskKey>& keys = target.reserved_for;
      if (std::find(keys.begin(), keys.end(), key) != keys.end()) {
        reserved_on = &target;
      }
    }
    const auto step_there = std::make_tuple(key.submission, key.step, reserved_on->entry.id);
    if (hopeless.count(step_there) != 0) {
      continue;
    }
    this->ReleaseReservationOn(reserved_on, *submission, key);
    const auto plan = this->PlanPreemption(*submission, key, *task, now);
    if (!plan) {
      hopeless.insert(step_there);
      this->ReserveOn(reserved_on, *submission, key);
      continue;
    }
    this->ReserveOn(plan->target, *submission, key);
    task->destination = plan->target->entry.id;
    this->Preempt(*plan, key, now);
    under_way += plan->runs.size();
  }
}

void Cell::Preempt(const PreemptionPlan& plan, const TaskKey& preferred, TimePoint now) {
  for (const TaskKey& victim : plan.runs) {
    Task* stopped = this->FindSubmission(victim.submission)->FindTask(victim);
    stopped->preemptions++;
    this->counts.preemptions++;
    this->Log(EventCode::kRunPreempted, {{"task", victim.str()},
                                         {"target", plan.target->entry.id.str()},
                                         {"reason", "reserved-place"},
                                         {"preferred", preferred.str()},
                                         {"percent", std::to_string(stopped->percent)},
                                         {"runs", std::to_string(plan.runs.size())},
                                         {"lost-value", std::to_string(plan.lost_value)}});
    this->BeginStop(victim, stopped, StopReason::kPreempted, now);
  }
}

bool Cell::IsPlaceDue(const Submission& submission, const TaskKey& key, const Task& task,
                      TimePoint now) {
  const StepSpec& spec = submission.Step(key.step);
  const bool reserved_for_long =
      task.reserved_since && now - *task.reserved_since >= this->settings.preemption.patience;
  if (!reserved_for_long || !spec.long_running || spec.gang ||
      this->orphaned_tasks.count(key) != 0 || this->WaitsForQuietTarget(spec, task, now)) {
    return false;
  }
  if (task.phase == TaskPhase::kWaiting) {
    return true;
  }
  const Target* target = this->FindTarget(task.incarnation.target);
  if (target == nullptr || !NeedsPlace(*target, task)) {
    return false;
  }
  if (target->entry.state != TargetState::kDraining) {
    return LeaseEnd(*target) - now <= this->settings.preemption.ahead_of_expiry &&
           !this->ManyRegisteredTargetsSilent();
  }
  const Duration time_left = target->entry.drain_remaining - (now - target->draining_since);
  return !target->registered || time_left <= this->settings.preemption.ahead_of_exit;
}

std::size_t Cell::CountPreemptionsUnderWay() {
  return static_cast<std::size_t>(std::count_if(
      this->tasks_with_orders.begin(), this->tasks_with_orders.end(), [this](const TaskKey& key) {
        Submission* submission = this->FindSubmission(key.submission);
        const Task* task = submission == nullptr ? nullptr : submission->FindTask(key);
        return task != nullptr && task->phase == TaskPhase::kStopping &&
               task->stop_reason == StopReason::kPreempted;
      }));
}

std::optional<Cell::PreemptionPlan> Cell::PlanPreemption(const Submission& submission,
                                                         const TaskKey& key, const Task& task,
                                                         TimePoint now) {
  const Resources need = internal::CountedResources(submission.Step(key.step));
  Target* destination = this->FindTarget(task.destination);
  if (destination != nullptr && this->MayReserveOn(*destination, submission, key, now)) {
    auto plan = this->PlanPreemptionOn(destination, need);
    if (plan) {
      return plan;
    }
  }
  const auto cost = [](const PreemptionPlan& plan) {
    return std::make_tuple(!plan.runs.empty(), -plan.top_priority, plan.lost_value, plan.lost_work,
                           plan.runs.size());
  };
  std::optional<PreemptionPlan> best;
  for (auto& [id, target] : this->targets) {
    if (!this->MayReserveOn(target, submission, key, now)) {
      continue;
    }
    auto plan = this->PlanPreemptionOn(&target, need);
    if (plan && (!best || cost(*plan) < cost(*best))) {
      best = std::move(plan);
    }
  }
  return best;
}

std::optional<Cell::PreemptionPlan> Cell::PlanPreemptionOn(Target* target, const Resources& need) {
  PreemptionPlan plan;
  plan.target = target;
  Resources shortfall = target->load.used + need - target->load.capacity;
  // Other reservations move on if their task has no destination here.
  for (const TaskKey& key : target->reserved_for) {
    Submission* submission = this->FindSubmission(key.submission);
    if (submission->FindTask(key)->destination == target->entry.id) {
      shortfall += internal::CountedResources(submission->Step(key.step));
    }
  }
  if (internal::IsCovered(shortfall)) {
    return plan;
  }
  std::vector<internal::PreemptibleRun> runs;
  for (const TaskKey& key : target->tasks) {
    Submission* submission = this->FindSubmission(key.submission);
    const StepSpec& spec = submission->Step(key.step);
    const Task& task = *submission->FindTask(key);
    const Resources freed = internal::CountedResources(spec);
    if (task.phase == TaskPhase::kStopping) {
      shortfall -= freed;
    } else if (task.phase == TaskPhase::kRunning && !spec.long_running && !spec.gang &&
               spec.max_unavailable == 0 &&
               task.preemptions < this->settings.preemption.max_per_task) {
      const Duration lost = internal::LostTime(
          spec, task, this->LearnedOf(*submission, key.step).Usual(spec.estimate));
      runs.push_back(internal::PreemptibleRun{
          key, freed, this->QueueOf(*submission).priority, task.preemptions,
          this->LossOfStop(submission, key, task, lost),
          static_cast<double>(lost.count()) * static_cast<double>(spec.need.cpu_millis)});
    }
  }
  std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
    return std::make_tuple(-a.priority, a.lost_value, a.preemptions, a.lost_work, a.key) <
           std::make_tuple(-b.priority, b.lost_value, b.preemptions, b.lost_work, b.key);
  });
  std::vector<internal::PreemptibleRun> chosen;
  for (const internal::PreemptibleRun& run : runs) {
    if (internal::Helps(run.resources, shortfall)) {
      shortfall -= run.resources;
      chosen.push_back(run);
    }
  }
  if (!internal::IsCovered(shortfall)) {
    return std::nullopt;
  }
  // Later choices may have made earlier ones needless; the dearest are spared first.
  for (auto run = chosen.rbegin(); run != chosen.rend(); ++run) {
    if (internal::IsCovered(shortfall + run->resources)) {
      shortfall += run->resources;
      continue;
    }
    plan.runs.push_back(run->key);
    plan.top_priority =
        plan.runs.size() == 1 ? run->priority : std::min(plan.top_priority, run->priority);
    plan.lost_value += run->lost_value;
    plan.lost_work += run->lost_work;
  }
  return plan;
}

}  // namespace pistachio
