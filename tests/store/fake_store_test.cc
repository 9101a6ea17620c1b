#include <catch2/catch.hpp>

#include "pistachio/connection/store.h"

namespace pistachio {
namespace {

TEST_CASE("a compare-and-swap with an old version changes nothing and shows the current entry",
          "[store]") {
  FakeStore store;
  REQUIRE(store.Call(CompareAndSwapCall{"k", 0, "a"}).status == StoreStatus::kOk);
  const StoreReply conflict = store.Call(CompareAndSwapCall{"k", 0, "b"});
  REQUIRE(conflict.status == StoreStatus::kConflict);
  REQUIRE(conflict.entries.at(0).value == "a");
  REQUIRE(conflict.entries.at(0).version == 1);
}

TEST_CASE("a lost answer leaves the write in place, a lost call does not", "[store]") {
  FakeStore store;
  REQUIRE(store.Call(CompareAndSwapCall{"k", 0, "a"}, StoreFault::kLostAnswer).status ==
          StoreStatus::kUnknown);
  REQUIRE(store.Call(GetCall{"k"}).entries.at(0).value == "a");
  REQUIRE(store.Call(CompareAndSwapCall{"k", 1, "b"}, StoreFault::kLostCall).status ==
          StoreStatus::kUnknown);
  REQUIRE(store.Call(GetCall{"k"}).entries.at(0).value == "a");
}

TEST_CASE("a key that is deleted and made again does not reuse a version", "[store]") {
  FakeStore store;
  store.Call(CompareAndSwapCall{"k", 0, "a"});
  store.Call(DeleteCall{"k", 1});
  const StoreReply again = store.Call(CompareAndSwapCall{"k", 0, "b"});
  REQUIRE(again.entries.at(0).version == 2);
}

TEST_CASE("a watch returns what changed past its revision", "[store]") {
  FakeStore store;
  store.Call(CompareAndSwapCall{"a/1", 0, "x"});
  const std::uint64_t revision = store.revision();
  store.Call(CompareAndSwapCall{"a/2", 0, "y"});
  const StoreReply changed = store.Call(WatchCall{"a/", revision, std::chrono::milliseconds(0)});
  REQUIRE(changed.entries.size() == 1);
  REQUIRE(changed.entries.at(0).key == "a/2");
}

}  // namespace
}  // namespace pistachio
