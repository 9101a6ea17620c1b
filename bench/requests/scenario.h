#pragma once

#include <string>
#include <vector>

#include "pistachio/request.h"

namespace pistachio::bench {

/// \brief How the slots of targets are shared by the entry hosts.
enum class SlotSharing {
  kDivided,  ///< each entry host has its own slots of each target
  kByOwner,  ///< each target has one owner; requests are forwarded to an owner, one more hop
};

/// \brief Load from an instant on, in parts of the targets' capacity.
struct LoadStep {
  Duration from{0};
  double load = 0.0;
};

/// \brief What goes wrong in a run, and when.
struct FaultPlan {
  double slow_target_share = 0.0;  ///< of the targets
  double slow_factor = 1.0;
  bool rack_dies = false;
  bool entry_host_dies = false;
  Duration from{0};
  Duration until{0};  ///< a dead rack is back
};

/// \brief A way to route that is compared with others in the same run.
struct Policy {
  std::string name;
  TargetChoice choice;
  bool hedging = false;
};

/// \brief One workload with its faults. Equal scenarios and seeds give equal results.
struct Scenario {
  std::string name;
  std::vector<LoadStep> load;
  FaultPlan faults;
  std::uint32_t caller_retries = 0;  ///< at once, whatever Retry-After says
  Duration length = std::chrono::seconds(12);
  Duration measure_from = std::chrono::seconds(3);  ///< by arrival
  std::uint32_t entry_hosts = 6;
  std::uint32_t targets = 60;
  std::uint32_t rack_size = 10;
  std::uint32_t slots = 8;
  SlotSharing sharing = SlotSharing::kDivided;
  Duration median_service_time = std::chrono::milliseconds(40);
  double service_time_sigma = 0.5;  ///< of the logarithm
  Duration deadline = std::chrono::milliseconds(500);
  Duration one_way = std::chrono::microseconds(200);
  Duration slot_reassignment = std::chrono::seconds(10);  ///< after an entry host died
  Duration balancer_detection = std::chrono::seconds(1);  ///< of a dead entry host
  double idempotent_share = 0.9;
};

/// \returns the mean of the service times.
Duration MeanServiceTime(const Scenario& scenario);

/// \returns the requests a second that fill every slot all the time.
double CapacityOf(const Scenario& scenario);

std::vector<Scenario> AllScenarios();
std::vector<Policy> AllPolicies();

}  // namespace pistachio::bench
