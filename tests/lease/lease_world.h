#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pistachio/connection/lease.h"
#include "pistachio/connection/store.h"

namespace pistachio {

/// \brief What becomes of one store call.
struct CallFate {
  bool lose_call = false;
  bool lose_answer = false;
  bool duplicate = false;  ///< it arrives a second time later
  Duration there = std::chrono::milliseconds(2);
  Duration back = std::chrono::milliseconds(2);
};

/// \brief What becomes of one message.
struct MessageFate {
  bool lose = false;
  bool duplicate = false;
  Duration delay = std::chrono::milliseconds(1);
};

/// \brief One process of an entry host: its member, its own clock and its state.
struct WorldProcess {
  WorldProcess(const MemberId& id, Membership member, double rate)
      : id(id), member(std::move(member)), rate(rate) {}

  MemberId id;
  Membership member;
  double rate;
  bool alive = true;
  bool paused = false;
  std::vector<MembershipEvent> inbox;  // held while paused
  TimePoint died{};
};

/// \brief Members on one store and one network, on one true time line that the test advances.
///
/// Each process has its own clock, which runs at its own rate. What fails is up to the hooks and
/// switches; what is right is judged by LeaseOracle, from outside.
class LeaseWorld {
 public:
  LeaseWorld(const LeaseTiming& timing, std::vector<HostId> hosts, std::vector<UnitId> units)
      : timing(timing), hosts(std::move(hosts)), units(std::move(units)) {}

  // Hooks and switches for faults.
  std::function<CallFate(std::size_t, const MemberCallStore&)> call_fate;
  std::function<MessageFate(std::size_t, const SendMemberMessage&)> message_fate;
  std::function<void(std::size_t, const UnitAcquired&)> on_acquired;
  bool store_down = false;
  std::set<HostId> cut_from_store;
  std::set<std::pair<HostId, HostId>> cut_links;
  bool restart_expelled = true;

  TimePoint now{std::chrono::hours(1)};
  std::deque<WorldProcess> processes;
  FakeStore store;
  std::map<StoreRole, StoreCounts> counts;
  std::uint64_t messages = 0;

  std::size_t Start(const HostId& host, double rate = 1.0) {
    std::vector<HostId> peers;
    std::copy_if(this->hosts.begin(), this->hosts.end(), std::back_inserter(peers),
                 [&](const HostId& other) { return other != host; });
    const MemberId id{host, ++this->last_incarnation};
    const TimePoint start = LocalTime(rate);
    this->processes.emplace_back(
        id, Membership(DataCentreId("waikato"), id, peers, this->timing, start), rate);
    this->Feed(this->processes.size() - 1, UnitsListed{this->units});
    return this->processes.size() - 1;
  }

  void Kill(std::size_t index) {
    WorldProcess& process = this->processes[index];
    process.alive = false;
    process.inbox.clear();
    process.died = this->now;
  }

  void Pause(std::size_t index) { this->processes[index].paused = true; }

  void Resume(std::size_t index) {
    WorldProcess& process = this->processes[index];
    process.paused = false;
    for (const MembershipEvent& event : std::exchange(process.inbox, {})) {
      this->Feed(index, event);
    }
  }

  void Leave(std::size_t index) { this->Feed(index, LeaveRequested{}); }

  /// \returns the running process of a host, if there is one.
  std::optional<std::size_t> ProcessOf(const HostId& host) const {
    for (std::size_t index = 0; index < this->processes.size(); index++) {
      if (this->processes[index].alive && this->processes[index].id.host == host) {
        return index;
      }
    }
    return std::nullopt;
  }

  /// \returns a process's own clock.
  TimePoint LocalTime(const WorldProcess& process) const { return this->LocalTime(process.rate); }

  bool MayAct(const WorldProcess& process, const UnitId& unit) const {
    return process.alive && process.member.owned().count(unit) != 0 &&
           this->LocalTime(process) < process.member.act_until();
  }

  /// \brief Advances true time by one step.
  void Step(Duration step) {
    this->now += step;
    this->Deliver();
    if (this->now >= this->next_host_list) {
      this->next_host_list = this->now + std::chrono::seconds(5);
      this->ListHosts();
    }
    for (std::size_t index = 0; index < this->processes.size(); index++) {
      if (!this->processes[index].paused) {
        this->Feed(index, MemberTick{});
      }
    }
    this->Deliver();
  }

 private:
  TimePoint LocalTime(double rate) const {
    const double ticks = static_cast<double>(this->now.time_since_epoch().count()) * rate;
    return TimePoint(Duration(static_cast<Duration::rep>(ticks)));
  }

