#include "pistachio/process/scheduling/sharing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pistachio {

namespace internal {

constexpr std::uint32_t kFullPace = 100;

/// \returns the log slowdown that a best-effort task causes to a serving task of image \a victim
///   while the best-effort task runs at \a pace percent of its full speed.
double LogSlowdownAt(const InterferenceModel& model, ImageIndex victim, const BestEffortTask& task,
                     std::uint32_t pace) {
  return model.LogSlowdown(victim, task.image) * task.cores * pace / kFullPace;
}

/// \returns the logarithm of the last reported tail, or the learned one if none was reported yet.
double LogTailOf(const InterferenceModel& model, const ServingTask& task) {
  return task.tail.count() > 0.0 ? std::log(task.tail.count()) : model.BaselineLogTail(task.image);
}

/// \returns the serving task with the highest reported tail ratio, or null if there are none.
const ServingTask* WorstServingTask(const std::vector<ServingTask>& serving) {
  const auto worst = std::max_element(serving.begin(), serving.end(),
                                      [](const ServingTask& a, const ServingTask& b) {
                                        return a.tail * b.bound.count() < b.tail * a.bound.count();
                                      });
  return worst == serving.end() ? nullptr : &*worst;
}

/// \returns the indices of the best-effort tasks, sorted by rising log slowdown of \a victim.
std::vector<std::size_t> OrderByLogSlowdown(const InterferenceModel& model, ImageIndex victim,
                                            const std::vector<BestEffortTask>& best_effort) {
  std::vector<std::size_t> order(best_effort.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return LogSlowdownAt(model, victim, best_effort[a], kFullPace) <
           LogSlowdownAt(model, victim, best_effort[b], kFullPace);
  });
  return order;
}

/// \returns the pace, in percent and rounded down to a multiple of 25, that reduces
///   \a log_slowdown by at least \a excess; 0 if \a excess is at least \a log_slowdown.
std::uint32_t ThrottledPace(std::uint32_t pace, double log_slowdown, double excess) {
  constexpr std::uint32_t kStep = kFullPace / 4;
  if (excess >= log_slowdown) {
    return 0;
  }
  const auto kept = static_cast<std::uint32_t>(pace * (1.0 - excess / log_slowdown));
  return kept / kStep * kStep;
}

}  // namespace internal

double ReportedTailRatio(const std::vector<ServingTask>& serving) {
  const ServingTask* worst = internal::WorstServingTask(serving);
  return worst == nullptr || worst->bound.count() <= 0.0 ? 0.0 : worst->tail / worst->bound;
}

double MaxLogSlowdown(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                      const BestEffortTask& added) {
  double worst = 0.0;
  for (const ServingTask& victim : serving) {
    worst = std::max(worst, internal::LogSlowdownAt(model, victim.image, added, added.pace));
  }
  return worst;
}

double PredictedTailRatio(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                          const std::vector<BestEffortTask>& best_effort,
                          const BestEffortTask& added) {
  double worst = 0.0;
  for (const ServingTask& victim : serving) {
    double log_tail = internal::LogTailOf(model, victim) +
                      internal::LogSlowdownAt(model, victim.image, added, added.pace);
    for (const BestEffortTask& task : best_effort) {
      if (task.unmeasured) {
        log_tail += internal::LogSlowdownAt(model, victim.image, task, task.pace);
      }
    }
    worst = std::max(worst, TailTime(std::exp(log_tail)) / victim.bound);
  }
  return worst;
}

bool FitsTailBounds(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                    const std::vector<BestEffortTask>& best_effort, const BestEffortTask& added,
                    const SharingSettings& settings) {
  double max_log_slowdown = 0.0;
  for (const ServingTask& victim : serving) {
    double log_slowdown = internal::LogSlowdownAt(model, victim.image, added, added.pace);
    for (const BestEffortTask& task : best_effort) {
      log_slowdown +=
          task.unmeasured ? internal::LogSlowdownAt(model, victim.image, task, task.pace) : 0.0;
    }
    max_log_slowdown = std::max(max_log_slowdown, log_slowdown);
  }
  const bool negligible = max_log_slowdown <= settings.negligible_log_slowdown &&
                          ReportedTailRatio(serving) < settings.throttle_above_ratio;
  return negligible || PredictedTailRatio(model, serving, best_effort, added) <=
                           settings.max_predicted_tail_ratio;
}

std::vector<std::uint32_t> DecidePaces(const InterferenceModel& model,
                                       const std::vector<ServingTask>& serving,
                                       const std::vector<BestEffortTask>& best_effort,
                                       Duration time_over_bound, const SharingSettings& settings) {
  std::vector<std::uint32_t> paces;
  paces.reserve(best_effort.size());
  for (const BestEffortTask& task : best_effort) {
    paces.push_back(task.pace);
  }
  const ServingTask* worst = internal::WorstServingTask(serving);
  if (worst == nullptr) {
    std::fill(paces.begin(), paces.end(), internal::kFullPace);
    return paces;
  }
  if (time_over_bound >= settings.max_time_over_bound) {
    std::fill(paces.begin(), paces.end(), 0);
    return paces;
  }
  const double ratio = ReportedTailRatio(serving);
  const std::vector<std::size_t> order =
      internal::OrderByLogSlowdown(model, worst->image, best_effort);
  if (ratio > settings.throttle_above_ratio) {
    if (time_over_bound < settings.throttle_after) {
      return paces;
    }
    double excess = std::log(ratio / settings.throttle_to_ratio);
    for (auto at = order.rbegin(); at != order.rend() && excess > 0.0; ++at) {
      const double log_slowdown =
          internal::LogSlowdownAt(model, worst->image, best_effort[*at], paces[*at]);
      if (log_slowdown > settings.negligible_log_slowdown) {
        paces[*at] = internal::ThrottledPace(paces[*at], log_slowdown, excess);
        excess -= log_slowdown;
      }
    }
    return paces;
  }
  for (const std::size_t at : order) {
    if (paces[at] == internal::kFullPace) {
      continue;
    }
    BestEffortTask speed_up = best_effort[at];
    for (const std::uint32_t pace : {internal::kFullPace, internal::kFullPace / 2}) {
      speed_up.pace = pace > paces[at] ? pace - paces[at] : 0;
      if (speed_up.pace > 0 && FitsTailBounds(model, serving, best_effort, speed_up, settings)) {
        paces[at] = pace;
        break;
      }
    }
    break;
  }
  return paces;
}

}  // namespace pistachio
