#include "pistachio/process/scheduling/straggler.h"

namespace pistachio {

namespace internal {

constexpr double kWhole = 100.0;

}  // namespace internal

Duration ProjectedDuration(const RunProgress& run) {
  const double grown = run.percent - run.first_percent;
  // Smaller growth cannot be told from rounding, and its projection would leave the range of time.
  constexpr double kMinGrowth = 1e-3;
  return grown > kMinGrowth
             ? std::chrono::duration_cast<Duration>(run.observed * (internal::kWhole / grown))
             : Duration(0);
}

RunHealth ClassifyRun(const RunProgress& run, const StragglerSettings& settings) {
  using internal::kWhole;
  if (run.paced || run.percent >= kWhole || run.observed < settings.min_observed) {
    return RunHealth::kHealthy;
  }
  if (run.since_growth >= settings.stall_timeout) {
    return RunHealth::kStalled;
  }
  const double grown = run.percent - run.first_percent;
  const double left_share = run.resumes_from_checkpoint ? (kWhole - run.percent) / kWhole : 1.0;
  const double fresh = static_cast<double>(run.estimate.count()) * left_share +
                       static_cast<double>(settings.move_cost.count());
  if (grown <= 0.0) {
    return RunHealth::kHealthy;
  }
  if (run.longest_usual > Duration(0)) {
    const bool late = ProjectedDuration(run) > run.longest_usual;
    const bool may_restart =
        run.resumes_from_checkpoint || run.percent < settings.max_percent_to_restart;
    if (!late || !may_restart) {
      return RunHealth::kHealthy;
    }
  }
  const double left = static_cast<double>(run.observed.count()) * (kWhole - run.percent) / grown;
  return left > settings.min_speedup * fresh ? RunHealth::kTooSlow : RunHealth::kHealthy;
}

}  // namespace pistachio
