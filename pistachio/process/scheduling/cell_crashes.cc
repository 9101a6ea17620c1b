#include <algorithm>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

std::vector<internal::LostRun> Cell::RecentRuns(const Target& target) {
  std::vector<internal::LostRun> runs;
  for (const TaskKey& key : target.tasks) {
    const Task& task = *this->FindSubmission(key.submission)->FindTask(key);
    const bool confirmed = task.started_at != TimePoint{};
    // A run of an earlier owner has no start order here and may have begun.
    const bool unsent = task.phase == TaskPhase::kAssigned ||
                        (task.phase == TaskPhase::kStarting && task.sends == 0 &&
                         this->tasks_with_orders.count(key) != 0);
    const bool recent =
        !confirmed || target.clock_at - task.started_at < this->settings.crash.suspicion_time;
    if (!unsent && recent && !task.loss_recorded) {
      runs.push_back(internal::LostRun{key, confirmed, task.crash_record.isolated});
    }
  }
  return runs;
}

bool Cell::LostInOutage(const Target& target, TimePoint now) const {
  const TargetLoss loss{target.failed_holds > 0 ? target.silent_since : now, target.entry.labels,
                        target.suspect_task.has_value()};
  std::vector<TargetLoss> others(this->recent_losses.begin(), this->recent_losses.end());
  std::vector<std::vector<std::string>> labels;
  for (const auto& [id, other] : this->targets) {
    labels.push_back(other.entry.labels);
    // Targets that never answered this owner seem to be lost together at the takeover.
    if (id != target.entry.id && other.failed_holds > 0 && other.answered) {
      others.push_back(
          TargetLoss{other.silent_since, other.entry.labels, other.suspect_task.has_value()});
    }
  }
  return IsOutage(loss, others, labels, this->settings.crash);
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
  const bool outage = this->LostInOutage(*target, now);
  std::vector<internal::LostRun> runs = this->RecentRuns(*target);
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
             {"outage", outage ? "yes" : "no"},
             {"recent-runs", std::to_string(runs.size())},
             {"suspect", target->suspect_task ? target->suspect_task->str() : ""}});
  while (!this->recent_losses.empty() &&
         now - this->recent_losses.front().at > this->settings.crash.loss_memory) {
    this->recent_losses.pop_front();
  }
  this->recent_losses.push_back(TargetLoss{target->failed_holds > 0 ? target->silent_since : now,
                                           target->entry.labels, target->suspect_task.has_value()});
  for (const TaskKey& key : target->tasks) {
    this->FindSubmission(key.submission)->FindTask(key)->loss_recorded = !proven;
  }
  if (outage) {
    return;
  }
  for (const internal::LostRun& run : runs) {
    this->FindSubmission(run.task.submission)->FindTask(run.task)->crash_record.suspect = true;
  }
  if (proven) {
    this->CountCrash(runs, target->entry.id);
  } else {
    this->unproven_crashes[target->entry.address] =
        internal::UnprovenCrash{target->incarnation, now, runs};
  }
}

void Cell::CountCrash(const std::vector<internal::LostRun>& runs, const TargetId& target) {
  this->counts.targets_crashed++;
  for (const internal::LostRun& run : runs) {
    Submission* submission = this->FindSubmission(run.task.submission);
    Task* task = submission == nullptr ? nullptr : submission->FindTask(run.task);
    if (task == nullptr || task->phase == TaskPhase::kDone || submission->Ended()) {
      continue;
    }
    CrashRecord& record = task->crash_record;
    record.suspect = true;
    // A start without an answer may not have arrived before the crash.
    if (run.confirmed || run.isolated) {
      record.crashes++;
    }
    this->MarkDirty(run.task.submission, true);
    this->Log(EventCode::kTaskSuspected, {{"task", run.task.str()},
                                          {"run", std::to_string(task->run)},
                                          {"target", target.str()},
                                          {"crashes", std::to_string(record.crashes)},
                                          {"isolated", run.isolated ? "yes" : "no"}});
    const bool given_up =
        IsGivenUp(CrashRecord{record.crashes, true, run.isolated}, this->settings.crash);
    if (given_up && !submission->cancelled && !submission->failed) {
      submission->failed = true;
      this->counts.tasks_given_up++;
      this->ending_submissions.push_back(run.task.submission);
      this->Log(EventCode::kSubmissionFailed, {{"submission", run.task.submission.str()},
                                               {"task", run.task.str()},
                                               {"failures", std::to_string(task->failures)},
                                               {"crashes", std::to_string(record.crashes)}});
    }
  }
}

void Cell::CountUnprovenCrash(const TargetEntry& entry, TimePoint now) {
  const auto found = this->unproven_crashes.find(entry.address);
  if (found == this->unproven_crashes.end() || entry.incarnation <= found->second.incarnation) {
    return;
  }
  const internal::UnprovenCrash crash = std::move(found->second);
  this->unproven_crashes.erase(found);
  if (now - crash.lost_at <= this->settings.crash.loss_memory) {
    this->CountCrash(crash.runs, entry.id);
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
    Submission* submission = this->FindSubmission(id);
    this->StopAllRuns(submission, StopReason::kCancelled, now);
    this->EndIfFinished(submission);
  }
}

bool Cell::IsQuiet(const Target& target, TimePoint now) {
  if (target.suspect_task || now - target.last_assigned_at < this->settings.crash.quiet_time) {
    return false;
  }
  return std::none_of(target.tasks.begin(), target.tasks.end(), [this](const TaskKey& key) {
    const TaskPhase phase = this->FindSubmission(key.submission)->FindTask(key)->phase;
    return phase == TaskPhase::kAssigned || phase == TaskPhase::kStarting;
  });
}

bool Cell::MayIsolate() const {
  const auto kept =
      std::count_if(this->targets.begin(), this->targets.end(),
                    [](const auto& entry) { return entry.second.suspect_task.has_value(); });
  const double limit =
      static_cast<double>(this->targets.size()) * this->settings.crash.max_isolated_share;
  return static_cast<double>(kept) < std::max(1.0, limit);
}

bool Cell::WaitsForQuietTarget(const Task& task, TimePoint now) const {
  return task.crash_record.suspect && now - task.phase_since < this->settings.crash.max_quiet_wait;
}

}  // namespace pistachio
