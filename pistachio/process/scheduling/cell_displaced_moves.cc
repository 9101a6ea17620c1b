#include <algorithm>

#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

namespace internal {

/// Submission that may leave, for the choice of those that do.
struct LeavingCandidate {
  Submission* submission = nullptr;
  std::size_t runs = 0;   ///< tasks whose runs would be stopped
  std::size_t tasks = 0;  ///< all tasks

  /// Orders by the share of tasks that would be stopped.
  friend bool operator<(const LeavingCandidate& a, const LeavingCandidate& b) {
    return a.runs * b.tasks < b.runs * a.tasks;
  }
};

LeavingCandidate MakeCandidate(Submission* submission) {
  LeavingCandidate candidate{submission, 0, 0};
  for (const auto& [number, occurrence] : submission->occurrences) {
    for (const StepProgress& step : occurrence.steps) {
      candidate.tasks += step.tasks.size();
      candidate.runs += step.tasks.size() - step.waiting - step.done;
    }
  }
  return candidate;
}

/// \returns the processors that the submission's tasks use, in thousandths of a core.
std::int64_t CpuInUse(const Submission& submission) {
  std::int64_t in_use = 0;
  for (const auto& [number, occurrence] : submission.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepProgress& progress = occurrence.steps[step];
      const auto runs =
          static_cast<std::int64_t>(progress.tasks.size()) - progress.waiting - progress.done;
      in_use += runs * submission.Step(step).need.cpu_millis;
    }
  }
  return in_use;
}

/// \returns true if a stop of all runs leaves more tasks of the step without a run than may be
///   unavailable at a time. Outside of evacuations, no run of a step with such a limit is stopped.
bool ForbidsStops(const StepSpec& spec, const StepProgress& progress, bool evacuated) {
  const bool has_runs = std::any_of(progress.tasks.begin(), progress.tasks.end(),
                                    [](const Task& task) { return task.HoldsResources(); });
  const bool exceeds_limit = progress.tasks.size() - progress.done > spec.max_unavailable;
  return has_runs && spec.max_unavailable > 0 && (exceeds_limit || !evacuated);
}

}  // namespace internal

std::int64_t Cell::UnplaceableCpu(const Submission& submission, TimePoint now) const {
  const MoveSettings& move = this->settings.move;
  std::int64_t cpu = 0;
  for (const auto& [number, occurrence] : submission.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepProgress& progress = occurrence.steps[step];
      if (progress.waiting == 0 || !submission.Step(step).long_running) {
        continue;
      }
      const auto unplaceable =
          std::count_if(progress.tasks.begin(), progress.tasks.end(), [&](const Task& task) {
            if (this->fully_evacuated) {
              return task.phase == TaskPhase::kWaiting && task.run > 0;
            }
            return task.phase == TaskPhase::kWaiting && task.unplaceable_since != TimePoint{} &&
                   now - task.unplaceable_since >= move.min_unplaceable_time &&
                   this->TimeWithoutRun(task, now) >= move.min_time_without_run;
          });
      cpu += unplaceable * submission.Step(step).need.cpu_millis;
    }
  }
  return cpu;
}

std::set<SubmissionId> Cell::UnsettledSubmissions(TimePoint now) const {
  std::set<SubmissionId> unsettled;
  for (const TaskKey& key : this->open_starts.Tasks(now)) {
    unsettled.insert(key.submission);
  }
  for (const auto& [ticket, sent] : this->sent_orders) {
    if (sent.kind != internal::SentOrder::Kind::kHold) {
      unsettled.insert(sent.task.submission);
    }
  }
  for (const auto& [id, target] : this->targets) {
    for (const auto& [run, start] : target.unconfirmed_starts) {
      if (!start.refused) {
        unsettled.insert(run.first.submission);
      }
    }
    for (const auto& [key, orphaned_run] : target.orphaned_runs) {
      unsettled.insert(key.submission);
    }
  }
  return unsettled;
}

