#include "tests/request/request_world.h"

#include <algorithm>
#include <variant>

namespace pistachio::testing {

constexpr std::uint32_t kRackSize = 2;
constexpr std::uint32_t kQueueSize = 6;
constexpr std::uint32_t kCallers = 3;

RequestWorld::RequestWorld(std::uint64_t seed, Duration slot_release_bound)
    : slot_release_bound(slot_release_bound), seed(seed), hosts(kHosts) {
  for (std::uint32_t host = 0; host < kHosts; ++host) {
    this->StartHost(host);
  }
}

void RequestWorld::StartHost(std::uint32_t index) {
  Host& host = this->hosts[index];
  host.incarnation = ++this->last_incarnation;
  host.slots.assign(kTargets, kSlots);
  host.leaving.assign(kTargets, false);
  BrokerLimits limits;
  limits.max_queued_per_service = kQueueSize;
  limits.slot_release_bound = this->slot_release_bound;
  const MemberId self{HostId("h" + std::to_string(index)), host.incarnation};
  host.broker.emplace(DataCentreId("dc"), self, limits, this->seed + host.incarnation, this->now);
  this->SendRoutes(index);
}

void RequestWorld::SendRoutes(std::uint32_t host) {
  ServiceRoute route{ServiceId("service"), {}};
  for (std::uint32_t target = 0; target < kTargets; ++target) {
    route.targets.push_back({TargetId(std::to_string(target)),
                             RackId("r" + std::to_string(target / kRackSize)),
                             this->hosts[host].slots[target], this->hosts[host].leaving[target]});
  }
  this->Feed(host, RoutesChanged{{route}});
}

std::size_t RequestWorld::SendNew(std::uint32_t host, bool idempotent, Duration within) {
  RequestSpec spec;
  spec.id = this->hosts[host].broker->IssueId(this->now);
  spec.caller = CallerId("c" + std::to_string(this->requests.size() % kCallers));
  spec.service = ServiceId("service");
  spec.deadline = this->now + within;
  spec.idempotent = idempotent;
  spec.first_use = true;
  const std::size_t index = this->requests.size();
  if (!this->request_of.emplace(spec.id, index).second) {
    this->Fault("an id was handed out twice: " + spec.id.str());
  }
  this->requests.emplace_back();
  this->requests[index].spec = spec;
  this->requests[index].first_try = this->last_arrival + 1;
  this->Arrive(index, host, spec);
  return index;
}

void RequestWorld::SendAgain(std::size_t index, std::uint32_t host, Duration within,
                             bool home_reachable) {
  RequestSpec spec = this->requests[index].spec;
  spec.deadline = this->now + within;
  spec.first_use = false;
  const MemberId self{HostId("h" + std::to_string(host)), this->hosts[host].incarnation};
  const std::uint32_t home = spec.id.home.host == HostId("h0") ? 0 : 1;
  std::optional<MemberId> connected;
  if (home_reachable) {
    connected = MemberId{spec.id.home.host, this->hosts[home].incarnation};
  }
  const IdRoute route = RouteOfId(spec, DataCentreId("dc"), self, connected);
  const auto* told = std::get_if<TellOutcome>(&route);
  const bool forwards = std::holds_alternative<ForwardToHome>(route);
  if (told == nullptr && (!forwards || home_reachable)) {
    this->Arrive(index, forwards ? home : host, spec);
    return;
  }
  const Outcome outcome = told != nullptr ? told->outcome : OutcomeOfUnreachableHome();
  const ArrivalNumber arrival = ++this->last_arrival;
  this->requests[index].last_try = arrival;
  this->requests[index].told_not_run = false;
  this->tries[arrival] = {index, host, spec.deadline, std::nullopt, false, false};
  this->OnComplete(CompleteRequest{spec.id, outcome, 0, arrival});
}

void RequestWorld::Arrive(std::size_t index, std::uint32_t host, const RequestSpec& spec) {
  const ArrivalNumber arrival = ++this->last_arrival;
  this->requests[index].last_try = arrival;
  this->requests[index].told_not_run = false;
  this->tries[arrival] = {index, host, spec.deadline, std::nullopt, false, false};
  this->Feed(host, RequestArrived{spec, arrival});
}

void RequestWorld::Leave(std::size_t index) {
  const Request& request = this->requests[index];
  Try& first = this->tries.at(request.first_try);
  if (first.left || first.outcome || first.host_died) {
    return;
  }
  first.left = true;
  this->Feed(first.host, CallerLeft{request.spec.id, request.first_try});
}

void RequestWorld::Resolve(Fate fate) {
  if (!this->underway.empty()) {
    this->ResolveAt(0, fate);
  }
}

void RequestWorld::ResolveAt(std::size_t index, Fate fate) {
  const Attempt attempt = this->underway[index];
  this->underway.erase(this->underway.begin() + static_cast<std::ptrdiff_t>(index));
  const AttemptKey& key = attempt.sent.attempt;
  const AttemptAnswered answer{key, false};
  const AttemptFailed broken{key, AttemptFailure::kMaybeRun};
  switch (fate) {
    case Fate::kAnswered:
    case Fate::kAnsweredTwice:
      this->Run(attempt);
      this->EndRun(attempt);
      if (fate == Fate::kAnsweredTwice) {
        this->held.push_back({attempt, false, answer});
      }
      this->Return(attempt, answer);
      return;
    case Fate::kLostBefore:
    case Fate::kRefused:
    case Fate::kOverloaded:
      this->RequestOf(attempt).may_run -= 1;
      this->EndRun(attempt);
      if (fate == Fate::kOverloaded) {
        this->Return(attempt, AttemptAnswered{key, true});
        return;
      }
      this->Return(attempt, AttemptFailed{key, fate == Fate::kRefused ? AttemptFailure::kRefused
                                                                      : AttemptFailure::kNotSent});
      return;
    case Fate::kCutBefore:
      this->EndRun(attempt);
      this->Return(attempt, broken);
      return;
    case Fate::kCutAfter:
      this->Run(attempt);
      this->Return(attempt, broken);
      return;
    case Fate::kAnsweredLate:
      this->Run(attempt);
      this->held.push_back({attempt, true, answer});
      return;
    case Fate::kNeverHeard:
      this->Run(attempt);
      return;
    case Fate::kFailsAndAnswers:
      this->Run(attempt);
      this->held.push_back({attempt, true, answer});
      this->Return(attempt, broken);
      return;
  }
}

void RequestWorld::DeliverHeld() {
  if (this->held.empty()) {
    return;
  }
  const Held first = this->held.front();
  this->held.erase(this->held.begin());
  if (first.ends_run) {
    this->EndRun(first.attempt);
  }
  this->Return(first.attempt, first.event);
}

void RequestWorld::RestartHost(std::uint32_t host) {
  for (auto& [arrival, attempt] : this->tries) {
    if (attempt.host == host && !attempt.outcome) {
      attempt.host_died = true;
    }
  }
  this->StartHost(host);
}

void RequestWorld::SetSlots(std::uint32_t host, std::uint32_t target, std::uint32_t slots,
                            bool leaving) {
  this->hosts[host].slots[target] = slots;
  this->hosts[host].leaving[target] = leaving;
  this->SendRoutes(host);
}

void RequestWorld::Stop(std::uint32_t host) { this->Feed(host, BrokerStopping{}); }

void RequestWorld::Advance(Duration step) {
  const TimePoint end = this->now + step;
  for (auto next = this->NextInstant(); next && *next <= end; next = this->NextInstant()) {
    this->now = std::max(this->now, *next);
    this->ResolveOverdue();
    for (std::uint32_t host = 0; host < kHosts; ++host) {
      const auto wakeup = this->hosts[host].broker->next_wakeup();
      if (wakeup && *wakeup <= this->now) {
        this->Feed(host, BrokerTick{});
      }
    }
  }
  this->now = end;
}

std::optional<TimePoint> RequestWorld::NextInstant() const {
  std::optional<TimePoint> next;
  for (const Host& host : this->hosts) {
    const auto wakeup = host.broker->next_wakeup();
    if (wakeup && (!next || *wakeup < *next)) {
      next = wakeup;
    }
  }
  for (const Attempt& attempt : this->underway) {
    if (!next || attempt.sent.deadline < *next) {
      next = attempt.sent.deadline;
    }
  }
  return next;
}

void RequestWorld::ResolveOverdue() {
  for (std::size_t i = 0; i < this->underway.size();) {
    if (this->underway[i].sent.deadline <= this->now) {
      this->ResolveAt(i, Fate::kAnsweredLate);
    } else {
      ++i;
    }
  }
  // Targets end what they run within the bound after its deadline.
  const TimePoint ended = this->now - this->slot_release_bound;
  this->running.erase(
      std::remove_if(this->running.begin(), this->running.end(),
                     [ended](const Attempt& run) { return run.sent.deadline <= ended; }),
      this->running.end());
}

void RequestWorld::Settle() {
  constexpr Duration kLong = std::chrono::minutes(2);
  while (!this->underway.empty()) {
    this->Resolve(Fate::kAnswered);
  }
  this->Advance(kLong);
  while (!this->underway.empty() || !this->held.empty()) {
    this->Resolve(Fate::kAnswered);
    this->DeliverHeld();
  }
  this->Advance(kLong);
}

void RequestWorld::CheckSettled() {
  for (const auto& [arrival, attempt] : this->tries) {
    if (!attempt.outcome && !attempt.left && !attempt.host_died) {
      this->Fault("no outcome for arrival " + std::to_string(arrival));
    }
  }
  for (const Host& host : this->hosts) {
    const BrokerCounters& counters = host.broker->counters();
    if (static_cast<double>(counters.retries + counters.hedges) >
        0.1 * static_cast<double>(counters.first_attempts)) {
      this->Fault("more extra attempts than the budget allows");
    }
    if (host.broker->attempts_in_flight() != 0 || !host.broker->open_requests().empty()) {
      this->Fault("the broker is not empty at the end");
    }
  }
}

void RequestWorld::Feed(std::uint32_t host, const BrokerEvent& event) {
  for (const BrokerAction& action : this->hosts[host].broker->Handle(event, this->now)) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      this->OnSend(host, *send);
    } else if (const auto* complete = std::get_if<CompleteRequest>(&action)) {
      this->OnComplete(*complete);
    }
  }
}

