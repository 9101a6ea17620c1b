#include <algorithm>
#include <string_view>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

namespace internal {

/// Cause of the loss of runs that is no proof of a crash.
constexpr const char* kLeaseExpired = "hold-lapsed";

}  // namespace internal

void Cell::PutTarget(const TargetEntry& entry, TimePoint now) {
  this->RequeueRunsOfReplacedTargets(entry, now);
  this->CountUnprovenCrash(entry, now);
  this->data_centres.insert(entry.data_centre);
  Target& target = this->targets[entry.id];
  if (target.entry.id.empty()) {
    target.entry.id = entry.id;
    target.token = this->TokenOfNewTarget();
    this->InheritLease(&target);
    target.incarnation = entry.incarnation;
    const auto forgotten = this->forgotten_targets.find(entry.id);
    if (forgotten != this->forgotten_targets.end()) {
      const TimePoint arrive_until = forgotten->second.deadlines_arrive_until;
      if (forgotten->second.incarnation == entry.incarnation) {
        target.deadlines_arrive_until = arrive_until;
      } else {
        target.earlier_token = forgotten->second.token;
        target.earlier_deadlines_arrive_until = arrive_until;
        this->CoverEarlierDeadlines(&target, arrive_until);
        target.token_outdated = target.token <= target.earlier_token;
        target.announces_token = target.token_outdated;
        this->RaiseToken(&target, now);
      }
    }
    target.known_since = entry.known_since;
    target.next_hold_at = now;
  }
  if (entry.incarnation == target.incarnation) {
    target.known_since = std::min(target.known_since, entry.known_since);
  }
  const bool was_registered = target.registered;
  const TargetState was_state = target.entry.state;
  target.entry = entry;
  target.cold_time.Update(entry.cold_remaining, now);
  target.registered = true;
  target.load.capacity = entry.capacity;
  if (entry.incarnation > target.incarnation) {
    this->BeginIncarnation(&target, entry.incarnation, now, "registered-anew");
  }
  if (entry.state == TargetState::kDraining && was_state != entry.state) {
    target.draining_since = now;
    target.evacuation_wait_logged = false;
  }
  if (!was_registered || was_state != entry.state) {
    this->Log(EventCode::kTargetListed,
              {{"cell", this->cell_id.str()},
               {"target", entry.id.str()},
               {"born", std::to_string(entry.incarnation)},
               {"state", entry.state == TargetState::kReady ? "ready" : "draining"},
               {"runs", std::to_string(target.tasks.size())},
               {"drain-left-ms", std::to_string(entry.drain_remaining.count())}});
  }
  this->schedule_due = true;
}

void Cell::RequeueRunsOfReplacedTargets(const TargetEntry& entry, TimePoint now) {
  // A restarted target may register with a new id at its old address. The runs under its old id
  // have ended with the restart.
  for (auto& [id, other] : this->targets) {
    const bool replaced = id != entry.id && other.entry.address == entry.address &&
                          entry.incarnation > other.incarnation && !other.registered;
    if (replaced) {
      this->RequeueLostRuns(&other, other.tasks, now, "address-reused");
    }
  }
}

void Cell::RemoveTarget(const TargetId& id, TimePoint now) {
  Target* target = this->FindTarget(id);
  if (target == nullptr || !target->registered) {
    return;
  }
  target->registered = false;
  target->next_hold_at = std::min(target->next_hold_at, now);
  this->Log(EventCode::kTargetUnlisted, {{"cell", this->cell_id.str()},
                                         {"target", id.str()},
                                         {"runs", std::to_string(target->tasks.size())}});
}

