#include "bench/requests/simulation.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace pistachio::bench {

constexpr std::uint64_t kServiceStream = 0x5e41;
constexpr std::uint64_t kBalancerStream = 0xba1a;
constexpr std::uint32_t kCallers = 20;
constexpr Duration kRepeatPause = std::chrono::milliseconds(10);

Simulation::Simulation(const Scenario& scenario, const Policy& policy, std::uint64_t seed)
    : scenario(scenario),
      arrivals(seed),
      service_times(seed ^ kServiceStream),
      balancer(seed ^ kBalancerStream),
      service_time(std::log(static_cast<double>(scenario.median_service_time.count())),
                   scenario.service_time_sigma),
      now(this->start),
      targets(scenario.targets) {
  BrokerLimits limits;
  limits.choice = policy.choice;
  limits.hedging = policy.hedging;
  for (std::uint32_t i = 0; i < scenario.entry_hosts; ++i) {
    const MemberId member{HostId("h" + std::to_string(i)), i + 1};
    this->hosts.push_back({RequestBroker(DataCentreId("dc"), member, limits, seed + i, this->now),
                           false, std::nullopt});
  }
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    this->target_of.emplace(TargetId("t" + std::to_string(i)), i);
  }
}

RunResult Simulation::Run() {
  this->SendRoutes();
  this->At(this->start, NewCall{});
  const FaultPlan& faults = this->scenario.faults;
  if (faults.from > Duration(0)) {
    this->At(this->start + faults.from, FaultsChange{});
  }
  if (faults.until > Duration(0)) {
    this->At(this->start + faults.until, FaultsChange{});
  }
  if (faults.entry_host_dies) {
    this->reassigned_at = this->start + faults.from + this->scenario.slot_reassignment;
    this->At(this->reassigned_at, SlotsReassigned{});
  }
  while (!this->events.empty()) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    std::visit([this](const auto& body) { this->On(body); }, event.body);
  }
  this->result.measured = this->scenario.length - this->scenario.measure_from;
  std::sort(this->result.latencies.begin(), this->result.latencies.end());
  for (const Host& host : this->hosts) {
    const BrokerCounters& counters = host.broker.counters();
    this->result.counters.first_attempts += counters.first_attempts;
    this->result.counters.retries += counters.retries;
    this->result.counters.hedges += counters.hedges;
    this->result.counters.reroutes += counters.reroutes;
    this->result.counters.refused += counters.refused;
    this->result.counters.ejections += counters.ejections;
    this->result.counters.budget_exhausted += counters.budget_exhausted;
  }
  return std::move(this->result);
}

void Simulation::At(TimePoint at, Body body) {
  this->events.push({at, this->next_order++, std::move(body)});
}

void Simulation::On(const NewCall& /*event*/) {
  Call call;
  call.arrived = this->now;
  call.idempotent = std::bernoulli_distribution(this->scenario.idempotent_share)(this->arrivals);
  this->calls.push_back(call);
  if (this->IsMeasured(call)) {
    this->result.offered += 1;
  }
  this->Enter(this->calls.size() - 1);
  const double rate = CapacityOf(this->scenario) * this->LoadAt(this->now);
  const double gap_us = std::exponential_distribution<double>(rate / 1e6)(this->arrivals);
  const TimePoint next = this->now + Duration(static_cast<Duration::rep>(gap_us) + 1);
  if (next < this->start + this->scenario.length) {
    this->At(next, NewCall{});
  }
}

void Simulation::Enter(std::size_t call) {
  const std::size_t host = this->RandomHost(false);
  if (this->hosts[host].dead) {
    this->Finish(call, OutcomeKind::kUnknown);
    return;
  }
  if (this->scenario.sharing == SlotSharing::kDivided) {
    this->On(AtHost{call, host});
    return;
  }
  const std::size_t owner = this->RandomOwner();
  this->At(this->now + (owner == host ? Duration(0) : this->scenario.one_way), AtHost{call, owner});
}

void Simulation::On(const AtHost& event) {
  Call& call = this->calls[event.call];
  Host& host = this->hosts[event.host];
  if (host.dead) {
    this->Finish(event.call, OutcomeKind::kUnknown);
    return;
  }
  call.home = event.host;
  RequestSpec spec;
  spec.id = host.broker.IssueId(this->now);
  spec.caller = CallerId("c" + std::to_string(event.call % kCallers));
  spec.service = ServiceId("service");
  spec.deadline = call.arrived + this->scenario.deadline;
  spec.idempotent = call.idempotent;
  spec.first_use = true;
  this->Feed(event.host, RequestArrived{spec, event.call});
}

