#include "pistachio/connection/store/prefix_mirror.h"

#include <catch2/catch.hpp>
#include <deque>

namespace pistachio {
namespace {

using std::chrono::milliseconds;

/// Store that keeps each call until the test answers it.
struct ManualStore {
  std::deque<std::pair<StoreCall, StoreCallback>> pending;  ///< calls without a reply, oldest first

  StorePort Port() {
    return [this](const StoreCall& call, Duration, StoreCallback callback) {
      this->pending.emplace_back(call, std::move(callback));
    };
  }
  /// Answers the oldest pending call. \returns that call.
  StoreCall Answer(const StoreReply& reply) {
    const auto [call, callback] = this->pending.front();
    this->pending.pop_front();
    callback(reply);
    return call;
  }
};

StoreItem Item(const std::string& key, std::uint64_t revision, bool removed = false) {
  StoreItem item;
  item.key = key;
  item.value = "v" + std::to_string(revision);
  item.revision = revision;
  item.removed = removed;
  return item;
}

StoreReply OkReply(std::vector<StoreItem> items, std::uint64_t revision, bool truncated = false) {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.items = std::move(items);
  reply.revision = revision;
  reply.truncated = truncated;
  return reply;
}

StoreReply StatusReply(StoreStatus status) {
  StoreReply reply;
  reply.status = status;
  return reply;
}

struct Fixture {
  ManualStore store;
  std::vector<std::string> changes;  ///< keys reported, `+` for a write and `-` for a removal
  int loads = 0;                     ///< calls of on_loaded
  PrefixMirror mirror{MirrorSettings{"p/"}, store.Port(),
                      [this](const StoreItem& item) {
                        this->changes.push_back((item.removed ? "-" : "+") + item.key);
                      },
                      [this] { this->loads++; }};
};

TEST_CASE("a full read joins the pages and the watch starts at the revision of the first page",
          "[store]") {
  Fixture fixture;
  fixture.mirror.Start(TimePoint{});
  fixture.store.Answer(OkReply({Item("p/a", 3)}, 10, true));
  const StoreCall second = fixture.store.Answer(OkReply({Item("p/b", 12)}, 13));
  REQUIRE(std::get<ReadRange>(second).after_key == "p/a");
  REQUIRE(fixture.loads == 1);
  REQUIRE(fixture.changes == std::vector<std::string>{"+p/a", "+p/b"});
  REQUIRE(std::get<WatchPrefix>(fixture.store.pending.front().first).after_revision == 10);
  // The watch reports a change again that the second page contained already; it is ignored.
  fixture.store.Answer(OkReply({Item("p/b", 12), Item("p/a", 14, true)}, 14));
  REQUIRE(fixture.changes == std::vector<std::string>{"+p/a", "+p/b", "-p/a"});
}

TEST_CASE("after lost history all keys are read again and what was removed is reported",
          "[store]") {
  Fixture fixture;
  fixture.mirror.Start(TimePoint{});
  fixture.store.Answer(OkReply({Item("p/a", 3), Item("p/b", 4)}, 10));
  fixture.store.Answer(StatusReply(StoreStatus::kMissing));
  fixture.store.Answer(OkReply({Item("p/b", 4), Item("p/c", 20)}, 30));
  REQUIRE(fixture.changes == std::vector<std::string>{"+p/a", "+p/b", "-p/a", "+p/c"});
  REQUIRE(fixture.loads == 2);
}

TEST_CASE("a failed watch resumes from the last revision after a pause", "[store]") {
  Fixture fixture;
  TimePoint now{};
  fixture.mirror.Start(now);
  fixture.store.Answer(OkReply({}, 10));
  fixture.store.Answer(StatusReply(StoreStatus::kRefused));
  REQUIRE(fixture.store.pending.empty());
  fixture.mirror.Tick(now + milliseconds(50));
  REQUIRE(fixture.store.pending.empty());
  fixture.mirror.Tick(now + milliseconds(100));
  REQUIRE(std::get<WatchPrefix>(fixture.store.pending.front().first).after_revision == 10);
}

TEST_CASE("the next watch waits after one with changes and not after an empty one", "[store]") {
  Fixture fixture;
  fixture.mirror.SetChangePause(milliseconds(300));
  fixture.mirror.Start(TimePoint{});
  fixture.store.Answer(OkReply({}, 10));
  fixture.store.Answer(OkReply({}, 11));
  REQUIRE(fixture.store.pending.size() == 1);
  fixture.store.Answer(OkReply({Item("p/a", 12)}, 12));
  REQUIRE(fixture.store.pending.empty());
  fixture.mirror.Tick(TimePoint{} + milliseconds(300));
  REQUIRE(fixture.store.pending.size() == 1);
}

TEST_CASE("replies to calls sent before a stop are ignored", "[store]") {
  Fixture fixture;
  fixture.mirror.Start(TimePoint{});
  fixture.mirror.Stop();
  fixture.store.Answer(OkReply({Item("p/a", 3)}, 10));
  REQUIRE(fixture.changes.empty());
  REQUIRE(fixture.store.pending.empty());
}

}  // namespace
}  // namespace pistachio
