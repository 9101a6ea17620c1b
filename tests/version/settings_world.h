#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pistachio/connection/store/fake_store.h"
#include "pistachio/version/settings_change.h"
#include "pistachio/version/settings_spread.h"
#include "pistachio/version/subtree_record.h"

namespace pistachio {

/// \brief Bytes and calls of one entry host.
struct HostTraffic {
  std::uint64_t store_calls = 0;
  std::uint64_t store_bytes = 0;
  std::uint64_t peer_messages = 0;
  std::uint64_t peer_bytes_sent = 0;
};

/// \brief Entry hosts of several data centres around one fake store, on a clock that stands still
/// until it is advanced.
///
/// Runs the very machines of the daemon; links delay, and can be cut. Every fault comes from the
/// caller, so that a run repeats.
class SettingsWorld {
 public:
  static constexpr Duration kTick = std::chrono::milliseconds(100);
  static constexpr Duration kStoreLatency = std::chrono::milliseconds(3);
  static constexpr Duration kPeerLatency = std::chrono::milliseconds(2);
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);
  static constexpr Duration kLateArrival = std::chrono::seconds(4);
  static constexpr Duration kDetection = std::chrono::seconds(3);

  /// \brief What happens to the next calls of operators on the store.
  enum class CallFate { kNone, kDown, kLostCall, kLostAnswer, kLate };

  SettingsWorld(std::size_t data_centres, std::size_t hosts_each) {
    for (std::size_t d = 0; d < data_centres; d++) {
      for (std::size_t h = 0; h < hosts_each; h++) {
        this->AddHost(d, h);
      }
    }
    for (const auto& [host, node] : this->nodes) {
      this->TellMembers(host);
    }
  }

  TimePoint now() const { return this->clock; }
  FakeStore& store() { return this->kept; }
  const std::map<HostId, HostTraffic>& traffic() const { return this->counted; }
  std::vector<HostId> hosts() const {
    std::vector<HostId> all;
    for (const auto& [host, node] : this->nodes) {
      all.push_back(host);
    }
    return all;
  }
  const SettingsSpread& spread(const HostId& host) const { return *this->nodes.at(host).spread; }
  DataCentreId CentreOf(const HostId& host) const { return this->nodes.at(host).data_centre; }

  // ---- Faults.

  void CutFromStore(const HostId& host) { this->no_store.insert(host); }
  void CutCentreFromStore(const DataCentreId& data_centre) {
    this->ForCentre(data_centre, [this](const HostId& host) { this->CutFromStore(host); });
  }
  void CutCentres(const DataCentreId& a, const DataCentreId& b) {
    this->cut_links.insert({a, b});
    this->cut_links.insert({b, a});
  }
  void CutStore() { this->store_down = true; }
  void LoseMessagesOfHost(const HostId& host) { this->mute.insert(host); }
  void HealAll() {
    this->no_store.clear();
    this->cut_links.clear();
    this->mute.clear();
    this->store_down = false;
    this->fate = CallFate::kNone;
  }
  /// \brief From now on messages between hosts take up to this much longer, overtake each other and
  /// come twice at times, as \a seed has it.
  void ShakeLinks(Duration most, std::uint64_t seed) {
    this->shake = most;
    this->random.seed(seed);
  }
  void SetOperatorFate(CallFate next) { this->fate = next; }

  /// \brief Replaces a host's process: it knows nothing, and what was under way to it is lost.
  void Restart(const HostId& host) {
    Node& node = this->nodes.at(host);
    node.incarnation++;
    node.spread.emplace(host, node.data_centre, SpreadTiming{}, this->clock);
    node.changes.clear();
    node.in_force.clear();
    this->After(kDetection, [this, host] { this->TellMembers(host); });
  }
  void RestartCentre(const DataCentreId& data_centre) {
    this->ForCentre(data_centre, [this](const HostId& host) { this->Restart(host); });
  }

  // ---- Operators.

  /// \brief An operator asks \a host for a change; the answer goes to \a answered.
  void Apply(const HostId& host, const std::string& subtree, const ChangeRequest& request,
             std::function<void(const ChangeFinished&)> answered) {
    Node& node = this->nodes.at(host);
    const std::uint64_t id = ++this->last_change;
    node.changes.emplace(id, Change{SettingsChange(subtree, request, ChangeTiming{}, this->clock),
                                    std::move(answered)});
    this->DriveChange(host, id, ChangeTick{});
  }

