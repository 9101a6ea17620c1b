#include "pistachio/connection/lease/peer_table.h"

#include <algorithm>

namespace pistachio::internal {

namespace {

constexpr int kSilentHeartbeats = 3;

}  // namespace

PeerTable::PeerTable(const MemberId& self, const LeaseTiming& timing)
    : self(self), timing(timing) {}

bool PeerTable::HeartbeatReceived(const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.from == this->self) {
    return false;
  }
  Peer& peer = this->peers[heartbeat.from];
  if (heartbeat.sequence <= peer.last.sequence) {
    return false;
  }
  peer.last = heartbeat;
  peer.heard = now;
  return true;
}

void PeerTable::RecordsRead(const VersionedRecords& records, const Roster& roster, TimePoint now) {
  for (const MemberId& member : roster.members) {
    // A record is written before its member enters the roster, so a missing one was deleted.
    if (records.count(member) == 0) {
      this->gone.insert(member);
    }
  }
  for (auto known = this->observed.begin(); known != this->observed.end();) {
    const bool deleted = records.count(known->first) == 0;
    if (deleted) {
      this->gone.insert(known->first);
      this->expelling.erase(known->first);
    }
    known = deleted ? this->observed.erase(known) : std::next(known);
  }
  for (const auto& [member, entry] : records) {
    const auto& [record, version] = entry;
    Observation& seen = this->observed[member];
    if (version < seen.version) {
      continue;
    }
    if (version > seen.version) {
      seen = Observation{record, version, now, now};
    }
    seen.confirmed = now;
    const auto attempt = this->expelling.find(member);
    if (attempt != this->expelling.end() && attempt->second.version < version) {
      this->expelling.erase(attempt);
    }
    if (record.state != MemberState::kLive) {
      this->gone.insert(member);
    }
    if (record.state == MemberState::kLeft) {
      this->left.insert(member);
    }
  }
}

void PeerTable::HostsListed(const std::set<HostId>& live, TimePoint now) {
  this->hosts_known = true;
  for (const auto& [member, seen] : this->observed) {
    this->absent_since.emplace(member.host, now);
  }
  for (const HostId& host : live) {
    this->absent_since.erase(host);
  }
}

void PeerTable::Release(const HostId& host) {
  for (const auto& [member, seen] : this->observed) {
    if (member.host == host) {
      this->released.insert(member);
    }
  }
}

bool PeerTable::Promise(const MemberId& holder, const Roster& roster, TimePoint now) {
  const bool refused =
      this->expelling.count(holder) != 0 || this->IsGone(holder) || !roster.Holds(holder);
  if (refused) {
    return false;
  }
  const TimePoint until = now + this->timing.term + this->timing.drift_margin;
  TimePoint& promised = this->promised_until[holder];
  promised = std::max(promised, until);
  return true;
}

bool PeerTable::IsPresumedEnded(const MemberId& member, TimePoint now) const {
  if (this->IsStopped(member)) {
    return true;
  }
  const auto absent = this->absent_since.find(member.host);
  return this->hosts_known && absent != this->absent_since.end() &&
         now >= absent->second + this->timing.gone_roster_bound;
}

bool PeerTable::HasEligibleExpeller(const Observation& seen, const Roster& roster,
                                    TimePoint now) const {
  return std::any_of(roster.members.begin(), roster.members.end(), [&](const MemberId& member) {
    return member != seen.record.member && roster.joined.at(member) <= seen.record.roster_seen &&
           !this->IsPresumedEnded(member, now);
  });
}

bool PeerTable::MayExpel(const Observation& seen, const Roster& roster) const {
  if (seen.record.roster_seen == 0) {
    return true;  // never joined, so it never had the right to act
  }
  const auto joined = roster.joined.find(this->self);
  return joined != roster.joined.end() && joined->second <= seen.record.roster_seen &&
         seen.record.roster_seen <= roster.version;
}

