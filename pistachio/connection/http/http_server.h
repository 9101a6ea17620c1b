#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pistachio/connection/http/http_types.h"

namespace pistachio {

/// \brief Resource limits of an HttpServer.
struct HttpServerLimits {
  std::size_t max_body_bytes = kDefaultMaxHttpBodyBytes;  ///< a longer request gets status 413
  /// Bytes that all requests without a complete answer may keep together, see RequestMemory.
  std::size_t request_memory_bytes = std::size_t{64} * 1024 * 1024;
  /// Memory of each connection for the headers of its request, or for a part of its body. A request
  /// with longer headers gets status 431.
  std::size_t connection_memory_bytes = std::size_t{16} * 1024;
  /// From seven eighths of it on, a connection without a complete request is closed for each new
  /// one, see ConnectionRoom.
  std::uint32_t max_connections = 2048;
  std::uint32_t threads = 2;  ///< each serves a part of the connections
  /// A connection without traffic for this time is closed, also in the middle of a request that its
  /// client sends too slowly.
  std::chrono::seconds idle_timeout{30};
};

/// \brief What an HttpServer holds at one moment.
struct HttpServerUsage {
  std::size_t connections = 0;  ///< open connections, idle ones included
  std::size_t requests = 0;     ///< requests whose answer has not been sent completely
  std::size_t body_bytes = 0;  ///< bytes of the bodies of requests that have not arrived completely
  std::size_t request_memory = 0;        ///< bytes that requests without a complete answer keep
  std::uint64_t too_large = 0;           ///< requests so far whose body was over the limit
  std::uint64_t closed_connections = 0;  ///< connections closed so far to have room for others
  std::uint64_t without_memory = 0;      ///< requests so far whose bytes were not kept
};

/// \brief IPv4 address and port to listen on.
struct ListenAddress {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0 lets the kernel choose a free port

  /// \returns `ip:port`.
  std::string str() const;
};

/// \brief Parses `ip:port`. \returns nothing if \a text is not an IPv4 address and a port number.
std::optional<ListenAddress> ParseListenAddress(const std::string& text);

/// \brief HTTP server with threads of its own. A request may be answered later and from any thread.
class HttpServer {
 public:
  /// Called on a server thread for each complete request within the limits. A body over the limit
  /// is answered with status 413, a request for which there is no memory with 504, which promises
  /// nothing, since an earlier attempt of it may have taken effect. Bytes of both are discarded.
  /// Answer() has to be called for the request, in the handler or later. The handler must not
  /// block, because its thread serves other connections, too.
  using Handler = std::function<void(const ServedRequest&)>;

  HttpServer(const HttpServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Opens the port and starts to serve. \returns the address in use, or nothing on an
  /// error, which last_error() then describes.
  std::optional<ListenAddress> Listen(const ListenAddress& address);

  /// \brief Answers a request.
  /// \returns false if the answer is dropped, because the request has an answer already or its
  /// connection is closed.
  bool Answer(ExchangeId exchange, const ServedAnswer& answer);

  /// \brief Changes the limit for the bodies of requests; thread-safe.
  void SetMaxBodyBytes(std::size_t bytes);

  /// \returns what the server holds now.
  HttpServerUsage usage() const;

  /// \brief Accepts no more connections; open ones are still served.
  void StopListening();

  /// \brief Answers all open requests, waits up to 2 s until the answers are sent, and stops the
  /// threads. Further calls do nothing.
  ///
  /// They are answered with status 504, which promises nothing: one that the handler has got may
  /// have taken effect, and an earlier attempt of any may have taken effect at another server.
  void Stop();

  /// \returns why Listen() failed; empty if it did not.
  const std::string& last_error() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace pistachio
