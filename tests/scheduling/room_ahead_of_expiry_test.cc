#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/scheduling/reservation_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kLost = {"lost0", "lost1", "lost2", "lost3"};

/// A cell of 24 targets, 20 of which are full of short tasks, with a long-running task on each of
/// the others. These are lost together.
class LostTogetherFixture : public ReservationFixture {
 public:
  /// \param absence time for which the cell has had no owner
  explicit LostTogetherFixture(Duration absence = Duration(0)) {
    this->percent_per_step = 0.1;
    this->cell.InheritAbsence(this->now - absence);
    for (int number = 10; number < 30; ++number) {
      const std::string target = "t" + std::to_string(number);
      this->Load("00000000000000" + std::to_string(number), ShortStep({2000, 100, 0}),
                 {target, target});
      this->PutTarget(target);
    }
    this->Load("00000000000000aa", LongRunningStep({2000, 100, 0}), kLost);
    for (const std::string& target : kLost) {
      this->PutTarget(target);
    }
  }

  void Lose(bool unregistered) {
    for (const std::string& target : kLost) {
      this->silent.insert(target);
      if (unregistered) {
        this->cell.RemoveTarget(TargetId(target), this->now);
      }
    }
  }

  /// Advances until the leases of the lost targets have expired.
  void RunUntilExpiry(Duration limit) {
    const TimePoint begin = this->now;
    const auto expired = [this] {
      return std::any_of(this->lines.begin(), this->lines.end(), [](const std::string& line) {
        return line.find("target-runs-lost") != std::string::npos;
      });
    };
    while (!expired()) {
      REQUIRE(this->now - begin < limit);
      this->Run(milliseconds(50));
      this->EndStoppedRuns();
    }
  }
};

// A tenth of the targets and more did not get places before their leases had expired, though their
// registrations were gone by then. Their tasks waited until room was made, a second later.
TEST_CASE("tasks of many lost targets have places when the leases expire",
          "[cell][room_ahead_of_expiry]") {
  LostTogetherFixture fixture;
  fixture.FinishLoading();
  fixture.Run(CrashSettings().suspicion_time);
  fixture.Lose(true);
  fixture.RunUntilExpiry(seconds(9));
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.starts.size() == kLost.size());
}

// A new owner made no place for runs that it had never seen: to it they were starts.
TEST_CASE("tasks of targets that never answer a new owner have places when the leases expire",
          "[cell][room_ahead_of_expiry]") {
  LostTogetherFixture fixture(seconds(4));
  fixture.Lose(true);
  fixture.FinishLoading();
  fixture.RunUntilExpiry(seconds(11));
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.starts.size() == kLost.size());
}

// The targets are registered, so the network may have failed. Nothing is stopped for them, but new
// work does not take the room that their tasks need if the leases do expire.
TEST_CASE("new work takes no room that tasks of silent targets need soon",
          "[cell][room_ahead_of_expiry]") {
  LostTogetherFixture fixture;
  fixture.FinishLoading();
  fixture.Run(CrashSettings().suspicion_time);
  fixture.Lose(false);
  fixture.Run(milliseconds(5500));
  for (const char* target : {"t10", "t11", "t12", "t13"}) {
    fixture.EndRun(target, RunOutcome::kDone);
  }
  fixture.Submit("00000000000000c1", ShortStep({1000, 100, 0}));
  fixture.Submit("00000000000000c2", ShortStep({1000, 100, 0}));
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.stops.empty());
  REQUIRE(fixture.starts.empty());
  fixture.RunUntilExpiry(seconds(3));
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.starts.size() == kLost.size());
}

TEST_CASE("the log says what rules out the targets for an overdue task",
          "[cell][room_ahead_of_expiry]") {
  ReservationFixture fixture;
  fixture.Load("00000000000000a1", LongRunningStep({3000, 100, 0}), {"t1", "t2"});
  fixture.Load("00000000000000a2", LongRunningStep({100, 3500, 0}), {"t3"});
  fixture.Load("00000000000000a3", LongRunningStep({2000, 1000, 0}), {""});
  for (const char* target : {"t1", "t2", "t3"}) {
    fixture.PutTarget(target);
  }
  fixture.PutTarget("t4", TargetState::kDraining);
  fixture.FinishLoading();
  fixture.Run(seconds(7));
  const auto line = std::find_if(
      fixture.lines.begin(), fixture.lines.end(),
      [](const std::string& text) { return text.find("task-overdue") != std::string::npos; });
  REQUIRE(line != fixture.lines.end());
  CAPTURE(*line);
  REQUIRE(line->find("why=no-place") != std::string::npos);
  REQUIRE(line->find("ruled-out=cpu:2,no-work:1,other-resource:1") != std::string::npos);
}

TEST_CASE("no room is kept for silent targets long before their leases expire",
          "[cell][room_ahead_of_expiry]") {
  LostTogetherFixture fixture;
  fixture.FinishLoading();
  fixture.Lose(false);
  fixture.Run(seconds(3));
  fixture.EndRun("t10", RunOutcome::kDone);
  fixture.Submit("00000000000000c1", ShortStep({1000, 100, 0}));
  fixture.Run(milliseconds(300));
  REQUIRE(fixture.starts.size() == 1);
}

}  // namespace
}  // namespace pistachio
