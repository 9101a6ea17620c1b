/// \file
/// \brief Compares ways to route requests, on a paused clock, under load and faults.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "bench/requests/cost.h"
#include "bench/requests/simulation.h"

DEFINE_uint64(seed, 1, "seed of arrivals, service times and choices");
DEFINE_uint64(seeds, 1, "number of seeds, from --seed on; the worst one decides on the targets");
DEFINE_string(scenario, "", "run this scenario only");
DEFINE_string(policy, "", "run this policy only");
DEFINE_bool(json, false, "print one JSON document");
DEFINE_bool(cost, false, "print the processor time of a request instead");

namespace pistachio::bench {
namespace {

constexpr char kProduct[] = "latency-aware+hedging";
constexpr double kLeastGoodputAtOverload = 0.95;
constexpr double kMostSlowdownOfP99 = 1.5;
constexpr double kMostExtraAttempts = 0.10;

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

struct Row {
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  RunResult result;

  double Goodput() const {
    return static_cast<double>(this->result.in_time) /
           std::chrono::duration<double>(this->result.measured).count();
  }
  double GoodputShare() const {
    return static_cast<double>(this->result.in_time) / static_cast<double>(this->result.offered);
  }
  double ExtraShare() const {
    const BrokerCounters& counters = this->result.counters;
    return static_cast<double>(counters.retries + counters.hedges) /
           static_cast<double>(std::max<std::uint64_t>(counters.first_attempts, 1));
  }
  double RerouteShare() const {
    const BrokerCounters& counters = this->result.counters;
    return static_cast<double>(counters.reroutes) /
           static_cast<double>(std::max<std::uint64_t>(counters.first_attempts, 1));
  }
};

nlohmann::json ToJson(const Row& row) {
  const RunResult& result = row.result;
  return {{"scenario", row.scenario},
          {"policy", row.policy},
          {"seed", row.seed},
          {"offered", result.offered},
          {"in_time", result.in_time},
          {"not_run", result.not_run},
          {"unknown", result.unknown},
          {"deadline_passed", result.deadline_passed},
          {"lost_with_host", result.lost_with_host},
          {"p50_ms", Millis(QuantileOf(result, 0.5))},
          {"p99_ms", Millis(QuantileOf(result, 0.99))},
          {"p999_ms", Millis(QuantileOf(result, 0.999))},
          {"goodput_per_s", row.Goodput()},
          {"goodput_over_offered", row.GoodputShare()},
          {"extra_attempts", row.ExtraShare()},
          {"reroutes", row.RerouteShare()},
          {"ejections", result.counters.ejections},
          {"slots_exceeded", result.slots_exceeded}};
}

void PrintTable(const std::vector<Row>& rows) {
  fmt::print("{:<27}{:<23}{:>4}{:>9}{:>9}{:>9}{:>9}{:>10}{:>9}{:>8}{:>9}{:>9}\n", "scenario",
             "policy", "seed", "p50 ms", "p99 ms", "p999 ms", "miss %", "goodput/s", "of offd",
             "extra %", "rerout %", "ejected");
  for (const Row& row : rows) {
    const RunResult& result = row.result;
    fmt::print(
        "{:<27}{:<23}{:>4}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.2f}{:>10.0f}{:>9.4f}{:>8.2f}{:>9.2f}"
        "{:>9}\n",
        row.scenario, row.policy, row.seed, Millis(QuantileOf(result, 0.5)),
        Millis(QuantileOf(result, 0.99)), Millis(QuantileOf(result, 0.999)),
        100.0 * (1.0 - row.GoodputShare()), row.Goodput(), row.GoodputShare(),
        100.0 * row.ExtraShare(), 100.0 * row.RerouteShare(), result.counters.ejections);
  }
}

struct Verdict {
  std::string target;
  double bound = 0.0;
  double worst = 0.0;
  bool met = false;
};

const Row* Find(const std::vector<Row>& rows, const std::string& scenario, std::uint64_t seed) {
  const auto found = std::find_if(rows.begin(), rows.end(), [&](const Row& row) {
    return row.scenario == scenario && row.policy == kProduct && row.seed == seed;
  });
  return found == rows.end() ? nullptr : &*found;
}

std::vector<Verdict> Judge(const std::vector<Row>& rows) {
  Verdict overload{"goodput at 2x over goodput at capacity", kLeastGoodputAtOverload, 1e9, true};
  Verdict slow{"p99 with one target in ten slow over healthy p99", kMostSlowdownOfP99, 0.0, true};
  Verdict extra{"extra attempts over first attempts", kMostExtraAttempts, 0.0, true};
  Verdict slots{"attempts beyond a target's slots", 0.0, 0.0, true};
  for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
    const Row* capacity = Find(rows, "capacity", seed);
    const Row* step = Find(rows, "step-to-2x", seed);
    const Row* steady = Find(rows, "steady", seed);
    const Row* with_slow = Find(rows, "slow-one-in-ten", seed);
    if (capacity == nullptr || step == nullptr || steady == nullptr || with_slow == nullptr) {
      return {};
    }
    overload.worst = std::min(overload.worst, step->Goodput() / capacity->Goodput());
    slow.worst = std::max(slow.worst, Millis(QuantileOf(with_slow->result, 0.99)) /
                                          Millis(QuantileOf(steady->result, 0.99)));
  }
  for (const Row& row : rows) {
    slots.worst = std::max(slots.worst, static_cast<double>(row.result.slots_exceeded));
    if (row.policy == kProduct) {
      extra.worst = std::max(extra.worst, row.ExtraShare());
    }
  }
  overload.met = overload.worst >= overload.bound;
  for (Verdict* verdict : {&slow, &extra, &slots}) {
    verdict->met = verdict->worst <= verdict->bound;
  }
  return {overload, slow, extra, slots};
}

void PrintCost() {
  constexpr std::uint32_t kRequests = 200000;
  fmt::print("{:>8}{:>16}{:>12}{:>12}\n", "targets", "free slots us", "queued us", "refused us");
  for (const std::uint32_t targets : {50U, 100U, 200U, 450U, 900U}) {
    fmt::print("{:>8}{:>16.2f}{:>12.2f}{:>12.2f}\n", targets,
               MicrosPerRequest(targets, CostCase::kFreeSlots, kRequests),
               MicrosPerRequest(targets, CostCase::kQueued, kRequests),
               MicrosPerRequest(targets, CostCase::kRefused, kRequests));
  }
}

std::vector<Row> RunAll() {
  std::vector<Row> rows;
  for (const Scenario& scenario : AllScenarios()) {
    for (const Policy& policy : AllPolicies()) {
      const bool skipped = (!FLAGS_scenario.empty() && FLAGS_scenario != scenario.name) ||
                           (!FLAGS_policy.empty() && FLAGS_policy != policy.name);
      for (std::uint64_t i = 0; i < FLAGS_seeds && !skipped; ++i) {
        const std::uint64_t seed = FLAGS_seed + i;
        rows.push_back(
            {scenario.name, policy.name, seed, Simulation(scenario, policy, seed).Run()});
      }
    }
  }
  return rows;
}

void Print(const std::vector<Row>& rows, const std::vector<Verdict>& verdicts) {
  if (!FLAGS_json) {
    PrintTable(rows);
    for (const Verdict& verdict : verdicts) {
      fmt::print("{}: {} (bound {:.4f}, worst {:.4f})\n", verdict.target,
                 verdict.met ? "met" : "MISSED", verdict.bound, verdict.worst);
    }
    return;
  }
  nlohmann::json document{{"seed", FLAGS_seed}, {"seeds", FLAGS_seeds}};
  for (const Row& row : rows) {
    document["rows"].push_back(ToJson(row));
  }
  for (const Verdict& verdict : verdicts) {
    document["targets"].push_back({{"target", verdict.target},
                                   {"bound", verdict.bound},
                                   {"worst", verdict.worst},
                                   {"met", verdict.met}});
  }
  fmt::print("{}\n", document.dump(2));
}

}  // namespace
}  // namespace pistachio::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("bench_requests [--scenario=NAME] [--policy=NAME] [--seeds=N] [--json]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_cost) {
    pistachio::bench::PrintCost();
    return 0;
  }
  const auto rows = pistachio::bench::RunAll();
  pistachio::bench::Print(rows, pistachio::bench::Judge(rows));
  return 0;
}
