#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest time that a run may go on after the acknowledged cancel of its submission.
constexpr milliseconds kBound(3900);
const SubmissionId kId("0000000000000001");

/// Executes a long-running task on each of the four targets of a data centre.
class LongRunning {
 public:
  /// \param time simulated time after the submission
  explicit LongRunning(const SimulatedClusterSettings& settings = {}, Duration time = seconds(6))
      : cluster(settings) {
    this->cluster.Run(seconds(2));
    SubmissionSpec spec = MakeSubmission(1, 4, seconds(30));
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_target = 1;
    this->cluster.Submit("north-host-0", kId, spec);
    this->cluster.Run(time);
    REQUIRE((time < seconds(6) || this->cluster.checker().RunningTasks(kId) > 0));
  }

  /// Cancels at \a host and returns as soon as the cancel is acknowledged.
  void CancelAt(const std::string& host) {
    constexpr int kMaxTicks = 500;
    for (int tick = 0; this->cluster.answers().count(Outcome::kCancelled) == 0; ++tick) {
      REQUIRE(tick < kMaxTicks);
      if (tick % 100 == 0) {
        this->cluster.Cancel(host, kId);
      }
      this->cluster.Run(milliseconds(10));
    }
  }

  /// Kills hosts, and starts them again after \a downtime.
  void KillForAWhile(const std::vector<std::string>& hosts, milliseconds downtime) {
    for (const std::string& host : hosts) {
      this->cluster.KillHost(host);
    }
    this->cluster.Run(downtime);
    for (const std::string& host : hosts) {
      this->cluster.StartHost(host);
    }
  }

  void RequireGone() {
    this->cluster.Run(seconds(30));
    REQUIRE(this->cluster.checker().RunningTasks(kId) == 0);
    RequireNoViolations(&this->cluster);
  }

  SimulatedCluster cluster;
};

TEST_CASE("the checker reports a run that goes on after an acknowledged cancel once",
          "[emulator][cancelled_runs]") {
  const TaskKey task{kId, 0, 0, 0};
  const TimePoint start(seconds(10));
  const bool late = GENERATE(false, true);
  RuleChecker checker;
  const SubmissionSpec spec = MakeSubmission(1, 1, seconds(30));
  checker.OnSubmit(kId, spec, 1);
  checker.OnCancelAcknowledged(kId, start);
  checker.OnStart(task, 1, "target", spec.payload, "", false, true, start);
  TimePoint bound = start + kBound;
  if (late) {
    checker.OnLateStart(task, 1, "target", start);
    bound += seconds(3);
  }
  checker.CheckCancelledRuns(start, bound);
  checker.CheckCancelledRuns(bound + milliseconds(10) - kBound, bound + milliseconds(10));
  REQUIRE(checker.violations().empty());
  checker.CheckCancelledRuns(start, bound + milliseconds(10));
  checker.CheckCancelledRuns(start, bound + milliseconds(20));
  REQUIRE(checker.violations().size() == 1);
}

TEST_CASE("a run that no host stops after an acknowledged cancel breaks a rule",
          "[emulator][cancelled_runs]") {
  LongRunning running;
  SimulatedCluster& cluster = running.cluster;
  cluster.checker().OnCancelAcknowledged(kId, cluster.now());
  SECTION("without a fault") {}
  SECTION("beside a cut connection") {
    cluster.Run(seconds(2));
    cluster.order_faults.unreachable_pairs.insert({"north-host-0", "south-target-0"});
    cluster.Run(milliseconds(500));
    cluster.order_faults.unreachable_pairs.clear();
  }
  SECTION("beside a target without a registration") {
    cluster.Run(seconds(2));
    cluster.DeregisterTarget("south-target-0");
    cluster.Run(milliseconds(500));
    cluster.RegisterTarget("south-target-0");
  }
  SECTION("beside a host that stops") {
    cluster.Run(seconds(2));
    cluster.StopHostGracefully("south-host-0");
    cluster.Run(milliseconds(500));
    cluster.KillHost("south-host-0");
    cluster.StartHost("south-host-0");
  }
  cluster.Run(kBound);
  REQUIRE(cluster.checker().violations().empty());
  cluster.Run(milliseconds(20));
  REQUIRE(cluster.checker().violations().size() == cluster.checker().RunningTasks(kId));
}

TEST_CASE("a drain does not extend the time of a run after its acknowledged cancel",
          "[emulator][cancelled_runs]") {
  LongRunning running;
  running.cluster.checker().OnCancelAcknowledged(kId, running.cluster.now());
  running.cluster.DrainTarget("south-target-0", milliseconds(2500));
  running.cluster.Run(kBound + milliseconds(20));
  REQUIRE_FALSE(running.cluster.checker().violations().empty());
}

TEST_CASE("a plain cancel ends all runs in time", "[emulator][cancelled_runs]") {
  LongRunning running;
  running.cluster.Cancel("south-host-0", kId);
  running.cluster.Run(kBound + seconds(1));
  REQUIRE(running.cluster.checker().RunningTasks(kId) == 0);
  RequireNoViolations(&running.cluster);
}

TEST_CASE("a cancel is in force although the host that acknowledged it is killed at once",
          "[emulator][cancelled_runs]") {
  const milliseconds downtime = GENERATE(milliseconds(0), milliseconds(1000), milliseconds(5000));
  for (const std::string host : {"north-host-0", "north-host-1", "south-host-0", "south-host-1"}) {
    CAPTURE(downtime.count(), host);
    LongRunning running;
    running.CancelAt(host);
    running.KillForAWhile({host}, downtime);
    running.RequireGone();
  }
}

TEST_CASE("a cancel is in force although all hosts are killed after its acknowledgement",
          "[emulator][cancelled_runs]") {
  const milliseconds downtime = GENERATE(milliseconds(0), milliseconds(1000), milliseconds(5000));
  for (const int pause : {0, 10, 50, 100, 200, 300, 600}) {
    CAPTURE(downtime.count(), pause);
    LongRunning running;
    running.CancelAt("north-host-0");
    running.cluster.Run(milliseconds(pause));
    running.KillForAWhile(running.cluster.hosts(), downtime);
    running.RequireGone();
  }
}

TEST_CASE("a cancel during a takeover is in force", "[emulator][cancelled_runs]") {
  const milliseconds downtime = GENERATE(milliseconds(100), milliseconds(1000));
  for (milliseconds pause(0); pause < seconds(9); pause += milliseconds(300)) {
    CAPTURE(downtime.count(), pause.count());
    LongRunning running;
    const std::string owner = running.cluster.OwnerOf("north");
    const std::string other = owner == "south-host-0" ? "south-host-1" : "south-host-0";
    running.KillForAWhile({owner}, downtime);
    running.cluster.Run(pause);
    running.CancelAt(other);
    running.RequireGone();
  }
}

}  // namespace
}  // namespace pistachio::emulator
