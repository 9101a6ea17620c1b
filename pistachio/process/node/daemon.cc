#include "pistachio/process/node/daemon.h"

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

#include "pistachio/connection/http.h"
#include "pistachio/process/node/control_queue.h"
#include "pistachio/process/node/metrics.h"
#include "pistachio/process/node/server_limits.h"
#include "pistachio/process/runtime/log.h"
#include "pistachio/process/runtime/random.h"

namespace pistachio {

namespace internal {

/// Longest time between two ticks of the control thread while the host owns, takes or releases a
/// cell; bounds how late a commit or retry is sent.
constexpr Duration kActiveTickInterval = std::chrono::milliseconds(8);
/// Longest time between two ticks while the host has no cell.
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(60);
/// Maximum number of concurrent connections to one target. The number allows
/// `CellSettings::max_open_holds` holds and two concurrent orders. Further orders wait for a free
/// connection, because opening a new one costs more than waiting a millisecond.
constexpr long kConnectionsPerTarget = 6;  // NOLINT(google-runtime-int): libcurl's type
/// Time from the stop signal to the closing of the servers. The load balancer needs two probes, a
/// second apart, to notice that the host is not ready. Callers that it routes to this host until
/// then have to be answered. The rest of the grace time before the process is killed is a margin.
constexpr Duration kDrainTime = std::chrono::milliseconds(3500);
/// Longest time after that until all requests that wait for the store have an answer. It exceeds
/// the answer time of a slow store, and leaves the servers their time within the grace time.
constexpr Duration kEndRequestsTime = std::chrono::milliseconds(500);
/// Time by which the control thread may be late to end the requests.
constexpr Duration kEndRequestsMargin = std::chrono::milliseconds(200);
/// Shortest time between two lines on refused requests.
constexpr Duration kRefusalReportInterval = std::chrono::seconds(1);
/// Timeout of a probe of a target's health page.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

/// Readiness as the control thread last computed it; read by the readiness server's thread.
struct Readiness {
  std::atomic<bool> ready{false};
};

}  // namespace internal

struct Daemon::State {
  HostSettings settings;
  PlatformCodec codec;
  Clock clock = BootClock{};
  ControlQueue queue;
  Metrics metrics;
  std::string error;    ///< why Start() failed
  Addresses addresses;  ///< in use by the servers
  internal::Readiness readiness;
  std::atomic<bool> closing{false};  ///< a stop has begun
  std::unique_ptr<HttpClient> store_client;
  std::unique_ptr<HttpClient> target_client;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> control_server;
  std::unique_ptr<Node> node;
  std::thread control_thread;
  TimePoint refusals_reported_at{};     ///< used by the control thread only
  std::uint64_t reported_refusals = 0;  ///< used by the control thread only
  bool ending_requests = false;         ///< used by the control thread only
  std::promise<void> requests_ended;

