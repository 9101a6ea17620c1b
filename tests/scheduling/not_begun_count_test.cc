#include "pistachio/process/scheduling/not_begun_count.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

const QueueId kQueue("queue");

SubmissionCount CountOf(const NotBegunCounter& counter) { return counter.Counts()[kQueue]; }

// Guards against a count that takes what runs for waiting work after each change of owner.
TEST_CASE("an earlier count bounds the submissions whose start is not confirmed", "[pending]") {
  NotBegunCounter counter(EarlierCount{100, {{kQueue, {1, 1}}}});
  counter.Add(kQueue, 90, false);
  for (std::uint64_t revision = 91; revision < 97; ++revision) {
    counter.Add(kQueue, revision, true);
  }
  REQUIRE(CountOf(counter).waiting == 1);
  REQUIRE(CountOf(counter).unconfirmed == 1);
  // The earlier count did not consider these.
  counter.Add(kQueue, 101, true);
  counter.Add(kQueue, 102, false);
  REQUIRE(CountOf(counter).waiting == 2);
  REQUIRE(CountOf(counter).unconfirmed == 2);
}

TEST_CASE("without an earlier count all submissions with an unconfirmed start are counted",
          "[pending]") {
  NotBegunCounter counter(std::nullopt);
  counter.Add(kQueue, 90, true);
  counter.Add(kQueue, 91, true);
  REQUIRE(CountOf(counter).unconfirmed == 2);
}

TEST_CASE("submissions that certainly wait are counted beyond an earlier count", "[pending]") {
  NotBegunCounter counter(EarlierCount{100, {}});
  counter.Add(kQueue, 90, false);
  counter.Add(kQueue, 91, true);
  REQUIRE(CountOf(counter).waiting == 1);
  REQUIRE(CountOf(counter).unconfirmed == 0);
}

}  // namespace
}  // namespace pistachio
