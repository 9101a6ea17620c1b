#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/submission.h"

namespace pistachio {

/// \brief Limits for the detection of tasks that crash the targets that start them.
struct CrashSettings {
  /// A run that its target has reported for this time after its start did not crash the target. The
  /// runs that had not lasted that long when a target was lost are suspected.
  Duration suspicion_time = std::chrono::milliseconds(2000);
  /// A suspected task starts on a target on which no other run was started for this time.
  Duration quiet_time = std::chrono::milliseconds(500);
  /// Longest wait of a suspected task for such a target. After it, the task starts anywhere.
  Duration max_quiet_wait = std::chrono::milliseconds(1500);
  /// Replaces `max_quiet_wait` for a task with `min_crashes` losses or more. One further crash that
  /// another task causes may give it up.
  Duration max_quiet_wait_after_losses = std::chrono::milliseconds(6000);
  /// Time without a run after which a long-running task does not wait for such a target either, and
  /// starts also on one that is kept for another suspect. A lease expires after 7.8 s, and the task
  /// has to run again within 9 s.
  Duration max_quiet_time_without_run = std::chrono::milliseconds(8500);
  /// Largest fraction of the targets that are kept for suspected tasks at the same time.
  double max_isolated_share = 0.25;
  /// Crashes under confirmed runs from which on a task may be given up. It is if it was isolated
  /// during the last one.
  std::uint32_t min_crashes = 2;
  /// Losses of other targets from which on a task may only be given up after one crash more:
  /// targets crash without it, and a task with many runs may be there by chance.
  std::size_t max_other_losses = 4;
  /// Losses after which a task with that many crashes is given up, isolated or not.
  std::uint32_t max_losses_after_crashes = 4;
  /// Losses after which a task is given up without that many crashes. No start may have arrived,
  /// but if all did, another one may be the third after three crashes, which the rules forbid.
  std::uint32_t max_losses = 5;
  /// Targets whose last answers were lost within this time of each other count as lost together.
  Duration outage_window = std::chrono::milliseconds(500);
  /// Smallest number of targets, and smallest fraction of all targets, lost together that may have
  /// a common cause.
  std::size_t min_group_targets = 4;
  double min_group_share = 0.05;
  /// Smallest number of targets lost together that are an outage if they are at least the fraction
  /// below of all targets, or of those with the same label, such as a rack.
  std::size_t min_outage_targets = 3;
  double min_outage_share = 0.4;
  /// Time after which the loss of a target is forgotten, and the runs of a target whose lease has
  /// expired are no longer blamed when it registers again.
  Duration loss_memory = std::chrono::seconds(60);
};

/// \brief The loss of one target.
struct TargetLoss {
  TimePoint at{};                   ///< when the target was found not to answer
  std::vector<std::string> labels;  ///< of the target
  bool explained = false;           ///< a suspected task was on the target
  Duration uncertainty{0};          ///< it may have stopped answering that much earlier
};

/// \brief What else was lost together with a target.
enum class LossKind : std::uint8_t {
  kAlone,   ///< too few other targets for a common cause
  kGroup,   ///< several targets, from a common cause or by several tasks at the same time
  kOutage,  ///< a large part of a rack or of all targets
};

/// \returns the name of \a kind in logs.
const char* NameOf(LossKind kind);

/// \brief Classifies the loss of a target by the losses of other targets at about the same time.
/// \param loss the loss in question
/// \param others the losses of all other targets; explained ones do not count
/// \param targets the labels of all known targets, those of \a others included
LossKind ClassifyLoss(const TargetLoss& loss, const std::vector<TargetLoss>& others,
                      const std::vector<std::vector<std::string>>& targets,
                      const CrashSettings& settings);

/// \returns true if a task with this record is to be given up after the loss of its target.
///
/// Only a run that its target has confirmed proves that a crash happened under the task. A start
/// without an answer may have been lost with a target that crashed for another reason.
/// \param other_losses losses of targets in the last `CrashSettings::loss_memory` that are not in
///   \a record
bool IsGivenUp(const CrashRecord& record, std::size_t other_losses, const CrashSettings& settings);

}  // namespace pistachio