void RequestWorld::OnSend(std::uint32_t host, const SendAttempt& sent) {
  const auto target = static_cast<std::uint32_t>(std::stoul(sent.target.str()));
  const Attempt attempt{host, this->hosts[host].incarnation, target, sent};
  Request& request = this->RequestOf(attempt);
  if (!request.spec.idempotent && request.may_run > 0) {
    this->Fault("second send of " + request.spec.id.str());
  }
  if (!request.spec.idempotent &&
      request.spec.id.home.incarnation != this->hosts[host].incarnation) {
    this->Fault("an id of an older life was sent: " + request.spec.id.str());
  }
  if (this->hosts[host].leaving[target]) {
    this->Fault("new work for a leaving target");
  }
  if (sent.deadline <= this->now) {
    this->Fault("sent past the deadline");
  }
  request.may_run += 1;
  this->underway.push_back(attempt);
  this->running.push_back(attempt);
  if (this->CountRunning(host, target) > this->hosts[host].slots[target]) {
    this->Fault("slots exceeded at target " + sent.target.str());
  }
}

void RequestWorld::OnComplete(const CompleteRequest& complete) {
  Try& attempt = this->tries.at(complete.arrival);
  Request& request = this->requests[attempt.request];
  const OutcomeKind kind = complete.outcome.kind;
  this->outcomes[kind] += 1;
  if (attempt.outcome || attempt.left || attempt.host_died) {
    this->Fault("an outcome that nobody waits for");
  }
  if (this->now > attempt.deadline) {
    this->Fault("an outcome past the deadline");
  }
  if (!(complete.request == request.spec.id)) {
    this->Fault("an outcome for another request");
  }
  attempt.outcome = kind;
  const std::uint64_t life = this->hosts[attempt.host].incarnation;
  if (kind == OutcomeKind::kAnswered &&
      this->answers.count({life, complete.answered_attempt}) == 0) {
    this->Fault("answered by an attempt without an answer");
  }
  const bool has_run = kind == OutcomeKind::kAnswered || kind == OutcomeKind::kAnsweredBefore;
  if (has_run && request.runs == 0) {
    this->Fault("answered without a run");
  }
  if (kind == OutcomeKind::kNotRun) {
    this->CheckNotRun(request, complete.arrival);
  }
}

