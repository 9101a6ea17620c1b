#include "pistachio/process/scheduling/cell.h"

#include <algorithm>

#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

namespace internal {

/// Most submission records in one commit. The store accepts 32 entries per write. Two are the
/// owner's conditions, one is its sequence, and the deletion of a submission takes four.
constexpr std::size_t kMaxRecordsPerCommit = 24;
/// Time beyond `CellSettings::ended_retention` after which ended submissions are deleted.
constexpr std::chrono::milliseconds kDeletionMargin{30000};
/// Interval of the log lines with the cell's load.
constexpr Duration kLoadLogInterval = std::chrono::seconds(2);
/// Longest time between two scheduling rounds, also when nothing has changed.
constexpr Duration kMaxScheduleInterval = std::chrono::milliseconds(100);
/// Shortest time between two scheduling rounds, equal to `CellSettings::urgent_commit_interval`.
constexpr Duration kMinScheduleInterval = std::chrono::milliseconds(20);

}  // namespace internal

Cell::Cell(CellId id, const CellSettings& settings, FencingToken take_revision, TimePoint now)
    : cell_id(std::move(id)),
      settings(settings),
      taken_at_revision(take_revision),
      confirmed_revision(take_revision),
      highest_token(take_revision),
      return_limit(settings.warmup),
      interference_model(settings.interference),
      duration_model(settings.durations),
      service_shares(settings.delay),
      witnesses(settings.witnesses),
      acquired_at(now),
      no_owner_at(now) {}

void Cell::SetConfiguration(std::shared_ptr<const Configuration> newer) {
  this->configuration = std::move(newer);
  this->schedule_due = true;
}

void Cell::RecoverTask(Submission* submission, const TaskKey& key, Task* task, TimePoint now) {
  // The earlier owner may or may not have sent the start. The target's lists, once it has seen the
  // new token, show whether the run exists.
  // A suspected task whose run had been confirmed has not lasted long enough since to be cleared.
  task->confirmed = task->phase == TaskPhase::kRunning && task->crash_record.suspect;
  task->phase = TaskPhase::kStarting;
  task->phase_since = now;
  task->inherited = true;
  task->run_seen_at = TimePoint{};
  task->open_start_at = task->incarnation.target;
  Target& target = this->targets[task->incarnation.target];
  if (target.entry.id.empty()) {
    target.entry.id = task->incarnation.target;
    target.entry.address = task->incarnation.address;
    target.token = this->TokenOfNewTarget();
    this->InheritLease(&target);
    target.known_since = now;
  }
  // A later incarnation of the target may have carried out the start too, so the latest known
  // incarnation counts.
  if (task->incarnation.number > target.incarnation) {
    target.incarnation = task->incarnation.number;
    target.known_since = now;
    // The registration that this owner has read is that of an earlier incarnation.
    if (!task->incarnation.address.empty()) {
      target.entry.address = task->incarnation.address;
    }
  }
  this->UpdateLoad(&target, key, submission->Step(key.step), 1);
  if (task->crash_record.isolated) {
    target.suspect_task = key;
  }
}

void Cell::FinishLoading(TimePoint now) {
  this->loaded = true;
  this->schedule_due = true;
  for (auto& [id, target] : this->targets) {
    std::vector<internal::LostRun> lost_runs;
    for (const TaskKey& key : target.tasks) {
      Task& task = *this->FindSubmission(key.submission)->FindTask(key);
      // The target has restarted since the earlier owner assigned the run.
      if (task.incarnation.number < target.incarnation) {
        this->CoverInheritedDeadlines(&target);
        lost_runs.push_back(
            internal::LostRun{key, task.confirmed, task.crash_record.isolated, true, false});
      }
      task.incarnation = target.CurrentIncarnation();
    }
    if (!lost_runs.empty()) {
      this->CountCrash(&lost_runs, LossKind::kAlone, true, id);
    }
  }
  for (const auto& [id, target] : this->targets) {
    if (target.registered) {
      this->RequeueRunsOfReplacedTargets(target.entry, now);
    }
  }
  for (auto& [id, target] : this->targets) {
    for (const TaskKey& key : target.tasks) {
      Task& task = *this->FindSubmission(key.submission)->FindTask(key);
      if (task.done_run != 0) {
        this->BeginStop(key, &task, StopReason::kCompleted, now);
      }
    }
  }
  const auto cancels = std::exchange(this->early_cancels, {});
  for (const auto& [id, source] : cancels) {
    this->Cancel(id, source, now);
  }
  for (const SubmissionId& id : std::set<SubmissionId>(this->open_submissions)) {
    Submission* submission = this->FindSubmission(id);
    if (submission->cancelled || submission->failed) {
      this->StopAllRuns(submission, StopReason::kCancelled, now);
      this->EndIfFinished(submission);
    }
  }
  this->Log(EventCode::kCellLoaded, {{"cell", this->cell_id.str()},
                                     {"token", std::to_string(this->taken_at_revision)},
                                     {"open", std::to_string(this->open_submissions.size())},
                                     {"targets", std::to_string(this->targets.size())}});
}

