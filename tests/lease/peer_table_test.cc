#include "pistachio/connection/lease/peer_table.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

const MemberId kSelf{HostId("b"), 1};
const MemberId kHolder{HostId("a"), 1};
const LeaseTiming kTiming;
const TimePoint kStart{std::chrono::hours(1)};
const Duration kLapse = kTiming.term + kTiming.drift_margin;

Roster BothSince(std::uint64_t holder_joined, std::uint64_t self_joined) {
  Roster roster;
  roster.version = std::max(holder_joined, self_joined);
  roster.members = {kHolder, kSelf};
  roster.joined = {{kHolder, holder_joined}, {kSelf, self_joined}};
  return roster;
}

internal::VersionedRecords Records(std::uint64_t version, std::uint64_t roster_seen) {
  internal::MemberRecord holder;
  holder.member = kHolder;
  holder.roster_seen = roster_seen;
  internal::MemberRecord self;
  self.member = kSelf;
  self.roster_seen = roster_seen;
  return {{kHolder, {holder, version}}, {kSelf, {self, version}}};
}

TEST_CASE("a member is expelled only if two reads a term apart show the same record", "[lease]") {
  internal::PeerTable table(kSelf, kTiming);
  const Roster roster = BothSince(1, 2);
  table.RecordsRead(Records(7, 2), roster, kStart);
  REQUIRE(table.Expellable(roster, kStart + kLapse).empty());
  table.RecordsRead(Records(7, 2), roster, kStart + kLapse - Duration(1));
  REQUIRE(table.Expellable(roster, kStart + kLapse).empty());
  table.RecordsRead(Records(7, 2), roster, kStart + kLapse);
  REQUIRE(table.Expellable(roster, kStart + kLapse) == std::vector<MemberId>{kHolder});
}

TEST_CASE("a joiner that the holder has not seen does not expel it", "[lease]") {
  internal::PeerTable table(kSelf, kTiming);
  const Roster roster = BothSince(1, 2);
  table.RecordsRead(Records(7, 1), roster, kStart);
  table.RecordsRead(Records(7, 1), roster, kStart + kLapse);
  REQUIRE(table.Expellable(roster, kStart + kLapse).empty());
}

TEST_CASE("a promise is kept until its end", "[lease]") {
  internal::PeerTable table(kSelf, kTiming);
  const Roster roster = BothSince(1, 2);
  table.RecordsRead(Records(7, 2), roster, kStart);
  table.RecordsRead(Records(7, 2), roster, kStart + kLapse);
  REQUIRE(table.Promise(kHolder, roster, kStart + kLapse));
  REQUIRE(table.Expellable(roster, kStart + kLapse * 2 - Duration(1)).empty());
  REQUIRE(!table.Expellable(roster, kStart + kLapse * 2).empty());
}

TEST_CASE("nothing is promised to a holder whose expulsion may still land", "[lease]") {
  internal::PeerTable table(kSelf, kTiming);
  const Roster roster = BothSince(1, 2);
  table.RecordsRead(Records(7, 2), roster, kStart);
  table.ExpelSent(kHolder, 7);
  REQUIRE(!table.Promise(kHolder, roster, kStart));
  table.ExpelAnswered(kHolder, StoreStatus::kUnknown);
  REQUIRE(!table.Promise(kHolder, roster, kStart));
  table.ExpelSent(kHolder, 7);
  table.ExpelAnswered(kHolder, StoreStatus::kUnavailable);  // the first try is still in doubt
  REQUIRE(!table.Promise(kHolder, roster, kStart));
  table.RecordsRead(Records(8, 2), roster, kStart);
  REQUIRE(table.Promise(kHolder, roster, kStart));
}

TEST_CASE("a whole roster that is gone is expelled after the bound, or on an operator's word",
          "[lease]") {
  const MemberId fresh{HostId("c"), 1};
  const Roster roster = BothSince(1, 2);
  const TimePoint absent = kStart + kLapse;
  internal::PeerTable table(fresh, kTiming);
  table.RecordsRead(Records(7, 2), roster, kStart);
  table.RecordsRead(Records(7, 2), roster, absent);
  table.HostsListed({HostId("b"), HostId("c")}, absent);
  REQUIRE(table.Expellable(roster, absent + kTiming.gone_roster_bound).empty());  // b may do it
  table.HostsListed({HostId("c")}, absent);
  REQUIRE(table.Expellable(roster, absent + kTiming.gone_roster_bound - Duration(1)).empty());
  REQUIRE(table.Expellable(roster, absent + kTiming.gone_roster_bound).size() == 2);
  internal::PeerTable told(fresh, kTiming);
  told.RecordsRead(Records(7, 2), roster, kStart);
  told.RecordsRead(Records(7, 2), roster, absent);
  told.Release(HostId("a"));
  REQUIRE(told.Expellable(roster, absent) == std::vector<MemberId>{kHolder});
}

}  // namespace
}  // namespace pistachio
