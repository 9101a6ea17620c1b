#include <algorithm>
#include <limits>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

ServiceId Cell::ServiceOf(const Submission& submission) const {
  return this->QueueOf(submission).service;
}

const QueueSettings& Cell::QueueOf(const Submission& submission) const {
  const QueueSettings* queue = this->configuration->FindQueue(submission.accepted.queue.id);
  return queue != nullptr ? *queue : submission.accepted.queue;
}

void Cell::AddDueOccurrences() {
  for (const SubmissionId& id : this->open_submissions) {
    Submission& submission = *this->FindSubmission(id);
    const SubmissionSpec& spec = submission.accepted.spec;
    while (submission.occurrences.size() < submission.OccurrenceCount()) {
      const auto number = static_cast<std::uint32_t>(submission.occurrences.size());
      if (spec.repeat_count > 0 && this->wall_time < spec.start_at + spec.interval * number) {
        break;
      }
      submission.AddOccurrence(number);
      this->schedule_due = true;
    }
  }
}

bool Cell::IsStarved(const StepSpec& spec, const StepProgress& progress, TimePoint now) const {
  return spec.long_running &&
         std::any_of(progress.tasks.begin(), progress.tasks.end(), [&](const Task& task) {
           return task.phase == TaskPhase::kWaiting && task.run_seen_at &&
                  (task.displaced || now - *task.run_seen_at >= this->settings.starved_after);
         });
}

std::vector<Cell::PendingStep> Cell::CollectPendingSteps(TimePoint now) {
  std::vector<PendingStep> pending_steps;
  this->batch_in_use = 0.0;
  this->best_effort_in_use = 0.0;
  for (const SubmissionId& id : this->open_submissions) {
    Submission& submission = *this->FindSubmission(id);
    const bool leaves = submission.moving || !submission.leaving_for.empty();
    if (submission.cancelled || submission.failed || leaves) {
      continue;
    }
    const bool urgent = this->QueueOf(submission).priority <= 0;
    for (auto& [number, occurrence] : submission.occurrences) {
      const SubmissionSpec& spec = submission.accepted.spec;
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const StepProgress& progress = occurrence.steps[step];
        if (!urgent && !spec.steps[step].long_running) {
          const auto running = progress.tasks.size() - progress.done - progress.waiting;
          (spec.steps[step].best_effort ? this->best_effort_in_use : this->batch_in_use) +=
              static_cast<double>(spec.steps[step].need.cpu_millis) * static_cast<double>(running);
        }
        if (progress.waiting == 0 || !submission.DependenciesDone(occurrence, step)) {
          continue;
        }
        PendingStep pending{
            &submission, number, step, this->DescribeWork(&submission, number, step), {}};
        pending.sort_key.starved = this->IsStarved(spec.steps[step], progress, now);
        pending.sort_key.waiting_cpu = spec.steps[step].need.cpu_millis * progress.waiting;
        if (!pending.sort_key.long_running && this->wall_time > pending.sort_key.due) {
          this->RecordServed(&submission, false);
        }
        pending_steps.push_back(pending);
      }
    }
  }
  if (this->scarce) {
    this->ChooseWork(&pending_steps);
    std::sort(pending_steps.begin(), pending_steps.end(),
              [](const PendingStep& a, const PendingStep& b) {
                return std::make_pair(!a.sort_key.starved, a.rank) <
                       std::make_pair(!b.sort_key.starved, b.rank);
              });
    return pending_steps;
  }
  this->waiting_profile = WaitingProfile{};
  std::sort(pending_steps.begin(), pending_steps.end(),
            [this](const PendingStep& a, const PendingStep& b) {
              return RunsBefore(a.sort_key, b.sort_key, this->wall_time);
            });
  return pending_steps;
}

