#include <algorithm>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

std::vector<internal::LostRun> Cell::RecentRuns(const Target& target, TimePoint lost_at) {
  std::vector<internal::LostRun> runs;
  for (const TaskKey& key : target.tasks) {
    const Task& task = *this->FindSubmission(key.submission)->FindTask(key);
    // A run of an earlier owner has no start order here and may have begun. The only start of a run
    // that a later incarnation has confirmed did not reach this one.
    const bool unsent = task.phase == TaskPhase::kAssigned ||
                        (task.phase == TaskPhase::kStarting && task.sends == 0 &&
                         this->tasks_with_orders.count(key) != 0) ||
                        (task.confirmed_later && task.sends == 1);
    // When it began is unknown for a start without an answer and for a run of an earlier owner.
    const bool dated = task.started_at != TimePoint{};
    const bool recent =
        !dated || target.clock_at - task.started_at < this->settings.crash.suspicion_time;
    if (!unsent && recent && !task.loss_recorded) {
      const bool fresh = !dated || lost_at - task.started_at < this->settings.crash.quiet_time;
      runs.push_back(
          internal::LostRun{key, task.confirmed, task.crash_record.isolated, fresh, false});
    }
  }
  return runs;
}

TargetLoss Cell::LossOf(const Target& target, TimePoint now) {
  const bool silent = target.failed_holds > 0;
  return TargetLoss{silent ? target.silent_since : now, target.entry.labels,
                    target.suspect_task.has_value(),
                    silent ? target.silence_uncertainty : Duration{0}};
}

LossKind Cell::KindOfLoss(const Target& target, TimePoint now) const {
  const TargetLoss loss = LossOf(target, now);
  std::vector<TargetLoss> others(this->recent_losses.begin(), this->recent_losses.end());
  std::vector<std::vector<std::string>> labels;
  for (const auto& [id, other] : this->targets) {
    labels.push_back(other.entry.labels);
    // Targets that never answered this owner seem to be lost together at the takeover.
    if (id != target.entry.id && other.failed_holds > 0 && other.answered && !other.loss_recorded) {
      others.push_back(LossOf(other, now));
    }
  }
  return ClassifyLoss(loss, others, labels, this->settings.crash);
}

void Cell::RecordLoss(Target* target, bool proven, TimePoint now) {
  // Runs on a draining target end with it.
  if (target->tasks.empty() || target->entry.state == TargetState::kDraining) {
    return;
  }
  // A task that waits for its late start outlasts the loss and must not count for it again.
  const bool recorded =
      std::all_of(target->tasks.begin(), target->tasks.end(), [this](const TaskKey& key) {
        return this->FindSubmission(key.submission)->FindTask(key)->loss_recorded;
      });
  if (recorded) {
    return;
  }
  const LossKind kind = this->KindOfLoss(*target, now);
  std::vector<internal::LostRun> runs =
      this->RecentRuns(*target, target->failed_holds > 0 ? target->silent_since : now);
  // One suspected task that ran apart from others explains the crash.
  const auto culprit = std::find_if(runs.begin(), runs.end(), [this](const auto& run) {
    const Task& task = *this->FindSubmission(run.task.submission)->FindTask(run.task);
    return run.isolated && task.crash_record.crashes > 0;
  });
  if (culprit != runs.end()) {
    runs = {*culprit};
  }
  this->Log(EventCode::kTargetCrashed,
            {{"cell", this->cell_id.str()},
             {"target", target->entry.id.str()},
             {"proven", proven ? "yes" : "no"},
             {"lost", NameOf(kind)},
             {"recent-runs", std::to_string(runs.size())},
             {"suspect", target->suspect_task ? target->suspect_task->str() : ""}});
  while (!this->recent_losses.empty() &&
         now - this->recent_losses.front().at > this->settings.crash.loss_memory) {
    this->recent_losses.pop_front();
  }
  this->recent_losses.push_back(LossOf(*target, now));
  target->loss_recorded = true;
  for (const TaskKey& key : target->tasks) {
    this->FindSubmission(key.submission)->FindTask(key)->loss_recorded = !proven;
  }
  if (kind == LossKind::kOutage) {
    return;
  }
  // A target that this owner has never reached was lost at an unknown time, perhaps together with
  // the former owner and with others. That is no reason to suspect a run; a proof of a crash is.
  if (proven || target->answered) {
    this->CountCrash(&runs, kind, proven, target->entry.id);
  }
  if (!proven) {
    this->unproven_crashes[target->entry.address] =
        internal::UnprovenCrash{kind, target->incarnation, now, std::move(runs)};
  }
}

