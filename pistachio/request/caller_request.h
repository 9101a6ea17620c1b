#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// Time for which a caller waits for an answer if neither the request nor its queue states one.
constexpr std::chrono::milliseconds kDefaultCallerWait{3000};

/// \brief Request to accept a submission.
struct SubmitRequest {
  QueueSettings queue;
  SubmissionId id;
  SubmissionSpec spec;
  /// Time from the arrival of the request for which the caller waits for the answer.
  std::chrono::milliseconds caller_wait = kDefaultCallerWait;
};

/// \brief Request for the state of a submission.
struct StateRequest {
  SubmissionId id;
  std::chrono::milliseconds caller_wait = kDefaultCallerWait;  ///< see SubmitRequest
};

/// \brief Request to cancel a submission.
struct CancelRequest {
  SubmissionId id;
  std::chrono::milliseconds caller_wait = kDefaultCallerWait;  ///< see SubmitRequest
};

/// \brief Request for the number of uncancelled submissions of a queue of which no task has
///   begun.
struct PendingRequest {
  QueueId queue;
};

/// \brief Request whose host name and path match no queue of the active configuration.
struct UnroutedRequest {};

/// \brief Request that breaks the format.
struct MalformedRequest {
  int status = 400;    ///< HTTP status of the answer
  std::string reason;  ///< what is wrong with the request
};

/// \brief Any request of a caller.
using CallerRequest = std::variant<SubmitRequest, StateRequest, CancelRequest, PendingRequest,
                                   UnroutedRequest, MalformedRequest>;

/// \brief Result of a caller's request.
enum class Outcome {
  kAccepted,              ///< the submission is stored, by this request or an earlier one
  kState,                 ///< the answer holds the submission's state
  kCancelled,             ///< the cancellation is stored, by this request or an earlier one
  kPending,               ///< the answer holds a number of submissions
  kUnknownId,             ///< no submission has this id
  kNoSuchQueue,           ///< no queue matches the request
  kMalformed,             ///< the request breaks the format
  kRejectedForLoad,       ///< rejected for load and will never run; the caller may retry later
  kUnavailable,           ///< nothing was done or will be; the caller may retry later
  kInDoubt,               ///< this or an earlier attempt may run; the caller retries the same id
  kConfigurationChanged,  ///< checked against an outdated configuration; handle the request again
};

/// \returns the outcome's name in logs and error bodies.
const char* NameOf(Outcome outcome);

/// \brief Answer to a caller's request.
struct CallerAnswer {
  Outcome outcome = Outcome::kUnavailable;
  SubmissionState state = SubmissionState::kQueued;  ///< for kState
  std::uint64_t pending = 0;                         ///< number of submissions, for kPending
  std::optional<std::chrono::seconds> retry_after;   ///< wait before a retry, if advised
  int malformed_status = 400;                        ///< HTTP status, for kMalformed
  std::string reason;                                ///< detail for logs
};

}  // namespace pistachio
