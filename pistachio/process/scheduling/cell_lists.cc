#include <algorithm>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

void Cell::OnHoldReply(OrderTicket ticket, const HoldReply& reply, TimePoint now) {
  const auto found = this->TakeSentOrder(ticket);
  Target* target = found ? this->FindTarget(found->target) : nullptr;
  if (target == nullptr) {
    return;
  }
  const internal::SentOrder& sent = *found;
  target->open_holds--;
  target->earlier_open_holds -= sent.incarnation < target->incarnation ? 1 : 0;
  const bool is_last = sent.hold_number == target->holds_sent;
  target->hold_in_flight = target->hold_in_flight && !is_last;
  if (reply.status == OrderStatus::kFenced && HasFormerToken(*target, sent)) {
    target->next_hold_at = is_last ? now : target->next_hold_at;
    return;
  }
  if (reply.status == OrderStatus::kFenced) {
    this->is_fenced = true;
    target->next_hold_at = now + this->settings.hold_retry_delay;
    return;
  }
  // Only the address of the incarnation that the order was sent to has another target.
  const bool same_incarnation = sent.incarnation == target->incarnation;
  if (reply.status == OrderStatus::kWrongInstance && same_incarnation) {
    this->RequeueLostRuns(target, target->tasks, now, "restarted");
    ForgetClock(target);
    target->next_hold_at = now + this->settings.hold_retry_delay;
    return;
  }
  if (reply.status != OrderStatus::kDone) {
    this->NoteDeadline(target, sent, reply.status, now);
    if (sent.acked_end > 0 && reply.status == OrderStatus::kNoAnswer) {
      this->FenceLostAcknowledgement(target, sent, now);
    }
    if (sent.hold_number < target->first_open_hold) {
      return;  // The target has answered since.
    }
    if (target->failed_holds == 0) {
      target->silent_since = now;
      target->silence_uncertainty = sent.wait;
      target->loss_recorded = false;
    }
    target->failed_holds++;
    target->next_hold_at = now + this->settings.hold_retry_delay;
    if (target->failed_holds == this->settings.health.max_failed_holds) {
      this->Log(EventCode::kTargetSilent, {{"cell", this->cell_id.str()},
                                           {"target", target->entry.id.str()},
                                           {"answer", NameOf(reply.status)},
                                           {"runs", std::to_string(target->tasks.size())}});
    }
    return;
  }
  if (reply.incarnation > target->incarnation) {
    this->BeginIncarnation(target, reply.incarnation, now, "restarted");
  } else if (reply.incarnation != 0 && reply.incarnation < target->incarnation) {
    target->next_hold_at = now + this->settings.hold_retry_delay;
    return;
  }
  if (target->restart_seen && sent.hold_number > target->restart_seen_at_hold) {
    target->restart_seen = false;  // The same incarnation still answers.
  }
  this->ConfirmWitness(*target, sent.sent_at, now);
  this->NoteDeadline(target, sent, reply.status, now);
  this->NoteRefusalOfEarlierOrders(target, sent, reply.incarnation);
  if (sent.token == target->token && !target->token_outdated) {
    target->token_unconfirmed = false;
  }
  if (sent.incarnation == target->incarnation) {
    target->last_acked_end = std::max(target->last_acked_end, sent.acked_end);
    target->unacked_ends.erase(target->unacked_ends.begin(),
                               target->unacked_ends.upper_bound(target->last_acked_end));
  }
  // Answers may overtake each other, and so may the holds. Older lists lack later runs and ends.
  const bool outdated = sent.hold_number < target->last_listed_hold ||
                        (reply.clock && target->listed_at && *reply.clock < *target->listed_at);
  if (outdated) {
    return;
  }
  target->last_listed_hold = sent.hold_number;
  target->listed_at = reply.clock;
  const bool newest = sent.hold_number >= target->first_open_hold;
  if (newest) {
    target->hold_in_flight = false;
    target->unanswered_holds = 0;
    target->first_open_hold = target->holds_sent + 1;
  }
  if (newest && target->failed_holds >= this->settings.health.max_failed_holds) {
    this->Log(EventCode::kTargetAnswers,
              {{"cell", this->cell_id.str()}, {"target", target->entry.id.str()}});
    this->schedule_due = true;
  }
  target->failed_holds = newest ? 0 : target->failed_holds;
  target->answered = true;
  this->unproven_crashes.erase(target->entry.address);
  this->UpdateClock(target, reply.clock, sent.sent_at, now);
  const bool complete = reply.finished.size() < kMaxFinishedPerReply;
  if (!target->reconciled && complete) {
    target->reconciled = true;
    target->first_list_is_new = true;
    target->own_lease_expires_at = this->LeaseAtFirstList(target, now);
    this->Log(EventCode::kTargetReconciled,
              {{"cell", this->cell_id.str()},
               {"target", target->entry.id.str()},
               {"born", std::to_string(target->incarnation)},
               {"runs", std::to_string(reply.running.size())},
               {"known-ms", MillisecondsText(now - target->known_since)},
               {"lease-ms", MillisecondsText(LeaseEnd(*target) - now)},
               {"lease", LeaseSource(*target)}});
    this->schedule_due = true;
  }
  for (const FinishedRun& end : reply.finished) {
    this->HandleFinishedRun(target, end, now);
  }
  std::set<TaskKey> reported_runs;
  for (const RunningRun& row : reply.running) {
    reported_runs.insert(row.task);
    this->HandleListedRun(target, row, now);
  }
  if (complete) {
    this->HandleMissingRuns(target, sent.hold_number, reported_runs, now);
  }
  this->AdjustPaces(target, now);
  const bool uncommitted = target->last_seen_end > target->last_durable_end;
  const bool waits_for_store = uncommitted || this->HasLeaseBound(target->entry.id);
  const bool may_acknowledge = now >= target->next_ack_at &&
                               this->LastAcknowledgeableEnd(*target, now) > target->last_acked_end;
  const bool ends_held = target->last_durable_end > target->last_acked_end && !may_acknowledge;
  if (newest) {
    const Duration held_interval = target->tasks.empty()
                                       ? this->settings.idle_held_end_poll_interval
                                       : this->settings.held_end_poll_interval;
    target->next_hold_at = now + (waits_for_store ? this->settings.uncommitted_poll_interval
                                  : ends_held     ? held_interval
                                                  : Duration{0});
  }
}

