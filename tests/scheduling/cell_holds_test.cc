#include <algorithm>
#include <catch2/catch.hpp>

#include "pistachio/process/scheduling/record_codec.h"
#include "tests/scheduling/cell_fixture.h"
#include "tests/scheduling/store_revision.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs the task until its end has been reported. The end is not in the store yet.
void CompleteTask(CellFixture* fixture) {
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture->cell.OnOrderReply(fixture->PlaceTask(), done, fixture->now);
  HoldReply ended = fixture->Reply();
  ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
  fixture->AnswerHold(ended);
}

TEST_CASE("the number of the last end is acknowledged in a hold without a long poll",
          "[cell][holds]") {
  // During a long poll the target may restart, and its new incarnation could apply the
  // acknowledgement to its own ends, whose numbers start anew.
  CellFixture fixture;
  CompleteTask(&fixture);
  fixture.Advance(milliseconds(30));
  const auto acknowledging = fixture.Take<HoldOrder>();
  REQUIRE(acknowledging);
  REQUIRE(acknowledging->second.acked_end == 1);
  REQUIRE(acknowledging->second.wait.count() == 0);
}

// A target may restart between two holds, and each incarnation counts its ends anew.
TEST_CASE("an acknowledgement meant for an earlier incarnation leaves the next one's ends open",
          "[cell][holds]") {
  CellFixture fixture;
  CompleteTask(&fixture);
  fixture.Advance(milliseconds(30));
  HoldReply ended = fixture.Reply(kIncarnation + 1);
  ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kStopped, ""});
  fixture.AnswerHold(ended);
  fixture.Advance(milliseconds(130));
  fixture.AnswerHold(ended);
  fixture.Advance(milliseconds(130));
  const auto acknowledging = fixture.Take<HoldOrder>();
  REQUIRE(acknowledging);
  REQUIRE(acknowledging->second.acked_end == 1);
}

TEST_CASE("a restarted target is asked although holds to its earlier incarnation are unanswered",
          "[cell][holds]") {
  CellFixture fixture;
  fixture.PlaceTask();
  fixture.Advance(milliseconds(1));
  const auto unanswered = fixture.Take<HoldOrder>();
  REQUIRE(unanswered);
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  fixture.Advance(milliseconds(1));
  const auto hold = fixture.Take<HoldOrder>();
  REQUIRE(hold);
  fixture.cell.OnHoldReply(unanswered->first, HoldReply{}, fixture.now);
  const auto events = fixture.cell.TakeEvents();
  REQUIRE(std::none_of(events.begin(), events.end(), [](const EventRecord& event) {
    return event.code == EventCode::kTargetSilent;
  }));
}

// Its target may not answer, and then the stop is awaited until the lease expires.
TEST_CASE("a cancelled task whose start was never sent needs no stop", "[cell][holds]") {
  CellFixture fixture;
  fixture.Advance(milliseconds(1));
  fixture.AnswerHold(fixture.Reply());
  fixture.cell.SetRegistrationsCurrent(false);
  fixture.Submit();
  fixture.Advance(milliseconds(200));
  fixture.cell.Cancel(kSubmission, {}, fixture.now);
  fixture.Advance(milliseconds(10));
  REQUIRE_FALSE(fixture.Take<StopOrder>());
  REQUIRE(fixture.cell.submissions().at(kSubmission).Ended());
}

TEST_CASE("after a pause, ends are not acknowledged before the target has answered again",
          "[cell][holds]") {
  // While a host is suspended for seconds, the target may restart; the new incarnation numbers its
  // ends anew.
  CellFixture fixture;
  CompleteTask(&fixture);
  fixture.Advance(milliseconds(30), seconds(3));
  const auto polling = fixture.Take<HoldOrder>();
  REQUIRE(polling);
  REQUIRE(polling->second.acked_end == 0);
  REQUIRE(polling->second.wait.count() == 0);
}

TEST_CASE("a start without an answer that a new incarnation has carried out keeps its task",
          "[cell][holds]") {
  CellFixture fixture;
  fixture.PlaceTask();
  HoldReply restarted = fixture.Reply(kIncarnation + 1);
  restarted.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  fixture.AnswerHold(restarted);
  const Task& task = fixture.cell.submissions().at(kSubmission).occurrences.at(0).steps[0].tasks[0];
  REQUIRE(task.phase == TaskPhase::kRunning);
  REQUIRE(task.incarnation.number == kIncarnation + 1);
  REQUIRE(task.run == 1);
}

