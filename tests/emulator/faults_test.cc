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

/// Makes one submission per \a pause, to the hosts in turn, for \a time of simulated time. Ids
/// count up from \a first; the size of a submission depends on its id.
void SubmitLoad(SimulatedCluster* cluster, int first, Duration time, Duration pause) {
  const std::vector<std::string> hosts = cluster->hosts();
  int number = first;
  for (Duration elapsed{0}; elapsed < time; elapsed += pause) {
    const std::uint32_t width = 1 + static_cast<std::uint32_t>(number % 4);
    cluster->Submit(hosts[static_cast<std::size_t>(number) % hosts.size()], IdOf(number),
                    MakeSubmission(1 + static_cast<std::uint32_t>(number % 2), width,
                                   milliseconds(400 + 100 * (number % 5))));
    cluster->Run(pause);
    number++;
  }
}

TEST_CASE("a cluster without faults completes what it accepts", "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(10), milliseconds(100));
  cluster.Run(seconds(10));
  RequireNoViolations(&cluster);
  REQUIRE(cluster.checker().accepted() == 100);
  REQUIRE(cluster.checker().completed() == 100);
}

TEST_CASE("one cell for all data centres fails over without violations", "[emulator]") {
  SimulatedClusterSettings settings;
  settings.layout = CellLayout::kOneCell;
  RunningCluster cluster(settings);
  SubmitLoad(&cluster, 1, seconds(3), milliseconds(100));
  cluster.KillHost(cluster.OwnerOf("all"));
  SubmitLoad(&cluster, 100, seconds(5), milliseconds(100));
  REQUIRE_FALSE(cluster.OwnerOf("all").empty());
  cluster.Run(seconds(12));
  RequireNoViolations(&cluster);
  REQUIRE(cluster.checker().completed() == cluster.checker().accepted());
}

TEST_CASE("another host takes over the cell of a killed owner", "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(3), milliseconds(100));
  const std::string owner = cluster.OwnerOf("north");
  cluster.KillHost(owner);
  SubmitLoad(&cluster, 100, seconds(5), milliseconds(100));
  REQUIRE(cluster.OwnerOf("north") != owner);
  cluster.StartHost(owner);
  cluster.Run(seconds(12));
  RequireNoViolations(&cluster);
}

TEST_CASE("submissions complete after all hosts are killed and restarted", "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(4), milliseconds(100));
  for (const std::string& host : cluster.hosts()) {
    cluster.KillHost(host);
  }
  cluster.Run(seconds(1));
  for (const std::string& host : cluster.hosts()) {
    cluster.StartHost(host);
  }
  cluster.Run(seconds(2));
  SubmitLoad(&cluster, 100, seconds(2), milliseconds(100));
  cluster.Run(seconds(15));
  RequireNoViolations(&cluster);
  REQUIRE(cluster.checker().completed() == cluster.checker().accepted());
}

TEST_CASE("a frozen owner that resumes starts nothing with its old fencing token", "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(2), milliseconds(100));
  const std::string owner = cluster.OwnerOf("north");
  cluster.FreezeHost(owner);
  SubmitLoad(&cluster, 100, seconds(5), milliseconds(100));
  cluster.ResumeHost(owner);
  SubmitLoad(&cluster, 200, seconds(2), milliseconds(100));
  cluster.Run(seconds(15));
  RequireNoViolations(&cluster);
}

TEST_CASE("orders executed seconds late cause no double run", "[emulator]") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SimulatedClusterSettings settings;
    settings.seed = seed;
    RunningCluster cluster(settings);
    cluster.order_faults.late_probability = 0.1;
    SubmitLoad(&cluster, 1, seconds(6), milliseconds(100));
    cluster.KillHost(cluster.OwnerOf("north"));
    SubmitLoad(&cluster, 100, seconds(6), milliseconds(100));
    cluster.order_faults.late_probability = 0.0;
    cluster.Run(seconds(25));
    RequireNoViolations(&cluster);
  }
}

