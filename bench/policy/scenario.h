#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/policy/deployment.h"
#include "bench/policy/true_interference.h"
#include "pistachio/process/policy/size_model.h"

namespace pistachio::bench {

/// \brief What goes on in a run, apart from the deployment.
struct Scenario {
  std::string name;
  bool load_shifts = false;
  bool noisy_waves = false;
  bool wrong_sizes = false;
  bool failing_targets = false;
  bool never_run = false;
  bool class_changes = false;  ///< a new version of one batch class interferes otherwise
};

/// \returns the named scenarios, in the order of the report.
const std::vector<Scenario>& Scenarios();

constexpr double kWarmUpSeconds = 600;  ///< not reported: policies start without knowledge
constexpr double kRunSeconds = 2400;    ///< with the warm-up
constexpr double kServiceShare = 0.32;  ///< of all slots, busy if nothing interfered
constexpr double kBatchShare = 0.50;    ///< of the room left by services, asked for by batch work

constexpr Resources kServiceDeclared = {3000, 8192, 0};
constexpr double kServiceMemoryMib = 6000;  ///< that an instance truly uses

/// \brief Why a batch task would never finish.
enum class TaskFate { kRuns, kFitsNowhere, kFailsAlways };

/// \brief A batch task of the arrival trace.
struct TaskSpec {
  double arrives_s = 0.0;
  TaskId task;
  std::size_t batch_class = 0;
  Resources declared;
  PredictedUse used;    ///< the truth, at full speed
  double work_s = 0.0;  ///< at full speed without neighbours
  TaskFate fate = TaskFate::kRuns;
};

/// \brief Everything of a run that is the same for every policy.
struct Trace {
  std::vector<TaskSpec> tasks;              ///< by arrival
  std::vector<std::vector<double>> demand;  ///< by service, then second: factor of its usual rate
  std::vector<std::size_t> broken_targets;  ///< fail every batch task that they start
  TrueInterference truth;                   ///< until the class changes, if it does
  TrueInterference later_truth;
  double change_s = kRunSeconds;
};

/// \returns the trace of a scenario; the same seed gives the same trace.
Trace MakeTrace(const Deployment& deployment, const Scenario& scenario, std::uint64_t seed);

}  // namespace pistachio::bench
