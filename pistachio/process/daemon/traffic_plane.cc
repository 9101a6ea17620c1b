#include "pistachio/process/daemon/traffic_plane.h"

#include <algorithm>

#include "pistachio/process/daemon/operator_gather.h"
#include "pistachio/request/outcome_reasons.h"

namespace pistachio {

namespace internal {

constexpr int kCreated = 201;
constexpr int kMethodNotAllowed = 405;
constexpr char kCentrePrefix[] = "centre/";

TargetId TargetOfCentre(const DataCentreId& data_centre) {
  return TargetId(kCentrePrefix + data_centre.str());
}

std::optional<DataCentreId> CentreOfTarget(const TargetId& target) {
  const std::string prefix = kCentrePrefix;
  if (target.str().rfind(prefix, 0) != 0) {
    return std::nullopt;
  }
  return DataCentreId(target.str().substr(prefix.size()));
}

/// Another data centre stands in for a target only where no own target runs the service.
void AddRemoteCentres(const std::vector<RemoteCentre>& remote, std::uint32_t slots,
                      std::vector<ServiceRoute>& routes) {
  for (const RemoteCentre& centre : remote) {
    for (const ServiceId& service : centre.services) {
      auto route = std::find_if(routes.begin(), routes.end(),
                                [&service](const ServiceRoute& r) { return r.service == service; });
      if (route == routes.end()) {
        routes.push_back(ServiceRoute{service, {}});
        route = routes.end() - 1;
      }
      const bool own =
          std::any_of(route->targets.begin(), route->targets.end(),
                      [](const RouteTarget& t) { return !t.leaving && !CentreOfTarget(t.target); });
      if (!own && !centre.hosts.empty()) {
        const TargetId target = TargetOfCentre(centre.data_centre);
        route->targets.push_back(RouteTarget{target, RackId(target.str()), slots, false});
      }
    }
  }
}

}  // namespace internal

TrafficPlane::TrafficPlane(const TrafficConfig& config, TrafficPorts ports, HttpClient& client,
                           const Clock& clock, TrafficMetrics& metrics)
    : config(config),
      ports(std::move(ports)),
      client(client),
      clock(clock),
      metrics(metrics),
      broker(config.data_centre, config.self, config.limits, config.seed, Now(clock)) {}

void TrafficPlane::Serve(const ServedRequest& request) {
  if (request.method != "POST") {
    this->ports.answer(
        request.exchange,
        JsonAnswer(internal::kMethodNotAllowed, ErrorBody("only POST is served here", "use POST")));
    return;
  }
  if (request.path == "/v1/request-ids") {
    const std::string id = this->IssueId().str();
    this->ports.answer(request.exchange,
                       JsonAnswer(internal::kCreated, R"({"id":")" + id + R"("})"));
    return;
  }
  CallerRequestError error;
  const auto read = ReadCallerRequest(request, &error);
  if (!read) {
    this->ports.answer(request.exchange,
                       JsonAnswer(error.status, ErrorBody(error.problem, "see docs/API.md")));
    return;
  }
  const RequestSpec spec = this->SpecOf(*read);
  const OutcomeWaiter waiter{HttpCaller{request.exchange}, spec.id, spec.service, spec.idempotent,
                             Now(this->clock)};
  this->Arrive(spec, waiter, request.body);
}

RequestId TrafficPlane::IssueId() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->broker.IssueId(Now(this->clock));
}

RequestSpec TrafficPlane::SpecOf(const CallerRequest& read) {
  const Duration timeout = read.timeout.value_or(this->config.default_timeout);
  RequestSpec spec;
  spec.service = read.service;
  spec.caller = read.caller;
  spec.idempotent = read.idempotent;
  spec.deadline = Now(this->clock) + std::min(timeout, this->config.limits.max_deadline);
  spec.first_use = !read.id;
  spec.id = read.id ? *read.id : this->IssueId();
  return spec;
}

