#include <catch2/catch.hpp>
#include <string>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SubmissionId Id(int number) {
  std::string digits = std::to_string(number);
  return SubmissionId(std::string(16 - digits.size(), '0') + digits);
}

/// Submits urgent work at a host each 100 ms for \a time. \param next number of the next submission
void SubmitFor(SimulatedCluster* cluster, const std::string& host, Duration time, int* next) {
  for (Duration spent{0}; spent < time; spent += milliseconds(100)) {
    cluster->Submit(host, Id((*next)++), MakeSubmission(1, 1, milliseconds(500)));
    cluster->Run(milliseconds(100));
  }
}

// The owner holds its cell and writes load records, but its watch of the cell's inbox is lost,
// while other hosts accept submissions into the cell.
TEST_CASE("submissions that the owner has not heard of are not left out of the count",
          "[emulator][pending_count]") {
  SimulatedClusterSettings settings;
  settings.layout = CellLayout::kOneCell;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(4));
  const std::string owner = cluster.OwnerOf("all");
  const std::string other = owner == "north-host-0" ? "south-host-0" : "north-host-0";
  cluster.store_faults.lost_watches.insert({owner, "in/all/"});
  int next = 1;
  SubmitFor(&cluster, other, seconds(9), &next);
  cluster.store_faults = StoreFaults{};
  cluster.Run(seconds(10));
  RequireNoViolations(&cluster);
}

TEST_CASE("every host answers the count while nothing fails", "[emulator][pending_count]") {
  const auto layout = GENERATE(CellLayout::kOneCell, CellLayout::kPerDataCentre);
  SimulatedClusterSettings settings;
  settings.layout = layout;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(5));
  const auto unavailable_at_start = cluster.pending_answers();
  int next = 1;
  SubmitFor(&cluster, "north-host-0", seconds(10), &next);
  cluster.Run(seconds(20));
  const auto& answers = cluster.pending_answers();
  REQUIRE(answers.at(Outcome::kPending) > 200);
  const auto refusals = [](const auto& counts) {
    const auto found = counts.find(Outcome::kUnavailable);
    return found == counts.end() ? 0 : found->second;
  };
  REQUIRE(refusals(answers) == refusals(unavailable_at_start));
  RequireNoViolations(&cluster);
}

// All targets of a cell crash right before an owner assigns work to them, so its starts get no
// answer, and then the owner is killed. The next one waits for the targets' leases to end.
TEST_CASE("submissions that a lost target may have begun are not left out of the count",
          "[emulator][pending_count]") {
  SimulatedClusterSettings settings;
  settings.layout = CellLayout::kOneCell;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(4));
  for (const std::string& target : cluster.targets()) {
    cluster.CrashTarget(target);
  }
  const std::string owner = cluster.OwnerOf("all");
  const std::string other = owner == "north-host-0" ? "south-host-0" : "north-host-0";
  int next = 1;
  SubmitFor(&cluster, other, seconds(1), &next);
  cluster.KillHost(owner);
  cluster.Run(seconds(12));
  for (const std::string& target : cluster.targets()) {
    cluster.RestartTarget(target);
  }
  cluster.StartHost(owner);
  cluster.Run(seconds(20));
  RequireNoViolations(&cluster);
}

/// \returns a submission of one task that needs a whole target.
SubmissionSpec WholeTarget(Duration length) {
  SubmissionSpec spec = MakeSubmission(1, 1, length);
  spec.steps[0].need.cpu_millis = 16000;
  return spec;
}

// Waiting submissions leave an evacuated data centre for a cell whose owner is suspended right
// after the first move. Its next record comes from another host, seconds later.
TEST_CASE("submissions that move to a cell without an owner are not left out of the count",
          "[emulator][pending_count]") {
  SimulatedClusterSettings settings;
  settings.evacuation_apply = milliseconds(5000);
  SimulatedCluster cluster(settings);
  const auto set_southern_room = [&cluster](std::int64_t cpu_millis) {
    for (const std::string& target : cluster.targets()) {
      if (target.find("south") == 0) {
        cluster.SetTargetRoom(target, Resources{cpu_millis, 64000, 0});
      }
    }
  };
  set_southern_room(1000);
  cluster.Run(seconds(4));
  int next = 1;
  for (int count = 0; count < 4; ++count) {
    cluster.Submit("north-host-0", Id(next++), WholeTarget(seconds(25)));
    cluster.Run(milliseconds(100));
  }
  for (int count = 0; count < 12; ++count) {
    cluster.Submit("north-host-0", Id(next++), WholeTarget(milliseconds(500)));
    cluster.Run(milliseconds(100));
  }
  cluster.Run(seconds(7));
  const auto moves_to_south = [&cluster] { return cluster.LogLinesContaining(" to=south").size(); };
  REQUIRE(moves_to_south() == 0);
  set_southern_room(16000);
  cluster.EvacuateDataCentre("north");
  for (int step = 0; step < 1000 && moves_to_south() == 0; ++step) {
    cluster.Run(milliseconds(10));
  }
  REQUIRE(moves_to_south() > 0);
  const std::string owner = cluster.OwnerOf("south");
  cluster.FreezeHost(owner);
  cluster.Run(seconds(8));
  cluster.ResumeHost(owner);
  cluster.EndEvacuation("north");
  cluster.Run(seconds(30));
  RequireNoViolations(&cluster);
}

}  // namespace
}  // namespace pistachio::emulator
