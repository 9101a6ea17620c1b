#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_faults.h"
#include "tests/emulator/random_steps.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Executes steps in order, and ends all faults at the end. Orders get lost and are carried out
/// seconds later, while targets restart under their ids and register some time after that.
class LateStartScenario : public RandomScenario {
 public:
  using RandomScenario::RandomScenario;

  void Execute(const RandomStep& step) {
    switch (step.action) {
      case Action::kSubmit:
        this->submitted_count++;
        this->cluster->Submit(this->HostOf(step), NumberedId(this->submitted_count),
                              SpecOf(this->submitted_count));
        break;
      case Action::kDelayOrders:
        this->cluster->order_faults.late_probability = 0.2 + 0.1 * (step.selector % 6);
        break;
      case Action::kClearOrderFaults:
        this->cluster->order_faults.late_probability = 0.0;
        break;
      case Action::kSilenceTarget:
        this->cluster->target_return.downtime = milliseconds(100 + step.selector % 900);
        this->cluster->target_return.registration_delay = milliseconds(step.selector % 1500);
        this->cluster->CrashAndReturnTarget(this->TargetOf(step));
        break;
      case Action::kCutTarget:
        this->cluster->CutTarget(this->TargetOf(step));
        break;
      case Action::kEndCuts:
        for (const std::string& target : this->cluster->targets()) {
          this->cluster->EndCut(target);
        }
        break;
      case Action::kDrainTarget:
        this->cluster->DrainTarget(this->TargetOf(step), milliseconds(2000 + step.selector % 3000));
        break;
      case Action::kReplaceOwner: {
        const std::string owner =
            this->cluster->OwnerOf(step.selector % 2 == 0 ? "north" : "south");
        const std::string host = owner.empty() ? this->cluster->OwnerOf("all") : owner;
        if (!host.empty()) {
          this->cluster->KillHost(host);
          this->cluster->StartHost(host);
        }
        break;
      }
      default:
        this->ExecuteFault(step);
        break;
    }
    this->cluster->Run(step.pause);
  }

  void RecoverAll() {
    this->cluster->Run(seconds(14));
    for (const std::string& target : this->cluster->targets()) {
      this->cluster->EndCut(target);
    }
    EndAllFaults(this->cluster);
    FinishWork(this->cluster, seconds(40));
  }

 private:
  /// Short tasks, whose next run never has to begin by a certain time.
  static SubmissionSpec SpecOf(std::uint32_t number) {
    SubmissionSpec spec =
        MakeSubmission(1, 1 + number % 4, milliseconds(500 + 2500 * (number % 5)));
    for (StepSpec& step : spec.steps) {
      step.checkpointing = number % 3 == 0;
      step.gang = number % 7 == 0;
    }
    return spec;
  }
};

rc::Gen<Action> AnyAction() {
  return rc::gen::weightedElement<Action>({{10, Action::kSubmit},
                                           {4, Action::kDelayOrders},
                                           {1, Action::kClearOrderFaults},
                                           {6, Action::kSilenceTarget},
                                           {1, Action::kCutTarget},
                                           {1, Action::kEndCuts},
                                           {1, Action::kDrainTarget},
                                           {1, Action::kReplaceOwner}});
}

// Guards against a next run on one target while a start of the task, given up since its target had
// accepted a stop and listed no such run, may reach the next incarnation of that target.
TEST_CASE("no random sequence of late orders and restarts runs a task twice at a time",
          "[emulator][late_start_fuzz]") {
  REQUIRE(CheckRandomSteps<LateStartScenario>(
      AnyStep(AnyAction(), milliseconds(50), milliseconds(1500)),
      rc::gen::element(CellLayout::kOneCell, CellLayout::kPerDataCentre), std::nullopt, "TWICE"));
}

}  // namespace
}  // namespace pistachio::emulator
