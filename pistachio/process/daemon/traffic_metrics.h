#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/request/types.h"

namespace pistachio {

/// \brief Latency of requests by service and outcome, as callers see it. Thread-safe.
class TrafficMetrics {
 public:
  explicit TrafficMetrics(prometheus::Registry& registry);

  void Observe(const ServiceId& service, OutcomeKind outcome, Duration latency);

  /// \returns the latency below which a share \a quantile of all answered requests lie, from the
  /// histogram's buckets; 0 if none was answered.
  Duration Quantile(double quantile) const;

 private:
  prometheus::Histogram& HistogramOf(const ServiceId& service, OutcomeKind outcome);

  prometheus::Family<prometheus::Histogram>* latency;
  prometheus::Histogram* answered;
  mutable std::mutex mutex;
  std::map<std::pair<ServiceId, OutcomeKind>, prometheus::Histogram*> by_service;
};

}  // namespace pistachio
