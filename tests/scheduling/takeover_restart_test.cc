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

/// A new owner, which learns the registrations before it reads the records, as `CellOwnership`
/// does. A former owner has started one task on t1. t2 is idle.
class TakenCell {
 public:
  /// \param registered_as incarnation of t1 in its registration
  TakenCell(StepSpec step, std::uint64_t registered_as, Duration known_for = seconds(1)) {
    this->fixture.incarnations["t1"] = registered_as;
    this->fixture.known_since = this->fixture.now - known_for;
    this->fixture.PutTarget("t1");
    this->fixture.PutTarget("t2");
    this->fixture.Load("00000000000000a1", std::move(step), {"t1"});
    this->taken_at = this->fixture.now;
    this->fixture.cell.FinishLoading(this->fixture.now);
  }

  /// \returns the time from \a begin until the task starts on t2.
  Duration StartsAfter(TimePoint begin) {
    while (this->fixture.starts.empty()) {
      this->fixture.Run(milliseconds(50));
      REQUIRE(this->fixture.now - begin < seconds(60));
    }
    return this->fixture.now - begin;
  }

  TimePoint taken_at;
  ReservationFixture fixture;
};

TEST_CASE("an owner that reads the record of an earlier incarnation waits for orders to it",
          "[cell][takeover_restart]") {
  TakenCell taken(ShortStep({1000, 100, 0}), kNextIncarnation);
  taken.fixture.silent.insert("t1");
  CHECK(taken.StartsAfter(taken.taken_at).count() >= (kLongestOrderDelay + kLongestLease).count());
}

// An earlier send of the start may still be on its way when the new owner gets its first list.
TEST_CASE("a start that the former owner sent twice may begin on the next incarnation",
          "[cell][takeover_restart]") {
  TakenCell taken(ShortStep({1000, 100, 0}), kFixtureIncarnation, seconds(60));
  taken.fixture.Run(milliseconds(200));
  taken.fixture.silent.insert("t1");
  taken.fixture.running.clear();
  taken.fixture.incarnations["t1"] = kNextIncarnation;
  taken.fixture.known_since = taken.fixture.now;
  taken.fixture.PutTarget("t1");
  CHECK(taken.StartsAfter(taken.taken_at).count() >= kLongestOrderDelay.count());
}

// The process was suspended between the hold and the handling of its answer, which gets the time of
// the tick before.
TEST_CASE("a first list that is handled after a suspension counts from its handling",
          "[cell][takeover_restart]") {
  // Shorter than the timeout of the hold.
  constexpr Duration kSuspension = milliseconds(650);
  TakenCell taken(ShortStep({1000, 100, 0}), kFixtureIncarnation);
  ReservationFixture& fixture = taken.fixture;
  fixture.now += milliseconds(50);
  fixture.cell.Tick(fixture.now, fixture.wall);
  HoldReply reply;
  reply.status = OrderStatus::kDone;
  reply.incarnation = kFixtureIncarnation;
  reply.clock = TargetTime(5000);
  for (const OutgoingOrder& order : fixture.cell.TakeOrders()) {
    REQUIRE(std::holds_alternative<HoldOrder>(order.order.order));
    const std::string target = order.order.target.str();
    reply.running = fixture.running[target];
    fixture.cell.OnHoldReply(order.ticket, reply, fixture.now);
  }
  fixture.now += kSuspension;
  const TimePoint handled_at = fixture.now;
  fixture.silent.insert("t1");
  CHECK(taken.StartsAfter(handled_at).count() >= kLongestLease.count());
}

