#include "pistachio/process/scheduling/admission.h"

#include <algorithm>

namespace pistachio {

std::optional<std::chrono::seconds> OverloadRetryAfter(std::int32_t priority, Duration objective,
                                                       Duration backlog, double spread,
                                                       const AdmissionSettings& settings) {
  const auto bound =
      std::chrono::duration_cast<Duration>(objective * settings.max_backlog_objectives);
  if (priority == 0 || backlog <= bound) {
    return std::nullopt;
  }
  // The cell needs the time of the excess to bring the backlog down to the limit. The delays of
  // the callers are spread between once and twice that time.
  const Duration wait = std::chrono::duration_cast<Duration>((backlog - bound) * (1.0 + spread));
  const auto whole = std::chrono::ceil<std::chrono::seconds>(wait);
  return std::clamp(whole, settings.min_retry_after, settings.max_retry_after);
}

}  // namespace pistachio
