#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "pistachio/connection/lease/member_types.h"

namespace pistachio::internal {

/// \brief Division of every target's slots over the roster, with no slot used by two members.
///
/// A member uses a slot only if it wins it under the roster that it has settled on and under every
/// roster that it has seen since. It settles on the newest roster once every other member of it is
/// on exactly that version and whoever was retired must have stopped, each plus the longest
/// request. Scores of two members keep their order in every roster, so whoever settles later finds
/// that the other has already given the slot up.
class SlotDivision {
 public:
  SlotDivision(const MemberId& self, const LeaseTiming& timing);

  /// \brief A newer roster was read.
  void RosterRead(const Roster& roster, TimePoint now);

  /// \brief A peer said which roster version it is on.
  void PeerOn(const MemberId& peer, std::uint64_t version, TimePoint now);

  /// \brief Settles on the newest roster if it may. \returns true if it did now.
  bool Settle(TimePoint now);

  /// \returns how many of \a slots of a target this member may use. Cost: one hash for each slot,
  /// member and unsettled roster.
  std::uint32_t Usable(const TargetId& target, std::uint32_t slots) const;

  /// \returns true once a retired member must have stopped using its slots.
  bool IsIdle(const RetiredMember& retired, TimePoint now) const;

 private:
  struct PeerVersion {
    std::uint64_t version = 0;
    TimePoint since;
  };

  bool MaySettle(TimePoint now) const;

  MemberId self;
  LeaseTiming timing;
  Roster settled;
  std::vector<Roster> unsettled;  // by rising version
  std::map<MemberId, PeerVersion> peers;
  std::map<MemberId, TimePoint> retired_since;
};

}  // namespace pistachio::internal