  void Feed(std::size_t index, const MembershipEvent& event) {
    WorldProcess& process = this->processes[index];
    if (!process.alive) {
      return;
    }
    if (process.paused) {
      process.inbox.push_back(event);
      return;
    }
    const TimePoint local = this->LocalTime(process);
    for (const MembershipAction& action : process.member.Handle(event, local)) {
      std::visit([&](const auto& typed) { this->Carry(index, typed); }, action);
    }
  }

  void Carry(std::size_t index, const MemberCallStore& action) {
    CallFate fate = this->call_fate ? this->call_fate(index, action) : CallFate{};
    const HostId& host = this->processes[index].id.host;
    const bool away = this->store_down || this->cut_from_store.count(host) != 0;
    if (away) {
      this->Later(fate.there, [this, index, action] {
        this->Feed(index, MemberStoreAnswered{action.call_id, {StoreStatus::kUnavailable, {}, 0}});
      });
      return;
    }
    if (fate.lose_call) {
      return;
    }
    this->Later(fate.there, [this, index, action, fate] { this->Arrive(index, action, fate); });
    if (fate.duplicate) {
      this->Later(fate.there + std::chrono::seconds(3),
                  [this, action] { this->Serve(action.role, action.call); });
    }
  }

  void Arrive(std::size_t index, const MemberCallStore& action, const CallFate& fate) {
    const StoreReply reply = this->Serve(action.role, action.call);
    if (!fate.lose_answer) {
      this->Later(fate.back, [this, index, action, reply] {
        this->Feed(index, MemberStoreAnswered{action.call_id, reply});
      });
    }
  }

  StoreReply Serve(StoreRole role, const StoreCall& call) {
    const StoreCounts before = this->store.counts();
    StoreReply reply = this->store.Call(call);
    StoreCounts& count = this->counts[role];
    count.reads += this->store.counts().reads - before.reads;
    count.writes += this->store.counts().writes - before.writes;
    count.conflicts += this->store.counts().conflicts - before.conflicts;
    count.bytes_in += this->store.counts().bytes_in - before.bytes_in;
    count.bytes_out += this->store.counts().bytes_out - before.bytes_out;
    return reply;
  }

  void Carry(std::size_t index, const SendMemberMessage& action) {
    this->messages++;
    const MessageFate fate = this->message_fate ? this->message_fate(index, action) : MessageFate{};
    const HostId from = this->processes[index].id.host;
    const bool cut = this->cut_links.count({from, action.to}) != 0;
    if (cut || fate.lose) {
      return;
    }
    const auto arrive = [this, action] {
      const std::optional<std::size_t> to = this->ProcessOf(action.to);
      if (to) {
        this->Feed(*to, MemberMessageReceived{action.message});
      }
    };
    this->Later(fate.delay, arrive);
    if (fate.duplicate) {
      this->Later(fate.delay + std::chrono::seconds(2), arrive);
    }
  }

  void Carry(std::size_t index, const UnitDraining& action) {
    this->Later(std::chrono::milliseconds(200),
                [this, index, action] { this->Feed(index, UnitDrained{action.unit}); });
  }

  void Carry(std::size_t index, const MemberExpelled& /*action*/) {
    this->Kill(index);
    if (this->restart_expelled) {
      const HostId host = this->processes[index].id.host;
      const double rate = this->processes[index].rate;
      this->Later(std::chrono::milliseconds(500), [this, host, rate] {
        if (!this->ProcessOf(host)) {
          this->Start(host, rate);
        }
      });
    }
  }

  void Carry(std::size_t index, const LeaveFinished& /*action*/) { this->Kill(index); }
  void Carry(std::size_t index, const UnitAcquired& action) {
    if (this->on_acquired) {
      this->on_acquired(index, action);
    }
  }
  void Carry(std::size_t /*index*/, const UnitLost& /*action*/) {}
  void Carry(std::size_t /*index*/, const MemberReport& /*action*/) {}

  void Later(Duration delay, std::function<void()> what) {
    this->queue.emplace(this->now + delay, std::move(what));
  }

  void Deliver() {
    while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
      const std::function<void()> what = this->queue.begin()->second;
      this->queue.erase(this->queue.begin());
      what();
    }
  }

