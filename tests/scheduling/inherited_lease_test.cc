#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/scheduling/reservation_fixture.h"
#include "tests/scheduling/store_revision.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// \returns the time from the takeover until a task whose target answers nothing starts elsewhere.
Duration TimeUntilStart(std::optional<Duration> absence, std::optional<Duration> bound) {
  ReservationFixture fixture;
  const TimePoint taken_at = fixture.now;
  fixture.silent.insert("t1");
  if (bound) {
    fixture.cell.InheritLeases({{{TargetId("t1"), *bound}}, {}, {}});
  }
  if (absence) {
    fixture.cell.InheritAbsence(taken_at - *absence);
  }
  fixture.Load("00000000000000a1", LongRunningStep({1000, 100, 0}), {"t1"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.cell.FinishLoading(fixture.now);
  while (fixture.starts.empty()) {
    fixture.Run(milliseconds(50));
    REQUIRE(fixture.now - taken_at < seconds(30));
  }
  return fixture.now - taken_at;
}

// An owner without the store extends leases for 6 s, by 7.8 s, after its last confirmation, which
// was before the absence of an owner began. 18.2 s without a run were seen when the wait counted
// from the takeover instead.
TEST_CASE("a new owner waits for an unreached target from the absence of an owner on",
          "[cell][inherited_lease]") {
  const Duration longest = TimeUntilStart(std::nullopt, std::nullopt);
  REQUIRE(longest >= milliseconds(13700));
  const Duration shorter = TimeUntilStart(seconds(4), std::nullopt);
  REQUIRE(shorter >= milliseconds(9700));
  REQUIRE(shorter <= milliseconds(11500));
  // The target is asked first, however long the absence was.
  REQUIRE(TimeUntilStart(seconds(60), std::nullopt) >= CellSettings{}.min_inherited_wait);
  // A bound that the former owner wrote counts from the takeover, as it was computed before that.
  REQUIRE(TimeUntilStart(seconds(4), seconds(3)) >= seconds(3));
  REQUIRE(TimeUntilStart(seconds(4), seconds(3)) < shorter);
  REQUIRE(TimeUntilStart(seconds(4), seconds(60)) <= shorter);
}

// An owner that had reached a target and lost it left its successor nothing but the longest wait.
TEST_CASE("an owner writes the lease bound of a target that it has reached and lost",
          "[cell][inherited_lease]") {
  ReservationFixture fixture;
  fixture.Load("00000000000000a1", LongRunningStep({1000, 100, 0}), {"t1"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.FinishLoading();
  fixture.Run(seconds(2));
  REQUIRE_FALSE(fixture.cell.NextCommit(fixture.now));
  fixture.silent.insert("t1");
  const TimePoint lost_at = fixture.now;
  fixture.Run(seconds(5));
  const TimePoint written_at = fixture.now + CellSettings{}.lease_bounds_interval;
  const auto commit = fixture.cell.NextCommit(written_at);
  REQUIRE(commit);
  REQUIRE(commit->leases.bounds.size() == 1);
  // The last hold with a deadline was sent up to a long poll after the loss. It extends the lease
  // by 7.5 s on a clock that may be slow.
  const Duration left = commit->leases.bounds.at(TargetId("t1"));
  REQUIRE(left > Duration(0));
  REQUIRE(left <= lost_at + CellSettings{}.long_poll + milliseconds(7800) - written_at);
  fixture.cell.OnCommitted(commit->number, RevisionOf(*commit), written_at);
  // Once the target answers, the bound is removed and the lease is extended again.
  fixture.silent.clear();
  fixture.Run(seconds(12));
  REQUIRE_FALSE(fixture.cell.NextCommit(fixture.now));
  REQUIRE(fixture.starts.empty());
}

// The former owner's start may have had no answer, and a restart of the target that nobody has seen
// lets it arrive for 13 s. The longest wait covered that; a bound does not.
TEST_CASE("a new owner keeps short tasks while a start of the former owner may arrive",
          "[cell][inherited_lease]") {
  ReservationFixture fixture;
  const TimePoint taken_at = fixture.now;
  fixture.silent.insert("t1");
  fixture.cell.InheritLeases({{{TargetId("t1"), seconds(2)}}, {}, {}});
  fixture.Load("00000000000000a1", ShortStep({1000, 100, 0}), {"t1"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.cell.FinishLoading(fixture.now);
  while (fixture.starts.empty()) {
    fixture.Run(milliseconds(50));
    REQUIRE(fixture.now - taken_at < seconds(30));
  }
  REQUIRE(fixture.now - taken_at >= CellSettings{}.max_order_delay);
}

// A run of which the new owner has heard nothing counts as suspect. The wait for a quiet target
// began anew with the owner: 9.3 s without a run were seen with processes.
TEST_CASE("a new owner counts the time without a run from the last extension of its lease",
          "[cell][inherited_lease]") {
  ReservationFixture fixture;
  const TimePoint taken_at = fixture.now;
  fixture.silent.insert("t1");
  fixture.cell.InheritLeases({{{TargetId("t1"), seconds(1)}}, {}, {}});
  fixture.Load("00000000000000a1", LongRunningStep({1000, 100, 0}), {"t1"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.cell.FinishLoading(fixture.now);
  const auto started = [&fixture] {
    return std::any_of(fixture.starts.begin(), fixture.starts.end(), [](const auto& task) {
      return task.find("00000000000000a1") != std::string::npos;
    });
  };
  // Starts of short tasks keep the other target from being quiet.
  for (int number = 10; !started(); ++number) {
    fixture.Submit("00000000000000" + std::to_string(number), ShortStep({10, 10, 0}));
    fixture.Run(milliseconds(100));
    REQUIRE(fixture.now - taken_at < seconds(5));
  }
  // A lease of 7.5 s with drift, and a wait for a quiet target until 8.5 s without a run.
  const CellSettings settings;
  const Duration rest = settings.crash.max_quiet_time_without_run - settings.lease_duration;
  REQUIRE(fixture.now - taken_at <= seconds(1) + rest + milliseconds(200));
}

}  // namespace
}  // namespace pistachio
