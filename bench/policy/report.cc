#include "bench/policy/report.h"

#include <fmt/format.h>

#include <algorithm>

#include "bench/policy/verdict.h"

namespace pistachio::bench {

void ReportData::Add(const std::string& label, const std::vector<RunResult>& results) {
  if (this->runs.find(label) == this->runs.end()) {
    this->labels.push_back(label);
    this->runs[label].resize(this->names.size());
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    this->runs[label][i].push_back(results[i]);
  }
}

const std::vector<Metric>& Metrics() {
  constexpr double kPercent = 100.0;
  static const std::vector<Metric> kMetrics = {
      {"p50", "ms", 0, [](const RunResult& run) { return run.p50_ms; }},
      {"p99", "ms", 0, [](const RunResult& run) { return run.p99_ms; }},
      {"p99.9", "ms", 0, [](const RunResult& run) { return run.p999_ms; }},
      {"misses", "%", 3, [](const RunResult& run) { return kPercent * run.miss_share; }},
      {"batch", "task h/h", 1, [](const RunResult& run) { return run.batch_per_hour; }},
      {"finished", "tasks", 0, [](const RunResult& run) { return run.finished; }},
      {"evictions", "", 1, [](const RunResult& run) { return run.evictions; }},
      {"killed", "for memory", 1, [](const RunResult& run) { return run.kills; }},
      {"wasted", "task h", 2, [](const RunResult& run) { return run.wasted_hours; }},
      {"throttles", "steps", 0, [](const RunResult& run) { return run.throttle_steps; }},
      {"waiting", "at end", 0, [](const RunResult& run) { return run.waiting_at_end; }}};
  return kMetrics;
}

Spread SpreadOf(const std::vector<RunResult>& runs, const Metric& metric) {
  Spread spread;
  spread.low = metric.value(runs.front());
  spread.high = spread.low;
  for (const RunResult& run : runs) {
    const double value = metric.value(run);
    spread.mean += value / static_cast<double>(runs.size());
    spread.low = std::min(spread.low, value);
    spread.high = std::max(spread.high, value);
  }
  return spread;
}

int PrintTable(const ReportData& data) {
  for (const std::string& label : data.labels) {
    fmt::print("{}\n  {:<36}", label, "");
    for (const Metric& metric : Metrics()) {
      fmt::print("{:>10}", metric.name);
    }
    fmt::print("\n");
    for (std::size_t i = 0; i < data.names.size(); ++i) {
      fmt::print("  {:<36}", data.names[i]);
      for (const Metric& metric : Metrics()) {
        fmt::print("{:>10.{}f}", SpreadOf(data.runs.at(label)[i], metric).mean, metric.decimals);
      }
      fmt::print("\n");
    }
    if (const auto verdict = Judge(data, label)) {
      fmt::print(
          "  p99/best {:.3f}  misses/best {:.3f}  batch/best {:.3f}  evictions over {:.1f}  way "
          "p99 "
          "{:.3f}  way misses {:.3f}  {}\n",
          verdict->p99_over_best, verdict->misses_over_best, verdict->batch_over_best,
          verdict->evictions_over_limit, verdict->p99_way, verdict->misses_way,
          verdict->IsMet() ? "met" : "MISSED");
    }
  }
  return 0;
}

}  // namespace pistachio::bench
