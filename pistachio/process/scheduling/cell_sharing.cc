#include <algorithm>
#include <cmath>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

namespace internal {

constexpr double kMillisPerCore = 1000.0;
/// Pace in percent below which moving a task to another target pays off, its cost included.
constexpr std::uint32_t kThrottledPace = 50;
/// Progress in percent from which a best-effort task without checkpoints is not worth moving.
constexpr double kMaxPercentToMove = 30.0;

}  // namespace internal

std::vector<std::pair<TaskKey, Task*>> Cell::BestEffortTasksOn(const Target& target) {
  std::vector<std::pair<TaskKey, Task*>> best_effort;
  for (const TaskKey& key : target.tasks) {
    Submission* submission = this->FindSubmission(key.submission);
    if (submission->Step(key.step).best_effort) {
      best_effort.emplace_back(key, submission->FindTask(key));
    }
  }
  return best_effort;
}

void Cell::UpdateSharingLists(Target* target) {
  TargetLoad& load = target->load;
  load.serving.clear();
  load.best_effort.clear();
  for (const TaskKey& key : target->tasks) {
    Submission* submission = this->FindSubmission(key.submission);
    const StepSpec& spec = submission->Step(key.step);
    const Task& task = *submission->FindTask(key);
    if (spec.tail_bound.count() > 0) {
      load.serving.push_back(
          {this->interference_model.IndexOf(spec.image), TailTime(task.metric), spec.tail_bound});
    }
    if (spec.best_effort) {
      const bool running = task.phase == TaskPhase::kRunning;
      const bool unmeasured =
          !running || task.started_at + this->settings.placement.sharing.measurement_delay >
                          std::max(target->clock_at, task.started_at);
      load.best_effort.push_back(
          {this->interference_model.IndexOf(spec.image),
           static_cast<double>(spec.need.cpu_millis) / internal::kMillisPerCore, task.pace,
           unmeasured});
    }
  }
}

void Cell::UpdateInterferenceModel(Target* target, TimePoint now) {
  const SharingSettings& sharing = this->settings.placement.sharing;
  if (now < target->next_sample_at || target->load.serving.empty()) {
    return;
  }
  std::map<ImageIndex, double> cores;
  // The reported tails and processor use cover the same half second, so a run that began within
  // that half second counts in part.
  for (const auto& [key, task] : this->BestEffortTasksOn(*target)) {
    const ImageId& image = this->FindSubmission(key.submission)->Step(key.step).image;
    cores[this->interference_model.IndexOf(image)] += task->metric / internal::kMillisPerCore;
  }
  std::vector<Aggressor> aggressors;
  aggressors.reserve(cores.size());
  for (const auto& [image, sum] : cores) {
    aggressors.push_back({image, sum});
  }
  target->next_sample_at = now + sharing.sample_interval;
  for (const ServingTask& serving : target->load.serving) {
    if (serving.tail.count() > 0.0) {
      this->interference_model.Learn(serving.image, aggressors, std::log(serving.tail.count()),
                                     now);
    }
  }
}

void Cell::AdjustPaces(Target* target, TimePoint now) {
  this->UpdateSharingLists(target);
  this->UpdateInterferenceModel(target, now);
  const TargetLoad& load = target->load;
  const double ratio = ReportedTailRatio(load.serving);
  if (ratio <= 1.0) {
    target->over_bound_since = TimePoint{};
  } else if (target->over_bound_since == TimePoint{}) {
    target->over_bound_since = now;
  }
  const auto best_effort = this->BestEffortTasksOn(*target);
  if (best_effort.empty()) {
    return;
  }
  const Duration time_over_bound =
      target->over_bound_since == TimePoint{} ? Duration(0) : now - target->over_bound_since;
  const std::vector<std::uint32_t> paces =
      DecidePaces(this->interference_model, load.serving, load.best_effort, time_over_bound,
                  this->settings.placement.sharing);
  for (std::size_t i = 0; i < best_effort.size(); ++i) {
    const auto& [key, task] = best_effort[i];
    if (task->phase == TaskPhase::kRunning && task->pace != paces[i] && now >= task->retry_at) {
      this->SendPace(target, key, task, paces[i], ratio, now);
    } else if (task->phase == TaskPhase::kRunning) {
      this->MoveIfThrottled(target, key, task, now);
    }
  }
}

void Cell::SendPace(Target* target, const TaskKey& key, Task* task, std::uint32_t pace,
                    double ratio, TimePoint now) {
  this->Log(EventCode::kTargetPaced, {{"target", target->entry.id.str()},
                                      {"task", key.str()},
                                      {"tail-ratio", std::to_string(ratio)},
                                      {"pace", std::to_string(pace)}});
  task->retry_at = now + this->settings.order_timeout;
  internal::SentOrder sent;
  sent.kind = internal::SentOrder::Kind::kPace;
  sent.task = key;
  sent.run = task->run;
  sent.pace = pace;
  this->counts.paces++;
  this->EnqueueOrder(*target, PaceOrder{key, task->run, pace}, this->settings.order_timeout, sent);
}

void Cell::MoveIfThrottled(Target* target, const TaskKey& key, Task* task, TimePoint now) {
  Submission* submission = this->FindSubmission(key.submission);
  const StepSpec& spec = submission->Step(key.step);
  const bool throttled = task->pace < internal::kThrottledPace &&
                         now - task->paced_at >= this->settings.placement.sharing.pause_before_move;
  const bool worth_moving = spec.checkpointing || task->percent < internal::kMaxPercentToMove;
  if (!throttled || !worth_moving || spec.gang) {
    return;
  }
  const Target* other = this->ChooseTarget(*submission, key, *task, now);
  if (other != nullptr && other != target) {
    this->BeginStop(key, task, StopReason::kMoved, now);
  }
}

}  // namespace pistachio
