#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pistachio/process/scheduling/expected_harm.h"
#include "pistachio/process/scheduling/sharing.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Weights and limits for the choice of a target for a task.
///
/// A log slowdown is the natural logarithm of the factor by which the tail of a serving task's
/// response times grows.
struct PlacementSettings {
  /// Average share of its declared processors that a serving task leaves idle. Serving tasks are
  /// sized for their peak load; the load at the sites varies around 0.45 of the peak.
  double serving_idle_share = 0.55;
  /// Added to the score of a target outside the rack that holds the data. Tasks run 1.5 times as
  /// long there, which outweighs any difference in load.
  double off_rack_penalty = 2.0;
  /// Added to the score of the target where the task's last run failed or made no progress.
  double avoid_penalty = 4.0;
  /// Added, for a long-running task, to the score of a target whose lease may end later than that
  /// of others. If the target is lost, its tasks wait for that before they start elsewhere.
  double longer_lease_penalty = 4.0;
  /// Weight, for a best-effort task, of the highest predicted tail of the target's serving tasks,
  /// relative to the bound of that tail.
  double tail_weight = 0.5;
  /// Weight, for a best-effort task, of the largest log slowdown that it would cause to a serving
  /// task. Low interference counts more than a low load, since the load may rise within seconds.
  double caused_slowdown_weight = 1.0;
  /// Weight, for a serving task, of the share of other images among the target's serving tasks. If
  /// each target serves a single image, most best-effort images find a target where they cause no
  /// slowdown.
  double image_mix_weight = 1.0;
  /// Weight, for a serving task, of the share of processors in use. Serving tasks are packed onto
  /// the fullest targets, which keeps whole targets free for tasks that request many processors and
  /// for best-effort tasks.
  double pack_weight = 0.5;
  /// Weight, for a serving task, of the log slowdown that the target's best-effort tasks would
  /// cause to it.
  double suffered_slowdown_weight = 1.0;
  /// Smallest share of its requested processors that a target must have left for a best-effort
  /// task. With less, the new task would slow every best-effort task of the target, so it keeps
  /// waiting.
  double min_best_effort_share = 0.9;
  /// Added to the score of a target that takes twice the normal time; proportional to the excess
  /// over the normal time.
  double slow_penalty = 3.0;
  /// Weight, for a best-effort task, of a second of expected harm. Outweighs any difference in
  /// load, since there is usually room elsewhere.
  double harm_weight = 5.0;
  SharingSettings sharing;
};

/// \brief Capacity and load of a target.
struct TargetLoad {
  Resources capacity;  ///< total resources of the target
  /// Resources requested by all tasks on the target, including those being stopped, without the
  /// processors of best-effort tasks.
  Resources used;
  /// Processors requested by best-effort tasks, thousandths of a core.
  std::int64_t best_effort_cpu = 0;
  std::int64_t serving_cpu = 0;  ///< processors in `used` requested by serving tasks, same unit
  std::vector<ServingTask> serving;
  std::vector<BestEffortTask> best_effort;
  double slowness = 1.0;  ///< run time of a task here, relative to the run time on other targets
};

/// \brief Properties of a task that matter for its placement.
struct PlacementRequest {
  Resources need;            ///< requested resources
  bool best_effort = false;  ///< best-effort task, see StepSpec::best_effort
  bool serving = false;      ///< serving task: its response times have a bound
  ImageIndex image = 0;
  /// The expected harm is weighed. If not, the present tails and slowdowns alone are.
  bool weighs_harm = false;
  /// Largest acceptable expected harm in seconds; without it, FitsTailBounds() decides.
  std::optional<double> max_harm = std::nullopt;
  Duration run_time{0};  ///< expected run time
};

/// \brief Result of the check whether a target can take a task.
struct TargetFit {
  bool fits = false;
  bool too_harmful = false;  ///< has room, but best-effort work would slow serving tasks too much
  double harm = 0.0;         ///< expected harm in seconds, if it is weighed
};

/// \returns the fraction of the target's processors or memory that is in use, whichever is larger;
///   1 if the target has none.
double LoadShare(const TargetLoad& load);

/// \returns the processors left for further best-effort tasks on a target, in thousandths of a
///   core: those that no task has requested and the idle share of the serving tasks, minus what
///   best-effort tasks there have requested. Negative if best-effort tasks have requested more.
std::int64_t BestEffortCpuLeft(const TargetLoad& load, const PlacementSettings& settings);

/// \returns whether the target can take the task, see FitsOn(), and the harm that is expected.
TargetFit CheckFit(const PlacementRequest& need, const TargetLoad& load,
                   const InterferenceModel& model, const PlacementSettings& settings);

/// \returns true if the target has enough resources left for the task and, for a best-effort task,
///   if the tails of the target's serving tasks allow it, see FitsTailBounds() and ExpectedHarm().
bool FitsOn(const PlacementRequest& need, const TargetLoad& load, const InterferenceModel& model,
            const PlacementSettings& settings);

/// \brief Scores a target for a task; lower is better.
///
/// Designed for a steady mixed load: the requests of serving tasks nearly fill every target,
/// best-effort tasks use the rest, and some best-effort images slow some serving images down
/// several times. Best-effort tasks prefer targets with the most processors left and the least
/// slowdown of serving tasks. Serving tasks prefer targets that serve the same image. All other
/// tasks prefer the target with the lowest requested load.
/// \param harm expected harm of the task on the target, from CheckFit()
double PlacementScore(const PlacementRequest& need, const TargetLoad& load,
                      const InterferenceModel& model, const PlacementSettings& settings,
                      double harm = 0.0);

}  // namespace pistachio
