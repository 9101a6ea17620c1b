#include <algorithm>
#include <limits>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

namespace internal {

Resources CountedResources(const StepSpec& spec) {
  Resources counted = spec.need;
  counted.cpu_millis = spec.best_effort ? 0 : counted.cpu_millis;
  return counted;
}

/// \returns the smallest share of a resource of \a need that the target has left, after what is
///   reserved there; negative if more is reserved than free.
double SmallestFreeShare(const CellTarget& target, const Resources& need) {
  const Resources& capacity = target.load.capacity;
  const Resources free = capacity - target.load.used - target.reserved;
  double share = 1.0;
  const auto add = [&share](std::int64_t needed, std::int64_t left, std::int64_t whole) {
    if (needed > 0 && whole > 0) {
      share = std::min(share, static_cast<double>(left) / static_cast<double>(whole));
    }
  };
  add(need.cpu_millis, free.cpu_millis, capacity.cpu_millis);
  add(need.memory_mib, free.memory_mib, capacity.memory_mib);
  add(need.accelerators, free.accelerators, capacity.accelerators);
  return share;
}

}  // namespace internal

void Cell::ReserveForStep(const PendingStep& pending, bool with_destination, TimePoint now) {
  std::vector<Task>& tasks =
      pending.submission->occurrences.at(pending.occurrence).steps[pending.step].tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    Task& task = tasks[index];
    if (task.phase != TaskPhase::kWaiting || !task.run_seen_at ||
        (with_destination && task.destination.empty())) {
      continue;
    }
    const TaskKey key{pending.submission->accepted.id, pending.occurrence, pending.step, index};
    this->ReleaseReservation(*pending.submission, key, task);
    const bool placeable = this->ReserveResources(*pending.submission, key, &task, now);
    if (placeable) {
      task.unplaceable_since = TimePoint{};
    } else if (task.unplaceable_since == TimePoint{}) {
      task.unplaceable_since = now;
    }
  }
}

bool Cell::HasDestination(const PendingStep& pending) {
  const std::vector<Task>& tasks =
      pending.submission->occurrences.at(pending.occurrence).steps[pending.step].tasks;
  return pending.sort_key.starved && std::any_of(tasks.begin(), tasks.end(), [](const Task& task) {
           return task.phase == TaskPhase::kWaiting && !task.destination.empty();
         });
}

void Cell::ReleaseReservation(const Submission& submission, const TaskKey& key, const Task& task) {
  if (task.destination.empty()) {
    return;
  }
  for (auto& [id, target] : this->targets) {
    this->ReleaseReservationOn(&target, submission, key);
  }
}

void Cell::ReleaseReservationOn(Target* target, const Submission& submission, const TaskKey& key) {
  const auto found = std::find(target->reserved_for.begin(), target->reserved_for.end(), key);
  if (found != target->reserved_for.end()) {
    target->reserved_for.erase(found);
    target->reserved -= internal::CountedResources(submission.Step(key.step));
  }
}

bool Cell::MayReserveOn(const Target& target, const Submission& submission, const TaskKey& key,
                        TimePoint now) const {
  const StepSpec& spec = submission.Step(key.step);
  const Resources need = internal::CountedResources(spec);
  return !target.suspect_task &&
         (target.long_running_used + target.reserved + need).FitsIn(target.load.capacity) &&
         !this->IsAtStepLimit(target, spec, key) &&
         this->MayRunOn(target, spec, this->ServiceOf(submission), now);
}

void Cell::ReserveOn(Target* target, const Submission& submission, const TaskKey& key) {
  target->reserved += internal::CountedResources(submission.Step(key.step));
  target->reserved_for.push_back(key);
}

bool Cell::ReserveResources(const Submission& submission, const TaskKey& key, Task* task,
                            TimePoint now) {
  task->reserved_since = task->reserved_since.value_or(now);
  const Resources need = internal::CountedResources(submission.Step(key.step));
  Target* best = nullptr;
  double best_share = 0.0;
  for (auto& [id, target] : this->targets) {
    // Short tasks soon free their resources; long-running tasks do not.
    const double share = id == task->destination ? std::numeric_limits<double>::infinity()
                                                 : internal::SmallestFreeShare(target, need);
    if ((best == nullptr || share > best_share) &&
        this->MayReserveOn(target, submission, key, now)) {
      best = &target;
      best_share = share;
    }
  }
  if (best == nullptr) {
    return false;
  }
  this->ReserveOn(best, submission, key);
  return true;
}

bool Cell::IsAtStepLimit(const Target& target, const StepSpec& spec, const TaskKey& key) const {
  if (spec.max_per_target == 0) {
    return false;
  }
  const auto reserved = std::count_if(
      target.reserved_for.begin(), target.reserved_for.end(), [&key](const TaskKey& other) {
        return other.submission == key.submission && other.occurrence == key.occurrence &&
               other.step == key.step;
      });
  return this->CountTasksOfStep(target, key) + static_cast<std::uint32_t>(reserved) >=
         spec.max_per_target;
}