void Cell::CountCrash(std::vector<internal::LostRun>* runs, LossKind kind, bool proven,
                      const TargetId& target) {
  this->counts.targets_crashed += proven ? 1 : 0;
  for (internal::LostRun& run : *runs) {
    Submission* submission = this->FindSubmission(run.task.submission);
    Task* task = submission == nullptr ? nullptr : submission->FindTask(run.task);
    const bool over = task == nullptr || task->phase == TaskPhase::kDone || task->done_run != 0;
    if (over || submission->Ended()) {
      continue;
    }
    CrashRecord& record = task->crash_record;
    record.suspect = true;
    const bool apart = kind == LossKind::kAlone && run.isolated;
    // Without a proof the target may be cut off. A single such target that was lost when it had
    // started a suspect counts as a loss all the same.
    const bool possible = proven && (kind == LossKind::kAlone || run.isolated || run.fresh);
    if (!run.counted && (possible || apart)) {
      record.losses++;
      run.counted = true;
    }
    // A start without an answer may not have arrived before the crash.
    record.crashes += possible && run.confirmed ? 1 : 0;
    this->MarkDirty(run.task.submission, true);
    this->Log(EventCode::kTaskSuspected, {{"task", run.task.str()},
                                          {"run", std::to_string(task->run)},
                                          {"target", target.str()},
                                          {"crashes", std::to_string(record.crashes)},
                                          {"losses", std::to_string(record.losses)},
                                          {"isolated", run.isolated ? "yes" : "no"}});
    const CrashRecord latest{record.crashes, record.losses, true, proven && apart};
    const std::size_t other_losses =
        this->recent_losses.size() -
        std::min<std::size_t>(record.losses, this->recent_losses.size());
    if (IsGivenUp(latest, other_losses, this->settings.crash) && !submission->cancelled &&
        !submission->failed) {
      submission->failed = true;
      this->counts.tasks_given_up++;
      this->ending_submissions.push_back(run.task.submission);
      this->Log(EventCode::kSubmissionFailed, {{"submission", run.task.submission.str()},
                                               {"task", run.task.str()},
                                               {"failures", std::to_string(task->failures)},
                                               {"crashes", std::to_string(record.crashes)},
                                               {"losses", std::to_string(record.losses)}});
    }
  }
}

void Cell::CountUnprovenCrash(const TargetEntry& entry, TimePoint now) {
  const auto found = this->unproven_crashes.find(entry.address);
  if (found == this->unproven_crashes.end() || entry.incarnation <= found->second.incarnation) {
    return;
  }
  internal::UnprovenCrash crash = std::move(found->second);
  this->unproven_crashes.erase(found);
  if (now - crash.lost_at <= this->settings.crash.loss_memory) {
    this->CountCrash(&crash.runs, crash.kind, true, entry.id);
  }
}

void Cell::ClearSuspicion(Target* target, const TaskKey& key, Task* task, TimePoint now) {
  if (!task->crash_record.suspect || now - task->started_at < this->settings.crash.suspicion_time) {
    return;
  }
  this->Log(EventCode::kTaskCleared, {{"task", key.str()},
                                      {"run", std::to_string(task->run)},
                                      {"crashes", std::to_string(task->crash_record.crashes)}});
  task->crash_record = CrashRecord{};
  if (target->suspect_task == key) {
    target->suspect_task.reset();
    this->schedule_due = true;
  }
  this->MarkDirty(key.submission);
}

void Cell::EndPendingSubmissions(TimePoint now) {
  for (const SubmissionId& id : std::exchange(this->ending_submissions, {})) {
    // It may have moved to another cell since.
    if (Submission* submission = this->FindSubmission(id)) {
      this->StopAllRuns(submission, StopReason::kCancelled, now);
      this->EndIfFinished(submission);
    }
  }
}

