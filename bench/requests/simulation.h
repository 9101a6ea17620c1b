#pragma once

#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bench/requests/scenario.h"

namespace pistachio::bench {

/// \brief What a run gave, over the requests that arrived from Scenario::measure_from on.
struct RunResult {
  std::vector<Duration> latencies;  ///< of answered requests, as the caller sees them, sorted
  std::uint64_t offered = 0;        ///< requests of callers, without their repeats
  std::uint64_t in_time = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t deadline_passed = 0;
  std::uint64_t lost_with_host = 0;
  Duration measured{0};
  BrokerCounters counters;           ///< of all entry hosts, over the whole run
  std::uint64_t slots_exceeded = 0;  ///< attempts that found every slot of a target in use
};

/// \brief Entry hosts with real brokers, and targets and callers as simple models, driven by events
/// on a paused clock.
class Simulation {
 public:
  Simulation(const Scenario& scenario, const Policy& policy, std::uint64_t seed);

  RunResult Run();

 private:
  struct Call {  ///< one request of a caller, with its repeats
    TimePoint arrived;
    std::uint32_t repeats = 0;
    std::size_t home = 0;
    bool idempotent = false;
    bool done = false;
  };
  struct Host {
    RequestBroker broker;
    bool dead = false;
    std::optional<TimePoint> tick_at;
  };
  struct Target {
    std::uint32_t running = 0;
    bool slow = false;
    bool dead = false;
    std::uint32_t life = 0;  ///< grows when the target dies
  };

  // Events.
  struct NewCall {};
  struct AtHost {
    std::size_t call;
    std::size_t host;
  };
  struct Tick {
    std::size_t host;
  };
  struct AtTarget {
    std::size_t host;
    std::size_t target;
    SendAttempt sent;
  };
  struct RunEnds {
    std::size_t host;
    std::size_t target;
    std::uint32_t life;
    AttemptKey attempt;
    bool in_time;
  };
  struct BackAtHost {
    std::size_t host;
    BrokerEvent event;
  };
  struct FaultsChange {};
  struct SlotsReassigned {};
  using Body = std::variant<NewCall, AtHost, Tick, AtTarget, RunEnds, BackAtHost, FaultsChange,
                            SlotsReassigned>;
  struct Event {
    TimePoint at;
    std::uint64_t order;
    Body body;
    friend bool operator>(const Event& a, const Event& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };

  void At(TimePoint at, Body body);
  void On(const NewCall& event);
  void On(const AtHost& event);
  void On(const Tick& event);
  void On(const AtTarget& event);
  void On(const RunEnds& event);
  void On(const BackAtHost& event);
  void On(const FaultsChange& event);
  void On(const SlotsReassigned& event);

  void Enter(std::size_t call);
  void Feed(std::size_t host, const BrokerEvent& event);
  void Carry(std::size_t host, const BrokerAction& action);
  void Finish(std::size_t call, OutcomeKind kind);
  void SendRoutes();
  std::size_t OwnerOfSlot(std::size_t target, std::uint32_t slot) const;
  std::size_t RandomHost(bool knows_dead);
  std::size_t RandomOwner();
  bool DeathIsKnown() const;
  double LoadAt(TimePoint at) const;
  Duration ServiceTime(const Target& target);
  bool IsMeasured(const Call& call) const;

  Scenario scenario;
  RandomSource arrivals;
  RandomSource service_times;
  RandomSource balancer;
  std::lognormal_distribution<double> service_time;
  TimePoint start{std::chrono::hours(1)};
  TimePoint now;
  TimePoint reassigned_at = TimePoint::max();
  std::uint64_t next_order = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Host> hosts;
  std::vector<Target> targets;
  std::vector<Call> calls;
  std::unordered_map<TargetId, std::size_t> target_of;
  RunResult result;
};

/// \returns the latency that \a share of the answered requests stay below.
Duration QuantileOf(const RunResult& result, double share);

}  // namespace pistachio::bench
