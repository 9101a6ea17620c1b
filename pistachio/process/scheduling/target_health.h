#pragma once

#include <cstdint>
#include <set>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits for the detection of a target that fails its runs.
struct TargetHealthSettings {
  /// Number of different submissions with failed runs, without a successful run in between, that
  /// make a target suspect. The failures of a single submission may be its own fault.
  std::uint32_t failed_submissions_to_suspect = 2;
  /// Time for which a suspect target gets no runs; after it, the target gets a single run as a
  /// probe. The value is about half of the shortest target fault known at the sites (5.5 s).
  Duration quarantine = std::chrono::milliseconds(2500);
  /// Time between two probes of a suspect target.
  Duration probe_interval = std::chrono::milliseconds(800);
  /// Number of probes without a failure after which a target is no longer suspect. The probes need
  /// not end, since long-running tasks never do.
  std::uint32_t probes_to_trust = 3;
  /// Time for which a target gets no runs after it rejected a start as unhealthy.
  Duration unhealthy_pause = std::chrono::milliseconds(1000);
  /// Number of consecutive failed holds after which a target gets no new runs.
  std::uint32_t max_failed_holds = 1;
};

/// \brief Detects a target that fails everything it runs, from the results of the runs.
///
/// Some faulty targets fail or stall every run while they report themselves healthy. A target on
/// which runs of several submissions fail becomes suspect: it gets no runs for a while, then single
/// runs as probes, until a run succeeds or several probes have not failed.
class TargetHealth {
 public:
  /// \brief Records that a run on the target succeeded.
  void OnDone();

  /// \brief Records that a run of \a submission failed or made no progress on the target.
  /// \returns true if the target became suspect by this failure.
  bool OnFailed(const SubmissionId& submission, TimePoint now,
                const TargetHealthSettings& settings);

  /// \brief Records that the target rejected a start as unhealthy.
  void OnRejectedUnhealthy(TimePoint now, const TargetHealthSettings& settings);

  /// \brief Records that a run was assigned to the target.
  void OnAssigned(TimePoint now, const TargetHealthSettings& settings);

  /// \returns true if a run may be assigned to the target now.
  bool MayStart(TimePoint now) const { return now >= this->no_work_until; }

  bool suspect() const { return this->is_suspect; }

 private:
  std::set<SubmissionId> failed_submissions;  ///< with a failed run since the last success
  bool is_suspect = false;
  std::uint32_t probes = 0;  ///< runs assigned to the suspect target since its last failure
  TimePoint no_work_until{};
};

}  // namespace pistachio
