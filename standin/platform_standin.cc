#include "standin/platform_standin.h"

#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

#include "emulator/fake_store.h"
#include "emulator/fake_target.h"
#include "pistachio/process/runtime/clock.h"
#include "platform/platform.h"
#include "standin/standin_wire.h"

namespace pistachio::standin {

namespace internal {

/// Longest time between two updates of the store's leases, the targets and the waiting requests.
constexpr Duration kTick = std::chrono::milliseconds(10);
/// Run time of every task on the targets.
constexpr Duration kTaskLength = std::chrono::milliseconds(300);
constexpr const char* kConfiguration =
    R"({"version":1,"routes":[{"name":"queue","host":"demo.example","prefix":"/demo/",)"
    R"("kind":"non_idempotent","timeoutMs":3000,"targetDurationMs":1000,"priority":0,)"
    R"("service":"service","maxAttempts":2,"stretch":2.0}],"services":[{"name":"service",)"
    R"("healthPath":"/health"}],"limits":{"maxBodyBytes":262144}})";

/// A watch that waits for events or a hold that waits for the end of a run.
struct WaitingRequest {
  HttpServer* server;
  ExchangeId exchange;
  TimePoint ends_at;  ///< `answer` is called with `timed_out` from then on
  /// \returns the answer, or nothing if there is none yet; always an answer if `timed_out`.
  std::function<std::optional<ServedAnswer>(bool timed_out)> answer;
};

}  // namespace internal

struct PlatformStandin::State {
  StandinSettings settings;
  BootClock clock;
  mutable std::mutex
      mutex;  ///< guards `stopping`, the store, the checker, the targets, `entries` and `waiting`
  std::condition_variable wake;
  bool stopping = false;
  emulator::FakeStore store;
  emulator::RuleChecker checker;
  emulator::FakeTarget::SavedProgress saved_progress;
  std::vector<std::unique_ptr<emulator::FakeTarget>> targets;
  std::list<internal::WaitingRequest> waiting;
  std::unique_ptr<HttpServer> store_server;
  std::vector<std::unique_ptr<HttpServer>> target_servers;
  std::vector<TargetEntry> entries;  ///< registrations of the targets
  std::uint64_t sequence = 1;        ///< of the last registration that was written
  std::string store_address;
  std::thread thread;

  /// Serves a request to the store.
  void OnStoreRequest(const ServedRequest& request);
  /// Serves a request to the target at \a index in `targets`.
  void OnTargetRequest(std::size_t index, const ServedRequest& request);
  /// Boots, serves and registers a target. \returns false if its port cannot be opened.
  bool StartTarget(std::size_t index);
  /// Advances the store and the targets and answers waiting requests until the stop.
  void Run();
};

PlatformStandin::PlatformStandin(const StandinSettings& settings)
    : state(std::make_unique<State>()) {
  this->state->settings = settings;
}

PlatformStandin::~PlatformStandin() {
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->stopping = true;
  }
  this->state->wake.notify_one();
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
}