void Cell::HandleFinishedRun(Target* target, const FinishedRun& end, TimePoint now) {
  if (end.number <= target->last_seen_end) {
    return;
  }
  target->last_seen_end = end.number;
  const bool is_done = end.outcome == RunOutcome::kDone;
  if (is_done || end.outcome == RunOutcome::kFailed) {
    target->unacked_ends.emplace(end.number, internal::UnackedEnd{end.task, is_done});
  }
  Submission* submission = this->FindSubmission(end.task.submission);
  Task* task = submission == nullptr ? nullptr : submission->FindTask(end.task);
  if (task != nullptr) {
    submission->begun = true;
  }
  const bool is_current = task != nullptr && task->HoldsResources() && task->run == end.run &&
                          task->incarnation == target->CurrentIncarnation();
  if (!is_current) {
    this->HandleLateEnd(target, end, now);
    return;
  }
  const StepSpec& spec = submission->Step(end.task.step);
  const bool dated = task->started_at != TimePoint{};
  this->Log(EventCode::kRunEnded,
            {{"task", end.task.str()},
             {"run", std::to_string(end.run)},
             {"target", target->entry.id.str()},
             {"how", NameOf(end.outcome)},
             {"after-ms", dated ? MillisecondsText(now - task->started_at) : "unknown"},
             {"paced", std::to_string(task->pace)}});
  task->run_seen_at = now;
  // Without serving tasks there, nobody would remove it again.
  if (spec.best_effort && !target->load.serving.empty()) {
    target->ended_aggressors.push_back(
        {now, {this->interference_model.IndexOf(spec.image), task->metric / 1000.0}});
  }
  if (!end.checkpoint.empty()) {
    task->checkpoint = end.checkpoint;
  }
  if (end.outcome == RunOutcome::kDone) {
    this->counts.ends_done++;
    target->health.OnDone();
    this->LearnDuration(*target, *submission, end.task, *task, now);
  }
  if (end.outcome == RunOutcome::kDone && !spec.long_running) {
    this->CompleteTask(submission, end);
    return;
  }
  const bool failed = end.outcome == RunOutcome::kFailed && task->done_run == 0;
  this->counts.ends_failed += failed ? 1 : 0;
  this->counts.ends_other += !failed && end.outcome != RunOutcome::kDone ? 1 : 0;
  if (failed) {
    this->RecordFailure(target, submission, end.task, task, now);
  }
  const bool gang_broken = spec.gang && end.outcome != RunOutcome::kGangBroken;
  this->Requeue(submission, end.task, task, NameOf(end.outcome), now);
  if (submission->failed) {
    this->StopAllRuns(submission, StopReason::kCancelled, now);
  } else if (gang_broken) {
    this->StopGang(submission, end.task, now);
  }
  this->EndIfFinished(submission);
}

