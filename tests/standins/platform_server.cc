#include "tests/standins/platform_server.h"

namespace pistachio::standins {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

PlatformServer::PlatformServer(const Clock& clock, Duration lag)
    : clock(clock),
      lag(lag),
      server(HttpServerLimits{}, [this](const ServedRequest& request) { this->Serve(request); }),
      timers([this] { this->RunTimers(); }) {}

PlatformServer::~PlatformServer() { this->Stop(); }

std::optional<ListenAddress> PlatformServer::Listen(const ListenAddress& address) {
  return this->server.Listen(address);
}

void PlatformServer::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_all();
  if (this->timers.joinable()) {
    this->timers.join();
  }
  this->server.Stop();
}

void PlatformServer::Reply(ExchangeId exchange, int status, const WireJson& body) {
  ServedAnswer answer;
  answer.status = status;
  answer.body = body.dump();
  this->server.Answer(exchange, answer);
}

void PlatformServer::Serve(const ServedRequest& request) {
  if (request.path == "/v1/call") {
    this->ServeStore(request);
  } else if (request.path == "/v1/hosts") {
    this->ServeList(request);
  } else if (request.path == "/v1/register") {
    this->ServeRegister(request);
  } else if (request.path == "/control") {
    this->ServeControl(request);
  } else if (request.path == "/counts") {
    this->ServeCounts(request);
  } else {
    this->Reply(request.exchange, kNotFound, {{"error", "no such path"}});
  }
}

void PlatformServer::ServeStore(const ServedRequest& request) {
  const auto json = ReadJson(request.body);
  const auto call = json ? FromJson<StoreCall>(*json) : std::nullopt;
  if (!call) {
    this->Reply(request.exchange, kBadRequest, {{"error", "not a call"}});
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  const bool cut = this->faults.cut_off.count(request.Header("x-data-centre")) != 0;
  if (this->faults.down || cut) {
    this->Reply(request.exchange, kUnavailable, {{"error", "service down"}});
    return;
  }
  const TimePoint now = Now(this->clock);
  const auto* watch = std::get_if<WatchCall>(&*call);
  if (watch != nullptr) {
    this->watches.push_back(WaitingCall{now + watch->wait, request.exchange, *call});
    this->AnswerWatches(now);
    return;
  }
  const WaitingCall waiting{now + this->faults.delay, request.exchange, *call};
  if (this->faults.delay > Duration(0)) {
    this->delayed.push_back(waiting);
    this->wake.notify_all();
    return;
  }
  this->Execute(waiting);
}

void PlatformServer::Execute(const WaitingCall& waiting) {
  const StoreReply reply = this->store.Call(waiting.call);
  const bool is_write = std::holds_alternative<CompareAndSwapCall>(waiting.call) ||
                        std::holds_alternative<DeleteCall>(waiting.call);
  if (is_write && this->faults.lose_answers > 0) {
    this->faults.lose_answers--;
    return;
  }
  this->Reply(waiting.exchange, kOk, reply);
  if (is_write) {
    this->AnswerWatches(Now(this->clock));
  }
}

void PlatformServer::AnswerWatches(TimePoint now) {
  std::vector<WaitingCall> still_waiting;
  for (const WaitingCall& waiting : this->watches) {
    const bool changed = this->store.HasChanged(std::get<WatchCall>(waiting.call));
    if (!changed && now < waiting.due) {
      still_waiting.push_back(waiting);
      continue;
    }
    this->Reply(waiting.exchange, kOk, this->store.Call(waiting.call));
  }
  this->watches.swap(still_waiting);
}

void PlatformServer::ServeList(const ServedRequest& request) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const TimePoint seen = Now(this->clock) - this->lag;
  const ListVersion* shown = nullptr;
  for (const ListVersion& version : this->versions) {
    if (version.from <= seen) {
      shown = &version;
    }
  }
  WireJson targets = WireJson::array();
  WireJson hosts = WireJson::array();
  if (shown != nullptr) {
    for (const auto& [id, listing] : shown->targets) {
      targets.push_back(listing);
    }
    for (const auto& [host, centre] : shown->entry_hosts) {
      hosts.push_back({host, centre});
    }
  }
  this->Reply(request.exchange, kOk, {{"targets", targets}, {"entry_hosts", hosts}});
}

void PlatformServer::ServeRegister(const ServedRequest& request) {
  const auto json = ReadJson(request.body);
  const std::lock_guard<std::mutex> lock(this->mutex);
  ListVersion next;
  if (!this->versions.empty()) {
    next = this->versions.back();
  }
  next.from = Now(this->clock);
  const auto listing = json ? FromJson<TargetListing>(*json) : std::nullopt;
  if (listing) {
    next.targets[listing->target] = *listing;
  } else if (json && json->is_object() && json->contains("entry_host")) {
    next.entry_hosts[HostId(json->value("entry_host", ""))] =
        DataCentreId(json->value("data_centre", ""));
  } else {
    this->Reply(request.exchange, kBadRequest, {{"error", "neither target nor entry host"}});
    return;
  }
  this->versions.push_back(std::move(next));
  this->Reply(request.exchange, kOk, {{"ok", true}});
}

void PlatformServer::ServeControl(const ServedRequest& request) {
  const auto json = ReadJson(request.body);
  if (!json || !json->is_object()) {
    this->Reply(request.exchange, kBadRequest, {{"error", "not an object"}});
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->faults.down = json->value("down", this->faults.down);
  this->faults.lose_answers = json->value("lose_answers", this->faults.lose_answers);
  this->faults.delay = Duration(json->value("delay_us", this->faults.delay.count()));
  if (json->contains("cut_off")) {
    this->faults.cut_off = json->at("cut_off").get<std::set<std::string>>();
  }
  this->Reply(request.exchange, kOk, {{"ok", true}});
}

void PlatformServer::ServeCounts(const ServedRequest& request) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const StoreCounts& counts = this->store.counts();
  this->Reply(request.exchange, kOk,
              {{"reads", counts.reads},
               {"writes", counts.writes},
               {"conflicts", counts.conflicts},
               {"watches", counts.watches},
               {"bytes_in", counts.bytes_in},
               {"bytes_out", counts.bytes_out}});
}

void PlatformServer::RunTimers() {
  constexpr auto kStep = std::chrono::milliseconds(20);
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    const TimePoint now = Now(this->clock);
    std::vector<WaitingCall> due;
    std::vector<WaitingCall> later;
    for (const WaitingCall& waiting : this->delayed) {
      (waiting.due <= now ? due : later).push_back(waiting);
    }
    this->delayed.swap(later);
    for (const WaitingCall& waiting : due) {
      this->Execute(waiting);
    }
    this->AnswerWatches(now);
    this->wake.wait_for(lock, kStep);
  }
}

}  // namespace pistachio::standins
