#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"

namespace pistachio {

/// \brief Where this host listens for peers and where they are.
struct PeerHubConfig {
  HostId self;
  std::string listen_ip;
  std::uint16_t listen_port = 0;
  std::map<HostId, std::string> peers;  ///< address of each, as `ip:port`
  std::string secret;                   ///< shared by all entry hosts; never logged
  std::size_t max_message_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t max_buffered_bytes =
      std::size_t{32} * 1024 * 1024;  ///< for one peer that does not read
  std::chrono::milliseconds reconnect_every{200};
};

/// \brief Why a message could not be handed to a connection.
enum class PeerSendError { kUnknownPeer, kNotConnected, kBufferFull };

/// \brief Messages and bytes that the hub has carried.
struct PeerTraffic {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t refused = 0;  ///< connections with a wrong secret, and messages too large
};

/// \brief Carries messages between entry hosts over WebSocket, on one thread of its own.
///
/// This host sends on the connections that it opened and receives on those that were opened to it.
/// Delivery is at most once and in order on one connection; a message may be lost at any time.
class PeerHub {
 public:
  using Receiver = std::function<void(const HostId& from, const std::string& bytes)>;
  /// Tells that the connection to a peer opened or closed.
  using LinkObserver = std::function<void(const HostId& peer, bool open)>;

  PeerHub(PeerHubConfig config, Receiver receiver, LinkObserver observer);
  ~PeerHub();
  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;

  /// \brief Opens the port and starts to connect to peers. \returns the port in use, or nothing;
  /// see last_error().
  std::optional<std::uint16_t> Start();

  /// \brief Hands \a bytes to the connection to \a peer. \returns why not, or nothing if it was.
  /// Nothing of a message that was not handed over is ever sent.
  std::optional<PeerSendError> Send(const HostId& peer, const std::string& bytes);

  /// \brief Closes every connection and ends the thread. May be called twice.
  void Stop();

  PeerTraffic traffic() const;
  const std::string& last_error() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace pistachio
