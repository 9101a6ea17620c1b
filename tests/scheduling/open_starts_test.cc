#include "pistachio/process/scheduling/open_starts.h"

#include <catch2/catch.hpp>

#include "tests/scheduling/cell_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};
/// Longest time after which an order without an answer is carried out.
constexpr Duration kLongestOrderDelay = seconds(12);
/// Time after which all ends must have been acknowledged.
constexpr Duration kLatest = seconds(15);
const TargetId kTarget("target");

/// Answers all holds with an end of the task until one acknowledges it. \returns the time until
/// then
Duration AcknowledgedAfter(CellFixture* fixture, RunOutcome outcome) {
  const TimePoint begin = fixture->now;
  while (fixture->now - begin < kLatest) {
    while (const auto hold = fixture->Take<HoldOrder>()) {
      if (hold->second.acked_end >= 1) {
        return fixture->now - begin;
      }
      HoldReply lists = fixture->Reply();
      lists.finished.push_back(FinishedRun{1, kTask, 1, outcome, ""});
      fixture->cell.OnHoldReply(hold->first, lists, fixture->now);
    }
    fixture->Advance(milliseconds(20));
  }
  FAIL("the end is never acknowledged");
  return kLatest;
}

/// Lets the target start the task. The first send has no answer if \a lost is set.
void StartTask(CellFixture* fixture, bool lost) {
  OrderTicket start = fixture->PlaceTask();
  if (lost) {
    fixture->Advance(milliseconds(400));
    fixture->cell.OnOrderReply(start, OrderReply{}, fixture->now);
    fixture->Advance(milliseconds(150));
    const auto repeated = fixture->Take<StartOrder>();
    REQUIRE(repeated);
    start = repeated->first;
  }
  OrderReply done;
  done.status = OrderStatus::kDone;
  done.clock = fixture->Reply().clock;
  fixture->cell.OnOrderReply(start, done, fixture->now);
}

}  // namespace

TEST_CASE("a start may arrive until its answer or for the longest delay after its timeout",
          "[open_starts]") {
  OpenStarts starts;
  CHECK_FALSE(starts.MayArrive(kTask, kNow));
  starts.OnSent(kTask, kTarget);
  CHECK(starts.MayArrive(kTask, kNow));
  SECTION("answered") {
    starts.OnAnswered(kTask, kTarget);
    CHECK_FALSE(starts.MayArrive(kTask, kNow));
    CHECK(starts.size() == 0);
  }
  SECTION("unanswered, and answered when sent again") {
    starts.OnUnanswered(kTask, kTarget, kNow + seconds(13));
    starts.OnSent(kTask, kTarget);
    starts.OnAnswered(kTask, kTarget);
    CHECK(starts.MayArrive(kTask, kNow + milliseconds(12999)));
    CHECK_FALSE(starts.MayArrive(kTask, kNow + seconds(13)));
    starts.Expire(kNow + milliseconds(12999));
    CHECK(starts.size() == 1);
    starts.Expire(kNow + seconds(13));
    CHECK(starts.size() == 0);
  }
  SECTION("an answer says nothing of another send in flight") {
    starts.OnSent(kTask, kTarget);
    starts.OnAnswered(kTask, kTarget);
    CHECK(starts.MayArrive(kTask, kNow));
    starts.Expire(kNow + seconds(100));
    CHECK(starts.MayArrive(kTask, kNow));
  }
}

TEST_CASE("each target that may carry out a start of the task is named", "[open_starts]") {
  OpenStarts starts;
  const TargetId other("other");
  starts.OnSent(kTask, kTarget);
  starts.OnSent(kTask, other);
  CHECK(starts.TargetsOf(kTask, kNow) == std::vector<TargetId>{other, kTarget});
  starts.OnAnswered(kTask, other);
  starts.OnUnanswered(kTask, kTarget, kNow + seconds(13));
  CHECK(starts.TargetsOf(kTask, kNow) == std::vector<TargetId>{kTarget});
  CHECK(starts.Tasks(kNow) == std::vector<TaskKey>{kTask});
  CHECK(starts.TargetsOf(kTask, kNow + seconds(13)).empty());
  CHECK(starts.Tasks(kNow + seconds(13)).empty());
}

// A start without an answer was sent again and the run was done. The next incarnation of the target
// carried the first send out after the end had been acknowledged.
TEST_CASE("an end is not acknowledged while a start of its task may still be carried out",
          "[cell][open_starts]") {
  CellFixture fixture;
  StartTask(&fixture, true);
  CHECK(AcknowledgedAfter(&fixture, RunOutcome::kDone) >= kLongestOrderDelay);
  // The state does not wait for the acknowledgement.
  CHECK(fixture.cell.submissions().at(kSubmission).State() == SubmissionState::kCompleted);
}

