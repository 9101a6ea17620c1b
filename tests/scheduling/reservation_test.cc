#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kIncarnation = 1000;
const Resources kCapacity{4000, 4000, 0};
const std::string kNever = "never";

StepSpec LongRunningStep(const Resources& need) {
  StepSpec step;
  step.need = need;
  step.long_running = true;
  step.estimate = seconds(1);
  return step;
}

StepSpec ShortStep(const Resources& need) {
  StepSpec step;
  step.need = need;
  step.estimate = seconds(60);
  return step;
}

/// A new owner's cell with targets of 4 cores and 4000 MiB. The store confirms each commit at once,
/// and the targets answer each hold at once.
class ReservationFixture {
 public:
  ReservationFixture() : cell(CellId("all"), CellSettings{}, 7, this->now) {
    Configuration configuration;
    this->queue.id = QueueId("queue");
    this->queue.service = ServiceId("service");
    this->queue.max_attempts = 3;
    configuration.queues.push_back(this->queue);
    this->cell.SetConfiguration(std::make_shared<Configuration>(configuration));
  }

  /// Loads a submission of one step with a task for each element of \a targets, which runs on that
  /// target. It lost its run if the element is empty, and never had one if it is `kNever`.
  void Load(const std::string& id, StepSpec step, const std::vector<std::string>& targets) {
    step.count = static_cast<std::uint32_t>(targets.size());
    Submission submission;
    submission.accepted.id = SubmissionId(id);
    submission.accepted.queue = this->queue;
    submission.accepted.spec.steps = {step};
    submission.AddOccurrence(0);
    submission.started = true;
    StepProgress& progress = submission.occurrences.at(0).steps[0];
    for (std::uint32_t index = 0; index < step.count; ++index) {
      Task& task = progress.tasks[index];
      task.run = targets[index] == kNever ? 0 : 1;
      if (!targets[index].empty() && targets[index] != kNever) {
        task.phase = TaskPhase::kRunning;
        task.incarnation = TargetIncarnation{TargetId(targets[index]), kIncarnation, ""};
        progress.waiting--;
        const TaskKey key{submission.accepted.id, 0, 0, index};
        this->running[targets[index]].push_back(RunningRun{key, 1, "", 10.0, 0.0});
      }
    }
    this->cell.Load(submission.accepted, 1, EncodeProgress(submission), this->now);
  }

  void PutTarget(const std::string& id, TargetState state = TargetState::kReady) {
    TargetEntry entry;
    entry.id = TargetId(id);
    entry.service = this->queue.service;
    entry.address = id + ":1";
    entry.capacity = kCapacity;
    entry.incarnation = kIncarnation;
    entry.state = state;
    entry.drain_remaining = seconds(7);
    this->cell.PutTarget(entry, this->now);
  }

  /// Ends loading and lets the targets report their runs.
  void FinishLoading() {
    this->cell.FinishLoading(this->now);
    this->Run(seconds(1));
    this->starts.clear();
  }

  void Submit(const std::string& id, const StepSpec& step) {
    AcceptedSubmission accepted;
    accepted.id = SubmissionId(id);
    accepted.queue = this->queue;
    accepted.spec.steps = {step};
    this->cell.Accept(accepted, 1, this->now);
  }

  /// Ends the first run that is left on a target.
  void EndRun(const std::string& target, RunOutcome outcome) {
    std::vector<RunningRun>& runs = this->running[target];
    std::vector<FinishedRun>& ends = this->finished[target];
    ends.push_back(FinishedRun{ends.size() + 1, runs.front().task, 1, outcome, ""});
    runs.erase(runs.begin());
  }

  void Run(Duration time) {
    constexpr Duration kStep = milliseconds(50);
    for (Duration elapsed{0}; elapsed < time; elapsed += kStep) {
      this->now += kStep;
      this->cell.ConfirmOwnership(this->now);
      this->cell.Tick(this->now, WallTime(0));
      if (const auto batch = this->cell.NextCommit(this->now)) {
        this->cell.OnCommitted(batch->number, this->now);
        this->cell.Tick(this->now, WallTime(0));
      }
      for (const OutgoingOrder& order : this->cell.TakeOrders()) {
        this->Answer(order);
      }
      this->cell.TakeEvents();
    }
  }

