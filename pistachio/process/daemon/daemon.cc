#include "pistachio/process/daemon/daemon.h"

#include "pistachio/process/daemon/daemon_state.h"
#include "pistachio/process/runtime/log.h"
#include "pistachio/process/runtime/random.h"

namespace pistachio {

namespace internal {

constexpr Duration kControlTick = std::chrono::milliseconds(100);
constexpr Duration kTrafficTick = std::chrono::milliseconds(2);
constexpr Duration kIdleTick = std::chrono::milliseconds(50);
constexpr Duration kFetchHostsEvery = std::chrono::seconds(1);
constexpr Duration kLeaveBound = std::chrono::seconds(10);
constexpr Duration kReadinessGrace = std::chrono::milliseconds(500);

ControlConfig ControlConfigOf(const DaemonSettings& settings, const MemberId& self) {
  ControlConfig config;
  config.data_centre = settings.data_centre;
  config.self = self;
  config.lease = settings.lease;
  // No request keeps a slot for longer than the longest deadline.
  config.lease.max_request = settings.max_deadline;
  for (const PeerAddress& peer : settings.peers) {
    config.peers.push_back(peer.host);
  }
  for (const PeerAddress& peer : settings.remote_peers) {
    config.remote_peers[peer.host] = peer.data_centre;
  }
  config.policy = InterferencePolicy{};
  return config;
}

TrafficConfig TrafficConfigOf(const DaemonSettings& settings, const MemberId& self) {
  TrafficConfig config;
  config.data_centre = settings.data_centre;
  config.self = self;
  config.seed = self.incarnation;
  config.limits.max_deadline = settings.max_deadline;
  return config;
}

PeerHubConfig HubConfigOf(const DaemonSettings& settings, const std::string& secret) {
  const auto address = ParseListenAddress(settings.peers_address);
  PeerHubConfig config;
  config.self = settings.host;
  config.listen_ip = address->ip;
  config.listen_port = address->port;
  config.secret = secret;
  for (const PeerAddress& peer : settings.peers) {
    config.peers[peer.host] = peer.address;
  }
  for (const PeerAddress& peer : settings.remote_peers) {
    config.peers[peer.host] = peer.address;
  }
  return config;
}

}  // namespace internal

Daemon::State::State(const DaemonSettings& settings, const Clock& clock)
    : settings(settings),
      clock(clock),
      self{settings.host, RandomToken()},
      registry(std::make_shared<prometheus::Registry>()),
      traffic_metrics(*this->registry),
      control_metrics(*this->registry),
      store(HttpKeyValueService(settings.store_url, this->control_client)),
      targets(this->control_client) {}

bool Daemon::State::ReadSecrets() {
  if (!this->settings.peer_secret_file.empty()) {
    const auto secret = ReadSecretFile(this->settings.peer_secret_file);
    if (!secret) {
      this->error = {"the peers' secret cannot be read", "check files.peer_secret"};
      return false;
    }
    this->peer_secret = *secret;
  }
  if (!this->settings.operator_tokens_file.empty()) {
    auto read = ReadTokenFile(this->settings.operator_tokens_file);
    if (!read) {
      this->error = {"the operators' tokens cannot be read",
                     "check files.operator_tokens: token, blank, subtree on each line"};
      return false;
    }
    this->tokens = std::move(*read);
  }
  return true;
}

ControlPorts Daemon::State::MakeControlPorts() {
  ControlPorts ports;
  ports.call_store = [this](const StoreOrigin& origin, std::uint64_t call, StoreRole role,
                            const StoreCall& store_call) {
    this->CallStore(origin, call, role, store_call);
  };
  ports.send_peer = [this](const HostId& peer, const ControlMessage& message) {
    this->SendPeer(peer, message);
  };
  ports.send_command = [this](const OutgoingCommand& command) { this->SendCommand(command); };
  ports.publish_routes = [this](const std::vector<ServiceRoute>& routes,
                                const std::vector<RemoteCentre>& remote,
                                const std::map<TargetId, std::string>& addresses) {
    this->PublishRoutes(routes, remote, addresses);
  };
  ports.answer_operator = [this](std::uint64_t call, int status, const std::string& body) {
    this->AnswerOperator(call, status, body);
  };
  ports.report = [](const EventRecord& event) { WriteEvent(event); };
  ports.new_incarnation = [] { return RandomToken(); };
  ports.left = [this] {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->left = true;
    this->changed.notify_all();
  };
  return ports;
}

TrafficPorts Daemon::State::MakeTrafficPorts() {
  TrafficPorts ports;
  ports.send_peer = [this](const HostId& peer, const TrafficMessage& message) {
    return this->SendPeer(peer, message);
  };
  ports.answer = [this](ExchangeId exchange, const ServedAnswer& answer) {
    this->callers->Answer(exchange, answer);
  };
  ports.report = [](const EventRecord& event) { WriteEvent(event); };
  ports.wake = [this] {
    if (this->idle.exchange(false)) {
      this->changed.notify_all();
    }
  };
  return ports;
}

bool Daemon::State::Listen() {
  HttpServerLimits caller_limits;
  caller_limits.max_body_bytes = this->settings.max_body_bytes;
  caller_limits.threads = this->settings.traffic_threads;
  this->callers = std::make_unique<HttpServer>(
      caller_limits, [this](const ServedRequest& request) { this->traffic->Serve(request); });
  HttpServerLimits operator_limits;
  operator_limits.max_body_bytes = kMaxOperatorBodyBytes;
  operator_limits.threads = 1;
  this->operators = std::make_unique<HttpServer>(
      operator_limits, [this](const ServedRequest& request) { this->ServeOperator(request); });
  this->hub = std::make_unique<PeerHub>(
      internal::HubConfigOf(this->settings, this->peer_secret),
      [this](const HostId& from, const std::string& bytes) { this->ReceivePeer(from, bytes); },
      [this](const HostId& peer, bool open) {
        this->control->Post(PeerLinkChanged{peer, open});
      });
  if (!this->hub->Start()) {
    this->error = {this->hub->last_error(), "check listen.peers"};
    return false;
  }
  if (!this->callers->Listen(*ParseListenAddress(this->settings.callers_address))) {
    this->error = {this->callers->last_error(), "check listen.callers"};
    return false;
  }
  if (!this->operators->Listen(*ParseListenAddress(this->settings.operators_address))) {
    this->error = {this->operators->last_error(), "check listen.operators"};
    return false;
  }
  return true;
}

void Daemon::State::RunTimers() {
  TimePoint next_fetch = Now(this->clock);
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    this->traffic->Tick();
    const TimePoint now = Now(this->clock);
    if (now >= next_fetch) {
      next_fetch = now + internal::kFetchHostsEvery;
      this->FetchHosts();
    }
    this->idle = !this->traffic->busy();
    lock.lock();
    this->changed.wait_for(lock, this->idle ? internal::kIdleTick : internal::kTrafficTick);
  }
}

