#include <catch2/catch.hpp>

#include "tests/scheduling/reservation_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kSubmission = "00000000000000a1";
/// Longest time for which a long-running task may be without a run.
constexpr Duration kLongestTimeWithoutRun = seconds(9);

// Tasks that have begun together are all suspects once their target is lost. They started one by
// one on the only target left, each 3 s after the one before (review/13).
TEST_CASE("long-running tasks that lose a target together are not late for each other's isolation",
          "[cell][suspects_together]") {
  ReservationFixture fixture;
  fixture.cell.SetFirstOwner();
  fixture.Load(kSubmission, LongRunningStep({500, 100, 0}), {"t1", "t1", "t1", "t1"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.FinishLoading();
  fixture.silent.insert("t1");
  fixture.running["t1"].clear();
  const TimePoint lost_at = fixture.now;
  while (fixture.starts.size() < 4) {
    fixture.Run(milliseconds(50));
    REQUIRE(fixture.now - lost_at < seconds(60));
  }
  CHECK((fixture.now - lost_at).count() < kLongestTimeWithoutRun.count());
}

// A task beside which others have started is not blamed alone for a crash of their target.
TEST_CASE("a suspect whose target another task shares is isolated no more",
          "[cell][suspects_together]") {
  ReservationFixture fixture;
  fixture.cell.SetFirstOwner();
  fixture.Load(kSubmission, LongRunningStep({500, 100, 0}), {"t1", "t1"});
  fixture.PutTarget("t1");
  fixture.PutTarget("t2");
  fixture.FinishLoading();
  fixture.silent.insert("t1");
  fixture.running["t1"].clear();
  while (fixture.starts.size() < 2) {
    fixture.Run(milliseconds(50));
    REQUIRE(fixture.lines.size() < 10000);
  }
  for (const Task& task :
       fixture.cell.submissions().at(SubmissionId(kSubmission)).occurrences.at(0).steps[0].tasks) {
    CHECK(task.crash_record.suspect);
    CHECK_FALSE(task.crash_record.isolated);
  }
}

}  // namespace
}  // namespace pistachio
