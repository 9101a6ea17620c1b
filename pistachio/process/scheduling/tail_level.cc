#include "pistachio/process/scheduling/tail_level.h"

#include <algorithm>
#include <cmath>

namespace pistachio {

namespace internal {

/// Time after which a task's own reports replace what is known of its image. Loads swing with
/// periods of 14 to 17 s.
constexpr double kObservedSeconds = 15.0;
/// Time constant in which a peak falls to the present level: some periods of the load.
constexpr double kPeakDecaySeconds = 40.0;

/// Time constant of the slope. Single samples are too noisy for one.
constexpr double kSlopeSeconds = 0.8;
/// Share of the way to the peak by which a load of 14 s rises from its trough within 2 s.
constexpr double kRiseFromTrough = 0.15;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace internal

void TailLevel::Add(double level, TimePoint now) {
  if (this->first_at == TimePoint{}) {
    this->first_at = now;
    this->peak = level;
  } else {
    const double elapsed = std::max(0.0, internal::SecondsBetween(this->updated_at, now));
    if (elapsed > 0.0) {
      const double gain = elapsed / (elapsed + internal::kSlopeSeconds);
      this->slope += gain * ((level - this->present) / elapsed - this->slope);
    }
    const double kept = std::exp(-elapsed / internal::kPeakDecaySeconds);
    this->peak = std::max(level, level + (this->peak - level) * kept);
  }
  this->present = level;
  this->updated_at = now;
}

double TailLevel::ExpectedPeak(double image_peak) const {
  const double observed = internal::SecondsBetween(this->first_at, this->updated_at);
  const double own = std::min(1.0, observed / internal::kObservedSeconds);
  return std::max(this->present, own * this->peak + (1.0 - own) * image_peak);
}

double TailLevel::ExpectedWithin(Duration horizon, double peak) const {
  const double rise = std::max(0.0, this->slope) * std::chrono::duration<double>(horizon).count();
  const double range = std::max(0.0, peak - this->present);
  return this->present + std::min(range, rise + internal::kRiseFromTrough * range);
}

}  // namespace pistachio
