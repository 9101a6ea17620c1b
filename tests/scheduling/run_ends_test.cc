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

/// A task whose run 1 was given up with the lease of its silent target, and whose run 2 is at work
/// on another target.
class TwoRuns {
 public:
  TwoRuns() {
    this->fixture.queue.max_attempts = 1;
    Configuration configuration;
    configuration.queues.push_back(this->fixture.queue);
    this->fixture.cell.SetConfiguration(std::make_shared<Configuration>(configuration));
    ConfirmStart(&this->fixture, this->fixture.PlaceTask());
    this->fixture.LoseOrdersUntil(this->fixture.now + seconds(10));
    REQUIRE(this->task().phase == TaskPhase::kWaiting);
    this->other = this->fixture.entry;
    this->other.id = TargetId("other");
    this->other.address = "other:1";
    this->fixture.cell.PutTarget(this->other, this->fixture.now);
    this->AnswerHolds(this->other.id, this->fixture.Reply());
    this->fixture.Advance(milliseconds(100));
    const auto start = this->fixture.Take<StartOrder>();
    REQUIRE(start);
    REQUIRE(start->second.run == 2);
    ConfirmStart(&this->fixture, start->first);
    REQUIRE(this->task().phase == TaskPhase::kRunning);
  }

  const Task& task() const { return TaskOf(this->fixture); }
  SubmissionState state() const { return this->fixture.cell.submissions().at(kSubmission).State(); }

  /// Answers the holds to one target with \a reply; those to others get lost, and other orders
  /// stay.
  void AnswerHolds(const TargetId& target, const HoldReply& reply) {
    this->fixture.Advance(milliseconds(10));
    std::vector<OutgoingOrder> kept;
    for (OutgoingOrder& order : std::exchange(this->fixture.sent, {})) {
      if (std::holds_alternative<HoldOrder>(order.order.order)) {
        const bool answers = order.order.target == target;
        this->fixture.cell.OnHoldReply(order.ticket, answers ? reply : HoldReply{},
                                       this->fixture.now);
      } else {
        kept.push_back(std::move(order));
      }
    }
    this->fixture.sent = std::move(kept);
  }

  /// The first target lists an end of the task.
  void ListLateEnd(RunNumber run, RunOutcome outcome = RunOutcome::kDone) {
    this->fixture.Advance(seconds(1));
    HoldReply ended = this->fixture.Reply();
    ended.finished.push_back(FinishedRun{1, kTask, run, outcome, ""});
    this->AnswerHolds(this->fixture.entry.id, ended);
  }

  /// The other target lists the end of run 2.
  void ListEndOfRun2(RunOutcome outcome) {
    this->fixture.Advance(milliseconds(500));
    HoldReply ended = this->fixture.Reply();
    ended.finished.push_back(FinishedRun{1, kTask, 2, outcome, ""});
    this->AnswerHolds(this->other.id, ended);
  }

  CellFixture fixture;
  TargetEntry other;
};

// The end was dropped and acknowledged. When the later run had ended otherwise, the task ran again.
TEST_CASE("a late end as done completes a task beside its later run", "[cell][run_ends]") {
  const RunNumber done_run = GENERATE(1, 3);
  const RunOutcome outcome = GENERATE(RunOutcome::kStopped, RunOutcome::kFailed, RunOutcome::kDone,
                                      RunOutcome::kLeaseExpired);
  CAPTURE(done_run, static_cast<int>(outcome));
  TwoRuns runs;
  runs.ListLateEnd(done_run);
  runs.fixture.Advance(milliseconds(100));
  // The run keeps its resources until it has ended.
  CHECK(runs.task().phase == TaskPhase::kStopping);
  CHECK(runs.state() == SubmissionState::kRunning);
  const auto stop = runs.fixture.Take<StopOrder>();
  REQUIRE(stop);
  REQUIRE(stop->second.run == 2);
  runs.ListEndOfRun2(outcome);
  runs.fixture.Advance(milliseconds(200));
  runs.fixture.Advance(milliseconds(200));
  CHECK(runs.task().phase == TaskPhase::kDone);
  CHECK(runs.state() == SubmissionState::kCompleted);
  CHECK_FALSE(runs.fixture.Take<StartOrder>());
}

TEST_CASE("a late end as done outlasts a change of owner", "[cell][run_ends]") {
  TwoRuns runs;
  runs.ListLateEnd(1);
  runs.fixture.Advance(milliseconds(200));
  runs.fixture.Advance(milliseconds(200));
  runs.fixture.ChangeOwner();
  runs.fixture.cell.PutTarget(runs.other, runs.fixture.now);
  runs.fixture.Advance(milliseconds(10));
  const auto stop = runs.fixture.Take<StopOrder>();
  REQUIRE(stop);
  REQUIRE(stop->second.run == 2);
  runs.ListEndOfRun2(RunOutcome::kStopped);
  for (int step = 0; step < 10; ++step) {
    runs.AnswerHolds(runs.fixture.entry.id, runs.fixture.Reply());
  }
  CHECK(runs.task().phase == TaskPhase::kDone);
  CHECK(runs.state() == SubmissionState::kCompleted);
  CHECK_FALSE(runs.fixture.Take<StartOrder>());
}

TEST_CASE("a late end other than as done does not touch the later run", "[cell][run_ends]") {
  TwoRuns runs;
  runs.ListLateEnd(1, GENERATE(RunOutcome::kFailed, RunOutcome::kLeaseExpired));
  runs.fixture.Advance(milliseconds(200));
  CHECK(runs.task().phase == TaskPhase::kRunning);
  CHECK_FALSE(runs.fixture.Take<StopOrder>());
}

// The log told the time since the epoch of the process's clock.
TEST_CASE("the length of a run that an earlier owner started is logged as unknown",
          "[cell][run_ends]") {
  CellFixture fixture;
  ConfirmStart(&fixture, fixture.PlaceTask());
  fixture.ChangeOwner();
  fixture.Advance(milliseconds(10));
  fixture.cell.TakeEvents();
  HoldReply ended = fixture.Reply();
  ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
  fixture.AnswerHold(ended);
  for (const EventRecord& event : fixture.cell.TakeEvents()) {
    for (const auto& [name, value] : event.fields) {
      if (name == "after-ms" && event.code == EventCode::kRunEnded) {
        CHECK(value == "unknown");
        return;
      }
    }
  }
  FAIL("no end was logged");
}

}  // namespace
}  // namespace pistachio
