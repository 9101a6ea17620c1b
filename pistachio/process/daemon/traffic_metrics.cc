#include "pistachio/process/daemon/traffic_metrics.h"

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxServices = 1000;

/// Bounds in seconds, each a little over one and a half times the one before.
const prometheus::Histogram::BucketBoundaries& LatencyBounds() {
  static const prometheus::Histogram::BucketBoundaries kBounds = {
      0.0005, 0.001, 0.0015, 0.0025, 0.004, 0.006, 0.01, 0.015, 0.025, 0.04, 0.06,
      0.1,    0.15,  0.25,   0.4,    0.6,   1.0,   1.5,  2.5,   4.0,   6.0,  10.0};
  return kBounds;
}

}  // namespace internal

TrafficMetrics::TrafficMetrics(prometheus::Registry& registry)
    : latency(&prometheus::BuildHistogram()
                   .Name("pistachio_request_seconds")
                   .Help("Time from a request's arrival to its outcome, by service and outcome.")
                   .Register(registry)),
      answered(&prometheus::BuildHistogram()
                    .Name("pistachio_answered_seconds")
                    .Help("Time from a request's arrival to its answer, over all services.")
                    .Register(registry)
                    .Add({}, internal::LatencyBounds())) {}

prometheus::Histogram& TrafficMetrics::HistogramOf(const ServiceId& service, OutcomeKind outcome) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  // Names come from callers; beyond a bound they share one series.
  const bool full = this->by_service.size() >= internal::kMaxServices;
  const std::pair<ServiceId, OutcomeKind> wanted{service, outcome};
  const bool known = this->by_service.count(wanted) != 0;
  const auto key = known || !full ? wanted : std::make_pair(ServiceId("other"), outcome);
  prometheus::Histogram*& found = this->by_service[key];
  if (found == nullptr) {
    found = &this->latency->Add({{"service", key.first.str()}, {"outcome", NameOf(outcome)}},
                                internal::LatencyBounds());
  }
  return *found;
}

void TrafficMetrics::Observe(const ServiceId& service, OutcomeKind outcome, Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  this->HistogramOf(service, outcome).Observe(seconds);
  if (outcome == OutcomeKind::kAnswered) {
    this->answered->Observe(seconds);
  }
}

Duration TrafficMetrics::Quantile(double quantile) const {
  const auto collected = this->answered->Collect().histogram;
  const double wanted = quantile * static_cast<double>(collected.sample_count);
  for (const auto& bucket : collected.bucket) {
    const bool reached = static_cast<double>(bucket.cumulative_count) >= wanted;
    if (collected.sample_count > 0 && reached) {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(bucket.upper_bound));
    }
  }
  return Duration(0);
}

}  // namespace pistachio