// A later owner asks there for the run if the target is not registered.
TEST_CASE("a task keeps the address at which its target has restarted under its id",
          "[cell][holds]") {
  CellFixture fixture;
  fixture.PlaceTask();
  const bool new_owner = GENERATE(false, true);
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.entry.address = "target:2";
  if (new_owner) {
    fixture.ChangeOwner();
  } else {
    fixture.cell.PutTarget(fixture.entry, fixture.now);
  }
  HoldReply restarted = fixture.Reply(kIncarnation + 1);
  restarted.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  fixture.Advance(milliseconds(10));
  fixture.AnswerHold(restarted);
  fixture.Advance(milliseconds(10));
  REQUIRE_FALSE(fixture.Take<StopOrder>());
  const Task& task = fixture.cell.submissions().at(kSubmission).occurrences.at(0).steps[0].tasks[0];
  REQUIRE(task.phase == TaskPhase::kRunning);
  REQUIRE(task.incarnation.address == "target:2");
}

TEST_CASE("a new incarnation gets a stop for starts that an earlier one never answered",
          "[cell][holds]") {
  // The first send of the start may take effect seconds later, when the task is done already.
  CellFixture fixture;
  const OrderTicket first = fixture.PlaceTask();
  fixture.cell.OnOrderReply(first, OrderReply{}, fixture.now);
  fixture.Advance(milliseconds(150));
  const auto second = fixture.Take<StartOrder>();
  REQUIRE(second);
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(second->first, done, fixture.now);
  HoldReply ended = fixture.Reply();
  ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
  fixture.AnswerHold(ended);
  fixture.Advance(milliseconds(150));
  REQUIRE_FALSE(fixture.Take<StopOrder>());
  TargetEntry restarted = fixture.entry;
  restarted.incarnation = kIncarnation + 1;
  fixture.cell.PutTarget(restarted, fixture.now);
  fixture.Advance(milliseconds(10));
  const auto cancelling_stop = fixture.Take<StopOrder>();
  REQUIRE(cancelling_stop);
  REQUIRE(cancelling_stop->second.task == kTask);
  REQUIRE(cancelling_stop->second.run == 1);
  fixture.cell.OnOrderReply(cancelling_stop->first, done, fixture.now);
  fixture.Advance(seconds(2));
  REQUIRE_FALSE(fixture.Take<StopOrder>());
}

TEST_CASE("a run ends for certain only once the next incarnation has refused its lost starts",
          "[cell][holds]") {
  // The first send of the start may reach the next incarnation, which has seen no token.
  CellFixture fixture;
  const OrderTicket first = fixture.PlaceTask();
  fixture.cell.OnOrderReply(first, OrderReply{}, fixture.now);
  fixture.Advance(milliseconds(150));
  const auto second = fixture.Take<StartOrder>();
  REQUIRE(second);
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(second->first, done, fixture.now);
  HoldReply listed = fixture.Reply();
  listed.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  fixture.AnswerHold(listed);
  REQUIRE(TaskOf(fixture).reported);

  SECTION("the late start has not arrived") {
    fixture.Advance(milliseconds(10));
    fixture.AnswerHold(fixture.Reply(kIncarnation + 1));
    REQUIRE(TaskOf(fixture).run == 1);
    REQUIRE(TaskOf(fixture).HoldsResources());
    fixture.Advance(milliseconds(10));
    const auto stop = fixture.Take<StopOrder>();
    REQUIRE(stop);
    REQUIRE(stop->second.run == 1);
    fixture.cell.OnOrderReply(stop->first, done, fixture.now);
    // This hold may have been answered before the stop arrived.
    fixture.AnswerHold(fixture.Reply(kIncarnation + 1));
    REQUIRE(TaskOf(fixture).HoldsResources());
    fixture.Advance(milliseconds(10));
    fixture.AnswerHold(fixture.Reply(kIncarnation + 1));
    REQUIRE(TaskOf(fixture).phase == TaskPhase::kWaiting);
    // The task may have crashed the target, so it starts on a target that starts nothing else.
    fixture.Advance(CrashSettings{}.quiet_time);
    fixture.Advance(milliseconds(30));
    REQUIRE(TaskOf(fixture).run == 2);
    REQUIRE(fixture.Take<StartOrder>());
  }
  SECTION("the late start has been carried out") {
    fixture.Advance(milliseconds(10));
    listed.incarnation = kIncarnation + 1;
    fixture.AnswerHold(listed);
    REQUIRE(TaskOf(fixture).run == 1);
    REQUIRE(TaskOf(fixture).HoldsResources());
    REQUIRE(TaskOf(fixture).incarnation.number == kIncarnation + 1);
  }
}

