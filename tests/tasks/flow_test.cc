#include <catch2/catch.hpp>

#include "tests/tasks/world.h"

namespace pistachio::testing {
namespace {

using std::chrono::seconds;

TEST_CASE("a job's tasks run once and are counted once", "[flow]") {
  World world(3);
  world.Run(seconds(5));
  world.Submit(BatchJob("audit", 10, seconds(8), 1000));
  world.Run(seconds(60));
  const JobStatus status = world.StatusOf(JobId("audit"));
  CHECK(status.finished == 10);
  CHECK(status.waiting + status.assigned + status.failed + status.cancelled == 0);
  CHECK(world.violations.empty());
  for (const auto& [target, amount] : world.rack().committed()) {
    CHECK(amount == Resources{});
  }
}

TEST_CASE("a drained target's work resumes from its checkpoint elsewhere", "[flow]") {
  World world(2);
  world.Run(seconds(5));
  world.Submit(BatchJob("audit", 4, seconds(30), 1000));
  world.Run(seconds(10));
  world.SetStanding(TargetId("t1"), TargetStanding::kDrained);
  world.Run(seconds(60));
  const JobStatus status = world.StatusOf(JobId("audit"));
  CHECK(status.finished == 4);
  CHECK(status.evictions == 2);
  CHECK(world.violations.empty());
}

TEST_CASE("urgent work evicts batch work and starts", "[flow]") {
  World world(2);
  world.Run(seconds(5));
  world.Submit(BatchJob("audit", 8, seconds(60), 1000));
  world.Run(seconds(10));
  JobSpec urgent = BatchJob("alarm", 1, seconds(10), 2000);
  urgent.priority = kUrgentPriority;
  world.Submit(urgent);
  world.Run(seconds(6));
  CHECK(world.StatusOf(JobId("alarm")).assigned == 1);
  CHECK(world.StatusOf(JobId("audit")).evictions == 2);
  world.Run(seconds(200));
  CHECK(world.StatusOf(JobId("alarm")).finished == 1);
  CHECK(world.StatusOf(JobId("audit")).finished == 8);
  CHECK(world.violations.empty());
}

TEST_CASE("a cancelled job's tasks stop and never resume", "[flow]") {
  World world(2);
  world.Run(seconds(5));
  world.Submit(BatchJob("audit", 12, seconds(60), 1000));
  world.Run(seconds(10));
  world.Cancel(JobId("audit"));
  world.Run(seconds(20));
  const JobStatus status = world.StatusOf(JobId("audit"));
  CHECK(status.cancelled == 12);
  CHECK(status.assigned == 0);
  CHECK(world.violations.empty());
}

TEST_CASE("a job that no host can hold is told so with the largest host considered", "[flow]") {
  World world(2);
  world.Run(seconds(5));
  world.Submit(BatchJob("huge", 1, seconds(5), 5000));
  world.Run(seconds(2));
  const JobStatus status = world.StatusOf(JobId("huge"));
  CHECK(status.unplaceable == 1);
  CHECK(status.reason ==
        "needs 5000m/1024MiB/0acc, the largest host considered has 4000m/16384MiB/1acc in rack "
        "rack-1");
}

}  // namespace
}  // namespace pistachio::testing