void TrafficPlane::Arrive(const RequestSpec& spec, const OutcomeWaiter& waiter,
                          const std::string& body) {
  Effects effects;
  const IdRoute route = RouteOfId(spec, this->config.data_centre, this->config.self, std::nullopt);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (const auto* home = std::get_if<ForwardToHome>(&route)) {
      this->PassToHome(*home, spec, waiter, body, effects);
    } else if (const auto* told = std::get_if<TellOutcome>(&route)) {
      effects.answers.push_back(AnswerToTell{waiter, told->outcome, 0, ""});
    } else {
      this->Admit(spec, waiter, body, effects);
    }
  }
  this->CarryOut(effects);
  this->ports.wake();
}

void TrafficPlane::PassToHome(const ForwardToHome& home, const RequestSpec& spec,
                              const OutcomeWaiter& waiter, const std::string& body,
                              Effects& effects) {
  const std::uint64_t number = this->next_forward++;
  PeerForward forward;
  forward.forward = number;
  forward.id = spec.id;
  forward.caller = spec.caller;
  forward.service = spec.service;
  forward.time_left = spec.deadline - Now(this->clock);
  forward.idempotent = spec.idempotent;
  forward.body = body;
  this->passed_on[number] = PassedOn{waiter, spec.deadline};
  effects.messages.push_back(MessageToSend{home.host, std::move(forward), number, {}});
}

void TrafficPlane::Admit(const RequestSpec& spec, const OutcomeWaiter& waiter,
                         const std::string& body, Effects& effects) {
  const ArrivalNumber arrival = this->next_arrival++;
  this->waiters[arrival] = waiter;
  Body& held = this->bodies[spec.id];
  // Whoever asks again joins the request that is in hand; its body stays the first one.
  if (held.waiters == 0) {
    held.bytes = body;
    this->specs[spec.id] = spec;
  }
  held.waiters++;
  this->Feed(RequestArrived{spec, arrival}, nullptr, effects);
}

void TrafficPlane::Feed(const BrokerEvent& event, const TargetAnswer* answer, Effects& effects) {
  for (const BrokerAction& action : this->broker.Handle(event, Now(this->clock))) {
    std::visit([&](const auto& typed) { this->Do(typed, answer, effects); }, action);
  }
}

void TrafficPlane::Do(const SendAttempt& action, const TargetAnswer* /*answer*/, Effects& effects) {
  AttemptToSend sending;
  sending.attempt = action;
  const auto body = this->bodies.find(action.attempt.request);
  if (body != this->bodies.end()) {
    sending.body = body->second.bytes;
    sending.spec = this->specs.at(action.attempt.request);
  }
  if (internal::CentreOfTarget(action.target)) {
    this->SendToCentre(sending, effects);
    return;
  }
  const auto address = this->addresses.find(action.target);
  sending.address = address == this->addresses.end() ? std::string() : address->second;
  effects.attempts.push_back(std::move(sending));
}

void TrafficPlane::SendToCentre(const AttemptToSend& sending, Effects& effects) {
  const auto centre = internal::CentreOfTarget(sending.attempt.target);
  const std::vector<HostId>& hosts = this->remote_hosts[*centre];
  const std::uint64_t number = this->next_forward++;
  PeerForward forward;
  forward.forward = number;
  forward.is_attempt = true;
  forward.id = sending.spec.id;
  forward.caller = sending.spec.caller;
  forward.service = sending.spec.service;
  forward.time_left = sending.attempt.deadline - Now(this->clock);
  forward.idempotent = sending.spec.idempotent;
  forward.body = sending.body;
  this->passed_on[number] = PassedOn{sending.attempt.attempt, sending.attempt.deadline};
  MessageToSend message{HostId(), std::move(forward), number, {}};
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    message.others.push_back(hosts[(number + i) % hosts.size()]);
  }
  effects.messages.push_back(std::move(message));
}

void TrafficPlane::Do(const AbandonAttempt& /*action*/, const TargetAnswer* /*answer*/,
                      Effects& /*effects*/) {
  // The call goes on to its end, which is when the slot is free; the broker drops its answer.
}

