#include "pistachio/process/scheduling/waiting_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace pistachio {
namespace {

using std::chrono::milliseconds;

WaitingStep Step(std::int32_t priority, milliseconds due, bool long_running = false) {
  WaitingStep step;
  step.priority = priority;
  step.due = due;
  step.hard_deadline = due * 3;
  step.long_running = long_running;
  return step;
}

// Load: serving tasks fill the targets, urgent checks arrive steadily, batch work in bursts.
TEST_CASE("steps are ordered by queue priority, then urgent before long-running before late work",
          "[waiting_order]") {
  const WaitingStep long_running_step = Step(0, milliseconds(9000), true);
  const WaitingStep urgent = Step(0, milliseconds(9000));
  const WaitingStep late = Step(0, milliseconds(400));
  const WaitingStep batch = Step(2, milliseconds(1000));
  const WallTime now(500);
  REQUIRE(RunsBefore(urgent, long_running_step, now));
  REQUIRE(RunsBefore(long_running_step, late, now));
  REQUIRE(RunsBefore(late, batch, now));
  REQUIRE_FALSE(RunsBefore(batch, long_running_step, now));
}

// Load: a burst of batch work that cannot all be completed in time.
TEST_CASE("in a burst, what can still be done in time comes before what is late or has no value",
          "[waiting_order]") {
  const WallTime now(10000);
  std::vector<WaitingStep> steps = {
      Step(2, milliseconds(3000)),    // no value: 9000 has passed
      Step(2, milliseconds(8000)),    // late
      Step(2, milliseconds(10500)),   // late: due too soon for the remaining work
      Step(2, milliseconds(13000)),   // in time
      Step(2, milliseconds(12000))};  // in time, due sooner
  for (WaitingStep& step : steps) {
    step.remaining = milliseconds(1500);
  }
  std::sort(steps.begin(), steps.end(),
            [now](const auto& a, const auto& b) { return RunsBefore(a, b, now); });
  std::vector<milliseconds> order;
  order.reserve(steps.size());
  for (const WaitingStep& step : steps) {
    order.push_back(step.due);
  }
  REQUIRE(order == std::vector<milliseconds>{milliseconds(12000), milliseconds(13000),
                                             milliseconds(8000), milliseconds(10500),
                                             milliseconds(3000)});
}

}  // namespace
}  // namespace pistachio
