#include <catch2/catch.hpp>

#include "pistachio/process/ownership.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const QueueId kQueue("queue");

/// A host with mirrored load records of the cells `a` and `b`.
class CountFixture {
 public:
  CountFixture() { this->mirror.Start(this->now); }

  /// Writes the load record of a cell. \param revision see LoadRecord::counted_revision
  void Publish(const std::string& cell, SubmissionCount waiting,
               std::optional<std::uint64_t> revision) {
    LoadRecord load;
    load.pending[kQueue] = waiting;
    load.counted_revision = revision;
    const std::string key = store_keys::Load(CellId(cell));
    this->items[key] = StoreItem{key, EncodeRecord(load), ++this->revision, 1, 0, false};
  }

  /// Lets the host read all records, and returns its count.
  PendingCount Count() {
    this->mirror.RequireValidAfter(this->now);
    this->now += milliseconds(10);
    this->mirror.Tick(this->now);
    return CountPending(this->view, {CellId("a"), CellId("b")}, kQueue, this->clock);
  }

  TimePoint now{std::chrono::hours(1)};
  std::uint64_t revision = 100;  ///< of the store

 private:
  void Answer(const StoreCall& call, const StoreCallback& callback) {
    StoreReply reply;
    if (std::holds_alternative<WatchPrefix>(call)) {
      return;
    }
    reply.status = StoreStatus::kOk;
    reply.revision = this->revision;
    for (const auto& [key, item] : this->items) {
      reply.items.push_back(item);
    }
    this->clock.OnReply(call, reply, this->now, this->now);
    callback(reply);
  }

  std::map<std::string, StoreItem> items;
  RevisionClock clock;
  PrefixMirror mirror{{store_keys::kClusterPrefix},
                      [this](const StoreCall& call, Duration /*timeout*/,
                             const StoreCallback& callback) { this->Answer(call, callback); },
                      [](const StoreItem& /*item*/) {},
                      [] {}};
  ClusterView view{this->mirror};
};

TEST_CASE("a count over current records is complete", "[pending]") {
  CountFixture fixture;
  fixture.Publish("a", {3, 0}, 100);
  fixture.Publish("b", {4, 0}, 102);
  const PendingCount count = fixture.Count();
  REQUIRE(count.Estimate() == 7);
  REQUIRE(count.oldest_cell == CellId("a"));
  REQUIRE(count.IsComplete(fixture.now, seconds(4)));
}

// Guards against a count that lacks a cell which no owner has counted yet.
TEST_CASE("a count without the record of a cell is not complete", "[pending]") {
  CountFixture fixture;
  fixture.Publish("a", {3, 0}, 100);
  REQUIRE(fixture.Count().missing_cells == 1);
  REQUIRE_FALSE(fixture.Count().IsComplete(fixture.now, seconds(4)));
  // Earlier versions write records that do not tell what they cover.
  fixture.Publish("b", {4, 0}, std::nullopt);
  REQUIRE(fixture.Count().missing_cells == 1);
  REQUIRE_FALSE(fixture.Count().IsComplete(fixture.now, seconds(4)));
}

// Guards against a count that is summed from a record whose owner has stopped counting.
TEST_CASE("a count over an old record is not complete", "[pending]") {
  CountFixture fixture;
  fixture.Publish("a", {3, 0}, 100);
  fixture.Publish("b", {4, 0}, 100);
  fixture.Count();
  for (int second = 0; second < 4; ++second) {
    fixture.now += seconds(1);
    fixture.revision++;
    fixture.Publish("a", {3, 0}, fixture.revision);
    fixture.Count();
  }
  REQUIRE(fixture.Count().IsComplete(fixture.now, seconds(5)));
  REQUIRE_FALSE(fixture.Count().IsComplete(fixture.now, seconds(4)));
}

// Guards against a count that leaves out submissions for as long as a lost target keeps its owner
// waiting.
TEST_CASE("submissions whose start is not confirmed are counted unless they prevail", "[pending]") {
  CountFixture fixture;
  fixture.Publish("a", {3, 1}, 100);
  fixture.Publish("b", {0, 2}, 100);
  REQUIRE(fixture.Count().Estimate() == 6);
  fixture.Publish("b", {0, 3}, 102);
  REQUIRE_FALSE(fixture.Count().Estimate());
}

TEST_CASE("a count is not complete while the host hears nothing from the store", "[pending]") {
  CountFixture fixture;
  fixture.Publish("a", {3, 0}, 100);
  fixture.Publish("b", {4, 0}, 100);
  const PendingCount count = fixture.Count();
  REQUIRE_FALSE(count.IsComplete(fixture.now + seconds(5), seconds(4)));
}

}  // namespace
}  // namespace pistachio
