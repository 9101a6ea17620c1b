#include "pistachio/connection/http/connection_room.h"

namespace pistachio {

std::optional<int> ConnectionRoom::OnOpen(int socket) {
  std::optional<int> victim;
  if (this->connections.size() >= this->limit && !this->waiting.empty()) {
    victim = std::get<int>(*this->waiting.begin());
    this->OnClose(*victim);
    ++this->victims;
  }
  const Rank rank{false, ++this->last_event, socket};
  this->connections[socket] = rank;
  this->waiting.insert(rank);
  return victim;
}

void ConnectionRoom::OnRequest(int socket) {
  const auto found = this->connections.find(socket);
  if (found != this->connections.end()) {
    this->waiting.erase(found->second);
  }
}

void ConnectionRoom::OnAnswer(int socket) {
  const auto found = this->connections.find(socket);
  if (found != this->connections.end()) {
    this->waiting.erase(found->second);
    found->second = Rank{true, ++this->last_event, socket};
    this->waiting.insert(found->second);
  }
}

void ConnectionRoom::OnClose(int socket) {
  const auto found = this->connections.find(socket);
  if (found != this->connections.end()) {
    this->waiting.erase(found->second);
    this->connections.erase(found);
  }
}

}  // namespace pistachio
