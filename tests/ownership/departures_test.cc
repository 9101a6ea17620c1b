#include "pistachio/process/ownership/departures.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

using std::chrono::seconds;

// Guards against a count without the submissions that move to a cell whose owner is down.
TEST_CASE("a submission that has moved is counted until the other cell counts it", "[pending]") {
  const QueueId queue("queue");
  const TimePoint now{std::chrono::hours(1)};
  Departures departures;
  departures.Add(queue, CellId("a"), 100, now);
  departures.Add(queue, CellId("b"), 110, now);
  LoadRecord load;
  load.pending[queue].waiting = 5;
  SECTION("neither does") {
    departures.AddTo({{CellId("a"), 99}, {CellId("b"), 0}}, now, &load);
    REQUIRE(load.pending[queue].waiting == 7);
  }
  SECTION("one does") {
    departures.AddTo({{CellId("a"), 100}, {CellId("b"), 100}}, now, &load);
    REQUIRE(load.pending[queue].waiting == 6);
    departures.AddTo({{CellId("a"), 120}, {CellId("b"), 120}}, now, &load);
    REQUIRE(load.pending[queue].waiting == 6);
    REQUIRE(departures.empty());
  }
  SECTION("neither does for so long that no host answers with their records") {
    departures.AddTo({{CellId("a"), 99}, {CellId("b"), 0}}, now + seconds(11), &load);
    REQUIRE(load.pending[queue].waiting == 5);
    REQUIRE(departures.empty());
  }
}

}  // namespace
}  // namespace pistachio