void Cell::Cancel(const SubmissionId& id, const CancelSource& source, TimePoint now) {
  Submission* submission = this->FindSubmission(id);
  if (submission == nullptr || !this->loaded) {
    this->early_cancels.emplace(id, source);
    return;
  }
  if (submission->moving) {
    // If the write has taken effect, the mark is for the copy that comes back: the write requires
    // that there is no mark.
    this->early_cancels.emplace(id, source);
  }
  if (submission->Ended() || submission->cancelled) {
    return;
  }
  submission->cancelled = true;
  this->Log(EventCode::kSubmissionCancelled, {{"submission", id.str()},
                                              {"revision", std::to_string(source.revision)},
                                              {"from", source.from}});
  this->StopAllRuns(submission, StopReason::kCancelled, now);
  this->EndIfFinished(submission);
  this->MarkDirty(id, true);
}

void Cell::Tick(TimePoint now, WallTime wall_now) {
  this->wall_time = wall_now;
  this->ticked = true;
  if (!this->loaded) {
    return;
  }
  this->DateClockReadings(now);
  this->ApplyLocalEnds(now);
  this->ExpireLeases(now);
  this->EndPendingSubmissions(now);
  this->AddDueOccurrences();
  const Duration since = now - this->last_schedule_at;
  if ((this->schedule_due && since >= internal::kMinScheduleInterval) ||
      since >= internal::kMaxScheduleInterval) {
    this->schedule_due = false;
    this->last_schedule_at = now;
    this->open_starts.Expire(now);
    this->Schedule(now);
    this->MoveRunsOffDrainingTargets(now);
  }
  this->SendDueOrders(now);
  this->SendDueHolds(now);
  this->LogLateStops(now);
  this->LogLoad(now);
  this->LogOverdueTasks(now);
}

