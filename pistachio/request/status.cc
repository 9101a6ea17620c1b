#include "pistachio/request/status.h"

#include <chrono>

#include "pistachio/request/outcome_reasons.h"

namespace pistachio {

namespace internal {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

int StatusOfNotRun(const std::string& reason) {
  if (reason == outcome_reason::kIdNeverIssued) {
    return kBadRequest;
  }
  if (reason == outcome_reason::kNoSuchService) {
    return kNotFound;
  }
  return kServiceUnavailable;
}

}  // namespace internal

int HttpStatusOf(const Outcome& outcome, bool idempotent) {
  switch (outcome.kind) {
    case OutcomeKind::kAnswered:
      return internal::kOk;
    case OutcomeKind::kNotRun:
      return internal::StatusOfNotRun(outcome.reason);
    case OutcomeKind::kUnknown:
      return idempotent ? internal::kServiceUnavailable : internal::kConflict;
    case OutcomeKind::kDeadlinePassed:
      return internal::kGatewayTimeout;
    case OutcomeKind::kAnsweredBefore:
      return internal::kGone;
  }
  return internal::kConflict;
}

std::chrono::seconds RetryAfterOf(const Outcome& outcome) {
  return std::chrono::ceil<std::chrono::seconds>(outcome.retry_after);
}

}  // namespace pistachio
