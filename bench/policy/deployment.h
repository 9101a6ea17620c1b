#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pistachio/process/policy/policy_settings.h"
#include "pistachio/process/policy/types.h"

namespace pistachio::bench {

/// \brief A service as the bench drives it.
struct ServiceSpec {
  std::string name;
  double best_s = 0.1;       ///< median time of one answer without neighbours, in seconds
  double deadline_s = 0.35;  ///< from the caller's view, in seconds
};

/// \brief One user's deployment, read from its example settings.
struct Deployment {
  std::string name;
  std::vector<TargetId> targets;
  std::vector<RackId> racks;  ///< of each target
  Resources capacity;
  std::size_t slots = 0;
  double one_way_clients_s = 0.0;
  PolicyWeights weights;
  std::vector<ServiceSpec> services;
  std::vector<std::string> batch_classes;
  std::size_t instances_per_service = 0;
};

/// \returns the deployment of a settings file, or nothing; \a reason tells why.
std::optional<Deployment> ReadDeployment(const std::string& path, std::string* reason);

}  // namespace pistachio::bench