void Daemon::State::WaitUntilLeft() {
  std::unique_lock<std::mutex> lock(this->mutex);
  this->changed.wait_for(lock, internal::kLeaveBound, [this] { return this->left; });
}

void Daemon::State::WaitUntilIdle() {
  const TimePoint give_up = Now(this->clock) + this->settings.max_deadline;
  std::unique_lock<std::mutex> lock(this->mutex);
  while (Now(this->clock) < give_up) {
    lock.unlock();
    const bool idle = this->traffic->open_requests().empty();
    lock.lock();
    if (idle) {
      return;
    }
    this->changed.wait_for(lock, internal::kTrafficTick);
  }
}

Daemon::Daemon(const DaemonSettings& settings, const Clock& clock)
    : state(std::make_unique<State>(settings, clock)) {}

Daemon::~Daemon() = default;

bool Daemon::Start() {
  State& s = *this->state;
  if (!s.ReadSecrets()) {
    return false;
  }
  s.traffic = std::make_unique<TrafficPlane>(internal::TrafficConfigOf(s.settings, s.self),
                                             s.MakeTrafficPorts(), s.traffic_client, s.clock,
                                             s.traffic_metrics);
  s.control = std::make_unique<ControlLoop>(internal::ControlConfigOf(s.settings, s.self),
                                            s.MakeControlPorts(), s.clock, internal::kControlTick);
  if (!s.Listen()) {
    return false;
  }
  s.control->Start();
  s.timers = std::thread([this] { this->state->RunTimers(); });
  s.ready = true;
  WriteEvent({EventCode::kProcessStarted,
              {{"host", s.self.host.str()},
               {"data_centre", s.settings.data_centre.str()},
               {"incarnation", std::to_string(s.self.incarnation)},
               {"callers", s.settings.callers_address}}});
  return true;
}

void Daemon::Stop() {
  State& s = *this->state;
  WriteEvent({EventCode::kProcessStopping, {{"host", s.self.host.str()}}});
  // Callers that came before the balancer noticed are still served.
  s.ready = false;
  {
    std::unique_lock<std::mutex> lock(s.mutex);
    s.changed.wait_for(lock, internal::kReadinessGrace, [] { return false; });
  }
  // The slots of this host go to others once it leaves, so its requests have to end first.
  s.callers->StopListening();
  s.traffic->BeginStop();
  s.WaitUntilIdle();
  s.control->Post(StopRequested{});
  s.WaitUntilLeft();
  const std::vector<RequestId> unfinished = s.traffic->open_requests();
  EventRecord stopped{EventCode::kProcessStopped,
                      {{"host", s.self.host.str()},
                       {"handed_over", s.left ? "true" : "false"},
                       {"unfinished", std::to_string(unfinished.size())}}};
  for (const RequestId& id : unfinished) {
    stopped.fields.emplace_back("request", id.str());
  }
  WriteEvent(stopped);
  {
    const std::lock_guard<std::mutex> lock(s.mutex);
    s.stopping = true;
    s.changed.notify_all();
  }
  s.timers.join();
  s.callers->Stop();
  s.operators->Stop();
  s.hub->Stop();
  s.control->Stop();
  s.traffic_client.Stop();
  s.control_client.Stop();
}

const DaemonError& Daemon::last_error() const { return this->state->error; }

}  // namespace pistachio
