#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "tests/scheduling/reservation_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Keys = std::set<std::string>;

const std::string kStarved = "00000000000000a1";
const std::string kStarvedTask = kStarved + ".0.0.0";

/// The runs of the fixture work at their estimated speed.
class PreemptionFixture : public ReservationFixture {
 public:
  explicit PreemptionFixture(const CellSettings& settings = CellSettings{})
      : ReservationFixture(settings) {
    this->percent_per_step = 0.1;
  }
};

TEST_CASE("a reserved place is freed at the cost of the least work", "[cell][preemption]") {
  PreemptionFixture fixture;
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {""});
  fixture.Load("00000000000000b1", ShortStep({1000, 100, 0}), {"t1", "t1", "t1", "t1"});
  fixture.Load("00000000000000b2", ShortStep({1000, 100, 0}), {"t2", "t2", "t2", "t2"});
  for (std::size_t index = 0; index < 4; ++index) {
    fixture.running["t1"][index].percent = index % 2 == 0 ? 40.0 : 20.0;
    fixture.running["t2"][index].percent = 50.0;
  }
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.FinishLoading();
  REQUIRE(fixture.stops.empty());
  fixture.Run(seconds(1));
  REQUIRE(fixture.stops == Keys{"00000000000000b1.0.0.1", "00000000000000b1.0.0.3"});
  fixture.Run(seconds(1));
  REQUIRE(fixture.stops.size() == 2);
  fixture.EndStoppedRuns();
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.starts == Keys{kStarvedTask});
}

TEST_CASE("no run is stopped if short tasks end soon", "[cell][preemption]") {
  PreemptionFixture fixture;
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {""});
  fixture.Load("00000000000000b1", ShortStep({2000, 100, 0}), {"t1", "t1"});
  fixture.PutTarget("t1");
  fixture.cell.FinishLoading(fixture.now);
  fixture.Run(milliseconds(800));
  fixture.EndRun("t1", RunOutcome::kDone);
  fixture.Run(seconds(3));
  REQUIRE(fixture.starts == Keys{kStarvedTask});
  REQUIRE(fixture.stops.empty());
}

TEST_CASE("the place that is made for a task stays on its target", "[cell][preemption]") {
  PreemptionFixture fixture;
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {""});
  fixture.Load("00000000000000b1", ShortStep({2000, 100, 0}), {"t1", "t1"});
  fixture.Load("00000000000000b2", ShortStep({1000, 100, 0}), {"t2", "t2", "t2", "t2"});
  fixture.running["t2"][0].percent = 80.0;
  fixture.running["t2"][1].percent = 80.0;
  fixture.running["t2"][2].percent = 80.0;
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.FinishLoading();
  fixture.Run(seconds(1));
  REQUIRE(fixture.stops == Keys{"00000000000000b1.0.0.0"});
  fixture.EndRun("t2", RunOutcome::kDone);
  fixture.Submit("00000000000000c1", ShortStep({2000, 100, 0}));
  fixture.Run(seconds(1));
  REQUIRE(fixture.stops.size() == 1);
  REQUIRE(fixture.starts.empty());
  fixture.EndStoppedRuns();
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.starts == Keys{kStarvedTask});
}

TEST_CASE("members of gangs and tasks with a limit of unavailability are not stopped",
          "[cell][preemption]") {
  PreemptionFixture fixture;
  StepSpec gang = ShortStep({2000, 100, 0});
  gang.gang = true;
  StepSpec limited = ShortStep({2000, 100, 0});
  limited.max_unavailable = 1;
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {""});
  fixture.Load("00000000000000b1", gang, {"t1", "t1"});
  fixture.Load("00000000000000b2", limited, {"t2", "t2"});
  fixture.Load("00000000000000b3", LongRunningStep({2000, 100, 0}), {"t3", "t3"});
  fixture.Load("00000000000000b4", ShortStep({2000, 100, 0}), {"t4", "t4"});
  fixture.running["t4"][0].percent = 80.0;
  fixture.running["t4"][1].percent = 90.0;
  for (const char* target : {"t1", "t2", "t3", "t4"}) {
    fixture.PutTarget(target);
  }
  fixture.FinishLoading();
  fixture.Run(seconds(2));
  REQUIRE(fixture.stops == Keys{"00000000000000b4.0.0.0"});
}

// The first task has its reservation where no stops help, and the other place is kept for the
// second.
TEST_CASE("a task that no stops help does not hold up the others of its step",
          "[cell][preemption]") {
  PreemptionFixture fixture;
  StepSpec limited = ShortStep({2000, 100, 0});
  limited.max_unavailable = 1;
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {"", ""});
  fixture.Load("00000000000000b1", limited, {"t1", "t1"});
  fixture.Load("00000000000000b2", LongRunningStep({2000, 100, 0}), {"t2"});
  fixture.Load("00000000000000b3", ShortStep({2000, 100, 0}), {"t2"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.FinishLoading();
  fixture.Run(seconds(3));
  REQUIRE(fixture.stops == Keys{"00000000000000b3.0.0.0"});
}

TEST_CASE("tasks of the lowest priority are stopped first", "[cell][preemption]") {
  PreemptionFixture fixture;
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {""});
  fixture.Load("00000000000000b1", ShortStep({2000, 100, 0}), {"t1"});
  fixture.queue.id = QueueId("low");
  fixture.queue.priority = 5;
  fixture.Load("00000000000000b2", ShortStep({2000, 100, 0}), {"t1"});
  fixture.running["t1"][1].percent = 70.0;
  fixture.PutTarget("t1");
  fixture.FinishLoading();
  fixture.Run(seconds(2));
  REQUIRE(fixture.stops == Keys{"00000000000000b2.0.0.0"});
}

