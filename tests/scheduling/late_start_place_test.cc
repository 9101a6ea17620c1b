#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/scheduling/reservation_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kSubmission = "00000000000000a1";
/// Longest time after which an order without an answer is carried out.
constexpr Duration kLongestOrderDelay = seconds(12);
/// Longest time for which a long-running task may be without a run.
constexpr Duration kLongestTimeWithoutRun = seconds(9);

/// Two targets, one of which answers no start, accepts the stop that follows and lists no run.
class LostStart {
 public:
  explicit LostStart(bool long_running) {
    ReservationFixture& fixture = this->fixture;
    fixture.cell.SetFirstOwner();
    fixture.PutTarget("t1");
    fixture.cell.FinishLoading(fixture.now);
    fixture.Run(seconds(1));
    const Resources need{1000, 100, 0};
    fixture.Submit(kSubmission, long_running ? LongRunningStep(need) : ShortStep(need));
    fixture.starts_unanswered = true;
    while (fixture.stops.empty()) {
      fixture.Run(milliseconds(50));
      REQUIRE(fixture.now - this->begin < seconds(10));
    }
    this->last_sent_at = fixture.now;
    fixture.PutTarget("t2");
  }

  /// Advances by \a time. \returns the target of the latest assignment
  std::string Run(Duration time) {
    this->fixture.Run(time);
    for (const std::string& line : this->fixture.lines) {
      if (line.find("task-assigned ") != std::string::npos) {
        const std::size_t at = line.find(" target=") + std::string(" target=").size();
        this->assigned_to = line.substr(at, line.find(' ', at) - at);
      }
    }
    this->fixture.lines.clear();
    return this->assigned_to;
  }

  /// \returns the time from \a begin until the task is assigned to t2.
  Duration ElsewhereAfter(TimePoint since) {
    while (this->Run(milliseconds(50)) != "t2") {
      REQUIRE(this->fixture.now - since < seconds(60));
    }
    return this->fixture.now - since;
  }

  ReservationFixture fixture;
  TimePoint begin = fixture.now;
  TimePoint last_sent_at{};  ///< all starts were sent before
  std::string assigned_to;
};

// A list without the run was taken for proof that the start is gone. The target restarted under its
// id and carried the start out beside the next run (review/11).
TEST_CASE("a task whose start may arrive at a target starts on no other target",
          "[cell][late_start_place]") {
  LostStart lost(GENERATE(false, true));
  SECTION("the target takes the next run") {
    CHECK(lost.Run(seconds(3)) == "t1");
    CHECK(lost.fixture.starts.size() == 1);
  }
  SECTION("the target has restarted and takes the next run") {
    lost.fixture.incarnations["t1"] = kFixtureIncarnation + 1;
    lost.fixture.PutTarget("t1");
    CHECK(lost.Run(seconds(3)) == "t1");
  }
}

TEST_CASE("a short task waits for the target that may carry out its start",
          "[cell][late_start_place]") {
  LostStart lost(false);
  SECTION("the target is lost") { lost.fixture.silent.insert("t1"); }
  SECTION("the target drains") { lost.fixture.PutTarget("t1", TargetState::kDraining); }
  SECTION("the target has left") {
    lost.fixture.silent.insert("t1");
    lost.fixture.cell.RemoveTarget(TargetId("t1"), lost.fixture.now);
  }
  SECTION("the target restarts twice, and is lost") {
    lost.fixture.Run(seconds(1));
    lost.fixture.incarnations["t1"] = kFixtureIncarnation + 1;
    lost.fixture.PutTarget("t1");
    lost.fixture.Run(seconds(3));
    lost.fixture.incarnations["t1"] = kFixtureIncarnation + 2;
    lost.fixture.PutTarget("t1");
    lost.fixture.silent.insert("t1");
  }
  CHECK(lost.ElsewhereAfter(lost.last_sent_at) >= kLongestOrderDelay);
}

// The target answers holds and stops, and no start of any run.
TEST_CASE("a task whose target never answers a start has another one once none may arrive",
          "[cell][late_start_place]") {
  LostStart lost(false);
  CHECK(lost.ElsewhereAfter(lost.begin) < seconds(20));
}

// The rule against two runs and the bound on the time without a run exclude each other if the
// target restarts unseen after the bound.
TEST_CASE("a long-running task waits for the target that may carry out its start up to its bound",
          "[cell][late_start_place]") {
  LostStart lost(true);
  lost.fixture.PutTarget("t1", TargetState::kDraining);
  const Duration wait = lost.ElsewhereAfter(lost.begin);
  CHECK(wait < kLongestTimeWithoutRun);
  CHECK(wait > seconds(6));
}

// Another process at the address refuses orders that name the former id.
TEST_CASE("a start to a target that another one has replaced at its address keeps no task waiting",
          "[cell][late_start_place]") {
  LostStart lost(false);
  lost.fixture.silent.insert("t1");
  lost.fixture.cell.RemoveTarget(TargetId("t1"), lost.fixture.now);
  TargetEntry entry;
  entry.id = TargetId("t3");
  entry.service = lost.fixture.queue.service;
  entry.address = "t1:1";
  entry.incarnation = kFixtureIncarnation + 1;
  lost.fixture.cell.PutTarget(entry, lost.fixture.now);
  CHECK(lost.ElsewhereAfter(lost.last_sent_at) < seconds(4));
}

/// The new owner of a cell whose only submission has the progress \a record. It has t1 and t2.
ReservationFixture NewOwner(const std::string& record) {
  ReservationFixture next;
  next.LoadRecord(kSubmission, ShortStep({1000, 100, 0}), record);
  next.PutTarget("t1");
  next.PutTarget("t2");
  return next;
}

// The former owner alone knew of the start, and its record said only that the task waits.
TEST_CASE("a new owner starts a waiting task on no target but that of a start that may arrive",
          "[cell][late_start_place]") {
  LostStart lost(false);
  lost.fixture.PutTarget("t1", TargetState::kDraining);
  lost.fixture.Run(seconds(1));
  REQUIRE(lost.fixture.records.count(kSubmission) == 1);
  SECTION("the target takes it") {
    ReservationFixture next = NewOwner(lost.fixture.records.at(kSubmission));
    next.cell.FinishLoading(next.now);
    next.Run(seconds(3));
    CHECK(std::any_of(next.lines.begin(), next.lines.end(), [](const std::string& line) {
      return line.find("task-assigned ") != std::string::npos &&
             line.find(" target=t1 ") != std::string::npos;
    }));
  }
  SECTION("the target is lost") {
    ReservationFixture next = NewOwner(lost.fixture.records.at(kSubmission));
    next.silent.insert("t1");
    next.cell.FinishLoading(next.now);
    next.Run(kLongestOrderDelay);
    CHECK(next.starts.empty());
    next.Run(seconds(3));
    CHECK(next.starts.size() == 1);
  }
}

}  // namespace
}  // namespace pistachio
