#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/connection/store/calls.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/runtime/ids.h"

namespace pistachio {

/// \brief Terms of a member's lease, equal on every entry host of a data centre.
struct LeaseTiming {
  Duration term = std::chrono::seconds(9);
  Duration renew_every = std::chrono::seconds(3);
  Duration heartbeat_every = std::chrono::seconds(1);
  Duration drift_margin = std::chrono::milliseconds(500);
  Duration store_timeout = std::chrono::seconds(2);
  Duration gone_roster_bound = std::chrono::minutes(2);  ///< wait when a whole roster is gone
};

/// \brief The members of a data centre; written by compare-and-swap, the version only grows.
struct Roster {
  std::uint64_t version = 0;
  std::vector<MemberId> members;
};

/// \brief Sent to every peer of the data centre once in a heartbeat interval.
struct Heartbeat {
  MemberId from;
  std::uint64_t sequence = 0;
  std::uint64_t roster_version = 0;
  bool leaving = false;
};
/// \brief Asks a peer not to expel the sender for a lease term.
struct VouchRequest {
  MemberId holder;
  std::uint64_t sequence = 0;
};
/// \brief Promises not to expel \a holder for \a valid_for, counted from when the request was sent.
struct VouchPromise {
  MemberId voucher;
  MemberId holder;
  std::uint64_t sequence = 0;
  Duration valid_for{0};
};

/// \brief A message between the members of a data centre.
using MemberMessage = std::variant<Heartbeat, VouchRequest, VouchPromise>;

// ---- Events.

struct MemberTick {};
struct MemberStoreAnswered {
  std::uint64_t call = 0;
  StoreReply reply;
};
struct MemberMessageReceived {
  MemberMessage message;
};
/// \brief The platform's lagging list of entry hosts of this data centre.
struct EntryHostsListed {
  std::vector<HostId> live;
};
/// \brief The process is stopping: hand every unit over, then release the lease.
struct LeaveRequested {};
/// \brief Units that have to have an owner in this data centre.
struct UnitsListed {
  std::vector<UnitId> units;
};
/// \brief The owner has finished what a unit needs before it is handed over.
struct UnitDrained {
  UnitId unit;
};

using MembershipEvent = std::variant<MemberTick, MemberStoreAnswered, MemberMessageReceived,
                                     EntryHostsListed, LeaveRequested, UnitsListed, UnitDrained>;

// ---- Actions.

struct MemberCallStore {
  std::uint64_t call_id = 0;
  StoreRole role = StoreRole::kMembership;
  StoreCall call;
};
struct SendMemberMessage {
  HostId to;
  MemberMessage message;
};
/// \brief This member owns \a unit under \a epoch from now on.
struct UnitAcquired {
  UnitId unit;
  Epoch epoch = 0;
};
/// \brief This member has to finish with \a unit, then to answer with UnitDrained.
struct UnitDraining {
  UnitId unit;
};
/// \brief This member does not own \a unit any more and must not act on it.
struct UnitLost {
  UnitId unit;
};
/// \brief Every unit is handed over and the lease released; the process may exit.
struct LeaveFinished {};
struct MemberReport {
  EventRecord event;
};

using MembershipAction = std::variant<MemberCallStore, SendMemberMessage, UnitAcquired,
                                      UnitDraining, UnitLost, LeaveFinished, MemberReport>;

/// \brief Membership, lease and unit ownership of one entry host in its data centre.
///
/// The lease is one record for each member; unit records name the owner and a fencing epoch. While
/// the key-value service is away, the lease is extended by promises of every other member of the
/// roster not to expel this one. Pure: events in, actions out.
class Membership {
 public:
  /// \param peers addresses of the data centre's configured entry hosts, this one left out
  Membership(DataCentreId data_centre, MemberId self, std::vector<HostId> peers,
             const LeaseTiming& timing, TimePoint now);

  std::vector<MembershipAction> Handle(const MembershipEvent& event, TimePoint now);

  /// \returns until when this member may act on the units it owns; in the past if it may not.
  TimePoint act_until() const;

  /// \returns the roster that this member acts under.
  const Roster& roster() const;

  /// \returns the units owned, with their epochs.
  const std::map<UnitId, Epoch>& owned() const;

  /// \returns who owns a unit as far as is known, for sending messages to it.
  std::optional<HostId> OwnerOf(const UnitId& unit) const;

  /// \brief Slot indices of a target that this member may use, of \a slots in all.
  ///
  /// Slots are divided over the roster by rendezvous hashing; no slot is usable by two members,
  /// also while the roster changes. \returns how many slots this member may use now.
  std::uint32_t UsableSlots(const TargetId& target, std::uint32_t slots, TimePoint now) const;
};

}  // namespace pistachio