void Simulation::On(const Tick& event) {
  Host& host = this->hosts[event.host];
  if (host.tick_at == this->now) {
    host.tick_at.reset();
    this->Feed(event.host, BrokerTick{});
  }
}

void Simulation::On(const AtTarget& event) {
  Target& target = this->targets[event.target];
  const TimePoint back = this->now + this->scenario.one_way;
  const AttemptKey& attempt = event.sent.attempt;
  if (target.dead) {
    this->At(back, BackAtHost{event.host, AttemptFailed{attempt, AttemptFailure::kNotSent}});
    return;
  }
  if (target.running >= this->scenario.slots) {
    this->result.slots_exceeded += 1;
    this->At(back, BackAtHost{event.host, AttemptAnswered{attempt, true}});
    return;
  }
  target.running += 1;
  const TimePoint end = this->now + this->ServiceTime(target);
  const bool in_time = end + this->scenario.one_way < event.sent.deadline;
  const TimePoint stop = std::max(this->now, event.sent.deadline - this->scenario.one_way);
  this->At(in_time ? end : stop, RunEnds{event.host, event.target, target.life, attempt, in_time});
}

void Simulation::On(const RunEnds& event) {
  Target& target = this->targets[event.target];
  const TimePoint back = this->now + this->scenario.one_way;
  if (target.life != event.life) {
    this->At(back, BackAtHost{event.host, AttemptFailed{event.attempt, AttemptFailure::kMaybeRun}});
    return;
  }
  target.running -= 1;
  if (event.in_time) {
    this->At(back, BackAtHost{event.host, AttemptAnswered{event.attempt, false}});
  } else {
    this->At(back, BackAtHost{event.host, AttemptFailed{event.attempt, AttemptFailure::kMaybeRun}});
  }
}

void Simulation::On(const BackAtHost& event) { this->Feed(event.host, event.event); }

void Simulation::On(const FaultsChange& /*event*/) {
  const FaultPlan& faults = this->scenario.faults;
  const bool begins = this->now == this->start + faults.from;
  if (faults.slow_target_share > 0.0) {
    const auto every = static_cast<std::size_t>(1.0 / faults.slow_target_share);
    for (std::size_t i = 0; i < this->targets.size(); i += every) {
      this->targets[i].slow = begins;
    }
  }
  if (faults.rack_dies) {
    for (std::size_t i = 0; i < this->scenario.rack_size; ++i) {
      this->targets[i].dead = begins;
      this->targets[i].running = 0;
      this->targets[i].life += 1;
    }
  }
  if (faults.entry_host_dies && begins) {
    this->hosts[0].dead = true;
    for (std::size_t call = 0; call < this->calls.size(); ++call) {
      if (!this->calls[call].done && this->calls[call].home == 0) {
        this->result.lost_with_host += 1;
        this->Finish(call, OutcomeKind::kUnknown);
      }
    }
  }
}

void Simulation::On(const SlotsReassigned& /*event*/) { this->SendRoutes(); }

void Simulation::Feed(std::size_t index, const BrokerEvent& event) {
  Host& host = this->hosts[index];
  if (host.dead) {
    return;
  }
  for (const BrokerAction& action : host.broker.Handle(event, this->now)) {
    this->Carry(index, action);
  }
  const std::optional<TimePoint> next = host.broker.next_wakeup();
  if (next && (!host.tick_at || *next < *host.tick_at)) {
    host.tick_at = std::max(*next, this->now);
    this->At(*host.tick_at, Tick{index});
  }
}

void Simulation::Carry(std::size_t host, const BrokerAction& action) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    const std::size_t target = this->target_of.at(send->target);
    this->At(this->now + this->scenario.one_way, AtTarget{host, target, *send});
  } else if (const auto* complete = std::get_if<CompleteRequest>(&action)) {
    this->Finish(complete->arrival, complete->outcome.kind);
  }
}