bool Cell::InheritedStartsOver(const Submission& submission, TimePoint now) const {
  if (now >= submission.inherited_starts_until) {
    return true;
  }
  const std::vector<StepSpec>& steps = submission.accepted.spec.steps;
  const bool all_long_running = std::all_of(steps.begin(), steps.end(),
                                            [](const StepSpec& step) { return step.long_running; });
  const auto refuses_starts = [&](const auto& row) {
    const Target& target = row.second;
    // The higher token bars starts of earlier owners. Once the lease has expired, a start can only
    // begin a run in a later incarnation; long-running tasks don't wait for that in their own cell
    // either, see `RunsWithoutLease`.
    const bool knows_token = target.answered && target.reconciled;
    return knows_token || (all_long_running && now >= LeaseEnd(target));
  };
  return this->registrations_current && !this->targets.empty() &&
         std::all_of(this->targets.begin(), this->targets.end(), refuses_starts);
}

bool Cell::MayLeave(const Submission& submission, const std::set<SubmissionId>& unsettled,
                    TimePoint now) const {
  const SubmissionSpec& spec = submission.accepted.spec;
  const bool may_move =
      !submission.cancelled && !submission.failed && now >= submission.next_leave_at &&
      this->InheritedStartsOver(submission, now) && unsettled.count(submission.accepted.id) == 0;
  // The late end of a short task could still complete it here. In an evacuated cell, where it can't
  // run, it leaves between its short tasks.
  const bool all_long_running =
      std::all_of(spec.steps.begin(), spec.steps.end(),
                  [](const StepSpec& step) { return step.long_running && !step.best_effort; });
  const bool worth_a_move = all_long_running && spec.repeat_count == 0 &&
                            MayMove(DemandOf(spec), now - submission.arrived_at,
                                    submission.accepted.moves, this->settings.move);
  if (!may_move || !(this->fully_evacuated ? !this->AwaitsEnd(submission, now) : worth_a_move)) {
    return false;
  }
  for (const auto& [number, occurrence] : submission.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepProgress& progress = occurrence.steps[step];
      const auto stops_late = [&](const Task& task) {
        if (!task.HoldsResources()) {
          return false;
        }
        const auto target = this->targets.find(task.incarnation.target);
        return task.phase != TaskPhase::kRunning || target == this->targets.end() ||
               !target->second.reconciled || target->second.failed_holds != 0 ||
               !spec.steps[step].long_running;
      };
      if (internal::ForbidsStops(spec.steps[step], progress, this->fully_evacuated) ||
          std::any_of(progress.tasks.begin(), progress.tasks.end(), stops_late)) {
        return false;
      }
    }
  }
  return EncodeProgress(submission).size() <= this->settings.move.max_progress_bytes;
}

bool Cell::ManyRegisteredTargetsSilent() const {
  std::size_t registered = 0;
  std::size_t silent = 0;
  for (const auto& [id, target] : this->targets) {
    registered += target.registered ? 1 : 0;
    silent +=
        target.registered && target.failed_holds > 0 && target.entry.state != TargetState::kDraining
            ? 1
            : 0;
  }
  const double allowed =
      static_cast<double>(registered) * this->settings.preemption.max_silent_share;
  return static_cast<double>(silent) > std::max(1.0, allowed);
}