void Cell::BeginIncarnation(Target* target, std::uint64_t incarnation, TimePoint now,
                            const char* cause) {
  this->RecordLoss(target, true, now);
  // A start names only the target's id, which the new incarnation may share. Therefore the new
  // incarnation may have carried out, or may still carry out, a start that was sent. Its lists of
  // running and finished runs, and its answers to stops, decide whether such a run is lost.
  for (const TaskKey& key : std::set<TaskKey>(target->tasks)) {
    Submission* submission = this->FindSubmission(key.submission);
    Task* task = submission->FindTask(key);
    task->unanswered_runs = 0;  // The restart explains why there was no answer.
    const bool inherited_start = this->InheritedStartMayArrive(*task, now);
    task->open_start_at = inherited_start ? target->entry.id : task->open_start_at;
    const bool may_still_start = this->MayStillStart(*target, key, *task) || inherited_start;
    const bool lost = task->phase == TaskPhase::kAssigned || (task->reported && !may_still_start);
    if (lost) {
      this->Requeue(submission, key, task, cause, now);
      this->EndIfFinished(submission);
      continue;
    }
    task->incarnation = {target->entry.id, incarnation, target->entry.address};
    if (task->phase == TaskPhase::kStopping) {
      // The earlier incarnation's answer to the stop does not bind this one.
      task->absent_after_hold = internal::kListsInconclusive;
      task->retry_at = now;
      task->order_in_flight = false;
      this->tasks_with_orders.insert(key);
    } else if (task->reported) {
      this->BeginStop(key, task, StopReason::kUnconfirmedStart, now);
    } else if (task->phase == TaskPhase::kStarting && task->crash_record.suspect) {
      // The start may have crashed the target and is not sent again.
      task->sends = this->settings.max_start_attempts;
    } else if (task->phase == TaskPhase::kRunning) {
      task->absent_after_hold = target->holds_sent;
    }
    // What the earlier incarnation has shown of the run does not hold for this one.
    task->reported = false;
    task->confirmed = false;
    task->confirmed_later = false;
    task->loss_recorded = false;
    this->MarkDirty(key.submission, true);
  }
  this->Log(EventCode::kTargetRestarted, {{"cell", this->cell_id.str()},
                                          {"target", target->entry.id.str()},
                                          {"born", std::to_string(incarnation)},
                                          {"cause", cause},
                                          {"open-starts", std::to_string(target->tasks.size())}});
  target->incarnation = incarnation;
  target->address_reused = false;
  target->known_since = now;
  // Orders made since the restart was seen carry a token that no earlier incarnation got, and no
  // deadline, as the clock is not known.
  const bool token_is_new = target->restart_seen && !target->token_outdated;
  if (target->token_used && !token_is_new) {
    target->earlier_token = target->token;
  }
  target->token_outdated = target->token_outdated || (target->token_used && !token_is_new);
  target->announces_token = target->token_outdated;
  target->restart_seen = false;
  this->RaiseToken(target, now);
  ForgetClock(target);
  // Those for the incarnations before the last one may arrive at this one as well.
  target->earlier_deadlines_arrive_until =
      std::max(target->earlier_deadlines_arrive_until, target->deadlines_arrive_until);
  target->deadlines_arrive_until = TimePoint{};
  target->refuses_earlier_orders = false;
  target->refusal_is_new = false;
  this->CoverEarlierDeadlines(target, target->earlier_deadlines_arrive_until);
  this->CoverInheritedDeadlines(target);
  target->reconciled = false;
  target->last_seen_end = 0;
  target->last_durable_end = 0;
  target->last_acked_end = 0;
  target->unacked_ends.clear();
  target->next_ack_at = now;
  target->foreign_ends.clear();
  target->failed_holds = 0;
  // Holds to the earlier incarnation tell nothing of this one if they get no answer, and occupy
  // none of its connections.
  target->earlier_open_holds = target->open_holds;
  target->hold_in_flight = false;
  target->unanswered_holds = 0;
  target->first_open_hold = target->holds_sent + 1;
  target->orphaned_runs.clear();
  for (auto& [run, start] : target->unconfirmed_starts) {
    start.cancel_at = now;
    start.refused = false;
  }
  target->health = TargetHealth{};
  target->over_bound_since = TimePoint{};
  target->next_hold_at = now;
}

