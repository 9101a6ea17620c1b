#pragma once

#include <memory>
#include <string>

#include "pistachio/process/node/host_settings.h"
#include "pistachio/process/node/node.h"

namespace pistachio {

/// \brief Functions that translate between the process's calls and the platform's HTTP messages.
///
/// `Duration` parameters are the timeouts of the calls. The functions run on several threads, so
/// they must be thread-safe.
struct PlatformCodec {
  PlatformDocuments documents;  ///< configuration and target registrations in the store
  std::function<HttpCall(const std::string& address, const StoreCall&, Duration)> encode_store;
  std::function<StoreReply(const StoreCall&, const HttpResult&)> decode_store;
  std::function<HttpCall(const Order&, FencingToken)> encode_order;
  std::function<OrderReply(const HttpResult&)> decode_order;
  std::function<HoldReply(const HttpResult&)> decode_hold;
  std::function<CallerRequest(const ServedRequest&, const Configuration&)> decode_caller;
  /// \param closing true while the process stops, so that the caller opens a new connection for its
  /// next request
  std::function<ServedAnswer(const CallerAnswer&, bool closing)> encode_answer;
  std::string ready_path;  ///< URL path of the load balancer's readiness probe
};

/// \brief The process of one host: runs the control state on one thread and HTTP on others.
///
/// The control state is a Node. HTTP clients and servers have their own threads and pass work to
/// the control thread through a ControlQueue.
class Daemon {
 public:
  Daemon(HostSettings settings, PlatformCodec codec);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// \brief Opens the listening ports and starts the control thread. \returns false if a port
  /// cannot be opened; last_error() gives the reason.
  bool Start();

  /// \brief Stops gracefully: withdraws readiness, gives up all cells and answers open requests.
  ///
  /// Blocks for 3.5 s, in which callers are still served, and then until the servers have sent
  /// their last answers, at most 2 s for each server. The 3.5 s are shorter than the grace time
  /// before the process is killed. Does nothing if the daemon is not running.
  void Stop();

  /// \brief Logs that the settings file was read again; the settings in use do not change.
  /// \param settings the settings read, or nothing if the file is invalid
  /// \param reason why the file is invalid, or empty
  void Reload(const std::optional<HostSettings>& settings, const std::string& reason);

  /// \returns why Start() failed; empty if it did not fail.
  const std::string& last_error() const;

  /// \brief Addresses that the servers listen on. Where the settings give port 0, the port is the
  /// one that the kernel assigned.
  struct Addresses {
    ListenAddress callers;
    ListenAddress readiness;
    ListenAddress control;
  };
  /// \returns the addresses in use; valid after Start() has returned true.
  const Addresses& addresses() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace pistachio
