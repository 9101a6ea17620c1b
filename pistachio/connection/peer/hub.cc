#include "pistachio/connection/peer/hub.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace pistachio {

namespace internal {

using PeerServer = websocketpp::server<websocketpp::config::asio>;
using PeerClient = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr char kSecretHeader[] = "X-Peer-Secret";
constexpr char kHostHeader[] = "X-Peer-Host";

/// Compares in a time that does not depend on where the texts differ.
bool SameSecret(const std::string& a, const std::string& b) {
  unsigned char difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t i = 0; i < a.size() && i < b.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

/// The connection that this host opens to one peer.
struct OutgoingLink {
  std::string address;
  connection_hdl handle;
  bool open = false;
};

}  // namespace internal

struct PeerHub::State {
  PeerHubConfig config;
  Receiver receiver;
  LinkObserver observer;
  std::string error;
  websocketpp::lib::asio::io_service io;
  internal::PeerServer server;
  internal::PeerClient client;
  std::thread thread;
  std::atomic<bool> stopping{false};
  mutable std::mutex mutex;
  std::map<HostId, internal::OutgoingLink> links;
  PeerTraffic counts;

  void ConfigureServer();
  void ConfigureClient();
  bool AcceptPeer(const internal::connection_hdl& handle);
  void Receive(const internal::connection_hdl& handle, const std::string& bytes);
  void Connect(const HostId& peer);
  void LinkOpened(const HostId& peer);
  void LinkClosed(const HostId& peer);
  void ReconnectLater(const HostId& peer);
  void CloseAll();
};

void PeerHub::State::ConfigureServer() {
  this->server.clear_access_channels(websocketpp::log::alevel::all);
  this->server.clear_error_channels(websocketpp::log::elevel::all);
  this->server.init_asio(&this->io);
  this->server.set_reuse_addr(true);
  this->server.set_max_message_size(this->config.max_message_bytes);
  this->server.set_validate_handler(
      [this](const internal::connection_hdl& handle) { return this->AcceptPeer(handle); });
  this->server.set_message_handler(
      [this](const internal::connection_hdl& handle, const internal::PeerServer::message_ptr& m) {
        this->Receive(handle, m->get_payload());
      });
}

void PeerHub::State::ConfigureClient() {
  this->client.clear_access_channels(websocketpp::log::alevel::all);
  this->client.clear_error_channels(websocketpp::log::elevel::all);
  this->client.init_asio(&this->io);
  this->client.set_max_message_size(this->config.max_message_bytes);
}

bool PeerHub::State::AcceptPeer(const internal::connection_hdl& handle) {
  const auto connection = this->server.get_con_from_hdl(handle);
  const bool known = internal::SameSecret(connection->get_request_header(internal::kSecretHeader),
                                          this->config.secret);
  if (!known) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->counts.refused++;
  }
  return known;
}

void PeerHub::State::Receive(const internal::connection_hdl& handle, const std::string& bytes) {
  const auto connection = this->server.get_con_from_hdl(handle);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->counts.received_messages++;
    this->counts.received_bytes += bytes.size();
  }
  this->receiver(HostId(connection->get_request_header(internal::kHostHeader)), bytes);
}

void PeerHub::State::Connect(const HostId& peer) {
  websocketpp::lib::error_code error;
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    address = this->links.at(peer).address;
  }
  const auto connection = this->client.get_connection("ws://" + address + "/peer", error);
  if (error) {
    this->ReconnectLater(peer);
    return;
  }
  connection->append_header(internal::kSecretHeader, this->config.secret);
  connection->append_header(internal::kHostHeader, this->config.self.str());
  connection->set_open_handler(
      [this, peer](const internal::connection_hdl& /*handle*/) { this->LinkOpened(peer); });
  const auto closed = [this, peer](const internal::connection_hdl& /*handle*/) {
    this->LinkClosed(peer);
  };
  connection->set_close_handler(closed);
  connection->set_fail_handler(closed);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->links.at(peer).handle = connection->get_handle();
  }
  this->client.connect(connection);
}