void Cell::NoticeRestart(Target* target, TimePoint now) {
  if (target->restart_seen) {
    return;
  }
  this->Log(EventCode::kTargetRestartSeen, {{"cell", this->cell_id.str()},
                                            {"target", target->entry.id.str()},
                                            {"born", std::to_string(target->incarnation)},
                                            {"runs", std::to_string(target->tasks.size())}});
  target->restart_seen = true;
  target->restart_seen_at_hold = target->holds_sent;
  ForgetClock(target);
  if (target->token_used) {
    target->earlier_token = target->token;
  }
  target->token_outdated = target->token_outdated || target->token_used;
  target->announces_token = target->token_outdated;
  this->RaiseToken(target, now);
  target->next_hold_at = now;
  target->further_hold_at = now;
}

FencingToken Cell::TokenOfNewTarget() {
  this->highest_token = this->confirmed_revision;
  return this->highest_token;
}

void Cell::RaiseToken(Target* target, TimePoint now) {
  if (!target->token_outdated) {
    return;
  }
  if (this->confirmed_revision <= target->token) {
    this->token_write_due = true;
    this->commit_urgent = true;
    return;
  }
  target->token = this->confirmed_revision;
  target->token_used = false;
  target->token_outdated = false;
  this->highest_token = target->token;
  if (target->announces_token) {
    // The target refuses the earlier orders from the first one with the higher token on.
    target->announces_token = false;
    target->token_unconfirmed = true;
    target->next_hold_at = now;
    target->further_hold_at = now;
  }
}

void Cell::ConfirmWrite(FencingToken revision, TimePoint now) {
  if (revision <= this->confirmed_revision) {
    return;
  }
  this->confirmed_revision = revision;
  this->token_write_due = false;
  for (auto& [id, target] : this->targets) {
    this->RaiseToken(&target, now);
  }
}

void Cell::FenceLostAcknowledgement(Target* target, const internal::SentOrder& sent,
                                    TimePoint now) {
  target->next_ack_at = now + this->settings.ack_retry_delay;
  if (HasFormerToken(*target, sent)) {
    return;
  }
  // The next incarnation may carry the acknowledgement out, which would discard an end that nobody
  // has received. It refuses the acknowledgement if its first start has a higher token.
  target->token_outdated = true;
  this->RaiseToken(target, now);
}

bool Cell::HasFormerToken(const Target& target, const internal::SentOrder& sent) {
  return sent.token < target.token;
}

bool Cell::MayStillStart(const Target& target, const TaskKey& key, const Task& task) const {
  if (target.unconfirmed_starts.count({key, task.run}) != 0) {
    return true;
  }
  return std::any_of(this->sent_orders.begin(), this->sent_orders.end(), [&](const auto& entry) {
    const internal::SentOrder& sent = entry.second;
    return sent.kind == internal::SentOrder::Kind::kStart && sent.target == target.entry.id &&
           sent.task == key && sent.run == task.run;
  });
}

bool Cell::AnyStartMayArrive(const TaskKey& key, TimePoint now) const {
  const auto found = this->all_submissions.find(key.submission);
  if (found == this->all_submissions.end()) {
    return this->open_starts.MayArrive(key, now);
  }
  const Submission& submission = found->second;
  if (now < submission.inherited_starts_until) {
    return true;
  }
  if (key.step >= submission.accepted.spec.steps.size() || !submission.Step(key.step).gang) {
    return this->open_starts.MayArrive(key, now);
  }
  TaskKey member = key;
  for (member.index = 0; member.index < submission.Step(key.step).count; ++member.index) {
    if (this->open_starts.MayArrive(member, now)) {
      return true;
    }
  }
  return false;
}

std::vector<TargetId> Cell::TargetsOfOpenStarts(const TaskKey& key, TimePoint now) const {
  std::vector<TargetId> open = this->open_starts.TargetsOf(key, now);
  const auto submission = this->all_submissions.find(key.submission);
  const Task* task =
      submission == this->all_submissions.end() ? nullptr : submission->second.FindTask(key);
  const bool inherited = task != nullptr && now < submission->second.inherited_starts_until &&
                         !task->open_start_at.empty();
  if (inherited && std::find(open.begin(), open.end(), task->open_start_at) == open.end()) {
    open.push_back(task->open_start_at);
  }
  const auto is_unreachable = [this](const TargetId& id) {
    const auto target = this->targets.find(id);
    return target != this->targets.end() && target->second.address_reused;
  };
  open.erase(std::remove_if(open.begin(), open.end(), is_unreachable), open.end());
  return open;
}

