#pragma once

#include <optional>
#include <vector>

#include "pistachio/process/scheduling/sharing.h"
#include "pistachio/process/scheduling/tail_level.h"

namespace pistachio {

// Expected harm: the time, in seconds summed over all serving tasks of a target, for which a
// best-effort task is expected to take their tails over their bounds.
//
// Designed for serving tasks whose load swings by half within seconds, beside a stream of short
// best-effort tasks of images that either slow a serving image hardly or by several times. A tail
// that is low now exceeds its bound seconds later, so the tail is predicted for the recent peak of
// the load rather than for the present.

/// \brief Sets `ServingTask::expected_excess` of all serving tasks of a target.
/// \param levels the load of each serving task, in the order of \a serving
void ForecastTails(const InterferenceModel& model, const std::vector<TailLevel>& levels,
                   const std::vector<BestEffortTask>& best_effort, const HarmSettings& settings,
                   std::vector<ServingTask>* serving);

/// \returns the expected harm, in seconds, by \a added on a target with the serving tasks
///   \a serving, beyond that by the best-effort tasks that are already there.
/// \param run_time expected run time of the added task
double ExpectedHarm(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                    const std::vector<BestEffortTask>& best_effort, const BestEffortTask& added,
                    Duration run_time, const HarmSettings& settings);

/// \brief Decides how much to throttle each best-effort task of a target while expected harm is
/// weighed; the parameters are those of DecidePaces().
///
/// Best-effort tasks that are known to slow several serving tasks over their bounds are paused at
/// once, those with the most relief for the least lost work first. A paused task resumes when the
/// expected harm of that is acceptable. All else is as in DecidePaces().
std::vector<std::uint32_t> DecidePacesByHarm(const InterferenceModel& model,
                                             const std::vector<ServingTask>& serving,
                                             const std::vector<BestEffortTask>& best_effort,
                                             Duration time_over_bound,
                                             const SharingSettings& settings);

/// \returns the harm, in seconds, up to which a best-effort task that has waited for \a waited
///   accepts a target. It grows without a bound, so that no task waits for ever.
/// \param slack time that the task may wait without making its submission late
double AcceptableHarm(Duration waited, Duration slack, const HarmSettings& settings);

/// \brief Share of the time of serving tasks that they spend over their bounds beside best-effort
/// work: the condition under which the expected harm is weighed at all.
class OverBoundShare {
 public:
  /// \brief Adds the time that a report covers.
  /// \param over of the time \a total, in seconds summed over serving tasks
  void Add(double over, double total, TimePoint now, const HarmSettings& settings);

  /// \returns the share, averaged over `HarmSettings::averaging_time`.
  double Value() const { return this->total > 0.0 ? this->over / this->total : 0.0; }

  /// \returns true if the share exceeded `HarmSettings::activation_share` within the last
  ///   `HarmSettings::activation_hold`.
  bool IsHigh(TimePoint now) const { return now < this->high_until; }

 private:
  double over = 0.0;   ///< seconds; older ones count less
  double total = 0.0;  ///< seconds; older ones count less
  TimePoint updated_at{};
  TimePoint high_until{};
};

}  // namespace pistachio
