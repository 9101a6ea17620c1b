#include <fmt/format.h>
#include <gflags/gflags.h>

#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "bench/policy/contestants.h"
#include "bench/policy/deployment.h"
#include "bench/policy/place_cost.h"
#include "bench/policy/report.h"
#include "bench/policy/scenario.h"
#include "bench/policy/simulation.h"

DEFINE_string(settings, "examples/settings", "folder of the example settings");
DEFINE_string(out, "", "folder for the report, its plots and results.json; empty prints a table");
DEFINE_string(scenarios, "all", "comma-separated names, or all");
DEFINE_string(
    contestants, "all",
    "comma-separated names, all, or ablations; interference:calm_ratio=1.5;tail=20 sets numbers");
DEFINE_int32(seeds, 5, "seeds of each scenario, from 1");
DEFINE_bool(place_cost, false, "print the cost of one placement instead");
DEFINE_int32(threads, 4, "runs at once");

namespace pistachio::bench {
namespace {

bool IsListed(const std::string& list, const std::string& name) {
  return list == "all" || ("," + list + ",").find("," + name + ",") != std::string::npos;
}

struct Case {
  std::size_t deployment = 0;
  std::size_t scenario = 0;
  std::uint64_t seed = 1;
};

// Each thread takes whole cases, so that a trace is made once for all contestants.
void RunCases(const std::vector<Deployment>& deployments, const std::vector<std::string>& names,
              const std::vector<Case>& cases, std::vector<std::vector<RunResult>>& results,
              std::atomic<std::size_t>& next) {
  for (std::size_t i = next++; i < cases.size(); i = next++) {
    const Deployment& deployment = deployments[cases[i].deployment];
    const Trace trace = MakeTrace(deployment, Scenarios()[cases[i].scenario], cases[i].seed);
    for (const std::string& name : names) {
      Simulation run(deployment, trace, cases[i].seed,
                     MakeContestant(name, deployment.weights, cases[i].seed));
      results[i].push_back(run.Run());
    }
  }
}

int RunAll() {
  std::vector<Deployment> deployments;
  for (const char* name : {"guild", "ashgrove"}) {
    std::string reason;
    const auto deployment =
        ReadDeployment(FLAGS_settings + "/" + std::string(name) + ".toml", &reason);
    if (!deployment) {
      fmt::print(stderr, "bench_policy: {}\n", reason);
      return 1;
    }
    deployments.push_back(*deployment);
  }
  const auto names = ContestantNames(FLAGS_contestants);
  std::vector<Case> cases;
  for (std::size_t deployment = 0; deployment < deployments.size(); ++deployment) {
    for (std::size_t scenario = 0; scenario < Scenarios().size(); ++scenario) {
      for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
        if (IsListed(FLAGS_scenarios, Scenarios()[scenario].name)) {
          cases.push_back({deployment, scenario, static_cast<std::uint64_t>(seed)});
        }
      }
    }
  }
  std::vector<std::vector<RunResult>> results(cases.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int i = 0; i < FLAGS_threads; ++i) {
    threads.emplace_back([&] { RunCases(deployments, names, cases, results, next); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  ReportData data;
  data.names = names;
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const std::string label =
        deployments[cases[i].deployment].name + " " + Scenarios()[cases[i].scenario].name;
    data.Add(label, results[i]);
  }
  return FLAGS_out.empty() ? PrintTable(data) : WriteReport(data, FLAGS_out, FLAGS_seeds);
}

}  // namespace
}  // namespace pistachio::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Compares placement policies on simulated targets; the same flags give the same bytes.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return FLAGS_place_cost ? pistachio::bench::PrintPlaceCost() : pistachio::bench::RunAll();
}
