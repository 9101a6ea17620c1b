#pragma once

#include <optional>
#include <string>

#include "pistachio/connection/platform/http_types.h"
#include "pistachio/request/types.h"

namespace pistachio {

/// \brief A caller's HTTP request, read and checked.
struct CallerRequest {
  ServiceId service;
  CallerId caller;
  std::optional<Duration> timeout;  ///< nothing if the caller names none
  std::optional<RequestId> id;      ///< nothing if the caller has none
  bool idempotent = false;          ///< what a caller does not say is not repeated
};

/// \brief Why a caller's HTTP request was not taken.
struct CallerRequestError {
  int status = 0;  ///< HTTP status to answer with
  std::string problem;
};

/// \brief Reads `POST /v1/services/SERVICE/requests`. \returns nothing if it is not one; see
/// \a error.
std::optional<CallerRequest> ReadCallerRequest(const ServedRequest& request,
                                               CallerRequestError* error);

/// \returns an answer with a JSON body.
ServedAnswer JsonAnswer(int status, const std::string& body);

/// \returns the answer to a caller that gets no target's answer.
ServedAnswer AnswerOfOutcome(const Outcome& outcome, bool idempotent);

}  // namespace pistachio
