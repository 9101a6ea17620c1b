#include "pistachio/process/daemon/caller_request.h"

#include <algorithm>

#include "pistachio/request/status.h"

namespace pistachio {

namespace internal {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr char kServicePrefix[] = "/v1/services/";
constexpr char kRequestSuffix[] = "/requests";

/// \returns the service named in `/v1/services/SERVICE/requests`, or nothing.
std::optional<ServiceId> ServiceOfPath(const std::string& path) {
  const std::string prefix = kServicePrefix;
  const std::string suffix = kRequestSuffix;
  const bool fits = path.size() > prefix.size() + suffix.size() && path.rfind(prefix, 0) == 0 &&
                    path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
  if (!fits) {
    return std::nullopt;
  }
  return ServiceId(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

/// \returns the milliseconds in \a text, or nothing if it is not a whole number of them.
std::optional<std::chrono::milliseconds> ReadMilliseconds(const std::string& text) {
  constexpr std::size_t kMostDigits = 9;
  const bool digits =
      !text.empty() && text.size() <= kMostDigits &&
      std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= '0' && c <= '9'; });
  if (!digits) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::stoll(text));
}

/// Reads the headers into \a read. \returns what is wrong with one of them, or an empty text.
std::string ReadHeaders(const ServedRequest& request, CallerRequest& read) {
  const std::string timeout = request.Header("x-timeout-ms");
  read.timeout = ReadMilliseconds(timeout);
  if (!timeout.empty() && !read.timeout) {
    return "X-Timeout-Ms takes milliseconds";
  }
  const std::string idempotent = request.Header("x-idempotent");
  read.idempotent = idempotent == "true";
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false") {
    return "X-Idempotent takes true or false";
  }
  const std::string id = request.Header("x-request-id");
  read.id = ParseRequestId(id);
  if (!id.empty() && !read.id) {
    return "X-Request-Id takes an id from POST /v1/request-ids";
  }
  read.caller = CallerId(request.Header("x-caller"));
  return "";
}

}  // namespace internal

std::optional<CallerRequest> ReadCallerRequest(const ServedRequest& request,
                                               CallerRequestError* error) {
  const auto service = internal::ServiceOfPath(request.path);
  if (!service) {
    *error = {internal::kNotFound, "no such path"};
    return std::nullopt;
  }
  CallerRequest read;
  read.service = *service;
  const std::string problem = internal::ReadHeaders(request, read);
  if (!problem.empty()) {
    *error = {internal::kBadRequest, problem};
    return std::nullopt;
  }
  return read;
}

ServedAnswer JsonAnswer(int status, const std::string& body) {
  ServedAnswer answer;
  answer.status = status;
  answer.body = body;
  return answer;
}

ServedAnswer AnswerOfOutcome(const Outcome& outcome, bool idempotent) {
  std::string body = R"({"outcome":")";
  body += NameOf(outcome.kind);
  body += R"(","reason":")" + outcome.reason + R"("})";
  ServedAnswer answer = JsonAnswer(HttpStatusOf(outcome, idempotent), body);
  const auto retry_after = RetryAfterOf(outcome);
  if (retry_after.count() > 0) {
    answer.headers.emplace_back("Retry-After", std::to_string(retry_after.count()));
  }
  return answer;
}

}  // namespace pistachio
