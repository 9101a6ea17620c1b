#include "pistachio/request/target_health.h"

#include <algorithm>

namespace pistachio::internal {

constexpr double kAverageWeight = 0.2;
constexpr double kHighestSample = 8.0;   ///< times the typical latency; one sample counts no more
constexpr double kOutlierLatency = 4.0;  ///< times the typical latency
constexpr double kSlowLatency = 2.5;     ///< times the typical latency; the limit shrinks
constexpr double kShrinkWhenSlow = 0.9;
constexpr double kShrinkOnTrouble = 0.5;
constexpr std::uint32_t kSamplesBeforeOutlier = 4;
constexpr std::uint32_t kFailuresBeforeOutlier = 3;
constexpr std::uint32_t kProbes = 3;
constexpr std::uint32_t kSlowStartSamples = 10;
constexpr double kSlowStartPenalty = 2.0;  ///< times the score of a target without samples
constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr std::uint32_t kMostDoublings = 5;

HealthVerdict TargetHealth::OnAnswer(Duration latency, std::optional<Duration> typical,
                                     std::uint32_t slots) {
  this->failures_in_a_row = 0;
  double sample_us = static_cast<double>(latency.count());
  const double typical_us = typical ? static_cast<double>(typical->count()) : 0.0;
  if (typical) {
    sample_us = std::min(sample_us, kHighestSample * typical_us);
  }
  const double weight = this->samples == 0 ? 1.0 : kAverageWeight;
  this->latency_us += weight * (sample_us - this->latency_us);
  this->samples += 1;
  const bool enough = this->probing() || this->samples >= kSamplesBeforeOutlier;
  if (typical && enough && this->latency_us > kOutlierLatency * typical_us) {
    return HealthVerdict::kOutlier;
  }
  if (typical && this->latency_us > kSlowLatency * typical_us) {
    this->limit = std::max(1.0, this->limit * kShrinkWhenSlow);
    return HealthVerdict::kFine;
  }
  this->limit = std::min(static_cast<double>(std::max(slots, 1U)), this->limit + 1.0 / this->limit);
  if (this->probes_left == 0) {
    return HealthVerdict::kFine;
  }
  this->probes_left -= 1;
  if (this->probes_left > 0) {
    return HealthVerdict::kFine;
  }
  this->ejections_in_a_row = 0;
  return HealthVerdict::kRecovered;
}

HealthVerdict TargetHealth::OnFailure() {
  this->failures_in_a_row += 1;
  this->OnOverload();
  const bool outlier = this->probing() || this->failures_in_a_row >= kFailuresBeforeOutlier;
  return outlier ? HealthVerdict::kOutlier : HealthVerdict::kFine;
}

void TargetHealth::OnOverload() { this->limit = std::max(1.0, this->limit * kShrinkOnTrouble); }

TimePoint TargetHealth::Eject(TimePoint now) {
  const std::uint32_t doublings = std::min(this->ejections_in_a_row, kMostDoublings);
  this->ejections_in_a_row += 1;
  this->probes_left = 0;
  this->ejected_until = now + kFirstEjection * (1U << doublings);
  return *this->ejected_until;
}

void TargetHealth::StartProbing() {
  this->ejected_until.reset();
  this->probes_left = kProbes;
  this->failures_in_a_row = 0;
  this->limit = 1.0;
  // The average starts anew, so that a target that is still slow is found by its first probes.
  this->samples = 0;
}

std::uint32_t TargetHealth::ConcurrencyLimit(std::uint32_t slots) const {
  if (this->probing()) {
    return std::min(slots, 1U);
  }
  return std::min(slots, static_cast<std::uint32_t>(this->limit));
}

bool TargetHealth::learning() const { return this->samples < kSlowStartSamples; }

double TargetHealth::Score(std::uint32_t attempts, std::optional<Duration> typical) const {
  const double typical_us = typical ? static_cast<double>(typical->count()) : 1.0;
  const double expected_us = this->samples == 0 ? typical_us : this->latency_us;
  double score = expected_us * (attempts + 1) / this->limit;
  if (this->learning()) {
    score *= kSlowStartPenalty;
  }
  if (this->failures_in_a_row > 0) {
    score *= 1.0 + this->failures_in_a_row;
  }
  return score;
}

}  // namespace pistachio::internal
