#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_faults.h"
#include "tests/emulator/random_steps.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Executes steps in order, and ends all faults at the end.
class MoveScenario : public RandomScenario {
 public:
  using RandomScenario::RandomScenario;

  void Execute(const RandomStep& step) {
    const std::string host = this->HostOf(step);
    const std::string target = this->TargetOf(step);
    switch (step.action) {
      case Action::kSubmit:
        this->submitted_count++;
        this->cluster->Submit(host, NumberedId(this->submitted_count),
                              SpecOf(this->submitted_count));
        break;
      case Action::kCutTarget:
        this->CutTarget(target);
        break;
      case Action::kEndCuts:
        this->EndCuts();
        break;
      case Action::kEvacuate:
        // Nothing moves while both data centres are evacuated.
        EndEvacuations(this->cluster);
        this->ExecuteFault(step);
        break;
      case Action::kAddStoreLatency:
        this->cluster->store_faults.extra_latency = milliseconds(100 + step.selector % 800);
        break;
      default:
        this->ExecuteFault(step);
        if (step.action == Action::kRestartTarget && this->cut_targets.count(target) != 0) {
          this->cluster->DeregisterTarget(target);
        }
        break;
    }
    this->cluster->Run(step.pause);
  }

  /// Ends all faults, lets the work finish and checks the final state.
  void RecoverAll() {
    this->cut_targets.clear();
    EndAllFaults(this->cluster);
    constexpr seconds kMostTime(90);
    // Submissions may be accepted until all late answers have come.
    this->cluster->Run(seconds(8));
    const RuleChecker& checker = this->cluster->checker();
    for (seconds waited(0); waited < kMostTime && checker.completed() < checker.accepted();
         waited += seconds(1)) {
      this->cluster->Run(seconds(1));
    }
    // Late writes are executed up to 6 s later.
    FinishWork(this->cluster, seconds(8));
    RC_CLASSIFY(!this->cluster->LogLinesContaining("submission-moved").empty(), "moves");
    RC_CLASSIFY(!this->cluster->LogLinesContaining("end-forwarded").empty(), "forwards an end");
  }

 private:
  /// Tasks of 1 to 9 s, of which some outlast the lease of a target that is cut off and others end
  /// while it is.
  static SubmissionSpec SpecOf(std::uint32_t number) {
    SubmissionSpec spec =
        MakeSubmission(1 + number % 2, 1 + number % 4, milliseconds(1000 + 1000 * (number % 9)));
    for (StepSpec& step : spec.steps) {
      step.need.cpu_millis = 2000;
      step.checkpointing = number % 3 == 0;
    }
    spec.payload = "payload-" + std::to_string(number);
    return spec;
  }

  /// No host reaches the target, and its registration lapses. Its runs go on while their lease
  /// lasts.
  void CutTarget(const std::string& target) {
    for (const std::string& host : this->cluster->hosts()) {
      this->cluster->order_faults.unreachable_pairs.insert({host, target});
    }
    this->cluster->DeregisterTarget(target);
    this->cut_targets.insert(target);
  }

  void EndCuts() {
    this->cluster->order_faults.unreachable_pairs.clear();
    for (const std::string& target : this->cut_targets) {
      this->cluster->RegisterTarget(target);
    }
    this->cut_targets.clear();
  }

  std::set<std::string> cut_targets;
};

/// Cuts and evacuations are frequent, so that submissions that have begun move while targets that
/// have run them are silent.
rc::Gen<Action> AnyAction() {
  return rc::gen::weightedElement<Action>({{12, Action::kSubmit},
                                           {8, Action::kCutTarget},
                                           {3, Action::kEndCuts},
                                           {4, Action::kEvacuate},
                                           {1, Action::kEndEvacuations},
                                           {1, Action::kKillHost},
                                           {2, Action::kStartHosts},
                                           {1, Action::kFreezeHost},
                                           {2, Action::kResumeHosts},
                                           {1, Action::kLoseStoreAnswers},
                                           {1, Action::kDelayStoreWrites},
                                           {1, Action::kAddStoreLatency},
                                           {3, Action::kStoreUp},
                                           {1, Action::kRestartTarget}});
}

// Guards against ends as done that get lost when their submission has moved while the target was
// silent, so that the task runs again.
TEST_CASE("no random sequence of moves beside silent targets violates a rule",
          "[emulator][move_fuzz]") {
  REQUIRE(CheckRandomSteps<MoveScenario>(
      AnyStep(AnyAction(), milliseconds(100), milliseconds(3000)),
      rc::gen::just(CellLayout::kPerDataCentre), milliseconds(5000)));
}

// Guards against a checker that passes over work that is done again after its acknowledged end.
TEST_CASE("the checker reports runs after the acknowledged end as done of their task",
          "[emulator][rule_checker]") {
  const TaskKey task{NumberedId(1), 0, 0, 0};
  const SubmissionSpec spec = MakeSubmission(1, 1, seconds(4));
  const TimePoint start(seconds(10));
  RuleChecker checker;
  checker.OnSubmit(task.submission, spec, 3);
  checker.OnStart(task, 1, "first", spec.payload, "", false, true, start);
  SECTION("a start after it") {
    checker.OnEnd(task, 1, "first", RunOutcome::kDone, "");
    checker.OnEndAcknowledged(task, 1, "first", RunOutcome::kDone);
    REQUIRE(checker.violations().empty());
    checker.OnStart(task, 2, "second", spec.payload, "", false, true, start + seconds(9));
    REQUIRE(checker.violations().size() == 1);
  }
  SECTION("a start between the end and its acknowledgement") {
    checker.OnEnd(task, 1, "first", RunOutcome::kDone, "");
    checker.OnStart(task, 2, "second", spec.payload, "", false, true, start + seconds(9));
    SECTION("whose target has not lost its lease") {
      checker.OnEndAcknowledged(task, 1, "first", RunOutcome::kDone);
      REQUIRE(checker.violations().size() == 1);
    }
    SECTION("that is not acknowledged, as its target crashes") {
      checker.OnTargetCrashed("first");
      checker.OnEnd(task, 2, "second", RunOutcome::kDone, "");
      checker.OnEndAcknowledged(task, 2, "second", RunOutcome::kDone);
      REQUIRE(checker.violations().empty());
    }
  }
  // The rule does not count an end whose target has lost its lease before the acknowledgement.
  SECTION("a run that is at work beside it") {
    checker.OnEnd(task, 1, "first", RunOutcome::kDone, "");
    checker.OnStart(task, 2, "second", spec.payload, "", false, true, start + seconds(9));
    checker.OnLeaseLapsed("first");
    checker.OnEndAcknowledged(task, 1, "first", RunOutcome::kDone);
    SECTION("and stops") {
      checker.OnEnd(task, 2, "second", RunOutcome::kStopped, "");
      checker.CheckAtEnd();
      REQUIRE(checker.violations().empty());
    }
    SECTION("and goes on") {
      checker.CheckAtEnd();
      REQUIRE(checker.violations().size() == 1);
    }
  }
}

}  // namespace
}  // namespace pistachio::emulator