TEST_CASE("lost store answers and late store writes lose no submission", "[emulator]") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SimulatedClusterSettings settings;
    settings.seed = seed;
    RunningCluster cluster(settings);
    cluster.store_faults.lost_answer_probability = 0.3;
    SubmitLoad(&cluster, 1, seconds(4), milliseconds(100));
    cluster.store_faults.lost_answer_probability = 0.0;
    cluster.store_faults.late_write_probability = 0.3;
    SubmitLoad(&cluster, 100, seconds(4), milliseconds(100));
    cluster.store_faults.late_write_probability = 0.0;
    cluster.Run(seconds(20));
    RequireNoViolations(&cluster);
  }
}

TEST_CASE("a store outage stops no running task", "[emulator]") {
  for (const bool leases_pause : {true, false}) {
    RunningCluster cluster;
    SubmitLoad(&cluster, 1, seconds(2), milliseconds(100));
    cluster.store_faults.down = true;
    cluster.store_faults.leases_pause = leases_pause;
    SubmitLoad(&cluster, 100, seconds(5), milliseconds(100));
    cluster.store_faults.down = false;
    cluster.Run(seconds(15));
    RequireNoViolations(&cluster);
    REQUIRE(cluster.checker().completed() == cluster.checker().accepted());
  }
}

// Guards against a retry storm: during a store outage all callers submit and retry a few times. A
// caller whose answer promises nothing comes back within tenths of a second whatever it is advised,
// so its submission waits for the store for most of the time that it waits for the answer.
TEST_CASE("during a store outage submissions wait, and callers are told growing retry delays",
          "[emulator]") {
  RunningCluster cluster;
  cluster.store_faults.down = true;
  cluster.Run(seconds(1));
  std::vector<seconds> retry_delays;
  for (int number = 1; number <= 3; ++number) {
    const TimePoint submitted_at = cluster.now();
    cluster.Submit(cluster.hosts()[0], IdOf(number), MakeSubmission(1, 1, milliseconds(300)),
                   [&](const CallerAnswer& answer) {
                     REQUIRE(answer.outcome == Outcome::kInDoubt);
                     REQUIRE(cluster.now() - submitted_at >= milliseconds(2000));
                     REQUIRE(cluster.now() - submitted_at <= milliseconds(2200));
                     retry_delays.push_back(*answer.retry_after);
                   });
    cluster.Run(seconds(3));
  }
  REQUIRE(retry_delays.size() == 3);
  REQUIRE(retry_delays[0] < retry_delays[2]);
  REQUIRE(retry_delays[2] <= seconds(4));
  cluster.store_faults.down = false;
  cluster.Run(seconds(5));
  RequireNoViolations(&cluster);
}

TEST_CASE("a retry after an in-doubt answer is not rejected while the first attempt may run",
          "[emulator]") {
  // A retry in a short outage waits for its end; one in a long outage is answered during it.
  const auto [rest_of_outage, retry_outcome] =
      GENERATE(std::make_pair(seconds(1), Outcome::kAccepted),
               std::make_pair(seconds(4), Outcome::kInDoubt));
  CAPTURE(rest_of_outage.count());
  RunningCluster cluster;
  const std::string host = cluster.hosts()[0];
  std::vector<Outcome> outcomes;
  const auto submit = [&] {
    cluster.Submit(host, IdOf(1), MakeSubmission(1, 1, milliseconds(300)),
                   [&](const CallerAnswer& answer) { outcomes.push_back(answer.outcome); });
  };
  cluster.store_faults.lost_answer_probability = 1.0;
  submit();
  cluster.Run(milliseconds(100));
  cluster.store_faults.lost_answer_probability = 0.0;
  cluster.store_faults.down = true;
  cluster.Run(seconds(2));
  submit();
  cluster.Run(rest_of_outage);
  cluster.store_faults.down = false;
  cluster.Run(seconds(4));
  REQUIRE(outcomes == std::vector<Outcome>{Outcome::kInDoubt, retry_outcome});
  RequireNoViolations(&cluster);
  REQUIRE(cluster.checker().starts() == 1);
}

