#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "pistachio/process/scheduling/duration_factor.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Load of a cell as far as the end of a new submission depends on it.
struct ForecastLoad {
  /// Declared work that waits, in core-seconds, by priority of its queue. Work that is too late to
  /// have any value is left out.
  std::map<std::int32_t, double> waiting;
  double end_rate = 0.0;    ///< declared work that ended lately, in core-seconds a second
  double cores_in_use = 0;  ///< processors on which work that ends runs now
  double free_cores = 0.0;  ///< processors that best-effort work may still use
  DurationFactor factor;    ///< real run times relative to declared ones
};

/// \brief Constants of the forecast.
struct ForecastSettings {
  /// Whether admission uses forecasts. Off: they refused work that other cells had room for, see
  /// docs/design/admission.md.
  bool enabled = false;
  /// Largest forecast, also of a cell where nothing can end.
  Duration longest_forecast = std::chrono::hours(24);
  /// Smallest probability to be done while the result is worth something at which a submission is
  /// accepted, so that a refusal is right more often than wrong. In the replayed burst of
  /// tests/scheduling, 0.2 accepts as much useless work as no admission at all, and 0.8 refuses two
  /// useful submissions for each useless one.
  double min_probability = 0.5;
  /// A submission is worth nothing once this many objectives have passed.
  double worthless_after_objectives = 3.0;
  /// Deviation of the predicted wait relative to the wait. The load record is up to 1 s old, and
  /// other hosts send work meanwhile.
  double wait_deviation = 0.25;
  /// Smallest rate relative to the processors in use and free ones. The rate of ends is low just
  /// after the start of a burst or of long tasks.
  double min_rate_share = 0.5;
};

/// \brief Predicted time from now to the end of a submission: a log-normal distribution.
struct Forecast {
  Duration median{0};
  double deviation_log = 0.0;
  bool waits = false;  ///< other work comes first

  /// \returns the probability that the submission has ended \a time from now.
  double ProbabilityWithin(Duration time) const;
};

/// \brief Predicts the end of a new submission in a cell.
///
/// Designed for bursts of batch work with wrong estimates: the declared backlog does not tell when
/// work is done, because tasks run longer than declared and the slowest task of a wide step
/// decides. Work of the same or a higher priority comes first and is done at the rate at which
/// declared work really ends. Then the submission's steps follow; a step takes as long as its
/// slowest task, or longer if the cell has fewer processors than the step. \param priority of the
/// submission's queue; 0 is the highest
Forecast ForecastEnd(const SubmissionSpec& spec, std::int32_t priority, const ForecastLoad& load,
                     const ForecastSettings& settings);

/// \returns true if the submission should be accepted: no work comes before it, or it is likely
///   enough to be done while it is worth something. Priority 0 is always accepted.
/// \param objective see ObjectiveOf()
bool IsWorthAccepting(const Forecast& forecast, std::int32_t priority, Duration objective,
                      const ForecastSettings& settings);

}  // namespace pistachio
