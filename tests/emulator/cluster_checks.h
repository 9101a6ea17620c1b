#pragma once

#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"

namespace pistachio::emulator {

/// A cluster that has run for 2 s, so that each cell has an owner.
class RunningCluster : public SimulatedCluster {
 public:
  explicit RunningCluster(const SimulatedClusterSettings& settings = {})
      : SimulatedCluster(settings) {
    this->Run(std::chrono::seconds(2));
  }
};

/// Queries the state of every submission at every host, runs the checker's final checks and
/// requires that no rule was violated and no submission has failed without cause.
inline void RequireNoViolations(SimulatedCluster* cluster) {
  cluster->QueryAllStates();
  cluster->Run(std::chrono::seconds(2));
  cluster->checker().CheckAtEnd();
  for (const std::string& violation : cluster->checker().violations()) {
    UNSCOPED_INFO(violation);
  }
  REQUIRE(cluster->checker().violations().empty());
  // Crashes under a task permit the report, but these submissions could have completed.
  for (const SubmissionId& id : cluster->checker().failed_without_cause()) {
    UNSCOPED_INFO(id.str() << " has failed without cause");
  }
  REQUIRE(cluster->checker().failed_without_cause().empty());
}

}  // namespace pistachio::emulator