TEST_CASE("best-effort tasks are stopped for their memory only", "[cell][preemption]") {
  PreemptionFixture fixture;
  StepSpec best_effort = ShortStep({1000, 3000, 0});
  best_effort.best_effort = true;
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {""});
  fixture.Load("00000000000000b1", best_effort, {"t1"});
  fixture.Load("00000000000000b2", ShortStep({3000, 100, 0}), {"t1"});
  fixture.PutTarget("t1");
  SECTION("memory suffices") {
    fixture.FinishLoading();
    fixture.Run(seconds(2));
    REQUIRE(fixture.stops == Keys{"00000000000000b2.0.0.0"});
  }
  SECTION("memory is short") {
    fixture.Load("00000000000000a0", LongRunningStep({500, 2000, 0}), {""});
    fixture.FinishLoading();
    fixture.Run(seconds(2));
    REQUIRE(fixture.stops == Keys{"00000000000000b1.0.0.0", "00000000000000b2.0.0.0"});
  }
}

TEST_CASE("stops for reserved places are limited by task and by cell", "[cell][preemption]") {
  CellSettings settings;
  std::size_t expected = 0;
  SECTION("by task") { settings.preemption.max_per_task = 0; }
  SECTION("by cell") {
    settings.preemption.max_under_way = 1;
    expected = 1;
  }
  PreemptionFixture fixture(settings);
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {""});
  fixture.Load("00000000000000a2", LongRunningStep({2000, 100, 0}), {""});
  fixture.Load("00000000000000b1", ShortStep({2000, 100, 0}), {"t1", "t1"});
  fixture.Load("00000000000000b2", ShortStep({2000, 100, 0}), {"t2", "t2"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.FinishLoading();
  fixture.Run(seconds(2));
  REQUIRE(fixture.stops.size() == expected);
}

TEST_CASE("a task of a draining target gets a place before the target exits",
          "[cell][preemption]") {
  PreemptionFixture fixture;
  fixture.Load(kStarved, LongRunningStep({2000, 100, 0}), {"draining"});
  fixture.Load("00000000000000b1", ShortStep({2000, 100, 0}), {"t1", "t1"});
  fixture.PutTarget("draining");
  fixture.PutTarget("t1");
  fixture.FinishLoading();
  fixture.PutTarget("draining", TargetState::kDraining);
  fixture.Run(milliseconds(1500));
  REQUIRE(fixture.stops.empty());
  fixture.Run(seconds(1));
  REQUIRE(fixture.stops.size() == 1);
  fixture.EndStoppedRuns();
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.stops.count(kStarvedTask) == 1);
  fixture.EndStoppedRuns();
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.starts == Keys{kStarvedTask});
}

/// A long-running task on a target that falls silent, beside 20 targets full of long tasks.
class SilentTargetFixture : public PreemptionFixture {
 public:
  SilentTargetFixture() {
    for (int number = 10; number < 30; ++number) {
      const std::string target = "t" + std::to_string(number);
      this->Load("00000000000000" + std::to_string(number), ShortStep({2000, 100, 0}),
                 {target, target});
      this->PutTarget(target);
    }
    this->Load(kStarved, LongRunningStep({2000, 100, 0}), {"lost"});
    this->PutTarget("lost");
    this->FinishLoading();
  }
};

TEST_CASE("a place is free for a task of a silent target when its lease expires",
          "[cell][preemption]") {
  SilentTargetFixture fixture;
  fixture.silent.insert("lost");
  const bool unregistered = GENERATE(false, true);
  if (unregistered) {
    fixture.cell.RemoveTarget(TargetId("lost"), fixture.now);
  }
  fixture.Run(seconds(6));
  REQUIRE(fixture.stops.empty());
  fixture.Run(milliseconds(1300));
  REQUIRE(fixture.stops.size() == 1);
  REQUIRE(fixture.stops.count(kStarvedTask) == 0);
  fixture.EndStoppedRuns();
  fixture.Run(milliseconds(600));
  REQUIRE(fixture.starts == Keys{kStarvedTask});
}

TEST_CASE("a silent target that answers again loses nothing", "[cell][preemption]") {
  SilentTargetFixture fixture;
  fixture.silent.insert("lost");
  fixture.Run(seconds(6));
  fixture.silent.clear();
  fixture.Run(seconds(5));
  REQUIRE(fixture.stops.empty());
  fixture.EndRun("t10", RunOutcome::kDone);
  fixture.Submit("00000000000000c1", ShortStep({2000, 100, 0}));
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.starts.size() == 1);
}

TEST_CASE("no run is stopped for targets of which many are silent", "[cell][preemption]") {
  SilentTargetFixture fixture;
  for (const char* target : {"lost", "t27", "t28", "t29"}) {
    fixture.silent.insert(target);
  }
  fixture.Run(milliseconds(7400));
  REQUIRE(fixture.stops.empty());
}

}  // namespace
}  // namespace pistachio