void Cell::HandleLateEnd(Target* target, const FinishedRun& end, TimePoint now) {
  Submission* submission = this->FindSubmission(end.task.submission);
  Task* task = submission == nullptr ? nullptr : submission->FindTask(end.task);
  const char* effect = "none";
  const TaskPhase phase = task == nullptr ? TaskPhase::kDone : task->phase;
  const RunNumber latest_run = task == nullptr ? 0 : task->run;
  const bool foreign = this->IsForeignEnd(end);
  const bool completes = !foreign && phase != TaskPhase::kDone &&
                         end.outcome == RunOutcome::kDone && !submission->Ended() &&
                         !submission->Step(end.task.step).long_running;
  if (foreign) {
    const ForwardedEnd forwarded{end.task, end.run};
    effect = "forwarded";
    this->counts.forwarded_ends += this->foreign_ends.insert(forwarded).second ? 1 : 0;
    if (target != nullptr) {
      target->foreign_ends[end.number] = forwarded;
    }
  }
  if (completes) {
    // The successful end of one member of a gang completes all of them.
    const StepSpec& spec = submission->Step(end.task.step);
    const std::uint32_t first = spec.gang ? 0 : end.task.index;
    const std::uint32_t last = spec.gang ? spec.count : end.task.index + 1;
    StepProgress& step = submission->occurrences.at(end.task.occurrence).steps[end.task.step];
    bool later_run = false;
    for (std::uint32_t index = first; index < last; ++index) {
      TaskKey key = end.task;
      key.index = index;
      later_run |= this->CompleteOrStop(submission, key, &step.tasks[index], end.run, now);
    }
    effect = later_run ? "later-run-stopped" : "completed";
  }
  this->Log(EventCode::kLateEnd, {{"task", end.task.str()},
                                  {"run", std::to_string(end.run)},
                                  {"target", target == nullptr ? "" : target->entry.id.str()},
                                  {"how", NameOf(end.outcome)},
                                  {"latest-run", std::to_string(latest_run)},
                                  {"phase", task == nullptr ? "none" : NameOf(phase)},
                                  {"submission", this->WhereaboutsOf(end.task.submission)},
                                  {"effect", effect}});
  if (completes) {
    this->MarkDirty(end.task.submission);
    this->EndIfFinished(submission);
    this->schedule_due = true;
  }
}

bool Cell::CompleteOrStop(Submission* submission, const TaskKey& key, Task* task,
                          RunNumber done_run, TimePoint now) {
  if (task->phase == TaskPhase::kDone) {
    return false;
  }
  if (task->phase == TaskPhase::kWaiting || task->IsUnsent()) {
    task->run = done_run;
    this->FinishTask(submission, key, task);
    return false;
  }
  task->done_run = done_run;
  this->BeginStop(key, task, StopReason::kCompleted, now);
  return true;
}

void Cell::CompleteTask(Submission* submission, const FinishedRun& end) {
  const StepSpec& spec = submission->Step(end.task.step);
  StepProgress& step = submission->occurrences.at(end.task.occurrence).steps[end.task.step];
  // The successful end of one member of a gang completes all members of that run.
  const std::uint32_t first = spec.gang ? 0 : end.task.index;
  const std::uint32_t last = spec.gang ? spec.count : end.task.index + 1;
  for (std::uint32_t index = first; index < last; ++index) {
    TaskKey key = end.task;
    key.index = index;
    Task& member = step.tasks[index];
    if (member.phase != TaskPhase::kDone && member.run == end.run) {
      this->FinishTask(submission, key, &member);
    }
  }
  this->MarkDirty(end.task.submission);
  this->EndIfFinished(submission);
  this->schedule_due = true;
}

void Cell::FinishTask(Submission* submission, const TaskKey& key, Task* task) {
  StepProgress& step = submission->occurrences.at(key.occurrence).steps[key.step];
  this->ReleaseResources(submission, key, task);
  step.waiting -= task->phase == TaskPhase::kWaiting ? 1 : 0;
  task->phase = TaskPhase::kDone;
  step.done++;
  this->counts.ended_core_seconds += DeclaredCoreSeconds(submission->Step(key.step));
}

