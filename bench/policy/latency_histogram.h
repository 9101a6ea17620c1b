#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace pistachio::bench {

/// \brief Counts latencies in buckets that are half a percent wide.
class LatencyHistogram {
 public:
  LatencyHistogram() : counts(kBuckets, 0) {}

  void Add(double seconds) {
    const double position = std::log(std::max(seconds, kSmallest) / kSmallest) / kWidth;
    ++this->counts[std::min(static_cast<std::size_t>(position), kBuckets - 1)];
    ++this->total;
  }

  /// \returns the latency in seconds that \a share of all answers do not pass.
  double Quantile(double share) const {
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
      seen += this->counts[bucket];
      if (seen >= wanted) {
        return kSmallest * std::exp(kWidth * (static_cast<double>(bucket) + 0.5));
      }
    }
    return 0.0;
  }

  std::uint64_t size() const { return this->total; }

 private:
  static constexpr double kSmallest = 1e-3;
  static constexpr double kWidth = 0.005;
  static constexpr std::size_t kBuckets = 2400;

  std::vector<std::uint32_t> counts;
  std::uint64_t total = 0;
};

}  // namespace pistachio::bench
