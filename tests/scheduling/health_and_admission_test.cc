#include <catch2/catch.hpp>

#include "pistachio/process/scheduling/admission.h"
#include "pistachio/process/scheduling/straggler.h"
#include "pistachio/process/scheduling/target_health.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RunProgress ProgressAfter(double percent, milliseconds observed) {
  RunProgress run;
  run.estimate = seconds(3);
  run.observed = observed;
  run.first_percent = 0.0;
  run.percent = percent;
  return run;
}

TEST_CASE("a run at its expected speed is left alone", "[straggler]") {
  REQUIRE(ClassifyRun(ProgressAfter(50.0, milliseconds(1500)), {}) == RunHealth::kHealthy);
}

// Load pattern: a sixth of the targets becomes several times slower.
TEST_CASE("a run that is much too slow is moved unless it is nearly done", "[straggler]") {
  REQUIRE(ClassifyRun(ProgressAfter(8.0, milliseconds(1500)), {}) == RunHealth::kTooSlow);
  RunProgress nearly_done = ProgressAfter(15.0, milliseconds(1500));
  nearly_done.first_percent = 80.0;
  nearly_done.percent = 95.0;
  REQUIRE(ClassifyRun(nearly_done, {}) == RunHealth::kHealthy);
}

TEST_CASE("a run without progress is stalled unless it is throttled", "[straggler]") {
  RunProgress run = ProgressAfter(20.0, milliseconds(3000));
  run.since_growth = milliseconds(2500);
  REQUIRE(ClassifyRun(run, {}) == RunHealth::kStalled);
  run.paced = true;
  REQUIRE(ClassifyRun(run, {}) == RunHealth::kHealthy);
}

TEST_CASE("a run observed for too short a time is not judged", "[straggler]") {
  REQUIRE(ClassifyRun(ProgressAfter(0.0, milliseconds(500)), {}) == RunHealth::kHealthy);
}

// Load pattern: every run on a target fails while the target reports itself healthy.
TEST_CASE("failures of several submissions make a target suspect until a run is done",
          "[target_health]") {
  const TargetHealthSettings settings;
  TargetHealth health;
  TimePoint now{};
  REQUIRE_FALSE(health.OnFailed(SubmissionId("a"), now, settings));
  REQUIRE_FALSE(health.OnFailed(SubmissionId("a"), now, settings));
  REQUIRE(health.MayStart(now));
  REQUIRE(health.OnFailed(SubmissionId("b"), now, settings));
  REQUIRE_FALSE(health.MayStart(now));
  now += settings.quarantine;
  REQUIRE(health.MayStart(now));
  health.OnAssigned(now, settings);
  REQUIRE_FALSE(health.MayStart(now));
  health.OnDone();
  REQUIRE_FALSE(health.suspect());
}

// Load pattern: a target on which every run failed for a while is full of long-running tasks, which
// never end, while other long-running tasks wait for free resources.
TEST_CASE("a recovered target is no longer suspect even without the end of a run",
          "[target_health]") {
  const TargetHealthSettings settings;
  TargetHealth health;
  TimePoint now{};
  health.OnFailed(SubmissionId("a"), now, settings);
  health.OnFailed(SubmissionId("b"), now, settings);
  now += settings.quarantine;
  for (std::uint32_t probe = 0; probe <= settings.probes_to_trust; ++probe) {
    REQUIRE(health.MayStart(now));
    health.OnAssigned(now, settings);
    now += settings.probe_interval;
  }
  REQUIRE_FALSE(health.suspect());
}

TEST_CASE("a failed probe restarts the pause", "[target_health]") {
  const TargetHealthSettings settings;
  TargetHealth health;
  TimePoint now{};
  health.OnFailed(SubmissionId("a"), now, settings);
  health.OnFailed(SubmissionId("b"), now, settings);
  now += settings.quarantine;
  health.OnAssigned(now, settings);
  health.OnFailed(SubmissionId("c"), now, settings);
  now += settings.probe_interval;
  REQUIRE_FALSE(health.MayStart(now));
  REQUIRE(health.suspect());
}

TEST_CASE("an unhealthy answer keeps new runs off a target for a while", "[target_health]") {
  const TargetHealthSettings settings;
  TargetHealth health;
  health.OnRejectedUnhealthy(TimePoint{}, settings);
  REQUIRE_FALSE(health.MayStart(TimePoint{} + settings.unhealthy_pause / 2));
  REQUIRE(health.MayStart(TimePoint{} + settings.unhealthy_pause));
}

// Load pattern: a burst of batch work beyond the capacity of the cell.
TEST_CASE("work that would finish too late is rejected with a retry time that matches the backlog",
          "[admission]") {
  const AdmissionSettings settings;
  REQUIRE_FALSE(OverloadRetryAfter(2, seconds(5), seconds(9), 0.0, settings));
  const auto soon = OverloadRetryAfter(2, seconds(5), seconds(12), 0.0, settings);
  const auto spread = OverloadRetryAfter(2, seconds(5), seconds(12), 0.9, settings);
  REQUIRE(soon == seconds(2));
  REQUIRE(spread == seconds(4));
  REQUIRE(OverloadRetryAfter(2, seconds(5), seconds(100), 0.0, settings) ==
          settings.max_retry_after);
}

TEST_CASE("work of priority 0 is not rejected because of the backlog", "[admission]") {
  REQUIRE_FALSE(OverloadRetryAfter(0, seconds(1), seconds(100), 0.5, {}));
}

}  // namespace
}  // namespace pistachio
