#include "pistachio/connection/lease/own_lease.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

const MemberId kSelf{HostId("a"), 1};
const MemberId kPeer{HostId("b"), 1};
const MemberId kOther{HostId("c"), 1};

Roster RosterOf(std::uint64_t version, const std::vector<MemberId>& members) {
  Roster roster;
  roster.version = version;
  roster.members = members;
  for (const MemberId& member : members) {
    roster.joined[member] = 1;
  }
  return roster;
}

const LeaseTiming kTiming;
const TimePoint kSent{std::chrono::hours(1)};

TEST_CASE("a lease counts from before the renewal was sent, less the margin", "[lease]") {
  internal::OwnLease lease(kSelf, kTiming);
  const Roster roster = RosterOf(1, {kSelf, kPeer});
  lease.RenewalLanded(lease.BeginRenewal(&roster, kSent));
  REQUIRE(lease.act_until() == kSent + kTiming.term - kTiming.drift_margin);
}

TEST_CASE("a renewal before the member is in a roster gives no right to act", "[lease]") {
  internal::OwnLease lease(kSelf, kTiming);
  lease.RenewalLanded(lease.BeginRenewal(nullptr, kSent));
  lease.BeginVouchRound(kSent);
  REQUIRE(lease.act_until() < kSent);
}

TEST_CASE("promises count only from all who may expel, by every roster the record may name",
          "[lease]") {
  internal::OwnLease lease(kSelf, kTiming);
  const Roster first = RosterOf(1, {kSelf, kPeer});
  const Roster second = RosterOf(2, {kSelf, kPeer, kOther});
  lease.RenewalLanded(lease.BeginRenewal(&first, kSent));
  const TimePoint later = kSent + kTiming.term;
  lease.BeginRenewal(&second, later);  // its answer is lost
  const std::uint64_t round = lease.BeginVouchRound(later);
  lease.Promised(VouchPromise{kPeer, kSelf, round, kTiming.term}, later);
  REQUIRE(lease.act_until() < later);
  lease.Promised(VouchPromise{kOther, kSelf, round, kTiming.term}, later);
  REQUIRE(lease.act_until() == later + kTiming.term - kTiming.drift_margin);
}

TEST_CASE("a promise for another incarnation or an unknown request is ignored", "[lease]") {
  internal::OwnLease lease(kSelf, kTiming);
  const Roster roster = RosterOf(1, {kSelf, kPeer});
  lease.RenewalLanded(lease.BeginRenewal(&roster, kSent));
  const TimePoint later = kSent + kTiming.term;
  const std::uint64_t round = lease.BeginVouchRound(later);
  lease.Promised(VouchPromise{kPeer, MemberId{HostId("a"), 2}, round, kTiming.term}, later);
  lease.Promised(VouchPromise{MemberId{HostId("b"), 2}, kSelf, round, kTiming.term}, later);
  lease.Promised(VouchPromise{kPeer, kSelf, round + 1, kTiming.term}, later);
  REQUIRE(lease.act_until() < later);
}

TEST_CASE("a voter whose host has a later member is asked no more, if its promise held till then",
          "[lease]") {
  const MemberId restarted{HostId("b"), 9};
  const Roster roster = RosterOf(1, {kSelf, kPeer});
  const Duration second = std::chrono::seconds(1);
  for (const bool in_time : {true, false}) {
    internal::OwnLease lease(kSelf, kTiming);
    lease.RenewalLanded(lease.BeginRenewal(&roster, kSent));
    lease.Promised(VouchPromise{kPeer, kSelf, lease.BeginVouchRound(kSent), kTiming.term}, kSent);
    const TimePoint asked = kSent + second;
    const TimePoint answered = in_time ? asked + second : kSent + kTiming.term;
    lease.Promised(VouchPromise{restarted, kSelf, lease.BeginVouchRound(asked), Duration(0)},
                   answered);
    const TimePoint later = kSent + kTiming.term * 10;
    lease.BeginVouchRound(later);
    REQUIRE((lease.act_until() > later) == in_time);
  }
}

TEST_CASE("an answer of an earlier member to an old question shows nothing of a voter", "[lease]") {
  const MemberId earlier{HostId("b"), 0};
  const Roster roster = RosterOf(1, {kSelf, kPeer});
  internal::OwnLease lease(kSelf, kTiming);
  lease.RenewalLanded(lease.BeginRenewal(&roster, kSent));
  const std::uint64_t old_round = lease.BeginVouchRound(kSent);
  const TimePoint promised = kSent + std::chrono::seconds(1);
  lease.Promised(VouchPromise{kPeer, kSelf, lease.BeginVouchRound(promised), kTiming.term},
                 promised);
  lease.Promised(VouchPromise{earlier, kSelf, old_round, Duration(0)}, promised);
  const TimePoint later = kSent + kTiming.term * 10;
  lease.BeginVouchRound(later);
  REQUIRE(lease.act_until() < later);
}

}  // namespace
}  // namespace pistachio
