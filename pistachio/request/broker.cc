#include "pistachio/request/broker.h"

#include <algorithm>
#include <utility>

#include "pistachio/request/decision_records.h"
#include "pistachio/request/outcome_reasons.h"

namespace pistachio {

using internal::IdState;
using internal::OpenRequest;
using internal::ServiceState;
using internal::Waiter;

namespace internal {

constexpr Duration kStoppingRetryAfter = std::chrono::seconds(1);
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(100);

void CountOutcome(BrokerCounters& counts, OutcomeKind kind) {
  switch (kind) {
    case OutcomeKind::kAnswered:
      counts.answered += 1;
      break;
    case OutcomeKind::kNotRun:
      counts.not_run += 1;
      break;
    case OutcomeKind::kUnknown:
      counts.unknown += 1;
      break;
    case OutcomeKind::kDeadlinePassed:
      counts.deadline_passed += 1;
      break;
    case OutcomeKind::kAnsweredBefore:
      counts.answered_before += 1;
      break;
  }
}

bool IsSameRequest(const RequestSpec& a, const RequestSpec& b) {
  return a.caller == b.caller && a.service == b.service && a.idempotent == b.idempotent;
}

// Only the home knows all tries of a non-idempotent id. Tries of an idempotent one may have gone
// to any entry host.
bool EarlierTryIsPossible(const RequestSpec& spec) { return spec.idempotent && !spec.first_use; }

}  // namespace internal

RequestBroker::RequestBroker(DataCentreId data_centre, MemberId self, const BrokerLimits& limits,
                             std::uint64_t seed, TimePoint now)
    : data_centre(std::move(data_centre)),
      self(std::move(self)),
      limits(limits),
      random(seed),
      home({limits.id_memory, limits.max_remembered_ids}, now) {}

RequestId RequestBroker::IssueId(TimePoint now) {
  return RequestId{this->data_centre, this->self, this->home.Issue(now)};
}

std::vector<BrokerAction> RequestBroker::Handle(const BrokerEvent& event, TimePoint now) {
  this->now = now;
  this->actions.clear();
  // What is overdue comes first, so that an answer past the deadline is late at any rate.
  this->RunDeadlines();
  this->RunReleases();
  this->RunEjections();
  std::visit([this](const auto& body) { this->On(body); }, event);
  this->RunHedges();
  return std::exchange(this->actions, {});
}

std::optional<TimePoint> RequestBroker::next_wakeup() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](const std::optional<TimePoint>& at) {
    if (at && (!next || *at < *next)) {
      next = at;
    }
  };
  consider(this->deadlines.next());
  consider(this->hedges.next());
  consider(this->releases.next());
  for (const auto& [id, service] : this->services) {
    consider(service.router.next_ejection_end());
  }
  return next;
}