bool Cell::FewTargetsSilent() const {
  const auto silent =
      std::count_if(this->targets.begin(), this->targets.end(), [](const auto& entry) {
        return entry.second.failed_holds > 0 && entry.second.entry.state != TargetState::kDraining;
      });
  const double allowed =
      static_cast<double>(this->targets.size()) * this->settings.preemption.max_silent_share;
  return static_cast<double>(silent) <= std::max(1.0, allowed);
}

bool Cell::IsLeaving(const Target& target, bool few_silent, TimePoint now) const {
  if (target.entry.state == TargetState::kDraining) {
    return true;
  }
  if (target.failed_holds < this->settings.health.max_failed_holds) {
    return false;
  }
  // However many are silent, new work must not take the room that will be needed soon.
  const PreemptionSettings& limits = this->settings.preemption;
  return LeaseEnd(target) - now <= limits.reserve_ahead_of_expiry ||
         (few_silent && (!target.registered || now - target.silent_since >= limits.max_silence));
}

bool Cell::NeedsPlace(const Target& target, const Task& task) {
  // Of a run that an earlier owner has assigned, a silent target has shown nothing yet.
  const bool may_have_begun = task.phase == TaskPhase::kStarting && !task.IsUnsent() &&
                              target.entry.state != TargetState::kDraining;
  return task.phase == TaskPhase::kRunning || may_have_begun;
}

void Cell::KeepDestinations(TimePoint now) {
  const bool few_silent = this->FewTargetsSilent();
  for (auto& [id, target] : this->targets) {
    const bool was_leaving = target.is_leaving;
    target.is_leaving = this->IsLeaving(target, few_silent, now);
    if (!target.is_leaving && !was_leaving) {
      continue;
    }
    for (const TaskKey& key : target.tasks) {
      Submission* submission = this->FindSubmission(key.submission);
      Task* task = submission->FindTask(key);
      const bool runs = NeedsPlace(target, *task);
      const bool moves =
          task->phase == TaskPhase::kStopping && task->stop_reason == StopReason::kMoved;
      if (target.is_leaving && !task->destination.empty() && (runs || moves)) {
        this->ReserveResources(*submission, key, task, now);
      } else if (!target.is_leaving && runs) {
        task->destination = TargetId();
        task->reserved_since.reset();
      }
    }
  }
}

void Cell::EvacuateLongRunningTasks(TimePoint now) {
  for (auto& [id, target] : this->targets) {
    if (!target.is_leaving) {
      continue;
    }
    const bool draining = target.entry.state == TargetState::kDraining;
    for (const TaskKey& key : std::set<TaskKey>(target.tasks)) {
      Submission* submission = this->FindSubmission(key.submission);
      Task* task = submission->FindTask(key);
      const StepSpec& spec = submission->Step(key.step);
      if (!spec.long_running || spec.gang || !NeedsPlace(target, *task)) {
        continue;
      }
      this->ReleaseReservation(*submission, key, *task);
      if (!draining || !target.registered) {
        this->ReserveResources(*submission, key, task, now);
        continue;
      }
      Target* destination = this->ChooseTarget(*submission, key, *task, now);
      if (destination == nullptr) {
        // The run continues until the target leaves or another one has room.
        this->ReserveResources(*submission, key, task, now);
        this->LogEvacuationWait(&target, key, now);
        continue;
      }
      task->destination = destination->entry.id;
      this->ReserveOn(destination, *submission, key);
      this->BeginStop(key, task, StopReason::kMoved, now);
    }
  }
}

void Cell::LogEvacuationWait(Target* target, const TaskKey& key, TimePoint now) {
  if (target->evacuation_wait_logged) {
    return;
  }
  target->evacuation_wait_logged = true;
  const Duration time_left = target->entry.drain_remaining - (now - target->draining_since);
  this->Log(EventCode::kEvacuationWaits, {{"cell", this->cell_id.str()},
                                          {"target", target->entry.id.str()},
                                          {"task", key.str()},
                                          {"drain-left-ms", MillisecondsText(time_left)}});
}

void Cell::MoveRunsOffDrainingTargets(TimePoint now) {
  for (auto& [id, target] : this->targets) {
    if (!target.registered || target.entry.state != TargetState::kDraining) {
      continue;
    }
    const Duration time_left = target.entry.drain_remaining - (now - target.draining_since);
    for (const TaskKey& key : std::set<TaskKey>(target.tasks)) {
      Submission* submission = this->FindSubmission(key.submission);
      Task* task = submission->FindTask(key);
      const StepSpec& spec = submission->Step(key.step);
      if (task->phase != TaskPhase::kRunning || spec.gang || spec.long_running) {
        continue;
      }
      constexpr double kFullPercent = 100.0;
      const Duration remaining_work = std::chrono::duration_cast<Duration>(
          this->LearnedOf(*submission, key.step).Usual(spec.estimate) *
          (kFullPercent - task->percent) / kFullPercent);
      const bool ends_in_time = remaining_work < time_left;
      // If the task fits on no other target, the run continues until the target leaves.
      if (ends_in_time) {
        continue;
      }
      if (this->ChooseTarget(*submission, key, *task, now) != nullptr) {
        this->BeginStop(key, task, StopReason::kMoved, now);
      } else {
        this->LogEvacuationWait(&target, key, now);
      }
    }
  }
}

}  // namespace pistachio
