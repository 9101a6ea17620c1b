#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SubmissionId kId("00000000000000a1");

/// Hands in the same submission at several hosts and keeps the answers.
class Attempts {
 public:
  explicit Attempts(SimulatedCluster* cluster) : cluster(cluster) {}

  void At(const std::string& host) {
    this->cluster->Submit(
        host, kId, MakeSubmission(1, 2, milliseconds(300)),
        [this](const CallerAnswer& answer) { this->outcomes.push_back(answer.outcome); });
  }

  std::vector<Outcome> outcomes;  ///< in the order of the answers

 private:
  SimulatedCluster* cluster;
};

void DeregisterAllTargets(SimulatedCluster* cluster) {
  for (const std::string& target : cluster->targets()) {
    cluster->DeregisterTarget(target);
  }
}

void RegisterAllTargets(SimulatedCluster* cluster) {
  for (const std::string& target : cluster->targets()) {
    cluster->RegisterTarget(target);
  }
}

std::size_t CountOf(const SimulatedCluster& cluster, Outcome outcome) {
  const auto found = cluster.answers().find(outcome);
  return found == cluster.answers().end() ? 0 : found->second;
}

}  // namespace

// The host that refused knew nothing of the attempt that another host had accepted.
TEST_CASE("a store outage refuses no submission that another host has accepted",
          "[true_refusals]") {
  RunningCluster cluster;
  Attempts attempts(&cluster);
  attempts.At("north-host-0");
  cluster.Run(milliseconds(500));
  cluster.store_faults.down = true;
  cluster.Run(seconds(4));
  attempts.At("south-host-1");
  cluster.Run(seconds(3));
  cluster.store_faults.down = false;
  cluster.Run(seconds(8));
  REQUIRE(attempts.outcomes == std::vector<Outcome>{Outcome::kAccepted, Outcome::kInDoubt});
  RequireNoViolations(&cluster);
}

// A process that had just started refused everything before it had read a configuration.
TEST_CASE("a restarted host without a configuration refuses no accepted submission",
          "[true_refusals]") {
  RunningCluster cluster;
  Attempts attempts(&cluster);
  attempts.At("north-host-0");
  cluster.Run(milliseconds(500));
  cluster.KillHost("south-host-1");
  cluster.store_faults.down = true;
  cluster.StartHost("south-host-1");
  cluster.Run(milliseconds(100));
  attempts.At("south-host-1");
  cluster.Run(seconds(2));
  cluster.store_faults.down = false;
  cluster.Run(seconds(8));
  REQUIRE(attempts.outcomes == std::vector<Outcome>{Outcome::kAccepted, Outcome::kInDoubt});
  RequireNoViolations(&cluster);
}

TEST_CASE("a request to a host that has just started waits for the configuration",
          "[true_refusals]") {
  RunningCluster cluster;
  cluster.KillHost("south-host-1");
  cluster.StartHost("south-host-1");
  Attempts attempts(&cluster);
  attempts.At("south-host-1");
  cluster.Run(seconds(5));
  REQUIRE(attempts.outcomes.size() == 1);
  REQUIRE(attempts.outcomes.front() != Outcome::kUnavailable);
  RequireNoViolations(&cluster);
}

// The store listed no such submission when it was read, and a write of an earlier attempt at
// another host took effect up to 6 s later.
TEST_CASE("a refusal ends the writes of earlier attempts that are on their way",
          "[true_refusals]") {
  RunningCluster cluster;
  Attempts attempts(&cluster);
  cluster.store_faults.write_faults["north-host-0"].late_write_probability = 1.0;
  attempts.At("north-host-0");
  cluster.Run(milliseconds(100));
  DeregisterAllTargets(&cluster);
  cluster.Run(milliseconds(600));
  attempts.At("south-host-1");
  cluster.Run(milliseconds(200));
  REQUIRE(attempts.outcomes == std::vector<Outcome>{Outcome::kUnavailable});
  RegisterAllTargets(&cluster);
  cluster.Run(seconds(10));
  cluster.store_faults.write_faults.clear();
  cluster.Run(seconds(5));
  REQUIRE(attempts.outcomes == std::vector<Outcome>{Outcome::kUnavailable, Outcome::kInDoubt});
  REQUIRE(cluster.checker().starts() == 0);
  RequireNoViolations(&cluster);
}

