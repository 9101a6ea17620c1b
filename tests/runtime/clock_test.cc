#include <catch2/catch.hpp>

#include "pistachio/process/runtime.h"

namespace pistachio {
namespace {

TEST_CASE("a manual clock changes only when it is advanced", "[clock]") {
  ManualClock manual;
  const Clock clock = manual;
  const TimePoint start = Now(clock);
  REQUIRE(Now(clock) == start);
  manual.Advance(std::chrono::seconds(3));
  REQUIRE(Now(clock) - start == std::chrono::seconds(3));
}

TEST_CASE("the boot clock is monotonic", "[clock]") {
  const Clock clock = BootClock{};
  const TimePoint first = Now(clock);
  REQUIRE(Now(clock) >= first);
}

}  // namespace
}  // namespace pistachio