// A restarted target counts its time anew, so a deadline that was meant for its earlier incarnation
// lies far ahead. The target cuts it to the longest lease, 10 s, on a clock that may be slow.
constexpr Duration kLongestLease = milliseconds(10200);

/// The target answers a start with \a answer. It leaves a hold with a deadline unanswered, and its
/// next incarnation answers \a lists to a hold that was sent before the restart and to the first
/// one with a higher token.
void LoseHoldAndRestart(CellFixture* fixture, OrderTicket start, OrderStatus answer,
                        HoldReply lists) {
  OrderReply reply;
  reply.status = answer;
  fixture->cell.OnOrderReply(start, reply, fixture->now);
  const auto lost = fixture->Take<HoldOrder>();
  REQUIRE(lost);
  REQUIRE(lost->second.deadline);
  fixture->Advance(milliseconds(1400));
  fixture->AnswerHold(lists);
  fixture->cell.OnHoldReply(lost->first, HoldReply{}, fixture->now);
  fixture->Advance(milliseconds(10));
  lists.clock = *lists.clock + TargetTime(10);
  fixture->AnswerHold(lists);
}

TEST_CASE("runs of a next incarnation are not given up while a deadline of the earlier one holds",
          "[cell][holds]") {
  CellFixture fixture;
  fixture.estimate = std::chrono::minutes(2);
  const OrderTicket start = fixture.PlaceTask();
  HoldReply restarted = fixture.Reply(kIncarnation + 1);
  restarted.clock = TargetTime(900);
  restarted.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  TimePoint lease_end;

  SECTION("of the hold that the next incarnation answers") {
    OrderReply done;
    done.status = OrderStatus::kDone;
    fixture.cell.OnOrderReply(start, done, fixture.now);
    fixture.AnswerHold(restarted);
    lease_end = fixture.now + kLongestLease;
  }
  SECTION("of a start that the next incarnation answers after a hold") {
    fixture.AnswerHold(restarted);
    fixture.now += milliseconds(300);
    OrderReply done;
    done.status = OrderStatus::kDone;
    done.clock = TargetTime(1200);
    fixture.cell.OnOrderReply(start, done, fixture.now);
    lease_end = fixture.now + kLongestLease;
  }
  // Until the next incarnation has answered an order with a token of its own, it takes the deadline
  // of one with a lower token. The answer before was to an order for the earlier incarnation.
  SECTION("of a start that arrives late") {
    const TimePoint sent_at = fixture.now;
    fixture.cell.OnOrderReply(start, OrderReply{}, fixture.now);
    fixture.AnswerHold(restarted);
    lease_end = sent_at + seconds(12) + kLongestLease;
  }
  SECTION("of a hold that arrives before the answer to an order with a higher token") {
    LoseHoldAndRestart(&fixture, start, OrderStatus::kDone, restarted);
    lease_end = fixture.now + kLongestLease;
  }
  SECTION("of a hold that arrives at an incarnation after the one that has answered") {
    LoseHoldAndRestart(&fixture, start, OrderStatus::kNoAnswer, restarted);
    const TimePoint lost_at = fixture.now;
    fixture.Advance(milliseconds(10));
    HoldReply again = fixture.Reply(kIncarnation + 2);
    again.clock = TargetTime(100);
    again.running = restarted.running;
    fixture.AnswerHold(again);
    lease_end = lost_at + seconds(12) + kLongestLease;
  }
  REQUIRE(TaskOf(fixture).incarnation.number > kIncarnation);
  fixture.LoseOrdersUntil(lease_end);
  CHECK(TaskOf(fixture).run == 1);
  CHECK(TaskOf(fixture).HoldsResources());
  // The wait has an end.
  fixture.LoseOrdersUntil(lease_end + seconds(2));
  CHECK_FALSE(TaskOf(fixture).HoldsResources());
}

TEST_CASE("an answer of an earlier incarnation does not set the clock of the next one",
          "[cell][holds]") {
  // Deadlines far ahead on the clock of the next incarnation would be cut to 10 s.
  CellFixture fixture;
  fixture.estimate = std::chrono::minutes(2);
  const OrderTicket start = fixture.PlaceTask();
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  OrderReply late;
  late.status = OrderStatus::kDone;
  late.clock = fixture.Reply().clock;
  fixture.cell.OnOrderReply(start, late, fixture.now);
  HoldReply restarted = fixture.Reply(kIncarnation + 1);
  restarted.clock = TargetTime(900);
  restarted.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  fixture.AnswerHold(restarted);
  fixture.Advance(milliseconds(100));
  const auto hold = fixture.Take<HoldOrder>();
  REQUIRE(hold);
  REQUIRE(hold->second.deadline);
  REQUIRE(*hold->second.deadline <= TargetTime(900 + 100 + 7500));
}

