#include "pistachio/connection/lease/membership.h"

#include <algorithm>
#include <utility>

#include "pistachio/process/runtime/random.h"

namespace pistachio {

Membership::Membership(const DataCentreId& data_centre, MemberId self, std::vector<HostId> peers,
                       const LeaseTiming& timing, TimePoint now)
    : self(std::move(self)),
      peers(std::move(peers)),
      timing(timing),
      keys(data_centre),
      lease(this->self, timing),
      table(this->self, timing),
      units(this->self),
      division(this->self, timing),
      next_heartbeat(now),
      next_renewal(now),
      next_vouch(now),
      next_list(now),
      next_refresh(now + timing.refresh_every),
      next_watch(now) {}

std::vector<MembershipAction> Membership::Handle(const MembershipEvent& event, TimePoint now) {
  this->actions.clear();
  if (!this->ended) {
    std::visit([&](const auto& typed) { this->On(typed, now); }, event);
    this->AcquireUnits(now);
    this->legit_until = std::max(this->legit_until, this->act_until());
  }
  return std::exchange(this->actions, {});
}

std::uint32_t Membership::UsableSlots(const TargetId& target, std::uint32_t slots,
                                      TimePoint now) const {
  // Peers count a member as stopped once its record says that it left, which is before it knows.
  if (this->lease.is_released() || now >= this->legit_until + this->timing.slot_grace) {
    return 0;
  }
  return this->division.Usable(target, slots);
}

void Membership::On(const MemberTick& /*tick*/, TimePoint now) {
  this->ExpireCalls(now);
  this->SendHeartbeats(now);
  this->Renew(now);
  this->Vouch(now);
  this->Refresh(now);
  this->UpdateRoster(now);
  this->Expel(now);
  this->DecideUnits(now);
  this->FinishLeaving(now);
  this->ReportLease(now);
  if (this->division.Settle(now)) {
    this->Report(EventCode::kSlotsSettled,
                 {{"roster", std::to_string(this->known_roster.version)}});
  }
}

void Membership::On(const MemberStoreAnswered& answer, TimePoint now) {
  const auto call = this->calls.find(answer.call);
  if (call == this->calls.end()) {
    return;  // answered before, or given up: what it did is found by reading
  }
  const internal::MemberCall purpose = call->second.purpose;
  this->calls.erase(call);
  std::visit([&](const auto& sent) { this->OnReply(sent, answer.reply, now); }, purpose);
}

void Membership::On(const MemberMessageReceived& received, TimePoint now) {
  std::visit([&](const auto& message) { this->OnMessage(message, now); }, received.message);
}

void Membership::On(const EntryHostsListed& listed, TimePoint now) {
  this->table.HostsListed(std::set<HostId>(listed.live.begin(), listed.live.end()), now);
}

void Membership::On(const LeaveRequested& /*request*/, TimePoint now) {
  if (this->leaving) {
    return;
  }
  this->leaving = true;
  this->next_heartbeat = now;
  for (const auto& [unit, epoch] : this->units.owned()) {
    if (this->units.StartDraining(unit)) {
      this->actions.emplace_back(UnitDraining{unit});
    }
  }
}

void Membership::On(const UnitsListed& listed, TimePoint /*now*/) {
  this->units.UnitsListed(listed.units);
  this->decide_units = true;
}

void Membership::On(const UnitDrained& drained, TimePoint now) {
  if (!this->units.IsDraining(drained.unit) || !this->units.Drop(drained.unit)) {
    return;
  }
  // The write may take effect without an answer, so the unit is given up before it is sent.
  this->actions.emplace_back(UnitLost{drained.unit});
  this->WriteUnit(this->units.NextWrite(drained.unit, this->SuccessorOf(drained.unit)), now);
}

void Membership::On(const OperatorRelease& release, TimePoint /*now*/) {
  this->table.Release(release.host);
}

void Membership::OnMessage(const Heartbeat& heartbeat, TimePoint now) {
  const std::uint64_t version_before = this->table.VersionOf(heartbeat.from);
  const bool leaving_before = this->table.IsLeaving(heartbeat.from);
  if (!this->table.HeartbeatReceived(heartbeat, now)) {
    return;
  }
  this->division.PeerOn(heartbeat.from, heartbeat.roster_version, now);
  const bool changed =
      heartbeat.roster_version != version_before || heartbeat.leaving != leaving_before;
  this->decide_units = this->decide_units || changed;
  this->need_members = this->need_members || heartbeat.roster_version > this->known_roster.version;
}

void Membership::OnMessage(const VouchRequest& request, TimePoint now) {
  if (request.holder == this->self) {
    return;
  }
  const bool promised = this->table.Promise(request.holder, this->known_roster, now);
  if (!promised) {
    this->Report(EventCode::kVouchRefused, {{"holder", request.holder.str()}});
  }
  const Duration valid_for = promised ? this->timing.term : Duration(0);
  this->Send(request.holder.host,
             VouchPromise{this->self, request.holder, request.sequence, valid_for});
}

void Membership::OnMessage(const VouchPromise& promise, TimePoint now) {
  this->lease.Promised(promise, now);
}

void Membership::OnMessage(const UnitMoved& moved, TimePoint now) {
  if (moved.from == this->self || !this->units.HintReceived(moved)) {
    return;
  }
  this->Call(StoreRole::kOwnership, GetCall{this->keys.unit(moved.unit)},
             internal::UnitGetSent{moved.unit}, now);
}

void Membership::Call(StoreRole role, const StoreCall& call, const internal::MemberCall& purpose,
                      TimePoint now) {
  const std::uint64_t id = ++this->last_call;
  this->calls[id] = internal::PendingMemberCall{purpose, now + this->timing.store_timeout};
  this->actions.emplace_back(MemberCallStore{id, role, call});
}

void Membership::Send(const HostId& to, const MemberMessage& message) {
  this->actions.emplace_back(SendMemberMessage{to, message});
}

void Membership::Broadcast(const MemberMessage& message) {
  for (const HostId& peer : this->peers) {
    this->Send(peer, message);
  }
}

void Membership::Report(EventCode code, std::vector<std::pair<std::string, std::string>> fields) {
  this->actions.emplace_back(MemberReport{EventRecord{code, std::move(fields)}});
}

}  // namespace pistachio
