#pragma once

#include <prometheus/registry.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "pistachio/connection/peer/hub.h"
#include "pistachio/connection/platform/http_server.h"
#include "pistachio/connection/platform/key_value_client.h"
#include "pistachio/process/daemon/control_loop.h"
#include "pistachio/process/daemon/control_metrics.h"
#include "pistachio/process/daemon/daemon.h"
#include "pistachio/process/daemon/traffic_plane.h"

namespace pistachio {

/// \brief Everything that lives as long as a daemon. Members are torn down in reverse order.
struct Daemon::State {
  State(const DaemonSettings& settings, const Clock& clock);

  // Start (daemon.cc).
  bool ReadSecrets();
  bool Listen();
  ControlPorts MakeControlPorts();
  TrafficPorts MakeTrafficPorts();

  // Ports of the control state (daemon_ports.cc).
  void CallStore(const StoreOrigin& origin, std::uint64_t call, StoreRole role,
                 const StoreCall& store_call);
  bool SendPeer(const HostId& peer, const PeerMessage& message);
  void SendCommand(const OutgoingCommand& command);
  void PublishRoutes(const std::vector<ServiceRoute>& routes,
                     const std::vector<RemoteCentre>& remote,
                     const std::map<TargetId, std::string>& addresses);
  void ReceivePeer(const HostId& from, const std::string& bytes);
  void FetchHosts();

  // Operators' port (daemon_operators.cc).
  void ServeOperator(const ServedRequest& request);
  void ServeMetrics(const ServedRequest& request);
  void AnswerOperator(std::uint64_t call, int status, const std::string& body);

  void RunTimers();
  void WaitUntilLeft();
  void WaitUntilIdle();

  DaemonSettings settings;
  Clock clock;
  MemberId self;
  DaemonError error;
  std::string peer_secret;
  std::vector<OperatorToken> tokens;
  std::atomic<bool> ready{false};
  std::atomic<bool> stopping{false};
  std::atomic<bool> idle{false};  ///< no request is in hand, so timers may wait longer
  std::shared_ptr<prometheus::Registry> registry;
  TrafficMetrics traffic_metrics;
  ControlMetrics control_metrics;
  StoreTraffic store_traffic;
  HttpClient control_client;
  HttpClient traffic_client;
  KeyValueService store;
  TargetClient targets;
  std::unique_ptr<TrafficPlane> traffic;
  std::unique_ptr<ControlLoop> control;
  std::unique_ptr<PeerHub> hub;
  std::unique_ptr<HttpServer> callers;
  std::unique_ptr<HttpServer> operators;
  std::mutex mutex;
  std::condition_variable changed;
  bool left = false;
  std::thread timers;
};

}  // namespace pistachio