void Cell::LogLoad(TimePoint now) {
  if (now < this->next_load_log_at) {
    return;
  }
  this->next_load_log_at = now + internal::kLoadLogInterval;
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  std::int64_t serving = 0;
  std::int64_t best_effort_cpu = 0;
  std::size_t silent = 0;
  std::size_t suspect = 0;
  std::size_t over_bound = 0;
  std::size_t held_ends = 0;
  for (const auto& [id, target] : this->targets) {
    for (const auto& [number, end] : target.unacked_ends) {
      held_ends += this->IsHeld(end, now) ? 1 : 0;
    }
    capacity += target.load.capacity.cpu_millis;
    used += target.load.used.cpu_millis;
    serving += target.load.serving_cpu;
    best_effort_cpu += target.load.best_effort_cpu;
    silent += target.failed_holds > 0 ? 1 : 0;
    suspect += target.health.suspect() ? 1 : 0;
    over_bound += target.over_bound_since != TimePoint{} ? 1 : 0;
  }
  std::int64_t waiting = 0;
  std::int64_t waiting_best_effort = 0;
  for (const PendingStep& pending_step : this->CollectPendingSteps(now)) {
    const bool is_best_effort = pending_step.submission->Step(pending_step.step).best_effort;
    (is_best_effort ? waiting_best_effort : waiting) += pending_step.sort_key.waiting_cpu;
  }
  const TasksWithoutRun without_run = this->CountTasksWithoutRun(now);
  SubmissionCount pending;
  for (const auto& [queue, count] : this->CountNotBegun()) {
    pending.waiting += count.waiting;
    pending.unconfirmed += count.unconfirmed;
  }
  const auto to_text = [](auto number) { return std::to_string(number); };
  std::vector<std::pair<std::string, std::string>> fields{
      {"cell", this->cell_id.str()},
      {"targets", to_text(this->targets.size())},
      {"silent", to_text(silent)},
      {"suspect", to_text(suspect)},
      {"over-bound", to_text(over_bound)},
      {"room-m", to_text(capacity)},
      {"used-m", to_text(used)},
      {"serving-m", to_text(serving)},
      {"filling-m", to_text(best_effort_cpu)},
      {"waiting-m", to_text(waiting)},
      {"waiting-fill-m", to_text(waiting_best_effort)},
      {"without-run", to_text(without_run.count)},
      {"without-run-ms", MillisecondsText(without_run.longest)},
      {"unreached", to_text(without_run.unreached)},
      {"unreached-ms", MillisecondsText(without_run.longest_unreached)},
      {"open", to_text(this->open_submissions.size())},
      {"pending", to_text(pending.waiting)},
      {"unconfirmed", to_text(pending.unconfirmed)},
      {"open-starts", to_text(this->open_starts.size())},
      {"held-ends", to_text(held_ends)}};
  if (!this->evacuated_data_centres.empty()) {
    fields.emplace_back("evacuated", to_text(this->evacuated_data_centres.size()));
    fields.emplace_back("evacuated-runs", to_text(this->ProgressOfEvacuations().runs));
    fields.emplace_back("withheld", to_text(this->counts.starts_withheld));
  }
  this->Log(EventCode::kCellLoad, std::move(fields));
}

Cell::TasksWithoutRun Cell::CountTasksWithoutRun(TimePoint now) const {
  TasksWithoutRun result;
  for (const SubmissionId& id : this->open_submissions) {
    const Submission& submission = this->all_submissions.at(id);
    for (const auto& [number, occurrence] : submission.occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const StepProgress& progress = occurrence.steps[step];
        if (!submission.Step(step).long_running) {
          continue;
        }
        for (const Task& task : progress.tasks) {
          if (task.phase == TaskPhase::kWaiting && task.run_seen_at) {
            result.count++;
            result.longest = std::max(result.longest, this->TimeWithoutRun(task, now));
          }
          const auto target = this->targets.find(task.incarnation.target);
          const bool waits_for_lease = task.HoldsResources() && target != this->targets.end() &&
                                       target->second.failed_holds > 0;
          const bool lost =
              task.phase == TaskPhase::kWaiting && task.unreached_since != TimePoint{};
          if (waits_for_lease || lost) {
            const TimePoint since =
                lost ? task.unreached_since : this->UnreachedSince(target->second);
            result.unreached++;
            result.longest_unreached = std::max(result.longest_unreached, now - since);
          }
        }
      }
    }
  }
  return result;
}

