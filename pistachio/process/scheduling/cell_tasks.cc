#include <algorithm>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

void Cell::EnqueueOrder(Target* target, decltype(Order::order) order, Duration timeout,
                        internal::SentOrder sent, TimePoint now) {
  const OrderTicket ticket = this->next_ticket++;
  sent.sent_at = now;
  if (target->clock && !target->clock_is_new) {
    sent.clock = {EstimateClock(*target, now, this->settings.clock_drift),
                  target->clock_requested_at};
  }
  sent.target = target->entry.id;
  sent.incarnation = target->incarnation;
  sent.token = target->token;
  target->token_used = true;
  this->sent_orders[ticket] = sent;
  this->orders.push_back(OutgoingOrder{
      ticket, Order{target->entry.id, target->entry.address, std::move(order), timeout},
      target->token});
}

void Cell::SendDueOrders(TimePoint now) {
  for (const TaskKey& key : std::set<TaskKey>(this->tasks_with_orders)) {
    Submission* submission = this->FindSubmission(key.submission);
    Task* task = submission == nullptr ? nullptr : submission->FindTask(key);
    const bool starting = task != nullptr && task->phase == TaskPhase::kStarting;
    const bool stopping = task != nullptr && task->phase == TaskPhase::kStopping;
    if (!starting && !stopping) {
      this->tasks_with_orders.erase(key);
      continue;
    }
    if (task->order_in_flight || now < task->retry_at) {
      continue;
    }
    if (starting && task->sends >= this->settings.max_start_attempts) {
      this->BeginStop(key, task, StopReason::kUnconfirmedStart, now);
    } else if (starting) {
      this->SendStart(submission, key, task, now);
    } else {
      this->SendStop(key, task, now);
    }
  }
}

void Cell::SendStart(Submission* submission, const TaskKey& key, Task* task, TimePoint now) {
  Target* target = this->FindTarget(task->incarnation.target);
  const bool same_incarnation =
      target != nullptr && target->CurrentIncarnation() == task->incarnation;
  const bool must_wait =
      !this->registrations_current || (task->sends == 0 && this->HasOrphanedRun(key));
  if (same_incarnation && must_wait) {
    task->retry_at = now + this->settings.order_retry_delay;
    return;
  }
  if (same_incarnation && (target->token_outdated || target->restart_seen)) {
    return;  // A late start to an earlier incarnation could not be told from this one.
  }
  // Starts may have waited for a commit or for current registrations.
  const bool left = same_incarnation && task->sends == 0 &&
                    (!target->registered || target->entry.state == TargetState::kDraining);
  if (left) {
    this->WithdrawStart(submission, key, task, "target-left", now);
    return;
  }
  if (same_incarnation && this->IsEvacuated(*target)) {
    this->counts.starts_withheld++;
    this->WithdrawStart(submission, key, task, "evacuated", now);
    return;
  }
  if (same_incarnation && !this->FitsOnTargets(*submission, key)) {
    this->WithdrawStart(submission, key, task, "room-shrunk", now);
    return;
  }
  const auto deadline =
      same_incarnation ? this->LeaseForStart(target, task->sends > 0, now) : std::nullopt;
  if (!deadline) {
    // The target has restarted, or the store has not answered for too long to extend a lease.
    this->WithdrawStart(submission, key, task, "no-deadline", now);
    return;
  }
  StartOrder start;
  start.task = key;
  start.run = task->run;
  start.payload = submission->accepted.spec.payload;
  start.deadline = *deadline;
  start.checkpoint = task->checkpoint;
  internal::SentOrder sent;
  sent.kind = internal::SentOrder::Kind::kStart;
  sent.has_deadline = true;
  sent.task = key;
  sent.run = task->run;
  (task->sends == 0 ? this->counts.starts : this->counts.start_retries)++;
  task->sends++;
  task->order_in_flight = true;
  this->open_starts.OnSent(key, target->entry.id);
  this->EnqueueOrder(target, start, this->settings.order_timeout, sent, now);
}

void Cell::WithdrawStart(Submission* submission, const TaskKey& key, Task* task, const char* cause,
                         TimePoint now) {
  if (task->maybe_started) {
    this->BeginStop(key, task, StopReason::kUnconfirmedStart, now);
  } else {
    this->Requeue(submission, key, task, cause, now);
  }
  if (submission->Step(key.step).gang) {
    this->StopGang(submission, key, now);
  }
}

