#include "pistachio/process/scheduling/admission_forecast.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pistachio {

namespace internal {

constexpr double kMillicoresPerCore = 1000.0;

/// Mean and variance of a time in seconds.
struct TimeEstimate {
  double mean = 0.0;
  double variance = 0.0;
};

/// \returns the mean of the largest of \a count standard normal numbers, by Blom's approximation
///   with a series for the quantile.
double MeanOfLargest(std::uint32_t count) {
  if (count <= 1) {
    return 0.0;
  }
  const double upper = 1.0 - (count - 0.375) / (count + 0.25);
  // Abramowitz and Stegun, 26.2.23; the error is below 0.0005.
  const double t = std::sqrt(-2.0 * std::log(upper));
  return t - (2.515517 + 0.802853 * t + 0.010328 * t * t) /
                 (1.0 + 1.432788 * t + 0.189269 * t * t + 0.001308 * t * t * t);
}

/// \returns the time of a step on \a cores free processors.
TimeEstimate TimeOfStep(const StepSpec& step, double cores, const DurationFactor& factor) {
  const double declared = std::chrono::duration<double>(step.estimate).count();
  const double slowest =
      declared * std::exp(factor.mean_log + factor.deviation_log * MeanOfLargest(step.count));
  const double work = declared * step.count * static_cast<double>(step.need.cpu_millis) /
                      kMillicoresPerCore * std::exp(factor.mean_log);
  const double mean = std::max(slowest, cores > 0.0 ? work / cores : 0.0);
  // The largest of several numbers varies less than a single one.
  const double narrowing = 1.0 / std::sqrt(1.0 + std::log(std::max<std::uint32_t>(1, step.count)));
  const double deviation = mean * factor.deviation_log * narrowing;
  return {mean, deviation * deviation};
}

}  // namespace internal

double Forecast::ProbabilityWithin(Duration time) const {
  if (time <= Duration(0)) {
    return 0.0;
  }
  if (this->deviation_log <= 0.0 || this->median <= Duration(0)) {
    return this->median <= time ? 1.0 : 0.0;
  }
  const double ratio = std::chrono::duration<double>(time) / this->median;
  return 0.5 * std::erfc(-std::log(ratio) / this->deviation_log / std::sqrt(2.0));
}

Forecast ForecastEnd(const SubmissionSpec& spec, std::int32_t priority, const ForecastLoad& load,
                     const ForecastSettings& settings) {
  double ahead = 0.0;
  for (const auto& [other_priority, work] : load.waiting) {
    ahead += other_priority <= priority ? work : 0.0;
  }
  const double most = std::max(0.0, load.cores_in_use + load.free_cores);
  const double rate = std::clamp(load.end_rate, most * settings.min_rate_share, most);
  const double wait = ahead > 0.0 && rate > 0.0 ? ahead / rate : 0.0;
  const double cores = ahead > 0.0 ? std::max(load.cores_in_use, rate) : most;
  Forecast forecast;
  forecast.waits = ahead > 0.0;
  if (most <= 0.0) {
    // Nothing that runs here ends, so a cell with processors comes first.
    forecast.waits = true;
    forecast.median = settings.longest_forecast;
    return forecast;
  }
  internal::TimeEstimate last;
  std::vector<internal::TimeEstimate> ends;
  for (const StepSpec& step : spec.steps) {
    internal::TimeEstimate end;
    for (const std::uint32_t earlier : step.after) {
      end = ends[earlier].mean > end.mean ? ends[earlier] : end;
    }
    const internal::TimeEstimate own = internal::TimeOfStep(step, cores, load.factor);
    end.mean += own.mean;
    end.variance += own.variance;
    last = end.mean > last.mean ? end : last;
    ends.push_back(end);
  }
  const double wait_deviation = wait * settings.wait_deviation;
  const double mean = wait + last.mean;
  const double variance = last.variance + wait_deviation * wait_deviation;
  const double variance_log = mean > 0.0 ? std::log1p(variance / (mean * mean)) : 0.0;
  forecast.deviation_log = std::sqrt(variance_log);
  const std::chrono::duration<double> median(mean * std::exp(-variance_log / 2.0));
  forecast.median = median < settings.longest_forecast
                        ? std::chrono::duration_cast<Duration>(median)
                        : settings.longest_forecast;
  return forecast;
}

bool IsWorthAccepting(const Forecast& forecast, std::int32_t priority, Duration objective,
                      const ForecastSettings& settings) {
  const auto worthless_after =
      std::chrono::duration_cast<Duration>(objective * settings.worthless_after_objectives);
  return priority == 0 || !forecast.waits ||
         forecast.ProbabilityWithin(worthless_after) >= settings.min_probability;
}

}  // namespace pistachio
