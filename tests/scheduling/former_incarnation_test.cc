#include <catch2/catch.hpp>

#include "tests/scheduling/reservation_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kNextIncarnation = kFixtureIncarnation + 1;
/// Longest lease that a target grants.
constexpr Duration kLongestLease = seconds(10);
/// Longest time after which an order without an answer is carried out.
constexpr Duration kLongestOrderDelay = seconds(12);

/// A new owner whose target t1 runs a short task that a former owner has started. t2 is idle.
class TakenCell {
 public:
  /// \param known_for for how long the new owner has known the incarnation of t1
  explicit TakenCell(Duration known_for) {
    this->fixture.Load("00000000000000a1", ShortStep({1000, 100, 0}), {"t1"});
    this->fixture.known_since = this->fixture.now - known_for;
  }

  /// Ends loading. \pre both targets are registered
  void FinishLoading() { this->fixture.cell.FinishLoading(this->fixture.now); }

  /// \returns the time from \a begin until the task starts on t2.
  Duration StartsAfter(TimePoint begin) {
    while (this->fixture.starts.empty()) {
      this->fixture.Run(milliseconds(50));
      REQUIRE(this->fixture.now - begin < seconds(60));
    }
    return this->fixture.now - begin;
  }

  ReservationFixture fixture;
};

// A call for the former incarnation gives the next one a lease of 10 s, as its deadline is on a
// clock that has started anew. Two runs at once were seen when the target was cut off soon after
// the first list that a new owner got.
TEST_CASE("a new owner counts with the lease from a deadline for the former incarnation",
          "[cell][former_incarnation]") {
  TakenCell taken(seconds(1));
  taken.fixture.PutTarget("t1");
  taken.fixture.PutTarget("t2");
  taken.FinishLoading();
  taken.fixture.Run(milliseconds(50));
  const TimePoint listed_at = taken.fixture.now;
  taken.fixture.silent.insert("t1");
  CHECK(taken.StartsAfter(listed_at).count() >= kLongestLease.count());
}

TEST_CASE("a new owner waits no longer for a target whose incarnation it has known for long",
          "[cell][former_incarnation]") {
  TakenCell taken(seconds(60));
  taken.fixture.PutTarget("t1");
  taken.fixture.PutTarget("t2");
  taken.FinishLoading();
  taken.fixture.Run(milliseconds(50));
  const TimePoint listed_at = taken.fixture.now;
  taken.fixture.silent.insert("t1");
  const CellSettings settings;
  CHECK(taken.StartsAfter(listed_at).count() < (settings.lease_duration + seconds(1)).count());
}

// The record names the incarnation that the start was sent to. A later one is registered and never
// answers, and orders of the former owner may reach it for 12 s.
TEST_CASE("a new owner waits for orders to the incarnation before the registered one",
          "[cell][former_incarnation]") {
  TakenCell taken(seconds(1));
  const TimePoint taken_at = taken.fixture.now;
  taken.fixture.incarnations["t1"] = kNextIncarnation;
  taken.fixture.PutTarget("t1");
  taken.fixture.PutTarget("t2");
  taken.fixture.silent.insert("t1");
  taken.FinishLoading();
  CHECK(taken.StartsAfter(taken_at).count() >= (kLongestOrderDelay + kLongestLease).count());
}

// The target restarts after the takeover and registers, and never answers.
TEST_CASE("a new owner waits for the former owner's orders after a restart of their target",
          "[cell][former_incarnation]") {
  TakenCell taken(seconds(60));
  const TimePoint taken_at = taken.fixture.now;
  taken.fixture.PutTarget("t1");
  taken.fixture.PutTarget("t2");
  taken.fixture.silent.insert("t1");
  taken.FinishLoading();
  taken.fixture.Run(seconds(1));
  taken.fixture.incarnations["t1"] = kNextIncarnation;
  taken.fixture.known_since = taken.fixture.now;
  taken.fixture.PutTarget("t1");
  CHECK(taken.StartsAfter(taken_at).count() >= (kLongestOrderDelay + kLongestLease).count());
}