bool Cell::FitsOnTargets(const Submission& submission, const TaskKey& key) const {
  const auto fits = [this](const Task& task) {
    const auto target = this->targets.find(task.incarnation.target);
    return target == this->targets.end() || !task.HoldsResources() ||
           target->second.load.used.FitsIn(target->second.load.capacity);
  };
  const std::vector<Task>& tasks = submission.occurrences.at(key.occurrence).steps[key.step].tasks;
  return submission.Step(key.step).gang ? std::all_of(tasks.begin(), tasks.end(), fits)
                                        : fits(tasks[key.index]);
}

void Cell::SendStop(const TaskKey& key, Task* task, TimePoint now) {
  Target* target = this->FindTarget(task->incarnation.target);
  if (target == nullptr || target->entry.address.empty()) {
    task->retry_at = now + this->settings.order_timeout;
    return;
  }
  task->sends++;
  task->order_in_flight = true;
  this->EnqueueStop(target, key, task->run, false, now);
}

void Cell::EnqueueStop(Target* target, const TaskKey& key, RunNumber run, bool orphaned_run,
                       TimePoint now) {
  internal::SentOrder sent;
  sent.kind = internal::SentOrder::Kind::kStop;
  sent.orphaned_run = orphaned_run;
  sent.task = key;
  sent.run = run;
  this->counts.stops++;
  this->EnqueueOrder(target, StopOrder{key, run}, this->settings.order_timeout, sent, now);
}

void Cell::BeginStop(const TaskKey& key, Task* task, StopReason reason, TimePoint now) {
  if (task->phase == TaskPhase::kStopping) {
    return;
  }
  this->Log(EventCode::kRunStopping, {{"task", key.str()},
                                      {"run", std::to_string(task->run)},
                                      {"target", task->incarnation.target.str()},
                                      {"reason", NameOf(reason)}});
  task->phase = TaskPhase::kStopping;
  task->stop_reason = reason;
  task->phase_since = now;
  task->retry_at = now;
  task->sends = 0;
  task->order_in_flight = false;
  task->absent_after_hold = internal::kListsInconclusive;
  this->tasks_with_orders.insert(key);
}

std::optional<internal::SentOrder> Cell::TakeSentOrder(OrderTicket ticket) {
  const auto found = this->sent_orders.find(ticket);
  if (found == this->sent_orders.end()) {
    return std::nullopt;
  }
  std::optional<internal::SentOrder> sent = std::move(found->second);
  this->sent_orders.erase(found);
  return sent;
}

void Cell::OnOrderReply(OrderTicket ticket, const OrderReply& reply, TimePoint now) {
  const auto found = this->TakeSentOrder(ticket);
  if (found && found->kind == internal::SentOrder::Kind::kStart) {
    if (reply.status == OrderStatus::kNoAnswer) {
      this->open_starts.OnUnanswered(found->task, found->target,
                                     now + this->settings.max_order_delay);
    } else {
      this->open_starts.OnAnswered(found->task, found->target);
    }
  }
  Target* target = found ? this->FindTarget(found->target) : nullptr;
  if (target == nullptr) {
    return;
  }
  const internal::SentOrder& sent = *found;
  const bool same_incarnation = sent.incarnation == target->incarnation;
  AnswerOrigin origin =
      same_incarnation ? OriginOfAnswer(sent.clock, reply.clock, now) : AnswerOrigin::kUnknown;
  if (origin == AnswerOrigin::kLater) {
    this->NoticeRestart(target, now);
  } else if (origin == AnswerOrigin::kUnknown && same_incarnation && target->restart_seen) {
    origin = AnswerOrigin::kLater;
  }
  if (reply.status == OrderStatus::kFenced && HasFormerToken(*target, sent)) {
    this->RepeatRefusedOrder(target, sent, now);
    return;
  }
  if (reply.status == OrderStatus::kFenced) {
    this->is_fenced = true;
  }
  // Only the address of the incarnation that the order was sent to has another target.
  if (reply.status == OrderStatus::kWrongInstance && same_incarnation) {
    this->RequeueLostRuns(target, target->tasks, now, "restarted");
    ForgetClock(target);
    return;
  }
  this->NoteDeadline(target, sent, reply.status, now);
  target->answered = target->answered || reply.clock;
  if (same_incarnation) {
    this->UpdateClock(target, reply.clock, sent.sent_at, now);
  }
  switch (sent.kind) {
    case internal::SentOrder::Kind::kStart:
      this->OnStartReply(sent, reply, origin, now);
      break;
    case internal::SentOrder::Kind::kStop:
      this->OnStopReply(sent, reply, now);
      break;
    case internal::SentOrder::Kind::kPace: {
      Submission* submission = this->FindSubmission(sent.task.submission);
      Task* task = submission == nullptr ? nullptr : submission->FindTask(sent.task);
      if (task != nullptr && task->run == sent.run && reply.status == OrderStatus::kDone) {
        task->worked = internal::WorkedTime(*task, now);
        task->pace = sent.pace;
        task->first_seen_at = TimePoint{};
        task->paced_at = now;
        task->retry_at = now;
      }
      break;
    }
    case internal::SentOrder::Kind::kHold:
      break;
  }
}

