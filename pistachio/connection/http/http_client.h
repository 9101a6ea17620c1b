#pragma once

#include <functional>
#include <memory>

#include "pistachio/connection/http/http_types.h"

namespace pistachio {

/// \brief HTTP client that sends calls from a thread of its own and reports each result through a
/// callback.
///
/// Built on libcurl's multi interface; one instance runs many calls concurrently. Thread-safe.
class HttpClient {
 public:
  /// Receives the result of one call.
  using Callback = std::function<void(const HttpResult&)>;

  /// \param max_connections_per_host bound on concurrent connections to one address; 0 for none
  /// \param clock clock of HttpCall::send_before
  explicit HttpClient(long max_connections_per_host = 0,  // NOLINT(google-runtime-int)
                      Clock clock = BootClock{});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Sends \a call. \a callback runs once, on the client's thread. If the client has been
  /// stopped, it runs on the calling thread with the failure kNotSent.
  void Send(const HttpCall& call, const Callback& callback);

  /// \brief Sends \a call and blocks until its result is available. Deadlocks if called from a
  /// callback.
  HttpResult SendAndWait(const HttpCall& call);

  /// \brief Stops the thread. Calls in flight fail with kMaybeSent, calls not yet started with
  /// kNotSent. Further calls of Stop() do nothing.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace pistachio