bool Cell::IsQuiet(const Target& target, const TaskKey& key, TimePoint now) {
  if ((target.suspect_task && target.suspect_task != key) ||
      now - target.last_assigned_at < this->settings.crash.quiet_time) {
    return false;
  }
  return std::none_of(target.tasks.begin(), target.tasks.end(), [this](const TaskKey& other) {
    const TaskPhase phase = this->FindSubmission(other.submission)->FindTask(other)->phase;
    return phase == TaskPhase::kAssigned || phase == TaskPhase::kStarting;
  });
}

void Cell::KeepTargetForSuspect(const Submission& submission, const TaskKey& key, TimePoint now) {
  const StepSpec& spec = submission.Step(key.step);
  const ServiceId service = this->ServiceOf(submission);
  Resources need = spec.need;
  need.cpu_millis = spec.best_effort ? 0 : need.cpu_millis;
  const std::vector<TargetId> binding = this->BindingTargets(key, now);
  const Task& task = *submission.FindTask(key);
  if (!binding.empty() && task.unanswered_runs >= this->settings.max_unanswered_runs) {
    return;
  }
  Target* best = nullptr;
  for (auto& [id, target] : this->targets) {
    if (target.suspect_task == key) {
      return;
    }
    // Short tasks free their resources while the target is kept; long-running tasks do not.
    const bool possible = !target.suspect_task && AllowsStart(binding, id) &&
                          this->MayRunOn(target, spec, service, now) &&
                          (target.long_running_used + need).FitsIn(target.load.capacity) &&
                          !this->IsAtStepLimit(target, spec, key);
    if (possible && (best == nullptr || LoadShare(target.load) < LoadShare(best->load))) {
      best = &target;
    }
  }
  if (best != nullptr && this->MayIsolate()) {
    best->suspect_task = key;
  }
}

void Cell::ReleaseKeptTargets(TimePoint now) {
  for (auto& [id, target] : this->targets) {
    if (!target.suspect_task || target.tasks.count(*target.suspect_task) != 0) {
      continue;
    }
    Submission* submission = this->FindSubmission(target.suspect_task->submission);
    const Task* task = submission == nullptr ? nullptr : submission->FindTask(*target.suspect_task);
    // A task that waits for a target under evacuation could wait for another one.
    const bool waits =
        task != nullptr && task->phase == TaskPhase::kWaiting && !submission->cancelled &&
        !submission->failed && !this->IsEvacuated(target) &&
        this->WaitsForQuietTarget(submission->Step(target.suspect_task->step), *task, now);
    if (!waits) {
      target.suspect_task.reset();
    }
  }
}

void Cell::EndIsolation(Target* target) {
  const TaskKey key = *std::exchange(target->suspect_task, std::nullopt);
  Submission* submission = this->FindSubmission(key.submission);
  Task* task = submission == nullptr ? nullptr : submission->FindTask(key);
  if (task != nullptr && task->crash_record.isolated &&
      task->incarnation.target == target->entry.id) {
    // A crash from now on may be due to the other run.
    task->crash_record.isolated = false;
    this->MarkDirty(key.submission);
  }
}

bool Cell::MayIsolate() const {
  const auto kept =
      std::count_if(this->targets.begin(), this->targets.end(),
                    [](const auto& entry) { return entry.second.suspect_task.has_value(); });
  const double limit =
      static_cast<double>(this->targets.size()) * this->settings.crash.max_isolated_share;
  return static_cast<double>(kept) < std::max(1.0, limit);
}

bool Cell::WaitsForQuietTarget(const StepSpec& spec, const Task& task, TimePoint now) const {
  const CrashSettings& crash = this->settings.crash;
  const Duration longest = task.crash_record.losses < crash.min_crashes
                               ? crash.max_quiet_wait
                               : crash.max_quiet_wait_after_losses;
  return task.crash_record.suspect && now - task.phase_since < longest &&
         (!spec.long_running ||
          this->TimeWithoutRun(task, now) < this->settings.crash.max_quiet_time_without_run);
}

}  // namespace pistachio