void Cell::RepeatRefusedOrder(Target* target, const internal::SentOrder& sent, TimePoint now) {
  const auto unconfirmed = target->unconfirmed_starts.find({sent.task, sent.run});
  if (sent.kind == internal::SentOrder::Kind::kStop &&
      unconfirmed != target->unconfirmed_starts.end() && !unconfirmed->second.refused) {
    unconfirmed->second.cancel_at = std::min(unconfirmed->second.cancel_at, now);
  }
  const auto orphaned_run = target->orphaned_runs.find(sent.task);
  if (sent.orphaned_run && orphaned_run != target->orphaned_runs.end() &&
      orphaned_run->second.run == sent.run) {
    orphaned_run->second.next_stop_at = now;
  }
  Submission* submission = this->FindSubmission(sent.task.submission);
  Task* task =
      submission == nullptr || sent.orphaned_run ? nullptr : submission->FindTask(sent.task);
  const TaskPhase phase = sent.kind == internal::SentOrder::Kind::kStart  ? TaskPhase::kStarting
                          : sent.kind == internal::SentOrder::Kind::kStop ? TaskPhase::kStopping
                                                                          : TaskPhase::kRunning;
  if (task != nullptr && task->run == sent.run && task->phase == phase &&
      task->incarnation.target == sent.target) {
    task->order_in_flight = false;
    task->retry_at = now;
  }
}

void Cell::OnStartReply(const internal::SentOrder& sent, const OrderReply& reply,
                        AnswerOrigin origin, TimePoint now) {
  Submission* submission = this->FindSubmission(sent.task.submission);
  Task* task = submission == nullptr ? nullptr : submission->FindTask(sent.task);
  Target* target = this->FindTarget(sent.target);
  if (reply.status == OrderStatus::kNoAnswer) {
    const bool earlier_incarnation = sent.incarnation != target->incarnation;
    // An earlier send that is still to be cancelled stays so.
    internal::UnconfirmedStart& start =
        target->unconfirmed_starts
            .emplace(std::make_pair(sent.task, sent.run),
                     internal::UnconfirmedStart{TimePoint{}, TimePoint::max(), false})
            .first->second;
    start.valid_until = now + this->settings.max_order_delay;
    start.cancel_at = earlier_incarnation ? std::min(start.cancel_at, now) : start.cancel_at;
  }
  const bool is_current = task != nullptr && task->run == sent.run &&
                          task->phase == TaskPhase::kStarting &&
                          task->incarnation.target == sent.target;
  if (!is_current) {
    return;
  }
  task->order_in_flight = false;
  if (reply.status == OrderStatus::kDone) {
    this->ConfirmRun(*target, submission, sent.task, task, origin, now);
    task->partial = !task->checkpoint.empty();
    this->Log(EventCode::kRunStarted, {{"task", sent.task.str()},
                                       {"run", std::to_string(sent.run)},
                                       {"target", sent.target.str()},
                                       {"sends", std::to_string(task->sends)},
                                       {"incarnation", NameOf(origin)}});
    if (submission->cancelled || submission->failed) {
      this->BeginStop(sent.task, task, StopReason::kCancelled, now);
    }
    return;
  }
  this->Log(EventCode::kStartNotDone, {{"task", sent.task.str()},
                                       {"run", std::to_string(sent.run)},
                                       {"target", sent.target.str()},
                                       {"answer", NameOf(reply.status)},
                                       {"sends", std::to_string(task->sends)}});
  if (reply.status == OrderStatus::kNoAnswer) {
    task->maybe_started = true;
    task->retry_at = now + this->settings.order_retry_delay;
    if (task->sends >= this->settings.max_start_attempts || submission->cancelled) {
      this->BeginStop(sent.task, task, StopReason::kUnconfirmedStart, now);
    }
    return;
  }
  if (reply.status == OrderStatus::kFenced) {
    return;
  }
  if (reply.status == OrderStatus::kSuperseded) {
    // An earlier send of this start was carried out and the run has ended; the next list of
    // finished runs contains its end.
    task->phase = TaskPhase::kStopping;
    task->stop_reason = StopReason::kUnconfirmedStart;
    task->absent_after_hold = target->holds_sent;
    return;
  }
  if (reply.status == OrderStatus::kUnhealthy) {
    target->health.OnRejectedUnhealthy(now, this->settings.health);
  }
  task->avoid_target = sent.target;
  if (task->maybe_started) {
    this->BeginStop(sent.task, task, StopReason::kUnconfirmedStart, now);
  } else {
    this->Requeue(submission, sent.task, task, NameOf(reply.status), now);
  }
}