std::vector<TargetId> Cell::BindingTargets(const TaskKey& key, TimePoint now) const {
  std::vector<TargetId> open = this->TargetsOfOpenStarts(key, now);
  const auto submission = this->all_submissions.find(key.submission);
  if (open.empty() || submission == this->all_submissions.end()) {
    return open;
  }
  const Task& task = *submission->second.FindTask(key);
  const bool overdue =
      submission->second.Step(key.step).long_running &&
      this->TimeWaiting(submission->second, task, now) >= this->settings.max_safe_time_without_run;
  return overdue ? std::vector<TargetId>() : open;
}

std::uint64_t Cell::LastAcknowledgeableEnd(const Target& target, TimePoint now) const {
  for (const auto& [number, end] : target.unacked_ends) {
    if (number > target.last_durable_end) {
      break;
    }
    if (this->IsHeld(end, now)) {
      return std::max(target.last_acked_end, number - 1);
    }
  }
  return target.last_durable_end;
}

bool Cell::IsHeld(const internal::UnackedEnd& end, TimePoint now) const {
  const auto submission = this->all_submissions.find(end.task.submission);
  // A failed run is followed by others until the attempts of its task are used up.
  const bool last =
      end.done || (submission != this->all_submissions.end() && submission->second.failed);
  return last && this->AnyStartMayArrive(end.task, now);
}

bool Cell::InheritedStartMayArrive(const Task& task, TimePoint now) const {
  return task.inherited && now < this->acquired_at + this->settings.max_order_delay;
}

std::set<TaskKey> Cell::RunsWithoutLease(const Target& target, TimePoint now) {
  std::set<TaskKey> ended;
  for (const TaskKey& key : target.tasks) {
    Submission* submission = this->FindSubmission(key.submission);
    // The target may restart unnoticed, and its next incarnation may carry out a start. The wait
    // for that is longer than the time for which a long-running task may be without a run.
    const Task& task = *submission->FindTask(key);
    const bool inherited_start = !task.reported && this->InheritedStartMayArrive(task, now);
    const bool long_lease_left = now < target.inherited_deadlines_expire_at;
    const bool may_begin_again =
        !submission->Step(key.step).long_running &&
        (inherited_start || long_lease_left || this->MayStillStart(target, key, task));
    if (!may_begin_again) {
      ended.insert(key);
    }
  }
  return ended;
}

void Cell::RequeueLostRuns(Target* target, const std::set<TaskKey>& lost, TimePoint now,
                           const char* cause) {
  const bool proven = std::string_view(cause) != internal::kLeaseExpired;
  target->address_reused = target->address_reused || proven;
  if (lost.empty()) {
    return;
  }
  this->RecordLoss(target, proven, now);
  this->counts.targets_lost++;
  this->Log(
      EventCode::kTargetRunsLost,
      {{"cell", this->cell_id.str()},
       {"target", target->entry.id.str()},
       {"born", std::to_string(target->incarnation)},
       {"runs", std::to_string(lost.size())},
       {"cause", cause},
       {"lease", LeaseSource(*target)},
       {"answered-ms",
        target->answered_at == TimePoint{} ? "none" : MillisecondsText(now - target->answered_at)},
       {"unreached-ms", MillisecondsText(now - this->UnreachedSince(*target))},
       {"taken-ms", MillisecondsText(now - this->acquired_at)}});
  // Nothing was heard of the runs since the last extension of a lease that has expired. The former
  // owner of an inherited run has extended it.
  const Duration extension = target->entry.state == TargetState::kDraining
                                 ? this->settings.draining_lease_duration
                                 : this->settings.lease_duration;
  const TimePoint last_extended_at = now - (this->LeaseExpiry(now, extension) - now);
  for (const TaskKey& key : std::set<TaskKey>(lost)) {
    Submission* submission = this->FindSubmission(key.submission);
    Task* task = submission->FindTask(key);
    if (!proven && task->run_seen_at == TimePoint{}) {
      task->run_seen_at = last_extended_at;
    }
    this->Requeue(submission, key, task, cause, now);
    task->unreached_since = proven ? TimePoint{} : this->UnreachedSince(*target);
    this->EndIfFinished(submission);
  }
}