TEST_CASE("a submission that was refused is accepted when it is handed in again",
          "[true_refusals]") {
  const std::string second_host = GENERATE("south-host-1", "north-host-0");
  CAPTURE(second_host);
  RunningCluster cluster;
  Attempts attempts(&cluster);
  DeregisterAllTargets(&cluster);
  cluster.Run(milliseconds(600));
  attempts.At("south-host-1");
  cluster.Run(milliseconds(400));
  RegisterAllTargets(&cluster);
  cluster.Run(seconds(3));
  attempts.At(second_host);
  cluster.Run(seconds(8));
  REQUIRE(attempts.outcomes == std::vector<Outcome>{Outcome::kUnavailable, Outcome::kAccepted});
  REQUIRE(cluster.checker().completed() == 1);
  RequireNoViolations(&cluster);
}

// A submission whose last attempts were refused at several hosts at once stays closed for all.
TEST_CASE("refusals at several hosts leave the submission closed", "[true_refusals]") {
  RunningCluster cluster;
  Attempts attempts(&cluster);
  cluster.store_faults.write_faults["north-host-0"].late_write_probability = 1.0;
  attempts.At("north-host-0");
  cluster.Run(milliseconds(100));
  DeregisterAllTargets(&cluster);
  cluster.Run(milliseconds(600));
  for (const char* host : {"south-host-0", "south-host-1", "north-host-1"}) {
    attempts.At(host);
  }
  cluster.Run(milliseconds(300));
  REQUIRE(attempts.outcomes == std::vector<Outcome>(3, Outcome::kUnavailable));
  RegisterAllTargets(&cluster);
  cluster.Run(seconds(12));
  REQUIRE(cluster.checker().starts() == 0);
  RequireNoViolations(&cluster);
}

// A cancel found no such submission while the write of an attempt was on its way. The write took
// effect seconds after the cancel was answered, and the tasks ran on.
TEST_CASE("a cancel of an unknown submission ends the writes of earlier attempts",
          "[true_refusals]") {
  const std::string cancelled_at = GENERATE("south-host-1", "north-host-0");
  CAPTURE(cancelled_at);
  RunningCluster cluster;
  Attempts attempts(&cluster);
  cluster.store_faults.write_faults["north-host-0"].late_write_probability = 1.0;
  attempts.At("north-host-0");
  cluster.Run(milliseconds(100));
  if (cancelled_at == "north-host-0") {
    cluster.store_faults.write_faults.clear();
  }
  cluster.Cancel(cancelled_at, kId);
  cluster.Run(milliseconds(400));
  REQUIRE(CountOf(cluster, Outcome::kUnknownId) == 1);
  cluster.Run(seconds(10));
  cluster.store_faults.write_faults.clear();
  cluster.Run(seconds(5));
  REQUIRE(cluster.checker().starts() == 0);
  REQUIRE(attempts.outcomes == std::vector<Outcome>{Outcome::kInDoubt});
  attempts.At("south-host-0");
  cluster.Run(seconds(8));
  REQUIRE(attempts.outcomes.back() == Outcome::kAccepted);
  REQUIRE(cluster.checker().completed() == 1);
  RequireNoViolations(&cluster);
}

// Cancels of ids that nobody has sent cost a write each.
TEST_CASE("a flood of cancels of unknown submissions delays no refusal", "[true_refusals]") {
  RunningCluster cluster;
  Attempts attempts(&cluster);
  DeregisterAllTargets(&cluster);
  cluster.Run(milliseconds(600));
  constexpr std::uint64_t kCancels = 3000;
  constexpr std::uint64_t kFirstId = 1000000000000000;
  for (std::uint64_t number = 0; number < kCancels; ++number) {
    cluster.Cancel("north-host-0", SubmissionId(std::to_string(kFirstId + number)));
  }
  attempts.At("north-host-0");
  cluster.Run(milliseconds(300));
  REQUIRE(attempts.outcomes == std::vector<Outcome>{Outcome::kUnavailable});
  cluster.Run(seconds(10));
  REQUIRE(CountOf(cluster, Outcome::kUnknownId) + CountOf(cluster, Outcome::kUnavailable) ==
          kCancels + 1);
  RequireNoViolations(&cluster);
}

}  // namespace pistachio::emulator