void Cell::ConfirmRun(const Target& target, Submission* submission, const TaskKey& key, Task* task,
                      AnswerOrigin origin, TimePoint now) {
  submission->begun = true;
  task->phase = TaskPhase::kRunning;
  task->displaced = false;
  task->destination = TargetId();
  task->reserved_since.reset();
  task->run_seen_at = now;
  task->unreached_since = TimePoint{};
  task->phase_since = now;
  task->started_at = now;
  task->confirmed_later = origin == AnswerOrigin::kLater;
  task->progressed_at = now;
  task->absent_after_hold = target.holds_sent;
  this->tasks_with_orders.erase(key);
  if (origin == AnswerOrigin::kExpected) {
    this->MarkConfirmed(key, task);
  }
}

void Cell::MarkConfirmed(const TaskKey& key, Task* task) {
  if (!task->confirmed && task->crash_record.suspect) {
    // If the target crashes and the owner changes, the next one knows that the run had begun.
    this->MarkDirty(key.submission, true);
  }
  task->confirmed = true;
}

void Cell::OnStopReply(const internal::SentOrder& sent, const OrderReply& reply, TimePoint now) {
  Target* target = this->FindTarget(sent.target);
  const bool stop_accepted =
      reply.status == OrderStatus::kDone || reply.status == OrderStatus::kSuperseded;
  const auto unconfirmed = target->unconfirmed_starts.find({sent.task, sent.run});
  if (stop_accepted && unconfirmed != target->unconfirmed_starts.end() &&
      sent.incarnation == target->incarnation) {
    unconfirmed->second.cancel_at = TimePoint::max();
    unconfirmed->second.refused = true;
  }
  const auto orphaned_run = target->orphaned_runs.find(sent.task);
  const bool is_orphaned = sent.orphaned_run && orphaned_run != target->orphaned_runs.end() &&
                           orphaned_run->second.run == sent.run;
  if (is_orphaned && !stop_accepted) {
    // The target's next list may come only after a long poll.
    orphaned_run->second.next_stop_at = now + this->settings.order_retry_delay;
  }
  Submission* submission = this->FindSubmission(sent.task.submission);
  Task* task =
      submission == nullptr || sent.orphaned_run ? nullptr : submission->FindTask(sent.task);
  const bool is_current =
      task != nullptr && task->run == sent.run && task->phase == TaskPhase::kStopping &&
      task->incarnation.target == sent.target && target->incarnation == sent.incarnation;
  if (!is_current) {
    return;
  }
  task->order_in_flight = false;
  if (stop_accepted) {
    // The run can no longer start. Holds sent from now on show whether it is still ending.
    task->absent_after_hold = std::min(task->absent_after_hold, target->holds_sent);
    task->retry_at = now + this->settings.stop_timeout + this->settings.order_timeout;
    // If the run has not begun, no end of it makes the target answer a long poll.
    target->list_due = target->list_due || !task->reported;
    if (!target->hold_in_flight) {
      target->next_hold_at = now;
    } else if (target->list_due) {
      target->further_hold_at = now;
    }
    return;
  }
  task->retry_at = now + this->settings.order_retry_delay;
}

