#include <catch2/catch.hpp>
#include <string>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"
#include "tests/emulator/cluster_faults.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A submission of one task whose target in `north` is cut off and loses its registration before
/// the run ends. The submission moves to `south`, where other work leaves no room for some seconds.
class MovedSubmission {
 public:
  explicit MovedSubmission(std::uint64_t seed = 1) : cluster(Settings(seed)) {
    // Each fills one of the four targets in `south`.
    for (int filler = 1; filler <= 4; ++filler) {
      this->SubmitTo("south", seconds(22));
    }
    this->moved = this->SubmitTo("north", seconds(4));
    this->cluster.Run(seconds(1));
    for (const std::string& name : this->cluster.targets()) {
      if (this->cluster.target(name).HasRunOf(this->moved)) {
        this->target = name;
      }
    }
    REQUIRE(this->target.find("north") == 0);
    for (const std::string& host : this->cluster.hosts()) {
      this->cluster.order_faults.unreachable_pairs.insert({host, this->target});
    }
    this->cluster.DeregisterTarget(this->target);
    this->cluster.EvacuateDataCentre("north");
  }

  /// Advances until the owner of `north` sends the write that moves the submission.
  void RunUntilMove() {
    for (Duration waited{0}; this->cluster.LogLinesContaining("submission-moved").empty();
         waited += milliseconds(1)) {
      this->cluster.Run(milliseconds(1));
      REQUIRE(waited < seconds(17));
    }
  }

  /// The target can be reached and registers again.
  void ReturnTarget() {
    this->cluster.order_faults = OrderFaults{};
    this->cluster.RegisterTarget(this->target);
  }

  /// Requires that the run that ended as done is the only one of the submission.
  void RequireOneRun() {
    this->cluster.Run(seconds(30));
    std::size_t starts = 0;
    for (const std::string& line : this->cluster.LogLinesContaining("run-started")) {
      starts += line.find(this->moved.str()) != std::string::npos ? 1 : 0;
    }
    for (const std::string& line : this->cluster.LogLinesContaining(this->moved.str())) {
      UNSCOPED_INFO(line);
    }
    RequireNoViolations(&this->cluster);
    REQUIRE(starts == 1);
    REQUIRE(this->cluster.checker().ReportedState(this->moved) == SubmissionState::kCompleted);
  }

  RunningCluster cluster;
  SubmissionId moved;
  std::string target;

 private:
  static SimulatedClusterSettings Settings(std::uint64_t seed) {
    SimulatedClusterSettings settings;
    settings.evacuation_apply = milliseconds(5000);
    settings.seed = seed;
    return settings;
  }

  /// Submits one task that fills a target, until it is assigned to the cell.
  SubmissionId SubmitTo(const std::string& cell, Duration length) {
    std::string assigned;
    while (assigned != cell) {
      const std::string digits = std::to_string(this->next_number++);
      SubmissionId id(std::string(16 - digits.size(), '0') + digits);
      SubmissionSpec spec = MakeSubmission(1, 1, length);
      spec.steps[0].need.cpu_millis = 16000;
      this->cluster.Submit(cell + "-host-0", id, spec,
                           [&assigned](const CallerAnswer& answer) { assigned = answer.reason; });
      this->cluster.Run(milliseconds(100));
      if (assigned == cell) {
        return id;
      }
      this->cluster.Cancel(cell + "-host-0", id);
      REQUIRE(this->next_number < 100);
    }
    return {};
  }

  std::size_t next_number = 1;
};

// The former cell dropped the end and acknowledged it, and the task started again in the other one.
TEST_CASE("an end as done that comes after the move of its submission counts",
          "[emulator][end_after_move]") {
  const auto fault = GENERATE(
      MoveFault::kNone, MoveFault::kKillOwner, MoveFault::kKillOtherOwner, MoveFault::kKillOwners,
      MoveFault::kFreezeOwner, MoveFault::kLoseAnswers, MoveFault::kDelayWrites,
      MoveFault::kStoreDown, MoveFault::kCompact, MoveFault::kEndEvacuation);
  const auto fault_after = GENERATE(milliseconds(0), milliseconds(20), milliseconds(60));
  CAPTURE(static_cast<int>(fault), fault_after.count());
  MovedSubmission submission;
  submission.RunUntilMove();
  submission.cluster.Run(milliseconds(300));
  submission.ReturnTarget();
  submission.cluster.Run(fault_after);
  const std::string owner = submission.cluster.OwnerOf("north");
  ApplyFault(&submission.cluster, fault);
  submission.cluster.Run(seconds(3));
  EndFaults(&submission.cluster, owner);
  submission.RequireOneRun();
}

// The end completed the task in the former cell only, and the other one went on without it.
TEST_CASE("an end as done that comes while its submission moves counts",
          "[emulator][end_after_move]") {
  const auto latency = GENERATE(milliseconds(200), milliseconds(900));
  CAPTURE(latency.count());
  // When the owner reads the registration of the target depends on the phase of its watch.
  constexpr int kPhases = 8;
  int seen_during_write = 0;
  for (int phase = 0; phase < kPhases; ++phase) {
    CAPTURE(phase);
    MovedSubmission submission;
    submission.cluster.Run(seconds(6) + phase * milliseconds(150));
    submission.cluster.store_faults.extra_latency = latency;
    submission.RunUntilMove();
    submission.ReturnTarget();
    submission.cluster.Run(seconds(1));
    submission.cluster.store_faults.extra_latency = Duration{0};
    seen_during_write += submission.cluster.LogLinesContaining("=moving").empty() ? 0 : 1;
    submission.RequireOneRun();
  }
  // Both orders of the end and of the write have been played.
  if (latency > milliseconds(500)) {
    REQUIRE(seen_during_write > 0);
  } else {
    REQUIRE(seen_during_write < kPhases);
  }
}

}  // namespace
}  // namespace pistachio::emulator
