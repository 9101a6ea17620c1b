#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "pistachio/process/runtime/clock.h"

namespace pistachio::internal {

/// \brief Learns the quantiles of a service's attempt latency from recent samples.
///
/// Two windows of samples in buckets that grow by a twelfth of an octave and more: quantiles are
/// over the running window and the one before, so that old load is forgotten. Cost of a sample:
/// constant; quantiles are worked out anew once in a few samples.
class LatencyProfile {
 public:
  void Add(Duration latency);

  /// \returns the median, or nothing before there are samples enough.
  std::optional<Duration> median() const { return this->Known(this->median_latency); }
  /// \returns the quantile that a hedge waits for and that admission allows for.
  std::optional<Duration> high() const { return this->Known(this->high_latency); }
  /// \returns a latency that few attempts are below.
  std::optional<Duration> low() const { return this->Known(this->low_latency); }
  /// \returns the mean latency, for predicting how fast a queue moves.
  std::optional<Duration> mean() const { return this->Known(this->mean_latency); }

 private:
  static constexpr std::size_t kBuckets = 256;
  struct Window {
    std::array<std::uint32_t, kBuckets> counts{};
    std::uint32_t total = 0;
    double sum_us = 0.0;
  };

  std::optional<Duration> Known(Duration value) const;
  Duration Quantile(double share) const;
  void Refresh();

  Window current;
  Window previous;
  std::uint64_t samples = 0;
  Duration low_latency{0};
  Duration median_latency{0};
  Duration high_latency{0};
  Duration mean_latency{0};
};

}  // namespace pistachio::internal
