#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/connection/lease/member_types.h"
#include "pistachio/connection/lease/own_lease.h"
#include "pistachio/connection/lease/peer_table.h"
#include "pistachio/connection/lease/records.h"
#include "pistachio/connection/lease/slot_division.h"
#include "pistachio/connection/lease/unit_table.h"

namespace pistachio {

namespace internal {

struct RenewalSent {
  MemberRecord record;
};
struct RosterWriteSent {
  Roster roster;
};
struct MembersListSent {};
struct UnitsListSent {};
struct UnitGetSent {
  UnitId unit;
};
struct UnitWriteSent {
  UnitWrite write;
};
struct ExpelSent {
  MemberId member;
  std::uint64_t version = 0;
};
struct RecordDeleteSent {};

/// \brief What a store call of a member is for.
using MemberCall = std::variant<RenewalSent, RosterWriteSent, MembersListSent, UnitsListSent,
                                UnitGetSent, UnitWriteSent, ExpelSent, RecordDeleteSent>;

struct PendingMemberCall {
  MemberCall purpose;
  TimePoint expires;
};

}  // namespace internal

/// \brief Membership, lease and unit ownership of one entry host in its data centre.
///
/// The lease is one record for each member; unit records name the owner and a fencing epoch. While
/// the key-value service is away, the lease is extended by promises of every other member of the
/// roster not to expel this one. Pure: events in, actions out.
///
/// \pre \a now is read after the event arrived, from one clock that never goes back.
/// \pre a host starts a member only once its earlier member's process has ended.
class Membership {
 public:
  /// \param peers addresses of the data centre's configured entry hosts, this one left out
  Membership(const DataCentreId& data_centre, MemberId self, std::vector<HostId> peers,
             const LeaseTiming& timing, TimePoint now);

  std::vector<MembershipAction> Handle(const MembershipEvent& event, TimePoint now);

  /// \returns until when this member may act on the units it owns; in the past if it may not.
  TimePoint act_until() const { return this->lease.act_until(); }

  /// \returns the roster that this member acts under.
  const Roster& roster() const { return this->known_roster; }

  /// \returns the units owned, with their epochs.
  const std::map<UnitId, Epoch>& owned() const { return this->units.owned(); }

  /// \returns who owns a unit as far as is known, for sending messages to it.
  std::optional<HostId> OwnerOf(const UnitId& unit) const { return this->units.OwnerOf(unit); }

  /// \brief Slot indices of a target that this member may use, of \a slots in all.
  ///
  /// Slots are divided over the roster by rendezvous hashing; no slot is usable by two members,
  /// also while the roster changes. \returns how many slots this member may use now.
  std::uint32_t UsableSlots(const TargetId& target, std::uint32_t slots, TimePoint now) const;

 private:
  using Actions = std::vector<MembershipAction>;

  // Events (membership.cc).
  void On(const MemberTick& tick, TimePoint now);
  void On(const MemberStoreAnswered& answer, TimePoint now);
  void On(const MemberMessageReceived& received, TimePoint now);
  void On(const EntryHostsListed& listed, TimePoint now);
  void On(const LeaveRequested& request, TimePoint now);
  void On(const UnitsListed& listed, TimePoint now);
  void On(const UnitDrained& drained, TimePoint now);
  void On(const OperatorRelease& release, TimePoint now);
  void OnMessage(const Heartbeat& heartbeat, TimePoint now);
  void OnMessage(const VouchRequest& request, TimePoint now);
  void OnMessage(const VouchPromise& promise, TimePoint now);
  void OnMessage(const UnitMoved& moved, TimePoint now);

