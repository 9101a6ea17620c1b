#include <catch2/catch.hpp>

#include "tests/tasks/world.h"

namespace pistachio::testing {
namespace {

using std::chrono::seconds;

const TimePoint kNow(std::chrono::hours(1));

int CountEvents(const World& world, EventCode code) {
  int count = 0;
  for (const EventRecord& event : world.events) {
    count += event.code == code ? 1 : 0;
  }
  return count;
}

/// \brief A queue alone, with racks that tell their room; what it appends is committed at once.
class QueueBench {
 public:
  QueueBench() : queue(UnitId("queue"), {}) {
    this->Handle(RackRecovered{1, {}, {}, 1});
    this->Handle(ActUntilChanged{kNow + std::chrono::hours(1)});
  }

  std::vector<QueueAction> Handle(const QueueEvent& event) {
    std::vector<QueueAction> actions = this->queue.Handle(event, this->now);
    std::uint64_t through = 0;
    for (const QueueAction& action : actions) {
      if (const auto* append = std::get_if<AppendRecord>(&action)) {
        through = append->sequence;
        this->records.push_back(append->record);
      } else if (const auto* send = std::get_if<SendAssignment>(&action)) {
        this->assigned[send->assignment.rack].push_back(send->assignment);
      }
    }
    if (through > 0) {
      this->Handle(RecordsCommitted{through});
    }
    return actions;
  }

  void TellRoom(const std::string& rack, std::int64_t cpu_millis) {
    RackRoom room;
    room.rack = RackId(rack);
    room.free = {{cpu_millis, 60000, 0}};
    room.capacity = {{16000, 60000, 0}};
    this->Handle(RoomReported{room});
  }

  JobStatus Status(const std::string& job) const {
    for (const JobStatus& row : this->queue.jobs()) {
      if (row.spec.job.str() == job) {
        return row;
      }
    }
    return {};
  }

