#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SubmissionId kLongRunning("00000000000000aa");
constexpr std::uint32_t kLongRunningTasks = 7;
/// Time for which a long-running task may be without a run.
constexpr Duration kMaxTimeWithoutRun = seconds(6);

/// One cell of 8 targets of 16 cores. A long-running task runs on each of 7 of them, and short
/// tasks keep the free cores of all targets busy.
class FullCell {
 public:
  /// \param cpu_millis processors that each long-running task needs
  /// \param max_per_target long-running tasks that a target may run; 0 for no limit
  explicit FullCell(std::int64_t cpu_millis = 10000, std::uint32_t max_per_target = 0)
      : cluster(OneCell()) {
    this->cluster.Run(seconds(2));
    SubmissionSpec spec = MakeSubmission(1, kLongRunningTasks, seconds(1));
    spec.steps[0].need = Resources{cpu_millis, 1000, 0};
    spec.steps[0].max_per_target = max_per_target;
    spec.steps[0].long_running = true;
    spec.steps[0].tail_bound = milliseconds(50);
    this->cluster.Submit("north-host-0", kLongRunning, spec);
    this->cluster.Run(seconds(1));
    this->Flood(seconds(3));
    REQUIRE(this->TargetsWithRun().size() == kLongRunningTasks);
  }

  /// Submits short tasks for \a time and measures how long a long-running task lacks a run.
  void Flood(Duration time) {
    constexpr Duration kPause = milliseconds(100);
    for (Duration elapsed{0}; elapsed < time; elapsed += kPause) {
      const std::string number = std::to_string(this->next_submission++);
      this->cluster.Submit("north-host-1",
                           SubmissionId(std::string(16 - number.size(), '0') + number),
                           MakeSubmission(1, 10, milliseconds(700)));
      this->cluster.Run(kPause);
      const bool complete = this->TargetsWithRun().size() == kLongRunningTasks;
      this->time_without_run = complete ? Duration{0} : this->time_without_run + kPause;
      this->longest_without_run = std::max(this->longest_without_run, this->time_without_run);
    }
  }

  /// \returns the targets on which a long-running task runs.
  std::vector<std::string> TargetsWithRun() {
    std::vector<std::string> found;
    for (const std::string& target : this->cluster.targets()) {
      if (this->cluster.target(target).HasRunOf(kLongRunning)) {
        found.push_back(target);
      }
    }
    return found;
  }

  SimulatedCluster cluster;
  Duration longest_without_run{0};

 private:
  static SimulatedClusterSettings OneCell() {
    SimulatedClusterSettings settings;
    settings.layout = CellLayout::kOneCell;
    return settings;
  }

  Duration time_without_run{0};
  int next_submission = 1;
};

TEST_CASE("long-running tasks leave a draining target of a full cell before it exits",
          "[emulator][draining]") {
  FullCell cell;
  const std::string target = cell.TargetsWithRun().front();
  cell.cluster.DrainTarget(target, seconds(7));
  cell.Flood(seconds(6));
  CHECK_FALSE(cell.cluster.target(target).HasRunOf(kLongRunning));
  CHECK(cell.TargetsWithRun().size() == kLongRunningTasks);
  cell.Flood(seconds(14));
  CHECK(cell.longest_without_run.count() < kMaxTimeWithoutRun.count());
  cell.cluster.Run(seconds(20));
  RequireNoViolations(&cell.cluster);
}

TEST_CASE("resources for a task that leaves a draining target are kept where its step may run",
          "[emulator][draining]") {
  FullCell cell(6000, 1);
  const std::string target = cell.TargetsWithRun().front();
  cell.cluster.DrainTarget(target, seconds(7));
  cell.Flood(seconds(6));
  CHECK_FALSE(cell.cluster.target(target).HasRunOf(kLongRunning));
  CHECK(cell.TargetsWithRun().size() == kLongRunningTasks);
  cell.cluster.Run(seconds(20));
  RequireNoViolations(&cell.cluster);
}

TEST_CASE("a long-running task whose target exits after a short drain runs again in time",
          "[emulator][draining]") {
  FullCell cell;
  cell.cluster.DrainTarget(cell.TargetsWithRun().front(), seconds(2));
  cell.Flood(seconds(20));
  CHECK(cell.longest_without_run.count() < kMaxTimeWithoutRun.count());
  cell.cluster.Run(seconds(20));
  RequireNoViolations(&cell.cluster);
}

TEST_CASE("a long-running task of a crashed target runs again soon after its lease in a full cell",
          "[emulator][draining]") {
  // After 6 s without a run, the task may wait for 3 s more.
  constexpr Duration kLimit = kMaxTimeWithoutRun + seconds(3);
  FullCell cell;
  const std::string target = cell.TargetsWithRun().front();
  cell.cluster.CrashTarget(target);
  cell.cluster.DeregisterTarget(target);
  cell.Flood(seconds(20));
  CHECK(cell.longest_without_run.count() < kLimit.count());
  cell.cluster.Run(seconds(20));
  RequireNoViolations(&cell.cluster);
}

}  // namespace
}  // namespace pistachio::emulator