std::optional<CommitBatch> Cell::NextCommit(TimePoint now) {
  const Duration interval = this->commit_urgent ? this->settings.urgent_commit_interval
                                                : this->settings.lazy_commit_interval;
  const bool too_soon = now - this->last_commit_at < interval;
  if (this->open_commit || this->open_move || !this->loaded || too_soon) {
    return std::nullopt;
  }
  CommitBatch batch;
  batch.number = this->next_commit;
  internal::PendingCommit pending;
  pending.number = batch.number;
  while (!this->dirty.empty() && batch.records.size() < internal::kMaxRecordsPerCommit) {
    const SubmissionId id = this->dirty.front();
    this->dirty.pop_front();
    this->dirty_set.erase(id);
    const Submission& submission = *this->FindSubmission(id);
    batch.records.emplace_back(id, EncodeProgress(submission));
    pending.states.emplace_back(id, submission.State());
  }
  if (this->dirty.empty()) {
    for (const auto& [id, target] : this->targets) {
      const std::uint64_t last_end = LastLocalEnd(target);
      if (last_end > target.last_durable_end) {
        pending.last_ends[id] = {target.incarnation, last_end};
      }
    }
    while (!this->settled_ends.empty() &&
           batch.records.size() + batch.settled_ends.size() < internal::kMaxRecordsPerCommit) {
      batch.settled_ends.push_back(this->settled_ends.extract(this->settled_ends.begin()).value());
    }
  }
  this->AddExpiredSubmission(&batch);
  LeaseBounds bounds = this->CurrentLeaseBounds(now);
  const bool leases_due = this->LeaseBoundsDue(bounds, now) || this->WitnessesDue(now);
  const bool nothing_due =
      batch.records.empty() && batch.deleted.empty() && batch.settled_ends.empty() && !leases_due;
  this->counts.token_writes += nothing_due && this->token_write_due ? 1 : 0;
  if (nothing_due && !this->token_write_due) {
    // Ends without an effect on any submission are acknowledged without a write.
    for (const auto& [id, last_end] : pending.last_ends) {
      this->targets.at(id).last_durable_end = last_end.second;
    }
    return std::nullopt;
  }
  std::set<SubmissionId> in_batch;
  for (const auto& [id, bytes] : batch.records) {
    in_batch.insert(id);
  }
  std::vector<std::pair<TaskKey, RunNumber>> remaining;
  for (const auto& assignment : this->uncommitted_assignments) {
    (in_batch.count(assignment.first.submission) != 0 ? pending.assignments : remaining)
        .push_back(assignment);
  }
  this->uncommitted_assignments = std::move(remaining);
  pending.deleted = batch.deleted;
  this->next_commit++;
  this->commit_urgent = !this->dirty.empty();
  this->last_commit_at = now;
  this->open_commit = std::move(pending);
  batch.leases = this->BeginLeaseRecord(std::move(bounds), now);
  return batch;
}

void Cell::AddExpiredSubmission(CommitBatch* batch) {
  if (this->ended_submissions.empty() || this->open_commit) {
    return;
  }
  const SubmissionId id = this->ended_submissions.front();
  const Submission* submission = this->FindSubmission(id);
  const auto retention = this->settings.ended_retention + internal::kDeletionMargin;
  if (submission == nullptr) {
    this->ended_submissions.pop_front();
  } else if (this->wall_time - *submission->ended_at > retention) {
    this->ended_submissions.pop_front();
    batch->deleted.push_back(id);
  }
}

void Cell::OnCommitted(std::uint64_t number, FencingToken revision, TimePoint now) {
  if (!this->open_commit || this->open_commit->number != number) {
    return;
  }
  const internal::PendingCommit commit = std::move(*this->open_commit);
  this->open_commit.reset();
  this->ConfirmWrite(revision, now);
  this->ConfirmLeaseRecord(now);
  for (const auto& [id, last_end] : commit.last_ends) {
    Target* target = this->FindTarget(id);
    if (target != nullptr && target->incarnation == last_end.first &&
        target->last_durable_end < last_end.second) {
      target->last_durable_end = last_end.second;
      if (!target->hold_in_flight) {
        target->next_hold_at = now;
      }
    }
  }
  for (const auto& [id, state] : commit.states) {
    this->durable_states[id] = state;
  }
  for (const SubmissionId& id : commit.deleted) {
    this->all_submissions.erase(id);
    this->durable_states.erase(id);
  }
  for (const auto& [key, run] : commit.assignments) {
    Submission* submission = this->FindSubmission(key.submission);
    Task* task = submission == nullptr ? nullptr : submission->FindTask(key);
    if (task != nullptr && task->phase == TaskPhase::kAssigned && task->run == run) {
      task->phase = TaskPhase::kStarting;
      task->phase_since = now;
      task->retry_at = now;
      this->tasks_with_orders.insert(key);
    }
  }
}

void Cell::ConfirmOwnership(TimePoint at) {
  this->ownership_confirmed_at = std::max(this->ownership_confirmed_at, at);
}

std::vector<OutgoingOrder> Cell::TakeOrders() { return std::exchange(this->orders, {}); }