void Cell::RecordFailure(Target* target, Submission* submission, const TaskKey& key, Task* task,
                         TimePoint now) {
  task->failures++;
  if (target->health.OnFailed(key.submission, now, this->settings.health)) {
    this->Log(EventCode::kTargetSuspect,
              {{"target", target->entry.id.str()}, {"cause", "runs-fail"}});
  }
  const bool long_running = submission->Step(key.step).long_running;
  const bool out_of_attempts =
      !long_running && task->failures >= this->QueueOf(*submission).max_attempts;
  if (out_of_attempts && !submission->cancelled) {
    submission->failed = true;
    this->Log(EventCode::kSubmissionFailed, {{"submission", key.submission.str()},
                                             {"task", key.str()},
                                             {"failures", std::to_string(task->failures)}});
  }
}

void Cell::HandleListedRun(Target* target, const RunningRun& row, TimePoint now) {
  Submission* submission = this->FindSubmission(row.task.submission);
  Task* task = submission == nullptr ? nullptr : submission->FindTask(row.task);
  if (task != nullptr) {
    submission->begun = true;
  }
  const bool is_current =
      task != nullptr && task->run == row.run &&
      task->incarnation == target->CurrentIncarnation() &&
      (task->phase == TaskPhase::kStarting || task->phase == TaskPhase::kRunning ||
       task->phase == TaskPhase::kStopping);
  if (!is_current) {
    this->StopOrphanedRun(target, row, now);
    return;
  }
  if (task->inherited && !task->reported) {
    // The earlier owner's start was carried out. To wait for another send of it, which may have got
    // no answer, would keep all runs on draining targets for seconds after each takeover.
    task->open_start_at = TargetId();
  }
  task->reported = true;
  task->loss_recorded = false;
  task->run_seen_at = now;
  if (!row.checkpoint.empty()) {
    task->checkpoint = row.checkpoint;
  }
  if (task->phase == TaskPhase::kStarting) {
    this->ConfirmRun(*target, submission, row.task, task, AnswerOrigin::kExpected, now);
    task->partial = true;
    const bool unwanted = submission->cancelled || submission->failed;
    if (unwanted) {
      this->BeginStop(row.task, task, StopReason::kCancelled, now);
    }
  }
  if (task->phase == TaskPhase::kRunning) {
    this->MarkConfirmed(row.task, task);
    this->ClearSuspicion(target, row.task, task, now);
  }
  this->CheckProgress(target, row, submission, task, now);
}

void Cell::CheckProgress(Target* target, const RunningRun& row, Submission* submission, Task* task,
                         TimePoint now) {
  const StepSpec& spec = submission->Step(row.task.step);
  task->metric = row.metric;
  if (row.percent > task->percent) {
    task->progressed_at = now;
  }
  task->percent = row.percent;
  if (task->partial && !task->measured_from) {
    task->measured_from = now;
    task->measured_percent = row.percent;
    task->worked = Duration(0);
  }
  if (spec.long_running || task->phase != TaskPhase::kRunning || spec.gang) {
    return;
  }
  if (task->first_seen_at == TimePoint{}) {
    task->first_seen_at = now;
    task->first_percent = row.percent;
    task->progressed_at = now;
  }
  RunProgress progress;
  const LearnedDuration learned = this->LearnedOf(*submission, row.task.step);
  progress.estimate = learned.Usual(spec.estimate);
  if (!learned.exact()) {
    constexpr double kLateDeviations = 2.0;
    progress.longest_usual = learned.Quantile(spec.estimate, kLateDeviations);
  }
  progress.observed = now - task->first_seen_at;
  progress.since_growth = now - task->progressed_at;
  progress.first_percent = task->first_percent;
  progress.percent = row.percent;
  progress.resumes_from_checkpoint = spec.checkpointing;
  progress.paced = task->pace < 100;
  const RunHealth run_health = ClassifyRun(progress, this->settings.straggler);
  if (run_health == RunHealth::kHealthy) {
    return;
  }
  if (this->IsEvacuated(*target) &&
      this->ChooseTarget(*submission, row.task, *task, now) == nullptr) {
    return;  // The run would start again only after the evacuation.
  }
  if (!this->BindingTargets(row.task, now).empty()) {
    return;  // The run could start again only here.
  }
  this->Log(EventCode::kRunMoved,
            {{"task", row.task.str()},
             {"run", std::to_string(row.run)},
             {"target", target->entry.id.str()},
             {"cause", run_health == RunHealth::kStalled ? "stalled" : "crawling"},
             {"percent", std::to_string(row.percent)},
             {"observed-ms", std::to_string(progress.observed.count() / 1000)}});
  // A best-effort task may stall for lack of free processors, which is not a fault of the target.
  const bool lacks_cpu =
      spec.best_effort &&
      BestEffortCpuLeft(target->load, this->settings.placement) < spec.need.cpu_millis;
  if (run_health == RunHealth::kStalled && !lacks_cpu &&
      target->health.OnFailed(row.task.submission, now, this->settings.health)) {
    this->Log(EventCode::kTargetSuspect,
              {{"target", target->entry.id.str()}, {"cause", "runs-stall"}});
  }
  if (run_health == RunHealth::kTooSlow) {
    // Its end will not be seen. Without it, the model would only learn from quick runs.
    const double slowness = std::max(1.0, target->load.slowness);
    DurationSample sample{
        spec.estimate, std::chrono::duration_cast<Duration>(ProjectedDuration(progress) / slowness),
        spec.count};
    this->duration_model.Learn(submission->accepted.queue.id, row.task.step, spec.image, sample);
    target->load.slowness = std::max(target->load.slowness, 2.0);
  }
  this->BeginStop(row.task, task, StopReason::kMoved, now);
}