TEST_CASE("a task is not started again while its start may reach a next incarnation",
          "[cell][holds]") {
  // The target restarts behind a cut. An order may arrive up to 12 s after its sending, and the
  // next incarnation carries out a start whose deadline has passed on the clock of the earlier one.
  CellFixture fixture;
  fixture.estimate = std::chrono::minutes(2);
  fixture.long_running = GENERATE(false, true);
  CAPTURE(fixture.long_running);
  const OrderTicket start = fixture.PlaceTask();
  const TimePoint sent_at = fixture.now;
  fixture.cell.OnOrderReply(start, OrderReply{}, fixture.now);
  fixture.LoseOrdersUntil(sent_at + milliseconds(8200));
  if (fixture.long_running) {
    // A long-running task may be without a run for 6 s only.
    CHECK_FALSE(TaskOf(fixture).HoldsResources());
    return;
  }
  SECTION("the target stays silent") {
    fixture.LoseOrdersUntil(sent_at + seconds(12));
    CHECK(TaskOf(fixture).HoldsResources());
    fixture.LoseOrdersUntil(sent_at + seconds(16));
    CHECK_FALSE(TaskOf(fixture).HoldsResources());
  }
  SECTION("the next incarnation has carried out the start") {
    std::optional<std::pair<OrderTicket, HoldOrder>> hold;
    for (int step = 0; step < 100 && !hold; ++step) {
      fixture.Advance(milliseconds(20));
      hold = fixture.Take<HoldOrder>();
    }
    REQUIRE(hold);
    HoldReply restarted = fixture.Reply(kIncarnation + 1);
    restarted.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
    fixture.cell.OnHoldReply(hold->first, restarted, fixture.now);
    CHECK(TaskOf(fixture).run == 1);
    CHECK(TaskOf(fixture).HoldsResources());
  }
}

TEST_CASE("a crash counts once for a task that outlasts the lease of its target", "[cell][holds]") {
  CellFixture fixture;
  fixture.estimate = std::chrono::minutes(2);
  fixture.tasks = 2;
  const auto all_tasks = [&fixture] {
    return fixture.cell.submissions().at(kSubmission).occurrences.at(0).steps[0].tasks;
  };
  fixture.cell.OnOrderReply(fixture.PlaceTask(), OrderReply{}, fixture.now);
  OrderReply done;
  done.status = OrderStatus::kDone;
  const auto other = fixture.Take<StartOrder>();
  REQUIRE(other);
  // The clock shows that the incarnation has answered that crashes later.
  done.clock = fixture.Reply().clock;
  fixture.cell.OnOrderReply(other->first, done, fixture.now);
  fixture.Advance(milliseconds(150));
  const auto second = fixture.Take<StartOrder>();
  REQUIRE(second);
  done.clock = fixture.Reply().clock;
  fixture.cell.OnOrderReply(second->first, done, fixture.now);
  fixture.LoseOrdersUntil(fixture.now + milliseconds(8500));
  REQUIRE(all_tasks()[0].HoldsResources() != all_tasks()[1].HoldsResources());
  fixture.cell.RemoveTarget(fixture.entry.id, fixture.now);
  fixture.entry.id = TargetId("replacement");
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  for (const Task& task : all_tasks()) {
    CHECK_FALSE(task.HoldsResources());
    CHECK(task.crash_record.crashes == 1);
  }
}

TEST_CASE("a start that an earlier owner may have sent is barred in a next incarnation",
          "[cell][holds]") {
  // The start has not arrived when the target answers the new owner, and has no deadline that holds
  // in the next incarnation of the target, which has seen no token.
  CellFixture former;
  former.PlaceTask();
  CellFixture fixture;
  fixture.cell = Cell(CellId("all"), CellSettings{}, 8, fixture.now);
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  const Submission& submission = former.cell.submissions().at(kSubmission);
  fixture.cell.Load(submission.accepted, 1, EncodeProgress(submission), fixture.now);
  fixture.cell.FinishLoading(fixture.now);
  fixture.Advance(milliseconds(10));
  fixture.AnswerHold(fixture.Reply());
  REQUIRE_FALSE(TaskOf(fixture).HoldsResources());
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  fixture.Advance(milliseconds(10));
  const auto stop = fixture.Take<StopOrder>();
  REQUIRE(stop);
  REQUIRE(stop->second.task == kTask);
  REQUIRE(stop->second.run == 1);
}