TEST_CASE("an owner that loses its keys without notice is replaced without a double run",
          "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(2), milliseconds(100));
  const std::string owner = cluster.OwnerOf("north");
  cluster.store_faults.disconnected_hosts.insert(owner);
  cluster.store.RemoveKeysOnLeaseOf(store_keys::Owner(CellId("north")));
  SubmitLoad(&cluster, 100, seconds(6), milliseconds(100));
  REQUIRE(cluster.OwnerOf("north") != owner);
  cluster.store_faults.disconnected_hosts.clear();
  cluster.Run(seconds(15));
  RequireNoViolations(&cluster);
}

TEST_CASE("crashed, restarted and unreachable targets lose no task and run none twice",
          "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(2), milliseconds(100));
  cluster.CrashTarget("north-target-0");
  cluster.DeregisterTarget("north-target-0");
  for (const std::string& host : cluster.hosts()) {
    cluster.order_faults.unreachable_pairs.insert({host, "north-target-1"});
  }
  SubmitLoad(&cluster, 100, seconds(5), milliseconds(100));
  cluster.RestartTarget("north-target-0");
  cluster.order_faults.unreachable_pairs.clear();
  cluster.RestartTarget("south-target-2");
  SubmitLoad(&cluster, 200, seconds(3), milliseconds(100));
  cluster.Run(seconds(15));
  RequireNoViolations(&cluster);
  REQUIRE(cluster.checker().completed() == cluster.checker().accepted());
}

TEST_CASE("runs of a permanently lost target start elsewhere after their hold has lapsed",
          "[emulator]") {
  RunningCluster cluster;
  SubmissionSpec long_running_submission = MakeSubmission(1, 8, seconds(1));
  long_running_submission.steps[0].long_running = true;
  for (int number = 1; number <= 4; ++number) {
    cluster.Submit(cluster.hosts()[0], IdOf(number), long_running_submission);
  }
  cluster.Run(seconds(2));
  const auto runs = [&cluster] {
    std::size_t count = 0;
    for (const std::string& target : cluster.targets()) {
      count += cluster.target(target).runs();
    }
    return count;
  };
  REQUIRE(runs() == 32);
  for (const std::string& target : cluster.targets()) {
    if (cluster.target(target).runs() > 0) {
      cluster.CrashTarget(target);
      cluster.DeregisterTarget(target);
      break;
    }
  }
  REQUIRE(runs() < 32);
  cluster.Run(seconds(10));
  REQUIRE(runs() == 32);
  RequireNoViolations(&cluster);
}

TEST_CASE(
    "a new owner starts runs of an unreachable target elsewhere only after its hold has lapsed",
    "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(3), milliseconds(60));
  const std::string owner = cluster.OwnerOf("north");
  for (const std::string& host : cluster.hosts()) {
    if (host != owner) {
      cluster.order_faults.unreachable_pairs.insert({host, "north-target-1"});
    }
  }
  cluster.store_faults.disconnected_hosts.insert(owner);
  SubmitLoad(&cluster, 100, seconds(8), milliseconds(100));
  cluster.store_faults.disconnected_hosts.clear();
  cluster.order_faults.unreachable_pairs.clear();
  cluster.Run(seconds(25));
  RequireNoViolations(&cluster);
}

TEST_CASE("a start that reaches a restarted target with the same id runs once", "[emulator]") {
  for (int restart_delay = 0; restart_delay < 30; ++restart_delay) {
    RunningCluster cluster;
    for (int number = 1; number <= 6; ++number) {
      cluster.Submit(cluster.hosts()[0], IdOf(number), MakeSubmission(2, 6, milliseconds(700)));
    }
    cluster.Run(milliseconds(10 * restart_delay));
    for (const std::string& target : cluster.targets()) {
      cluster.RestartTarget(target);
    }
    cluster.Run(seconds(12));
    CAPTURE(restart_delay);
    RequireNoViolations(&cluster);
    REQUIRE(cluster.checker().completed() == 6);
  }
}