// After it, the task must not start again.
TEST_CASE("the last failure is not acknowledged while a start of its task may be carried out",
          "[cell][open_starts]") {
  CellFixture fixture;
  fixture.queue.max_attempts = GENERATE(1, 3);
  CAPTURE(fixture.queue.max_attempts);
  const auto configuration = std::make_shared<Configuration>();
  configuration->queues = {fixture.queue};
  fixture.cell.SetConfiguration(configuration);
  StartTask(&fixture, true);
  const Duration after = AcknowledgedAfter(&fixture, RunOutcome::kFailed);
  CHECK((after >= kLongestOrderDelay) == (fixture.queue.max_attempts == 1));
}

TEST_CASE("an end is acknowledged at once if all starts of its task were answered",
          "[cell][open_starts]") {
  CellFixture fixture;
  StartTask(&fixture, false);
  CHECK(AcknowledgedAfter(&fixture, RunOutcome::kDone) < seconds(1));
}

TEST_CASE("an end as stopped is acknowledged at once", "[cell][open_starts]") {
  CellFixture fixture;
  StartTask(&fixture, true);
  CHECK(AcknowledgedAfter(&fixture, RunOutcome::kStopped) < seconds(1));
}

// The former owner alone knew which starts had no answer.
TEST_CASE("a new owner acknowledges no end of a task while starts of the former owner may arrive",
          "[cell][open_starts]") {
  CellFixture fixture;
  StartTask(&fixture, true);
  fixture.ChangeOwner();
  CHECK(AcknowledgedAfter(&fixture, RunOutcome::kDone) >= kLongestOrderDelay);
}

// A target lists at most 500 ends, and the lists of one that has more are incomplete.
TEST_CASE("a target with many ends that may not be acknowledged gets no further run",
          "[cell][open_starts]") {
  CellFixture fixture;
  StartTask(&fixture, true);
  const RunNumber ends = GENERATE(200, 300);
  CAPTURE(ends);
  const auto answer_holds = [&fixture, ends] {
    while (const auto hold = fixture.Take<HoldOrder>()) {
      HoldReply lists = fixture.Reply();
      for (RunNumber number = 1; number <= ends; ++number) {
        const TaskKey task =
            number == 1 ? kTask : TaskKey{SubmissionId("00000000000000ff"), 0, 0, 0};
        const RunOutcome outcome = number == 1 ? RunOutcome::kDone : RunOutcome::kStopped;
        lists.finished.push_back(FinishedRun{number, task, number, outcome, ""});
      }
      fixture.cell.OnHoldReply(hold->first, lists, fixture.now);
    }
  };
  answer_holds();
  AcceptedSubmission second = fixture.Accepted();
  second.id = SubmissionId("00000000000000b2");
  fixture.cell.Accept(second, 2, fixture.now);
  const TimePoint submitted_at = fixture.now;
  std::optional<std::pair<OrderTicket, StartOrder>> start;
  while (!start && fixture.now - submitted_at < kLatest) {
    fixture.Advance(milliseconds(20));
    answer_holds();
    start = fixture.Take<StartOrder>();
  }
  REQUIRE(start);
  CHECK((fixture.now - submitted_at > seconds(5)) == (ends >= CellSettings().max_unacked_ends));
}

// A target answers a hold at once while it lists an end, so that an owner without a pause would ask
// again and again.
TEST_CASE("a target whose ends wait for their acknowledgement is asked a few times a second",
          "[cell][open_starts]") {
  CellFixture fixture;
  const bool lost_acknowledgement = GENERATE(false, true);
  CAPTURE(lost_acknowledgement);
  StartTask(&fixture, !lost_acknowledgement);
  HoldReply lists = fixture.Reply();
  lists.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
  bool lost = false;
  std::size_t holds = 0;
  constexpr Duration kTime = seconds(2);
  for (const TimePoint begin = fixture.now; fixture.now - begin < kTime;) {
    while (const auto hold = fixture.Take<HoldOrder>()) {
      holds++;
      const bool lose = lost_acknowledgement && hold->second.acked_end != 0 && !lost;
      lost = lost || lose;
      lists.clock = fixture.Reply().clock;
      fixture.cell.OnHoldReply(hold->first, lose ? HoldReply{} : lists, fixture.now);
    }
    fixture.Advance(milliseconds(5));
  }
  CHECK(lost == lost_acknowledgement);
  // The interval is at least 130 ms while the end is not in the store, 200 ms after that.
  CHECK(holds <= 16);
}

}  // namespace pistachio
