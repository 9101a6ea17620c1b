#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pistachio {

/// \brief Peer as `ip:port` and local port of an open TCP connection.
using ConnectionEnds = std::pair<std::string, int>;

/// \brief Records when each connection of a client last proved to work, and selects the idle ones
/// that must not be used again after a call without an answer.
///
/// When all connections to a peer go silent, a client that uses an idle one for each call waits for
/// a whole timeout as many times as it has idle connections. The order of the events counts, not
/// their times. Not thread-safe.
class ConnectionTracker {
 public:
  /// Position of an event in the order of all events of one tracker; rises.
  using EventNumber = std::uint64_t;

  /// Records a new connection, which proves to work by being established.
  /// \param socket its file descriptor
  void OnConnect(const ConnectionEnds& ends, int socket);

  /// Records a request on a connection, which is in use from then on until OnAnswer() or OnClose().
  EventNumber OnRequest(const ConnectionEnds& ends);

  /// Records the complete answer to \a request. Does nothing if the connection has been closed.
  void OnAnswer(const ConnectionEnds& ends, EventNumber request);

  /// Records that \a socket is closed. Does nothing if OnConnect() was not called for it.
  void OnClose(int socket);

  /// \returns the sockets of idle connections to \a peer that have not proved to work since
  /// \a request, a request without an answer.
  std::vector<int> FindSuspect(const std::string& peer, EventNumber request) const;

 private:
  struct Connection {
    int socket = -1;
    EventNumber opened_at = 0;
    EventNumber proved_at = 0;  ///< last event that proved that the connection works
    bool in_use = false;
  };

  EventNumber last_event = 0;
  std::map<ConnectionEnds, Connection> connections;
  std::unordered_map<int, ConnectionEnds> ends_by_socket;
};

}  // namespace pistachio
