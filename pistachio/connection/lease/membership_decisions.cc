#include <algorithm>

#include "pistachio/connection/lease/membership.h"
#include "pistachio/connection/lease/rendezvous.h"
#include "pistachio/process/runtime/random.h"

namespace pistachio {

namespace internal {

namespace {

constexpr std::size_t kMaxHandovers = 4;    // units drained at once, unless the process stops
constexpr std::size_t kMaxUnitWrites = 16;  // of ownership records in flight at once
constexpr std::size_t kMaxDeletes = 1;      // of old member records in one step
constexpr int kMoveRepeats = 3;             // heartbeats that repeat the news of moved units

}  // namespace

}  // namespace internal

void Membership::ExpireCalls(TimePoint now) {
  std::vector<internal::MemberCall> expired;
  for (auto call = this->calls.begin(); call != this->calls.end();) {
    const bool over = now >= call->second.expires;
    if (over) {
      expired.push_back(call->second.purpose);
    }
    call = over ? this->calls.erase(call) : std::next(call);
  }
  for (const internal::MemberCall& purpose : expired) {
    std::visit([&](const auto& sent) { this->OnReply(sent, StoreReply{}, now); }, purpose);
  }
}

void Membership::SendHeartbeats(TimePoint now) {
  if (now < this->next_heartbeat || this->ended) {
    return;
  }
  this->next_heartbeat = now + this->timing.heartbeat_every;
  this->heartbeat_sequence++;
  this->Broadcast(
      Heartbeat{this->self, this->heartbeat_sequence, this->known_roster.version, this->leaving});
  for (const UnitMoved& moved : this->recent_moves) {
    this->Broadcast(moved);
  }
  if (++this->move_repeats >= internal::kMoveRepeats) {
    this->move_repeats = 0;
    this->recent_moves.clear();
  }
}

void Membership::Renew(TimePoint now) {
  const bool behind =
      this->IsMember() && this->record_roster < this->known_roster.version && !this->left;
  const bool due = now >= this->next_renewal || (behind && !this->renewal_failing);
  const bool blocked =
      !this->records_read || this->ended || this->left || this->IsPending<internal::RenewalSent>();
  if (!due || blocked) {
    return;
  }
  const bool leave = this->leaving && this->units.owned().empty() && !this->units.HasWrites() &&
                     !this->units.IsAnyRecordOf(this->self);
  internal::MemberRecord record;
  record.member = this->self;
  record.renewals = this->lease.BeginRenewal(this->IsMember() ? &this->known_roster : nullptr, now);
  record.roster_seen = this->IsMember() ? this->known_roster.version : 0;
  if (leave) {
    // The record may say so from now on, so the right to act ends before it is sent.
    this->lease.Release();
    record.state = internal::MemberState::kLeft;
  }
  this->next_renewal = now + this->timing.renew_every;
  this->Call(StoreRole::kMembership,
             CompareAndSwapCall{this->keys.member(this->self), this->record_version,
                                internal::Encode(record)},
             internal::RenewalSent{record}, now);
}

void Membership::Vouch(TimePoint now) {
  const bool wanted = this->renewal_failing && this->IsMember() && !this->left && !this->ended;
  if (!wanted || now < this->next_vouch) {
    return;
  }
  this->next_vouch = now + this->timing.heartbeat_every;
  const std::uint64_t round = this->lease.BeginVouchRound(now);
  for (const MemberId& voter : this->lease.voters()) {
    if (!this->lease.HasEnded(voter)) {
      this->Send(voter.host, VouchRequest{this->self, round});
    }
  }
}

Duration Membership::Jitter(Duration bound) {
  const std::uint64_t hash = StableHash(this->self.str(), ++this->jitter_sequence);
  return Duration(static_cast<Duration::rep>(hash % static_cast<std::uint64_t>(bound.count())));
}

void Membership::Refresh(TimePoint now) {
  if (now >= this->next_refresh) {
    this->next_refresh =
        now + this->timing.refresh_every + this->Jitter(this->timing.refresh_every / 2);
    this->need_units = true;
  }
  if (now >= this->next_watch && this->table.HasSilent(this->known_roster, now)) {
    this->next_watch = now + this->timing.renew_every;
    this->need_members = true;
  }
  const bool busy =
      this->IsPending<internal::MembersListSent>() || this->IsPending<internal::UnitsListSent>();
  if (this->ended || busy || now < this->next_list) {
    return;
  }
  if (this->need_units && this->records_read) {
    this->need_units = false;
    this->Call(StoreRole::kOwnership, ListCall{this->keys.units_prefix}, internal::UnitsListSent{},
               now);
    return;
  }
  if (this->need_members) {
    this->need_members = false;
    this->Call(StoreRole::kMembership, ListCall{this->keys.members_prefix},
               internal::MembersListSent{}, now);
  }
}

std::vector<MemberId> Membership::HeardMembers(TimePoint now) const {
  std::vector<MemberId> heard;
  for (const MemberId& member : this->known_roster.members) {
    const bool usable =
        member == this->self || (!this->table.IsGone(member) && this->table.IsHeard(member, now));
    if (usable) {
      heard.push_back(member);
    }
  }
  return heard;
}

bool Membership::IsFirstFor(const MemberId& about, TimePoint now) const {
  return internal::RendezvousWinner(this->HeardMembers(now), about.str()) == this->self;
}

std::vector<MemberId> Membership::GoneToRetire(TimePoint now) const {
  std::vector<MemberId> found;
  for (const MemberId& gone : this->table.GoneIn(this->known_roster)) {
    if (gone != this->self && (!this->IsMember() || this->IsFirstFor(gone, now))) {
      found.push_back(gone);
    }
  }
  return found;
}

std::vector<MemberId> Membership::IdleToDrop(TimePoint now) const {
  std::vector<MemberId> found;
  for (const RetiredMember& retired : this->known_roster.retired) {
    if (this->division.IsIdle(retired, now) && this->IsFirstFor(retired.member, now)) {
      found.push_back(retired.member);
    }
  }
  return found;
}

void Membership::UpdateRoster(TimePoint now) {
  const bool blocked = this->record_version == 0 || this->ended || this->left ||
                       this->IsPending<internal::RosterWriteSent>();
  if (blocked) {
    return;
  }
  const std::vector<MemberId> gone = this->GoneToRetire(now);
  const std::vector<MemberId> idle = this->IdleToDrop(now);
  const bool joins = !this->IsMember() && !this->leaving;
  if (gone.empty() && idle.empty() && !joins) {
    return;
  }
  Roster next = this->known_roster;
  next.version++;
  for (const MemberId& member : gone) {
    next.joined.erase(member);
    next.members.erase(std::find(next.members.begin(), next.members.end(), member));
    next.retired.push_back(RetiredMember{member, this->table.IsStopped(member)});
  }
  const auto is_idle = [&](const RetiredMember& retired) {
    return std::find(idle.begin(), idle.end(), retired.member) != idle.end();
  };
  next.retired.erase(std::remove_if(next.retired.begin(), next.retired.end(), is_idle),
                     next.retired.end());
  if (joins) {
    next.members.push_back(this->self);
    next.joined[this->self] = next.version;
  }
  this->Call(
      StoreRole::kMembership,
      CompareAndSwapCall{this->keys.roster(), this->roster_key_version, internal::Encode(next)},
      internal::RosterWriteSent{next}, now);
}

void Membership::Expel(TimePoint now) {
  if (this->record_version == 0 || this->ended || this->left) {
    return;
  }
  for (const MemberId& member : this->table.Expellable(this->known_roster, now)) {
    if (!this->expel_calls.insert(member).second) {
      continue;
    }
    const std::uint64_t version = this->table.RecordVersionOf(member);
    internal::MemberRecord record = *this->table.RecordOf(member);
    record.state = internal::MemberState::kExpelled;
    this->table.ExpelSent(member, version);
    this->Call(StoreRole::kMembership,
               CompareAndSwapCall{this->keys.member(member), version, internal::Encode(record)},
               internal::ExpelSent{member, version}, now);
  }
}

void Membership::DeleteGoneRecords(TimePoint now) {
  if (!this->units_read || this->IsPending<internal::RecordDeleteSent>()) {
    return;
  }
  std::size_t deletes = 0;
  for (const auto& [member, version] : this->table.GoneRecords()) {
    const bool needed = member == this->self || this->known_roster.Holds(member) ||
                        this->units.IsAnyRecordOf(member) || !this->IsFirstFor(member, now);
    if (needed || deletes >= internal::kMaxDeletes) {
      continue;
    }
    deletes++;
    this->Call(StoreRole::kMembership, DeleteCall{this->keys.member(member), version},
               internal::RecordDeleteSent{}, now);
  }
}

std::vector<MemberId> Membership::EligibleOwners() const {
  std::vector<MemberId> eligible;
  for (const MemberId& member : this->known_roster.members) {
    const bool is_leaving = member == this->self ? this->leaving : this->table.IsLeaving(member);
    if (!is_leaving && !this->table.IsGone(member)) {
      eligible.push_back(member);
    }
  }
  return eligible;
}

MemberId Membership::SuccessorOf(const UnitId& unit) const {
  return internal::RendezvousWinner(this->EligibleOwners(), unit.str()).value_or(MemberId{});
}

void Membership::WriteUnit(const internal::UnitWrite& write, TimePoint now) {
  this->units.WriteSent(write);
  this->Call(StoreRole::kOwnership,
             CompareAndSwapCall{this->keys.unit(write.unit), write.expected_version,
                                internal::Encode(write.record)},
             internal::UnitWriteSent{write}, now);
}

void Membership::DecideUnits(TimePoint now) {
  const bool ready = this->decide_units && this->units_read && this->IsMember() &&
                     this->IsActive(now) && !this->ended && !this->left;
  if (!ready) {
    return;
  }
  this->decide_units = false;
  const auto is_gone = [&](const MemberId& owner) { return this->table.IsGone(owner); };
  std::size_t writes = 0;
  std::vector<internal::UnitWrite> next;
  for (const UnitId& unit : this->units.Ownerless(is_gone)) {
    if (this->SuccessorOf(unit) == this->self) {
      next.push_back(this->units.NextWrite(unit, this->self));
    }
  }
  for (const UnitId& unit : this->units.Stranded()) {
    next.push_back(this->units.NextWrite(unit, this->SuccessorOf(unit)));
  }
  for (const internal::UnitWrite& write : next) {
    if (++writes > internal::kMaxUnitWrites) {
      this->decide_units = true;
      break;
    }
    this->WriteUnit(write, now);
  }
  this->Rebalance(now);
  this->DeleteGoneRecords(now);
}

void Membership::Rebalance(TimePoint now) {
  std::size_t draining = this->units.draining().size();
  std::vector<UnitId> moving;
  for (const auto& [unit, epoch] : this->units.owned()) {
    const MemberId successor = this->SuccessorOf(unit);
    const bool elsewhere = !successor.host.empty() && successor != this->self;
    const bool ready = elsewhere && this->table.IsHeard(successor, now) &&
                       this->table.VersionOf(successor) >= this->known_roster.joined.at(successor);
    if (ready && !this->units.IsDraining(unit) && draining < internal::kMaxHandovers) {
      draining++;
      moving.push_back(unit);
    }
  }
  for (const UnitId& unit : moving) {
    this->units.StartDraining(unit);
    this->actions.emplace_back(UnitDraining{unit});
  }
}

void Membership::FinishLeaving(TimePoint now) {
  if (!this->leaving || this->left || this->ended) {
    return;
  }
  if (this->record_version == 0 && !this->IsPending<internal::RenewalSent>()) {
    this->ended = true;
    this->actions.emplace_back(LeaveFinished{});
    return;
  }
  const bool handed_over = this->units.owned().empty() && !this->units.HasWrites() &&
                           !this->units.IsAnyRecordOf(this->self);
  if (handed_over && !this->renewal_failing) {
    this->next_renewal = std::min(this->next_renewal, now);  // the next one says that it left
  }
}

void Membership::ReportLease(TimePoint now) {
  const bool active = this->IsActive(now) && !this->ended;
  if (active != this->reported_active) {
    this->reported_active = active;
    this->Report(active ? EventCode::kLeaseHeld : EventCode::kLeaseLapsed,
                 {{"member", this->self.str()}});
  }
  const bool vouched = active && now >= this->lease.renewed_until();
  if (vouched && !this->reported_vouched) {
    this->Report(EventCode::kLeaseVouched, {{"member", this->self.str()}});
  }
  this->reported_vouched = vouched;
}

}  // namespace pistachio
