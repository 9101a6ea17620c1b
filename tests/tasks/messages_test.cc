#include <catch2/catch.hpp>

#include "tests/tasks/world.h"

namespace pistachio::testing {
namespace {

using std::chrono::seconds;

const UnitId kQueueId("queue-a");
const TaskId kTask{JobId("audit"), 0};

template <class Wanted, class Action>
int Count(const std::vector<Action>& actions) {
  int count = 0;
  for (const Action& action : actions) {
    count += std::holds_alternative<Wanted>(action) ? 1 : 0;
  }
  return count;
}

/// \brief A rack of one target that answers at once; the test commits by hand.
class RackBench {
 public:
  RackBench()
      : rack(RackId("r1"), {}, LeastCommittedPolicy{}), target(TargetId("t1"), {4000, 9000, 0}) {
    TargetListing row;
    row.target = this->target.id;
    row.rack = RackId("r1");
    row.capacity = this->target.capacity;
    this->Handle(TargetsListed{{row}});
    this->Handle(ActUntilChanged{this->now + std::chrono::hours(1)});
    this->Handle(RackRecovered{1, {}, {}, 1});
  }

  std::vector<RackAction> Handle(const RackEvent& event) {
    std::vector<RackAction> actions = this->rack.Handle(event, this->now);
    const std::vector<RackAction> sent = actions;
    for (const RackAction& action : sent) {
      const auto* send = std::get_if<SendCommand>(&action);
      if (send != nullptr) {
        const CommandAnswer answer = this->target.Handle(1, send->command, this->now);
        const auto more = this->Handle(CommandAnswered{send->command_id, answer});
        actions.insert(actions.end(), more.begin(), more.end());
      }
    }
    return actions;
  }

  std::vector<RackAction> Commit() {
    return this->Handle(RecordsCommitted{this->rack.last_sequence()});
  }

