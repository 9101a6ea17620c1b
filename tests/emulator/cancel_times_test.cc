#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SubmissionId kSubmission("0000000000000001");

bool IsRunning(SimulatedCluster* cluster) {
  const std::vector<std::string> targets = cluster->targets();
  return std::any_of(targets.begin(), targets.end(), [cluster](const std::string& target) {
    return cluster->target(target).HasRunOf(kSubmission);
  });
}

/// \returns the time until no run of the submission is left, at most 20 s.
Duration TimeUntilStopped(SimulatedCluster* cluster) {
  const TimePoint start = cluster->now();
  while (IsRunning(cluster) && cluster->now() - start < seconds(20)) {
    cluster->Run(milliseconds(10));
  }
  return cluster->now() - start;
}

// The acknowledged cancel is in the store only, and its reader changes or does not hear of it.
TEST_CASE("a run ends in time after the acknowledged cancel of its submission", "[emulator]") {
  SimulatedClusterSettings settings;
  settings.layout = CellLayout::kOneCell;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(4));
  const std::string owner = cluster.OwnerOf("all");
  const std::vector<std::string> hosts = cluster.hosts();
  const std::string other = *std::find_if(hosts.begin(), hosts.end(),
                                          [&](const std::string& host) { return host != owner; });
  SubmissionSpec spec = MakeSubmission(1, 1, seconds(1));
  spec.steps[0].long_running = true;
  cluster.Submit(other, kSubmission, spec);
  cluster.Run(seconds(3));
  REQUIRE(IsRunning(&cluster));
  Duration longest = milliseconds(3900);
  SECTION("the owner knows of it at once") {
    cluster.Cancel(other, kSubmission);
    longest = milliseconds(1000);
  }
  SECTION("the owner's watch of its inbox gets no answer") {
    cluster.store_faults.lost_watches.insert({owner, "in/all/"});
    cluster.Cancel(other, kSubmission);
    cluster.Run(milliseconds(1));
    cluster.store_faults.lost_watches.clear();
    longest -= milliseconds(1);
  }
  SECTION("the owner hands its cell over") {
    cluster.StopHostGracefully(owner);
    cluster.Run(milliseconds(20));
    cluster.Cancel(other, kSubmission);
  }
  SECTION("all hosts lose power right after the cancel") {
    cluster.Cancel(other, kSubmission);
    cluster.Run(milliseconds(3));
    for (const std::string& host : hosts) {
      cluster.KillHost(host);
    }
    cluster.Run(seconds(1));
    for (const std::string& host : hosts) {
      cluster.StartHost(host);
    }
  }
  const Duration time = TimeUntilStopped(&cluster);
  CAPTURE(std::chrono::duration_cast<milliseconds>(time).count());
  REQUIRE(cluster.answers().count(Outcome::kCancelled) == 1);
  REQUIRE(time <= longest);
}

}  // namespace
}  // namespace pistachio::emulator