  // Replies to store calls (membership_replies.cc).
  void OnReply(const internal::RenewalSent& sent, const StoreReply& reply, TimePoint now);
  void OnReply(const internal::RosterWriteSent& sent, const StoreReply& reply, TimePoint now);
  void OnReply(const internal::MembersListSent& sent, const StoreReply& reply, TimePoint now);
  void OnReply(const internal::UnitsListSent& sent, const StoreReply& reply, TimePoint now);
  void OnReply(const internal::UnitGetSent& sent, const StoreReply& reply, TimePoint now);
  void OnReply(const internal::UnitWriteSent& sent, const StoreReply& reply, TimePoint now);
  void OnReply(const internal::ExpelSent& sent, const StoreReply& reply, TimePoint now);
  void OnReply(const internal::RecordDeleteSent& sent, const StoreReply& reply, TimePoint now);
  void OnRenewed(const internal::MemberRecord& record, std::uint64_t version, TimePoint now);
  void OnRenewalFailed(TimePoint now);
  void OnLeft(TimePoint now);
  void OnSelfExpelled();
  void AdoptRoster(const Roster& roster, std::uint64_t version, TimePoint now);
  void CheckOwnRecord(TimePoint now);
  void AdoptRecords(const StoreReply& reply, TimePoint now);
  void ReadUnit(const StoreEntry& entry);
  void AcquireUnits(TimePoint now);
  void EmitUnitChange(const UnitId& unit, internal::UnitChange change);

  // Decisions that time brings (membership_decisions.cc).
  void ExpireCalls(TimePoint now);
  void SendHeartbeats(TimePoint now);
  void Renew(TimePoint now);
  void Vouch(TimePoint now);
  void Refresh(TimePoint now);
  void UpdateRoster(TimePoint now);
  std::vector<MemberId> GoneToRetire(TimePoint now) const;
  std::vector<MemberId> IdleToDrop(TimePoint now) const;
  void Expel(TimePoint now);
  void DeleteGoneRecords(TimePoint now);
  void DecideUnits(TimePoint now);
  void Rebalance(TimePoint now);
  void FinishLeaving(TimePoint now);
  void ReportLease(TimePoint now);
  std::vector<MemberId> EligibleOwners() const;
  std::vector<MemberId> HeardMembers(TimePoint now) const;
  MemberId SuccessorOf(const UnitId& unit) const;
  void WriteUnit(const internal::UnitWrite& write, TimePoint now);
  bool IsActive(TimePoint now) const { return now < this->act_until(); }
  bool IsMember() const { return this->known_roster.Holds(this->self); }
  bool IsFirstFor(const MemberId& about, TimePoint now) const;
  Duration Jitter(Duration bound);

  void Call(StoreRole role, const StoreCall& call, const internal::MemberCall& purpose,
            TimePoint now);
  template <class Purpose>
  bool IsPending() const;
  void Send(const HostId& to, const MemberMessage& message);
  void Broadcast(const MemberMessage& message);
  void Report(EventCode code, std::vector<std::pair<std::string, std::string>> fields);

  MemberId self;
  std::vector<HostId> peers;
  LeaseTiming timing;
  internal::LeaseKeys keys;
  internal::OwnLease lease;
  internal::PeerTable table;
  internal::UnitTable units;
  internal::SlotDivision division;

  Roster known_roster;
  std::uint64_t roster_key_version = 0;
  std::uint64_t record_version = 0;  ///< of this member's own record; 0 before it is written
  std::uint64_t record_roster = 0;   ///< roster version that the own record names for sure
  bool records_read = false;
  bool ended = false;
  bool leaving = false;
  bool left = false;
  bool renewal_failing = false;
  bool need_members = true;
  bool need_units = true;
  bool units_read = false;
  bool units_before_members = false;  ///< the units were listed since the last list of members
  bool decide_units = false;

  TimePoint next_heartbeat;
  TimePoint next_renewal;
  TimePoint next_vouch;
  TimePoint next_list;
  TimePoint next_refresh;
  TimePoint next_watch;
  TimePoint legit_until{};  ///< latest end of a right to act that this member ever had
  bool reported_active = false;
  bool reported_vouched = false;
  std::uint64_t heartbeat_sequence = 0;
  std::uint64_t jitter_sequence = 0;
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, internal::PendingMemberCall> calls;
  std::set<MemberId> expel_calls;
  std::vector<UnitMoved> recent_moves;  // repeated with a few heartbeats, since messages get lost
  int move_repeats = 0;
  Actions actions;
};

template <class Purpose>
bool Membership::IsPending() const {
  for (const auto& [id, call] : this->calls) {
    if (std::holds_alternative<Purpose>(call.purpose)) {
      return true;
    }
  }
  return false;
}

}  // namespace pistachio