void RequestWorld::CheckNotRun(Request& request, ArrivalNumber arrival) {
  // Two tries of an idempotent id may be open at two entry hosts; `not run` speaks of the one and
  // of what came before it.
  if (request.spec.idempotent && request.last_try != arrival) {
    return;
  }
  if (request.runs > 0 || request.may_run > 0) {
    this->Fault("`not run` is not true for " + request.spec.id.str());
  }
  request.told_not_run = true;
}

void RequestWorld::Run(const Attempt& attempt) {
  Request& request = this->RequestOf(attempt);
  request.runs += 1;
  if (request.told_not_run) {
    this->Fault("it ran after `not run`: " + request.spec.id.str());
  }
  if (!request.spec.idempotent && request.runs > 1) {
    this->Fault("second run of " + request.spec.id.str());
  }
}

void RequestWorld::Return(const Attempt& attempt, const BrokerEvent& event) {
  if (this->hosts[attempt.host].incarnation != attempt.incarnation) {
    return;
  }
  if (const auto* answer = std::get_if<AttemptAnswered>(&event)) {
    if (!answer->overloaded) {
      this->answers.emplace(attempt.incarnation, answer->attempt.attempt);
    }
  }
  this->Feed(attempt.host, event);
}

void RequestWorld::EndRun(const Attempt& attempt) {
  const auto run =
      std::find_if(this->running.begin(), this->running.end(), [&attempt](const Attempt& other) {
        return other.incarnation == attempt.incarnation &&
               other.sent.attempt == attempt.sent.attempt;
      });
  if (run != this->running.end()) {
    this->running.erase(run);
  }
}

std::size_t RequestWorld::CountRunning(std::uint32_t host, std::uint32_t target) const {
  const std::uint64_t life = this->hosts[host].incarnation;
  return static_cast<std::size_t>(
      std::count_if(this->running.begin(), this->running.end(), [&](const Attempt& run) {
        const bool ended = run.sent.deadline + this->slot_release_bound <= this->now;
        return run.incarnation == life && run.target == target && !ended;
      }));
}

RequestWorld::Request& RequestWorld::RequestOf(const Attempt& attempt) {
  return this->requests[this->request_of.at(attempt.sent.attempt.request)];
}

std::optional<OutcomeKind> RequestWorld::first_outcome(std::size_t request) const {
  return this->tries.at(this->requests[request].first_try).outcome;
}

void RequestWorld::Fault(const std::string& text) {
  const auto at = std::to_string(this->now.time_since_epoch().count());
  this->found.push_back("at " + at + ": " + text);
}

}  // namespace pistachio::testing