  // The list lags: a host is still shown for a while after it died.
  void ListHosts() {
    constexpr Duration kLag = std::chrono::seconds(10);
    std::set<HostId> live;
    for (const WorldProcess& process : this->processes) {
      if (process.alive || this->now < process.died + kLag) {
        live.insert(process.id.host);
      }
    }
    const EntryHostsListed list{std::vector<HostId>(live.begin(), live.end())};
    for (std::size_t index = 0; index < this->processes.size(); index++) {
      this->Feed(index, list);
    }
  }

  LeaseTiming timing;
  std::vector<HostId> hosts;
  std::vector<UnitId> units;
  std::uint64_t last_incarnation = 0;
  std::multimap<TimePoint, std::function<void()>> queue;
  TimePoint next_host_list{};
};

/// \brief Judges a world from outside: who may act, which epochs were granted, how slots are used.
class LeaseOracle {
 public:
  LeaseOracle(LeaseWorld* world, std::vector<UnitId> units, const LeaseTiming& timing)
      : world(world), units(std::move(units)), timing(timing) {
    world->on_acquired = [this](std::size_t index, const UnitAcquired& acquired) {
      this->Granted(index, acquired);
    };
  }

  /// \brief Checks this very instant.
  void Check() {
    for (const UnitId& unit : this->units) {
      this->CheckUnit(unit);
    }
    if (this->checks++ % kSlotCheckEvery == 0) {
      this->CheckSlots();
    }
  }

  /// \returns true if every unit has an owner that may act and is not paused.
  bool AllOwned() const {
    return std::all_of(this->units.begin(), this->units.end(),
                       [&](const UnitId& unit) { return this->IsOwned(unit); });
  }

  bool IsOwned(const UnitId& unit) const {
    return std::any_of(this->world->processes.begin(), this->world->processes.end(),
                       [&](const WorldProcess& process) {
                         return !process.paused && this->world->MayAct(process, unit);
                       });
  }

  /// \returns how many slots of a target the living members may use together.
  std::uint32_t UsableSlots() const {
    std::uint32_t usable = 0;
    for (const WorldProcess& process : this->world->processes) {
      const TimePoint local = this->world->LocalTime(process);
      usable += process.alive ? process.member.UsableSlots(TargetId("target-1"), kSlots, local) : 0;
    }
    return usable;
  }

  static constexpr std::uint32_t kSlots = 8;  ///< of the target that is looked at

  std::vector<std::string> violations;

 private:
  static constexpr int kSlotCheckEvery = 3;  // slots move in seconds, so not every step

  void CheckUnit(const UnitId& unit) {
    const auto may_act = [&](const WorldProcess& process) {
      return this->world->MayAct(process, unit);
    };
    const auto& processes = this->world->processes;
    if (std::count_if(processes.begin(), processes.end(), may_act) < 2) {
      return;
    }
    std::string actors;
    for (const WorldProcess& process : processes) {
      actors += may_act(process) ? " " + process.id.str() : "";
    }
    this->Violated("two may act on " + unit.str() + ":" + actors);
  }

  void Granted(std::size_t index, const UnitAcquired& acquired) {
    Epoch& newest = this->epochs[acquired.unit];
    if (acquired.epoch <= newest) {
      this->Violated("epoch of " + acquired.unit.str() + " granted again to " +
                     this->world->processes[index].id.str());
    }
    newest = std::max(newest, acquired.epoch);
  }

  // A request that started on a slot may keep it for the longest request, also after its host died.
  void CheckSlots() {
    std::uint32_t used = 0;
    for (std::size_t index = 0; index < this->world->processes.size(); index++) {
      const WorldProcess& process = this->world->processes[index];
      std::map<TimePoint, std::uint32_t>& recent = this->slots[index];
      const TimePoint local = this->world->LocalTime(process);
      if (process.alive) {
        recent[local] = process.member.UsableSlots(TargetId("target-1"), kSlots, local);
      }
      recent.erase(recent.begin(), recent.lower_bound(local - this->timing.max_request));
      std::uint32_t most = 0;
      for (const auto& [at, usable] : recent) {
        most = std::max(most, usable);
      }
      used += most;
    }
    if (used > kSlots) {
      this->Violated("slots in use: " + std::to_string(used));
    }
  }

  void Violated(const std::string& what) {
    const auto since = this->world->now - TimePoint(std::chrono::hours(1));
    this->violations.push_back(std::to_string(since.count() / 1000) + " ms: " + what);
  }

  LeaseWorld* world;
  std::vector<UnitId> units;
  LeaseTiming timing;
  int checks = 0;
  std::map<UnitId, Epoch> epochs;
  std::map<std::size_t, std::map<TimePoint, std::uint32_t>> slots;
};

}  // namespace pistachio