void Simulation::Finish(std::size_t index, OutcomeKind kind) {
  Call& call = this->calls[index];
  if (call.done) {
    return;
  }
  const bool answered = kind == OutcomeKind::kAnswered;
  const bool repeats = !answered && call.repeats < this->scenario.caller_retries &&
                       this->now + kRepeatPause < call.arrived + this->scenario.deadline &&
                       (call.idempotent || kind == OutcomeKind::kNotRun);
  if (repeats) {
    call.repeats += 1;
    this->At(this->now + kRepeatPause, AtHost{index, this->RandomHost(true)});
    return;
  }
  call.done = true;
  if (!this->IsMeasured(call)) {
    return;
  }
  switch (kind) {
    case OutcomeKind::kAnswered: {
      const bool hop = this->scenario.sharing == SlotSharing::kByOwner;
      const Duration way_back = hop ? this->scenario.one_way : Duration(0);
      this->result.in_time += 1;
      this->result.latencies.push_back(this->now + way_back - call.arrived);
      break;
    }
    case OutcomeKind::kNotRun:
      this->result.not_run += 1;
      break;
    case OutcomeKind::kDeadlinePassed:
      this->result.deadline_passed += 1;
      break;
    case OutcomeKind::kUnknown:
    case OutcomeKind::kAnsweredBefore:
      this->result.unknown += 1;
      break;
  }
}

void Simulation::SendRoutes() {
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    ServiceRoute route{ServiceId("service"), {}};
    for (std::size_t target = 0; target < this->targets.size(); ++target) {
      std::uint32_t slots = 0;
      for (std::uint32_t slot = 0; slot < this->scenario.slots; ++slot) {
        slots += this->OwnerOfSlot(target, slot) == host ? 1 : 0;
      }
      const std::size_t rack = target / this->scenario.rack_size;
      route.targets.push_back({TargetId("t" + std::to_string(target)),
                               RackId("r" + std::to_string(rack)), slots, false});
    }
    this->Feed(host, RoutesChanged{{route}});
  }
}

std::size_t Simulation::OwnerOfSlot(std::size_t target, std::uint32_t slot) const {
  const bool divided = this->scenario.sharing == SlotSharing::kDivided;
  const std::string unit =
      divided ? std::to_string(target) + "/" + std::to_string(slot) : std::to_string(target);
  std::size_t owner = 0;
  std::uint64_t highest = 0;
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    const std::uint64_t weight = StableHash(unit + "@" + std::to_string(host));
    const bool listed = !this->hosts[host].dead || this->now < this->reassigned_at;
    if (listed && weight >= highest) {
      highest = weight;
      owner = host;
    }
  }
  return owner;
}

std::size_t Simulation::RandomOwner() {
  // Owners are drawn by the slots they own; a dead one is passed over once it is known as such.
  std::size_t owner = this->OwnerOfSlot(this->balancer() % this->targets.size(), 0);
  while (this->DeathIsKnown() && this->hosts[owner].dead) {
    owner = this->OwnerOfSlot(this->balancer() % this->targets.size(), 0);
  }
  return owner;
}

bool Simulation::DeathIsKnown() const {
  const Duration detected = this->scenario.faults.from + this->scenario.balancer_detection;
  return this->now >= this->start + detected;
}

std::size_t Simulation::RandomHost(bool knows_dead) {
  const bool avoid = knows_dead || this->DeathIsKnown();
  std::size_t host = this->balancer() % this->hosts.size();
  while (avoid && this->hosts[host].dead) {
    host = this->balancer() % this->hosts.size();
  }
  return host;
}

double Simulation::LoadAt(TimePoint at) const {
  double load = 0.0;
  for (const LoadStep& step : this->scenario.load) {
    if (this->start + step.from <= at) {
      load = step.load;
    }
  }
  return load;
}

Duration Simulation::ServiceTime(const Target& target) {
  double us = this->service_time(this->service_times);
  if (target.slow) {
    us *= this->scenario.faults.slow_factor;
  }
  return Duration(static_cast<Duration::rep>(us) + 1);
}

bool Simulation::IsMeasured(const Call& call) const {
  return call.arrived >= this->start + this->scenario.measure_from;
}

Duration QuantileOf(const RunResult& result, double share) {
  if (result.latencies.empty()) {
    return Duration(0);
  }
  const auto last = static_cast<double>(result.latencies.size() - 1);
  return result.latencies[static_cast<std::size_t>(share * last)];
}

}  // namespace pistachio::bench
