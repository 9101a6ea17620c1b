#include <algorithm>
#include <cmath>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

namespace internal {

constexpr double kMillisPerCore = 1000.0;
/// Time that a reported tail covers.
constexpr Duration kTailWindow = std::chrono::milliseconds(500);
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
  std::vector<TailLevel> levels;
  for (const TaskKey& key : target->tasks) {
    Submission* submission = this->FindSubmission(key.submission);
    const StepSpec& spec = submission->Step(key.step);
    const Task& task = *submission->FindTask(key);
    if (spec.tail_bound.count() > 0) {
      load.serving.push_back(
          {this->interference_model.IndexOf(spec.image), TailTime(task.metric), spec.tail_bound});
      levels.push_back(task.tail_level);
    }
    if (spec.best_effort) {
      const bool running = task.phase == TaskPhase::kRunning;
      const bool unmeasured =
          !running || task.started_at + this->settings.placement.sharing.measurement_delay >
                          std::max(target->clock_at, task.started_at);
      load.best_effort.push_back(
          {this->interference_model.IndexOf(spec.image),
           static_cast<double>(spec.need.cpu_millis) / internal::kMillisPerCore, task.pace,
           1.0 - task.percent / 100.0, unmeasured});
    }
  }
  if (this->weighs_harm) {
    ForecastTails(this->interference_model, levels, load.best_effort,
                  this->settings.placement.sharing.harm, &load.serving);
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
    if (!this->weighs_harm && serving.tail.count() > 0.0) {
      this->interference_model.Learn(serving.image, aggressors, std::log(serving.tail.count()),
                                     now);
    }
  }
  this->UpdateTailLevels(target, aggressors, now);
}

void Cell::AddEndedAggressors(Target* target, std::vector<Aggressor>* aggressors, TimePoint now) {
  auto& ended = target->ended_aggressors;
  ended.erase(
      std::remove_if(ended.begin(), ended.end(),
                     [now](const auto& end) { return now - end.first >= internal::kTailWindow; }),
      ended.end());
  for (const auto& [at, aggressor] : ended) {
    const double share = 1.0 - std::chrono::duration<double>(now - at) / internal::kTailWindow;
    aggressors->push_back({aggressor.image, aggressor.cores * share});
  }
}

void Cell::UpdateTailLevels(Target* target, std::vector<Aggressor> aggressors, TimePoint now) {
  this->AddEndedAggressors(target, &aggressors, now);
  // With more, errors of the learned slowdowns would count as variation of the load.
  constexpr double kMaxLogSlowdown = 0.3;
  for (const TaskKey& key : target->tasks) {
    Submission* submission = this->FindSubmission(key.submission);
    const StepSpec& spec = submission->Step(key.step);
    Task* task = submission->FindTask(key);
    if (spec.tail_bound.count() <= 0 || task->metric <= 0.0) {
      continue;
    }
    const ImageIndex image = this->interference_model.IndexOf(spec.image);
    double log_slowdown = 0.0;
    for (const Aggressor& aggressor : aggressors) {
      log_slowdown +=
          this->interference_model.LogSlowdown(image, aggressor.image) * aggressor.cores;
    }
    const double log_tail = std::log(task->metric);
    if (this->weighs_harm) {
      this->interference_model.LearnBeside(image, aggressors, log_tail, now, &task->tail_level);
    } else {
      task->tail_level.Add(log_tail - log_slowdown, now);
    }
    if (log_slowdown < kMaxLogSlowdown) {
      this->interference_model.LearnLevel(image, task->tail_level.present);
    }
  }
}

void Cell::UpdateOverBoundShare(Target* target, TimePoint now) {
  // A report covers the time since the last one, up to the longest long poll.
  const Duration covered =
      std::min<Duration>(now - target->tails_reported_at, this->settings.long_poll);
  target->tails_reported_at = now;
  const auto& best_effort = target->load.best_effort;
  const bool beside_work = std::any_of(best_effort.begin(), best_effort.end(),
                                       [](const BestEffortTask& task) { return task.pace > 0; });
  const auto& serving = target->load.serving;
  const auto over = std::count_if(serving.begin(), serving.end(),
                                  [](const ServingTask& task) { return task.tail > task.bound; });
  const double seconds = std::chrono::duration<double>(covered).count();
  this->over_bound_share.Add(beside_work ? static_cast<double>(over) * seconds : 0.0,
                             static_cast<double>(serving.size()) * seconds, now,
                             this->settings.placement.sharing.harm);
  this->weighs_harm =
      this->settings.placement.sharing.harm.enabled && this->over_bound_share.IsHigh(now);
}

std::optional<double> Cell::HarmAcceptedBy(const Submission& submission, std::uint32_t occurrence,
                                           std::uint32_t step, TimePoint now) const {
  const SubmissionSpec& spec = submission.accepted.spec;
  if (!this->weighs_harm || !spec.steps[step].best_effort) {
    return std::nullopt;
  }
  const std::optional<TimePoint>& since =
      submission.occurrences.at(occurrence).steps[step].harm_wait_since;
  const Duration waited = since ? now - *since : Duration(0);
  return AcceptableHarm(waited, this->SlackOf(submission, occurrence, step) + waited,
                        this->settings.placement.sharing.harm);
}

Duration Cell::SlackOf(const Submission& submission, std::uint32_t occurrence,
                       std::uint32_t step) const {
  const SubmissionSpec& spec = submission.accepted.spec;
  const WallTime start = spec.repeat_count > 0 ? spec.start_at + spec.interval * occurrence
                                               : submission.accepted.accepted_at;
  return start - this->wall_time + ObjectiveOf(this->QueueOf(submission), spec) -
         RemainingCriticalPath(spec, step);
}

PlacementRequest Cell::RequestFor(const Submission& submission, const TaskKey& key, TimePoint now) {
  const StepSpec& spec = submission.Step(key.step);
  PlacementRequest need;
  need.need = spec.need;
  need.best_effort = spec.best_effort;
  need.serving = spec.tail_bound.count() > 0;
  need.image = this->interference_model.IndexOf(spec.image);
  need.weighs_harm = this->weighs_harm && spec.best_effort;
  need.max_harm = this->HarmAcceptedBy(submission, key.occurrence, key.step, now);
  need.run_time = spec.estimate;
  return need;
}

void Cell::BeginHarmWait(const TaskKey& key, StepProgress* step, TimePoint now) {
  if (!this->weighs_harm || !this->blocked_by_harm || step->harm_wait_since) {
    return;
  }
  step->harm_wait_since = now;
  this->counts.harm_waits++;
  this->Log(EventCode::kHarmWait, {{"cell", this->cell_id.str()},
                                   {"task", key.str()},
                                   {"over-share", std::to_string(this->over_bound_share.Value())}});
}

void Cell::AdjustPaces(Target* target, TimePoint now) {
  this->UpdateSharingLists(target);
  this->UpdateInterferenceModel(target, now);
  this->UpdateOverBoundShare(target, now);
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
      this->weighs_harm
          ? DecidePacesByHarm(this->interference_model, load.serving, load.best_effort,
                              time_over_bound, this->settings.placement.sharing)
          : DecidePaces(this->interference_model, load.serving, load.best_effort, time_over_bound,
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
  this->EnqueueOrder(target, PaceOrder{key, task->run, pace}, this->settings.order_timeout, sent,
                     now);
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
