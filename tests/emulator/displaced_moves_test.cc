#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"
#include "tests/emulator/cluster_faults.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWidth = 12;
/// Longest time that a long-running task may be without a run while the installation has room.
constexpr Duration kMaxTimeWithoutRun = seconds(6) + seconds(3);

/// \returns a submission of `kWidth` long-running tasks with one core each.
SubmissionSpec WideLongRunning() {
  SubmissionSpec spec = MakeSubmission(1, kWidth, seconds(1));
  spec.steps[0].need.cpu_millis = 1000;
  spec.steps[0].long_running = true;
  return spec;
}

/// Two data centres of eight targets with 16 cores each, which are two thirds full.
class LoadedCluster {
 public:
  explicit LoadedCluster(const SubmissionSpec& spec = WideLongRunning()) : cluster(Settings()) {
    constexpr std::size_t kSubmissions = 14;
    this->cluster.Run(seconds(2));
    const std::vector<std::string> hosts = this->cluster.hosts();
    for (std::size_t number = 0; number < kSubmissions; ++number) {
      const std::string digits = std::to_string(number + 1);
      this->all_ids.emplace_back(std::string(16 - digits.size(), '0') + digits);
      this->cluster.Submit(hosts[number % hosts.size()], this->all_ids.back(), spec);
      this->cluster.Run(milliseconds(600));
    }
    this->cluster.Run(seconds(4));
    for (const SubmissionId& id : this->all_ids) {
      REQUIRE(this->cluster.checker().RunningTasks(id) == kWidth);
    }
  }

  SimulatedCluster& operator*() { return this->cluster; }
  SimulatedCluster* operator->() { return &this->cluster; }
  const std::vector<SubmissionId>& ids() const { return this->all_ids; }

  /// \returns the first \a count targets of `north`.
  std::vector<std::string> NorthTargets(std::size_t count) const {
    std::vector<std::string> north;
    for (const std::string& target : this->cluster.targets()) {
      if (target.find("north") == 0 && north.size() < count) {
        north.push_back(target);
      }
    }
    return north;
  }

  /// Crashes targets of `north` for good.
  void LoseNorthTargets(std::size_t count) {
    for (const std::string& target : this->NorthTargets(count)) {
      this->cluster.CrashTarget(target);
      this->cluster.DeregisterTarget(target);
    }
  }

  /// Advances the simulation.
  /// \returns the longest time for which a submission had fewer runs than tasks.
  Duration RunAndMeasure(Duration time) {
    constexpr Duration kStep = milliseconds(20);
    std::map<SubmissionId, TimePoint> incomplete_since;
    Duration longest{0};
    for (Duration passed{0}; passed < time; passed += kStep) {
      this->cluster.Run(kStep);
      for (const SubmissionId& id : this->all_ids) {
        if (this->cluster.checker().RunningTasks(id) == kWidth) {
          incomplete_since.erase(id);
          continue;
        }
        const auto since = incomplete_since.emplace(id, this->cluster.now()).first;
        longest = std::max(longest, this->cluster.now() - since->second);
      }
    }
    return longest;
  }

 private:
  static SimulatedClusterSettings Settings() {
    SimulatedClusterSettings settings;
    settings.targets_per_data_centre = 8;
    return settings;
  }

  SimulatedCluster cluster;
  std::vector<SubmissionId> all_ids;
};

// Load pattern: a third of a data centre's targets are gone, so its cell cannot hold its
// long-running work, while the other cell can.
TEST_CASE("long-running tasks that lost their targets run in another cell",
          "[emulator][displaced]") {
  const std::size_t lost = GENERATE(std::size_t{3}, std::size_t{4});
  CAPTURE(lost);
  LoadedCluster loaded;
  loaded.LoseNorthTargets(lost);
  const Duration longest = loaded.RunAndMeasure(seconds(30));
  INFO("longest time without a run: " << longest.count() / 1000 << " ms");
  REQUIRE(longest <= kMaxTimeWithoutRun);
  for (const SubmissionId& id : loaded.ids()) {
    REQUIRE(loaded->checker().RunningTasks(id) == kWidth);
  }
  RequireNoViolations(&*loaded);
}

TEST_CASE("long-running tasks whose targets leave run in another cell", "[emulator][displaced]") {
  LoadedCluster loaded;
  for (const std::string& target : loaded.NorthTargets(4)) {
    loaded->DrainTarget(target, milliseconds(3000));
  }
  const Duration longest = loaded.RunAndMeasure(seconds(30));
  INFO("longest time without a run: " << longest.count() / 1000 << " ms");
  REQUIRE(longest <= kMaxTimeWithoutRun);
  RequireNoViolations(&*loaded);
}

// A step with such a limit may only move once all its runs have ended.
TEST_CASE("runs of steps with a limit on unavailable tasks are not stopped for a move",
          "[emulator][displaced]") {
  SubmissionSpec spec = WideLongRunning();
  spec.steps[0].max_unavailable = 1;
  LoadedCluster loaded(spec);
  loaded.LoseNorthTargets(4);
  loaded->Run(seconds(20));
  REQUIRE(loaded->LogLinesContaining("submission-leaves").empty());
  REQUIRE(loaded->LogLinesContaining("run-stopping").empty());
}