std::vector<RequestId> RequestBroker::open_requests() const {
  std::vector<RequestId> ids;
  ids.reserve(this->open.size());
  for (const auto& [id, request] : this->open) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void RequestBroker::On(const RequestArrived& event) {
  this->counts.arrived += 1;
  const auto same = this->open.find(event.spec.id);
  if (same != this->open.end()) {
    this->Join(same->second, event);
    return;
  }
  if (const std::optional<Outcome> known = this->OutcomeOfKnownId(event.spec)) {
    this->Refuse(event, *known);
    return;
  }
  if (this->stopping) {
    this->Refuse(event, this->RefusalOf(event.spec, outcome_reason::kStopping,
                                        internal::kStoppingRetryAfter));
    return;
  }
  const auto found = this->services.find(event.spec.service);
  if (found == this->services.end() || !found->second.listed) {
    this->Refuse(event, this->RefusalOf(event.spec, outcome_reason::kNoSuchService, Duration(0)));
    return;
  }
  ServiceState& service = found->second;
  OpenRequest request;
  request.spec = event.spec;
  request.spec.deadline = std::min(event.spec.deadline, this->now + this->limits.max_deadline);
  request.taken_in = this->now;
  request.waiters.push_back({event.arrival, request.spec.deadline});
  request.may_have_run = internal::EarlierTryIsPossible(event.spec);
  if (this->IsTooShort(request.spec, service)) {
    this->Refuse(event,
                 this->RefusalOf(event.spec, outcome_reason::kDeadlineTooShort, Duration(0)));
    return;
  }
  if (service.queue.empty() &&
      this->SendFromPool(request, service, internal::AttemptReason::kFirst)) {
    this->SetDeadlineTimer(request);
    this->open.emplace(request.spec.id, std::move(request));
    return;
  }
  if (const std::optional<Outcome> refusal = this->Admit(request.spec, service)) {
    this->Refuse(event, *refusal);
    return;
  }
  this->SetDeadlineTimer(request);
  const auto taken = this->open.emplace(event.spec.id, std::move(request)).first;
  this->Enqueue(taken->second, service);
}

void RequestBroker::On(const CallerLeft& event) {
  const auto found = this->open.find(event.request);
  if (found == this->open.end()) {
    return;
  }
  OpenRequest& request = found->second;
  auto& waiters = request.waiters;
  const auto gone = std::find_if(waiters.begin(), waiters.end(), [&event](const Waiter& waiter) {
    return waiter.arrival == event.arrival;
  });
  if (gone == waiters.end()) {
    return;
  }
  waiters.erase(gone);
  if (!waiters.empty()) {
    return;
  }
  // A non-idempotent attempt goes on, so that the same id can join it and be told its outcome.
  if (!request.spec.idempotent && !request.live.empty()) {
    return;
  }
  this->Close(event.request, {OutcomeKind::kUnknown, outcome_reason::kCallerLeft, Duration(0)}, 0);
}

void RequestBroker::On(const RoutesChanged& event) {
  this->slots.BeginLimits();
  for (auto& [id, service] : this->services) {
    service.listed = false;
  }
  for (const ServiceRoute& route : event.routes) {
    auto found = this->services.find(route.service);
    if (found == this->services.end()) {
      ServiceState fresh{internal::ServiceRouter(route.service, this->limits.choice,
                                                 this->limits.max_ejected_share),
                         internal::RequestQueue(this->limits.max_queued_per_service),
                         internal::AttemptBudget(this->limits.extra_attempt_share)};
      found = this->services.emplace(route.service, std::move(fresh)).first;
    }
    found->second.listed = true;
    found->second.router.SetTargets(route.targets, this->slots);
  }
  for (auto service = this->services.begin(); service != this->services.end();) {
    if (!service->second.listed) {
      service->second.router.SetTargets({}, this->slots);
    }
    const bool unused =
        !service->second.listed && service->second.in_flight == 0 && service->second.queue.empty();
    service = unused ? this->services.erase(service) : std::next(service);
  }
  this->slots.EndLimits();
  for (auto& [id, service] : this->services) {
    this->Dispatch(service, std::nullopt);
  }
}

void RequestBroker::On(const BrokerTick& /*event*/) {
  for (auto& [id, service] : this->services) {
    this->Dispatch(service, std::nullopt);
  }
}

void RequestBroker::On(const BrokerStopping& /*event*/) { this->stopping = true; }

std::optional<Outcome> RequestBroker::OutcomeOfKnownId(const RequestSpec& spec) const {
  const bool same_host =
      spec.id.data_centre == this->data_centre && spec.id.home.host == this->self.host;
  if (same_host && spec.id.home == this->self) {
    return this->OutcomeOfOwnId(spec);
  }
  if (spec.idempotent) {
    return std::nullopt;
  }
  const char* reason = same_host ? outcome_reason::kIdOfOlderIncarnation : outcome_reason::kNotHome;
  return Outcome{OutcomeKind::kUnknown, reason, Duration(0)};
}

std::optional<Outcome> RequestBroker::OutcomeOfOwnId(const RequestSpec& spec) const {
  switch (this->home.StateOf(spec.id.number, this->now)) {
    case IdState::kUnused:
      return std::nullopt;
    case IdState::kNeverIssued:
      return Outcome{OutcomeKind::kNotRun, outcome_reason::kIdNeverIssued, Duration(0)};
    case IdState::kForgotten:
      if (spec.idempotent) {
        return std::nullopt;
      }
      return Outcome{OutcomeKind::kUnknown, outcome_reason::kIdForgotten, Duration(0)};
    case IdState::kAnswered:
      if (!spec.idempotent) {
        return Outcome{OutcomeKind::kAnsweredBefore, outcome_reason::kIdFinished, Duration(0)};
      }
      return Outcome{OutcomeKind::kUnknown, outcome_reason::kIdOfOtherRequest, Duration(0)};
    case IdState::kRunning:
      break;
  }
  const char* reason =
      spec.idempotent ? outcome_reason::kIdOfOtherRequest : outcome_reason::kIdFinished;
  return Outcome{OutcomeKind::kUnknown, reason, Duration(0)};
}

void RequestBroker::Join(OpenRequest& request, const RequestArrived& event) {
  if (!internal::IsSameRequest(request.spec, event.spec)) {
    this->Refuse(event, {OutcomeKind::kUnknown, outcome_reason::kIdOfOtherRequest, Duration(0)});
    return;
  }
  this->counts.joined += 1;
  const TimePoint deadline = std::min(event.spec.deadline, request.spec.deadline);
  request.waiters.push_back({event.arrival, deadline});
  // The same caller may have tried the id at another entry host since the request was taken in.
  request.may_have_run = request.may_have_run || internal::EarlierTryIsPossible(event.spec);
  this->Report(internal::JoinedRecord(event.spec, request.waiters.size()));
  this->SetDeadlineTimer(request);
}

void RequestBroker::Refuse(const RequestArrived& event, const Outcome& outcome) {
  this->counts.refused += 1;
  internal::CountOutcome(this->counts, outcome.kind);
  this->Report(internal::RefusedRecord(event.spec, outcome));
  this->actions.emplace_back(CompleteRequest{event.spec.id, outcome, 0, event.arrival});
}

Outcome RequestBroker::RefusalOf(const RequestSpec& spec, const char* reason,
                                 Duration retry_after) {
  const OutcomeKind kind =
      internal::EarlierTryIsPossible(spec) ? OutcomeKind::kUnknown : OutcomeKind::kNotRun;
  return {kind, reason, retry_after};
}

Duration RequestBroker::Jittered(Duration hint) {
  // Half to one and a half times the hint, so that callers do not come back all at once.
  const auto base = std::max(hint, internal::kLeastRetryAfter).count();
  const auto spread = static_cast<Duration::rep>(this->random() % static_cast<std::uint64_t>(base));
  return Duration(base / 2 + spread);
}

bool RequestBroker::IsTooShort(const RequestSpec& spec, const ServiceState& service) const {
  if (spec.deadline <= this->now) {
    return true;
  }
  // With nothing in flight the attempt is made, or what was learned could never be corrected.
  const std::optional<Duration> low = service.router.latency().low();
  return low && service.in_flight > 0 && this->now + *low > spec.deadline;
}

std::optional<Outcome> RequestBroker::Admit(const RequestSpec& spec, ServiceState& service) {
  const std::optional<Duration> mean = service.router.latency().mean();
  const std::optional<Duration> high = service.router.latency().high();
  if (!mean || !high || service.in_flight == 0) {
    return std::nullopt;
  }
  const std::size_t ahead = service.queue.CountAhead(spec.caller, spec.deadline);
  const auto turns = static_cast<Duration::rep>(ahead + 1);
  const Duration wait = *mean * turns / service.in_flight;
  if (this->now + wait + *high <= spec.deadline) {
    return std::nullopt;
  }
  return this->RefusalOf(spec, outcome_reason::kDeadlineTooShort, this->Jittered(wait));
}

void RequestBroker::RunDeadlines() {
  while (const std::optional<RequestId> id = this->deadlines.PopDue(this->now)) {
    OpenRequest& request = this->open.at(*id);
    if (request.spec.deadline <= this->now) {
      this->Close(*id, this->OutcomeAtDeadline(request, true), 0);
      continue;
    }
    this->TellOverdueWaiters(request);
    if (request.waiters.empty() && (request.spec.idempotent || request.live.empty())) {
      this->Close(*id, this->OutcomeAtDeadline(request, false), 0);
      continue;
    }
    this->SetDeadlineTimer(request);
  }
}

void RequestBroker::TellOverdueWaiters(OpenRequest& request) {
  // The request goes on for other waiters, so `not run` would not stay true.
  const Outcome outcome = this->OutcomeAtDeadline(request, false);
  std::vector<Waiter> rest;
  for (const Waiter& waiter : request.waiters) {
    if (waiter.deadline > this->now) {
      rest.push_back(waiter);
      continue;
    }
    internal::CountOutcome(this->counts, outcome.kind);
    this->actions.emplace_back(CompleteRequest{request.spec.id, outcome, 0, waiter.arrival});
  }
  request.waiters = std::move(rest);
}

Outcome RequestBroker::OutcomeAtDeadline(const OpenRequest& request, bool closes) const {
  const bool sent = !request.live.empty();
  const char* reason = sent ? outcome_reason::kDeadlineInFlight : outcome_reason::kDeadlineInQueue;
  if (closes && !sent && !request.may_have_run) {
    return {OutcomeKind::kNotRun, reason, Duration(0)};
  }
  const OutcomeKind kind =
      request.spec.idempotent ? OutcomeKind::kDeadlinePassed : OutcomeKind::kUnknown;
  return {kind, reason, Duration(0)};
}

// The id comes by value: it may be a part of the request that is erased here.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void RequestBroker::Close(RequestId id, const Outcome& outcome, std::uint32_t answered_attempt) {
  const auto found = this->open.find(id);
  OpenRequest request = std::move(found->second);
  this->open.erase(found);
  this->deadlines.Cancel(request.deadline_timer, id);
  if (request.hedge_at) {
    this->hedges.Cancel(*request.hedge_at, id);
  }
  if (request.queued) {
    this->services.at(request.spec.service)
        .queue.Remove({id, request.spec.caller, request.spec.deadline});
  }
  this->AbandonLive(request, answered_attempt);
  this->Report(internal::FinishedRecord(request, outcome, this->now));
  for (const Waiter& waiter : request.waiters) {
    internal::CountOutcome(this->counts, outcome.kind);
    this->actions.emplace_back(CompleteRequest{id, outcome, answered_attempt, waiter.arrival});
  }
}

void RequestBroker::SetDeadlineTimer(OpenRequest& request) {
  this->deadlines.Cancel(request.deadline_timer, request.spec.id);
  TimePoint next = request.spec.deadline;
  for (const Waiter& waiter : request.waiters) {
    next = std::min(next, waiter.deadline);
  }
  request.deadline_timer = next;
  this->deadlines.Set(next, request.spec.id);
}

void RequestBroker::Report(EventRecord record) {
  this->actions.emplace_back(BrokerReport{std::move(record)});
}

void RequestBroker::Report(std::vector<EventRecord> records) {
  for (EventRecord& record : records) {
    if (record.code == EventCode::kTargetEjected) {
      this->counts.ejections += 1;
    }
    this->Report(std::move(record));
  }
}

}  // namespace pistachio
