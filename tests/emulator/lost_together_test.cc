#include <algorithm>
#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"
#include "pistachio/process/runtime/random.h"
#include "tests/emulator/cluster_checks.h"
#include "tests/emulator/cluster_faults.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after which a killed host starts again.
constexpr Duration kHostDown = milliseconds(3500);
/// Time after the end of the last fault from which a long-running task must not lack a run: hosts
/// count as calm after 3 s, and the task is late if it has no run for 3 s after 4 s of calm.
constexpr Duration kCalm = seconds(10);

SubmissionId IdOf(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return SubmissionId(std::string(16 - digits.size(), '0') + digits);
}

/// \returns a random number in [0, 1).
double Fraction(RandomSource* random) { return std::uniform_real_distribution<double>()(*random); }

/// One cell for three data centres of four targets, with a long-running task for each target.
class ThreeDataCentres {
 public:
  explicit ThreeDataCentres(std::uint64_t seed = 1) : cluster(Settings(seed)) {
    this->cluster.Run(seconds(2));
    for (std::uint32_t number = 1; number <= kTasks; ++number) {
      SubmissionSpec spec = MakeSubmission(1, 1, seconds(1));
      spec.steps[0].need = Resources{3000, 1000, 0};
      spec.steps[0].long_running = true;
      this->cluster.Submit("north-host-0", IdOf(number), spec);
    }
    this->cluster.Run(seconds(5));
  }

  /// \returns the targets of a data centre.
  std::vector<std::string> TargetsOf(const std::string& data_centre) const {
    std::vector<std::string> targets = this->cluster.targets();
    targets.erase(std::remove_if(
                      targets.begin(), targets.end(),
                      [&](const std::string& target) { return target.rfind(data_centre, 0) != 0; }),
                  targets.end());
    return targets;
  }

  void LoseTarget(const std::string& target) {
    this->cluster.CrashTarget(target);
    this->cluster.DeregisterTarget(target);
  }

  /// Kills the owner. \returns its name
  std::string KillOwner() {
    std::string owner = this->cluster.OwnerOf("all");
    this->cluster.KillHost(owner);
    return owner;
  }

  /// \returns the number of tasks that have a run.
  std::size_t CountRuns() {
    std::size_t runs = 0;
    for (std::uint32_t number = 1; number <= kTasks; ++number) {
      for (const std::string& target : this->cluster.targets()) {
        if (this->cluster.target(target).up &&
            this->cluster.target(target).HasRunOf(IdOf(number))) {
          runs++;
          break;
        }
      }
    }
    return runs;
  }

  /// Advances until all tasks have a run. \returns the time that took, at most 30 s
  Duration RunUntilAllRun() {
    constexpr Duration kStep = milliseconds(50);
    const TimePoint begin = this->cluster.now();
    while (this->CountRuns() < kTasks && this->cluster.now() - begin < seconds(30)) {
      this->cluster.Run(kStep);
    }
    return this->cluster.now() - begin;
  }

  static constexpr std::uint32_t kTasks = 12;
  SimulatedCluster cluster;

 private:
  static SimulatedClusterSettings Settings(std::uint64_t seed) {
    SimulatedClusterSettings settings;
    settings.data_centres = {"east", "north", "south"};
    settings.layout = CellLayout::kOneCell;
    settings.seed = seed;
    return settings;
  }
};

// The next owner waited for 13.8 s from the time at which the cell had no owner, since the former
// one might be cut off from the store and extend leases.
TEST_CASE("targets that are lost together with their owner make no long-running task late",
          "[emulator][lost_together]") {
  const Duration killed_after =
      GENERATE(milliseconds(-1000), milliseconds(-200), milliseconds(0), milliseconds(1000));
  CAPTURE(killed_after.count());
  ThreeDataCentres installation;
  SimulatedCluster& cluster = installation.cluster;
  const std::vector<std::string> lost = {"north-target-0", "south-target-1"};
  const auto lose_targets = [&] {
    std::for_each(lost.begin(), lost.end(),
                  [&](const std::string& target) { installation.LoseTarget(target); });
  };
  std::string owner;
  if (killed_after < Duration(0)) {
    owner = installation.KillOwner();
    cluster.Run(-killed_after);
    lose_targets();
  } else {
    lose_targets();
    cluster.Run(killed_after);
    owner = installation.KillOwner();
  }
  const Duration left = kHostDown + std::min(killed_after, Duration(0));
  cluster.Run(left);
  cluster.StartHost(owner);
  CHECK(installation.RunUntilAllRun().count() < kCalm.count());
  cluster.Run(seconds(20));
  RequireNoViolations(&cluster);
}

