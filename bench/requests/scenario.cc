#include "bench/requests/scenario.h"

#include <cmath>

namespace pistachio::bench {

constexpr double kUsualLoad = 0.6;
constexpr double kOverload = 2.0;
constexpr double kStormLoad = 1.5;
constexpr Duration kFaultStart = std::chrono::seconds(4);

Scenario Named(const std::string& name, std::vector<LoadStep> load) {
  Scenario scenario;
  scenario.name = name;
  scenario.load = std::move(load);
  return scenario;
}

Duration MeanServiceTime(const Scenario& scenario) {
  const double sigma = scenario.service_time_sigma;
  const double mean =
      static_cast<double>(scenario.median_service_time.count()) * std::exp(sigma * sigma / 2.0);
  return Duration(static_cast<Duration::rep>(mean));
}

double CapacityOf(const Scenario& scenario) {
  const double mean_seconds = std::chrono::duration<double>(MeanServiceTime(scenario)).count();
  return scenario.targets * scenario.slots / mean_seconds;
}

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> scenarios;
  scenarios.push_back(Named("steady", {{Duration(0), kUsualLoad}}));
  scenarios.push_back(Named("capacity", {{Duration(0), 1.0}}));

  Scenario step = Named("step-to-2x", {{Duration(0), kUsualLoad}, {kFaultStart, kOverload}});
  step.measure_from = kFaultStart;
  scenarios.push_back(step);

  Scenario slow = Named("slow-one-in-ten", {{Duration(0), kUsualLoad}});
  slow.faults.slow_target_share = 0.1;
  slow.faults.slow_factor = 10.0;
  slow.faults.from = kFaultStart;
  slow.faults.until = slow.length;
  slow.measure_from = kFaultStart;
  scenarios.push_back(slow);

  Scenario rack = Named("dead-rack", {{Duration(0), kUsualLoad}});
  rack.faults.rack_dies = true;
  rack.faults.from = kFaultStart;
  rack.faults.until = std::chrono::seconds(8);
  rack.measure_from = kFaultStart;
  scenarios.push_back(rack);

  Scenario host = Named("entry-host-killed", {{Duration(0), kUsualLoad}});
  host.faults.entry_host_dies = true;
  host.faults.from = kFaultStart;
  host.length = std::chrono::seconds(18);
  host.measure_from = kFaultStart;
  scenarios.push_back(host);
  host.name = "entry-host-killed-by-owner";
  host.sharing = SlotSharing::kByOwner;
  scenarios.push_back(host);

  Scenario owner = Named("steady-by-owner", {{Duration(0), kUsualLoad}});
  owner.sharing = SlotSharing::kByOwner;
  scenarios.push_back(owner);

  Scenario storm = Named("retry-storm", {{Duration(0), kUsualLoad},
                                         {kFaultStart, kStormLoad},
                                         {std::chrono::seconds(6), kUsualLoad}});
  storm.caller_retries = 4;
  storm.measure_from = kFaultStart;
  scenarios.push_back(storm);
  return scenarios;
}

std::vector<Policy> AllPolicies() {
  return {{"random", RandomChoice{}, false},
          {"round-robin", RoundRobinChoice{}, false},
          {"least-outstanding", LeastOutstandingChoice{}, false},
          {"two-choices", TwoChoices{}, false},
          {"latency-aware", LatencyAwareChoice{}, false},
          {"latency-aware+hedging", LatencyAwareChoice{}, true}};
}

}  // namespace pistachio::bench