  TimePoint now{std::chrono::hours(1)};
  QueueSettings queue;
  Cell cell;
  std::map<std::string, std::vector<RunningRun>> running;    ///< by target
  std::map<std::string, std::vector<FinishedRun>> finished;  ///< by target
  std::set<std::string> starts;                              ///< tasks with a start
  std::set<std::string> stops;                               ///< tasks with a stop
  bool starts_unanswered = false;  ///< starts get no answer, and stops are accepted

 private:
  void Answer(const OutgoingOrder& order) {
    const std::string target = order.order.target.str();
    const auto clock = std::chrono::duration_cast<TargetTime>(this->now.time_since_epoch());
    if (std::holds_alternative<HoldOrder>(order.order.order)) {
      HoldReply reply;
      reply.status = OrderStatus::kDone;
      reply.incarnation = kIncarnation;
      reply.clock = clock;
      reply.running = this->running[target];
      reply.finished = this->finished[target];
      this->cell.OnHoldReply(order.ticket, reply, this->now);
    } else if (const auto* start = std::get_if<StartOrder>(&order.order.order)) {
      this->starts.insert(start->task.str());
      if (this->starts_unanswered) {
        this->cell.OnOrderReply(order.ticket, OrderReply{}, this->now);
      }
    } else if (const auto* stop = std::get_if<StopOrder>(&order.order.order)) {
      this->stops.insert(stop->task.str());
      if (this->starts_unanswered) {
        this->cell.OnOrderReply(order.ticket, OrderReply{OrderStatus::kDone, clock}, this->now);
      }
    }
  }
};

TEST_CASE("each of two starved submissions has resources reserved", "[cell][reservation]") {
  ReservationFixture fixture;
  fixture.Load("00000000000000a1", LongRunningStep({3000, 100, 0}), {""});
  fixture.Load("00000000000000a2", LongRunningStep({3000, 100, 0}), {""});
  fixture.Load("00000000000000b1", ShortStep({1000, 100, 0}), {"t1", "t1", "t1", "t1"});
  fixture.Load("00000000000000b2", ShortStep({1000, 100, 0}), {"t2", "t2", "t2", "t2"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.FinishLoading();
  for (int number = 0; number < 8; ++number) {
    fixture.Submit("00000000000000c" + std::to_string(number), ShortStep({1000, 100, 0}));
  }
  fixture.EndRun("t1", RunOutcome::kDone);
  fixture.EndRun("t2", RunOutcome::kDone);
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.starts.empty());
}

TEST_CASE("tasks limited to one per target leave draining targets one for each place",
          "[cell][reservation]") {
  ReservationFixture fixture;
  StepSpec step = LongRunningStep({1000, 100, 0});
  step.max_per_target = 1;
  fixture.Load("00000000000000a1", step, {"draining-1", "draining-2"});
  fixture.PutTarget("draining-1");
  fixture.PutTarget("draining-2");
  fixture.PutTarget("ready");
  fixture.FinishLoading();
  fixture.PutTarget("draining-1", TargetState::kDraining);
  fixture.PutTarget("draining-2", TargetState::kDraining);
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.stops.size() == 1);
}

TEST_CASE("the place found for a run on a draining target is kept while the run stops",
          "[cell][reservation]") {
  ReservationFixture fixture;
  fixture.Load("00000000000000a1", LongRunningStep({1000, 1000, 0}), {"draining"});
  fixture.Load("00000000000000b1", ShortStep({2500, 1000, 0}), {"t1"});
  fixture.Load("00000000000000b2", ShortStep({100, 3900, 0}), {"t2"});
  for (const char* target : {"draining", "t1", "t2"}) {
    fixture.PutTarget(target);
  }
  fixture.FinishLoading();
  fixture.PutTarget("draining", TargetState::kDraining);
  fixture.Run(milliseconds(50));
  REQUIRE(fixture.stops.size() == 1);
  fixture.Submit("00000000000000c1", ShortStep({1500, 1000, 0}));
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.starts.empty());
  fixture.EndRun("draining", RunOutcome::kStopped);
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.starts == std::set<std::string>{"00000000000000a1.0.0.0"});
}