TEST_CASE("an answer from the former address of a target does not end its runs", "[cell][holds]") {
  // The target has restarted at another address, and another target has taken the former one.
  CellFixture fixture;
  const OrderTicket start = fixture.PlaceTask();
  const auto hold = fixture.Take<HoldOrder>();
  REQUIRE(hold);
  fixture.entry.incarnation = kIncarnation + 1;
  fixture.entry.address = "target:2";
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  HoldReply reply;
  reply.status = OrderStatus::kWrongInstance;
  fixture.cell.OnHoldReply(hold->first, reply, fixture.now);
  REQUIRE(TaskOf(fixture).HoldsResources());
  OrderReply start_reply;
  start_reply.status = OrderStatus::kWrongInstance;
  fixture.cell.OnOrderReply(start, start_reply, fixture.now);
  // The start has certainly not been carried out.
  REQUIRE_FALSE(TaskOf(fixture).HoldsResources());
}

TEST_CASE("a clock reading does not count as older than the answer that it came with",
          "[cell][holds]") {
  // The answer to a long poll arrives while the process is suspended or still in its last tick. The
  // process handles it before it notices the time.
  CellFixture fixture;
  fixture.estimate = std::chrono::minutes(2);
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  const TimePoint handled_at = fixture.now;
  fixture.now += seconds(1);
  HoldReply late = fixture.Reply();
  late.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  const auto hold = fixture.Take<HoldOrder>();
  REQUIRE(hold);
  fixture.cell.OnHoldReply(hold->first, late, handled_at);
  fixture.Advance(milliseconds(1));
  const auto next_hold = fixture.Take<HoldOrder>();
  REQUIRE(next_hold);
  REQUIRE(next_hold->second.deadline);
  // The lease counts as 7.5 s, so the target must not get a longer one.
  CHECK(*next_hold->second.deadline <= *fixture.Reply().clock + milliseconds(7500));
  fixture.LoseOrdersUntil(fixture.now + milliseconds(7650));
  CHECK(TaskOf(fixture).HoldsResources());
}

TEST_CASE("a task does not start while a run of it that no record places is still alive",
          "[cell][holds]") {
  // For example, a next incarnation has carried out a start of the run before.
  CellFixture fixture;
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  HoldReply listed = fixture.Reply();
  listed.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  fixture.AnswerHold(listed);
  fixture.Advance(milliseconds(10));
  listed.incarnation = kIncarnation + 1;
  fixture.AnswerHold(listed);
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kWaiting);
  for (int tick = 0; tick < 60; ++tick) {
    fixture.Advance(milliseconds(20));
    REQUIRE_FALSE(fixture.Take<StartOrder>());
  }
  const auto stop = fixture.Take<StopOrder>();
  REQUIRE(stop);
  fixture.cell.OnOrderReply(stop->first, done, fixture.now);
  fixture.AnswerHold(fixture.Reply(kIncarnation + 1));
  fixture.Advance(milliseconds(200));
  fixture.Advance(milliseconds(200));
  const auto start = fixture.Take<StartOrder>();
  REQUIRE(start);
  REQUIRE(start->second.run == 2);
}

TEST_CASE("an assignment to a target without a lease waits for its commit", "[cell][holds]") {
  // In a store outage no lease is extended, and the commit of an assignment has no answer.
  CellFixture fixture;
  fixture.Advance(milliseconds(1));
  fixture.AnswerHold(fixture.Reply());
  fixture.now += seconds(9);
  fixture.cell.Tick(fixture.now, WallTime(0));
  fixture.Submit();
  for (int tick = 0; tick < 100; ++tick) {
    fixture.now += milliseconds(10);
    fixture.cell.Tick(fixture.now, WallTime(0));
  }
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kAssigned);
  REQUIRE(TaskOf(fixture).run == 1);
}

TEST_CASE("a run that was done while its target was silent is not repeated", "[cell][holds]") {
  // The target was cut off until the lease of the run had expired, and lists the end afterwards.
  CellFixture fixture;
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  // Every hold is lost.
  for (int hold = 0; hold < 40; ++hold) {
    fixture.Advance(milliseconds(400));
    if (const auto lost = fixture.Take<HoldOrder>()) {
      fixture.cell.OnHoldReply(lost->first, HoldReply{}, fixture.now);
    }
  }
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kWaiting);
  fixture.Advance(milliseconds(400));
  HoldReply ended = fixture.Reply();
  ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
  fixture.AnswerHold(ended);
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kDone);
  fixture.Advance(milliseconds(200));
  REQUIRE_FALSE(fixture.Take<StartOrder>());
  REQUIRE(fixture.cell.submissions().at(kSubmission).State() == SubmissionState::kCompleted);
}

