#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/rack_controller.h"

namespace pistachio {

using internal::Placement;
using internal::PlacementStage;
using internal::RackTarget;
using internal::SentCommand;

void RackController::TakeReport(const SentCommand& sent, const TargetReport& report) {
  RackTarget& target = this->targets.at(sent.target);
  if (sent.id < target.newest_report) {
    return;  // overtaken by a newer one
  }
  target.newest_report = sent.id;
  target.newest_report_at = sent.sent_at;
  target.unread_report = true;
  if (target.boot != 0 && target.boot != report.boot) {
    this->Report(EventCode::kTargetRestarted, {{"target", sent.target.str()}});
  }
  target.boot = report.boot;
  target.reported = true;
  target.view.load = report.load;
  target.strays.clear();
  std::set<TaskId> seen;
  for (const TargetTask& row : report.tasks) {
    this->TakeRow(target, row, sent);
    seen.insert(row.task);
  }
  const std::set<TaskId> expected = target.tasks;
  for (const TaskId& task : expected) {
    if (seen.count(task) == 0) {
      this->TakeAbsence(this->placements.at(task), sent);
    }
  }
  this->LearnFrom(target, report);
}

void RackController::TakeRow(RackTarget& target, const TargetTask& row, const SentCommand& sent) {
  const auto found = this->placements.find(row.task);
  const bool ours = found != this->placements.end() && found->second.attempt == row.attempt &&
                    found->second.target == sent.target;
  if (!ours) {
    this->TakeStray(target, row);
    return;
  }
  Placement& placement = found->second;
  if (!row.checkpoint.empty()) {
    placement.checkpoint = row.checkpoint;
  }
  switch (row.state) {
    case TargetTaskState::kRunning:
      this->TakeRunning(target, placement);
      return;
    case TargetTaskState::kFinished:
      this->NoteSuccess(target);
      this->End(row.task, AttemptOutcome::kFinished, {});
      return;
    case TargetTaskState::kFailed:
      this->NoteFailure(target, row.task.job);
      this->End(row.task, AttemptOutcome::kFailed, row.reason);
      return;
    case TargetTaskState::kStopped: {
      const bool wanted = placement.stage == PlacementStage::kStopping;
      const std::string reason = wanted ? placement.reason : "its lease ran out on the target";
      this->End(row.task, wanted ? placement.goal : AttemptOutcome::kLost, reason);
      return;
    }
  }
}

void RackController::TakeRunning(RackTarget& target, Placement& placement) {
  const bool lasted = this->now - placement.running_since >= this->limits.quarantine_probe_every;
  if (placement.stage == PlacementStage::kRunning && target.quarantined && lasted) {
    this->NoteSuccess(target);
  }
  if (placement.stage != PlacementStage::kUncertain) {
    return;
  }
  placement.stage = PlacementStage::kRunning;
  placement.running_since = this->now;
  target.view.changed_at = this->now;
  target.next_renew = this->now;
  const bool batch = this->SpecOf(placement.task.job).kind == WorkKind::kBatch;
  if (std::exchange(placement.adopted, false) && batch) {
    // The earlier owner may have throttled it, and only that owner's policy knew.
    this->Send(placement.target, ThrottleCommand{placement.task, placement.attempt, 1.0},
               placement.task, placement.attempt, std::nullopt);
  }
}

void RackController::TakeAbsence(Placement& placement, const SentCommand& sent) {
  const bool intended = placement.stage == PlacementStage::kIntended;
  if (intended || sent.sent_at < placement.quiet_from) {
    return;  // a start may still be on its way
  }
  const bool stopping = placement.stage == PlacementStage::kStopping;
  const std::string reason = stopping ? placement.reason : "the target does not run it";
  this->End(placement.task, stopping ? placement.goal : AttemptOutcome::kLost, reason);
}

void RackController::TakeStray(RackTarget& target, const TargetTask& row) {
  const TargetId& id = target.view.target;
  if (this->now >= this->act_until) {
    // To an owner that was replaced, all that its successor started looks like a stray.
    target.strays.emplace(row.task, row.attempt);
    return;
  }
  if (row.state == TargetTaskState::kRunning) {
    target.strays.emplace(row.task, row.attempt);
    this->Report(
        EventCode::kStrayStopped,
        {{"task", row.task.str()}, {"attempt", std::to_string(row.attempt)}, {"target", id.str()}});
    this->Send(id, StopCommand{row.task, row.attempt}, row.task, row.attempt, std::nullopt);
    return;
  }
  const auto ended = this->ended.find(row.task);
  const bool known = ended != this->ended.end() && ended->second.end.attempt == row.attempt;
  const bool on_record = !known || ended->second.record <= this->committed_through;
  const bool quiet = !known || this->now >= ended->second.quiet_from;
  if (on_record && quiet) {
    this->Send(id, ForgetCommand{row.task, row.attempt}, row.task, row.attempt, std::nullopt);
  }
}

void RackController::LearnFrom(const RackTarget& target, const TargetReport& report) {
  for (const TargetTask& row : report.tasks) {
    const auto found = this->placements.find(row.task);
    const bool runs = found != this->placements.end() && found->second.attempt == row.attempt &&
                      row.state == TargetTaskState::kRunning;
    if (!runs) {
      continue;
    }
    const JobSpec& spec = this->SpecOf(row.task.job);
    UsageSample sample;
    sample.task = row.task;
    sample.work_class = spec.work_class;
    sample.kind = spec.kind;
    sample.measured_at = this->now - report.age;
    sample.used = row.used;
    sample.latency_ratio = row.latency_ratio;
    sample.progress_rate = row.progress_rate;
    sample.load = report.load;
    Learn(this->policy, sample, target.view);
  }
}

void RackController::NoteFailure(RackTarget& target, const JobId& job) {
  target.failed_jobs.insert(job);
  if (target.quarantined) {
    target.next_probe = this->now + this->limits.quarantine_probe_every;
    return;
  }
  if (target.failed_jobs.size() < this->limits.failures_before_quarantine) {
    return;
  }
  const auto quarantined = static_cast<double>(
      std::count_if(this->targets.begin(), this->targets.end(),
                    [](const auto& entry) { return entry.second.quarantined; }));
  const double bound =
      this->limits.max_quarantined_share * static_cast<double>(this->targets.size());
  if (quarantined + 1.0 > bound) {
    this->Report(EventCode::kQuarantineBound, {{"target", target.view.target.str()}});
    return;
  }
  target.quarantined = true;
  target.next_probe = this->now + this->limits.quarantine_probe_every;
  this->Report(EventCode::kTargetQuarantined,
               {{"target", target.view.target.str()},
                {"failed_jobs", std::to_string(target.failed_jobs.size())}});
}

void RackController::NoteSuccess(RackTarget& target) {
  target.failed_jobs.clear();
  if (target.quarantined) {
    target.quarantined = false;
    this->Report(EventCode::kTargetReleased, {{"target", target.view.target.str()}});
  }
}

}  // namespace pistachio
