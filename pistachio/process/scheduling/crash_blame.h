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
  Duration max_quiet_wait = std::chrono::milliseconds(1000);
  /// Largest fraction of the targets that are kept for suspected tasks at the same time.
  double max_isolated_share = 0.25;
  /// Crashes after which a task is given up if it was isolated during the last one.
  std::uint32_t max_isolated_crashes = 2;
  /// Crashes after which a task is given up in any case.
  std::uint32_t max_crashes = 4;
  /// Targets whose last answers were lost within this time of each other count as lost together.
  Duration outage_window = std::chrono::milliseconds(500);
  /// Smallest number of targets, and smallest fraction of all targets, lost together that count as
  /// an outage.
  std::size_t min_outage_targets = 4;
  double min_outage_share = 0.05;
  /// Smallest number and fraction of the targets with the same label, such as a rack, lost together
  /// that count as an outage.
  std::size_t min_rack_targets = 3;
  double min_rack_share = 0.5;
  /// Time after which the loss of a target is forgotten, and the runs of a target whose lease has
  /// expired are no longer blamed when it registers again.
  Duration loss_memory = std::chrono::seconds(60);
};

/// \brief The loss of one target.
struct TargetLoss {
  TimePoint at{};                   ///< when the target stopped answering
  std::vector<std::string> labels;  ///< of the target
  bool explained = false;           ///< a suspected task was on the target
};

/// \brief Tells whether a target was lost in an outage of several targets.
/// \param loss the loss in question
/// \param others the losses of all other targets; explained ones do not count
/// \param targets the labels of all known targets, those of \a others included
/// \returns true if as many unexplained losses as `CrashSettings` gives are about as old
bool IsOutage(const TargetLoss& loss, const std::vector<TargetLoss>& others,
              const std::vector<std::vector<std::string>>& targets, const CrashSettings& settings);

/// \returns true if a task with this record is to be given up after a crash.
bool IsGivenUp(const CrashRecord& record, const CrashSettings& settings);

}  // namespace pistachio