TEST_CASE("a data centre that is lost with its hosts makes no long-running task late",
          "[emulator][lost_together]") {
  ThreeDataCentres installation;
  SimulatedCluster& cluster = installation.cluster;
  const std::string owner = cluster.OwnerOf("all");
  const std::string data_centre = owner.substr(0, owner.find('-'));
  for (const std::string& target : installation.TargetsOf(data_centre)) {
    installation.LoseTarget(target);
  }
  for (const std::string& host : cluster.hosts()) {
    if (host.rfind(data_centre, 0) == 0) {
      cluster.KillHost(host);
    }
  }
  cluster.Run(kHostDown);
  CHECK(installation.RunUntilAllRun().count() < kCalm.count());
  RequireNoViolations(&cluster);
}

// The second owner is killed before it can write what it knows of the lost targets.
TEST_CASE("a second owner that is lost during the wait makes no long-running task late",
          "[emulator][lost_together]") {
  ThreeDataCentres installation;
  SimulatedCluster& cluster = installation.cluster;
  installation.LoseTarget("north-target-0");
  const std::string first = installation.KillOwner();
  while (cluster.OwnerOf("all").empty() || cluster.OwnerOf("all") == first) {
    cluster.Run(milliseconds(50));
  }
  cluster.Run(GENERATE(milliseconds(50), milliseconds(1000), milliseconds(4000)));
  installation.KillOwner();
  cluster.Run(kHostDown);
  StartMissingHosts(&cluster);
  CHECK(installation.RunUntilAllRun().count() < kCalm.count());
  cluster.Run(seconds(20));
  RequireNoViolations(&cluster);
}

// The owner is alive and cut off, with a part of the targets that the next owner does not reach. It
// extends their leases as long as it may, and no task may run twice.
TEST_CASE("an owner that is cut off with some of the targets causes no double run",
          "[emulator][lost_together]") {
  std::size_t with_owner_kept = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    ThreeDataCentres installation(seed);
    SimulatedCluster& cluster = installation.cluster;
    RandomSource random(seed);
    const std::string owner = cluster.OwnerOf("all");
    const double owner_share = Fraction(&random);
    const double overlap = Fraction(&random) < 0.5 ? 0.0 : 0.3;
    for (const std::string& target : cluster.targets()) {
      const bool with_owner = Fraction(&random) < owner_share;
      const bool with_both = Fraction(&random) < overlap;
      for (const std::string& host : cluster.hosts()) {
        if (!with_both && (host == owner) != with_owner) {
          cluster.order_faults.unreachable_pairs.insert({host, target});
        }
      }
    }
    const bool store_first = Fraction(&random) < 0.5;
    if (store_first) {
      cluster.store_faults.disconnected_hosts.insert(owner);
    } else {
      cluster.store.RemoveKeysOnLeaseOf(store_keys::Owner(CellId("all")));
      cluster.Run(milliseconds(static_cast<int>(200 * Fraction(&random))));
      cluster.store_faults.disconnected_hosts.insert(owner);
    }
    if (Fraction(&random) < 0.3) {
      cluster.Run(milliseconds(static_cast<int>(3000 * Fraction(&random))));
      cluster.FreezeHost(owner);
      cluster.Run(milliseconds(static_cast<int>(6000 * Fraction(&random))));
      cluster.ResumeHost(owner, Fraction(&random) < 0.5);
    }
    cluster.Run(milliseconds(9000));
    with_owner_kept += installation.CountRuns() == ThreeDataCentres::kTasks ? 1 : 0;
    cluster.Run(seconds(12));
    cluster.store_faults = StoreFaults{};
    cluster.order_faults = OrderFaults{};
    cluster.Run(seconds(20));
    CAPTURE(seed);
    RequireNoViolations(&cluster);
  }
  CHECK(with_owner_kept > 0);
}

// Nobody can succeed the owner while no host reaches the store. All runs outlast a long outage.
TEST_CASE("a store outage of 9 s ends no run, also if a target and a host are lost in it",
          "[emulator][lost_together]") {
  ThreeDataCentres installation;
  SimulatedCluster& cluster = installation.cluster;
  cluster.store_faults.down = true;
  cluster.store_faults.leases_pause = GENERATE(false, true);
  cluster.Run(seconds(1));
  installation.LoseTarget("north-target-0");
  const std::string owner = cluster.OwnerOf("all");
  cluster.KillHost(owner == "north-host-0" ? "south-host-0" : "north-host-0");
  for (int step = 0; step < 80; ++step) {
    cluster.Run(milliseconds(100));
    REQUIRE(installation.CountRuns() >= ThreeDataCentres::kTasks - 3);
  }
  const std::size_t runs = installation.CountRuns();
  cluster.store_faults = StoreFaults{};
  cluster.Run(seconds(3));
  CHECK(installation.CountRuns() >= runs);
  cluster.Run(seconds(20));
  RequireNoViolations(&cluster);
}

}  // namespace
}  // namespace pistachio::emulator