// The owner knows of its own deadlines, which may arrive after its death.
TEST_CASE("an owner writes the lease that its deadlines may give the next incarnation",
          "[cell][former_incarnation]") {
  TakenCell taken(seconds(60));
  ReservationFixture& fixture = taken.fixture;
  fixture.PutTarget("t1");
  taken.FinishLoading();
  fixture.Run(seconds(25));
  fixture.Submit("00000000000000a2", ShortStep({1000, 100, 0}));
  fixture.Run(seconds(1));
  CHECK(fixture.stored_leases.long_leases.empty());
  fixture.silent.insert("t1");
  fixture.Run(seconds(1));
  fixture.running.clear();
  fixture.incarnations["t1"] = kNextIncarnation;
  fixture.PutTarget("t1");
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.stored_leases.long_leases.count(TargetId("t1")) == 1);
  const Duration left = fixture.stored_leases.long_leases.at(TargetId("t1"));
  CHECK(left.count() >= (kLongestOrderDelay + kLongestLease - seconds(2)).count());
  // Once the next incarnation has answered an order with a higher token, it refuses the others.
  fixture.silent.clear();
  fixture.Run(milliseconds(50));
  fixture.Submit("00000000000000a3", ShortStep({1000, 100, 0}));
  fixture.Run(seconds(1));
  REQUIRE(fixture.stored_leases.long_leases.count(TargetId("t1")) == 1);
  const Duration left_after_answer = fixture.stored_leases.long_leases.at(TargetId("t1"));
  CHECK(left_after_answer.count() >= (kLongestLease - seconds(1)).count());
  CHECK(left_after_answer.count() < (kLongestLease + seconds(1)).count());
}

TEST_CASE("a new owner waits for the longer lease that the former owner has written",
          "[cell][former_incarnation]") {
  constexpr Duration kLongLease = seconds(21);
  ReservationFixture fixture;
  const TimePoint taken_at = fixture.now;
  fixture.cell.InheritLeases({{{TargetId("t1"), seconds(2)}}, {{TargetId("t1"), kLongLease}}, {}});
  fixture.Load("00000000000000a1", LongRunningStep({1000, 100, 0}), {"t1"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.silent.insert("t1");
  fixture.cell.FinishLoading(fixture.now);
  while (fixture.starts.empty()) {
    fixture.Run(milliseconds(50));
    REQUIRE(fixture.now - taken_at < seconds(60));
  }
  CHECK((fixture.now - taken_at).count() >= kLongLease.count());
  CHECK(fixture.now - taken_at < kLongLease + seconds(1));
}

// A hold without an answer may arrive for 12 s. The target left, had lost its runs with the lease,
// and came back under its id before that. It takes the deadline until it answers a later order.
TEST_CASE("a target is not forgotten while a deadline for it may arrive",
          "[cell][former_incarnation]") {
  ReservationFixture fixture;
  fixture.cell.SetFirstOwner();
  fixture.Load("00000000000000a1", LongRunningStep({1000, 100, 0}), {"t1"});
  fixture.PutTarget("t1");
  fixture.FinishLoading();
  fixture.silent.insert("t1");
  const TimePoint silent_at = fixture.now;
  fixture.Run(seconds(1));
  fixture.cell.RemoveTarget(TargetId("t1"), fixture.now);
  fixture.Run(seconds(9));
  fixture.silent.clear();
  fixture.running.clear();
  fixture.incarnations["t1"] = kNextIncarnation;
  fixture.PutTarget("t1");
  const TimePoint back_at = fixture.now;
  fixture.Run(milliseconds(300));
  REQUIRE(fixture.starts.size() == 1);
  fixture.running["t1"] = {
      RunningRun{TaskKey{SubmissionId("00000000000000a1"), 0, 0, 0}, 2, "", 10.0, 0.0}};
  fixture.Run(milliseconds(300));
  fixture.silent.insert("t1");
  fixture.starts.clear();
  fixture.PutTarget("t2");
  while (fixture.starts.empty()) {
    fixture.Run(milliseconds(50));
    REQUIRE(fixture.now - silent_at < seconds(60));
  }
  CHECK((fixture.now - back_at).count() >= kLongestLease.count());
}

}  // namespace
}  // namespace pistachio