void Cell::HandleMissingRuns(Target* target, std::uint64_t hold_number,
                             const std::set<TaskKey>& reported_runs, TimePoint now) {
  for (const TaskKey& key : std::set<TaskKey>(target->tasks)) {
    Submission* submission = this->FindSubmission(key.submission);
    Task* task = submission->FindTask(key);
    const bool must_be_reported = task->phase != TaskPhase::kAssigned &&
                                  task->incarnation == target->CurrentIncarnation() &&
                                  hold_number > task->absent_after_hold;
    if (!must_be_reported || reported_runs.count(key) != 0) {
      continue;
    }
    if (task->phase != TaskPhase::kStopping && this->MayStillStart(*target, key, *task)) {
      this->BeginStop(key, task, StopReason::kUnconfirmedStart, now);
    } else {
      const bool sent_by_former_owner = task->phase == TaskPhase::kStarting && task->sends == 0 &&
                                        this->tasks_with_orders.count(key) == 0;
      if (sent_by_former_owner) {
        // The target refuses the start from now on, but its next incarnation has seen no token.
        target->unconfirmed_starts[{key, task->run}] = internal::UnconfirmedStart{
            this->acquired_at + this->settings.max_order_delay, TimePoint::max(), true};
      }
      this->Requeue(submission, key, task, "not-there", now);
      this->EndIfFinished(submission);
    }
  }
  for (auto orphaned_run = target->orphaned_runs.begin();
       orphaned_run != target->orphaned_runs.end();) {
    orphaned_run = reported_runs.count(orphaned_run->first) == 0
                       ? target->orphaned_runs.erase(orphaned_run)
                       : std::next(orphaned_run);
  }
}

bool Cell::HasOrphanedRun(const TaskKey& key) const {
  return std::any_of(this->targets.begin(), this->targets.end(), [&key](const auto& entry) {
    return entry.second.orphaned_runs.count(key) != 0;
  });
}

void Cell::StopOrphanedRun(Target* target, const RunningRun& row, TimePoint now) {
  internal::OrphanedRun& orphaned_run = target->orphaned_runs[row.task];
  const bool first_stop = orphaned_run.run != row.run;
  if (first_stop) {
    orphaned_run = internal::OrphanedRun{row.run, now};
    this->counts.orphaned_runs++;
    Submission* submission = this->FindSubmission(row.task.submission);
    const Task* task = submission == nullptr ? nullptr : submission->FindTask(row.task);
    this->Log(EventCode::kOrphanedRunStopped,
              {{"task", row.task.str()},
               {"run", std::to_string(row.run)},
               {"target", target->entry.id.str()},
               {"born", std::to_string(target->incarnation)},
               {"state", submission == nullptr ? "unknown" : NameOf(submission->State())},
               {"cancelled", submission != nullptr && submission->cancelled ? "1" : "0"},
               {"phase", task == nullptr ? "none" : NameOf(task->phase)},
               {"latest-run", std::to_string(task == nullptr ? 0 : task->run)},
               {"latest-target", task == nullptr ? "" : task->incarnation.target.str()}});
  }
  this->StopOrphanedRuns(target, now);
}

void Cell::StopOrphanedRuns(Target* target, TimePoint now) {
  for (auto& [key, orphaned_run] : target->orphaned_runs) {
    if (now >= orphaned_run.next_stop_at) {
      orphaned_run.next_stop_at = now + this->settings.stop_timeout + this->settings.order_timeout;
      this->EnqueueStop(target, key, orphaned_run.run, true, now);
    }
  }
}

}  // namespace pistachio