  JobQueue queue;
  TimePoint now = kNow;
  std::vector<std::string> records;
  std::map<RackId, std::vector<TaskAssignment>> assigned;
};

TEST_CASE("a job's tasks in one rack stay below its bound", "[rules]") {
  QueueBench bench;
  bench.TellRoom("r1", 16000);
  bench.TellRoom("r2", 16000);
  JobSpec spec = BatchJob("audit", 10, seconds(10), 1000);
  spec.max_per_rack = 2;
  bench.Handle(JobSubmitted{spec});
  CHECK(bench.assigned[RackId("r1")].size() == 2);
  CHECK(bench.assigned[RackId("r2")].size() == 2);
  CHECK(bench.Status("audit").waiting == 6);
}

TEST_CASE("placement rules keep a job in its racks", "[rules]") {
  QueueBench bench;
  bench.TellRoom("r1", 16000);
  bench.TellRoom("r2", 3000);
  JobSpec spec = BatchJob("audit", 5, seconds(10), 1000);
  spec.only_in_racks = {RackId("r2")};
  bench.Handle(JobSubmitted{spec});
  CHECK(bench.assigned[RackId("r1")].empty());
  CHECK(bench.assigned[RackId("r2")].size() == 3);
}

TEST_CASE("a team's quota bounds what its tasks have committed", "[rules]") {
  QueueBench bench;
  bench.TellRoom("r1", 16000);
  bench.Handle(QuotasChanged{{{TeamId("team-a"), {2500, 60000, 0}}}});
  bench.Handle(JobSubmitted{BatchJob("audit", 5, seconds(10), 1000)});
  CHECK(bench.assigned[RackId("r1")].size() == 2);
  CHECK(bench.Status("audit").reason == "the team's quota is used up");
}

TEST_CASE("teams of one priority share the room", "[rules]") {
  QueueBench bench;
  JobSpec first = BatchJob("first", 20, seconds(10), 1000);
  JobSpec second = BatchJob("second", 20, seconds(10), 1000);
  second.team = TeamId("team-b");
  bench.Handle(JobSubmitted{first});
  bench.Handle(JobSubmitted{second});
  bench.TellRoom("r1", 8000);
  CHECK(bench.Status("first").assigned == 4);
  CHECK(bench.Status("second").assigned == 4);
}

TEST_CASE("a higher priority goes first", "[rules]") {
  QueueBench bench;
  JobSpec low = BatchJob("low", 20, seconds(10), 1000);
  JobSpec high = BatchJob("high", 5, seconds(10), 1000);
  high.priority = 500;
  bench.Handle(JobSubmitted{low});
  bench.Handle(JobSubmitted{high});
  bench.TellRoom("r1", 6000);
  CHECK(bench.Status("high").assigned == 5);
  CHECK(bench.Status("low").assigned == 1);
}

TEST_CASE("a submission that is repeated changes nothing, another of its name is refused",
          "[rules]") {
  QueueBench bench;
  const JobSpec spec = BatchJob("audit", 5, seconds(10), 1000);
  bench.Handle(JobSubmitted{spec});
  const auto again = bench.Handle(JobSubmitted{spec});
  REQUIRE(std::get<AnswerSubmission>(again.front()).accepted);
  JobSpec other = spec;
  other.count = 6;
  const auto refused = bench.Handle(JobSubmitted{other});
  CHECK_FALSE(std::get<AnswerSubmission>(refused.front()).accepted);
  CHECK(bench.Status("audit").spec.count == 5);
}

TEST_CASE("an end is acknowledged only once it is on record", "[rules]") {
  QueueBench bench;
  bench.TellRoom("r1", 16000);
  bench.Handle(JobSubmitted{BatchJob("audit", 1, seconds(10), 1000)});
  AttemptEnd end;
  end.task = {JobId("audit"), 0};
  end.rack = RackId("r1");
  for (int copy = 0; copy < 2; ++copy) {
    for (const QueueAction& action : bench.queue.Handle(EndReceived{end}, kNow)) {
      CHECK_FALSE(std::holds_alternative<AcknowledgeEnd>(action));
    }
  }
  const std::uint64_t through = bench.queue.last_sequence();
  const auto committed = bench.queue.Handle(RecordsCommitted{through}, kNow);
  REQUIRE_FALSE(committed.empty());
  CHECK(std::get<AcknowledgeEnd>(committed.front()).task == end.task);
}

TEST_CASE("a task that fails everywhere is given up after its attempts", "[rules]") {
  World world(4);
  for (auto& [id, target] : world.targets) {
    target.fails_everything = true;
  }
  world.Run(seconds(5));
  JobSpec spec = BatchJob("poison", 1, seconds(5), 1000);
  spec.max_attempts = 3;
  world.Submit(spec);
  world.Run(seconds(120));
  CHECK(world.StatusOf(JobId("poison")).failed == 1);
  CHECK(CountEvents(world, EventCode::kTargetQuarantined) == 0);
  std::set<TargetId> used;
  for (const auto& [start, target] : world.starts) {
    used.insert(target);
  }
  CHECK(world.starts.size() == 3);
  CHECK(used.size() == 3);
}

TEST_CASE("a target that fails what it starts is quarantined and others finish the work",
          "[rules]") {
  World world(4);
  world.targets.at(TargetId("t1")).fails_everything = true;
  world.Run(seconds(5));
  for (int i = 0; i < 12; ++i) {
    world.Submit(BatchJob("job-" + std::to_string(i), 1, seconds(10), 1000));
  }
  world.Run(seconds(60));
  CHECK(CountEvents(world, EventCode::kTargetQuarantined) == 1);
  for (int i = 0; i < 12; ++i) {
    CHECK(world.StatusOf(JobId("job-" + std::to_string(i))).finished == 1);
  }
  world.targets.at(TargetId("t1")).fails_everything = false;
  world.Submit(BatchJob("later", 40, seconds(10), 1000));
  world.Run(seconds(120));
  CHECK(CountEvents(world, EventCode::kTargetReleased) == 1);
  CHECK(world.StatusOf(JobId("later")).finished == 40);
}

TEST_CASE("no more than a bounded part of a rack is quarantined", "[rules]") {
  World world(4);
  for (auto& [id, target] : world.targets) {
    target.fails_everything = true;
  }
  world.Run(seconds(5));
  for (int i = 0; i < 30; ++i) {
    world.Submit(BatchJob("job-" + std::to_string(i), 1, seconds(10), 1000));
  }
  world.Run(seconds(120));
  CHECK(CountEvents(world, EventCode::kTargetQuarantined) == 1);
  CHECK(CountEvents(world, EventCode::kQuarantineBound) > 0);
}

TEST_CASE("thousands of cancellations at once end every task", "[rules]") {
  World world(3);
  world.Run(seconds(5));
  for (int i = 0; i < 20; ++i) {
    world.Submit(BatchJob("wave-" + std::to_string(i), 200, seconds(60), 500));
  }
  world.Run(seconds(10));
  for (int i = 0; i < 20; ++i) {
    world.Cancel(JobId("wave-" + std::to_string(i)));
  }
  world.Run(seconds(15));
  std::uint32_t cancelled = 0;
  for (int i = 0; i < 20; ++i) {
    cancelled += world.StatusOf(JobId("wave-" + std::to_string(i))).cancelled;
  }
  CHECK(cancelled == 4000);
  CHECK(world.violations.empty());
}

TEST_CASE("every placement tells its reason and what it beat", "[rules]") {
  World world(3);
  world.Run(seconds(5));
  world.Submit(BatchJob("audit", 1, seconds(5), 1000));
  world.Run(seconds(5));
  for (const EventRecord& event : world.events) {
    if (event.code == EventCode::kTaskPlaced) {
      const std::string line = event.str();
      CHECK(line.find("beaten=\"t2=") != std::string::npos);
      CHECK(line.find("reason=") != std::string::npos);
    }
  }
  CHECK(CountEvents(world, EventCode::kTaskPlaced) == 1);
}

}  // namespace
}  // namespace pistachio::testing
