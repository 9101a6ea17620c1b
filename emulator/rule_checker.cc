#include "emulator/rule_checker.h"

#include <algorithm>

namespace pistachio::emulator {

namespace internal {

/// Time after an acknowledged cancel from which no run of the submission may start.
constexpr Duration kCancelBound = std::chrono::milliseconds(3000);
/// Time after that within which a run that is stopped must be gone.
constexpr Duration kStopTimeout = std::chrono::milliseconds(900);
/// Time after the late start of a run from which its cancel must take effect.
constexpr Duration kLateStartWindow = std::chrono::milliseconds(3000);
/// Time after an acceptance from which every host must know the submission id.
constexpr Duration kVisibleBound = std::chrono::milliseconds(3000);
/// Time after an acceptance from which every count of waiting submissions must consider it.
constexpr Duration kCountedBound = kVisibleBound + std::chrono::milliseconds(2000);
/// Crashes under a task from which on its submission may be reported as failed.
constexpr std::uint32_t kCrashesToGiveUp = 2;
/// Crashes under a deadly task from which on its starts are counted.
constexpr std::uint32_t kCrashesToLimitStarts = 3;
/// Number of counted starts of a deadly task that breaks the rule BUDGET.
constexpr std::uint32_t kForbiddenStarts = 3;

}  // namespace internal

void RuleChecker::AddViolation(const std::string& rule, const std::string& description) {
  this->all_violations.push_back(rule + ": " + description);
}

void RuleChecker::OnSubmit(const SubmissionId& id, const SubmissionSpec& spec,
                           std::uint32_t max_attempts) {
  this->submissions[id] = SubmissionRecord{spec, max_attempts, true};
}

void RuleChecker::OnAccepted(const SubmissionId& id, TimePoint now) {
  this->accepted_ids.emplace(id, now);
  this->rejected_ids.erase(id);
}

void RuleChecker::OnAttemptArrived(const SubmissionId& id) {
  this->final_refusals.erase(id);
  if (this->unknown_cancels.erase(id) != 0) {
    this->cancelled.erase(id);
    this->cancel_acks.erase(id);
  }
}

void RuleChecker::OnRejected(const SubmissionId& id, TimePoint now) {
  const std::string refused =
      id.str() + " was refused at " + std::to_string(now.time_since_epoch().count()) + " us";
  if (this->accepted_ids.count(id) != 0) {
    this->AddViolation("REFUSED", refused + " although an attempt was accepted before");
  } else if (this->stored_ids.count(id) != 0) {
    this->AddViolation("REFUSED", refused + " although it is stored");
  } else if (this->begun.count(id) != 0) {
    this->AddViolation("REFUSED", refused + " although a run of it has started");
  }
  if (this->accepted_ids.count(id) == 0) {
    this->rejected_ids.insert(id);
  }
  this->final_refusals[id] = now;
}

void RuleChecker::CheckStored(const SubmissionId& id, bool stored, TimePoint now) {
  if (!stored) {
    this->stored_ids.erase(id);
    return;
  }
  if (!this->stored_ids.insert(id).second) {
    return;
  }
  const auto refusal = this->final_refusals.find(id);
  if (refusal != this->final_refusals.end()) {
    this->AddViolation("REFUSED", id.str() + " is stored " +
                                      std::to_string((now - refusal->second).count()) +
                                      " us after its refusal, without an attempt in between");
  }
}

void RuleChecker::OnCancelAcknowledged(const SubmissionId& id, TimePoint now) {
  this->unknown_cancels.erase(id);
  this->cancelled.emplace(id, now);
  this->cancel_acks.emplace(id, now);
}

void RuleChecker::OnUnknownCancelled(const SubmissionId& id, TimePoint now) {
  const bool first = this->cancelled.count(id) == 0;
  this->OnCancelAcknowledged(id, now);
  if (first) {
    this->unknown_cancels.insert(id);
  }
}

void RuleChecker::OnCancelInDoubt(const SubmissionId& id, TimePoint now) {
  this->unknown_cancels.erase(id);
  this->cancelled.emplace(id, now);
}

void RuleChecker::OnPendingReported(const std::string& host, std::uint64_t pending, TimePoint now) {
  std::uint64_t waiting = 0;
  for (const auto& [id, accepted_at] : this->accepted_ids) {
    const bool open = this->begun.count(id) == 0 && this->cancelled.count(id) == 0 &&
                      this->ReportedState(id) != SubmissionState::kFailed;
    const bool once = this->submissions.at(id).spec.repeat_count == 0;
    waiting += open && once && now - accepted_at > internal::kCountedBound ? 1 : 0;
  }
  this->checked_counts += waiting > 0 ? 1 : 0;
  if (pending * 2 < waiting) {
    this->AddViolation("MIXED", std::to_string(pending) + " submissions are said to wait at " +
                                    host + " at " + std::to_string(now.time_since_epoch().count()) +
                                    " us; " + std::to_string(waiting) +
                                    " have waited for over 5 s");
  }
}

bool RuleChecker::IsStepDone(const SubmissionId& id, std::uint32_t occurrence,
                             std::uint32_t step) const {
  const StepSpec& spec = this->submissions.at(id).spec.steps[step];
  std::uint32_t done = 0;
  for (std::uint32_t index = 0; index < spec.count; ++index) {
    done += static_cast<std::uint32_t>(
        this->ended_done.count(TaskKey{id, occurrence, step, index}.str()));
  }
  // The end of one member of a gang as done represents all of them.
  return spec.gang ? done > 0 : done == spec.count;
}

void RuleChecker::OnStateReported(const SubmissionId& id, SubmissionState state) {
  this->reported_states[id] = state;
  const auto found = this->submissions.find(id);
  if (found == this->submissions.end()) {
    this->AddViolation("MIXED", "state reported for " + id.str() + ", which was never submitted");
    return;
  }
  if (state == SubmissionState::kCompleted) {
    for (std::uint32_t step = 0; step < found->second.spec.steps.size(); ++step) {
      if (!this->IsStepDone(id, 0, step)) {
        this->AddViolation("MIXED", id.str() + " reported as completed although step " +
                                        std::to_string(step) + " is not done");
      }
    }
  }
  if (state == SubmissionState::kCancelled && this->cancelled.count(id) == 0) {
    this->AddViolation("LOST",
                       id.str() + " reported as cancelled although no cancel was acknowledged");
  }
  if (state == SubmissionState::kFailed) {
    this->CheckFailedReport(id, found->second.max_attempts);
  }
}

bool RuleChecker::IsTaskOf(const std::string& task, const SubmissionId& id) {
  return task.compare(0, id.str().size(), id.str()) == 0;
}

bool RuleChecker::HasDeadlyTask(const SubmissionId& id) const {
  return std::any_of(this->deadly_tasks.begin(), this->deadly_tasks.end(),
                     [&id](const std::string& task) { return IsTaskOf(task, id); });
}

void RuleChecker::CheckFailedReport(const SubmissionId& id, std::uint32_t max_attempts) {
  const auto any_task_has = [&id](const std::map<std::string, std::uint32_t>& counts,
                                  std::uint32_t least) {
    return std::any_of(counts.begin(), counts.end(), [&id, least](const auto& row) {
      return row.second >= least && IsTaskOf(row.first, id);
    });
  };
  if (any_task_has(this->failures, max_attempts)) {
    return;
  }
  if (!any_task_has(this->crashes, internal::kCrashesToGiveUp)) {
    this->AddViolation("LOST", id.str() +
                                   " reported as failed although no task has used up its attempts "
                                   "or had two targets crash under it");
  }
  if (!this->HasDeadlyTask(id)) {
    this->failed_submissions_without_cause.insert(id);
  }
}

void RuleChecker::CheckCrashBudget(const std::string& task, const std::string& description) {
  const auto found = this->crashes.find(task);
  if (found == this->crashes.end() || found->second < internal::kCrashesToLimitStarts) {
    return;
  }
  const std::uint32_t starts = ++this->starts_after_crashes[task];
  if (starts >= internal::kForbiddenStarts) {
    this->AddViolation("BUDGET", description + ", start " + std::to_string(starts) +
                                     " after three targets crashed under it (now " +
                                     std::to_string(found->second) + ")");
  }
}

void RuleChecker::OnUnknownId(const SubmissionId& id, TimePoint now) {
  const auto accepted = this->accepted_ids.find(id);
  if (accepted != this->accepted_ids.end() && now - accepted->second > internal::kVisibleBound &&
      this->cancelled.count(id) == 0) {
    this->AddViolation("LOST", id.str() + " is unknown to a host after it was accepted");
  }
}

void RuleChecker::OnStart(const TaskKey& task, RunNumber run, const std::string& target,
                          const std::string& payload, const std::string& checkpoint, bool draining,
                          bool skip_time_bounds, TimePoint now) {
  this->start_count++;
  const std::string name = task.str();
  const std::string description = name + " run " + std::to_string(run) + " on " + target;
  const auto found = this->submissions.find(task.submission);
  if (found == this->submissions.end() || found->second.spec.payload != payload ||
      task.step >= found->second.spec.steps.size()) {
    this->AddViolation("UNASKED", description + " does not match any submission");
    return;
  }
  this->begun.insert(task.submission);
  if (!checkpoint.empty() && this->checkpoints[name].count(checkpoint) == 0) {
    this->AddViolation("UNASKED",
                       description + " starts from a checkpoint that its task has not saved");
  }
  if (this->rejected_ids.count(task.submission) != 0) {
    this->AddViolation("REFUSED", description + " although its submission was refused");
  }
  const auto cancel = this->cancelled.find(task.submission);
  if (cancel != this->cancelled.end() && now - cancel->second > internal::kCancelBound &&
      !skip_time_bounds) {
    this->AddViolation("UNASKED", description + " after its submission was cancelled");
  }
  for (const auto& [other, other_run] : this->running[name]) {
    std::string overlap = description;
    overlap += " while run " + std::to_string(other_run.number) + " is on " + other;
    this->AddViolation("TWICE", overlap);
  }
  if (this->acknowledged_done.count(name) != 0) {
    this->AddViolation("TWICE", description + " after its end as done was acknowledged");
  }
  const auto done = this->open_done_ends.find(name);
  if (done != this->open_done_ends.end()) {
    for (auto& [end, later_start] : done->second) {
      later_start = description;
    }
  }
  for (const std::uint32_t earlier : found->second.spec.steps[task.step].after) {
    if (!this->IsStepDone(task.submission, task.occurrence, earlier)) {
      this->AddViolation("ORDER", description + " before the required step " +
                                      std::to_string(earlier) + " is done");
    }
  }
  const bool is_long_running = found->second.spec.steps[task.step].long_running;
  if (!is_long_running && this->failures[name] >= found->second.max_attempts) {
    this->AddViolation(
        "BUDGET", description + " after " + std::to_string(this->failures[name]) + " failures");
  }
  if (!skip_time_bounds && this->deadly_tasks.count(name) != 0) {
    this->CheckCrashBudget(name, description);
  }
  if (draining && !skip_time_bounds) {
    this->AddViolation("DRAIN", description + ", a draining target");
  }
  this->running[name][target] = RunRecord{run, now};
}

void RuleChecker::OnLateStart(const TaskKey& task, RunNumber run, const std::string& target,
                              TimePoint now) {
  auto& runs_by_target = this->running[task.str()];
  const auto found = runs_by_target.find(target);
  if (found != runs_by_target.end() && found->second.number == run &&
      found->second.started_at == now) {
    found->second.started_late = true;
  }
}

void RuleChecker::CheckCancelledRuns(TimePoint calm_since, TimePoint now) {
  constexpr Duration kBound = internal::kCancelBound + internal::kStopTimeout;
  if (now - calm_since <= kBound) {
    return;
  }
  for (const auto& [id, acknowledged_at] : this->cancel_acks) {
    if (now - acknowledged_at <= kBound) {
      continue;
    }
    for (auto task = this->running.lower_bound(id.str());
         task != this->running.end() && IsTaskOf(task->first, id); ++task) {
      for (auto& [target, run] : task->second) {
        if (run.reported_overdue ||
            (run.started_late && now - run.started_at <= internal::kLateStartWindow + kBound)) {
          continue;
        }
        run.reported_overdue = true;
        std::string overdue = task->first;
        overdue += " run " + std::to_string(run.number) + " goes on on " + target + " " +
                   std::to_string((now - acknowledged_at).count()) +
                   " us after the cancel of its submission was acknowledged, without a fault for " +
                   std::to_string((now - calm_since).count()) + " us";
        this->AddViolation("UNASKED", overdue);
      }
    }
  }
}

void RuleChecker::OnEvacuationRequested(const std::string& data_centre, Duration bound,
                                        TimePoint now) {
  this->evacuations[data_centre] = Evacuation{true, bound, now, TimePoint::min()};
}

void RuleChecker::OnEvacuationEnded(const std::string& data_centre) {
  this->evacuations[data_centre].open = false;
}

void RuleChecker::OnStartInDataCentre(const TaskKey& task, RunNumber run,
                                      const std::string& data_centre, bool skip_time_bounds,
                                      TimePoint now) {
  this->starts_by_zone[data_centre]++;
  const auto found = this->evacuations.find(data_centre);
  if (found == this->evacuations.end() || !found->second.open) {
    return;
  }
  Evacuation& evacuation = found->second;
  evacuation.last_start = now;
  if (!skip_time_bounds && now - evacuation.requested_at > evacuation.bound) {
    this->AddViolation("EVAC", task.str() + " run " + std::to_string(run) + " in " + data_centre +
                                   ", which is under evacuation");
  }
}

Duration RuleChecker::LastStartAfterRequest(const std::string& data_centre) const {
  const auto found = this->evacuations.find(data_centre);
  return found == this->evacuations.end() || found->second.last_start == TimePoint::min()
             ? Duration(-1)
             : found->second.last_start - found->second.requested_at;
}

std::size_t RuleChecker::StartsIn(const std::string& data_centre) const {
  const auto found = this->starts_by_zone.find(data_centre);
  return found == this->starts_by_zone.end() ? 0 : found->second;
}

void RuleChecker::OnEnd(const TaskKey& task, RunNumber run, const std::string& target,
                        RunOutcome outcome, const std::string& checkpoint) {
  const std::string name = task.str();
  this->running[name].erase(target);
  if (outcome == RunOutcome::kDone) {
    this->ended_done.insert(name);
    this->open_done_ends[name].emplace(std::make_pair(target, run), "");
  }
  this->OnCheckpoint(task, checkpoint);
}

void RuleChecker::OnCheckpoint(const TaskKey& task, const std::string& checkpoint) {
  if (!checkpoint.empty()) {
    this->checkpoints[task.str()].insert(checkpoint);
  }
}

void RuleChecker::OnEndAcknowledged(const TaskKey& task, RunNumber run, const std::string& target,
                                    RunOutcome outcome) {
  if (outcome == RunOutcome::kDone) {
    this->acknowledged_done.insert(task.str());
    const auto end = this->open_done_ends[task.str()].extract({target, run});
    if (!end.empty() && !end.mapped().empty()) {
      this->AddViolation("TWICE", end.mapped() + " after run " + std::to_string(run) + " on " +
                                      target + " had ended as done, which was acknowledged later");
    }
  }
  if (outcome == RunOutcome::kFailed) {
    this->failures[task.str()]++;
  }
}

void RuleChecker::OnTargetCrashed(const std::string& target) {
  for (const auto& [task, runs_by_target] : this->running) {
    if (runs_by_target.count(target) != 0) {
      this->crashes[task]++;
    }
  }
  this->OnTargetLeft(target);
}

void RuleChecker::OnDeadlyTask(const TaskKey& task) { this->deadly_tasks.insert(task.str()); }

void RuleChecker::OnTargetLeft(const std::string& target) {
  for (auto& [task, runs_by_target] : this->running) {
    runs_by_target.erase(target);
  }
  // Its ends that are not acknowledged are gone with it.
  this->OnLeaseLapsed(target);
}

void RuleChecker::OnLeaseLapsed(const std::string& target) {
  for (auto& [task, ends] : this->open_done_ends) {
    for (auto end = ends.begin(); end != ends.end();) {
      end = end->first.first == target ? ends.erase(end) : std::next(end);
    }
  }
}

void RuleChecker::OnCapacityExceeded(const std::string& target, TimePoint now) {
  this->AddViolation("LIMIT", target + " exceeds its registered room at " +
                                  std::to_string(now.time_since_epoch().count()));
}

void RuleChecker::OnKeysChanged(const std::string& id, const std::string& assigned_cell,
                                const std::vector<std::string>& inbox_cells,
                                const std::vector<std::string>& cancel_cells, TimePoint now) {
  this->CheckStored(SubmissionId(id), !assigned_cell.empty(), now);
  const std::size_t expected = assigned_cell.empty() ? 0 : 1;
  const bool bound_once =
      inbox_cells.size() == expected && (expected == 0 || inbox_cells.front() == assigned_cell);
  std::string description = id;
  description += " is assigned to '" + assigned_cell + "'";
  if (!bound_once) {
    this->AddViolation(
        "BINDING", description + " and is in " + std::to_string(inbox_cells.size()) + " inboxes");
  }
  for (const std::string& cell : cancel_cells) {
    if (cell != assigned_cell) {
      std::string misplaced = description;
      misplaced += " and its cancel is in " + cell;
      this->AddViolation("BINDING", misplaced);
    }
  }
}

std::size_t RuleChecker::RunningTasks(const SubmissionId& id) const {
  std::size_t count = 0;
  for (const auto& [task, runs_by_target] : this->running) {
    count += IsTaskOf(task, id) && !runs_by_target.empty() ? 1 : 0;
  }
  return count;
}

std::uint32_t RuleChecker::CrashesUnder(const TaskKey& task) const {
  const auto found = this->crashes.find(task.str());
  return found == this->crashes.end() ? 0 : found->second;
}

std::optional<SubmissionState> RuleChecker::ReportedState(const SubmissionId& id) const {
  const auto found = this->reported_states.find(id);
  return found == this->reported_states.end() ? std::nullopt : std::optional(found->second);
}

std::size_t RuleChecker::completed() const {
  std::size_t count = 0;
  for (const auto& [id, at] : this->accepted_ids) {
    bool done = this->cancelled.count(id) == 0;
    for (std::uint32_t step = 0; done && step < this->submissions.at(id).spec.steps.size();
         ++step) {
      done = this->IsStepDone(id, 0, step);
    }
    count += done ? 1 : 0;
  }
  return count;
}

void RuleChecker::CheckRunsOfDoneTasks() {
  for (const std::string& task : this->acknowledged_done) {
    const auto found = this->running.find(task);
    if (found == this->running.end()) {
      continue;
    }
    for (const auto& [target, run] : found->second) {
      std::string at_work = task;
      at_work += " run " + std::to_string(run.number) + " is at work on " + target +
                 " at the end although an end as done of its task was acknowledged";
      this->AddViolation("TWICE", at_work);
    }
  }
}

void RuleChecker::CheckAtEnd() {
  this->CheckRunsOfDoneTasks();
  for (const auto& [id, at] : this->accepted_ids) {
    const SubmissionRecord& submission = this->submissions.at(id);
    const bool is_long_running = submission.spec.steps.front().long_running;
    const auto state = this->reported_states.find(id);
    const bool failed =
        state != this->reported_states.end() && state->second == SubmissionState::kFailed;
    if (is_long_running || failed || this->HasDeadlyTask(id) || this->cancelled.count(id) != 0) {
      continue;
    }
    for (std::uint32_t step = 0; step < submission.spec.steps.size(); ++step) {
      if (!this->IsStepDone(id, 0, step)) {
        this->AddViolation("LOST", id.str() + " was accepted, but step " + std::to_string(step) +
                                       " is not done at the end");
        break;
      }
    }
  }
}

}  // namespace pistachio::emulator
