#include "pistachio/connection/store/revision_clock.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

StoreReply ReplyAt(std::uint64_t revision) {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.revision = revision;
  return reply;
}

// A read that is sent at `at` and answered 10 ms later with `revision`.
void Read(RevisionClock* clock, Duration at, std::uint64_t revision) {
  clock->OnReply(ReadRange{"node/", ""}, ReplyAt(revision), kStart + at,
                 kStart + at + milliseconds(10));
}

TEST_CASE("the time of a revision is the last one without a later change", "[revision_clock]") {
  RevisionClock clock;
  REQUIRE_FALSE(clock.TimeOf(10));
  Read(&clock, seconds(0), 10);
  Read(&clock, seconds(1), 10);
  Read(&clock, seconds(2), 14);
  REQUIRE_FALSE(clock.TimeOf(9));
  REQUIRE(clock.TimeOf(10) == kStart + seconds(1));
  REQUIRE(clock.TimeOf(13) == kStart + seconds(1));
  REQUIRE(clock.TimeOf(14) == kStart + seconds(2));
  REQUIRE(clock.TimeOf(1000) == kStart + seconds(2));
}

// Guards against an age that is too low because replies overtake each other.
TEST_CASE("late replies to earlier calls keep the times in order", "[revision_clock]") {
  RevisionClock clock;
  Read(&clock, seconds(2), 14);
  // Sent earlier and answered later: it tells nothing that the first one does not.
  Read(&clock, seconds(1), 20);
  REQUIRE(clock.TimeOf(14) == kStart + seconds(2));
  REQUIRE(clock.TimeOf(20) == kStart + seconds(2));
  Read(&clock, seconds(1), 12);
  REQUIRE(clock.TimeOf(13) == kStart + seconds(1));
  // The store still had revision 11 after the time that was known for 12.
  Read(&clock, milliseconds(1500), 11);
  REQUIRE(clock.TimeOf(11) == kStart + milliseconds(1500));
  REQUIRE(clock.TimeOf(12) == kStart + milliseconds(1500));
  REQUIRE_FALSE(clock.TimeOf(10));
}

TEST_CASE("a watch without changes confirms the revision at the end of its wait",
          "[revision_clock]") {
  RevisionClock clock;
  const WatchPrefix watch{"node/", 5, seconds(1)};
  clock.OnReply(watch, ReplyAt(30), kStart, kStart + milliseconds(1400));
  REQUIRE(clock.TimeOf(30) == kStart + seconds(1));
  // Guards against times that are too late if the store does not name its own revision.
  clock.OnReply(watch, ReplyAt(5), kStart + seconds(2), kStart + seconds(4));
  REQUIRE_FALSE(clock.TimeOf(5));
  StoreReply changes = ReplyAt(40);
  changes.items.push_back(StoreItem{"node/a", "", 33, 33, 0, false});
  clock.OnReply(watch, changes, kStart + seconds(2), kStart + seconds(3));
  REQUIRE(clock.TimeOf(40) == kStart + seconds(1));
}

TEST_CASE("failed calls and replies without a revision tell no time", "[revision_clock]") {
  RevisionClock clock;
  StoreReply refused = ReplyAt(30);
  refused.status = StoreStatus::kRefused;
  clock.OnReply(ReadKey{"key"}, refused, kStart, kStart);
  clock.OnReply(RenewLease{1}, ReplyAt(0), kStart, kStart);
  REQUIRE_FALSE(clock.TimeOf(30));
}

// A bound that is counted from a time before its write would end too early.
TEST_CASE("a revision counts as reached from the tick after the first reply that shows it",
          "[revision_clock]") {
  RevisionClock clock;
  REQUIRE_FALSE(clock.ReachedBy(1));
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.revision = 50;
  clock.OnReply(ReadKey{"key"}, reply, TimePoint(seconds(10)), TimePoint(seconds(10)));
  REQUIRE_FALSE(clock.ReachedBy(50));
  // The process was suspended between the call and the handling of its reply.
  clock.OnTick(TimePoint(seconds(14)));
  REQUIRE(clock.ReachedBy(50) == TimePoint(seconds(14)));
  REQUIRE_FALSE(clock.ReachedBy(51));
  reply.status = StoreStatus::kConflict;
  reply.revision = 60;
  clock.OnReply(Transaction{}, reply, TimePoint(seconds(15)), TimePoint(seconds(15)));
  clock.OnTick(TimePoint(seconds(16)));
  clock.OnTick(TimePoint(seconds(17)));
  REQUIRE(clock.ReachedBy(49) == TimePoint(seconds(14)));
  REQUIRE(clock.ReachedBy(51) == TimePoint(seconds(16)));
  REQUIRE(clock.ReachedBy(60) == TimePoint(seconds(16)));
}

TEST_CASE("the number of kept revisions has a bound", "[revision_clock]") {
  RevisionClock clock;
  std::uint64_t revision = 1;
  for (Duration at{0}; at < seconds(60); at += milliseconds(1)) {
    Read(&clock, at, revision++);
  }
  REQUIRE_FALSE(clock.TimeOf(30000));
  REQUIRE(clock.TimeOf(50000));
  REQUIRE(clock.size() <= 1100);
}

}  // namespace
}  // namespace pistachio