void TrafficPlane::Do(const CompleteRequest& action, const TargetAnswer* answer, Effects& effects) {
  const auto waiter = this->waiters.find(action.arrival);
  if (waiter == this->waiters.end()) {
    return;
  }
  AnswerToTell telling{waiter->second, action.outcome, 0, ""};
  if (action.outcome.kind == OutcomeKind::kAnswered && answer != nullptr) {
    telling.status = answer->status;
    telling.body = answer->body;
  }
  this->waiters.erase(waiter);
  const auto body = this->bodies.find(action.request);
  if (body != this->bodies.end() && --body->second.waiters == 0) {
    this->bodies.erase(body);
    this->specs.erase(action.request);
  }
  effects.answers.push_back(std::move(telling));
}

void TrafficPlane::Do(const BrokerReport& action, const TargetAnswer* /*answer*/,
                      Effects& effects) {
  effects.events.push_back(action.event);
}

void TrafficPlane::CarryOut(Effects& effects) {
  for (const EventRecord& event : effects.events) {
    this->ports.report(event);
  }
  for (const AnswerToTell& answer : effects.answers) {
    this->Tell(answer);
  }
  for (const AttemptToSend& sending : effects.attempts) {
    this->Send(sending);
  }
  for (const MessageToSend& sending : effects.messages) {
    this->SendMessage(sending);
  }
}

void TrafficPlane::SendMessage(const MessageToSend& sending) {
  // A message that no connection took has not left, so the next host may get it.
  std::vector<HostId> hosts = sending.others;
  if (hosts.empty()) {
    hosts.push_back(sending.to);
  }
  for (const HostId& host : hosts) {
    if (this->ports.send_peer(host, sending.message)) {
      return;
    }
  }
  PeerForwardAnswer not_sent;
  not_sent.forward = sending.forward;
  not_sent.outcome = OutcomeOfUnreachableHome();
  // Without its home nobody knows what an earlier try of the id did; an attempt is known unsent.
  if (std::get<PeerForward>(sending.message).is_attempt) {
    not_sent.outcome =
        Outcome{OutcomeKind::kNotRun, outcome_reason::kTargetsUnreachable, Duration(0)};
  }
  this->Take(sending.to, not_sent);
}

void TrafficPlane::Send(const AttemptToSend& sending) {
  const AttemptKey key = sending.attempt.attempt;
  const Duration time_left = sending.attempt.deadline - Now(this->clock);
  if (sending.address.empty() || time_left <= Duration(0)) {
    TargetAnswer not_sent;
    not_sent.failure = AttemptFailure::kNotSent;
    this->EndAttempt(key, not_sent);
    return;
  }
  TargetRequest request;
  request.address = sending.address;
  request.id = key.request;
  request.attempt = key.attempt;
  request.service = sending.spec.service;
  request.body = sending.body;
  request.time_left = time_left;
  request.idempotent = sending.spec.idempotent;
  SendRequestToTarget(this->client, request,
                      [this, key](const TargetAnswer& answer) { this->EndAttempt(key, answer); });
}

void TrafficPlane::EndAttempt(const AttemptKey& attempt, const TargetAnswer& answer) {
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (answer.failure) {
      this->Feed(AttemptFailed{attempt, *answer.failure}, nullptr, effects);
    } else {
      this->Feed(AttemptAnswered{attempt, false}, &answer, effects);
    }
  }
  this->CarryOut(effects);
}

void TrafficPlane::Tell(const AnswerToTell& telling) {
  const OutcomeWaiter& waiter = telling.waiter;
  this->metrics.get().Observe(waiter.service, telling.outcome.kind,
                              Now(this->clock) - waiter.arrived);
  if (const auto* peer = std::get_if<PeerCaller>(&waiter.caller)) {
    PeerForwardAnswer answer;
    answer.forward = peer->forward;
    answer.outcome = telling.outcome;
    answer.status = telling.status;
    answer.body = telling.body;
    this->ports.send_peer(peer->peer, answer);
    return;
  }
  const bool answered = telling.outcome.kind == OutcomeKind::kAnswered;
  ServedAnswer answer = answered ? JsonAnswer(telling.status, telling.body)
                                 : AnswerOfOutcome(telling.outcome, waiter.idempotent);
  answer.headers.emplace_back("X-Request-Id", waiter.id.str());
  answer.headers.emplace_back("X-Outcome", NameOf(telling.outcome.kind));
  this->ports.answer(std::get<HttpCaller>(waiter.caller).exchange, answer);
}

