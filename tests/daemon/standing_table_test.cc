#include <catch2/catch.hpp>

#include "pistachio/connection/store.h"
#include "pistachio/process/daemon.h"

namespace pistachio {
namespace {

const TargetId kTarget("t1");

/// Carries a change to its end against a store, under a fault for its first call.
StandingChanged Carry(StandingTable& table, FakeStore& store, std::uint64_t request, bool drained,
                      StoreFault first_fault) {
  std::optional<StoreCall> call = table.Change(request, kTarget, drained);
  StoreFault fault = first_fault;
  while (call) {
    const StoreReply reply = store.Call(*call, fault);
    fault = StoreFault::kNone;
    call.reset();
    const auto changed = table.TakeReply(request, reply, &call);
    if (changed) {
      return *changed;
    }
  }
  return StandingChanged{};
}

TEST_CASE("a drain marks the target in the platform's list", "[standings]") {
  FakeStore store;
  StandingTable table(DataCentreId("waikato"));
  REQUIRE(Carry(table, store, 1, true, StoreFault::kNone).accepted);
  std::vector<TargetListing> listings(1);
  listings[0].target = kTarget;
  table.Apply(listings);
  REQUIRE(listings[0].standing == TargetStanding::kDrained);
}

TEST_CASE("a drain whose answer was lost is settled and counts once", "[standings]") {
  FakeStore store;
  StandingTable table(DataCentreId("waikato"));
  REQUIRE(Carry(table, store, 1, true, StoreFault::kLostAnswer).accepted);
  REQUIRE(table.current().drained == std::vector<TargetId>{kTarget});
}

TEST_CASE("two hosts that drain at once both succeed", "[standings]") {
  FakeStore store;
  StandingTable first(DataCentreId("waikato"));
  StandingTable second(DataCentreId("waikato"));
  REQUIRE(Carry(first, store, 1, true, StoreFault::kNone).accepted);
  std::optional<StoreCall> again;
  const StoreCall stale = second.Change(2, TargetId("t2"), true);
  REQUIRE_FALSE(second.TakeReply(2, store.Call(stale), &again));
  REQUIRE(again);
  std::optional<StoreCall> done;
  REQUIRE(second.TakeReply(2, store.Call(*again), &done)->accepted);
  REQUIRE(second.current().drained.size() == 2);
}

TEST_CASE("a service that is down refuses a drain and nothing is written", "[standings]") {
  FakeStore store;
  StandingTable table(DataCentreId("waikato"));
  REQUIRE_FALSE(Carry(table, store, 1, true, StoreFault::kDown).accepted);
  REQUIRE(store.revision() == 0);
}

TEST_CASE("an older record from a peer changes nothing", "[standings]") {
  StandingTable table(DataCentreId("waikato"));
  REQUIRE(table.Merge(Standings{5, {kTarget}}));
  REQUIRE_FALSE(table.Merge(Standings{4, {}}));
  REQUIRE(table.current().drained.size() == 1);
}

}  // namespace
}  // namespace pistachio
