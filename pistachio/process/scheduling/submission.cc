#include "pistachio/process/scheduling/submission.h"

#include <algorithm>
#include <utility>

namespace pistachio {

const char* NameOf(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kWaiting:
      return "waiting";
    case TaskPhase::kAssigned:
      return "assigned";
    case TaskPhase::kStarting:
      return "starting";
    case TaskPhase::kRunning:
      return "running";
    case TaskPhase::kStopping:
      return "stopping";
    case TaskPhase::kDone:
      return "done";
  }
  return "unknown";
}

const char* NameOf(StopReason reason) {
  switch (reason) {
    case StopReason::kNone:
      return "none";
    case StopReason::kCancelled:
      return "cancelled";
    case StopReason::kUnconfirmedStart:
      return "doubtful";
    case StopReason::kMoved:
      return "moved";
    case StopReason::kGangBroken:
      return "gang-broken";
    case StopReason::kCompleted:
      return "completed";
    case StopReason::kPreempted:
      return "preempted";
  }
  return "unknown";
}

SubmissionState Submission::State() const {
  if (this->failed) {
    return SubmissionState::kFailed;
  }
  if (this->cancelled) {
    return SubmissionState::kCancelled;
  }
  if (this->ended_at) {
    return SubmissionState::kCompleted;
  }
  return this->started ? SubmissionState::kRunning : SubmissionState::kQueued;
}

bool Submission::AnyTask(const std::function<bool(const Task&)>& predicate) const {
  for (const auto& [number, occurrence] : this->occurrences) {
    for (const StepProgress& step : occurrence.steps) {
      if (std::any_of(step.tasks.begin(), step.tasks.end(), predicate)) {
        return true;
      }
    }
  }
  return false;
}

Task* Submission::FindTask(const TaskKey& key) {
  return const_cast<Task*>(std::as_const(*this).FindTask(key));
}

const Task* Submission::FindTask(const TaskKey& key) const {
  const auto occurrence = this->occurrences.find(key.occurrence);
  if (occurrence == this->occurrences.end() || key.step >= occurrence->second.steps.size()) {
    return nullptr;
  }
  const StepProgress& step = occurrence->second.steps[key.step];
  return key.index < step.tasks.size() ? &step.tasks[key.index] : nullptr;
}

bool Submission::DependenciesDone(const Occurrence& occurrence, std::uint32_t step) const {
  const std::vector<std::uint32_t>& after = this->Step(step).after;
  return std::all_of(after.begin(), after.end(), [&occurrence](std::uint32_t earlier) {
    const StepProgress& progress = occurrence.steps[earlier];
    return progress.done == progress.tasks.size();
  });
}

bool Submission::AllDone() const {
  if (this->occurrences.size() < this->OccurrenceCount()) {
    return false;
  }
  for (const auto& [number, occurrence] : this->occurrences) {
    for (const StepProgress& step : occurrence.steps) {
      if (step.done != step.tasks.size()) {
        return false;
      }
    }
  }
  return true;
}

std::uint32_t Submission::OccurrenceCount() const {
  return std::max<std::uint32_t>(1, this->accepted.spec.repeat_count);
}

void Submission::AddOccurrence(std::uint32_t number) {
  Occurrence occurrence;
  for (const StepSpec& spec : this->accepted.spec.steps) {
    StepProgress step;
    step.tasks.resize(spec.count);
    step.waiting = spec.count;
    occurrence.steps.push_back(std::move(step));
  }
  this->occurrences.emplace(number, std::move(occurrence));
}

