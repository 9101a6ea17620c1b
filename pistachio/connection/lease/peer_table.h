#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pistachio/connection/lease/records.h"

namespace pistachio::internal {

/// \brief Member records as of one list call, with the versions of their keys.
using VersionedRecords = std::map<MemberId, std::pair<MemberRecord, std::uint64_t>>;

/// \brief What this member knows of the others: messages, lease records, promises, expulsions.
class PeerTable {
 public:
  PeerTable(const MemberId& self, const LeaseTiming& timing);

  /// \brief Takes a heartbeat; one that is late or doubled changes nothing.
  /// \returns true if it was new.
  bool HeartbeatReceived(const Heartbeat& heartbeat, TimePoint now);

  /// \brief Replaces the known records by those of one list call.
  /// \param roster the roster of the same list call; a member of it without a record is gone
  void RecordsRead(const VersionedRecords& records, const Roster& roster, TimePoint now);

  /// \brief Takes the platform's list of live hosts.
  void HostsListed(const std::set<HostId>& live, TimePoint now);

  /// \brief An operator vouches that \a host runs no member any more. Holds for the members whose
  /// records are known, not for one that the host starts later.
  void Release(const HostId& host);

  /// \brief Promises \a holder not to expel it for a term.
  /// \returns false if that cannot be promised, since an expulsion may be under way or done.
  bool Promise(const MemberId& holder, const Roster& roster, TimePoint now);

  /// \returns members whose lease has run out and which this member has the right to expel.
  std::vector<MemberId> Expellable(const Roster& roster, TimePoint now) const;

  /// \brief Notes that a record at \a version is about to be set to expelled.
  void ExpelSent(const MemberId& member, std::uint64_t version);
  /// \brief Takes the answer. An attempt in doubt stays noted, and so bars a promise, until the
  /// record is seen at a later version: only then it cannot land any more.
  void ExpelAnswered(const MemberId& member, StoreStatus status);
  /// \brief Of the given members, those without a record in the latest list are gone.
  /// \pre each of them had its record written before that list was read
  void MarkMissing(const std::set<MemberId>& members);
  /// \returns how many members are known to be gone.
  std::size_t gone_count() const { return this->gone.size(); }

  /// \returns true once a record said that the member is expelled or left, or was gone.
  bool IsGone(const MemberId& member) const { return this->gone.count(member) != 0; }
  /// \returns members of \a roster that are gone.
  std::vector<MemberId> GoneIn(const Roster& roster) const;
  /// \returns gone members whose records still exist, with the records' versions.
  std::map<MemberId, std::uint64_t> GoneRecords() const;
  /// \returns true if the member is known to have ended its process.
  bool IsStopped(const MemberId& member) const;

  /// \returns true if a heartbeat came within the silence bound.
  bool IsHeard(const MemberId& member, TimePoint now) const;
  /// \returns true if a member of the roster has been silent for longer than the bound.
  bool HasSilent(const Roster& roster, TimePoint now) const;
  /// \returns true if the member's latest heartbeat says that it is leaving.
  bool IsLeaving(const MemberId& member) const;
  /// \returns the roster version of the member's latest heartbeat, or 0.
  std::uint64_t VersionOf(const MemberId& member) const;
  /// \returns the record as last read.
  std::optional<MemberRecord> RecordOf(const MemberId& member) const;
  std::uint64_t RecordVersionOf(const MemberId& member) const;

 private:
  struct Peer {
    TimePoint heard;
    Heartbeat last;
  };
  struct Observation {
    MemberRecord record;
    std::uint64_t version = 0;
    TimePoint since;      ///< when this version was first read
    TimePoint confirmed;  ///< when it was last read
  };

  struct ExpelAttempt {
    std::uint64_t version = 0;  ///< that the write expects
    bool in_doubt = false;      ///< an earlier try may still be on its way
  };

  bool MayExpel(const Observation& seen, const Roster& roster) const;
  bool IsPresumedEnded(const MemberId& member, TimePoint now) const;
  bool HasEligibleExpeller(const Observation& seen, const Roster& roster, TimePoint now) const;

  MemberId self;
  LeaseTiming timing;
  std::map<MemberId, Peer> peers;
  std::map<MemberId, Observation> observed;
  std::map<MemberId, TimePoint> promised_until;
  std::map<MemberId, ExpelAttempt> expelling;
  std::set<MemberId> gone;
  std::set<MemberId> left;
  std::set<MemberId> released;
  std::map<HostId, TimePoint> absent_since;
  bool hosts_known = false;
};

}  // namespace pistachio::internal