void Cell::ChooseLeavingSubmissions(std::vector<MoveDestination>* destinations, TimePoint now) {
  if (now < this->next_leaving_at || this->leaving.size() >= this->settings.move.max_leaving) {
    return;
  }
  if (!this->fully_evacuated && this->ManyRegisteredTargetsSilent()) {
    return;
  }
  // What those that leave already will free counts towards what the others lack.
  std::int64_t missing_cpu = 0;
  std::vector<Submission*> displaced;
  for (const SubmissionId& id : this->open_submissions) {
    Submission& submission = *this->FindSubmission(id);
    if (submission.moving || !submission.leaving_for.empty()) {
      missing_cpu -= internal::CpuInUse(submission);
      continue;
    }
    const std::int64_t unplaceable = this->UnplaceableCpu(submission, now);
    missing_cpu += unplaceable;
    if (unplaceable > 0) {
      displaced.push_back(&submission);
    }
  }
  if (displaced.empty()) {
    return;
  }
  const std::set<SubmissionId> unsettled = this->UnsettledSubmissions(now);
  std::vector<internal::LeavingCandidate> candidates;
  for (Submission* submission : displaced) {
    if (this->MayLeave(*submission, unsettled, now)) {
      candidates.push_back(internal::MakeCandidate(submission));
    }
  }
  std::stable_sort(candidates.begin(), candidates.end());
  CellRoom own = this->Room(now);
  for (const internal::LeavingCandidate& candidate : candidates) {
    // In an evacuated cell, the room that others free helps none.
    if ((missing_cpu <= 0 && !this->fully_evacuated) ||
        this->leaving.size() >= this->settings.move.max_leaving) {
      break;
    }
    Submission* submission = candidate.submission;
    const CellDemand demand = DemandOf(submission->accepted.spec);
    MoveDestination* destination = this->DestinationFor(*submission, own, destinations);
    if (destination == nullptr) {
      continue;
    }
    AddDemand(demand, &destination->room);
    if (own.capacity_cpu > 0) {
      own.long_running_share -=
          static_cast<double>(demand.total_cpu_millis) / static_cast<double>(own.capacity_cpu);
    }
    missing_cpu -= this->UnplaceableCpu(*submission, now) + internal::CpuInUse(*submission);
    submission->leaving_for = destination->cell;
    submission->leaving_since = now;
    this->leaving.insert(submission->accepted.id);
    this->Log(EventCode::kSubmissionLeaves, {{"submission", submission->accepted.id.str()},
                                             {"from", this->cell_id.str()},
                                             {"to", submission->leaving_for.str()},
                                             {"runs", std::to_string(candidate.runs)},
                                             {"tasks", std::to_string(candidate.tasks)}});
    this->StopAllRuns(submission, StopReason::kMoved, now);
  }
}

void Cell::AddLeavingSubmissions(const std::vector<MoveDestination>& destinations,
                                 const CellRoom& own, MoveBatch* batch, TimePoint now) {
  if (this->leaving.empty()) {
    return;
  }
  const std::set<SubmissionId> unsettled = this->UnsettledSubmissions(now);
  for (const SubmissionId& id : std::set<SubmissionId>(this->leaving)) {
    Submission* submission = this->FindSubmission(id);
    const bool all_ended =
        submission != nullptr && !submission->cancelled && !submission->failed &&
        unsettled.count(id) == 0 &&
        !submission->AnyTask([](const Task& task) { return task.HoldsResources(); });
    if (!all_ended || !batch->Takes(true, submission->move_alone)) {
      continue;
    }
    const auto destination =
        std::find_if(destinations.begin(), destinations.end(), [&](const MoveDestination& other) {
          return other.takes_begun && other.cell == submission->leaving_for;
        });
    if (destination == destinations.end()) {
      this->StayHere(submission, "destination-gone", now);
      continue;
    }
    this->AddToMove(submission, DemandOf(submission->accepted.spec), own, *destination, batch, now);
  }
}

void Cell::GiveUpLateLeaving(TimePoint now) {
  for (const SubmissionId& id : std::set<SubmissionId>(this->leaving)) {
    Submission* submission = this->FindSubmission(id);
    if (submission == nullptr || submission->cancelled || submission->failed) {
      this->leaving.erase(id);
    } else if (!submission->moving &&
               now - submission->leaving_since >= this->settings.move.max_leaving_time) {
      this->StayHere(submission, "not-ready-in-time", now);
    }
  }
}

void Cell::StayHere(Submission* submission, const char* cause, TimePoint now) {
  if (submission->leaving_for.empty()) {
    return;
  }
  submission->leaving_for = CellId();
  this->leaving.erase(submission->accepted.id);
  this->next_leaving_at = now + this->settings.move.pause_after_failure;
  submission->next_leave_at =
      now + PauseAfterFailedLeave(submission->failed_leaves, this->settings.move);
  submission->failed_leaves++;
  this->schedule_due = true;
  for (auto& [number, occurrence] : submission->occurrences) {
    for (StepProgress& step : occurrence.steps) {
      for (Task& task : step.tasks) {
        task.displaced = task.displaced || (task.phase == TaskPhase::kWaiting && task.run_seen_at);
      }
    }
  }
  this->Log(EventCode::kSubmissionStays, {{"submission", submission->accepted.id.str()},
                                          {"cell", this->cell_id.str()},
                                          {"cause", cause}});
}

}  // namespace pistachio