  /// \brief Writes a next version right away, as an operator elsewhere does. \returns it.
  SubtreeVersion Accept(const std::string& subtree, const std::string& document) {
    const StoreReply reply = this->kept.Call(GetCall{CurrentKeyOf(subtree)});
    const std::uint64_t key_version = reply.entries.empty() ? 0 : reply.entries[0].version;
    const auto before =
        reply.entries.empty() ? std::nullopt : DecodeSubtreeRecord(reply.entries[0].value);
    const std::uint64_t next = before ? before->version + 1 : 1;
    SubtreeVersion version{subtree, next, subtree + "-" + std::to_string(next), document};
    this->kept.Call(
        CompareAndSwapCall{CurrentKeyOf(subtree), key_version, EncodeSubtreeRecord(version)});
    this->AnswerWatches();
    return version;
  }

  /// \returns the accepted version of every subtree.
  std::map<std::string, SubtreeVersion> Accepted() {
    std::map<std::string, SubtreeVersion> accepted;
    for (const StoreEntry& entry : this->kept.Call(ListCall{kCurrentSettingsPrefix}).entries) {
      const auto version = DecodeSubtreeRecord(entry.value);
      accepted[version->subtree] = *version;
    }
    return accepted;
  }

  /// \returns true if \a host has just what was accepted.
  bool InForceAt(const HostId& host, const std::map<std::string, SubtreeVersion>& accepted) const {
    const auto& have = this->spread(host).versions().versions();
    if (have.size() != accepted.size()) {
      return false;
    }
    for (const auto& [subtree, version] : accepted) {
      const auto found = have.find(subtree);
      if (found == have.end() || found->second.version != version.version ||
          found->second.change_id != version.change_id) {
        return false;
      }
    }
    return true;
  }

  /// \returns hosts that lack something that was accepted.
  std::vector<HostId> Lagging() {
    const auto accepted = this->Accepted();
    std::vector<HostId> lagging;
    for (const auto& [host, node] : this->nodes) {
      if (!this->InForceAt(host, accepted)) {
        lagging.push_back(host);
      }
    }
    return lagging;
  }

  /// \brief Called at every version that comes into force anywhere.
  std::function<void(const HostId&, const SubtreeVersion&)> on_in_force;
  /// \brief Faults that the world itself noticed, such as a version that fell; empty when sound.
  std::vector<std::string> violations;

  void Advance(Duration span) {
    const TimePoint end = this->clock + span;
    while (!this->pending.empty() && this->pending.begin()->first <= end) {
      const auto first = this->pending.begin();
      this->clock = first->first;
      const auto action = std::move(first->second);
      this->pending.erase(first);
      action();
    }
    this->clock = end;
  }

 private:
  struct Change {
    SettingsChange machine;
    std::function<void(const ChangeFinished&)> answered;
  };
  struct Node {
    DataCentreId data_centre;
    std::uint64_t incarnation = 0;
    std::optional<SettingsSpread> spread;
    std::map<std::uint64_t, Change> changes;
    std::map<std::string, std::uint64_t> in_force;
  };
  struct HeldWatch {
    HostId host;
    std::uint64_t incarnation = 0;
    std::uint64_t call_id = 0;
    WatchCall call;
  };

  void AddHost(std::size_t data_centre, std::size_t number) {
    const DataCentreId centre("dc" + std::to_string(data_centre));
    const HostId host(centre.str() + "-h" + std::to_string(number));
    Node& node = this->nodes[host];
    node.data_centre = centre;
    node.spread.emplace(host, centre, SpreadTiming{}, this->clock);
    // Hosts tick at different instants, as they do in life.
    const auto shift = Duration((data_centre * 37 + number * 11) % 100 * 1000);
    this->After(shift, [this, host] { this->Tick(host); });
  }

  void Tick(const HostId& host) {
    this->Drive(host, SpreadTick{});
    std::vector<std::uint64_t> ids;
    for (const auto& [id, change] : this->nodes.at(host).changes) {
      ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
      this->DriveChange(host, id, ChangeTick{});
    }
    this->After(kTick, [this, host] { this->Tick(host); });
  }