void Cell::ExpireLeases(TimePoint now) {
  std::vector<TargetId> removable;
  for (auto& [id, target] : this->targets) {
    if (now >= LeaseEnd(target)) {
      this->RequeueLostRuns(&target, this->RunsWithoutLease(target, now), now,
                            internal::kLeaseExpired);
      target.orphaned_runs.clear();
    }
    if (!target.registered && target.tasks.empty() && target.unconfirmed_starts.empty() &&
        target.open_holds == 0 && now >= LeaseEnd(target)) {
      removable.push_back(id);
    }
  }
  for (const TargetId& id : removable) {
    const Target& target = this->targets.at(id);
    const TimePoint arrive_until =
        std::max(target.deadlines_arrive_until, target.earlier_deadlines_arrive_until);
    if (arrive_until != TimePoint{}) {
      this->forgotten_targets[id] = {target.incarnation, arrive_until, target.token};
    }
    this->targets.erase(id);
  }
  for (auto entry = this->forgotten_targets.begin(); entry != this->forgotten_targets.end();) {
    const TimePoint arrive_until = entry->second.deadlines_arrive_until;
    const bool expired = now >= this->LeaseExpiry(arrive_until, this->settings.max_lease_duration);
    entry = expired ? this->forgotten_targets.erase(entry) : std::next(entry);
  }
}

void Cell::UpdateLoad(Target* target, const TaskKey& key, const StepSpec& spec, int sign) {
  const bool changed = sign > 0 ? target->tasks.insert(key).second : target->tasks.erase(key) != 0;
  if (!changed) {
    return;
  }
  TargetLoad& load = target->load;
  Resources counted = spec.need;
  if (spec.best_effort) {
    load.best_effort_cpu += sign * spec.need.cpu_millis;
    counted.cpu_millis = 0;
  }
  if (spec.tail_bound.count() > 0) {
    load.serving_cpu += sign * counted.cpu_millis;
  }
  if (sign > 0) {
    load.used += counted;
    target->long_running_used += spec.long_running ? counted : Resources{};
  } else {
    load.used -= counted;
    target->long_running_used -= spec.long_running ? counted : Resources{};
    if (target->suspect_task == key) {
      target->suspect_task.reset();
    }
  }
  this->UpdateSharingLists(target);
}