bool Cell::UnplaceableTask::RulesOut(const StepSpec& spec, const ServiceId& other_service,
                                     const std::optional<double>& other_max_harm) const {
  const bool same_kind = this->service == other_service && this->best_effort == spec.best_effort &&
                         this->label == spec.required_label &&
                         (!this->best_effort || this->image == spec.image);
  const bool accepts_no_more =
      !this->max_harm || (other_max_harm && *other_max_harm <= *this->max_harm);
  return same_kind && accepts_no_more && this->need.FitsIn(spec.need);
}

void Cell::Schedule(TimePoint now) {
  // Once a task finds no target, tasks of the same requirements that need at least as much are
  // skipped for the rest of this round.
  std::vector<UnplaceableTask> unplaceable;
  this->UpdateRunLimits(now);
  std::vector<UnplacedWork> unplaced;
  this->scarce = this->settings.delay.enabled && this->unplaced_at &&
                 now - *this->unplaced_at <= this->settings.delay.scarce_for;
  for (auto& [id, target] : this->targets) {
    target.reserved = Resources{};
    target.reserved_for.clear();
  }
  this->GiveUpLateLeaving(now);
  this->KeepDestinations(now);
  this->ReleaseKeptTargets(now);
  this->orphaned_tasks.clear();
  for (const auto& [id, target] : this->targets) {
    for (const auto& [key, orphaned_run] : target.orphaned_runs) {
      this->orphaned_tasks.insert(key);
    }
  }
  std::vector<PendingStep> pending_steps = this->CollectPendingSteps(now);
  // A task takes its place before the place can be reserved for another.
  std::stable_partition(pending_steps.begin(), pending_steps.end(),
                        [](const PendingStep& pending) { return Cell::HasDestination(pending); });
  for (const PendingStep& pending : pending_steps) {
    if (pending.sort_key.starved) {
      this->ReserveForStep(pending, true, now);
    }
  }
  bool evacuated = false;
  for (const PendingStep& pending : pending_steps) {
    // Starved steps come first: their tasks have no run, unlike those on draining targets.
    if (!evacuated && !pending.sort_key.starved) {
      this->EvacuateLongRunningTasks(now);
      evacuated = true;
    }
    const StepSpec& spec = pending.submission->Step(pending.step);
    const ServiceId service = this->ServiceOf(*pending.submission);
    const std::optional<double> max_harm =
        this->HarmAcceptedBy(*pending.submission, pending.occurrence, pending.step, now);
    const bool ruled_out =
        !HasDestination(pending) &&
        std::any_of(unplaceable.begin(), unplaceable.end(), [&](const UnplaceableTask& earlier) {
          return earlier.RulesOut(spec, service, max_harm);
        });
    if (ruled_out && pending.sort_key.starved) {
      this->ReserveForStep(pending, false, now);
    }
    if (ruled_out) {
      this->NoteUnplaced(pending, &unplaced, now);
      continue;
    }
    if (this->WaitsForWhole(pending, now) || this->IsHeldBack(pending, unplaced)) {
      continue;
    }
    const bool all_placed =
        spec.gang ? this->PlaceGang(pending, now) : this->PlaceTasks(pending, now);
    if (!all_placed && pending.sort_key.starved) {
      this->ReserveForStep(pending, false, now);
    }
    if (!all_placed && !spec.gang && spec.max_per_target == 0) {
      this->NoteUnplaced(pending, &unplaced, now);
      unplaceable.push_back(UnplaceableTask{service, spec.required_label, spec.best_effort,
                                            spec.image, spec.need, max_harm});
    }
  }
  if (!evacuated) {
    this->EvacuateLongRunningTasks(now);
  }
  this->PreemptForReservations(now);
  // What the limit withheld is placed in the next round.
  this->schedule_due = this->schedule_due || this->return_limit.Exhausted();
}