namespace internal {

/// Largest request of one task, in the unit of each resource.
constexpr std::int64_t kMaxNeed = 1000000000;
/// Largest estimate of a task: a month.
constexpr Duration kMaxEstimate = std::chrono::hours(24 * 31);
/// Latest start of a submission that is repeated, and largest interval: the end of the year 9999.
constexpr WallTime kMaxWallTime{253402300799000};

bool IsWithinLimits(const StepSpec& step, std::size_t index) {
  const Resources& need = step.need;
  const bool needs_valid = need.cpu_millis >= 0 && need.cpu_millis <= kMaxNeed &&
                           need.memory_mib >= 0 && need.memory_mib <= kMaxNeed &&
                           need.accelerators >= 0 && need.accelerators <= kMaxNeed;
  return needs_valid && step.count > 0 && step.estimate >= Duration(0) &&
         step.estimate <= kMaxEstimate &&
         std::all_of(step.after.begin(), step.after.end(),
                     [index](std::uint32_t earlier) { return earlier < index; });
}

}  // namespace internal

bool IsWithinLimits(const SubmissionSpec& spec) {
  std::uint64_t tasks = 0;
  for (std::size_t index = 0; index < spec.steps.size(); ++index) {
    if (!internal::IsWithinLimits(spec.steps[index], index)) {
      return false;
    }
    tasks += spec.steps[index].count;
  }
  const auto is_valid_time = [](WallTime time) {
    return time >= WallTime(0) && time <= internal::kMaxWallTime;
  };
  const std::uint64_t occurrences = std::max<std::uint32_t>(1, spec.repeat_count);
  return tasks > 0 && tasks <= kMaxTasks / occurrences && is_valid_time(spec.start_at) &&
         is_valid_time(spec.interval);
}

std::vector<Duration> DeclaredDurations(const SubmissionSpec& spec) {
  std::vector<Duration> durations;
  durations.reserve(spec.steps.size());
  for (const StepSpec& step : spec.steps) {
    durations.push_back(step.estimate);
  }
  return durations;
}

Duration CriticalPath(const SubmissionSpec& spec, const std::vector<Duration>& durations) {
  std::vector<Duration> ends;
  Duration longest{0};
  for (const StepSpec& step : spec.steps) {
    Duration begin{0};
    for (const std::uint32_t earlier : step.after) {
      begin = std::max(begin, ends[earlier]);
    }
    ends.push_back(begin + durations[ends.size()]);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

Duration CriticalPath(const SubmissionSpec& spec) {
  return CriticalPath(spec, DeclaredDurations(spec));
}

Duration RemainingCriticalPath(const SubmissionSpec& spec, std::uint32_t step,
                               const std::vector<Duration>& durations) {
  std::vector<Duration> ends(spec.steps.size(), Duration(0));
  Duration longest{0};
  for (std::uint32_t number = step; number < spec.steps.size(); ++number) {
    Duration begin{0};
    bool follows = number == step;
    for (const std::uint32_t earlier : spec.steps[number].after) {
      follows = follows || ends[earlier] > Duration(0);
      begin = std::max(begin, ends[earlier]);
    }
    if (follows) {
      ends[number] = begin + durations[number];
      longest = std::max(longest, ends[number]);
    }
  }
  return longest;
}

Duration RemainingCriticalPath(const SubmissionSpec& spec, std::uint32_t step) {
  return RemainingCriticalPath(spec, step, DeclaredDurations(spec));
}

Duration ObjectiveOf(const QueueSettings& queue, Duration critical_path) {
  // A configuration may hold any number. With longer objectives, sums of times could overflow.
  constexpr std::chrono::hours kMaxPart{24 * 365 * 10};
  using Stretched = std::chrono::duration<double, Duration::period>;
  const Stretched stretched =
      std::min<Stretched>(std::max(Stretched(0), critical_path * queue.stretch), kMaxPart);
  return std::chrono::duration_cast<Duration>(stretched) +
         std::clamp<std::chrono::milliseconds>(queue.objective_slack, std::chrono::milliseconds(0),
                                               kMaxPart);
}

Duration ObjectiveOf(const QueueSettings& queue, const SubmissionSpec& spec) {
  return ObjectiveOf(queue, CriticalPath(spec));
}

}  // namespace pistachio
