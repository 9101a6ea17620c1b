#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pistachio/process/runtime/clock.h"

namespace pistachio {

/// \brief Default limit for the body of a received request or answer, in bytes.
constexpr std::size_t kDefaultMaxHttpBodyBytes = std::size_t{4} * 1024 * 1024;

/// \brief Header names and values, in the order in which they are sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// \brief An HTTP request that this process sends as a client.
struct HttpCall {
  std::string method = "GET";
  std::string url;  ///< `http://ip:port/path?query`
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);  ///< for the whole call, connecting included
  /// The request is sent at most once. Otherwise libcurl sends it again if a reused connection
  /// closes without an answer, and the result is that of the repetition, which tells nothing of the
  /// first request: that one may have been carried out.
  bool send_once = false;
  /// The request is not sent, nor sent again, from then on; the call fails with kNotSent unless an
  /// earlier attempt may have reached the server.
  TimePoint send_before = TimePoint::max();
  std::size_t max_answer_bytes = kDefaultMaxHttpBodyBytes;  ///< a longer answer body is a failure
};

/// \brief Whether a call that failed may have reached the server.
enum class HttpFailure {
  kNotSent,    ///< no byte left this process
  kMaybeSent,  ///< the request or a part of it may have reached the server
};

/// \brief Result of a call: a complete answer, or a failure with its reason.
struct HttpResult {
  std::optional<HttpFailure> failure;  ///< nothing if the answer is complete
  std::string reason;                  ///< why the call failed; else empty
  int status = 0;                      ///< HTTP status; 0 after a failure
  std::string body;                    ///< empty after a failure
  /// A part of the body arrived before the call failed. Not set if the body is too large.
  bool answer_cut_off = false;

  /// \returns true if the answer, of any status, is complete.
  bool answered() const { return !this->failure.has_value(); }
};

/// \brief Id of a request and its answer on one server; unique for the server's lifetime.
using ExchangeId = std::uint64_t;

/// \brief A complete request that a server of this process has received.
struct ServedRequest {
  ExchangeId exchange = 0;
  std::string method;
  std::string path;                            ///< without the query
  std::map<std::string, std::string> query;    ///< query arguments, decoded
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;

  /// \returns the header's value, or an empty string if there is none. \param name in lower case
  std::string Header(const std::string& name) const;
  /// \returns the query argument's value, or an empty string if there is none.
  std::string Query(const std::string& name) const;
};

/// \brief Answer of a server of this process to a request.
struct ServedAnswer {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  std::string content_type = "application/json";
};

}  // namespace pistachio
