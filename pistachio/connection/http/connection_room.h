#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace pistachio {

/// \brief Selects the connections that a server closes to have room for new ones.
///
/// Load: clients that open as many connections as the server allows and send nothing, or requests
/// that do not end. Of the connections without a complete request, one that has had no answer yet
/// is closed before one that has, and the one that has waited the longest before the others,
/// however much it sends. The order of the events counts, not their times. Not thread-safe.
class ConnectionRoom {
 public:
  /// \param limit number of open connections from which on one is closed for each new one
  explicit ConnectionRoom(std::size_t limit) : limit(limit) {}

  /// Records a new connection. \param socket its file descriptor
  /// \returns the socket of a connection to close for it; nothing while there is room or every
  /// other connection waits for its answer. That connection counts as closed from then on.
  std::optional<int> OnOpen(int socket);
  /// Records that a complete request has arrived.
  void OnRequest(int socket);
  /// Records that the last request has an answer.
  void OnAnswer(int socket);
  /// Records that a connection is closed, before its file descriptor is used again.
  void OnClose(int socket);

  /// \returns the number of open connections, without those that OnOpen() has returned.
  std::size_t open() const { return this->connections.size(); }
  /// \returns the number of connections that OnOpen() has returned.
  std::uint64_t closed() const { return this->victims; }

 private:
  /// Whether it has had an answer, number of the event since which it waits for a request, socket.
  using Rank = std::tuple<bool, std::uint64_t, int>;

  std::size_t limit;
  std::uint64_t last_event = 0;
  std::uint64_t victims = 0;
  std::unordered_map<int, Rank> connections;
  std::set<Rank> waiting;  ///< of those without a complete request
};

}  // namespace pistachio