  /// Answers the callers that wait for the store. \returns once all have an answer, or the control
  /// thread is late.
  void EndRequests();
  /// Returns functions that send the node's calls by HTTP and post their replies to the queue.
  NodePorts MakePorts();
  /// Body of the control thread.
  void Run();
  /// Logs how many requests the servers have refused, once a second at most.
  void ReportRefusals();
  void OnCallerRequest(const ServedRequest& request);
  void OnReadinessRequest(const ServedRequest& request);
  void OnControlRequest(const ServedRequest& request);
  /// Sends an answer, counts and logs it.
  /// \param received_at time at which the complete request had arrived
  void AnswerCaller(const ServedRequest& request, const CallerAnswer& answer,
                    TimePoint received_at);
  /// Creates a server that listens on `address` and stores the address in use in `bound_address`.
  /// Returns false and sets `error` if the port cannot be opened.
  bool Listen(std::unique_ptr<HttpServer>* server, const ListenAddress& address,
              const HttpServerLimits& limits, const HttpServer::Handler& handler,
              ListenAddress* bound_address);
};

Daemon::Daemon(HostSettings settings, PlatformCodec codec) : state(std::make_unique<State>()) {
  this->state->settings = std::move(settings);
  this->state->codec = std::move(codec);
}

Daemon::~Daemon() { this->Stop(); }

const std::string& Daemon::last_error() const { return this->state->error; }

const Daemon::Addresses& Daemon::addresses() const { return this->state->addresses; }

NodePorts Daemon::State::MakePorts() {
  NodePorts ports;
  ports.store = [this](const StoreCall& call, Duration timeout, const StoreCallback& callback) {
    this->store_client->Send(this->codec.encode_store(this->settings.store_address, call, timeout),
                             [this, call, callback](const HttpResult& result) {
                               const StoreReply reply = this->codec.decode_store(call, result);
                               this->queue.Post([callback, reply] { callback(reply); });
                             });
  };
  ports.order = [this](const Order& order, FencingToken token,
                       const std::function<void(const OrderReply&)>& callback) {
    this->target_client->Send(this->codec.encode_order(order, token),
                              [this, callback](const HttpResult& result) {
                                const OrderReply reply = this->codec.decode_order(result);
                                this->queue.Post([callback, reply] { callback(reply); });
                              });
  };
  ports.hold = [this](const Order& order, FencingToken token,
                      const std::function<void(const HoldReply&)>& callback) {
    this->target_client->Send(this->codec.encode_order(order, token),
                              [this, callback](const HttpResult& result) {
                                const HoldReply reply = this->codec.decode_hold(result);
                                this->queue.Post([callback, reply] { callback(reply); });
                              });
  };
  ports.probe_target = [this](const std::string& address, const std::string& path,
                              const std::function<void(bool)>& callback) {
    HttpCall call;
    call.url = "http://" + address + path;
    call.timeout = internal::kProbeTimeout;
    this->target_client->Send(call, [this, callback](const HttpResult& result) {
      const bool answered = result.answered();
      this->queue.Post([callback, answered] { callback(answered); });
    });
  };
  return ports;
}

void Daemon::State::Run() {
  this->node->Start(Now(this->clock));
  while (!this->queue.closed()) {
    const Duration wait =
        this->node->HasActiveCells() ? internal::kActiveTickInterval : internal::kIdleTickInterval;
    for (const ControlQueue::Work& work : this->queue.Take(wait)) {
      work();
    }
    this->node->Tick(Now(this->clock), WallClockNow());
    this->readiness.ready = this->node->Ready();
    this->caller_server->SetMaxBodyBytes(
        this->node->max_body_bytes().value_or(kDefaultMaxHttpBodyBytes));
    if (this->ending_requests && !this->node->HasOpenRequests()) {
      this->ending_requests = false;
      this->requests_ended.set_value();
    }
    this->ReportRefusals();
    for (const EventRecord& event : this->node->TakeEvents()) {
      WriteEvent(event);
    }
  }
}

void Daemon::State::ReportRefusals() {
  const TimePoint now = Now(this->clock);
  if (now - this->refusals_reported_at < internal::kRefusalReportInterval) {
    return;
  }
  this->refusals_reported_at = now;
  HttpServerUsage sum;
  for (const auto* server :
       {&this->caller_server, &this->readiness_server, &this->control_server}) {
    const HttpServerUsage usage = (*server)->usage();
    sum.too_large += usage.too_large;
    sum.without_memory += usage.without_memory;
    sum.closed_connections += usage.closed_connections;
  }
  const std::uint64_t refusals = sum.too_large + sum.without_memory + sum.closed_connections;
  if (refusals != this->reported_refusals) {
    this->reported_refusals = refusals;
    WriteEvent({EventCode::kBadInput,
                {{"too-large", std::to_string(sum.too_large)},
                 {"without-memory", std::to_string(sum.without_memory)},
                 {"closed-connections", std::to_string(sum.closed_connections)}}});
  }
}

void Daemon::State::EndRequests() {
  this->queue.Post([this] {
    this->node->EndRequests(Now(this->clock) + internal::kEndRequestsTime);
    this->ending_requests = true;
  });
  this->requests_ended.get_future().wait_for(internal::kEndRequestsTime +
                                             internal::kEndRequestsMargin);
}

void Daemon::State::OnCallerRequest(const ServedRequest& request) {
  const TimePoint received_at = Now(this->clock);
  // All copies of the functions share one copy of the body.
  const auto shared_request = std::make_shared<const ServedRequest>(request);
  this->queue.Post([this, shared_request, received_at] {
    this->node->Handle(
        [this, shared_request](const Configuration& configuration) {
          return this->codec.decode_caller(*shared_request, configuration);
        },
        [this, shared_request, received_at](const CallerAnswer& answer) {
          this->AnswerCaller(*shared_request, answer, received_at);
        },
        Now(this->clock));
  });
}

void Daemon::State::OnReadinessRequest(const ServedRequest& request) {
  ServedAnswer answer;
  const bool ready = request.path == this->codec.ready_path && this->readiness.ready;
  answer.status = ready ? 200 : 503;
  this->readiness_server->Answer(request.exchange, answer);
}

void Daemon::State::OnControlRequest(const ServedRequest& request) {
  this->queue.Post([this, request] {
    this->metrics.Update(*this->node);
    this->metrics.SetServerUsage("callers", this->caller_server->usage());
    this->metrics.SetServerUsage("readiness", this->readiness_server->usage());
    this->metrics.SetServerUsage("control", this->control_server->usage());
    ServedAnswer answer;
    answer.content_type = "text/plain; version=0.0.4";
    answer.body = this->metrics.Text();
    this->control_server->Answer(request.exchange, answer);
  });
}

void Daemon::State::AnswerCaller(const ServedRequest& request, const CallerAnswer& answer,
                                 TimePoint received_at) {
  const Duration latency = Now(this->clock) - received_at;
  this->metrics.CountAnswer(answer.outcome, latency);
  const bool delivered = this->caller_server->Answer(
      request.exchange, this->codec.encode_answer(answer, this->closing.load()));
  EventRecord event{EventCode::kCallerAnswered,
                    {{"method", request.method},
                     {"path", request.path},
                     {"outcome", NameOf(answer.outcome)},
                     {"took-us", std::to_string(latency.count())},
                     {"version", std::to_string(this->node->configuration_version())}}};
  if (!answer.reason.empty()) {
    event.fields.emplace_back("reason", answer.reason);
  }
  if (answer.retry_after) {
    event.fields.emplace_back("retry-after-s", std::to_string(answer.retry_after->count()));
  }
  if (!delivered) {
    event.fields.emplace_back("delivered", "no");
  }
  WriteEvent(event);
}

bool Daemon::State::Listen(std::unique_ptr<HttpServer>* server, const ListenAddress& address,
                           const HttpServerLimits& limits, const HttpServer::Handler& handler,
                           ListenAddress* bound_address) {
  *server = std::make_unique<HttpServer>(limits, handler);
  const auto bound = (*server)->Listen(address);
  if (!bound) {
    this->error = (*server)->last_error();
    return false;
  }
  *bound_address = *bound;
  return true;
}

bool Daemon::Start() {
  State& impl = *this->state;
  impl.store_client = std::make_unique<HttpClient>();
  impl.target_client = std::make_unique<HttpClient>(internal::kConnectionsPerTarget);
  impl.node = std::make_unique<Node>(impl.settings, MakeNodeSettings(impl.settings),
                                     RandomId() >> 1U, impl.codec.documents, impl.MakePorts());
  const auto on_caller_request = [&impl](const ServedRequest& request) {
    impl.OnCallerRequest(request);
  };
  const auto on_readiness_request = [&impl](const ServedRequest& request) {
    impl.OnReadinessRequest(request);
  };
  const auto on_control_request = [&impl](const ServedRequest& request) {
    impl.OnControlRequest(request);
  };
  const bool all_listening =
      impl.Listen(&impl.caller_server, impl.settings.caller_address,
                  CallerServerLimits(impl.settings.limits), on_caller_request,
                  &impl.addresses.callers) &&
      impl.Listen(&impl.readiness_server, impl.settings.readiness_address, InternalServerLimits(),
                  on_readiness_request, &impl.addresses.readiness) &&
      impl.Listen(&impl.control_server, impl.settings.control_address, InternalServerLimits(),
                  on_control_request, &impl.addresses.control);
  if (!all_listening) {
    return false;
  }
  WriteEvent({EventCode::kProcessStarted,
              {{"host", impl.settings.host.str()},
               {"data-centre", impl.settings.data_centre.str()},
               {"callers", impl.settings.caller_address.str()},
               {"store", impl.settings.store_address}}});
  impl.control_thread = std::thread([&impl] { impl.Run(); });
  return true;
}

void Daemon::Reload(const std::optional<HostSettings>& settings, const std::string& reason) {
  // Addresses and bounds cannot change while the process runs, so the new settings are not applied.
  WriteEvent({EventCode::kSettingsReread,
              {{"host", this->state->settings.host.str()},
               {"readable", settings ? "yes" : "no"},
               {"reason", reason}}});
}

void Daemon::Stop() {
  State& impl = *this->state;
  if (!impl.control_thread.joinable()) {
    return;
  }
  WriteEvent({EventCode::kProcessStopping, {{"host", impl.settings.host.str()}}});
  impl.closing = true;
  impl.queue.Post([&impl] { impl.node->BeginStop(); });
  {
    std::mutex mutex;
    std::condition_variable unsignalled;
    std::unique_lock<std::mutex> lock(mutex);
    // Sleeps for the whole drain time; no thread signals the condition variable.
    unsignalled.wait_for(lock, internal::kDrainTime, [] { return false; });
  }
  impl.EndRequests();
  impl.caller_server->Stop();
  impl.readiness_server->Stop();
  impl.control_server->Stop();
  impl.queue.Close();
  impl.control_thread.join();
  impl.store_client->Stop();
  impl.target_client->Stop();
  WriteEvent({EventCode::kProcessStopped, {{"host", impl.settings.host.str()}}});
}

}  // namespace pistachio