TEST_CASE("a new owner keeps extending the hold of a deregistered target", "[emulator]") {
  RunningCluster cluster;
  for (int number = 1; number <= 8; ++number) {
    cluster.Submit("north-host-0", IdOf(number), MakeSubmission(1, 2, seconds(9)));
  }
  cluster.Run(seconds(1));
  for (const std::string& target : cluster.targets()) {
    cluster.DeregisterTarget(target);
  }
  cluster.Run(milliseconds(200));
  cluster.KillHost(cluster.OwnerOf("north"));
  cluster.Run(seconds(14));
  RequireNoViolations(&cluster);
  REQUIRE(cluster.checker().completed() == 8);
  REQUIRE(cluster.checker().starts() == 16);
}

// Guards against starvation under a steady stream of urgent short tasks in a nearly full cluster.
TEST_CASE("a long-running task that lost its target restarts soon under a flood of short tasks",
          "[emulator]") {
  SimulatedClusterSettings settings;
  settings.layout = CellLayout::kOneCell;
  RunningCluster cluster(settings);
  SubmissionSpec long_running_submission = MakeSubmission(1, 8, seconds(1));
  long_running_submission.steps[0].need = Resources{10000, 1000, 0};
  long_running_submission.steps[0].long_running = true;
  long_running_submission.steps[0].tail_bound = milliseconds(50);
  cluster.Submit("north-host-0", IdOf(1), long_running_submission);
  cluster.Run(seconds(1));
  int number = 100;
  const auto flood = [&](Duration time) {
    for (Duration elapsed{0}; elapsed < time; elapsed += milliseconds(100)) {
      cluster.Submit("north-host-1", IdOf(number++), MakeSubmission(1, 10, milliseconds(600)));
      cluster.Run(milliseconds(100));
    }
  };
  flood(seconds(3));
  cluster.RestartTarget("north-target-0");
  flood(seconds(5));
  std::size_t targets_with_run = 0;
  for (const std::string& target : cluster.targets()) {
    targets_with_run += cluster.target(target).HasRunOf(IdOf(1)) ? 1 : 0;
  }
  REQUIRE(targets_with_run == 8);
  cluster.Run(seconds(15));
  RequireNoViolations(&cluster);
}

TEST_CASE("a draining target gets no new runs and its tasks continue elsewhere", "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(2), milliseconds(100));
  cluster.DrainTarget("north-target-0", milliseconds(3000));
  SubmitLoad(&cluster, 100, seconds(5), milliseconds(100));
  cluster.Run(seconds(10));
  RequireNoViolations(&cluster);
  REQUIRE(cluster.checker().completed() == cluster.checker().accepted());
}

TEST_CASE("a cancelled submission ends, also when the owner changes at the same time",
          "[emulator]") {
  RunningCluster cluster;
  const std::vector<std::string> hosts = cluster.hosts();
  for (int number = 1; number <= 20; ++number) {
    cluster.Submit(hosts[number % hosts.size()], IdOf(number), MakeSubmission(2, 3, seconds(3)));
  }
  cluster.Run(seconds(1));
  cluster.KillHost(cluster.OwnerOf("north"));
  for (int number = 1; number <= 20; ++number) {
    for (const std::string& host : cluster.hosts()) {
      cluster.Cancel(host, IdOf(number));
    }
  }
  cluster.Run(seconds(8));
  std::size_t runs = 0;
  for (const std::string& target : cluster.targets()) {
    runs += cluster.target(target).runs();
  }
  REQUIRE(runs == 0);
  RequireNoViolations(&cluster);
}

TEST_CASE("a submission whose tasks always fail ends as failed after its last attempt",
          "[emulator]") {
  RunningCluster cluster;
  FakeTarget::Workload workload;
  workload.fails = true;
  workload.length = milliseconds(200);
  cluster.SetWorkload(IdOf(1), workload);
  cluster.Submit(cluster.hosts()[0], IdOf(1), MakeSubmission(1, 2, milliseconds(200)));
  cluster.Run(seconds(10));
  cluster.QueryState(cluster.hosts()[1], IdOf(1));
  cluster.Run(seconds(1));
  RequireNoViolations(&cluster);
  const std::string owner = cluster.OwnerOf("north");
  const Node* node = cluster.node(owner);
  REQUIRE(node->cell_ownerships().at(CellId("north")).cell()->submissions().at(IdOf(1)).State() ==
          SubmissionState::kFailed);
}

