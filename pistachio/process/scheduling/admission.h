#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "pistachio/process/runtime/clock.h"

namespace pistachio {

/// \brief Limits for the rejection of submissions under overload.
struct AdmissionSettings {
  /// Largest backlog, in multiples of the submission's objective, at which a submission is
  /// accepted. A submission has no value once three times its objective has passed, and running
  /// work takes part of that time.
  double max_backlog_objectives = 2.0;
  /// Shortest retry delay that is returned to a caller, after the spread over callers.
  std::chrono::seconds min_retry_after{1};
  /// Longest retry delay that is returned to a caller, after the spread over callers.
  std::chrono::seconds max_retry_after{5};
};

/// \brief Decides whether to reject a submission because of overload.
///
/// Designed for a burst of batch work that the cell cannot complete in time. A submission that
/// would have no value when it is done is rejected at once, so that it takes no resources from work
/// that still has value. Submissions with priority 0 are urgent and are always accepted, since they
/// come before all other waiting work.
///
/// \param priority priority of the queue; 0 is the highest
/// \param objective see ObjectiveOf()
/// \param backlog time that the cell's processors need for the waiting work, see Cell::Backlog()
/// \param spread number in [0, 1) that differs between callers, so that they retry at different
///   times
/// \returns nothing to accept the submission, or the delay after which the caller may retry
std::optional<std::chrono::seconds> OverloadRetryAfter(std::int32_t priority, Duration objective,
                                                       Duration backlog, double spread,
                                                       const AdmissionSettings& settings);

}  // namespace pistachio
