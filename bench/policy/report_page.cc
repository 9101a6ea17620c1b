#include <fmt/format.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "bench/policy/plot.h"
#include "bench/policy/report.h"
#include "bench/policy/scenario.h"
#include "bench/policy/verdict.h"

namespace pistachio::bench {

namespace internal {

std::string ScenarioTable(const ReportData& data, const std::string& label) {
  std::string page = "| policy |";
  std::string rule = "|---|";
  for (const Metric& metric : Metrics()) {
    page +=
        fmt::format(" {}{} |", metric.name, *metric.unit ? fmt::format(", {}", metric.unit) : "");
    rule += "---|";
  }
  page += "\n" + rule + "\n";
  for (std::size_t i = 0; i < data.names.size(); ++i) {
    page += "| " + data.names[i] + " |";
    for (const Metric& metric : Metrics()) {
      const Spread spread = SpreadOf(data.runs.at(label)[i], metric);
      page += fmt::format(" {0:.{3}f} ({1:.{3}f} to {2:.{3}f}) |", spread.mean, spread.low,
                          spread.high, metric.decimals);
    }
    page += "\n";
  }
  return page;
}

std::string VerdictTable(const ReportData& data) {
  std::string page =
      "| scenario | p99 over best baseline (< 1) | misses over best baseline (< 1) | batch over "
      "best baseline (>= 0.95) | evictions over limit (<= 0) | way to knowing, p99 (>= 0.8) | way "
      "to knowing, misses (>= 0.8) | all met |\n|---|---|---|---|---|---|---|---|\n";
  for (const std::string& label : data.labels) {
    if (const auto verdict = Judge(data, label)) {
      page += fmt::format("| {} | {:.3f} | {:.3f} | {:.3f} | {:.1f} | {:.3f} | {:.3f} | {} |\n",
                          label, verdict->p99_over_best, verdict->misses_over_best,
                          verdict->batch_over_best, verdict->evictions_over_limit, verdict->p99_way,
                          verdict->misses_way, verdict->IsMet() ? "yes" : "NO");
    }
  }
  return page;
}

BarChart ChartOf(const ReportData& data, const Metric& metric, const std::string& deployment,
                 bool logarithmic) {
  BarChart chart;
  chart.title = fmt::format("{}: {} ({})", deployment, metric.name, metric.unit);
  chart.names = data.names;
  chart.logarithmic = logarithmic;
  for (const std::string& label : data.labels) {
    if (label.rfind(deployment + " ", 0) != 0) {
      continue;
    }
    chart.labels.push_back(label.substr(deployment.size() + 1));
    std::vector<Spread> bars;
    for (const auto& runs : data.runs.at(label)) {
      bars.push_back(SpreadOf(runs, metric));
    }
    chart.bars.push_back(bars);
  }
  return chart;
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) {
    fmt::print(stderr, "bench_policy: cannot write {}\n", path);
    return false;
  }
  return true;
}

std::string JsonOf(const ReportData& data, int seeds) {
  nlohmann::ordered_json json;
  json["seeds"] = seeds;
  json["warm_up_s"] = kWarmUpSeconds;
  json["run_s"] = kRunSeconds;
  for (const std::string& label : data.labels) {
    for (std::size_t i = 0; i < data.names.size(); ++i) {
      for (const RunResult& run : data.runs.at(label)[i]) {
        nlohmann::ordered_json row;
        for (const Metric& metric : Metrics()) {
          row[metric.name] = fmt::format("{:.4f}", metric.value(run));
        }
        json["runs"][label][data.names[i]].push_back(row);
      }
    }
  }
  return json.dump(1) + "\n";
}

bool WritePlots(const ReportData& data, const std::string& folder, std::string& page) {
  bool written = true;
  for (const char* deployment : {"guild", "ashgrove"}) {
    for (const Metric& metric : Metrics()) {
      const std::string name = metric.name;
      if (name != "p99" && name != "misses" && name != "batch") {
        continue;
      }
      const BarChart chart = ChartOf(data, metric, deployment, name != "batch");
      if (chart.labels.empty()) {
        continue;
      }
      const std::string file = fmt::format("policy-{}-{}.svg", deployment, name);
      written = WriteFile(fmt::format("{}/{}", folder, file), DrawSvg(chart)) && written;
      page += fmt::format("![{}]({})\n\n", chart.title, file);
    }
  }
  return written;
}

}  // namespace internal

int WriteReport(const ReportData& data, const std::string& folder, int seeds) {
  std::string page = fmt::format(
      "# Policy bench\n\nMade by `build/release/bench/bench_policy --seeds={} --out=docs/reports`; "
      "the same flags give the same bytes.\n\nEach figure is the mean over seeds 1 to {}, with the "
      "smallest and the largest. {:.0f} simulated seconds a run, of which the first {:.0f} are not "
      "counted. docs/policy.md tells what is simulated.\n\n## Targets\n\n",
      seeds, seeds, kRunSeconds, kWarmUpSeconds);
  page += internal::VerdictTable(data) + "\n## Plots\n\n";
  bool written = internal::WritePlots(data, folder, page);
  page += "## Figures\n";
  for (const std::string& label : data.labels) {
    page += "\n### " + label + "\n\n" + internal::ScenarioTable(data, label);
  }
  written = internal::WriteFile(folder + "/policy-bench.md", page) && written;
  written =
      internal::WriteFile(folder + "/policy-bench.json", internal::JsonOf(data, seeds)) && written;
  return written ? 0 : 1;
}

}  // namespace pistachio::bench