void Cell::ReleaseResources(Submission* submission, const TaskKey& key, Task* task) {
  if (!task->HoldsResources()) {
    return;
  }
  Target* target = this->FindTarget(task->incarnation.target);
  if (target != nullptr) {
    this->UpdateLoad(target, key, submission->Step(key.step), -1);
  }
  this->tasks_with_orders.erase(key);
}

Duration Cell::TimeWithoutRun(const Task& task, TimePoint now) const {
  // Of an inherited run it is not known when it was last seen, unless its lease has expired.
  const bool unknown = task.run_seen_at == TimePoint{};
  return task.run_seen_at ? now - (unknown ? this->acquired_at : *task.run_seen_at) : Duration{0};
}

Duration Cell::TimeWaiting(const Submission& submission, const Task& task, TimePoint now) const {
  return task.run_seen_at ? this->TimeWithoutRun(task, now)
                          : now - std::max(task.phase_since, submission.arrived_at);
}

void Cell::Requeue(Submission* submission, const TaskKey& key, Task* task, const char* cause,
                   TimePoint now) {
  if (!task->HoldsResources()) {
    return;
  }
  if (task->done_run != 0) {
    task->run = task->done_run;
    this->FinishTask(submission, key, task);
    this->MarkDirty(key.submission);
    this->schedule_due = true;
    return;
  }
  const std::vector<TargetId> open_starts_at = this->TargetsOfOpenStarts(key, now);
  this->ReleaseResources(submission, key, task);
  this->Log(EventCode::kTaskRequeued,
            {{"task", key.str()},
             {"run", std::to_string(task->run)},
             {"target", task->incarnation.target.str()},
             {"phase", NameOf(task->phase)},
             {"cause", cause},
             {"without-run-ms", MillisecondsText(this->TimeWithoutRun(*task, now))},
             {"open-start-at", open_starts_at.empty() ? "" : open_starts_at.front().str()}});
  const bool avoid_current = task->phase != TaskPhase::kAssigned;
  Task waiting;
  waiting.run = task->run;
  waiting.failures = task->failures;
  waiting.checkpoint = task->checkpoint;
  waiting.crash_record = task->crash_record;
  waiting.crash_record.isolated = false;
  waiting.phase_since = now;
  waiting.run_seen_at = task->run_seen_at;
  const Target* target = this->FindTarget(task->incarnation.target);
  const bool had_run = task->phase == TaskPhase::kRunning || task->phase == TaskPhase::kStopping;
  const bool left_draining_target = had_run && task->run_seen_at && target != nullptr &&
                                    target->entry.state == TargetState::kDraining;
  waiting.displaced = left_draining_target || task->displaced;
  waiting.destination = task->destination;
  waiting.reserved_since = task->reserved_since;
  waiting.preemptions = task->preemptions;
  waiting.avoid_target = avoid_current ? task->incarnation.target : task->avoid_target;
  const bool unanswered = task->maybe_started && task->started_at == TimePoint{};
  waiting.unanswered_runs = unanswered ? task->unanswered_runs + 1 : 0;
  waiting.open_start_at = open_starts_at.empty() ? TargetId() : open_starts_at.front();
  *task = waiting;
  submission->occurrences.at(key.occurrence).steps[key.step].waiting++;
  this->MarkDirty(key.submission);
  this->schedule_due = true;
}

void Cell::StopGang(Submission* submission, const TaskKey& key, TimePoint now) {
  StepProgress& step = submission->occurrences.at(key.occurrence).steps[key.step];
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    TaskKey member = key;
    member.index = index;
    Task& task = step.tasks[index];
    if (task.IsUnsent()) {
      this->Requeue(submission, member, &task, "gang-broken", now);
    } else if (task.HoldsResources()) {
      this->BeginStop(member, &task, StopReason::kGangBroken, now);
    }
  }
}