std::vector<EventRecord> Cell::TakeEvents() { return std::exchange(this->events, {}); }

std::optional<SubmissionState> Cell::DurableState(const SubmissionId& id) const {
  const auto found = this->durable_states.find(id);
  if (found != this->durable_states.end()) {
    return found->second;
  }
  return this->all_submissions.count(id) != 0
             ? std::optional<SubmissionState>(SubmissionState::kQueued)
             : std::nullopt;
}

std::map<QueueId, SubmissionCount> Cell::CountNotBegun() const {
  NotBegunCounter counter(this->earlier_count);
  for (const SubmissionId& id : this->open_submissions) {
    const Submission& submission = this->all_submissions.at(id);
    if (!submission.cancelled && !submission.begun) {
      counter.Add(submission.accepted.queue.id, submission.revision,
                  submission.AnyTask([](const Task& task) { return task.inherited; }));
    }
  }
  return counter.Counts();
}

Duration Cell::Backlog() const {
  double waiting = 0.0;
  for (const SubmissionId& id : this->open_submissions) {
    const Submission& submission = this->all_submissions.at(id);
    const SubmissionSpec& spec = submission.accepted.spec;
    const auto objective = ObjectiveOf(this->QueueOf(submission),
                                       CriticalPath(spec, this->UsualDurations(submission)));
    const auto hard_deadline_after = std::chrono::duration_cast<std::chrono::milliseconds>(
        objective * this->settings.hard_deadline_factor);
    if (spec.repeat_count == 0 &&
        this->wall_time > submission.accepted.accepted_at + hard_deadline_after) {
      continue;
    }
    for (const auto& [number, occurrence] : submission.occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const StepSpec& step_spec = submission.Step(step);
        if (!step_spec.long_running) {
          waiting += static_cast<double>(occurrence.steps[step].waiting) *
                     static_cast<double>(step_spec.need.cpu_millis) *
                     static_cast<double>(step_spec.estimate.count()) *
                     this->LearnedOf(submission, step).volume;
        }
      }
    }
  }
  const double rate = this->BatchCpu();
  return Duration(static_cast<Duration::rep>(rate > 0.0 ? waiting / rate : 0.0));
}

double Cell::BatchCpu() const {
  constexpr double kMinProcessorShare = 0.1;
  double capacity = 0.0;
  double in_use = 0.0;
  for (const auto& [id, target] : this->targets) {
    if (this->IsReady(target)) {
      const TargetLoad& load = target.load;
      capacity += static_cast<double>(load.capacity.cpu_millis);
      in_use += static_cast<double>(load.used.cpu_millis - load.serving_cpu + load.best_effort_cpu);
    }
  }
  return std::max(in_use, capacity * kMinProcessorShare);
}

double Cell::LongRunningShare() const {
  double requested = 0.0;
  for (const SubmissionId& id : this->open_submissions) {
    const Submission& submission = this->all_submissions.at(id);
    for (const StepSpec& step : submission.accepted.spec.steps) {
      requested += step.long_running ? static_cast<double>(step.need.cpu_millis) * step.count : 0.0;
    }
  }
  double capacity = 0.0;
  for (const auto& [id, target] : this->targets) {
    capacity += this->IsReady(target) ? static_cast<double>(target.load.capacity.cpu_millis) : 0.0;
  }
  return capacity > 0.0 ? requested / capacity : 0.0;
}

void Cell::MarkDirty(const SubmissionId& id, bool urgent) {
  this->commit_urgent = this->commit_urgent || urgent;
  if (this->dirty_set.insert(id).second) {
    this->dirty.push_back(id);
  }
}

Submission* Cell::FindSubmission(const SubmissionId& id) {
  const auto found = this->all_submissions.find(id);
  return found == this->all_submissions.end() ? nullptr : &found->second;
}

Cell::Target* Cell::FindTarget(const TargetId& id) {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second;
}

void Cell::Log(EventCode code, std::vector<std::pair<std::string, std::string>> fields) {
  this->events.push_back(EventRecord{code, std::move(fields)});
}

}  // namespace pistachio