bool Cell::WaitsForWhole(const PendingStep& pending, TimePoint now) const {
  // Other cells that have not been seen for this time may have lost their owners.
  constexpr Duration kMaxSightingAge = std::chrono::seconds(1);
  const Submission& submission = *pending.submission;
  const StepSpec& spec = submission.Step(pending.step);
  const bool may_move = spec.long_running && !submission.started && !spec.gang &&
                        submission.accepted.spec.repeat_count == 0 &&
                        submission.accepted.moves < this->settings.move.max_moves &&
                        now - this->other_cells_seen_at < kMaxSightingAge &&
                        now - submission.arrived_at < this->settings.move.max_wait_for_whole;
  if (!may_move) {
    return false;
  }
  const ServiceId service = this->ServiceOf(submission);
  std::int64_t places = 0;
  for (const auto& [id, target] : this->targets) {
    if (!this->MayRunOn(target, spec, service, now)) {
      continue;
    }
    const TargetLoad& load = target.load;
    const auto fitting = [](std::int64_t free, std::int64_t need) {
      return need > 0 ? std::max<std::int64_t>(0, free) / need
                      : std::numeric_limits<std::int64_t>::max();
    };
    const std::int64_t here =
        std::min(fitting(load.capacity.cpu_millis - load.used.cpu_millis, spec.need.cpu_millis),
                 fitting(load.capacity.memory_mib - load.used.memory_mib, spec.need.memory_mib));
    const std::int64_t limit = spec.max_per_target > 0 ? spec.max_per_target : spec.count;
    places += std::min(here, limit);
  }
  return places < static_cast<std::int64_t>(spec.count);
}

bool Cell::PlaceTasks(const PendingStep& pending, TimePoint now) {
  StepProgress& step = pending.submission->occurrences.at(pending.occurrence).steps[pending.step];
  bool all_placed = true;
  // A step is starved because of tasks that had a run, so these come before those that never ran;
  // first those for which a place is kept.
  enum class Turn { kHasDestination, kHadRun, kNeverRan };
  const auto turn_of = [](const Task& task) {
    if (!task.destination.empty()) {
      return Turn::kHasDestination;
    }
    return task.run_seen_at ? Turn::kHadRun : Turn::kNeverRan;
  };
  for (const Turn turn : {Turn::kHasDestination, Turn::kHadRun, Turn::kNeverRan}) {
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
      Task& task = step.tasks[index];
      if (task.phase != TaskPhase::kWaiting || turn_of(task) != turn) {
        continue;
      }
      const TaskKey key{pending.submission->accepted.id, pending.occurrence, pending.step, index};
      if (this->orphaned_tasks.count(key) != 0) {
        continue;
      }
      if (!task.open_start_at.empty() && this->TargetsOfOpenStarts(key, now).empty()) {
        task.open_start_at = TargetId();
        this->MarkDirty(key.submission);
      }
      this->ReleaseReservation(*pending.submission, key, task);
      Target* target = this->ChooseTarget(*pending.submission, key, task, now);
      if (target == nullptr &&
          this->WaitsForQuietTarget(pending.submission->Step(pending.step), task, now)) {
        this->KeepTargetForSuspect(*pending.submission, key, now);
        continue;
      }
      if (target == nullptr && !this->BindingTargets(key, now).empty()) {
        // Other tasks of the same requirements may find a target.
        if (pending.sort_key.starved) {
          this->ReserveResources(*pending.submission, key, &task, now);
        }
        continue;
      }
      if (target == nullptr && turn == Turn::kHasDestination) {
        // Others of the step may have their places already.
        this->ReserveResources(*pending.submission, key, &task, now);
        all_placed = false;
        continue;
      }
      if (target == nullptr) {
        this->BeginHarmWait(key, &step, now);
        return false;
      }
      this->Assign(pending.submission, key, &task, target, task.run + 1, now);
    }
  }
  return all_placed;
}

