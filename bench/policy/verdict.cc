#include "bench/policy/verdict.h"

#include <algorithm>

#include "bench/policy/contestants.h"

namespace pistachio::bench {

namespace internal {

constexpr double kBatchBound = 0.95;
constexpr double kEvictionBound = 1.1;
constexpr double kWayBound = 0.8;

struct Compared {
  double product = 0.0;
  double knowing = 0.0;
  double lowest = 0.0;   ///< of a baseline
  double highest = 0.0;  ///< of a baseline
};

std::optional<double> MeanOf(const ReportData& data, const std::string& label,
                             const std::string& name, const Metric& metric) {
  const auto found = std::find(data.names.begin(), data.names.end(), name);
  if (found == data.names.end()) {
    return std::nullopt;
  }
  const auto index = static_cast<std::size_t>(found - data.names.begin());
  return SpreadOf(data.runs.at(label)[index], metric).mean;
}

std::optional<Compared> Compare(const ReportData& data, const std::string& label,
                                const std::string& metric_name) {
  const auto& metrics = Metrics();
  const auto metric = std::find_if(metrics.begin(), metrics.end(), [&](const Metric& candidate) {
    return metric_name == candidate.name;
  });
  const auto product = MeanOf(data, label, "interference", *metric);
  const auto knowing = MeanOf(data, label, "knowing", *metric);
  if (!product || !knowing) {
    return std::nullopt;
  }
  Compared compared{*product, *knowing, 0.0, 0.0};
  bool is_first = true;
  for (const std::string& name : BaselineNames()) {
    const auto mean = MeanOf(data, label, name, *metric);
    if (!mean) {
      return std::nullopt;
    }
    compared.lowest = is_first ? *mean : std::min(compared.lowest, *mean);
    compared.highest = is_first ? *mean : std::max(compared.highest, *mean);
    is_first = false;
  }
  return compared;
}

double Way(const Compared& compared) {
  const double whole = compared.lowest - compared.knowing;
  return whole > 0.0 ? (compared.lowest - compared.product) / whole : 1.0;
}

}  // namespace internal

bool Verdict::IsMet() const {
  return this->p99_over_best < 1.0 && this->misses_over_best < 1.0 &&
         this->batch_over_best >= internal::kBatchBound && this->evictions_over_limit <= 0.0 &&
         this->p99_way >= internal::kWayBound && this->misses_way >= internal::kWayBound;
}

std::optional<Verdict> Judge(const ReportData& data, const std::string& label) {
  const auto p99 = internal::Compare(data, label, "p99");
  const auto misses = internal::Compare(data, label, "misses");
  const auto batch = internal::Compare(data, label, "batch");
  const auto evictions = internal::Compare(data, label, "evictions");
  if (!p99 || !misses || !batch || !evictions) {
    return std::nullopt;
  }
  Verdict verdict;
  verdict.p99_over_best = p99->product / p99->lowest;
  verdict.misses_over_best = misses->product / misses->lowest;
  verdict.batch_over_best = batch->product / batch->highest;
  verdict.evictions_over_limit = evictions->product - internal::kEvictionBound * evictions->lowest;
  verdict.p99_way = internal::Way(*p99);
  verdict.misses_way = internal::Way(*misses);
  return verdict;
}

}  // namespace pistachio::bench
