#include <algorithm>
#include <iterator>
#include <utility>

#include "pistachio/request/broker.h"
#include "pistachio/request/decision_records.h"
#include "pistachio/request/outcome_reasons.h"

namespace pistachio {

using internal::AttemptReason;
using internal::Flight;
using internal::OpenRequest;
using internal::PickConstraints;
using internal::PickedTarget;
using internal::QueuedRequest;
using internal::ServiceState;

namespace internal {

constexpr std::size_t kMostSkippedInQueue = 4;

PickConstraints ConstraintsOf(const OpenRequest& request) {
  return {request.tried, request.tried_racks, !request.spec.idempotent};
}

QueuedRequest QueueEntryOf(const OpenRequest& request) {
  return {request.spec.id, request.spec.caller, request.spec.deadline};
}

}  // namespace internal

void RequestBroker::On(const AttemptAnswered& event) {
  if (event.overloaded) {
    this->FailAttempt(event.attempt, AttemptFailure::kRefused, true);
    return;
  }
  const auto found = this->flights.find(event.attempt);
  if (found == this->flights.end()) {
    this->counts.duplicate_answers += 1;
    this->Report(internal::DroppedRecord(event.attempt, "unknown-attempt"));
    return;
  }
  const Flight flight = found->second;
  if (!flight.idempotent) {
    this->home.Answered(event.attempt.request.number);
  }
  const auto service = this->services.find(flight.service);
  if (service != this->services.end()) {
    this->Report(service->second.router.OnAnswer(flight.target, this->now - flight.sent,
                                                 this->slots, this->now));
  }
  const auto request = this->open.find(event.attempt.request);
  const bool wanted = request != this->open.end() &&
                      std::count(request->second.live.begin(), request->second.live.end(),
                                 event.attempt.attempt) > 0;
  if (wanted) {
    this->Close(event.attempt.request, {OutcomeKind::kAnswered, "", Duration(0)},
                event.attempt.attempt);
  } else {
    this->counts.late_answers += 1;
    this->Report(internal::DroppedRecord(event.attempt, "late"));
  }
  this->EndFlight(this->flights.find(event.attempt));
}

void RequestBroker::On(const AttemptFailed& event) {
  this->FailAttempt(event.attempt, event.failure, false);
}

void RequestBroker::FailAttempt(const AttemptKey& key, AttemptFailure failure, bool overloaded) {
  const auto found = this->flights.find(key);
  if (found == this->flights.end()) {
    this->counts.duplicate_answers += 1;
    this->Report(internal::DroppedRecord(key, "unknown-attempt"));
    return;
  }
  const bool maybe_run = failure == AttemptFailure::kMaybeRun;
  if (found->second.broken) {
    if (!maybe_run) {
      this->EndFlight(found);
    }
    return;
  }
  this->NoteFailure(found->second, overloaded);
  // An attempt of an idempotent request says nothing about the non-idempotent use of its id.
  if (!maybe_run && !found->second.idempotent) {
    this->home.ProvedNotRun(key.request.number);
  }
  found->second.broken = maybe_run;
  const auto request = this->open.find(key.request);
  if (request != this->open.end()) {
    auto& live = request->second.live;
    const auto attempt = std::find(live.begin(), live.end(), key.attempt);
    if (attempt != live.end()) {
      live.erase(attempt);
      request->second.may_have_run = request->second.may_have_run || maybe_run;
      this->AfterFailure(request->second, failure);
    }
  }
  if (!maybe_run) {
    this->EndFlight(this->flights.find(key));
  }
}

void RequestBroker::NoteFailure(const Flight& flight, bool overloaded) {
  const auto service = this->services.find(flight.service);
  // Past its deadline an attempt is given up by the sender, which is no fault of the target.
  if (service == this->services.end() || this->now >= flight.deadline) {
    return;
  }
  if (overloaded) {
    service->second.router.OnOverload(flight.target);
    return;
  }
  this->Report(service->second.router.OnFailure(flight.target, this->now));
}

void RequestBroker::AfterFailure(OpenRequest& request, AttemptFailure failure) {
  if (!request.live.empty()) {
    return;  // another attempt may still answer
  }
  const bool may_retry = request.spec.idempotent || !request.may_have_run;
  if (may_retry && !request.waiters.empty() && this->TryAgain(request, failure)) {
    return;
  }
  if (request.may_have_run) {
    this->Close(request.spec.id,
                {OutcomeKind::kUnknown, outcome_reason::kAttemptBroken, Duration(0)}, 0);
    return;
  }
  const char* reason = failure == AttemptFailure::kRefused ? outcome_reason::kTargetsRefused
                                                           : outcome_reason::kTargetsUnreachable;
  this->Close(request.spec.id, {OutcomeKind::kNotRun, reason, this->Jittered(Duration(0))}, 0);
}

bool RequestBroker::TryAgain(OpenRequest& request, AttemptFailure failure) {
  const auto found = this->services.find(request.spec.service);
  if (found == this->services.end() || !found->second.listed ||
      request.tried.size() >= this->limits.max_attempts) {
    return false;
  }
  ServiceState& service = found->second;
  const std::optional<Duration> low = service.router.latency().low();
  if (this->now + low.value_or(Duration(0)) >= request.spec.deadline) {
    return false;
  }
  // No byte of the failed attempt left, so another one instead of it adds no load.
  const bool replaces = failure == AttemptFailure::kNotSent;
  if (!replaces && !service.budget.TrySpend()) {
    this->counts.budget_exhausted += 1;
    return false;
  }
  request.next_reason = replaces ? AttemptReason::kReroute : AttemptReason::kRetry;
  if (!this->SendFromPool(request, service, request.next_reason)) {
    this->Enqueue(request, service);
  }
  return true;
}

bool RequestBroker::SendFromPool(OpenRequest& request, ServiceState& service,
                                 AttemptReason reason) {
  const std::optional<PickedTarget> picked =
      service.router.Pick(internal::ConstraintsOf(request), this->slots, this->random);
  if (!picked) {
    return false;
  }
  this->Send(request, service, *picked, reason);
  return true;
}

void RequestBroker::Send(OpenRequest& request, ServiceState& service, const PickedTarget& picked,
                         AttemptReason reason) {
  const RequestId& id = request.spec.id;
  this->last_attempt += 1;
  const AttemptKey key{id, this->last_attempt};
  if (!request.spec.idempotent) {
    this->home.LetThrough(id.number, this->now);
  }
  this->slots.Take(picked.slot);
  service.in_flight += 1;
  Flight flight;
  flight.service = request.spec.service;
  flight.target = picked.target;
  flight.slot = picked.slot;
  flight.idempotent = request.spec.idempotent;
  flight.sent = this->now;
  flight.deadline = request.spec.deadline;
  flight.release_at = request.spec.deadline + this->limits.slot_release_bound;
  this->releases.Set(flight.release_at, key);
  this->flights.emplace(key, std::move(flight));
  switch (reason) {
    case AttemptReason::kFirst:
      this->counts.first_attempts += 1;
      service.budget.EarnForFirstAttempt();
      break;
    case AttemptReason::kRetry:
      this->counts.retries += 1;
      break;
    case AttemptReason::kReroute:
      this->counts.reroutes += 1;
      break;
    case AttemptReason::kHedge:
      this->counts.hedges += 1;
      break;
  }
  request.live.push_back(key.attempt);
  request.tried.push_back(picked.target);
  request.tried_racks.push_back(picked.rack);
  const std::optional<Duration> high = service.router.latency().high();
  if (this->limits.hedging && request.spec.idempotent && !request.hedged && high &&
      this->now + *high < request.spec.deadline) {
    if (request.hedge_at) {
      this->hedges.Cancel(*request.hedge_at, id);
    }
    request.hedge_at = this->now + *high;
    this->hedges.Set(*request.hedge_at, id);
  }
  this->Report(internal::RoutedRecord(request, key.attempt, picked, reason, this->now));
  this->actions.emplace_back(SendAttempt{key, picked.target, request.spec.deadline});
}

void RequestBroker::Enqueue(OpenRequest& request, ServiceState& service) {
  const RequestId id = request.spec.id;
  request.queued = true;
  const std::optional<QueuedRequest> evicted = service.queue.Push(internal::QueueEntryOf(request));
  if (!evicted) {
    this->Report(internal::QueuedRecord(request, service.queue.size()));
    return;
  }
  OpenRequest& victim = this->open.at(evicted->id);
  victim.queued = false;
  const bool own = evicted->id == id;
  const OutcomeKind kind = victim.may_have_run ? OutcomeKind::kUnknown : OutcomeKind::kNotRun;
  const char* reason = own ? outcome_reason::kQueueFull : outcome_reason::kFairShareUsed;
  const Duration mean = service.router.latency().mean().value_or(Duration(0));
  const auto turns = static_cast<Duration::rep>(service.queue.size());
  const Duration drain = mean * turns / std::max<std::uint32_t>(service.in_flight, 1);
  this->Close(evicted->id, {kind, reason, this->Jittered(drain)}, 0);
}

void RequestBroker::Dispatch(ServiceState& service, const std::optional<TargetId>& freed) {
  while (!service.queue.empty() && this->DispatchOne(service, freed)) {
  }
}

bool RequestBroker::DispatchOne(ServiceState& service, const std::optional<TargetId>& freed) {
  std::vector<QueuedRequest> skipped;
  bool sent = false;
  while (!sent && skipped.size() < internal::kMostSkippedInQueue) {
    const std::optional<QueuedRequest> next = service.queue.Pop();
    if (!next) {
      break;
    }
    OpenRequest& request = this->open.at(next->id);
    request.queued = false;
    if (this->DropIfTooLate(request, service)) {
      continue;
    }
    const PickConstraints constraints = internal::ConstraintsOf(request);
    const std::optional<PickedTarget> picked =
        freed ? service.router.PickOnly(*freed, constraints, this->slots)
              : service.router.Pick(constraints, this->slots, this->random);
    if (!picked) {
      request.queued = true;
      skipped.push_back(*next);
      if (constraints.tried.empty()) {
        break;  // no request would get a target
      }
      continue;
    }
    this->Send(request, service, *picked, request.next_reason);
    sent = true;
  }
  for (const QueuedRequest& request : skipped) {
    service.queue.PutBack(request);
  }
  return sent;
}

bool RequestBroker::DropIfTooLate(const OpenRequest& request, ServiceState& service) {
  // While others wait, a slot goes to those that most likely end in time.
  const internal::LatencyProfile& latency = service.router.latency();
  const std::optional<Duration> needed = service.queue.empty() ? latency.low() : latency.high();
  if (!needed || this->now + *needed <= request.spec.deadline) {
    return false;
  }
  const OutcomeKind kind = request.may_have_run ? OutcomeKind::kUnknown : OutcomeKind::kNotRun;
  const Outcome outcome{kind, outcome_reason::kDeadlineInQueue, this->Jittered(*needed)};
  this->Close(request.spec.id, outcome, 0);
  return true;
}

void RequestBroker::EndFlight(Flights::iterator flight) {
  const Flight ended = flight->second;
  this->releases.Cancel(ended.release_at, flight->first);
  this->flights.erase(flight);
  this->slots.GiveBack(ended.slot);
  const auto own = this->services.find(ended.service);
  if (own != this->services.end()) {
    own->second.in_flight -= 1;
  }
  for (auto& [id, service] : this->services) {
    this->Dispatch(service, ended.target);
  }
}

void RequestBroker::AbandonLive(const OpenRequest& request, std::uint32_t except) {
  const auto service = this->services.find(request.spec.service);
  for (const std::uint32_t attempt : request.live) {
    if (attempt == except) {
      continue;
    }
    const AttemptKey key{request.spec.id, attempt};
    const Flight& flight = this->flights.at(key);
    if (service != this->services.end()) {
      this->Report(service->second.router.OnTimeout(flight.target, this->now - flight.sent,
                                                    this->slots, this->now));
    }
    // A non-idempotent attempt is read to its end: its answer is worth remembering.
    if (request.spec.idempotent) {
      this->counts.abandoned += 1;
      this->actions.emplace_back(AbandonAttempt{key});
    }
  }
}

void RequestBroker::RunHedges() {
  while (const std::optional<RequestId> id = this->hedges.PopDue(this->now)) {
    OpenRequest& request = this->open.at(*id);
    request.hedge_at.reset();
    const auto found = this->services.find(request.spec.service);
    if (request.live.size() != 1 || found == this->services.end() ||
        request.tried.size() >= this->limits.max_attempts) {
      continue;
    }
    ServiceState& service = found->second;
    if (!service.queue.empty()) {
      continue;  // requests without any attempt go first
    }
    const std::optional<PickedTarget> picked =
        service.router.Pick(internal::ConstraintsOf(request), this->slots, this->random);
    const bool other =
        picked && std::count(request.tried.begin(), request.tried.end(), picked->target) == 0;
    if (!other) {
      continue;
    }
    if (!service.budget.TrySpend()) {
      this->counts.budget_exhausted += 1;
      continue;
    }
    request.hedged = true;
    this->Send(request, service, *picked, AttemptReason::kHedge);
  }
}

void RequestBroker::RunReleases() {
  while (const std::optional<AttemptKey> key = this->releases.PopDue(this->now)) {
    const auto flight = this->flights.find(*key);
    this->counts.slots_released_by_bound += 1;
    this->Report(internal::ReleasedRecord(*key, flight->second.target));
    this->EndFlight(flight);
  }
}

void RequestBroker::RunEjections() {
  for (auto& [id, service] : this->services) {
    const std::optional<TimePoint> end = service.router.next_ejection_end();
    if (!end || *end > this->now) {
      continue;
    }
    this->Report(service.router.EndEjections(this->now));
    this->Dispatch(service, std::nullopt);
  }
}

}  // namespace pistachio