TEST_CASE("a late end completes a task whose later run was never sent", "[cell][holds]") {
  // The start of the later run waits for current registrations.
  CellFixture fixture;
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  fixture.LoseOrdersUntil(fixture.now + seconds(10));
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kWaiting);
  fixture.cell.SetRegistrationsCurrent(false);
  TargetEntry other = fixture.entry;
  other.id = TargetId("other");
  other.address = "other:1";
  fixture.cell.PutTarget(other, fixture.now);
  fixture.Advance(milliseconds(10));
  for (const OutgoingOrder& order : std::exchange(fixture.sent, {})) {
    const bool answers = order.order.target == other.id;
    fixture.cell.OnHoldReply(order.ticket, answers ? fixture.Reply() : HoldReply{}, fixture.now);
  }
  fixture.Advance(seconds(2));
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kStarting);
  REQUIRE(TaskOf(fixture).run == 2);
  HoldReply ended = fixture.Reply();
  ended.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kDone, ""});
  for (const OutgoingOrder& order : std::exchange(fixture.sent, {})) {
    if (order.order.target == fixture.entry.id) {
      fixture.cell.OnHoldReply(order.ticket, ended, fixture.now);
    }
  }
  CHECK(TaskOf(fixture).phase == TaskPhase::kDone);
  fixture.cell.SetRegistrationsCurrent(true);
  fixture.Advance(milliseconds(200));
  CHECK_FALSE(fixture.Take<StartOrder>());
}

TEST_CASE("a hold extends the lease on a draining target by at most 4 s", "[cell][holds]") {
  CellFixture fixture;
  fixture.PlaceTask();
  fixture.Advance(milliseconds(1));
  fixture.AnswerHold(fixture.Reply());
  fixture.entry.state = TargetState::kDraining;
  fixture.entry.drain_remaining = seconds(7);
  fixture.cell.PutTarget(fixture.entry, fixture.now);
  fixture.Advance(milliseconds(1));
  const auto hold = fixture.Take<HoldOrder>();
  REQUIRE(hold);
  REQUIRE(hold->second.deadline);
  REQUIRE(*hold->second.deadline <= *fixture.Reply().clock + seconds(4));
  // A change of owner takes up to 2 s.
  REQUIRE(*hold->second.deadline > *fixture.Reply().clock + seconds(2));
}

TEST_CASE("no start is sent to a target that went silent after the assignment", "[cell][holds]") {
  CellFixture fixture;
  fixture.Advance(milliseconds(1));
  fixture.AnswerHold(fixture.Reply());
  fixture.Submit();
  fixture.now += milliseconds(20);
  fixture.cell.ConfirmOwnership(fixture.now);
  fixture.cell.Tick(fixture.now, WallTime(0));
  const auto batch = fixture.cell.NextCommit(fixture.now);
  REQUIRE(batch);
  for (OutgoingOrder& order : fixture.cell.TakeOrders()) {
    fixture.sent.push_back(std::move(order));
  }
  fixture.AnswerHold(HoldReply{});
  fixture.cell.OnCommitted(batch->number, RevisionOf(*batch), fixture.now);
  fixture.Advance(milliseconds(20));
  REQUIRE_FALSE(fixture.Take<StartOrder>());
}

TEST_CASE("a target that answers each hold a second late keeps its runs", "[cell][holds]") {
  CellFixture fixture;
  fixture.estimate = std::chrono::minutes(2);
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  TimePoint lease_end = fixture.now + seconds(7);
  // The holds that are not answered in time are carried out all the same.
  for (int hold = 0; hold < 30; ++hold) {
    for (int wait = 0; wait < 40 && fixture.sent.empty(); ++wait) {
      fixture.Advance(milliseconds(20));
    }
    REQUIRE_FALSE(fixture.sent.empty());
    const Duration timeout = fixture.sent.back().order.timeout;
    const auto order = fixture.Take<HoldOrder>();
    REQUIRE(order);
    fixture.sent.clear();
    const Duration answered_after = order->second.wait + seconds(1);
    if (order->second.deadline) {
      lease_end = TimePoint(std::chrono::duration_cast<Duration>(*order->second.deadline));
    }
    fixture.now += std::min(timeout, answered_after);
    HoldReply reply;
    if (answered_after <= timeout) {
      reply = fixture.Reply();
      reply.running.push_back(RunningRun{kTask, 1, "", 10.0 + hold, 0.0});
    }
    fixture.cell.OnHoldReply(order->first, reply, fixture.now);
    REQUIRE(fixture.now < lease_end);
  }
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kRunning);
  REQUIRE(TaskOf(fixture).run == 1);
}

