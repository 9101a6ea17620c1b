#pragma once

#include <cstdint>
#include <map>
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
  /// Largest error of a clock's rate over one term; longer waits scale it up.
  Duration drift_margin = std::chrono::milliseconds(500);
  Duration store_timeout = std::chrono::seconds(2);
  Duration gone_roster_bound = std::chrono::minutes(2);  ///< wait when a whole roster is gone
  Duration refresh_every = std::chrono::seconds(30);     ///< between full reads of the records
  Duration max_request = std::chrono::seconds(30);       ///< longest time a request keeps a slot
  /// How long a member goes on using its slots after its lease lapsed; survivors leave an expelled
  /// member's slots idle for as long.
  Duration slot_grace = std::chrono::minutes(5);

  /// \returns the wait on this clock that lasts at least \a wait on any other one.
  Duration WithMargin(Duration wait) const {
    return wait + this->drift_margin * (wait / this->term + 1);
  }
};

/// \brief A member that a roster held once and whose slots may still be in use.
struct RetiredMember {
  MemberId member;
  bool stopped = false;  ///< its process is known to have ended, so no grace is due
};

/// \brief The members of a data centre; written by compare-and-swap, the version only grows.
struct Roster {
  std::uint64_t version = 0;
  std::vector<MemberId> members;
  std::map<MemberId, std::uint64_t> joined;  ///< first version that holds the member
  std::vector<RetiredMember> retired;

  bool Holds(const MemberId& member) const { return this->joined.count(member) != 0; }
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
///
/// With a length of zero nothing is promised; it shows that \a voucher ran when it answered, so
/// that an earlier member of its host has ended.
struct VouchPromise {
  MemberId voucher;
  MemberId holder;
  std::uint64_t sequence = 0;
  Duration valid_for{0};
};
/// \brief Tells peers about a unit record that the sender wrote; a hint, the record decides.
struct UnitMoved {
  MemberId from;
  UnitId unit;
  MemberId owner;
  Epoch epoch = 0;
};

/// \brief A message between the members of a data centre.
using MemberMessage = std::variant<Heartbeat, VouchRequest, VouchPromise, UnitMoved>;

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
/// \brief An operator vouches that no process of \a host runs any more.
struct OperatorRelease {
  HostId host;
};

using MembershipEvent =
    std::variant<MemberTick, MemberStoreAnswered, MemberMessageReceived, EntryHostsListed,
                 LeaveRequested, UnitsListed, UnitDrained, OperatorRelease>;

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
/// \brief This member was expelled and does nothing more: start one with a new incarnation.
struct MemberExpelled {};
struct MemberReport {
  EventRecord event;
};

using MembershipAction =
    std::variant<MemberCallStore, SendMemberMessage, UnitAcquired, UnitDraining, UnitLost,
                 LeaveFinished, MemberExpelled, MemberReport>;

}  // namespace pistachio
