#include "tests/standins/target_server.h"

namespace pistachio::standins {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

const char kRequestPrefix[] = "/v1/requests/";

}  // namespace

TargetServer::TargetServer(const TargetListing& listing, const Clock& clock)
    : clock(clock),
      model(listing, RandomToken() >> 1U),
      server(HttpServerLimits{}, [this](const ServedRequest& request) { this->Serve(request); }),
      timers([this] { this->RunTimers(); }) {}

TargetServer::~TargetServer() { this->Stop(); }

std::optional<ListenAddress> TargetServer::Listen(const ListenAddress& address) {
  return this->server.Listen(address);
}

void TargetServer::Stop() {
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

void TargetServer::Reply(ExchangeId exchange, int status, const WireJson& body) {
  ServedAnswer answer;
  answer.status = status;
  answer.body = body.dump();
  this->server.Answer(exchange, answer);
}

void TargetServer::Serve(const ServedRequest& request) {
  if (request.path == "/v1/command") {
    this->ServeCommand(request);
  } else if (request.path.rfind(kRequestPrefix, 0) == 0) {
    this->ServeRequest(request);
  } else if (request.path == "/counts") {
    this->Reply(request.exchange, kOk, this->Counts());
  } else if (request.path == "/control") {
    this->ServeControl(request);
  } else {
    this->Reply(request.exchange, kNotFound, {{"error", "no such path"}});
  }
}

void TargetServer::ServeCommand(const ServedRequest& request) {
  const auto json = ReadJson(request.body);
  const auto command = json ? FromJson<FencedCommand>(*json) : std::nullopt;
  if (!command) {
    this->Reply(request.exchange, kBadRequest, {{"error", "not a command"}});
    return;
  }
  CommandAnswer answer;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->commands++;
    answer = this->model.Handle(command->epoch, command->command, Now(this->clock));
    const auto slots = static_cast<double>(this->model.listing().slots);
    answer.report->load = this->slots_in_use / slots;
  }
  this->Reply(request.exchange, kOk, answer);
}

bool TargetServer::Admit(const ServiceId& service) {
  this->model.Advance(Now(this->clock));
  const bool full = this->slots_in_use >= this->model.listing().slots;
  return !this->behaviour.refuse && !full && this->model.RunsService(service);
}

void TargetServer::ServeRequest(const ServedRequest& request) {
  const ServiceId service(request.path.substr(sizeof(kRequestPrefix) - 1));
  const std::string id = request.Header("x-request-id");
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->Admit(service)) {
    this->refusals++;
    this->Reply(request.exchange, kUnavailable, {{"not_run", true}});
    return;
  }
  this->runs_by_id[id]++;
  if (request.Header("x-idempotent") != "true") {
    this->non_idempotent_runs[request.body]++;
  }
  this->slots_in_use++;
  this->most_slots_in_use = std::max(this->most_slots_in_use, this->slots_in_use);
  PendingAnswer answer;
  answer.exchange = request.exchange;
  answer.answer.body =
      WireJson{{"id", id}, {"target", this->model.listing().target}, {"echo", request.body}}.dump();
  if (this->behaviour.lose_answers > 0) {
    this->behaviour.lose_answers--;
    answer.lost = true;
  }
  this->pending.emplace(Now(this->clock) + this->behaviour.service_time, std::move(answer));
  this->wake.notify_all();
}

void TargetServer::ServeControl(const ServedRequest& request) {
  const auto json = ReadJson(request.body);
  if (!json || !json->is_object()) {
    this->Reply(request.exchange, kBadRequest, {{"error", "not an object"}});
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  TargetFaults& faults = this->model.faults();
  faults.fails_starts = json->value("fails_starts", faults.fails_starts);
  faults.ignores_epochs = json->value("ignores_epochs", faults.ignores_epochs);
  faults.slowdown = json->value("slowdown", faults.slowdown);
  this->behaviour.refuse = json->value("refuse", this->behaviour.refuse);
  this->behaviour.lose_answers = json->value("lose_answers", this->behaviour.lose_answers);
  const auto service_time = json->value("service_time_us", this->behaviour.service_time.count());
  this->behaviour.service_time = Duration(service_time);
  if (json->value("restart", false)) {
    this->model.Restart(Now(this->clock));
  }
  this->Reply(request.exchange, kOk, {{"ok", true}});
}

void TargetServer::FinishDue(std::unique_lock<std::mutex>& lock) {
  const TimePoint now = Now(this->clock);
  while (!this->pending.empty() && this->pending.begin()->first <= now) {
    const PendingAnswer due = std::move(this->pending.begin()->second);
    this->pending.erase(this->pending.begin());
    this->slots_in_use--;
    lock.unlock();
    if (!due.lost) {
      this->server.Answer(due.exchange, due.answer);
    }
    lock.lock();
  }
}

void TargetServer::RunTimers() {
  constexpr auto kIdle = std::chrono::milliseconds(50);
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    this->FinishDue(lock);
    if (this->stopping) {
      return;
    }
    Duration wait = kIdle;
    if (!this->pending.empty()) {
      wait = std::min<Duration>(wait, this->pending.begin()->first - Now(this->clock));
    }
    this->wake.wait_for(lock, std::max(wait, Duration(0)));
  }
}

WireJson TargetServer::Counts() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->model.Advance(Now(this->clock));
  WireJson intervals = WireJson::array();
  for (const RunInterval& interval : this->model.intervals()) {
    intervals.push_back({{"task", interval.task.str()},
                         {"attempt", interval.attempt},
                         {"begin_us", interval.begin.time_since_epoch().count()},
                         {"end_us", interval.end.time_since_epoch().count()},
                         {"ended", interval.ended},
                         {"state", static_cast<int>(interval.state)}});
  }
  return {{"target", this->model.listing().target},
          {"runs_by_id", this->runs_by_id},
          {"non_idempotent_runs", this->non_idempotent_runs},
          {"intervals", std::move(intervals)},
          {"most_slots_in_use", this->most_slots_in_use},
          {"slots", this->model.listing().slots},
          {"refusals", this->refusals},
          {"commands", this->commands},
          {"over_commitments", this->model.over_commitments()}};
}

}  // namespace pistachio::standins
