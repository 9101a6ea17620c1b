#include "pistachio/process/scheduling/expected_harm.h"

#include <algorithm>
#include <cmath>

namespace pistachio {

namespace internal {

/// \returns the probability that a tail is over its bound, if the logarithm of the predicted tail
///   over the bound is \a excess and wrong by up to \a error. Linear, which is cheap.
double OverProbability(double excess, double error) {
  return std::clamp(0.5 + excess / (2.0 * error), 0.0, 1.0);
}

}  // namespace internal

void ForecastTails(const InterferenceModel& model, const std::vector<TailLevel>& levels,
                   const std::vector<BestEffortTask>& best_effort, const HarmSettings& settings,
                   std::vector<ServingTask>* serving) {
  for (std::size_t i = 0; i < serving->size(); ++i) {
    ServingTask& victim = (*serving)[i];
    const TailLevel& level = levels[i];
    const double present =
        level.first_at == TimePoint{} ? model.BaselineLogTail(victim.image) : level.present;
    const double peak = level.ExpectedPeak(model.PeakLogTail(victim.image));
    const double near = level.first_at == TimePoint{}
                            ? present + settings.peak_share * std::max(0.0, peak - present)
                            : level.ExpectedWithin(settings.max_harm_time, peak);
    double log_slowdown = 0.0;
    for (const BestEffortTask& task : best_effort) {
      log_slowdown += model.LogSlowdown(victim.image, task.image) * task.cores * task.pace / 100;
    }
    const double log_bound = std::log(victim.bound.count());
    victim.expected_excess = near + log_slowdown - log_bound;
    victim.present_excess = present + log_slowdown - log_bound;
    victim.peak_rise = std::max(0.0, peak - near);
  }
}

double ExpectedHarm(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                    const std::vector<BestEffortTask>& best_effort, const BestEffortTask& added,
                    Duration run_time, const HarmSettings& settings) {
  const bool beside_same =
      std::any_of(best_effort.begin(), best_effort.end(), [&added](const BestEffortTask& task) {
        return task.unmeasured && task.image == added.image;
      });
  double harm = 0.0;
  const double later = std::clamp(
      (run_time - settings.max_harm_time) / std::chrono::duration<double>(settings.peak_after), 0.0,
      1.0);
  for (const ServingTask& victim : serving) {
    const double excess = victim.expected_excess + settings.peak_share * later * victim.peak_rise;
    const double slowdown =
        (model.LogSlowdown(victim.image, added.image) +
         settings.caution * model.LogSlowdownDeviation(victim.image, added.image)) *
        added.cores * added.pace / 100;
    harm += internal::OverProbability(excess + slowdown, settings.forecast_error) *
            std::clamp((slowdown - settings.harmless_log_slowdown) / settings.full_log_slowdown,
                       0.0, 1.0);
  }
  const Duration lasting = std::clamp(run_time, settings.min_run_time, settings.max_harm_time);
  return harm * (beside_same ? settings.same_image_share : 1.0) *
         std::chrono::duration<double>(lasting).count();
}

namespace internal {

/// \returns the number of serving tasks that a pause of \a task takes below their bounds, each
///   weighted by the task's part in the excess and by the work that the task has left. \a excess
///   holds the logarithm of each tail over its bound.
double ReliefByPause(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                     const std::vector<double>& excess, const BestEffortTask& task,
                     std::uint32_t pace, const HarmSettings& settings) {
  double relief = 0.0;
  for (std::size_t i = 0; i < serving.size(); ++i) {
    const double known =
        model.LogSlowdown(serving[i].image, task.image) -
        settings.caution * model.LogSlowdownDeviation(serving[i].image, task.image);
    if (excess[i] > 0.0 && known > 0.0) {
      relief += std::min(1.0, known * task.cores * pace / 100 / excess[i]);
    }
  }
  return relief * task.left;
}

}  // namespace internal

std::vector<std::uint32_t> DecidePacesByHarm(const InterferenceModel& model,
                                             const std::vector<ServingTask>& serving,
                                             const std::vector<BestEffortTask>& best_effort,
                                             Duration time_over_bound,
                                             const SharingSettings& settings) {
  std::vector<std::uint32_t> paces =
      DecidePaces(model, serving, best_effort, time_over_bound, settings);
  for (std::size_t i = 0; i < best_effort.size(); ++i) {
    BestEffortTask speed_up = best_effort[i];
    if (paces[i] <= speed_up.pace) {
      continue;
    }
    speed_up.pace = paces[i] - speed_up.pace;
    const double harm = ExpectedHarm(model, serving, best_effort, speed_up,
                                     settings.harm.max_harm_time, settings.harm);
    paces[i] = harm <= settings.harm.free_harm ? paces[i] : best_effort[i].pace;
  }
  std::vector<double> excess;
  excess.reserve(serving.size());
  for (const ServingTask& victim : serving) {
    excess.push_back(victim.present_excess);
  }
  for (std::size_t round = 0; round < best_effort.size(); ++round) {
    std::size_t worst = 0;
    double most = 0.0;
    for (std::size_t i = 0; i < best_effort.size(); ++i) {
      const double relief =
          internal::ReliefByPause(model, serving, excess, best_effort[i], paces[i], settings.harm);
      worst = relief > most ? i : worst;
      most = std::max(most, relief);
    }
    if (most < settings.harm.pause_relief) {
      break;
    }
    for (std::size_t i = 0; i < serving.size(); ++i) {
      excess[i] -= model.LogSlowdown(serving[i].image, best_effort[worst].image) *
                   best_effort[worst].cores * paces[worst] / 100;
    }
    paces[worst] = 0;
  }
  return paces;
}

double AcceptableHarm(Duration waited, Duration slack, const HarmSettings& settings) {
  const Duration patience = std::clamp(slack, settings.min_patience, settings.max_patience);
  const double used = std::chrono::duration<double>(waited) / patience;
  if (used >= 1.0) {
    const double growth = std::chrono::duration<double>(waited) / settings.late_growth_time;
    return settings.late_harm * std::max(1.0, growth);
  }
  return std::min(settings.free_harm / (1.0 - used), settings.late_harm);
}

void OverBoundShare::Add(double added_over, double added_total, TimePoint now,
                         const HarmSettings& settings) {
  if (now > this->updated_at) {
    const std::chrono::duration<double> elapsed = now - this->updated_at;
    const double kept = std::exp(-(elapsed / settings.averaging_time));
    this->over *= kept;
    this->total *= kept;
    this->updated_at = now;
  }
  this->over += added_over;
  this->total += added_total;
  const bool known = this->total >= settings.min_observed_seconds;
  if (known && this->Value() > settings.activation_share) {
    this->high_until = now + settings.activation_hold;
  }
}

}  // namespace pistachio
