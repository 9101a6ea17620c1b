#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SubmissionId IdOf(int number) {
  std::string id = std::to_string(number);
  return SubmissionId(std::string(16 - id.size(), '0') + id);
}

TEST_CASE("a late start that the next incarnation carries out causes no double run", "[emulator]") {
  for (const std::uint64_t seed : {1, 3, 7, 9}) {
    SimulatedClusterSettings settings;
    settings.seed = seed;
    RunningCluster cluster(settings);
    cluster.order_faults.late_probability = 0.1;
    for (int number = 1; number <= 20; ++number) {
      SubmissionSpec spec = MakeSubmission(1, 4, seconds(12));
      spec.steps[0].need.cpu_millis = 500;
      cluster.Submit(cluster.hosts()[0], IdOf(number), spec);
      cluster.Run(milliseconds(100));
    }
    cluster.Run(seconds(1));
    // The first stops that the next incarnations get are late as well.
    cluster.order_faults.late_probability = 0.7;
    for (const std::string& target : cluster.targets()) {
      cluster.RestartTarget(target);
    }
    cluster.Run(seconds(3));
    cluster.order_faults.late_probability = 0.0;
    cluster.Run(seconds(60));
    CAPTURE(seed);
    RequireNoViolations(&cluster);
  }
}

}  // namespace
}  // namespace pistachio::emulator