/// \returns the number of submissions of \a fixture that the cell counts as waiting.
std::uint64_t PendingOf(const CellFixture& fixture) {
  return fixture.cell.CountNotBegun()[fixture.queue.id].waiting;
}

/// \returns the number of submissions that may have begun under the earlier owner.
std::uint64_t UnconfirmedOf(const CellFixture& fixture) {
  return fixture.cell.CountNotBegun()[fixture.queue.id].unconfirmed;
}

// Guards against owners that learn nothing from a target until one overdue hold has timed out.
TEST_CASE("a hold that is overdue is followed by others that extend no lease", "[cell][holds]") {
  CellFixture fixture;
  fixture.estimate = std::chrono::minutes(2);
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  HoldReply listed = fixture.Reply();
  listed.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  fixture.AnswerHold(listed);
  fixture.Advance(milliseconds(1));
  const auto overdue = fixture.Take<HoldOrder>();
  REQUIRE(overdue);
  REQUIRE(overdue->second.deadline);
  fixture.Advance(overdue->second.wait + milliseconds(299));
  REQUIRE_FALSE(fixture.Take<HoldOrder>());
  fixture.Advance(milliseconds(1));
  const auto further = fixture.Take<HoldOrder>();
  REQUIRE(further);
  REQUIRE_FALSE(further->second.deadline);
  REQUIRE(further->second.wait == milliseconds(0));
  HoldReply newer = fixture.Reply();
  newer.running = listed.running;
  fixture.cell.OnHoldReply(further->first, newer, fixture.now);
  fixture.Advance(milliseconds(1));
  const auto next = fixture.Take<HoldOrder>();
  REQUIRE(next);
  REQUIRE(next->second.deadline);
  // Neither the timeout of the hold before nor a list that is older counts.
  fixture.cell.OnHoldReply(overdue->first, HoldReply{}, fixture.now);
  HoldReply older = fixture.Reply();
  older.clock = *newer.clock - TargetTime(1);
  fixture.cell.OnHoldReply(next->first, older, fixture.now);
  REQUIRE(TaskOf(fixture).phase == TaskPhase::kRunning);
}

TEST_CASE("a submission whose starts get no answer is not counted as begun", "[cell][pending]") {
  // The owner assigns tasks at once, but its orders may be lost for as long as its link is full.
  CellFixture fixture;
  const OrderTicket start = fixture.PlaceTask();
  REQUIRE(PendingOf(fixture) == 1);
  OrderReply reply;
  SECTION("no answer") {
    fixture.cell.OnOrderReply(start, reply, fixture.now);
    REQUIRE(PendingOf(fixture) == 1);
  }
  SECTION("rejected by the target") {
    reply.status = OrderStatus::kUnhealthy;
    fixture.cell.OnOrderReply(start, reply, fixture.now);
    REQUIRE(PendingOf(fixture) == 1);
  }
  SECTION("confirmed") {
    reply.status = OrderStatus::kDone;
    fixture.cell.OnOrderReply(start, reply, fixture.now);
    REQUIRE(PendingOf(fixture) == 0);
  }
  SECTION("no answer, but the target lists the run") {
    fixture.cell.OnOrderReply(start, reply, fixture.now);
    HoldReply listed = fixture.Reply();
    listed.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
    fixture.Advance(milliseconds(10));
    fixture.AnswerHold(listed);
    REQUIRE(PendingOf(fixture) == 0);
  }
}

TEST_CASE("a submission that never began is counted as waiting after a change of owner",
          "[cell][pending]") {
  CellFixture fixture;
  fixture.PlaceTask();
  fixture.ChangeOwner();
  // The run may exist.
  REQUIRE(PendingOf(fixture) == 0);
  REQUIRE(UnconfirmedOf(fixture) == 1);
  fixture.Advance(milliseconds(1));
  SECTION("the target does not list the run") {
    fixture.AnswerHold(fixture.Reply());
    for (int second = 0; second < 20 && PendingOf(fixture) == 0; ++second) {
      fixture.Advance(seconds(1));
      while (const auto hold = fixture.Take<HoldOrder>()) {
        fixture.cell.OnHoldReply(hold->first, fixture.Reply(), fixture.now);
      }
      while (const auto stop = fixture.Take<StopOrder>()) {
        OrderReply done;
        done.status = OrderStatus::kDone;
        fixture.cell.OnOrderReply(stop->first, done, fixture.now);
      }
    }
    REQUIRE(PendingOf(fixture) == 1);
    REQUIRE(UnconfirmedOf(fixture) == 0);
  }
  SECTION("the target lists the run") {
    HoldReply listed = fixture.Reply();
    listed.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
    fixture.AnswerHold(listed);
    REQUIRE(PendingOf(fixture) == 0);
    REQUIRE(UnconfirmedOf(fixture) == 0);
  }
}