void PeerHub::State::LinkOpened(const HostId& peer) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->links.at(peer).open = true;
  }
  this->observer(peer, true);
}

void PeerHub::State::LinkClosed(const HostId& peer) {
  bool was_open = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    was_open = this->links.at(peer).open;
    this->links.at(peer).open = false;
  }
  if (was_open) {
    this->observer(peer, false);
  }
  this->ReconnectLater(peer);
}

void PeerHub::State::ReconnectLater(const HostId& peer) {
  if (this->stopping) {
    return;
  }
  this->client.set_timer(this->config.reconnect_every.count(),
                         [this, peer](const websocketpp::lib::error_code& error) {
                           if (!error && !this->stopping) {
                             this->Connect(peer);
                           }
                         });
}

void PeerHub::State::CloseAll() {
  websocketpp::lib::error_code ignored;
  this->server.stop_listening(ignored);
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto& [peer, link] : this->links) {
    if (link.open) {
      this->client.close(link.handle, websocketpp::close::status::going_away, "", ignored);
    }
  }
}

PeerHub::PeerHub(PeerHubConfig config, Receiver receiver, LinkObserver observer)
    : state(std::make_unique<State>()) {
  this->state->config = std::move(config);
  this->state->receiver = std::move(receiver);
  this->state->observer = std::move(observer);
  for (const auto& [peer, address] : this->state->config.peers) {
    this->state->links[peer].address = address;
  }
}

PeerHub::~PeerHub() { this->Stop(); }

std::optional<std::uint16_t> PeerHub::Start() {
  State& running = *this->state;
  running.ConfigureServer();
  running.ConfigureClient();
  websocketpp::lib::asio::error_code address_error;
  const auto ip =
      websocketpp::lib::asio::ip::address::from_string(running.config.listen_ip, address_error);
  if (address_error) {
    running.error = running.config.listen_ip + " is not an IP number";
    return std::nullopt;
  }
  websocketpp::lib::error_code error;
  running.server.listen(websocketpp::lib::asio::ip::tcp::endpoint(ip, running.config.listen_port),
                        error);
  if (!error) {
    running.server.start_accept(error);
  }
  if (error) {
    running.error = "cannot listen for peers: " + error.message();
    return std::nullopt;
  }
  websocketpp::lib::asio::error_code endpoint_error;
  const std::uint16_t port = running.server.get_local_endpoint(endpoint_error).port();
  for (const auto& [peer, link] : running.links) {
    running.Connect(peer);
  }
  running.thread = std::thread([this] { this->state->io.run(); });
  return port;
}

std::optional<PeerSendError> PeerHub::Send(const HostId& peer, const std::string& bytes) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  const auto link = this->state->links.find(peer);
  if (link == this->state->links.end()) {
    return PeerSendError::kUnknownPeer;
  }
  if (!link->second.open) {
    return PeerSendError::kNotConnected;
  }
  websocketpp::lib::error_code error;
  const auto connection = this->state->client.get_con_from_hdl(link->second.handle, error);
  if (error) {
    return PeerSendError::kNotConnected;
  }
  if (connection->get_buffered_amount() > this->state->config.max_buffered_bytes) {
    return PeerSendError::kBufferFull;
  }
  error = connection->send(bytes, websocketpp::frame::opcode::binary);
  if (error) {
    return PeerSendError::kNotConnected;
  }
  this->state->counts.sent_messages++;
  this->state->counts.sent_bytes += bytes.size();
  return std::nullopt;
}

void PeerHub::Stop() {
  if (this->state->stopping.exchange(true) || !this->state->thread.joinable()) {
    return;
  }
  this->state->io.post([this] { this->state->CloseAll(); });
  // Peers may be gone without an answer to the close; the thread must not wait for them.
  constexpr int kCloseMillis = 200;
  this->state->client.set_timer(
      kCloseMillis,
      [this](const websocketpp::lib::error_code& /*error*/) { this->state->io.stop(); });
  this->state->thread.join();
}

PeerTraffic PeerHub::traffic() const {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  return this->state->counts;
}

const std::string& PeerHub::last_error() const { return this->state->error; }

}  // namespace pistachio