void Cell::SendHold(Target* target, TimePoint now) {
  HoldOrder hold;
  const bool is_needed_witness = this->IsNeededWitness(*target, now);
  // A further hold while others are in flight only asks for the lists.
  const bool further = target->hold_in_flight;
  // ExtendLease() moves `own_lease_expires_at` before the hold is answered, because the target may
  // extend its lease although its answer gets lost. After a failed hold, further holds carry no
  // deadline until one succeeds. Otherwise the lease of a silent target would never count as
  // expired.
  if (target->failed_holds == 0 && !further) {
    hold.deadline = this->ExtendLease(target, now);
  }
  // Ends are numbered anew in each incarnation. A number of an earlier incarnation must not reach
  // one that has not answered yet, as it would discard ends that were never received. So an end is
  // acknowledged only shortly after an answer, and in a hold without a long poll.
  const bool answered_recently = target->failed_holds == 0 && !further && !target->restart_seen &&
                                 now >= target->next_ack_at &&
                                 now - target->answered_at < this->settings.max_answer_age_for_ack;
  const std::uint64_t last_end = this->LastAcknowledgeableEnd(*target, now);
  hold.acked_end = last_end > target->last_acked_end && answered_recently ? last_end : 0;
  const bool ack_due = target->last_durable_end > target->last_acked_end;
  const bool uncommitted = target->last_seen_end > target->last_durable_end;
  // The lease of a target with a lease bound is to be extended as soon as the bound is removed.
  const bool may_wait = target->reconciled && !uncommitted && !ack_due &&
                        target->failed_holds == 0 && !further && !target->list_due &&
                        !this->HasLeaseBound(target->entry.id);
  target->list_due = false;
  if (may_wait) {
    const bool near_bound = !target->load.best_effort.empty() &&
                            ReportedTailRatio(target->load.serving) >
                                this->settings.placement.sharing.poll_faster_above_ratio;
    hold.wait = is_needed_witness ? this->settings.witnesses.long_poll
                : near_bound      ? this->settings.long_poll_near_bound
                                  : this->settings.long_poll;
  }
  target->hold_in_flight = true;
  target->open_holds++;
  target->holds_sent++;
  target->first_open_hold =
      target->unanswered_holds == 0 ? target->holds_sent : target->first_open_hold;
  target->unanswered_holds++;
  const bool quick = target->unanswered_holds < this->settings.max_quick_holds;
  target->further_hold_at =
      now + hold.wait +
      (quick ? this->settings.overdue_hold_interval : this->settings.silent_hold_interval);
  this->counts.holds++;
  internal::SentOrder sent;
  sent.kind = internal::SentOrder::Kind::kHold;
  sent.hold_number = target->holds_sent;
  sent.acked_end = hold.acked_end;
  sent.wait = hold.wait;
  sent.has_deadline = hold.deadline.has_value();
  // A target that seems silent may only be slow to answer.
  const bool silent = target->failed_holds >= this->settings.health.max_failed_holds;
  const Duration margin =
      silent || further ? this->settings.silent_hold_timeout : this->settings.hold_timeout_margin;
  this->EnqueueOrder(target, hold, hold.wait + margin, sent, now);
}

void Cell::CancelUnconfirmedStarts(const TargetId& id, Target* target, TimePoint now) {
  for (auto found = target->unconfirmed_starts.begin();
       found != target->unconfirmed_starts.end();) {
    const auto& [key, run] = found->first;
    internal::UnconfirmedStart& start = found->second;
    if (now >= start.valid_until) {
      found = target->unconfirmed_starts.erase(found);
      continue;
    }
    ++found;
    Submission* submission = this->FindSubmission(key.submission);
    const Task* task = submission == nullptr ? nullptr : submission->FindTask(key);
    const bool wanted = task != nullptr && task->HoldsResources() && task->run == run &&
                        task->incarnation.target == id;
    if (wanted || now < start.cancel_at) {
      continue;
    }
    start.cancel_at = now + this->settings.order_timeout + this->settings.order_retry_delay;
    this->Log(EventCode::kStartCancelled, {{"task", key.str()},
                                           {"run", std::to_string(run)},
                                           {"target", id.str()},
                                           {"born", std::to_string(target->incarnation)}});
    this->EnqueueStop(target, key, run, true, now);
  }
}

void Cell::SendDueHolds(TimePoint now) {
  for (auto& [id, target] : this->targets) {
    this->CancelUnconfirmedStarts(id, &target, now);
    this->StopOrphanedRuns(&target, now);
    const TimePoint due_at = target.hold_in_flight ? target.further_hold_at : target.next_hold_at;
    const bool too_many = target.hold_in_flight && target.open_holds - target.earlier_open_holds >=
                                                       this->settings.max_open_holds;
    if (target.entry.address.empty() || now < due_at || too_many) {
      continue;
    }
    const bool clock_outdated =
        !target.clock || now - target.clock_at > this->settings.idle_hold_interval;
    const bool needed = !target.tasks.empty() || !target.reconciled || clock_outdated ||
                        target.last_seen_end > target.last_acked_end ||
                        !target.orphaned_runs.empty() || target.token_unconfirmed ||
                        this->IsNeededWitness(target, now);
    const bool may_run = !target.tasks.empty() || !target.orphaned_runs.empty();
    if (needed && (target.registered || may_run)) {
      this->SendHold(&target, now);
    }
  }
}

}  // namespace pistachio