void Cell::StopAllRuns(Submission* submission, StopReason reason, TimePoint now) {
  if (submission->cancelled) {
    this->ending_cancelled.emplace(submission->accepted.id, now + this->settings.stop_timeout +
                                                                this->settings.late_stop_margin);
  }
  for (auto& [number, occurrence] : submission->occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
        const TaskKey key{submission->accepted.id, number, step, index};
        Task& task = occurrence.steps[step].tasks[index];
        if (task.IsUnsent()) {
          this->Requeue(submission, key, &task, NameOf(reason), now);
        } else if (task.HoldsResources()) {
          this->BeginStop(key, &task, reason, now);
        }
      }
    }
  }
  this->MarkDirty(submission->accepted.id);
}

void Cell::LogLateStops(TimePoint now) {
  if (now < this->next_late_stop_log_at) {
    return;
  }
  this->next_late_stop_log_at = now + this->settings.late_stop_margin;
  std::vector<std::pair<TaskKey, const Task*>> late;
  for (auto entry = this->ending_cancelled.begin(); entry != this->ending_cancelled.end();) {
    const Submission* submission = this->FindSubmission(entry->first);
    const bool ended = submission == nullptr || submission->Ended();
    if (!ended && now < entry->second) {
      ++entry;
      continue;
    }
    entry = this->ending_cancelled.erase(entry);
    if (!ended) {
      AddHolders(*submission, &late);
    }
  }
  if (late.empty()) {
    return;
  }
  this->counts.late_stops += late.size();
  const auto& [key, task] = late.front();
  const Target* target = this->FindTarget(task->incarnation.target);
  const bool answered = target != nullptr && target->answered_at != TimePoint{};
  this->Log(EventCode::kStopLate,
            {{"task", key.str()},
             {"run", std::to_string(task->run)},
             {"target", task->incarnation.target.str()},
             {"born", std::to_string(task->incarnation.number)},
             {"phase", NameOf(task->phase)},
             {"reason", NameOf(task->stop_reason)},
             {"stopping-ms", MillisecondsText(now - task->phase_since)},
             {"stops", std::to_string(task->sends)},
             {"in-flight", task->order_in_flight ? "1" : "0"},
             {"answer-age-ms", answered ? MillisecondsText(now - target->answered_at) : "none"},
             {"failed-holds", std::to_string(target == nullptr ? 0 : target->failed_holds)},
             {"runs", std::to_string(late.size())}});
}

void Cell::AddHolders(const Submission& submission,
                      std::vector<std::pair<TaskKey, const Task*>>* holders) {
  for (const auto& [number, occurrence] : submission.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
        const Task& task = occurrence.steps[step].tasks[index];
        if (task.HoldsResources()) {
          holders->emplace_back(TaskKey{submission.accepted.id, number, step, index}, &task);
        }
      }
    }
  }
}

void Cell::EndIfFinished(Submission* submission) {
  const SubmissionId& id = submission->accepted.id;
  if (submission->Ended()) {
    return;
  }
  bool ended = submission->AllDone();
  if (submission->cancelled || submission->failed) {
    ended = true;
    for (const auto& [number, occurrence] : submission->occurrences) {
      for (const StepProgress& step : occurrence.steps) {
        ended = ended && std::none_of(step.tasks.begin(), step.tasks.end(),
                                      [](const Task& task) { return task.HoldsResources(); });
      }
    }
  }
  if (!ended) {
    return;
  }
  if (!this->ticked) {
    this->ending_submissions.push_back(id);
    return;
  }
  submission->ended_at = this->wall_time;
  if (submission->State() == SubmissionState::kCompleted) {
    this->RecordServed(submission, this->wall_time - submission->accepted.accepted_at <=
                                       this->EstimateOf(submission).objective);
  }
  submission->estimate = WorkEstimate{};
  this->open_submissions.erase(id);
  this->ended_submissions.push_back(id);
  this->MarkDirty(id, true);
  this->Log(
      EventCode::kSubmissionEnded,
      {{"submission", id.str()},
       {"state", NameOf(submission->State())},
       {"after-ms", std::to_string((this->wall_time - submission->accepted.accepted_at).count())}});
}

}  // namespace pistachio
