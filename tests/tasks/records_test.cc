#include <catch2/catch.hpp>

#include "pistachio/process/tasks/internal/queue_records.h"
#include "pistachio/process/tasks/internal/rack_records.h"
#include "pistachio/process/tasks/internal/record_codec.h"
#include "tests/tasks/world.h"

namespace pistachio::testing {
namespace {

using std::chrono::seconds;

// The bytes of a whole task life must leave room for 410 starts a second in 36 hosts' 5 KB/s each,
// with half of that for everything else.
constexpr std::size_t kMaxBytesPerLife = 36U * 5000U / 2U / 410U;

TEST_CASE("an intent reads back as it was written", "[records]") {
  const internal::RackIntentRecord record{7,   3, 2, 1234, UnitId("queue-a"), TargetId("w-117"),
                                          "c1"};
  std::string reason;
  const auto read = internal::DecodeRackRecord(internal::EncodeRackRecord(record), reason);
  REQUIRE(read);
  const auto& intent = std::get<internal::RackIntentRecord>(*read);
  CHECK(intent.job == 7);
  CHECK(intent.index == 3);
  CHECK(intent.attempt == 2);
  CHECK(intent.serial == 1234);
  CHECK(intent.queue == UnitId("queue-a"));
  CHECK(intent.target == TargetId("w-117"));
  CHECK(intent.checkpoint == "c1");
}

TEST_CASE("fields that a newer release adds are ignored", "[records]") {
  nlohmann::json fields = internal::RecordWriter(3).Add(std::uint64_t{9}).Take();
  fields.push_back("later");
  std::string reason;
  const auto read = internal::DecodeQueueRecord(internal::SealRecord(fields), reason);
  REQUIRE(read);
  CHECK(std::get<internal::QueueCancelRecord>(*read).job == 9);
}

TEST_CASE("damaged records are refused with a reason", "[records]") {
  const std::string good = internal::EncodeQueueRecord(internal::QueueCancelRecord{9});
  const std::string bad[] = {"",
                             "\x02" + good.substr(1),
                             good.substr(0, good.size() - 1),
                             good + "x",
                             internal::SealRecord(nlohmann::json::array({3, "nine"})),
                             internal::SealRecord(nlohmann::json::array({99}))};
  for (const std::string& bytes : bad) {
    std::string reason;
    CHECK_FALSE(internal::DecodeQueueRecord(bytes, reason));
    CHECK_FALSE(reason.empty());
  }
}

TEST_CASE("the records of a task's life stay within the byte budget", "[records]") {
  const internal::QueueAssignRecord assign{12000, 250, RackId("rack-88"), 90000000};
  const internal::RackIntentRecord intent{
      12000, 250, 1, 90000000, UnitId("north/queue-3"), TargetId("worker-0899"), ""};
  internal::RackEndRecord rack_end;
  rack_end.job = 12000;
  rack_end.task.index = 250;
  internal::QueueEndRecord queue_end;
  queue_end.job = 12000;
  queue_end.index = 250;
  const std::size_t life =
      internal::EncodeQueueRecord(assign).size() + internal::EncodeRackRecord(intent).size() +
      internal::EncodeRackRecord(rack_end).size() + internal::EncodeQueueRecord(queue_end).size();
  INFO(life);
  CHECK(life < kMaxBytesPerLife);
}

TEST_CASE("a recovered owner's snapshot is the one it was made from", "[records]") {
  World world(2);
  world.Run(seconds(5));
  world.Submit(BatchJob("audit", 12, seconds(20), 1000));
  world.Submit(BatchJob("logs", 12, seconds(20), 1000));
  world.Run(seconds(4));
  world.Cancel(JobId("logs"));
  world.Run(seconds(1));
  const std::string snapshot = world.queue().TakeSnapshot();
  JobQueue queue(UnitId("queue-a"), {});
  queue.Handle(RackRecovered{9, snapshot, {}, world.queue().last_sequence() + 1}, world.now);
  CHECK(queue.TakeSnapshot() == snapshot);
  CHECK(queue.last_sequence() == world.queue().last_sequence());
  const std::string rack_snapshot = world.rack().TakeSnapshot();
  RackController rack(RackId("rack-1"), {}, LeastCommittedPolicy{});
  rack.Handle(RackRecovered{9, rack_snapshot, {}, 1000}, world.now);
  CHECK(rack.TakeSnapshot() == rack_snapshot);
}

TEST_CASE("an owner that can't read its ledger acts on nothing", "[records]") {
  RackController rack(RackId("rack-1"), {}, LeastCommittedPolicy{});
  const auto actions =
      rack.Handle(RackRecovered{2, {}, {"\x01nonsense"}, 2}, TimePoint(seconds(1)));
  REQUIRE(actions.size() == 1);
  CHECK(std::get<ReportEvent>(actions.front()).event.code == EventCode::kLedgerRecordBad);
  CHECK(rack.Handle(RackTick{}, TimePoint(seconds(9))).empty());
}

}  // namespace
}  // namespace pistachio::testing
