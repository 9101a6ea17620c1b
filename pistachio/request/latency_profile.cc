#include "pistachio/request/latency_profile.h"

#include <algorithm>
#include <cmath>

namespace pistachio::internal {

constexpr double kBucketsPerOctave = 12.0;
constexpr std::uint32_t kWindowSamples = 2000;
constexpr std::uint64_t kSamplesBeforeKnown = 20;
constexpr std::uint64_t kSamplesBetweenRefreshes = 32;
constexpr double kLowShare = 0.05;
constexpr double kMedianShare = 0.5;
constexpr double kHighShare = 0.95;

// Buckets start at 16 microseconds and end beyond 30 seconds.
constexpr double kFirstBucketUs = 16.0;

std::size_t BucketOf(Duration latency, std::size_t buckets) {
  const double us = std::max(static_cast<double>(latency.count()), kFirstBucketUs);
  const double index = kBucketsPerOctave * std::log2(us / kFirstBucketUs);
  return std::min(static_cast<std::size_t>(index), buckets - 1);
}

Duration UpperEndOf(std::size_t bucket) {
  const double octaves = static_cast<double>(bucket + 1) / kBucketsPerOctave;
  return Duration(static_cast<Duration::rep>(kFirstBucketUs * std::exp2(octaves)));
}

void LatencyProfile::Add(Duration latency) {
  if (this->current.total >= kWindowSamples) {
    this->previous = this->current;
    this->current = Window();
  }
  this->current.counts[BucketOf(latency, kBuckets)] += 1;
  this->current.total += 1;
  this->current.sum_us += static_cast<double>(latency.count());
  this->samples += 1;
  const bool early = this->samples <= kSamplesBetweenRefreshes;
  if (early || this->samples % kSamplesBetweenRefreshes == 0) {
    this->Refresh();
  }
}

std::optional<Duration> LatencyProfile::Known(Duration value) const {
  if (this->samples < kSamplesBeforeKnown) {
    return std::nullopt;
  }
  return value;
}

Duration LatencyProfile::Quantile(double share) const {
  const double wanted = share * (this->current.total + this->previous.total);
  double seen = 0.0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += this->current.counts[bucket] + this->previous.counts[bucket];
    if (seen >= wanted && seen > 0.0) {
      return UpperEndOf(bucket);
    }
  }
  return UpperEndOf(kBuckets - 1);
}

void LatencyProfile::Refresh() {
  this->low_latency = this->Quantile(kLowShare);
  this->median_latency = this->Quantile(kMedianShare);
  this->high_latency = this->Quantile(kHighShare);
  const double total = this->current.total + this->previous.total;
  const double mean_us = (this->current.sum_us + this->previous.sum_us) / total;
  this->mean_latency = Duration(static_cast<Duration::rep>(mean_us));
}

}  // namespace pistachio::internal
