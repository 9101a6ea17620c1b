#include "pistachio/process/ledger.h"

#include <catch2/catch.hpp>
#include <deque>

#include "pistachio/connection/store.h"

namespace pistachio {
namespace {

/// \brief One owner's ledger on a shared store; replies come at once, under the given faults.
struct Owner {
  explicit Owner(FakeStore* store, const LedgerLimits& limits = LedgerLimits{})
      : store(store), logic(UnitId("rack-1"), limits) {}

  void Feed(const LedgerEvent& event) {
    for (const LedgerAction& action : this->logic.Handle(event, this->now)) {
      if (const auto* call = std::get_if<CallStore>(&action)) {
        const StoreFault fault = std::exchange(this->next_fault, StoreFault::kNone);
        const StoreReply reply = this->store->Call(call->call, fault);
        this->Feed(LedgerStoreAnswered{call->call_id, reply});
      } else if (const auto* read = std::get_if<LedgerRecovered>(&action)) {
        this->recovered = *read;
        this->next = read->next_sequence;
      } else if (const auto* done = std::get_if<LedgerCommitted>(&action)) {
        this->committed = done->through;
      } else if (std::holds_alternative<LedgerFenced>(action)) {
        this->fenced = true;
      } else if (std::holds_alternative<SnapshotWanted>(action)) {
        this->snapshot_wanted = true;
      }
    }
  }

  void Append(const std::string& record) { this->Feed(RecordAppended{this->next++, record, true}); }

  void Run(Duration time) {
    constexpr Duration kStep = std::chrono::milliseconds(100);
    for (Duration done{0}; done < time; done += kStep) {
      this->now += kStep;
      this->Feed(LedgerTick{});
    }
  }

  FakeStore* store;
  Ledger logic;
  TimePoint now{std::chrono::hours(1)};
  StoreFault next_fault = StoreFault::kNone;
  std::optional<LedgerRecovered> recovered;
  std::uint64_t next = 1;
  std::uint64_t committed = 0;
  bool fenced = false;
  bool snapshot_wanted = false;
};

TEST_CASE("what an owner commits is what the next owner recovers, in order", "[ledger]") {
  FakeStore store;
  Owner first(&store);
  first.Feed(LedgerOpened{1});
  REQUIRE(first.recovered);
  first.Append("a");
  first.Append("b");
  REQUIRE(first.committed == 2);
  Owner second(&store);
  second.Feed(LedgerOpened{2});
  REQUIRE(second.recovered->records == std::vector<std::string>{"a", "b"});
  REQUIRE(second.recovered->next_sequence == 3);
}

TEST_CASE("a stale owner's write fails behind the fence of a later epoch", "[ledger]") {
  FakeStore store;
  Owner first(&store);
  first.Feed(LedgerOpened{1});
  first.Append("a");
  Owner second(&store);
  second.Feed(LedgerOpened{2});
  first.Append("late");
  REQUIRE(first.fenced);
  REQUIRE(first.committed == 1);
  Owner third(&store);
  third.Feed(LedgerOpened{3});
  REQUIRE(third.recovered->records == std::vector<std::string>{"a"});
}

TEST_CASE("a write whose answer was lost is read back and committed once", "[ledger]") {
  for (const StoreFault fault :
       {StoreFault::kLostAnswer, StoreFault::kLostCall, StoreFault::kDown}) {
    FakeStore store;
    Owner owner(&store);
    owner.Feed(LedgerOpened{1});
    owner.next_fault = fault;
    owner.Append("a");
    REQUIRE(owner.committed == 0);
    owner.Run(std::chrono::seconds(2));
    REQUIRE(owner.committed == 1);
    REQUIRE(owner.logic.pending() == 0);
    Owner next(&store);
    next.Feed(LedgerOpened{2});
    REQUIRE(next.recovered->records == std::vector<std::string>{"a"});
  }
}

TEST_CASE("the ring goes round under snapshots, also ones that are split", "[ledger]") {
  FakeStore store;
  LedgerLimits limits;
  limits.slots = 8;
  limits.max_part_bytes = 16;
  Owner owner(&store, limits);
  owner.Feed(LedgerOpened{1});
  std::string state;
  for (int i = 0; i < 40; i++) {
    const std::string record = std::to_string(i) + ";";
    state += record;
    owner.Append(record);
    if (std::exchange(owner.snapshot_wanted, false)) {
      owner.Feed(SnapshotTaken{owner.next - 1, state});
    }
    owner.Run(std::chrono::seconds(1));
    REQUIRE(owner.committed == static_cast<std::uint64_t>(i) + 1);
  }
  Owner next(&store, limits);
  next.Feed(LedgerOpened{2});
  std::string read = next.recovered->snapshot;
  for (const std::string& record : next.recovered->records) {
    read += record;
  }
  REQUIRE(read == state);
  REQUIRE(next.recovered->next_sequence == 41);
}

TEST_CASE("an owner deletes the last owner's snapshot parts only once its own head is written",
          "[ledger]") {
  FakeStore store;
  LedgerLimits limits;
  limits.slots = 8;
  limits.max_part_bytes = 4;
  Owner first(&store, limits);
  first.Feed(LedgerOpened{1});
  while (!first.snapshot_wanted) {
    first.Append("abcdefgh");
  }
  // The parts are written, the head is still on its way when the next owner opens.
  std::optional<CompareAndSwapCall> late_head;
  std::deque<LedgerEvent> events = {SnapshotTaken{first.next - 1, "abcdefghijkl"}};
  while (!late_head) {
    const LedgerEvent event = events.front();
    events.pop_front();
    for (const LedgerAction& action : first.logic.Handle(event, first.now)) {
      const auto* call = std::get_if<CallStore>(&action);
      const auto* write = call == nullptr ? nullptr : std::get_if<CompareAndSwapCall>(&call->call);
      if (write != nullptr && write->key == "ledger/rack-1/head") {
        late_head = *write;
      } else if (call != nullptr) {
        events.push_back(LedgerStoreAnswered{call->call_id, store.Call(call->call)});
      }
    }
  }
  Owner second(&store, limits);
  second.Feed(LedgerOpened{2});
  second.Run(std::chrono::seconds(3));
  REQUIRE(store.Call(*late_head).status == StoreStatus::kOk);
  Owner third(&store, limits);
  third.Feed(LedgerOpened{3});
  REQUIRE(third.recovered);
  REQUIRE(third.recovered->snapshot == "abcdefghijkl");
}

TEST_CASE("a snapshot that waits for records finds a slot for them in a crowded ring", "[ledger]") {
  FakeStore store;
  LedgerLimits limits;
  limits.slots = 8;
  Owner owner(&store, limits);
  owner.Feed(LedgerOpened{1});
  for (int i = 0; i < 20; i++) {
    owner.Append("r" + std::to_string(i));
  }
  REQUIRE(owner.snapshot_wanted);
  REQUIRE(owner.logic.pending() > 0);
  owner.Feed(SnapshotTaken{20, "all"});
  owner.Run(std::chrono::seconds(2));
  REQUIRE(owner.logic.pending() == 0);
  REQUIRE(owner.committed == 20);
}

}  // namespace
}  // namespace pistachio
