#pragma once

#include <cstdint>
#include <vector>

#include "pistachio/process/scheduling/interference_model.h"

namespace pistachio {

/// \brief Limits for the expected harm of best-effort work, see expected_harm.h.
struct HarmSettings {
  /// Whether the expected harm is weighed at all. Off: batch submissions lost more by waits and
  /// other targets than long-running tasks gained, see docs/design/sharing.md.
  bool enabled = false;
  /// Share of the time of serving tasks over their bounds beside best-effort work above which the
  /// expected harm is weighed. Below it, callers of serving tasks hardly notice.
  double activation_share = 0.02;
  /// Time constant of the average of the share: two periods of the load of serving tasks.
  Duration averaging_time = std::chrono::seconds(30);
  /// Time, in seconds summed over serving tasks, that the share must cover to be known.
  double min_observed_seconds = 100.0;
  /// Time for which the expected harm is weighed after the share was last above its limit. The
  /// share falls because harm is weighed, so it doesn't show that this has become unnecessary.
  Duration activation_hold = std::chrono::minutes(10);
  /// Position of the predicted level between the present level (0) and the recent peak (1), for
  /// a task without reports, and for runs that last until the peak.
  double peak_share = 0.7;
  /// Time after which a run that goes on sees the peak: half a period of the load.
  Duration peak_after = std::chrono::seconds(7);
  /// Error of the logarithm of a predicted tail whose slowdowns are known.
  double forecast_error = 0.3;
  /// Number of deviations of a learned slowdown that are added to it, so that unknown pairs of
  /// images are tried where little can happen first.
  double caution = 1.5;
  /// Share of the expected harm that counts on a target where a run of the same image has just
  /// begun, so that a pair is tried on few targets until its effect is known.
  double same_image_share = 0.3;
  /// Log slowdown up to which a task is not responsible for a tail over its bound, and by how much
  /// more it is fully. A target where tails are over their bounds already must not attract more.
  double harmless_log_slowdown = 0.05;
  double full_log_slowdown = 0.3;
  /// Shortest and longest time for which a run is taken to do harm. Estimates are wrong by several
  /// times. Runs that do harm for longer are throttled, see `max_time_over_bound`.
  Duration min_run_time = std::chrono::milliseconds(1000);
  Duration max_harm_time = std::chrono::milliseconds(2000);
  /// Harm, in seconds, that a task which has not waited accepts.
  double free_harm = 0.1;
  /// Number of serving tasks over their bounds, each weighted by what a best-effort task has left
  /// and by its part in the excess, from which the best-effort task is paused at once. A paused
  /// task usually moves and loses its work, which delays its submission.
  double pause_relief = 1.5;
  /// Harm, in seconds, that a task accepts once it has waited for as long as it can without being
  /// late. After `late_growth_time`, it grows in proportion to the time.
  double late_harm = 0.25;
  Duration late_growth_time = std::chrono::seconds(5);
  /// Shortest and longest time for which a step waits for targets with less harm.
  Duration min_patience = std::chrono::milliseconds(200);
  Duration max_patience = std::chrono::milliseconds(1500);
};

/// \brief Limits for the best-effort tasks that share a target with serving tasks.
///
/// A tail ratio is the tail of a serving task's response times relative to its bound.
struct SharingSettings {
  /// Highest predicted tail ratio at which best-effort work is added. Changes in the load of a
  /// serving task alone move its tail by a third within seconds.
  double max_predicted_tail_ratio = 0.6;
  /// Log slowdown up to which best-effort work is neither throttled nor rejected. Smaller effects
  /// cannot be told from noise, and a serving task's own load takes its tail near the bound at
  /// times.
  double negligible_log_slowdown = 0.06;
  /// Tail ratio above which best-effort tasks are throttled. At the sites, a second of a paused
  /// best-effort task costs as much as ten seconds of a serving task over its bound, so best-effort
  /// tasks are not throttled below the bound.
  double throttle_above_ratio = 1.0;
  /// Time over the bound after which best-effort tasks are throttled. The load of serving tasks
  /// changes within seconds, so that most excesses pass by themselves, while a throttled task is
  /// usually moved, loses its work since the last checkpoint and delays its whole submission.
  Duration throttle_after = std::chrono::milliseconds(1900);
  /// Tail ratio that throttling aims for. The value is well below 1, since the tail would
  /// otherwise soon be over the bound again.
  double throttle_to_ratio = 0.65;
  /// Tail ratio above which a target with best-effort tasks is polled more often, see
  /// CellSettings::long_poll_near_bound.
  double poll_faster_above_ratio = 0.6;
  /// Time over the bound after which all best-effort tasks of the target are paused, whatever the
  /// model predicts. The value is half of the time over the bound that counts as harm.
  Duration max_time_over_bound = std::chrono::milliseconds(2000);
  /// Age of a run up to which the reported tail does not show the run's effect yet. Targets report
  /// the tail of the last half second.
  Duration measurement_delay = std::chrono::milliseconds(700);
  /// Minimum time between two samples of one target that the model learns from.
  Duration sample_interval = std::chrono::milliseconds(400);
  /// Time for which a best-effort task is throttled below half of its full speed before it is
  /// moved to another target.
  Duration pause_before_move = std::chrono::milliseconds(250);
  HarmSettings harm;
};

/// \brief Tail of a serving task's response times, in milliseconds.
using TailTime = std::chrono::duration<double, std::milli>;

/// \brief A serving task on a target.
struct ServingTask {
  ImageIndex image = 0;
  TailTime tail{0};   ///< last reported tail; 0 if none has been reported yet
  TailTime bound{0};  ///< upper bound on the tail
  /// Logarithm of the predicted tail over the bound, within the next 2 s and beside all
  /// best-effort tasks of the target. Set only while the expected harm is weighed.
  double expected_excess = 0.0;
  double present_excess = 0.0;  ///< the same for the present load
  double peak_rise = 0.0;       ///< by which it would be higher at the recent peak of the load
};

/// \brief A best-effort task on a target.
struct BestEffortTask {
  ImageIndex image = 0;
  double cores = 0.0;        ///< number of requested processors
  std::uint32_t pace = 100;  ///< allowed share of its full speed, in percent; 0 while it is paused
  double left = 1.0;         ///< share of its work that is left
  bool unmeasured = false;   ///< the reported tails do not show the task's effect yet
};

/// \returns the largest log slowdown that \a added would cause to one of the serving tasks; 0 if
///   there are none.
double MaxLogSlowdown(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                      const BestEffortTask& added);

/// \returns the highest predicted tail ratio of the serving tasks after \a added was added to the
///   target; 0 if there are none.
double PredictedTailRatio(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                          const std::vector<BestEffortTask>& best_effort,
                          const BestEffortTask& added);

/// \returns true if \a added may be added to the target: no predicted tail exceeds
///   `max_predicted_tail_ratio`, or the slowdown is negligible and no reported tail is over its
///   bound.
bool FitsTailBounds(const InterferenceModel& model, const std::vector<ServingTask>& serving,
                    const std::vector<BestEffortTask>& best_effort, const BestEffortTask& added,
                    const SharingSettings& settings);

/// \returns the highest reported tail ratio of the serving tasks; 0 if there are none.
double ReportedTailRatio(const std::vector<ServingTask>& serving);

/// \brief Decides how much to throttle each best-effort task of a target.
///
/// Designed for serving load that changes within seconds. If a tail has been over its bound for
/// `throttle_after`, the best-effort tasks with the largest slowdown of the serving task with the
/// highest tail ratio are throttled first, and only as many as the model predicts to be necessary;
/// tasks with a negligible slowdown continue. If a tail stays over its bound for
/// `max_time_over_bound`, all best-effort tasks are paused. Once no tail is over its bound, each
/// call speeds up at most one task, the one with the smallest slowdown, if FitsTailBounds() allows
/// it. Without serving tasks, all run at full speed.
///
/// \param time_over_bound time for which a tail has been over its bound; 0 if none is
/// \returns the next pace of each best-effort task in percent, in the order of \a best_effort
std::vector<std::uint32_t> DecidePaces(const InterferenceModel& model,
                                       const std::vector<ServingTask>& serving,
                                       const std::vector<BestEffortTask>& best_effort,
                                       Duration time_over_bound, const SharingSettings& settings);

}  // namespace pistachio
