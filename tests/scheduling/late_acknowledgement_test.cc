#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "tests/scheduling/cell_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One incarnation of a target, as far as fencing tokens and ends matter.
struct TargetProcess {
  /// \returns false if the target has seen a higher token. Otherwise it discards the ends that the
  ///   hold acknowledges.
  bool CarryOut(const HoldOrder& hold, FencingToken token) {
    if (token < this->highest_token) {
      return false;
    }
    this->highest_token = token;
    this->finished.erase(
        std::remove_if(this->finished.begin(), this->finished.end(),
                       [&hold](const FinishedRun& end) { return end.number <= hold.acked_end; }),
        this->finished.end());
    return true;
  }

  FencingToken highest_token = 0;
  std::vector<FinishedRun> finished;
};

// Ends are numbered anew in each incarnation of a target. An acknowledgement that had no answer may
// be carried out by the next incarnation, which then discards an end that nobody has received. The
// lists lack the run, and its task, which is done, starts again.
TEST_CASE("a late acknowledgement is refused by the next incarnation of its target",
          "[cell][holds]") {
  CellFixture fixture;
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  HoldReply ended = fixture.Reply();
  ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
  fixture.AnswerHold(ended);
  fixture.Advance(milliseconds(30));
  const auto late = fixture.Take<HoldOrder>();
  REQUIRE(late);
  REQUIRE(late->second.acked_end == 1);
  const FencingToken late_token = fixture.cell.token();
  fixture.Advance(seconds(1));
  fixture.cell.OnHoldReply(late->first, HoldReply{}, fixture.now);

  TargetProcess target;
  const auto answer_hold = [&fixture, &target] {
    fixture.Advance(milliseconds(200));
    const auto hold = fixture.Take<HoldOrder>();
    REQUIRE(hold);
    REQUIRE(target.CarryOut(hold->second, fixture.cell.token()));
    HoldReply lists = fixture.Reply(kIncarnation + 1);
    lists.finished = target.finished;
    fixture.cell.OnHoldReply(hold->first, lists, fixture.now);
  };
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  fixture.sent.clear();
  answer_hold();
  AcceptedSubmission second = fixture.Accepted();
  second.id = SubmissionId("00000000000000b2");
  const TaskKey task{second.id, 0, 0, 0};
  fixture.cell.Accept(second, 2, fixture.now);
  fixture.Advance(milliseconds(200));
  fixture.Advance(milliseconds(200));
  const auto start = fixture.Take<StartOrder>();
  REQUIRE(start);
  REQUIRE(start->second.task == task);
  target.highest_token = std::max(target.highest_token, fixture.cell.token());
  fixture.cell.OnOrderReply(start->first, done, fixture.now);
  // The task is done before the late hold is carried out, within 12 s of its sending.
  target.finished.push_back(FinishedRun{1, task, 1, RunOutcome::kDone, ""});
  CHECK_FALSE(target.CarryOut(late->second, late_token));

  answer_hold();
  answer_hold();
  fixture.Advance(seconds(1));
  const auto& submission = fixture.cell.submissions().at(second.id);
  CHECK(submission.State() == SubmissionState::kCompleted);
  CHECK_FALSE(fixture.Take<StartOrder>());
}

// The next incarnation may do the work of a start before its owner learns that there is a next one.
TEST_CASE("starts have a higher token than an acknowledgement without an answer", "[cell][holds]") {
  CellFixture fixture;
  const bool lost = GENERATE(true, false);
  CAPTURE(lost);
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  HoldReply ended = fixture.Reply();
  ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
  fixture.AnswerHold(ended);
  fixture.Advance(milliseconds(30));
  const auto token_of = [&fixture](auto is_wanted) {
    const auto order = std::find_if(
        fixture.sent.begin(), fixture.sent.end(),
        [&is_wanted](const OutgoingOrder& sent) { return is_wanted(sent.order.order); });
    REQUIRE(order != fixture.sent.end());
    return order->token;
  };
  const FencingToken acknowledgement_token = token_of([](const auto& order) {
    const auto* hold = std::get_if<HoldOrder>(&order);
    return hold != nullptr && hold->acked_end == 1;
  });
  const auto acknowledgement = fixture.Take<HoldOrder>();
  REQUIRE(acknowledgement);
  const bool further_hold_was_answered = lost && GENERATE(false, true);
  CAPTURE(further_hold_was_answered);
  if (further_hold_was_answered) {
    fixture.Advance(milliseconds(400));
    fixture.AnswerHold(fixture.Reply());
  }
  fixture.Advance(milliseconds(400));
  fixture.sent.clear();
  fixture.cell.OnHoldReply(acknowledgement->first, lost ? HoldReply{} : fixture.Reply(),
                           fixture.now);

  AcceptedSubmission second = fixture.Accepted();
  second.id = SubmissionId("00000000000000b2");
  fixture.cell.Accept(second, 2, fixture.now);
  const auto is_start = [](const auto& order) { return std::holds_alternative<StartOrder>(order); };
  const auto has_start = [&fixture, &is_start] {
    return std::any_of(
        fixture.sent.begin(), fixture.sent.end(),
        [&is_start](const OutgoingOrder& sent) { return is_start(sent.order.order); });
  };
  for (int i = 0; i < 20 && !has_start(); ++i) {
    fixture.Advance(milliseconds(100));
    while (const auto hold = fixture.Take<HoldOrder>()) {
      fixture.cell.OnHoldReply(hold->first, fixture.Reply(), fixture.now);
    }
  }
  CHECK((token_of(is_start) > acknowledgement_token) == lost);
}

}  // namespace
}  // namespace pistachio
