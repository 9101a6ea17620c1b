#pragma once

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_faults.h"

namespace pistachio::emulator {

/// Requests and faults that the tests apply in random order. A step's selector picks the host,
/// target or submission, and by its parity the variant of some faults.
enum class Action {
  kSubmit,
  kResubmit,
  kCancel,
  kQueryState,
  kKillHost,
  kStartHosts,
  kFreezeHost,
  kResumeHosts,
  kStopHost,
  kCrashTarget,
  kRestartTarget,
  kDeregisterTarget,
  kRegisterTarget,
  kDrainTarget,
  kDisconnectHostFromTarget,
  kClearOrderFaults,
  kStoreDown,
  kStoreUp,
  kDisconnectHostFromStore,
  kReconnectHostsToStore,
  kRemoveOwnerKeys,
  kLoseStoreAnswers,
  kDelayStoreWrites,
  kDelayOrders,
  kCompactStore,
  kPutConfiguration,
  kStallOrSlowTarget,
  kSubmitDeadly,
  // Only for installations with evacuations.
  kEvacuate,
  kEndEvacuations,
  kLoseEvacuationWatch,
  // Only for the fuzz of moves.
  kCutTarget,
  kEndCuts,
  kAddStoreLatency,
  // Only for the fuzz of incarnations.
  kSilenceTarget,
  kReplaceOwner,
  kReplaceHosts,
};

/// One step of a random scenario.
struct RandomStep {
  Action action;
  std::uint32_t selector;           ///< used modulo the number of choices
  std::chrono::milliseconds pause;  ///< simulated time after the action
};

/// A cluster with an owner of each cell, and the faults that the fuzz tests have in common.
class RandomScenario {
 public:
  explicit RandomScenario(SimulatedCluster* cluster) : cluster(cluster) {
    this->cluster->Run(std::chrono::seconds(2));
  }

 protected:
  std::string HostOf(const RandomStep& step) const {
    const std::vector<std::string> hosts = this->cluster->hosts();
    return hosts[step.selector % hosts.size()];
  }

  std::string TargetOf(const RandomStep& step) const {
    const std::vector<std::string> targets = this->cluster->targets();
    return targets[step.selector % targets.size()];
  }

  void ExecuteFault(const RandomStep& step) {
    switch (step.action) {
      case Action::kKillHost:
        this->cluster->KillHost(this->HostOf(step));
        break;
      case Action::kStartHosts:
        StartMissingHosts(this->cluster);
        break;
      case Action::kFreezeHost:
        this->cluster->FreezeHost(this->HostOf(step));
        break;
      case Action::kResumeHosts:
        ResumeHosts(this->cluster, step.selector % 2 == 0);
        break;
      case Action::kRestartTarget:
        this->cluster->RestartTarget(this->TargetOf(step));
        break;
      case Action::kStoreUp:
        this->cluster->store_faults = StoreFaults{};
        break;
      case Action::kLoseStoreAnswers:
        this->cluster->store_faults.lost_answer_probability = 0.3;
        break;
      case Action::kDelayStoreWrites:
        this->cluster->store_faults.late_write_probability = 0.2;
        break;
      case Action::kEvacuate:
        this->cluster->EvacuateDataCentre(step.selector % 2 == 0 ? "north" : "south");
        break;
      case Action::kEndEvacuations:
        EndEvacuations(this->cluster);
        break;
      default:
        RC_FAIL("action without an effect");
    }
  }

  SimulatedCluster* cluster;
  std::uint32_t submitted_count = 0;
};

/// \returns a generator of steps whose pauses are at least \a min_pause and below \a max_pause.
inline rc::Gen<RandomStep> AnyStep(const rc::Gen<Action>& any_action,
                                   std::chrono::milliseconds min_pause,
                                   std::chrono::milliseconds max_pause) {
  const auto any_pause =
      rc::gen::inRange(static_cast<int>(min_pause.count()), static_cast<int>(max_pause.count()));
  return rc::gen::map(rc::gen::tuple(any_action, rc::gen::arbitrary<std::uint16_t>(), any_pause),
                      [](const std::tuple<Action, std::uint16_t, int>& row) {
                        return RandomStep{std::get<0>(row), std::get<1>(row),
                                          std::chrono::milliseconds(std::get<2>(row))};
                      });
}

/// \returns the submission id with a number in decimal digits.
inline SubmissionId NumberedId(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return SubmissionId(std::string(16 - digits.size(), '0') + digits);
}

/// Lets the work finish and runs the checker's final checks. \pre all faults have ended
inline void FinishWork(SimulatedCluster* cluster, Duration time) {
  cluster->Run(time);
  cluster->QueryAllStates();
  cluster->Run(std::chrono::seconds(2));
  cluster->checker().CheckAtEnd();
}

/// Logs what shows the cause of a violation.
inline void LogScenario(const SimulatedCluster& cluster, const std::vector<RandomStep>& steps) {
  for (const RandomStep& step : steps) {
    RC_LOG() << "action " << static_cast<int>(step.action) << " with selector " << step.selector
             << ", then " << step.pause.count() << " ms pause\n";
  }
  for (const char* text : {"0000000000", "cell-", "target-", "lease-", "store-", "evacuation"}) {
    for (const std::string& line : cluster.LogLinesContaining(text)) {
      RC_LOG() << line << "\n";
    }
  }
}

/// \brief Executes random steps on random clusters and requires that no rule is violated.
///
/// \a Scenario is constructed from a cluster and has Execute(), for a step, and RecoverAll().
/// \param rule the only rule that is required; empty for all
template <typename Scenario>
bool CheckRandomSteps(const rc::Gen<RandomStep>& any_step, const rc::Gen<CellLayout>& any_layout,
                      std::optional<std::chrono::milliseconds> evacuation_apply,
                      const std::string& rule = "") {
  constexpr std::size_t kSteps = 30;
  return rc::check("random steps, then recovery", [any_step, any_layout, evacuation_apply, rule] {
    const auto steps = *rc::gen::container<std::vector<RandomStep>>(kSteps, any_step);
    SimulatedClusterSettings settings;
    settings.seed = *rc::gen::arbitrary<std::uint32_t>();
    settings.layout = *any_layout;
    settings.evacuation_apply = evacuation_apply;
    SimulatedCluster cluster(settings);
    Scenario scenario(&cluster);
    for (const RandomStep& step : steps) {
      scenario.Execute(step);
    }
    scenario.RecoverAll();
    std::vector<std::string> violations;
    for (const std::string& violation : cluster.checker().violations()) {
      if (violation.compare(0, rule.size(), rule) == 0) {
        violations.push_back(violation);
        RC_LOG() << violation << "\n";
      }
    }
    if (!violations.empty()) {
      LogScenario(cluster, steps);
    }
    RC_ASSERT(violations.empty());
  });
}

}  // namespace pistachio::emulator