// The owner's copy of the registrations still has the address of the incarnation before, at which
// another target has begun since. The record names the present incarnation and its address.
TEST_CASE("an answer from a former address of a target is no proof that its runs have ended",
          "[cell][takeover_restart]") {
  ReservationFixture fixture;
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  StepSpec step = ShortStep({1000, 100, 0});
  step.count = 1;
  Submission submission;
  submission.accepted.id = SubmissionId("00000000000000a1");
  submission.accepted.queue = fixture.queue;
  submission.accepted.spec.steps = {step};
  submission.AddOccurrence(0);
  submission.started = true;
  StepProgress& progress = submission.occurrences.at(0).steps[0];
  progress.tasks[0].run = 1;
  progress.tasks[0].phase = TaskPhase::kRunning;
  progress.tasks[0].incarnation = TargetIncarnation{TargetId("t1"), kNextIncarnation, "t1-next:1"};
  progress.waiting--;
  fixture.cell.Load(submission.accepted, 1, EncodeProgress(submission), fixture.now);
  fixture.cell.FinishLoading(fixture.now);
  const TimePoint taken_at = fixture.now;
  fixture.now += milliseconds(50);
  fixture.cell.Tick(fixture.now, fixture.wall);
  for (const OutgoingOrder& order : fixture.cell.TakeOrders()) {
    const bool former_address = order.order.address == "t1:1";
    HoldReply reply;
    reply.status = former_address ? OrderStatus::kWrongInstance : OrderStatus::kDone;
    reply.incarnation = former_address ? 0 : kFixtureIncarnation;
    reply.clock = TargetTime(5000);
    fixture.cell.OnHoldReply(order.ticket, reply, fixture.now);
  }
  fixture.silent.insert("t1");
  fixture.Run(seconds(3));
  INFO("started " << fixture.starts.size() << " tasks within " << (fixture.now - taken_at).count());
  CHECK(fixture.starts.empty());
}

// The hold is sent before the restart. Its deadline may reach the next incarnation after the
// owner's death, and the owner has no answer yet when it writes the record of a run there.
TEST_CASE("an owner writes the lease that an order without an answer yet may give",
          "[cell][takeover_restart]") {
  ReservationFixture fixture;
  fixture.cell.SetFirstOwner();
  fixture.PutTarget("t1");
  fixture.FinishLoading();
  fixture.Submit("00000000000000a1", LongRunningStep({1000, 100, 0}));
  fixture.Run(seconds(1));
  REQUIRE(fixture.starts.size() == 1);
  // The holds of this tick get no answer for the rest of the test.
  std::size_t open_holds = 0;
  while (open_holds == 0) {
    fixture.now += milliseconds(50);
    fixture.cell.ConfirmOwnership(fixture.now);
    fixture.cell.Tick(fixture.now, fixture.wall);
    for (const OutgoingOrder& order : fixture.cell.TakeOrders()) {
      const auto* hold = std::get_if<HoldOrder>(&order.order.order);
      open_holds += hold != nullptr && hold->deadline ? 1 : 0;
    }
  }
  fixture.incarnations["t1"] = kNextIncarnation;
  fixture.silent.insert("t1");
  fixture.PutTarget("t1");
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.stored_leases.long_leases.count(TargetId("t1")) == 1);
  const Duration left = fixture.stored_leases.long_leases.at(TargetId("t1"));
  CHECK(left.count() >= (kLongestOrderDelay + kLongestLease - seconds(1)).count());
  // The next incarnation has answered an order with a higher token. From then on it refuses the
  // hold.
  fixture.silent.clear();
  fixture.Run(milliseconds(50));
  fixture.Submit("00000000000000a2", ShortStep({1000, 100, 0}));
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.starts.count("00000000000000a2.0.0.0") == 1);
  REQUIRE(fixture.stored_leases.long_leases.count(TargetId("t1")) == 1);
  const Duration left_after_answer = fixture.stored_leases.long_leases.at(TargetId("t1"));
  CHECK(left_after_answer.count() >= (kLongestLease - seconds(1)).count());
  CHECK(left_after_answer.count() < (kLongestLease + seconds(1)).count());
}

// The run ended with the incarnation that the record names, and a long-running task is not kept for
// a start that may still arrive.
TEST_CASE("a long-running task waits no longer for a target because it has restarted",
          "[cell][takeover_restart]") {
  const auto wait = [](std::uint64_t registered_as) {
    TakenCell taken(LongRunningStep({1000, 100, 0}), registered_as);
    taken.fixture.silent.insert("t1");
    return taken.StartsAfter(taken.taken_at);
  };
  CHECK(wait(kNextIncarnation).count() <= wait(kFixtureIncarnation).count());
}

}  // namespace
}  // namespace pistachio