TEST_CASE("a submission that has begun is not counted as waiting by a later owner",
          "[cell][pending]") {
  CellFixture fixture;
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(fixture.PlaceTask(), done, fixture.now);
  HoldReply lapsed = fixture.Reply();
  lapsed.finished.push_back(FinishedRun{1, kTask, 1, RunOutcome::kLeaseExpired, ""});
  fixture.AnswerHold(lapsed);
  REQUIRE(PendingOf(fixture) == 0);
  fixture.Advance(milliseconds(200));
  fixture.ChangeOwner();
  REQUIRE(PendingOf(fixture) == 0);
}

/// \returns the events with \a code since the last call.
std::vector<EventRecord> EventsOf(CellFixture* fixture, EventCode code) {
  std::vector<EventRecord> found;
  for (EventRecord& event : fixture->cell.TakeEvents()) {
    if (event.code == code) {
      found.push_back(std::move(event));
    }
  }
  return found;
}

std::string FieldOf(const EventRecord& event, const std::string& name) {
  for (const auto& [key, value] : event.fields) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

/// Starts the task and answers the hold after it. \returns that answer, which lists the run.
HoldReply RunTask(CellFixture* fixture) {
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture->cell.OnOrderReply(fixture->PlaceTask(), done, fixture->now);
  HoldReply listed = fixture->Reply();
  listed.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  fixture->AnswerHold(listed);
  return listed;
}

// Without it, the logs show neither whether the owner knew of the cancel nor whether it was heard.
TEST_CASE("a cancelled run whose stops get no answer is logged once", "[cell][stops]") {
  CellFixture fixture;
  RunTask(&fixture);
  fixture.cell.Cancel(kSubmission, {"inbox", 12}, fixture.now);
  const std::vector<EventRecord> cancels = EventsOf(&fixture, EventCode::kSubmissionCancelled);
  REQUIRE(cancels.size() == 1);
  REQUIRE(FieldOf(cancels[0], "revision") == "12");
  fixture.LoseOrdersUntil(fixture.now + milliseconds(1900));
  REQUIRE(EventsOf(&fixture, EventCode::kStopLate).empty());
  fixture.LoseOrdersUntil(fixture.now + seconds(4));
  const std::vector<EventRecord> late = EventsOf(&fixture, EventCode::kStopLate);
  REQUIRE(late.size() == 1);
  REQUIRE(FieldOf(late[0], "task") == kTask.str());
  REQUIRE(FieldOf(late[0], "reason") == "cancelled");
  REQUIRE(FieldOf(late[0], "stops") != "0");
  REQUIRE(FieldOf(late[0], "failed-holds") != "0");
  REQUIRE(fixture.cell.counters().late_stops == 1);
}

// Its first stop is lost and the target's lists come late, as its holds wait for an end.
TEST_CASE("a lost stop of a run that no record places is sent again", "[cell][stops]") {
  CellFixture fixture;
  fixture.Advance(milliseconds(1));
  HoldReply listed = fixture.Reply();
  listed.running.push_back(RunningRun{kTask, 1, "", 10.0, 0.0});
  fixture.AnswerHold(listed);
  const bool registered = GENERATE(true, false);
  if (!registered) {
    fixture.cell.RemoveTarget(fixture.entry.id, fixture.now);
  }
  fixture.Advance(milliseconds(1));
  const auto lost = fixture.Take<StopOrder>();
  REQUIRE(lost);
  fixture.now += milliseconds(400);
  fixture.cell.OnOrderReply(lost->first, OrderReply{}, fixture.now);
  fixture.Advance(milliseconds(110));
  const auto again = fixture.Take<StopOrder>();
  REQUIRE(again);
  REQUIRE(again->second.run == 1);
  OrderReply done;
  done.status = OrderStatus::kDone;
  fixture.cell.OnOrderReply(again->first, done, fixture.now);
  fixture.Advance(milliseconds(200));
  REQUIRE_FALSE(fixture.Take<StopOrder>());
  // A list without the run is what shows that it has ended.
  REQUIRE(fixture.Take<HoldOrder>());
}

}  // namespace
}  // namespace pistachio