  std::vector<RackAction> Pass(Duration time) {
    std::vector<RackAction> actions;
    for (Duration passed{0}; passed < time; passed += seconds(1)) {
      this->now += seconds(1);
      this->target.Advance(this->now, seconds(1));
      const auto more = this->Handle(RackTick{});
      actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
  }

  static AssignmentReceived Assignment(std::uint64_t serial, std::uint64_t settled_below) {
    TaskAssignment assignment;
    assignment.task = kTask;
    assignment.queue = kQueueId;
    assignment.rack = RackId("r1");
    assignment.spec = BatchJob("audit", 1, seconds(5), 1000);
    assignment.serial = serial;
    assignment.settled_below = settled_below;
    return {assignment};
  }

  TimePoint now{std::chrono::hours(1)};
  RackController rack;
  FakeTarget target;
};

TEST_CASE("a rack confirms and starts only what is on record", "[messages]") {
  RackBench bench;
  const auto received = bench.Handle(RackBench::Assignment(1, 1));
  CHECK(Count<ConfirmAssignment>(received) == 0);
  CHECK(Count<ConfirmAssignment>(bench.Handle(RackBench::Assignment(1, 1))) == 0);
  CHECK(bench.target.rows.empty());
  CHECK(Count<ConfirmAssignment>(bench.Commit()) == 1);
  CHECK(bench.target.rows.size() == 1);
}

TEST_CASE("a rack tells an end only once it is on record", "[messages]") {
  RackBench bench;
  bench.Handle(RackBench::Assignment(1, 1));
  bench.Commit();
  const auto passed = bench.Pass(seconds(20));
  CHECK(Count<AppendRecord>(passed) == 2);  // the end, and the queue's bound
  CHECK(Count<TellEnd>(passed) == 0);
  CHECK(Count<TellEnd>(bench.Handle(RackBench::Assignment(1, 1))) == 0);
  CHECK(Count<TellEnd>(bench.Commit()) == 1);
}

TEST_CASE("a late assignment does not start an attempt again", "[messages]") {
  RackBench bench;
  bench.Handle(RackBench::Assignment(1, 1));
  bench.Commit();
  bench.Pass(seconds(20));
  bench.Commit();
  bench.Handle(EndAcknowledged{kTask, 1, kQueueId, 2});
  bench.Pass(seconds(20));
  bench.Commit();
  REQUIRE(bench.target.rows.empty());
  const auto late = bench.Handle(RackBench::Assignment(1, 1));
  CHECK(Count<AppendRecord>(late) == 0);
  bench.Commit();
  CHECK(bench.target.rows.empty());
  // A later owner of the rack knows it as well.
  const std::string snapshot = bench.rack.TakeSnapshot();
  bench.Handle(RackRecovered{2, snapshot, {}, bench.rack.last_sequence() + 1});
  bench.Pass(seconds(5));
  bench.Handle(RackBench::Assignment(1, 1));
  bench.Commit();
  CHECK(bench.target.rows.empty());
}

TEST_CASE("an attempt that was withdrawn before it arrived does not start", "[messages]") {
  RackBench bench;
  bench.Handle(WithdrawalReceived{kTask, 1, true, kQueueId, 1, 1});
  CHECK(Count<TellEnd>(bench.Commit()) == 1);
  bench.Handle(RackBench::Assignment(1, 1));
  bench.Commit();
  CHECK(bench.target.rows.empty());
}

TEST_CASE("the end of an older attempt changes nothing", "[messages]") {
  JobQueue queue(kQueueId, {});
  TimePoint now(std::chrono::hours(1));
  const auto handle = [&](const QueueEvent& event) {
    auto actions = queue.Handle(event, now);
    queue.Handle(RecordsCommitted{queue.last_sequence()}, now);
    return actions;
  };
  handle(RackRecovered{1, {}, {}, 1});
  handle(ActUntilChanged{now + std::chrono::hours(1)});
  handle(RoomReported{{RackId("r1"), {{4000, 9000, 0}}, {{4000, 9000, 0}}, {}}});
  handle(JobSubmitted{BatchJob("audit", 1, seconds(5), 1000)});
  AttemptEnd end;
  end.task = kTask;
  end.outcome = AttemptOutcome::kEvicted;
  end.rack = RackId("r1");
  handle(EndReceived{end});
  handle(RoomReported{{RackId("r1"), {{4000, 9000, 0}}, {{4000, 9000, 0}}, {}}});
  REQUIRE(queue.jobs().front().assigned == 1);
  end.outcome = AttemptOutcome::kFinished;
  const auto late = handle(EndReceived{end});
  CHECK(Count<AppendRecord>(late) == 0);
  CHECK(Count<AcknowledgeEnd>(late) == 1);
  CHECK(queue.jobs().front().assigned == 1);
  CHECK(queue.jobs().front().finished == 0);
}

TEST_CASE("a task that was returned several times is assigned once after a takeover",
          "[messages]") {
  TimePoint now(std::chrono::hours(1));
  std::vector<std::string> records;
  const auto handle = [&](JobQueue& queue, const QueueEvent& event) {
    auto actions = queue.Handle(event, now);
    for (const QueueAction& action : actions) {
      if (const auto* append = std::get_if<AppendRecord>(&action)) {
        records.push_back(append->record);
      }
    }
    queue.Handle(RecordsCommitted{queue.last_sequence()}, now);
    return actions;
  };
  const RoomReported room{{RackId("r1"), {{4000, 9000, 0}}, {{4000, 9000, 0}}, {}}};
  JobQueue first(kQueueId, {});
  handle(first, RackRecovered{1, {}, {}, 1});
  handle(first, ActUntilChanged{now + std::chrono::hours(1)});
  handle(first, JobSubmitted{BatchJob("audit", 1, seconds(5), 1000)});
  for (AttemptNumber attempt = 1; attempt <= 3; ++attempt) {
    handle(first, room);
    AttemptEnd end;
    end.task = kTask;
    end.attempt = attempt;
    end.outcome = AttemptOutcome::kReturned;
    handle(first, EndReceived{end});
    if (attempt < 3) {
      now += seconds(40);
      handle(first, QueueTick{});
    }
  }
  JobQueue second(kQueueId, {});
  const std::vector<std::string> ledger = records;
  handle(second, RackRecovered{2, {}, ledger, first.last_sequence() + 1});
  handle(second, ActUntilChanged{now + std::chrono::hours(1)});
  now += seconds(40);
  handle(second, QueueTick{});
  CHECK(Count<AppendRecord>(handle(second, room)) == 1);
  CHECK(second.jobs().front().assigned == 1);
}

}  // namespace
}  // namespace pistachio::testing
