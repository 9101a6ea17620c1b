#include "pistachio/process/daemon/control_state.h"

#include <algorithm>

namespace pistachio {

namespace internal {

constexpr Duration kPublishEvery = std::chrono::milliseconds(500);
constexpr Duration kStandingsReadEvery = std::chrono::seconds(30);

}  // namespace internal

ControlState::ControlState(ControlConfig config, ControlPorts ports, TimePoint now)
    : config(std::move(config)),
      ports(std::move(ports)),
      now(now),
      membership(this->config.data_centre, this->config.self, this->config.peers,
                 this->config.lease, now),
      standings(this->config.data_centre),
      settings(this->config.self.host, this->config.data_centre, this->MakeSettingsPorts(), now) {}

void ControlState::Handle(const ControlEvent& event, TimePoint now) {
  this->now = now;
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  this->RunLocal();
  this->RejoinIfExpelled();
  this->TellActUntil();
}

void ControlState::RunLocal() {
  while (!this->local.empty()) {
    const auto [from, message] = std::move(this->local.front());
    this->local.pop_front();
    std::visit([this, &host = from](const auto& typed) { this->Take(host, typed); }, message);
  }
}

void ControlState::On(const StoreCallAnswered& event) {
  this->NoteStore(event.reply.status);
  if (std::holds_alternative<MembershipOrigin>(event.origin)) {
    this->FeedMembership(MemberStoreAnswered{event.call, event.reply});
    return;
  }
  if (std::holds_alternative<StandingsOrigin>(event.origin)) {
    this->FinishStanding(event.call, event.reply);
    return;
  }
  if (std::holds_alternative<SettingsOrigin>(event.origin)) {
    this->settings.TakeReply(event.call, event.reply, this->now);
    return;
  }
  if (std::holds_alternative<JobClaimOrigin>(event.origin)) {
    this->TakeClaim(event.call, event.reply);
    return;
  }
  const auto& origin = std::get<LedgerOrigin>(event.origin);
  const LedgerStoreAnswered answered{event.call, event.reply};
  const auto rack = this->racks.find(origin.unit);
  if (rack != this->racks.end() && rack->second.epoch == origin.epoch) {
    this->FeedLedger(rack->second, answered);
  }
  const auto queue = this->queues.find(origin.unit);
  if (queue != this->queues.end() && queue->second.epoch == origin.epoch) {
    this->FeedLedger(queue->second, answered);
  }
}

void ControlState::NoteStore(StoreStatus status) {
  const bool answers = status == StoreStatus::kOk || status == StoreStatus::kConflict;
  if (answers == this->store_answers) {
    return;
  }
  this->store_answers = answers;
  this->Report({answers ? EventCode::kStoreReachable : EventCode::kStoreUnreachable, {}});
}

void ControlState::On(const PeerMessageArrived& event) {
  this->last_heard[event.from] = this->now;
  std::visit([this, &event](const auto& message) { this->Take(event.from, message); },
             event.message);
}

void ControlState::On(const PeerLinkChanged& event) {
  this->Report({event.open ? EventCode::kPeerConnected : EventCode::kPeerLost,
                {{"peer", event.peer.str()}}});
  if (!event.open) {
    this->open_links.erase(event.peer);
  }
  if (event.open) {
    this->open_links.insert(event.peer);
    this->services_told = TimePoint{};
    // A peer that was away gets everything again at the next publication.
    for (auto& [unit, publication] : this->publications) {
      publication.routes_told = TimePoint{};
      publication.room_told = TimePoint{};
    }
  }
}

void ControlState::On(const PlatformHostsFetched& event) {
  EntryHostsListed entry_hosts;
  for (const auto& [host, data_centre] : event.hosts.entry_hosts) {
    if (data_centre == this->config.data_centre) {
      entry_hosts.live.push_back(host);
    }
  }
  this->listed.clear();
  std::set<UnitId> units;
  for (const TargetListing& listing : event.hosts.targets) {
    if (listing.data_centre == this->config.data_centre) {
      this->listed.push_back(listing);
      units.insert(UnitOfRack(listing.rack));
    }
  }
  for (std::uint32_t number = 0; number < this->config.queues; ++number) {
    units.insert(UnitOfQueue(number));
  }
  this->FeedMembership(entry_hosts);
  this->FeedMembership(UnitsListed{{units.begin(), units.end()}});
  this->RefreshTargets();
}

void ControlState::RefreshTargets() {
  std::vector<TargetListing> listings = this->listed;
  this->standings.Apply(listings);
  this->routes.Update(listings);
  for (auto& [unit, rack] : this->racks) {
    this->ListTargets(rack);
  }
  this->PublishRoutes();
}

void ControlState::On(const CommandFinished& event) {
  const auto rack = this->racks.find(event.unit);
  if (rack != this->racks.end() && rack->second.epoch == event.epoch) {
    this->Feed(rack->second, CommandAnswered{event.command, event.answer});
  }
}

void ControlState::On(const OperatorCalled& event) { this->ServeOperator(event); }

void ControlState::On(const ControlTick& /*event*/) {
  this->FeedMembership(MemberTick{});
  this->TickUnits();
  this->settings.Tick(this->now);
  if (this->settings_changed) {
    this->settings_changed = false;
    this->ApplySettings();
  }
  this->ExpireGathers();
  if (this->now >= this->next_standings_read) {
    this->next_standings_read = this->now + internal::kStandingsReadEvery;
    this->ports.call_store(StandingsOrigin{}, 0, StoreRole::kSettings, this->standings.Read());
  }
  if (this->now >= this->next_publication) {
    this->next_publication = this->now + internal::kPublishEvery;
    for (auto& [unit, rack] : this->racks) {
      this->PublishRack(rack);
    }
    this->TellRemoteServices();
    this->TellSpreadMembers();
    this->PublishRoutes();
  }
}

void ControlState::TickUnits() {
  // A drained unit is given up, and so erased, inside its own tick.
  std::vector<UnitId> owned;
  for (const auto& [unit, rack] : this->racks) {
    owned.push_back(unit);
  }
  for (const auto& [unit, queue] : this->queues) {
    owned.push_back(unit);
  }
  for (const UnitId& unit : owned) {
    const auto rack = this->racks.find(unit);
    if (rack != this->racks.end()) {
      this->TickUnit(rack->second);
    }
    const auto queue = this->queues.find(unit);
    if (queue != this->queues.end()) {
      this->TickUnit(queue->second);
    }
  }
}

void ControlState::On(const StopRequested& /*event*/) {
  this->stopping = true;
  this->FeedMembership(LeaveRequested{});
}

void ControlState::FeedMembership(const MembershipEvent& event) {
  for (const MembershipAction& action : this->membership.Handle(event, this->now)) {
    std::visit([this](const auto& typed) { this->Do(typed); }, action);
  }
}

void ControlState::Do(const MemberCallStore& action) {
  this->ports.call_store(MembershipOrigin{}, action.call_id, action.role, action.call);
}

void ControlState::Do(const SendMemberMessage& action) {
  std::visit([this, &action](const auto& message) { this->ports.send_peer(action.to, message); },
             action.message);
}

void ControlState::Do(const UnitAcquired& action) {
  const auto rack = RackOfUnit(action.unit);
  if (rack) {
    this->OpenRack(*rack, action);
  } else {
    this->OpenQueue(action);
  }
}

void ControlState::Do(const UnitDraining& action) {
  const auto rack = this->racks.find(action.unit);
  if (rack != this->racks.end()) {
    rack->second.draining = true;
  }
  const auto queue = this->queues.find(action.unit);
  if (queue != this->queues.end()) {
    queue->second.draining = true;
  }
}

void ControlState::Do(const UnitLost& action) {
  this->racks.erase(action.unit);
  this->queues.erase(action.unit);
  this->publications.erase(action.unit);
}

void ControlState::Do(const LeaveFinished& /*action*/) { this->ports.left(); }

void ControlState::Do(const MemberExpelled& /*action*/) { this->expelled = true; }

void ControlState::RejoinIfExpelled() {
  if (!this->expelled) {
    return;
  }
  this->expelled = false;
  this->racks.clear();
  this->queues.clear();
  this->publications.clear();
  // Ids of requests keep the life of the process: its memory of them is still whole.
  this->config.self.incarnation = this->ports.new_incarnation();
  this->membership = Membership(this->config.data_centre, this->config.self, this->config.peers,
                                this->config.lease, this->now);
  this->Report({EventCode::kMemberRejoining, {{"member", this->config.self.str()}}});
}

void ControlState::Do(const MemberReport& action) { this->Report(action.event); }

void ControlState::TellActUntil() {
  const TimePoint act_until = this->membership.act_until();
  if (act_until == this->told_act_until) {
    return;
  }
  this->told_act_until = act_until;
  const ActUntilChanged changed{act_until};
  for (auto& [unit, rack] : this->racks) {
    this->Feed(rack, changed);
  }
  for (auto& [unit, queue] : this->queues) {
    this->Feed(queue, changed);
  }
  this->RunLocal();
}

void ControlState::Report(const EventRecord& event) {
  this->history.Add(event, this->now);
  this->ports.report(event);
}

}  // namespace pistachio
