#include <catch2/catch.hpp>

#include "pistachio/process/scheduling/record_codec.h"
#include "tests/scheduling/cell_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Answers the last start, so that its run is confirmed.
void ConfirmStart(CellFixture* fixture, OrderTicket start) {
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture->cell.OnOrderReply(start, done, fixture->now);
}

// The task counted as done and was never started again.
TEST_CASE("a long-running task whose run ends as done is started again", "[cell][run_ends]") {
  CellFixture fixture;
  fixture.long_running = true;
  fixture.tasks = 2;
  const bool stored_as_done = GENERATE(false, true);
  CAPTURE(stored_as_done);
  ConfirmStart(&fixture, fixture.PlaceTask());
  if (stored_as_done) {
    // As an owner of an earlier version wrote it.
    Submission submission = fixture.cell.submissions().at(kSubmission);
    submission.occurrences.at(0).steps[0].tasks[0].phase = TaskPhase::kDone;
    fixture.record = EncodeProgress(submission);
    fixture.ChangeOwner();
    fixture.Advance(milliseconds(1));
    fixture.AnswerHold(fixture.Reply());
  } else {
    HoldReply ended = fixture.Reply();
    ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
    fixture.Advance(milliseconds(10));
    fixture.AnswerHold(ended);
  }
  fixture.Advance(milliseconds(100));
  fixture.Advance(milliseconds(100));
  const auto& submission = fixture.cell.submissions().at(kSubmission);
  REQUIRE(submission.State() == SubmissionState::kRunning);
  REQUIRE(submission.occurrences.at(0).steps[0].done == 0);
  REQUIRE(TaskOf(fixture).run == 2);
  REQUIRE(TaskOf(fixture).HoldsResources());
}

}  // namespace
}  // namespace pistachio
