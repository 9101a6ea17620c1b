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
  lease.Promised(VouchPromise{kPeer, kSelf, round, kTiming.term});
  REQUIRE(lease.act_until() < later);
  lease.Promised(VouchPromise{kOther, kSelf, round, kTiming.term});
  REQUIRE(lease.act_until() == later + kTiming.term - kTiming.drift_margin);
}

TEST_CASE("a promise for another incarnation or an unknown request is ignored", "[lease]") {
  internal::OwnLease lease(kSelf, kTiming);
  const Roster roster = RosterOf(1, {kSelf, kPeer});
  lease.RenewalLanded(lease.BeginRenewal(&roster, kSent));
  const TimePoint later = kSent + kTiming.term;
  const std::uint64_t round = lease.BeginVouchRound(later);
  lease.Promised(VouchPromise{kPeer, MemberId{HostId("a"), 2}, round, kTiming.term});
  lease.Promised(VouchPromise{MemberId{HostId("b"), 2}, kSelf, round, kTiming.term});
  lease.Promised(VouchPromise{kPeer, kSelf, round + 1, kTiming.term});
  REQUIRE(lease.act_until() < later);
}

}  // namespace
}  // namespace pistachio
