#include <algorithm>

#include "pistachio/connection/lease/membership.h"

namespace pistachio {

void Membership::OnReply(const internal::RenewalSent& sent, const StoreReply& reply,
                         TimePoint now) {
  if (reply.status == StoreStatus::kOk) {
    this->OnRenewed(sent.record, VersionAfter(reply, this->record_version), now);
    return;
  }
  if (reply.status != StoreStatus::kConflict) {
    this->OnRenewalFailed(now);
    return;
  }
  const StoreEntry current = CurrentEntry(reply);
  const std::optional<internal::MemberRecord> record = internal::DecodeMemberRecord(current.value);
  const bool is_missing = !current.exists() || !record;
  if (is_missing || record->state == internal::MemberState::kExpelled) {
    this->OnSelfExpelled();
    return;
  }
  // An earlier write of this member, whose answer was lost, took effect.
  this->OnRenewed(*record, current.version, now);
  this->next_renewal = now;
}

void Membership::OnRenewed(const internal::MemberRecord& record, std::uint64_t version,
                           TimePoint now) {
  this->renewal_failing = false;
  this->record_version = version;
  this->record_roster = record.roster_seen;
  if (record.state == internal::MemberState::kLeft) {
    this->OnLeft(now);
    return;
  }
  this->lease.RenewalLanded(record.renewals);
}

void Membership::OnRenewalFailed(TimePoint now) {
  this->renewal_failing = true;
  this->next_renewal = now + this->timing.heartbeat_every / 2;
}

void Membership::OnLeft(TimePoint now) {
  this->left = true;
  Roster roster = this->known_roster;
  const bool listed = roster.Holds(this->self);
  if (!listed) {
    this->ended = true;
    this->actions.emplace_back(LeaveFinished{});
    return;
  }
  roster.version++;
  roster.joined.erase(this->self);
  roster.members.erase(std::find(roster.members.begin(), roster.members.end(), this->self));
  roster.retired.push_back(RetiredMember{this->self, true});
  this->Call(
      StoreRole::kMembership,
      CompareAndSwapCall{this->keys.roster(), this->roster_key_version, internal::Encode(roster)},
      internal::RosterWriteSent{roster}, now);
}

void Membership::OnSelfExpelled() {
  this->lease.Release();
  for (const UnitId& unit : this->units.DropAll()) {
    this->actions.emplace_back(UnitLost{unit});
  }
  this->ended = true;
  this->Report(EventCode::kSelfExpelled, {{"member", this->self.str()}});
  this->actions.emplace_back(MemberExpelled{});
}

void Membership::OnReply(const internal::RosterWriteSent& sent, const StoreReply& reply,
                         TimePoint now) {
  if (this->left) {
    // Peers retire a member that left, should this write have failed.
    this->ended = true;
    this->Report(EventCode::kMemberLeft, {{"member", this->self.str()}});
    this->actions.emplace_back(LeaveFinished{});
    return;
  }
  if (reply.status == StoreStatus::kOk) {
    this->AdoptRoster(sent.roster, VersionAfter(reply, this->roster_key_version), now);
    return;
  }
  const StoreEntry current = CurrentEntry(reply);
  const std::optional<Roster> roster = internal::DecodeRoster(current.value);
  if (reply.status == StoreStatus::kConflict && roster) {
    this->AdoptRoster(*roster, current.version, now);
  }
  this->need_members = true;
}

void Membership::AdoptRoster(const Roster& roster, std::uint64_t version, TimePoint now) {
  if (roster.version <= this->known_roster.version) {
    return;
  }
  this->known_roster = roster;
  this->roster_key_version = version;
  this->division.RosterRead(roster, now);
  this->decide_units = true;
  this->next_heartbeat = now;
  this->Report(EventCode::kRosterChanged, {{"roster", std::to_string(roster.version)},
                                           {"members", std::to_string(roster.members.size())}});
}

void Membership::OnReply(const internal::MembersListSent& /*sent*/, const StoreReply& reply,
                         TimePoint now) {
  if (reply.status != StoreStatus::kOk) {
    this->need_members = true;
    this->next_list = now + this->timing.heartbeat_every;
    return;
  }
  this->records_read = true;
  this->AdoptRecords(reply, now);
}

void Membership::AdoptRecords(const StoreReply& reply, TimePoint now) {
  internal::VersionedRecords records;
  Roster roster;
  for (const StoreEntry& entry : reply.entries) {
    if (entry.key == this->keys.roster()) {
      roster = internal::DecodeRoster(entry.value).value_or(Roster{});
      this->AdoptRoster(roster, entry.version, now);
      continue;
    }
    const auto record = internal::DecodeMemberRecord(entry.value);
    if (record) {
      records[record->member] = {*record, entry.version};
    }
  }
  const std::size_t gone_before = this->table.gone_count();
  this->table.RecordsRead(records, roster, now);
  if (this->units_before_members) {
    // The owner of a record that was read earlier had its member record then or before.
    this->table.MarkMissing(this->units.Owners());
    this->units_before_members = false;
  }
  this->need_units = this->need_units || this->table.gone_count() != gone_before;
  this->decide_units = true;
  this->CheckOwnRecord(now);
}

void Membership::CheckOwnRecord(TimePoint now) {
  if (this->record_version == 0 || this->left || !this->table.IsGone(this->self)) {
    return;
  }
  const auto record = this->table.RecordOf(this->self);
  if (record && record->state == internal::MemberState::kLeft) {
    this->OnLeft(now);
    return;
  }
  this->OnSelfExpelled();
}

void Membership::OnReply(const internal::UnitsListSent& /*sent*/, const StoreReply& reply,
                         TimePoint now) {
  if (reply.status != StoreStatus::kOk) {
    this->need_units = true;
    this->next_list = now + this->timing.heartbeat_every;
    return;
  }
  for (const StoreEntry& entry : reply.entries) {
    this->ReadUnit(entry);
  }
  this->units_read = true;
  this->units_before_members = true;
  this->need_members = true;
}

void Membership::ReadUnit(const StoreEntry& entry) {
  const auto record = internal::DecodeUnitRecord(entry.value);
  if (!record || !entry.exists()) {
    return;
  }
  const UnitId unit = this->keys.UnitOf(entry.key);
  this->EmitUnitChange(unit, this->units.RecordRead(unit, *record, entry.version));
}

void Membership::EmitUnitChange(const UnitId& unit, internal::UnitChange change) {
  if (change == internal::UnitChange::kLost) {
    this->actions.emplace_back(UnitLost{unit});
  }
}

void Membership::AcquireUnits(TimePoint now) {
  if (!this->IsActive(now) || this->ended) {
    return;
  }
  for (const UnitId& unit : this->units.Acquire()) {
    const Epoch epoch = this->units.owned().at(unit);
    this->Report(EventCode::kUnitAcquired,
                 {{"unit", unit.str()}, {"epoch", std::to_string(epoch)}});
    this->actions.emplace_back(UnitAcquired{unit, epoch});
    if (this->leaving && this->units.StartDraining(unit)) {
      this->actions.emplace_back(UnitDraining{unit});
    }
  }
}

void Membership::OnReply(const internal::UnitGetSent& /*sent*/, const StoreReply& reply,
                         TimePoint /*now*/) {
  if (reply.status == StoreStatus::kOk && !reply.entries.empty()) {
    this->ReadUnit(reply.entries.front());
    this->decide_units = true;
  }
}

void Membership::OnReply(const internal::UnitWriteSent& sent, const StoreReply& reply,
                         TimePoint now) {
  const internal::UnitWrite& write = sent.write;
  if (reply.status != StoreStatus::kOk) {
    this->units.WriteFailed(write.unit);
    if (reply.status == StoreStatus::kConflict && !reply.entries.empty()) {
      this->ReadUnit(reply.entries.front());
    }
    // Decided anew from what is read: a write in doubt may have taken effect.
    this->need_units = true;
    this->next_list = now + this->timing.heartbeat_every / 2;
    return;
  }
  const std::uint64_t version = VersionAfter(reply, write.expected_version);
  this->EmitUnitChange(write.unit, this->units.WriteLanded(write, version));
  if (write.record.owner != this->self) {
    this->Report(EventCode::kUnitHandedOver,
                 {{"unit", write.unit.str()}, {"to", write.record.owner.str()}});
  }
  const UnitMoved moved{this->self, write.unit, write.record.owner, write.record.epoch};
  this->recent_moves.push_back(moved);
  this->Broadcast(moved);
  this->decide_units = true;
}

void Membership::OnReply(const internal::ExpelSent& sent, const StoreReply& reply,
                         TimePoint /*now*/) {
  this->expel_calls.erase(sent.member);
  this->need_members = true;
  this->table.ExpelAnswered(sent.member, reply.status);
  if (reply.status == StoreStatus::kOk) {
    this->need_units = true;
    this->Report(EventCode::kPeerExpelled, {{"member", sent.member.str()}});
  }
}

void Membership::OnReply(const internal::RecordDeleteSent& /*sent*/, const StoreReply& /*reply*/,
                         TimePoint /*now*/) {
  this->need_members = true;
}

}  // namespace pistachio
