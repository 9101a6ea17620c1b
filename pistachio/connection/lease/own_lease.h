#pragma once

#include <map>
#include <set>
#include <vector>

#include "pistachio/connection/lease/member_types.h"

namespace pistachio::internal {

/// \brief Until when this member may act: by renewals of its record and by its peers' promises.
///
/// Every term counts from before the renewal or the request was sent, less the drift margin.
class OwnLease {
 public:
  OwnLease(const MemberId& self, const LeaseTiming& timing);

  /// \brief Notes a renewal about to be sent.
  /// \param roster the roster that the record will name, or nullptr before this member is in one
  /// \returns the number of the renewal.
  std::uint64_t BeginRenewal(const Roster* roster, TimePoint now);

  /// \brief The record holds renewal \a number: earlier ones that are in doubt cannot land now.
  void RenewalLanded(std::uint64_t number);

  /// \brief Notes that requests for promises are about to be sent. \returns their sequence.
  std::uint64_t BeginVouchRound(TimePoint now);

  /// \brief Takes an answer; one to no recent request of this member is ignored.
  ///
  /// An answer of a later member of a voter's host shows that the voter has ended. If the voter's
  /// promise still held then, it never sent an expulsion and never will.
  void Promised(const VouchPromise& promise, TimePoint now);

  /// \brief Gives up the right to act for good.
  void Release();
  bool is_released() const { return this->released; }

  /// \returns every other member that may expel this one, whichever of the renewals in doubt holds.
  const std::set<MemberId>& voters() const { return this->current_voters; }

  /// \returns true if the voter is known to have ended while its promise held.
  bool HasEnded(const MemberId& voter) const;

  /// \returns until when the record alone covers this member.
  TimePoint renewed_until() const { return this->record_until; }

  /// \returns until when this member may act, by record or by promises.
  TimePoint act_until() const;

 private:
  struct Renewal {
    TimePoint sent;
    bool in_roster = false;
    std::vector<MemberId> members;
  };

  struct Promise {
    TimePoint until{};
    TimePoint received{};
    bool ended = false;  ///< the voter ended while its promise held
  };

  void RefreshVoters();
  void NoteEnded(const MemberId& later, TimePoint asked, TimePoint now);
  TimePoint PromisedUntil() const;

  MemberId self;
  LeaseTiming timing;
  bool released = false;
  std::uint64_t last_number = 0;
  std::uint64_t landed_number = 0;
  std::map<std::uint64_t, Renewal> renewals;  // the landed one and those in doubt after it
  std::set<MemberId> current_voters;
  TimePoint record_until{};
  std::uint64_t last_round = 0;
  std::map<std::uint64_t, TimePoint> rounds;  // when recent rounds of requests were sent
  std::map<MemberId, Promise> promises;
};

}  // namespace pistachio::internal