  void TellMembers(const HostId& host) {
    SpreadMembersChanged members;
    for (const auto& [other, node] : this->nodes) {
      if (node.data_centre == this->CentreOf(host)) {
        members.own.push_back(other);
      } else {
        members.remote[node.data_centre].push_back(other);
      }
    }
    this->Drive(host, members);
  }

  template <class Call>
  void ForCentre(const DataCentreId& data_centre, Call call) {
    for (const HostId& host : this->hosts()) {
      if (this->CentreOf(host) == data_centre) {
        call(host);
      }
    }
  }

  void After(Duration delay, std::function<void()> action) {
    this->pending.emplace(this->clock + delay, std::move(action));
  }

  void Drive(const HostId& host, const SpreadEvent& event) {
    for (const SpreadAction& action : this->nodes.at(host).spread->Handle(event, this->clock)) {
      std::visit([this, &host](const auto& typed) { this->Carry(host, typed); }, action);
    }
  }

  void Carry(const HostId& host, const SpreadCallStore& action) {
    this->counted[host].store_calls++;
    const std::uint64_t incarnation = this->nodes.at(host).incarnation;
    if (!this->ReachesStore(host)) {
      this->After(kStoreLatency, [this, host, incarnation, id = action.call_id] {
        this->AnswerSpread(host, incarnation, id, StoreReply{StoreStatus::kUnavailable, {}, 0});
      });
      return;
    }
    const HeldWatch watch{host, incarnation, action.call_id, std::get<WatchCall>(action.call)};
    this->After(kStoreLatency, [this, watch] { this->OpenWatch(watch); });
  }

  void Carry(const HostId& host, const SendSettingsMessage& action) {
    HostTraffic& traffic = this->counted[host];
    traffic.peer_messages++;
    traffic.peer_bytes_sent += BytesOf(action.message);
    const std::uint64_t incarnation = this->nodes.at(action.to).incarnation;
    if (!this->Linked(host, action.to)) {
      return;
    }
    const bool twice = this->shake > Duration(0) && this->random() % 8 == 0;
    for (int copy = 0; copy < (twice ? 2 : 1); copy++) {
      this->After(kPeerLatency + this->Shake(), [this, host, action, incarnation] {
        const bool arrives =
            this->nodes.at(action.to).incarnation == incarnation && this->Linked(host, action.to);
        if (arrives) {
          this->Drive(action.to, SpreadMessageReceived{host, action.message});
        }
      });
    }
  }

  Duration Shake() {
    if (this->shake == Duration(0)) {
      return Duration(0);
    }
    const auto most = static_cast<std::uint64_t>(this->shake.count());
    return Duration(static_cast<std::int64_t>(this->random() % most));
  }

  void Carry(const HostId& host, const SettingsInForce& action) {
    std::uint64_t& seen = this->nodes.at(host).in_force[action.version.subtree];
    if (action.version.version <= seen) {
      this->violations.push_back(host.str() + " fell in " + action.version.subtree);
    }
    seen = action.version.version;
    if (this->on_in_force) {
      this->on_in_force(host, action.version);
    }
  }

  void Carry(const HostId& /*host*/, const SpreadReport& /*action*/) {}

  bool ReachesStore(const HostId& host) const {
    return !this->store_down && this->no_store.count(host) == 0;
  }

  bool Linked(const HostId& a, const HostId& b) const {
    return this->mute.count(a) == 0 && this->mute.count(b) == 0 &&
           this->cut_links.count({this->CentreOf(a), this->CentreOf(b)}) == 0;
  }

  void OpenWatch(const HeldWatch& watch) {
    const StoreReply reply = this->kept.Call(watch.call);
    if (!reply.entries.empty()) {
      this->ReturnWatch(watch, reply);
      return;
    }
    const std::uint64_t key = ++this->last_watch;
    this->held.emplace(key, watch);
    this->After(watch.call.wait, [this, key] {
      const auto found = this->held.find(key);
      if (found != this->held.end()) {
        const HeldWatch expired = found->second;
        this->held.erase(found);
        this->ReturnWatch(expired, StoreReply{StoreStatus::kOk, {}, this->kept.revision()});
      }
    });
  }