void TrafficPlane::Take(const HostId& from, const PeerForward& forward) {
  RequestSpec spec;
  spec.caller = forward.caller;
  spec.service = forward.service;
  spec.idempotent = forward.idempotent;
  spec.deadline = Now(this->clock) + std::min(forward.time_left, this->config.limits.max_deadline);
  spec.id = forward.id;
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (forward.is_attempt) {
      spec.id = this->broker.IssueId(Now(this->clock));
      spec.first_use = true;
    }
    const OutcomeWaiter waiter{PeerCaller{from, forward.forward}, spec.id, spec.service,
                               spec.idempotent, Now(this->clock)};
    this->Admit(spec, waiter, forward.body, effects);
  }
  this->CarryOut(effects);
  this->ports.wake();
}

void TrafficPlane::Take(const HostId& /*from*/, const PeerForwardAnswer& answer) {
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->passed_on.find(answer.forward);
    if (found == this->passed_on.end()) {
      return;
    }
    const PassedOn passed = std::move(found->second);
    this->passed_on.erase(found);
    if (const auto* waiter = std::get_if<OutcomeWaiter>(&passed.origin)) {
      effects.answers.push_back(AnswerToTell{*waiter, answer.outcome, answer.status, answer.body});
    } else {
      const AttemptKey& key = std::get<AttemptKey>(passed.origin);
      TargetAnswer whole;
      whole.status = answer.status;
      whole.body = answer.body;
      switch (answer.outcome.kind) {
        case OutcomeKind::kAnswered:
          this->Feed(AttemptAnswered{key, false}, &whole, effects);
          break;
        case OutcomeKind::kNotRun:
          this->Feed(AttemptFailed{key, AttemptFailure::kRefused}, nullptr, effects);
          break;
        default:
          this->Feed(AttemptFailed{key, AttemptFailure::kMaybeRun}, nullptr, effects);
      }
    }
  }
  this->CarryOut(effects);
}

void TrafficPlane::ExpirePassedOn(Effects& effects) {
  const TimePoint now = Now(this->clock);
  for (auto passed = this->passed_on.begin(); passed != this->passed_on.end();) {
    if (now < passed->second.deadline) {
      ++passed;
      continue;
    }
    if (const auto* waiter = std::get_if<OutcomeWaiter>(&passed->second.origin)) {
      effects.answers.push_back(AnswerToTell{*waiter, OutcomeOfUnreachableHome(), 0, ""});
    } else {
      this->Feed(
          AttemptFailed{std::get<AttemptKey>(passed->second.origin), AttemptFailure::kMaybeRun},
          nullptr, effects);
    }
    passed = this->passed_on.erase(passed);
  }
}

void TrafficPlane::UpdateRoutes(const std::vector<ServiceRoute>& routes,
                                const std::vector<RemoteCentre>& remote,
                                const std::map<TargetId, std::string>& addresses) {
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->addresses = addresses;
    this->remote_hosts.clear();
    for (const RemoteCentre& centre : remote) {
      this->remote_hosts[centre.data_centre] = centre.hosts;
    }
    RoutesChanged changed{routes};
    internal::AddRemoteCentres(remote, this->config.remote_slots, changed.routes);
    this->Feed(changed, nullptr, effects);
  }
  this->CarryOut(effects);
}

void TrafficPlane::Tick() {
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Feed(BrokerTick{}, nullptr, effects);
    this->ExpirePassedOn(effects);
  }
  this->CarryOut(effects);
}

void TrafficPlane::BeginStop() {
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Feed(BrokerStopping{}, nullptr, effects);
  }
  this->CarryOut(effects);
}

bool TrafficPlane::busy() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return !this->waiters.empty() || !this->passed_on.empty() ||
         this->broker.attempts_in_flight() > 0;
}

std::vector<RequestId> TrafficPlane::open_requests() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<RequestId> open = this->broker.open_requests();
  for (const auto& [number, passed] : this->passed_on) {
    if (const auto* waiter = std::get_if<OutcomeWaiter>(&passed.origin)) {
      open.push_back(waiter->id);
    }
  }
  return open;
}

BrokerCounters TrafficPlane::counters() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->broker.counters();
}

}  // namespace pistachio