void PlatformStandin::State::OnStoreRequest(const ServedRequest& request) {
  const auto call = DecodeStoreCall(request);
  if (!call) {
    ServedAnswer bad_request;
    bad_request.status = 400;
    this->store_server->Answer(request.exchange, bad_request);
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const auto* watch = std::get_if<WatchPrefix>(&*call);
  if (watch == nullptr) {
    this->store_server->Answer(request.exchange,
                               EncodeStoreReply(*call, this->store.Apply(*call, now)));
    return;
  }
  this->waiting.push_back(
      {this->store_server.get(), request.exchange, now + watch->wait,
       [this, call = *call, watch = *watch](bool timed_out) -> std::optional<ServedAnswer> {
         const auto events = this->store.Poll(watch);
         if (!events && !timed_out) {
           return std::nullopt;
         }
         StoreReply no_events;
         no_events.status = StoreStatus::kOk;
         no_events.revision = watch.after_revision;
         return EncodeStoreReply(call, events ? *events : no_events);
       }});
}

void PlatformStandin::State::OnTargetRequest(std::size_t index, const ServedRequest& request) {
  HttpServer& server = *this->target_servers[index];
  const auto received = DecodeOrder(request);
  if (!received) {
    ServedAnswer answer;
    answer.status = request.path == "/health" ? 200 : 400;
    server.Answer(request.exchange, answer);
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  emulator::FakeTarget& target = *this->targets[index];
  const TimePoint now = this->clock.Now();
  if (const auto* start = std::get_if<StartOrder>(&received->order)) {
    // Callers submit to the host, so the stand-in learns of a submission only from its starts.
    this->checker.OnSubmit(start->task.submission, SubmissionSpec{}, 1);
    server.Answer(request.exchange,
                  EncodeOrderReply(target.Start(*start, received->expected, received->token,
                                                /*skip_time_bounds=*/true, now, now)));
  } else if (const auto* stop = std::get_if<StopOrder>(&received->order)) {
    server.Answer(request.exchange,
                  EncodeOrderReply(target.Stop(*stop, received->expected, received->token, now)));
  } else if (const auto* pace = std::get_if<PaceOrder>(&received->order)) {
    server.Answer(request.exchange,
                  EncodeOrderReply(target.Pace(*pace, received->expected, received->token, now)));
  } else {
    const HoldOrder hold = std::get<HoldOrder>(received->order);
    this->waiting.push_back(
        {&server, request.exchange, now + hold.wait,
         [this, &target, hold, order = *received](bool timed_out) -> std::optional<ServedAnswer> {
           if (!timed_out && !target.HasUnacknowledgedEnd(hold.acked_end)) {
             return std::nullopt;
           }
           return EncodeHoldReply(
               target.Hold(hold, order.expected, order.token, this->clock.Now()));
         }});
  }
  this->wake.notify_one();
}

bool PlatformStandin::State::StartTarget(std::size_t index) {
  this->target_servers.push_back(std::make_unique<HttpServer>(
      HttpServerLimits{},
      [this, index](const ServedRequest& request) { this->OnTargetRequest(index, request); }));
  const auto address = this->target_servers.back()->Listen(ListenAddress{});
  if (!address) {
    return false;
  }
  TargetEntry entry;
  entry.id = TargetId("i-" + std::to_string(index + 1));
  entry.service = ServiceId("service");
  entry.address = address->str();
  entry.data_centre = DataCentreId(this->settings.data_centre);
  entry.capacity = Resources{16000, 64000, 0};
  const auto workload_of = [](const TaskKey&) {
    emulator::FakeTarget::Workload workload;
    workload.length = internal::kTaskLength;
    return workload;
  };
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->targets.push_back(std::make_unique<emulator::FakeTarget>(
      entry, workload_of, &this->saved_progress, &this->checker));
  this->targets.back()->Boot(index + 1, this->clock.Now());
  entry.incarnation = index + 1;
  this->store.Write(platform::kTargetPrefix + entry.id.str(), EncodeTarget(entry, this->sequence));
  this->entries.push_back(entry);
  return true;
}

void PlatformStandin::State::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  TimePoint last_tick = this->clock.Now();
  while (!this->stopping) {
    this->wake.wait_for(lock, internal::kTick);
    const TimePoint now = this->clock.Now();
    this->store.Tick(now, /*paused=*/false);
    for (const auto& target : this->targets) {
      target->Tick(now, now - last_tick);
    }
    last_tick = now;
    for (auto waiting_request = this->waiting.begin(); waiting_request != this->waiting.end();) {
      const auto answer = waiting_request->answer(now >= waiting_request->ends_at);
      if (answer) {
        waiting_request->server->Answer(waiting_request->exchange, *answer);
      }
      waiting_request = answer ? this->waiting.erase(waiting_request) : std::next(waiting_request);
    }
  }
}

bool PlatformStandin::Start() {
  State& self = *this->state;
  self.store_server = std::make_unique<HttpServer>(
      HttpServerLimits{}, [&self](const ServedRequest& request) { self.OnStoreRequest(request); });
  const auto address = self.store_server->Listen(ListenAddress{});
  if (!address) {
    return false;
  }
  self.store_address = address->str();
  self.store.Write(platform::kConfigurationKey, internal::kConfiguration);
  self.target_servers.reserve(self.settings.targets);
  for (std::size_t index = 0; index < self.settings.targets; ++index) {
    if (!self.StartTarget(index)) {
      return false;
    }
  }
  self.thread = std::thread([&self] { self.Run(); });
  return true;
}

std::string PlatformStandin::HostSettingsText(const ListenAddress& callers,
                                              const ListenAddress& readiness,
                                              const ListenAddress& control) const {
  const std::string& data_centre = this->state->settings.data_centre;
  return "nodeName=host-1\nzone=" + data_centre + "\nzones." + data_centre +
         "=region\nlistenAddrs.front=" + callers.str() + "\nlistenAddrs.ready=" + readiness.str() +
         "\nlistenAddrs.control=" + control.str() +
         "\nplatform.address=" + this->state->store_address + "\n";
}

void PlatformStandin::WriteItem(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->store.Write(key, value);
  this->state->wake.notify_one();
}

void PlatformStandin::SetLabels(std::size_t index, const std::vector<std::string>& labels) {
  std::string key;
  std::string value;
  {
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    TargetEntry& entry = this->state->entries.at(index);
    entry.labels = labels;
    key = platform::kTargetPrefix + entry.id.str();
    value = EncodeTarget(entry, ++this->state->sequence);
  }
  this->WriteItem(key, value);
}

std::string PlatformStandin::Violations() const {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  std::string lines;
  for (const std::string& violation : this->state->checker.violations()) {
    lines += violation + "\n";
  }
  return lines;
}

}  // namespace pistachio::standin
