#include "pistachio/process/scheduling/answer_origin.h"

#include <catch2/catch.hpp>

#include "tests/scheduling/cell_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};

OrderReply DoneAt(TargetTime clock) {
  OrderReply reply;
  reply.status = OrderStatus::kDone;
  reply.clock = clock;
  return reply;
}

/// \returns the reading of the target's clock in the fixture.
TargetTime ClockOf(const CellFixture& fixture) { return *fixture.Reply().clock; }

}  // namespace

TEST_CASE("a clock below what was known when the order was sent is that of a later incarnation",
          "[answer_origin]") {
  const ClockAtSending sent{milliseconds(60000), kNow - seconds(1)};
  CHECK(OriginOfAnswer(sent, milliseconds(59999), kNow) == AnswerOrigin::kLater);
  CHECK(OriginOfAnswer(sent, milliseconds(0), kNow) == AnswerOrigin::kLater);
  CHECK(OriginOfAnswer(sent, milliseconds(60000), kNow) == AnswerOrigin::kExpected);
}

TEST_CASE("a clock that a later incarnation could show by now proves nothing", "[answer_origin]") {
  // The expected incarnation was 0.3 s old at the last reading, 1 s before.
  const ClockAtSending sent{milliseconds(300), kNow - seconds(1)};
  CHECK(OriginOfAnswer(sent, milliseconds(200), kNow) == AnswerOrigin::kLater);
  CHECK(OriginOfAnswer(sent, milliseconds(800), kNow) == AnswerOrigin::kUnknown);
  CHECK(OriginOfAnswer(sent, milliseconds(1001), kNow) == AnswerOrigin::kExpected);
}

TEST_CASE("an answer without a clock proves nothing", "[answer_origin]") {
  CHECK(OriginOfAnswer({milliseconds(300), kNow}, std::nullopt, kNow) == AnswerOrigin::kUnknown);
  CHECK(OriginOfAnswer({std::nullopt, kNow}, milliseconds(300), kNow) == AnswerOrigin::kUnknown);
}

// A target restarted under its id, carried out a start and confirmed it before the owner had
// learned of the restart. The crash counted for the run, though it had happened before.
TEST_CASE("a run that only a later incarnation has confirmed does not count as crashed",
          "[cell][answer_origin]") {
  CellFixture fixture;
  fixture.estimate = seconds(60);
  const bool sent_twice = GENERATE(false, true);
  CAPTURE(sent_twice);
  OrderTicket start = fixture.PlaceTask();
  if (sent_twice) {
    fixture.cell.OnOrderReply(start, OrderReply{}, fixture.now);
    fixture.Advance(milliseconds(150));
    const auto repeated = fixture.Take<StartOrder>();
    REQUIRE(repeated);
    start = repeated->first;
  }
  fixture.cell.OnOrderReply(start, DoneAt(milliseconds(5)), fixture.now);
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kRunning);
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  CHECK(TaskOf(fixture).crash_record.crashes == 0);
  // The first send may have reached the incarnation that crashed.
  CHECK(TaskOf(fixture).crash_record.losses == (sent_twice ? 1 : 0));
  CHECK(TaskOf(fixture).HoldsResources());

  SECTION("the later incarnation lists the run, and crashes") {
    HoldReply lists = fixture.Reply(kIncarnation + 1);
    lists.clock = milliseconds(20);
    lists.running.push_back(RunningRun{kTask, 1, "", 1.0, 0.0});
    fixture.Advance(milliseconds(10));
    fixture.AnswerHold(lists);
    fixture.entry.incarnation = kIncarnation + 2;
    fixture.cell.PutTarget(fixture.entry, fixture.now);
    CHECK(TaskOf(fixture).crash_record.crashes == 1);
  }
}

TEST_CASE("a run that the incarnation has confirmed counts as crashed", "[cell][answer_origin]") {
  CellFixture fixture;
  fixture.estimate = seconds(60);
  const OrderTicket start = fixture.PlaceTask();
  fixture.cell.OnOrderReply(start, DoneAt(ClockOf(fixture)), fixture.now);
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  CHECK(TaskOf(fixture).crash_record.crashes == 1);
}

TEST_CASE("a restart that an answer shows raises the token before the registration shows it",
          "[cell][answer_origin]") {
  CellFixture fixture;
  fixture.estimate = seconds(60);
  fixture.tasks = 2;
  const OrderTicket start = fixture.PlaceTask();
  const FencingToken before = fixture.cell.token();
  fixture.sent.clear();
  fixture.cell.OnOrderReply(start, DoneAt(milliseconds(5)), fixture.now);
  fixture.Advance(milliseconds(30));
  fixture.Advance(milliseconds(30));
  CHECK(fixture.cell.token() > before);
  const auto hold = fixture.Take<HoldOrder>();
  REQUIRE(hold);
  CHECK(hold->second.acked_end == 0);
  CHECK_FALSE(hold->second.deadline);
  // Neither a further task nor a repeated start goes to an incarnation that is not known.
  fixture.sent.clear();
  fixture.Advance(seconds(1));
  CHECK_FALSE(fixture.Take<StartOrder>());
}

// A clock that was read wrongly must not keep a target from work for good.
TEST_CASE("a target that answers later holds as the same incarnation gets starts again",
          "[cell][answer_origin]") {
  CellFixture fixture;
  fixture.estimate = seconds(60);
  fixture.tasks = 2;
  const OrderTicket start = fixture.PlaceTask();
  fixture.sent.clear();
  fixture.cell.OnOrderReply(start, DoneAt(milliseconds(5)), fixture.now);
  fixture.Advance(milliseconds(30));
  HoldReply lists = fixture.Reply();
  lists.running.push_back(RunningRun{kTask, 1, "", 1.0, 0.0});
  fixture.AnswerHold(lists);
  AcceptedSubmission second = fixture.Accepted();
  second.id = SubmissionId("00000000000000b2");
  fixture.cell.Accept(second, 2, fixture.now);
  fixture.Advance(milliseconds(200));
  fixture.Advance(milliseconds(200));
  CHECK(fixture.Take<StartOrder>());
}

}  // namespace pistachio