bool Cell::PlaceGang(const PendingStep& pending, TimePoint now) {
  StepProgress& step = pending.submission->occurrences.at(pending.occurrence).steps[pending.step];
  if (step.waiting != step.tasks.size()) {
    return false;
  }
  RunNumber run = 0;
  std::string checkpoint;
  for (const Task& task : step.tasks) {
    run = std::max(run, task.run);
    checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
  }
  std::vector<TaskKey> placed;
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    Task& task = step.tasks[index];
    const TaskKey key{pending.submission->accepted.id, pending.occurrence, pending.step, index};
    Target* target = this->ChooseTarget(*pending.submission, key, task, now);
    if (target == nullptr) {
      break;
    }
    task.checkpoint = checkpoint;
    this->Assign(pending.submission, key, &task, target, run + 1, now);
    placed.push_back(key);
  }
  if (placed.size() == step.tasks.size()) {
    return true;
  }
  for (const TaskKey& key : placed) {
    this->Requeue(pending.submission, key, pending.submission->FindTask(key), "gang-does-not-fit",
                  now);
  }
  this->schedule_due = false;
  return false;
}

bool Cell::TakesWork(const Target& target, TimePoint now) const {
  return this->IsReady(target) && target.reconciled && target.clock &&
         target.last_seen_end - target.last_acked_end < this->settings.max_unacked_ends &&
         target.failed_holds < this->settings.health.max_failed_holds &&
         target.health.MayStart(now) && !this->HasLeaseBound(target.entry.id) &&
         RunsLeft(target) > 0;
}

bool Cell::MayRunOn(const Target& target, const StepSpec& spec, const ServiceId& service,
                    TimePoint now) const {
  if (target.entry.service != service || !this->TakesWork(target, now)) {
    return false;
  }
  const std::vector<std::string>& labels = target.entry.labels;
  return spec.required_label.empty() ||
         std::find(labels.begin(), labels.end(), spec.required_label) != labels.end();
}

std::uint32_t Cell::CountTasksOfStep(const Target& target, const TaskKey& key) const {
  const auto first = target.tasks.lower_bound(TaskKey{key.submission, key.occurrence, key.step, 0});
  const auto last = target.tasks.upper_bound(
      TaskKey{key.submission, key.occurrence, key.step, std::numeric_limits<std::uint32_t>::max()});
  return static_cast<std::uint32_t>(std::distance(first, last));
}