TEST_CASE("displaced submissions stay if the owner of the other cell is of an earlier version",
          "[emulator][displaced]") {
  const bool older = GENERATE(true, false);
  CAPTURE(older);
  LoadedCluster loaded;
  std::string record = EncodeRecord(OwnerRecord{HostId("other"), 1, 1, true});
  if (older) {
    // The record of the version before ends after the third field.
    record.pop_back();
    record[0] = static_cast<char>(record[0] - 1);
  }
  REQUIRE(DecodeOwner(record));
  REQUIRE(DecodeOwner(record)->host == HostId("other"));
  REQUIRE(DecodeOwner(record)->reads_progress == !older);
  loaded->KillHost(loaded->OwnerOf("south"));
  loaded->Run(milliseconds(100));
  loaded->store.Write(store_keys::Owner(CellId("south")), record);
  loaded.LoseNorthTargets(4);
  loaded->Run(seconds(14));
  REQUIRE(loaded->LogLinesContaining("submission-leaves").empty() == older);
  REQUIRE(loaded->LogLinesContaining("begun=1").empty() == older);
}

TEST_CASE("displaced submissions are neither lost nor run twice under faults",
          "[emulator][displaced]") {
  const auto fault =
      GENERATE(MoveFault::kNone, MoveFault::kKillOwners, MoveFault::kKillOtherOwner,
               MoveFault::kFreezeOwner, MoveFault::kLoseAnswers, MoveFault::kDelayWrites,
               MoveFault::kDelayOrders, MoveFault::kStoreDown, MoveFault::kCompact);
  // Counted from the stops: the runs end after some milliseconds, then the move is written.
  const auto fault_after = GENERATE(milliseconds(-1000), milliseconds(1), milliseconds(10),
                                    milliseconds(100), milliseconds(150), milliseconds(400));
  CAPTURE(static_cast<int>(fault), fault_after.count());
  LoadedCluster loaded;
  loaded.LoseNorthTargets(4);
  const auto leaves = [&loaded] {
    return !loaded->LogLinesContaining("submission-leaves").empty();
  };
  if (fault_after.count() < 0) {
    loaded->Run(milliseconds(6500));
    ApplyFault(&*loaded, fault);
  }
  Duration waited{0};
  while (fault_after.count() > 0 && !leaves()) {
    loaded->Run(milliseconds(1));
    waited += milliseconds(1);
    REQUIRE(waited < seconds(12));
  }
  loaded->Run(std::max(fault_after, milliseconds(0)));
  const std::string owner = loaded->OwnerOf("north");
  if (fault_after.count() > 0) {
    ApplyFault(&*loaded, fault);
  }
  // Cancels and queries at hosts that remember the cell from before the move.
  const std::vector<std::string> hosts = loaded->hosts();
  for (std::size_t number = 0; number < loaded.ids().size(); number += 3) {
    loaded->Cancel(hosts[number % hosts.size()], loaded.ids()[number]);
    loaded->QueryState(hosts[number % hosts.size()], loaded.ids()[number]);
    loaded->Run(milliseconds(10));
  }
  loaded->Run(seconds(4));
  EndFaults(&*loaded, owner);
  loaded->Run(seconds(10));
  // The cancels that got no answer are repeated.
  for (std::size_t number = 0; number < loaded.ids().size(); number += 3) {
    loaded->Cancel(hosts[number % hosts.size()], loaded.ids()[number]);
  }
  loaded->Run(seconds(30));
  for (std::size_t number = 0; number < loaded.ids().size(); ++number) {
    INFO(loaded.ids()[number].str());
    REQUIRE(loaded->checker().RunningTasks(loaded.ids()[number]) == (number % 3 == 0 ? 0 : kWidth));
  }
  RequireNoViolations(&*loaded);
}

/// \returns the value of a field of a log line.
std::string FieldOf(const std::string& line, const std::string& name) {
  const std::size_t begin = line.find(" " + name + "=") + name.size() + 2;
  return line.substr(begin, line.find(' ', begin) - begin);
}

TEST_CASE("moved submissions keep their run numbers", "[emulator][displaced]") {
  LoadedCluster loaded;
  loaded.LoseNorthTargets(4);
  loaded->Run(seconds(12));
  REQUIRE_FALSE(loaded->LogLinesContaining("begun=1").empty());
  // A new owner of the other cell loads what has moved there. Then all of it gets new runs.
  loaded->KillHost(loaded->OwnerOf("south"));
  loaded->Run(seconds(12));
  for (const std::string& target : loaded->targets()) {
    if (target.find("south") == 0) {
      loaded->RestartTarget(target);
    }
  }
  loaded->Run(seconds(12));
  std::map<std::string, int> last_runs;
  for (const std::string& line : loaded->LogLinesContaining("task-assigned")) {
    INFO(line);
    const int run = std::stoi(FieldOf(line, "run"));
    int& last_run = last_runs[FieldOf(line, "task")];
    REQUIRE(run > last_run);
    last_run = run;
  }
  for (const SubmissionId& id : loaded.ids()) {
    REQUIRE(loaded->checker().RunningTasks(id) == kWidth);
  }
  RequireNoViolations(&*loaded);
}

}  // namespace
}  // namespace pistachio::emulator
