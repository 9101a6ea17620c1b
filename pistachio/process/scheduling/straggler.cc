#include "pistachio/process/scheduling/straggler.h"

namespace pistachio {

RunHealth ClassifyRun(const RunProgress& run, const StragglerSettings& settings) {
  constexpr double kWhole = 100.0;
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
  const double left = static_cast<double>(run.observed.count()) * (kWhole - run.percent) / grown;
  return left > settings.min_speedup * fresh ? RunHealth::kTooSlow : RunHealth::kHealthy;
}

}  // namespace pistachio
