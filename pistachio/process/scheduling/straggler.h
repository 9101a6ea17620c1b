#pragma once

#include "pistachio/process/runtime/clock.h"

namespace pistachio {

/// \brief Limits for the detection of stragglers: runs that make no or very slow progress.
struct StragglerSettings {
  /// Time without progress after which a run is stalled. Targets report progress at least once a
  /// second.
  Duration stall_timeout = std::chrono::milliseconds(1800);
  /// A run is moved if its remaining time is more than this many times that of a new run elsewhere.
  double min_speedup = 2.0;
  /// Added to the time of a new run, for the stop, the start and the restore of the checkpoint.
  Duration move_cost = std::chrono::milliseconds(800);
  /// Shortest observation of a run from which its speed is estimated.
  Duration min_observed = std::chrono::milliseconds(1000);
  /// Progress, in percent, from which a run without a checkpoint is not moved because it exceeds
  /// the usual time: its task may just be long, and would be as long elsewhere.
  double max_percent_to_restart = 30.0;
};

/// \brief Reported progress of a run.
struct RunProgress {
  Duration estimate{0};  ///< estimated time of the whole task on a healthy target
  /// Time that few tasks of the image exceed on healthy targets; 0 if it is not known.
  Duration longest_usual{0};
  Duration observed{0};                  ///< time since the first report
  Duration since_growth{0};              ///< time since `percent` last grew
  double first_percent = 0.0;            ///< progress in the first report, in percent
  double percent = 0.0;                  ///< progress in the last report, in percent
  bool resumes_from_checkpoint = false;  ///< a new run resumes from a checkpoint
  bool paced = false;                    ///< the scheduler throttles the run
};

/// \brief Whether a run should be moved, and why.
enum class RunHealth {
  kHealthy,  ///< the run should stay where it is
  kStalled,  ///< the run has made no progress for some time
  kTooSlow   ///< a new run on another target would be done much sooner
};

/// \returns the time of the whole task at the speed of the run since the first report, or 0 if it
///   has made no progress.
Duration ProjectedDuration(const RunProgress& run);

/// \brief Decides from its progress whether a run is a straggler.
///
/// Some faulty targets become several times slower, or stall their runs, while they report
/// themselves healthy. A slow run is only moved if a new run, from the checkpoint or from the
/// start, would be done much sooner. Where the spread of the image's durations is known, the run
/// must also be slower than that explains, since a wrong estimate makes healthy runs look slow.
RunHealth ClassifyRun(const RunProgress& run, const StragglerSettings& settings);

}  // namespace pistachio