std::vector<MemberId> PeerTable::Expellable(const Roster& roster, TimePoint now) const {
  std::vector<MemberId> found;
  for (const auto& [member, seen] : this->observed) {
    const auto promised = this->promised_until.find(member);
    // Only a read shows that the record did not change; time that passed without one does not.
    const Duration unchanged = seen.confirmed - seen.since;
    const bool lapsed = unchanged >= this->timing.term + this->timing.drift_margin;
    const bool bound = promised != this->promised_until.end() && now < promised->second;
    const bool skip =
        member == this->self || seen.record.state != MemberState::kLive || !lapsed || bound;
    if (skip) {
      continue;
    }
    const bool ended = this->IsStopped(member) || (this->IsPresumedEnded(member, now) &&
                                                   !this->HasEligibleExpeller(seen, roster, now));
    if (this->MayExpel(seen, roster) || ended) {
      found.push_back(member);
    }
  }
  return found;
}

void PeerTable::ExpelSent(const MemberId& member, std::uint64_t version) {
  ExpelAttempt& attempt = this->expelling[member];
  if (attempt.version != version) {
    attempt = ExpelAttempt{version, false};
  }
}

void PeerTable::ExpelAnswered(const MemberId& member, StoreStatus status) {
  const auto attempt = this->expelling.find(member);
  if (attempt == this->expelling.end()) {
    return;
  }
  if (status == StoreStatus::kOk) {
    this->gone.insert(member);
  }
  if (status == StoreStatus::kUnknown) {
    attempt->second.in_doubt = true;
  }
  const bool unsent = status == StoreStatus::kUnavailable && !attempt->second.in_doubt;
  if (unsent || status == StoreStatus::kOk || status == StoreStatus::kConflict) {
    this->expelling.erase(attempt);
  }
}

void PeerTable::MarkMissing(const std::set<MemberId>& members) {
  for (const MemberId& member : members) {
    if (this->observed.count(member) == 0) {
      this->gone.insert(member);
    }
  }
}

std::vector<MemberId> PeerTable::GoneIn(const Roster& roster) const {
  std::vector<MemberId> found;
  for (const MemberId& member : roster.members) {
    if (this->IsGone(member)) {
      found.push_back(member);
    }
  }
  return found;
}

std::map<MemberId, std::uint64_t> PeerTable::GoneRecords() const {
  std::map<MemberId, std::uint64_t> found;
  for (const auto& [member, seen] : this->observed) {
    if (seen.record.state != MemberState::kLive) {
      found[member] = seen.version;
    }
  }
  return found;
}

bool PeerTable::IsStopped(const MemberId& member) const {
  // The earlier process of this very host held the listening port that this one has now.
  const bool replaced = member.host == this->self.host && member != this->self;
  return replaced || this->left.count(member) != 0 || this->released.count(member) != 0;
}

bool PeerTable::IsHeard(const MemberId& member, TimePoint now) const {
  const auto peer = this->peers.find(member);
  return peer != this->peers.end() &&
         now <= peer->second.heard + this->timing.heartbeat_every * kSilentHeartbeats;
}

bool PeerTable::HasSilent(const Roster& roster, TimePoint now) const {
  return std::any_of(roster.members.begin(), roster.members.end(), [&](const MemberId& member) {
    return member != this->self && !this->IsHeard(member, now);
  });
}

bool PeerTable::IsLeaving(const MemberId& member) const {
  const auto peer = this->peers.find(member);
  return peer != this->peers.end() && peer->second.last.leaving;
}

std::uint64_t PeerTable::VersionOf(const MemberId& member) const {
  const auto peer = this->peers.find(member);
  return peer == this->peers.end() ? 0 : peer->second.last.roster_version;
}

std::optional<MemberRecord> PeerTable::RecordOf(const MemberId& member) const {
  const auto seen = this->observed.find(member);
  return seen == this->observed.end() ? std::nullopt
                                      : std::optional<MemberRecord>(seen->second.record);
}

std::uint64_t PeerTable::RecordVersionOf(const MemberId& member) const {
  const auto seen = this->observed.find(member);
  return seen == this->observed.end() ? 0 : seen->second.version;
}

}  // namespace pistachio::internal
