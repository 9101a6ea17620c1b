#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

namespace internal {

/// Time without a run from which a long-running task is overdue.
constexpr Duration kOverdueAfter = std::chrono::seconds(6);
/// Interval at which overdue tasks are logged, and the most of them that are logged each time.
constexpr Duration kOverdueLogInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxOverdueLogged = 10;

}  // namespace internal

const char* Cell::ReasonOfWait(const Submission& submission, const TaskKey& key, const Task& task,
                               TimePoint now) const {
  if (task.phase == TaskPhase::kAssigned) {
    return "commit";
  }
  if (task.phase != TaskPhase::kWaiting) {
    return "start";
  }
  if (submission.moving || !submission.leaving_for.empty()) {
    return "move";
  }
  if (this->orphaned_tasks.count(key) != 0) {
    return "orphaned-run";
  }
  if (!this->registrations_current) {
    return "registrations";
  }
  if (this->WaitsForQuietTarget(submission.Step(key.step), task, now)) {
    return "quiet-target";
  }
  if (!this->BindingTargets(key, now).empty()) {
    return "open-start";
  }
  return task.unplaceable_since != TimePoint{} ? "no-place" : "reserved-place";
}

void Cell::LogOverdueTasks(TimePoint now) {
  if (now < this->next_overdue_log_at) {
    return;
  }
  this->next_overdue_log_at = now + internal::kOverdueLogInterval;
  std::size_t logged = 0;
  for (const SubmissionId& id : this->open_submissions) {
    const Submission& submission = this->all_submissions.at(id);
    for (const auto& [number, occurrence] : submission.occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const StepProgress& progress = occurrence.steps[step];
        if (!submission.Step(step).long_running) {
          continue;
        }
        for (std::uint32_t index = 0; index < progress.tasks.size(); ++index) {
          const Task& task = progress.tasks[index];
          const bool without_run = task.phase != TaskPhase::kRunning &&
                                   task.phase != TaskPhase::kStopping && !task.confirmed;
          if (without_run && this->TimeWithoutRun(task, now) >= internal::kOverdueAfter) {
            this->LogOverdueTask(submission, TaskKey{id, number, step, index}, task, now);
            if (++logged >= internal::kMaxOverdueLogged) {
              return;
            }
          }
        }
      }
    }
  }
}

std::string Cell::WhatRulesOut(const Submission& submission, const TaskKey& key,
                               TimePoint now) const {
  const StepSpec& spec = submission.Step(key.step);
  const ServiceId service = this->ServiceOf(submission);
  const Resources need = internal::CountedResources(spec);
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, target] : this->targets) {
    const Resources left = target.load.capacity - target.long_running_used;
    const char* cause = "nothing";
    if (!this->MayRunOn(target, spec, service, now)) {
      cause = "no-work";
    } else if (target.suspect_task) {
      cause = "kept";
    } else if (left.cpu_millis < need.cpu_millis) {
      cause = "cpu";
    } else if (!need.FitsIn(left)) {
      cause = "other-resource";
    } else if (this->IsAtStepLimit(target, spec, key)) {
      cause = "limit";
    } else if (!(target.reserved + need).FitsIn(left)) {
      cause = "reserved";
    }
    counts[cause]++;
  }
  std::string text;
  for (const auto& [cause, count] : counts) {
    text += (text.empty() ? "" : ",") + cause + ":" + std::to_string(count);
  }
  return text;
}

void Cell::LogOverdueTask(const Submission& submission, const TaskKey& key, const Task& task,
                          TimePoint now) {
  const StepSpec& spec = submission.Step(key.step);
  const ServiceId service = this->ServiceOf(submission);
  std::int64_t most_free = 0;
  std::int64_t most_without_short = 0;
  TargetId reserved_on;
  for (const auto& [id, target] : this->targets) {
    const std::vector<TaskKey>& reserved_for = target.reserved_for;
    if (std::find(reserved_for.begin(), reserved_for.end(), key) != reserved_for.end()) {
      reserved_on = id;
    }
    if (this->MayRunOn(target, spec, service, now) && !target.suspect_task) {
      const std::int64_t capacity = target.load.capacity.cpu_millis;
      most_free = std::max(most_free, capacity - target.load.used.cpu_millis);
      most_without_short =
          std::max(most_without_short, capacity - target.long_running_used.cpu_millis);
    }
  }
  this->Log(EventCode::kTaskOverdue,
            {{"task", key.str()},
             {"run", std::to_string(task.run)},
             {"target", task.incarnation.target.str()},
             {"why", this->ReasonOfWait(submission, key, task, now)},
             {"without-run-ms", MillisecondsText(this->TimeWithoutRun(task, now))},
             {"unreached-ms", task.unreached_since == TimePoint{}
                                  ? "none"
                                  : MillisecondsText(now - task.unreached_since)},
             {"in-phase-ms", MillisecondsText(now - task.phase_since)},
             {"need-m", std::to_string(spec.need.cpu_millis)},
             {"most-free-m", std::to_string(most_free)},
             {"most-free-of-long-m", std::to_string(most_without_short)},
             {"ruled-out", this->WhatRulesOut(submission, key, now)},
             {"reserved-on", reserved_on.str()}});
}

}  // namespace pistachio