Cell::Target* Cell::ChooseTarget(const Submission& submission, const TaskKey& key, const Task& task,
                                 TimePoint now) {
  const StepSpec& spec = submission.Step(key.step);
  const ServiceId service = this->ServiceOf(submission);
  const PlacementRequest need = this->RequestFor(submission, key, now);
  const std::vector<TargetId> binding = this->BindingTargets(key, now);
  if (!binding.empty() && task.unanswered_runs >= this->settings.max_unanswered_runs) {
    return nullptr;
  }
  const bool needs_quiet = this->WaitsForQuietTarget(spec, task, now);
  const bool may_isolate = needs_quiet && this->MayIsolate();
  const bool urgent = this->QueueOf(submission).priority == 0;
  // A gang of more tasks than the bound would never start.
  const bool bound_on_return = !urgent && !spec.gang && !(spec.long_running && task.run_seen_at);
  // Each suspect would keep its target for seconds, and the tasks of a lost target wait together.
  const bool shares = spec.long_running && this->TimeWithoutRun(task, now) >=
                                               this->settings.crash.max_quiet_time_without_run;
  Target* best = nullptr;
  double best_score = 0.0;
  this->blocked_by_harm = false;
  for (auto& [id, target] : this->targets) {
    const bool kept_for_other = target.suspect_task && target.suspect_task != key && !shares;
    if (spec.long_running && this->AwaitsShorterLease(target, submission, task, now)) {
      continue;
    }
    if (kept_for_other || !AllowsStart(binding, id) ||
        (bound_on_return && !this->return_limit.MayStart(target.entry.data_centre)) ||
        !this->MayRunOn(target, spec, service, now)) {
      continue;
    }
    const TargetFit fit =
        CheckFit(need, target.load, this->interference_model, this->settings.placement);
    if (!fit.fits) {
      this->blocked_by_harm = this->blocked_by_harm || fit.too_harmful;
      continue;
    }
    if (this->IsAtStepLimit(target, spec, key) ||
        (needs_quiet &&
         !((may_isolate || target.suspect_task == key) && this->IsQuiet(target, key, now)))) {
      continue;
    }
    Resources used_or_reserved = target.load.used + target.reserved + spec.need;
    if (spec.best_effort) {
      used_or_reserved.cpu_millis = 0;
    }
    if (!target.reserved_for.empty() && !used_or_reserved.FitsIn(target.load.capacity)) {
      continue;
    }
    // A suspect goes where a crash would do the least harm.
    double score = task.crash_record.suspect
                       ? LoadShare(target.load)
                       : PlacementScore(need, target.load, this->interference_model,
                                        this->settings.placement, fit.harm);
    const std::vector<std::string>& labels = target.entry.labels;
    const bool off_rack = !spec.data_rack.empty() &&
                          std::find(labels.begin(), labels.end(), spec.data_rack) == labels.end();
    score += off_rack ? this->settings.placement.off_rack_penalty : 0.0;
    score += urgent && target.max_runs ? this->settings.warmup.urgent_penalty : 0.0;
    score += task.avoid_target == id ? this->settings.placement.avoid_penalty : 0.0;
    score += spec.long_running && this->MayHoldLongerLease(target, now)
                 ? this->settings.placement.longer_lease_penalty
                 : 0.0;
    if (best == nullptr || score < best_score) {
      best = &target;
      best_score = score;
    }
    if (id == task.destination) {
      return &target;
    }
  }
  return best;
}

void Cell::Assign(Submission* submission, const TaskKey& key, Task* task, Target* target,
                  RunNumber run, TimePoint now) {
  task->phase = TaskPhase::kAssigned;
  task->run = run;
  task->incarnation = target->CurrentIncarnation();
  task->phase_since = now;
  task->absent_after_hold = std::numeric_limits<std::uint64_t>::max();
  task->sends = 0;
  task->pace = 100;
  task->percent = 0.0;
  submission->occurrences.at(key.occurrence).steps[key.step].waiting--;
  submission->started = true;
  if (target->suspect_task && target->suspect_task != key) {
    this->EndIsolation(target);
  }
  if (task->crash_record.suspect) {
    task->crash_record.isolated =
        (target->suspect_task == key || this->MayIsolate()) && this->IsQuiet(*target, key, now);
    if (task->crash_record.isolated) {
      target->suspect_task = key;
    }
  }
  target->last_assigned_at = now;
  this->return_limit.OnStarted(target->entry.data_centre);
  this->UpdateLoad(target, key, submission->Step(key.step), 1);
  // The lease of an idle target may have expired. The start extends it, but is sent only after the
  // commit.
  target->own_lease_expires_at =
      std::max(target->own_lease_expires_at, now + this->settings.max_commit_time);
  target->health.OnAssigned(now, this->settings.health);
  this->uncommitted_assignments.emplace_back(key, run);
  this->MarkDirty(key.submission, true);
  this->Log(
      EventCode::kTaskAssigned,
      {{"task", key.str()},
       {"run", std::to_string(run)},
       {"target", target->entry.id.str()},
       {"born", std::to_string(target->incarnation)},
       {"waited-ms", std::to_string((this->wall_time - submission->accepted.accepted_at).count())},
       {"without-run-ms", MillisecondsText(this->TimeWithoutRun(*task, now))},
       {"long-running", submission->Step(key.step).long_running ? "1" : "0"},
       {"cpu-used", std::to_string(target->load.used.cpu_millis)},
       {"fill-cpu", std::to_string(target->load.best_effort_cpu)}});
}

}  // namespace pistachio