TEST_CASE("tasks that left a draining target together each get the place found for them",
          "[cell][reservation]") {
  ReservationFixture fixture;
  fixture.Load("00000000000000a1", LongRunningStep({3000, 100, 0}), {"draining"});
  fixture.Load("00000000000000a2", LongRunningStep({1000, 100, 0}), {"draining"});
  fixture.Load("00000000000000b1", LongRunningStep({1000, 100, 0}), {"wide"});
  fixture.Load("00000000000000b2", LongRunningStep({3000, 100, 0}), {"narrow"});
  fixture.Load("00000000000000a0", LongRunningStep({3000, 100, 0}), {"unlisted"});
  for (const char* target : {"draining", "wide", "narrow", "unlisted"}) {
    fixture.PutTarget(target);
  }
  fixture.FinishLoading();
  fixture.PutTarget("draining", TargetState::kDraining);
  fixture.Run(milliseconds(50));
  REQUIRE(fixture.stops.size() == 2);
  // A third task becomes starved while the two are being stopped.
  fixture.cell.RemoveTarget(TargetId("unlisted"), fixture.now);
  fixture.EndRun("unlisted", RunOutcome::kFailed);
  fixture.Run(seconds(2));
  REQUIRE(fixture.starts.empty());
  fixture.EndRun("draining", RunOutcome::kStopped);
  fixture.EndRun("draining", RunOutcome::kStopped);
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.starts ==
          std::set<std::string>{"00000000000000a1.0.0.0", "00000000000000a2.0.0.0"});
}

TEST_CASE("memory kept for a starved task is not given to best-effort tasks",
          "[cell][reservation]") {
  ReservationFixture fixture;
  fixture.Load("00000000000000a1", LongRunningStep({1000, 3000, 0}), {""});
  fixture.Load("00000000000000b1", ShortStep({500, 2000, 0}), {"t1", "t1"});
  fixture.PutTarget("t1");
  fixture.FinishLoading();
  StepSpec best_effort = ShortStep({500, 2000, 0});
  best_effort.best_effort = true;
  fixture.Submit("00000000000000c1", best_effort);
  fixture.EndRun("t1", RunOutcome::kDone);
  fixture.Run(milliseconds(500));
  REQUIRE(fixture.starts.empty());
}

TEST_CASE("a task that lost its run is placed before those of its step that never ran",
          "[cell][reservation]") {
  ReservationFixture fixture;
  fixture.Load("00000000000000a1", LongRunningStep({3000, 100, 0}), {kNever, ""});
  fixture.PutTarget("t1");
  fixture.cell.FinishLoading(fixture.now);
  fixture.Run(seconds(1));
  REQUIRE(fixture.starts == std::set<std::string>{"00000000000000a1.0.0.1"});
}

TEST_CASE("an unconfirmed start does not count as a run", "[cell][reservation]") {
  ReservationFixture fixture;
  fixture.starts_unanswered = true;
  fixture.Load("00000000000000a1", LongRunningStep({1000, 100, 0}), {""});
  fixture.PutTarget("t1");
  fixture.cell.FinishLoading(fixture.now);
  fixture.Run(seconds(6));
  const auto& submission = fixture.cell.submissions().at(SubmissionId("00000000000000a1"));
  const Task& task = submission.occurrences.at(0).steps[0].tasks[0];
  REQUIRE(task.run > 2);
  REQUIRE(task.run_seen_at == TimePoint{});
}

}  // namespace
}  // namespace pistachio
