#include "pistachio/connection/store/prefix_mirror.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace pistachio {
namespace {

using std::chrono::milliseconds;

/// Store that keeps each call until the test answers it.
struct ManualStore {
  std::deque<std::pair<StoreCall, StoreCallback>> pending;  ///< calls without a reply, oldest first
  Duration last_timeout{0};                                 ///< timeout of the newest call

  StorePort Port() {
    return [this](const StoreCall& call, Duration timeout, StoreCallback callback) {
      this->last_timeout = timeout;
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
  explicit Fixture(std::chrono::milliseconds cut_off_extension = std::chrono::milliseconds(0)) {
    MirrorSettings settings{"p/"};
    settings.cut_off_extension = cut_off_extension;
    this->mirror = std::make_unique<PrefixMirror>(
        settings, this->store.Port(),
        [this](const StoreItem& item) {
          this->changes.push_back((item.removed ? "-" : "+") + item.key);
        },
        [this] { this->loads++; });
  }

  ManualStore store;
  std::vector<std::string> changes;  ///< keys reported, `+` for a write and `-` for a removal
  int loads = 0;                     ///< calls of on_loaded
  std::unique_ptr<PrefixMirror> mirror;
};

TEST_CASE("a full read joins the pages and the watch starts at the revision of the first page",
          "[store]") {
  Fixture fixture;
  fixture.mirror->Start(TimePoint{});
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

// A slow host that reads everything anew with each lost answer may never have its copy.
TEST_CASE("a read goes on at the page whose answer was lost", "[store]") {
  Fixture fixture;
  fixture.mirror->Start(TimePoint{});
  fixture.store.Answer(OkReply({Item("p/a", 3)}, 10, true));
  fixture.store.Answer(StatusReply(StoreStatus::kRefused));
  fixture.mirror->Tick(TimePoint{} + milliseconds(100));
  const StoreCall second = fixture.store.Answer(OkReply({Item("p/b", 12)}, 13));
  REQUIRE(std::get<ReadRange>(second).after_key == "p/a");
  REQUIRE(fixture.changes == std::vector<std::string>{"+p/a", "+p/b"});
  REQUIRE(std::get<WatchPrefix>(fixture.store.pending.front().first).after_revision == 10);
}

TEST_CASE("after lost history all keys are read again and what was removed is reported",
          "[store]") {
  Fixture fixture;
  fixture.mirror->Start(TimePoint{});
  fixture.store.Answer(OkReply({Item("p/a", 3), Item("p/b", 4)}, 10));
  fixture.store.Answer(StatusReply(StoreStatus::kMissing));
  fixture.store.Answer(OkReply({Item("p/b", 4), Item("p/c", 20)}, 30));
  REQUIRE(fixture.changes == std::vector<std::string>{"+p/a", "+p/b", "-p/a", "+p/c"});
  REQUIRE(fixture.loads == 2);
}

TEST_CASE("a failed watch resumes from the last revision after a pause", "[store]") {
  Fixture fixture;
  TimePoint now{};
  fixture.mirror->Start(now);
  fixture.store.Answer(OkReply({}, 10));
  fixture.store.Answer(StatusReply(StoreStatus::kRefused));
  REQUIRE(fixture.store.pending.empty());
  fixture.mirror->Tick(now + milliseconds(50));
  REQUIRE(fixture.store.pending.empty());
  fixture.mirror->Tick(now + milliseconds(100));
  REQUIRE(std::get<WatchPrefix>(fixture.store.pending.front().first).after_revision == 10);
}

TEST_CASE("the next watch waits after one with changes and not after an empty one", "[store]") {
  Fixture fixture;
  fixture.mirror->SetChangePause(milliseconds(300));
  fixture.mirror->Start(TimePoint{});
  fixture.store.Answer(OkReply({}, 10));
  fixture.store.Answer(OkReply({}, 11));
  REQUIRE(fixture.store.pending.size() == 1);
  fixture.store.Answer(OkReply({Item("p/a", 12)}, 12));
  REQUIRE(fixture.store.pending.empty());
  fixture.mirror->Tick(TimePoint{} + milliseconds(300));
  REQUIRE(fixture.store.pending.size() == 1);
}

StoreReply CutOffReply() {
  StoreReply reply = StatusReply(StoreStatus::kRefused);
  reply.cut_off = true;
  return reply;
}

// A host with a slow link cannot receive a large value within the usual timeout. As the store sends
// the whole value again, each further call with that timeout would fail as well.
TEST_CASE("a call after one whose answer was cut off has more time", "[store]") {
  Fixture fixture(milliseconds(4000));
  TimePoint now{};
  fixture.mirror->Start(now);
  const auto retry = [&fixture, &now](const StoreReply& reply) {
    fixture.store.Answer(reply);
    now += milliseconds(100);
    fixture.mirror->Tick(now);
    REQUIRE(fixture.store.pending.size() == 1);
    return fixture.store.last_timeout;
  };
  REQUIRE(fixture.store.last_timeout == milliseconds(800));
  REQUIRE(retry(CutOffReply()) == milliseconds(4800));
  REQUIRE(retry(CutOffReply()) == milliseconds(4800));
  fixture.store.Answer(OkReply({}, 10));
  REQUIRE(fixture.store.last_timeout == milliseconds(1500));
  REQUIRE(retry(CutOffReply()) == milliseconds(5500));
  // A connection that stopped responding brings no part of an answer and is given up early.
  REQUIRE(retry(StatusReply(StoreStatus::kRefused)) == milliseconds(1500));
  REQUIRE(retry(CutOffReply()) == milliseconds(5500));
  fixture.store.Answer(OkReply({Item("p/a", 12)}, 12));
  REQUIRE(fixture.store.last_timeout == milliseconds(1500));
}

TEST_CASE("without an extension, a call after one whose answer was cut off fails as early",
          "[store]") {
  Fixture fixture;
  fixture.mirror->Start(TimePoint{});
  fixture.store.Answer(OkReply({}, 10));
  fixture.store.Answer(CutOffReply());
  fixture.mirror->Tick(TimePoint{} + milliseconds(100));
  REQUIRE(fixture.store.last_timeout == milliseconds(1500));
}

// A change that the store receives while a long answer is on its way is not part of the answer.
TEST_CASE("a call after one whose answer was cut off confirms the copy as of its sending",
          "[store]") {
  Fixture fixture(milliseconds(4000));
  const TimePoint start{};
  fixture.mirror->Start(start);
  fixture.store.Answer(OkReply({}, 10));
  fixture.store.Answer(CutOffReply());
  fixture.mirror->Tick(start + milliseconds(100));
  fixture.mirror->Tick(start + milliseconds(4000));
  fixture.store.Answer(OkReply({Item("p/a", 12)}, 12));
  REQUIRE(fixture.mirror->confirmed_at() == start + milliseconds(100));
  fixture.store.Answer(OkReply({}, 12));
  REQUIRE(fixture.mirror->confirmed_at() == start + milliseconds(4000));
}

// A host whose copy is old must not take it for current while it reads all keys again.
TEST_CASE("the answer that the history is lost does not confirm the copy", "[store]") {
  Fixture fixture;
  const TimePoint start{};
  fixture.mirror->Start(start);
  fixture.store.Answer(OkReply({Item("p/a", 3)}, 10));
  fixture.mirror->Tick(start + milliseconds(500));
  fixture.store.Answer(StatusReply(StoreStatus::kMissing));
  REQUIRE(fixture.mirror->confirmed_at() == start);
  fixture.store.Answer(OkReply({Item("p/a", 20)}, 30));
  REQUIRE(fixture.mirror->confirmed_at() == start + milliseconds(500));
}

// An owner of a cell that takes the time at which it handles an answer for that of the store
// extends leases for too long.
TEST_CASE("the time for which an answer was on its way does not count as validity of the copy",
          "[store]") {
  Fixture fixture;
  const TimePoint start{};
  fixture.mirror->Start(start);
  fixture.mirror->Tick(start + milliseconds(700));
  fixture.store.Answer(OkReply({Item("p/a", 3)}, 10, true));
  fixture.mirror->Tick(start + milliseconds(1400));
  REQUIRE(fixture.mirror->valid_at() == start);
  // The watch is sent at 1400 ms.
  fixture.store.Answer(OkReply({Item("p/b", 4)}, 10));
  REQUIRE(fixture.mirror->valid_at() == start);
  fixture.mirror->Tick(start + milliseconds(2000));
  fixture.store.Answer(OkReply({Item("p/a", 12)}, 12));
  REQUIRE(fixture.mirror->valid_at() == start + milliseconds(1400));
  // A watch without changes is answered after 1 s.
  fixture.mirror->Tick(start + milliseconds(3400));
  fixture.store.Answer(OkReply({}, 12));
  REQUIRE(fixture.mirror->valid_at() == start + milliseconds(3000));
  fixture.mirror->Tick(start + milliseconds(3900));
  fixture.store.Answer(OkReply({}, 12));
  REQUIRE(fixture.mirror->valid_at() == start + milliseconds(3900));
  // After a failed call, a watch without changes is answered at once.
  fixture.store.Answer(StatusReply(StoreStatus::kRefused));
  fixture.mirror->Tick(start + milliseconds(6000));
  fixture.mirror->Tick(start + milliseconds(6800));
  fixture.store.Answer(OkReply({}, 12));
  REQUIRE(fixture.mirror->valid_at() == start + milliseconds(6001));
}

TEST_CASE("a more recent copy is read at once during the pause after changes", "[store]") {
  Fixture fixture;
  const TimePoint start{};
  fixture.mirror->SetChangePause(milliseconds(1500));
  fixture.mirror->Start(start);
  fixture.store.Answer(OkReply({}, 10));
  fixture.store.Answer(OkReply({Item("p/a", 12)}, 12));
  fixture.mirror->RequireValidAfter(start + milliseconds(100));
  fixture.mirror->Tick(start + milliseconds(110));
  REQUIRE(fixture.store.pending.size() == 1);
  CHECK(std::holds_alternative<ReadRange>(fixture.store.pending.front().first));
  fixture.mirror->Tick(start + milliseconds(120));
  REQUIRE(fixture.store.pending.size() == 1);
  fixture.store.Answer(OkReply({Item("p/a", 13)}, 20));
  CHECK(fixture.mirror->valid_at() == start + milliseconds(110));
  const auto watch = std::get<WatchPrefix>(fixture.store.pending.front().first);
  CHECK(watch.after_revision == 20);
  CHECK(watch.wait == milliseconds(1000));
  // The pause applies again, also if the same time is required again.
  fixture.store.Answer(OkReply({Item("p/a", 21)}, 21));
  fixture.mirror->RequireValidAfter(start + milliseconds(100));
  fixture.mirror->Tick(start + milliseconds(130));
  CHECK(fixture.store.pending.empty());
}

TEST_CASE("a watch that may wait gives way to a full read", "[store]") {
  Fixture fixture;
  const TimePoint start{};
  fixture.mirror->Start(start);
  fixture.store.Answer(OkReply({}, 10));
  fixture.mirror->RequireValidAfter(start + milliseconds(100));
  fixture.mirror->Tick(start + milliseconds(110));
  REQUIRE(fixture.store.pending.size() == 2);
  // The reply to the former watch is ignored. The read contains its changes.
  fixture.store.Answer(OkReply({Item("p/a", 12)}, 12));
  CHECK(fixture.changes.empty());
  REQUIRE(fixture.store.pending.size() == 1);
  CHECK(std::holds_alternative<ReadRange>(fixture.store.pending.front().first));
  fixture.store.Answer(OkReply({Item("p/a", 12)}, 12));
  CHECK(fixture.changes == std::vector<std::string>{"+p/a"});
  CHECK(fixture.mirror->valid_at() == start + milliseconds(110));
  REQUIRE(fixture.store.pending.size() == 1);
  CHECK(std::get<WatchPrefix>(fixture.store.pending.front().first).wait == milliseconds(1000));
}

TEST_CASE("a required time does not shorten the pause after a failed call", "[store]") {
  Fixture fixture;
  const TimePoint start{};
  fixture.mirror->Start(start);
  fixture.store.Answer(OkReply({}, 10));
  fixture.store.Answer(StatusReply(StoreStatus::kRefused));
  fixture.mirror->RequireValidAfter(start + milliseconds(10));
  fixture.mirror->Tick(start + milliseconds(20));
  CHECK(fixture.store.pending.empty());
  fixture.mirror->Tick(start + milliseconds(100));
  CHECK(fixture.store.pending.size() == 1);
}

TEST_CASE("replies to calls sent before a stop are ignored", "[store]") {
  Fixture fixture;
  fixture.mirror->Start(TimePoint{});
  fixture.mirror->Stop();
  fixture.store.Answer(OkReply({Item("p/a", 3)}, 10));
  REQUIRE(fixture.changes.empty());
  REQUIRE(fixture.store.pending.empty());
}

}  // namespace
}  // namespace pistachio