TEST_CASE("a target that fails or stalls all its runs does not block submissions", "[emulator]") {
  SimulatedClusterSettings settings;
  settings.max_attempts = 4;
  RunningCluster cluster(settings);
  cluster.target("north-target-0").faults.fails_all = true;
  cluster.target("south-target-0").faults.stalls_all = true;
  SubmitLoad(&cluster, 1, seconds(5), milliseconds(100));
  cluster.target("north-target-0").faults.fails_all = false;
  cluster.target("south-target-0").faults.stalls_all = false;
  cluster.Run(seconds(15));
  RequireNoViolations(&cluster);
}

TEST_CASE("a host that stops gracefully releases its cells at once", "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(2), milliseconds(100));
  const std::string owner = cluster.OwnerOf("north");
  cluster.StopHostGracefully(owner);
  cluster.Run(milliseconds(1200));
  REQUIRE(cluster.OwnerOf("north") != owner);
  REQUIRE_FALSE(cluster.OwnerOf("north").empty());
  SubmitLoad(&cluster, 100, seconds(2), milliseconds(100));
  cluster.Run(seconds(10));
  RequireNoViolations(&cluster);
}

// A host that stopped refused submissions whose write the store carried out.
TEST_CASE("a host that stops refuses no submission that it may have stored", "[emulator]") {
  // Only the oldest write is answered before the requests end.
  const milliseconds write_age = GENERATE(milliseconds(0), milliseconds(60), milliseconds(300));
  CAPTURE(write_age.count());
  RunningCluster cluster;
  cluster.store_faults.extra_latency = milliseconds(580);
  const std::string host = "north-host-0";
  std::vector<Outcome> outcomes;
  const auto submit = [&](const std::string& id) {
    cluster.Submit(host, SubmissionId(id), MakeSubmission(1, 2, milliseconds(300)),
                   [&outcomes](const CallerAnswer& answer) { outcomes.push_back(answer.outcome); });
  };
  submit("00000000000000a1");
  cluster.Run(write_age);
  cluster.StopHostGracefully(host);
  cluster.EndRequests(host, milliseconds(500));
  submit("00000000000000a2");
  REQUIRE(outcomes == std::vector<Outcome>{Outcome::kInDoubt});
  cluster.Run(milliseconds(520));
  REQUIRE(outcomes.size() == 2);
  REQUIRE(outcomes.back() ==
          (write_age == milliseconds(300) ? Outcome::kAccepted : Outcome::kInDoubt));
  REQUIRE_FALSE(cluster.node(host)->HasOpenRequests());
  cluster.store_faults = StoreFaults{};
  cluster.Run(seconds(10));
  // The store had carried the first write out.
  REQUIRE(cluster.checker().starts() == 2);
  RequireNoViolations(&cluster);
}

TEST_CASE("hosts read the configuration again after the store compacts its history", "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(2), milliseconds(100));
  cluster.PutConfiguration("queue", "/queue/");
  cluster.store.Compact();
  SubmitLoad(&cluster, 100, seconds(2), milliseconds(100));
  cluster.Run(seconds(10));
  for (const std::string& host : cluster.hosts()) {
    // The cluster starts with version 3, and PutConfiguration() adds 3.
    REQUIRE(cluster.node(host)->configuration_version() == 6);
  }
  RequireNoViolations(&cluster);
}

TEST_CASE("another data centre owns the cell of one without hosts and returns it later",
          "[emulator]") {
  RunningCluster cluster;
  SubmitLoad(&cluster, 1, seconds(2), milliseconds(100));
  cluster.KillHost("north-host-0");
  cluster.KillHost("north-host-1");
  SubmitLoad(&cluster, 101, seconds(8), milliseconds(100));
  REQUIRE(cluster.OwnerOf("north").find("south") == 0);
  cluster.StartHost("north-host-0");
  cluster.StartHost("north-host-1");
  cluster.Run(seconds(8));
  REQUIRE(cluster.OwnerOf("north").find("north") == 0);
  cluster.Run(seconds(10));
  RequireNoViolations(&cluster);
}

}  // namespace
}  // namespace pistachio::emulator