  void AnswerWatches() {
    for (auto watch = this->held.begin(); watch != this->held.end();) {
      const StoreReply reply = this->kept.Call(watch->second.call);
      if (reply.entries.empty()) {
        ++watch;
        continue;
      }
      const HeldWatch answered = watch->second;
      watch = this->held.erase(watch);
      this->ReturnWatch(answered, reply);
    }
  }

  // An answer to a host that was cut off meanwhile is lost; the host notices by its own bound.
  void ReturnWatch(const HeldWatch& watch, const StoreReply& reply) {
    if (!this->ReachesStore(watch.host)) {
      return;
    }
    this->After(kStoreLatency + this->Shake(), [this, watch, reply] {
      this->AnswerSpread(watch.host, watch.incarnation, watch.call_id, reply);
    });
  }

  void AnswerSpread(const HostId& host, std::uint64_t incarnation, std::uint64_t call_id,
                    const StoreReply& reply) {
    if (this->nodes.at(host).incarnation == incarnation) {
      this->counted[host].store_bytes += BytesOf(reply);
      this->Drive(host, SpreadStoreAnswered{call_id, reply});
    }
  }

  void DriveChange(const HostId& host, std::uint64_t id, const ChangeEvent& event) {
    const auto change = this->nodes.at(host).changes.find(id);
    if (change == this->nodes.at(host).changes.end()) {
      return;
    }
    std::optional<ChangeFinished> finished;
    for (const ChangeAction& action : change->second.machine.Handle(event, this->clock)) {
      if (const auto* call = std::get_if<ChangeCallStore>(&action)) {
        this->CallForOperator(host, id, *call);
      } else if (const auto* end = std::get_if<ChangeFinished>(&action)) {
        finished = *end;
      }
    }
    if (finished) {
      const auto answered = change->second.answered;
      this->nodes.at(host).changes.erase(change);
      answered(*finished);
    }
  }

  void CallForOperator(const HostId& host, std::uint64_t id, const ChangeCallStore& action) {
    const CallFate here = this->ReachesStore(host) ? this->fate : CallFate::kDown;
    const std::uint64_t incarnation = this->nodes.at(host).incarnation;
    const auto answer = [this, host, id, incarnation, call_id = action.call_id](
                            Duration delay, const StoreReply& reply) {
      this->After(delay, [this, host, id, incarnation, call_id, reply] {
        if (this->nodes.at(host).incarnation == incarnation) {
          this->DriveChange(host, id, ChangeStoreAnswered{call_id, reply});
        }
      });
    };
    switch (here) {
      case CallFate::kDown:
        return answer(kStoreLatency, this->kept.Call(action.call, StoreFault::kDown));
      case CallFate::kLostCall:
        return answer(kCallTimeout, this->kept.Call(action.call, StoreFault::kLostCall));
      case CallFate::kLostAnswer:
        answer(kCallTimeout, this->kept.Call(action.call, StoreFault::kLostAnswer));
        return this->AnswerWatches();
      case CallFate::kLate:
        this->After(kLateArrival, [this, call = action.call] {
          this->kept.Call(call);
          this->AnswerWatches();
        });
        return answer(kCallTimeout, StoreReply{StoreStatus::kUnknown, {}, 0});
      case CallFate::kNone:
        answer(kStoreLatency, this->kept.Call(action.call));
        return this->AnswerWatches();
    }
  }

  TimePoint clock{std::chrono::hours(1)};
  FakeStore kept;
  std::map<HostId, Node> nodes;
  std::map<HostId, HostTraffic> counted;
  std::multimap<TimePoint, std::function<void()>> pending;
  std::map<std::uint64_t, HeldWatch> held;
  std::uint64_t last_watch = 0;
  std::uint64_t last_change = 0;
  std::set<HostId> no_store;
  std::set<HostId> mute;
  std::set<std::pair<DataCentreId, DataCentreId>> cut_links;
  bool store_down = false;
  CallFate fate = CallFate::kNone;
  Duration shake{0};
  std::mt19937_64 random;
};

}  // namespace pistachio
