#include "pistachio/connection/http/connection_tracker.h"

namespace pistachio {

void ConnectionTracker::OnConnect(const ConnectionEnds& ends, int socket) {
  const EventNumber event = ++this->last_event;
  this->connections[ends] = Connection{socket, event, event, false};
  this->ends_by_socket[socket] = ends;
}

ConnectionTracker::EventNumber ConnectionTracker::OnRequest(const ConnectionEnds& ends) {
  const EventNumber event = ++this->last_event;
  const auto found = this->connections.find(ends);
  if (found != this->connections.end()) {
    found->second.in_use = true;
  }
  return event;
}

void ConnectionTracker::OnAnswer(const ConnectionEnds& ends, EventNumber request) {
  const EventNumber event = ++this->last_event;
  const auto found = this->connections.find(ends);
  // A connection that was opened after the request has the same ends by chance.
  if (found != this->connections.end() && found->second.opened_at < request) {
    found->second.in_use = false;
    found->second.proved_at = event;
  }
}

void ConnectionTracker::OnClose(int socket) {
  const auto found = this->ends_by_socket.find(socket);
  if (found == this->ends_by_socket.end()) {
    return;
  }
  const auto connection = this->connections.find(found->second);
  if (connection != this->connections.end() && connection->second.socket == socket) {
    this->connections.erase(connection);
  }
  this->ends_by_socket.erase(found);
}

std::vector<int> ConnectionTracker::FindSuspect(const std::string& peer,
                                                EventNumber request) const {
  std::vector<int> sockets;
  for (auto it = this->connections.lower_bound({peer, 0});
       it != this->connections.end() && it->first.first == peer; ++it) {
    if (!it->second.in_use && it->second.proved_at < request) {
      sockets.push_back(it->second.socket);
    }
  }
  return sockets;
}

}  // namespace pistachio
