#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "pistachio/connection/lease.h"
#include "pistachio/connection/store.h"

namespace pistachio {
namespace {

const DataCentreId kDataCentre("waikato");
const UnitId kRack("rack-1");

/// \brief One member on a shared store, with every message delivered at once.
struct Member {
  Member(const std::string& host, std::uint64_t incarnation, std::vector<HostId> peers,
         TimePoint now)
      : id{HostId(host), incarnation},
        logic(kDataCentre, id, std::move(peers), LeaseTiming{}, now) {}

  MemberId id;
  Membership logic;
  bool running = true;
};

struct Cluster {
  FakeStore store;
  TimePoint now{std::chrono::hours(1)};
  std::deque<Member> members;
  StoreFault fault = StoreFault::kNone;
  std::set<MemberId> cut_from_store;

  void Feed(Member* member, const MembershipEvent& event) {
    for (const MembershipAction& action : member->logic.Handle(event, this->now)) {
      if (const auto* call = std::get_if<MemberCallStore>(&action)) {
        const bool cut = this->cut_from_store.count(member->id) != 0;
        const StoreReply reply =
            this->store.Call(call->call, cut ? StoreFault::kDown : this->fault);
        this->Feed(member, MemberStoreAnswered{call->call_id, reply});
      } else if (const auto* message = std::get_if<SendMemberMessage>(&action)) {
        this->Deliver(*message);
      } else if (const auto* draining = std::get_if<UnitDraining>(&action)) {
        this->Feed(member, UnitDrained{draining->unit});
      }
    }
  }

  void Deliver(const SendMemberMessage& message) {
    for (Member& member : this->members) {
      if (member.running && member.id.host == message.to) {
        this->Feed(&member, MemberMessageReceived{message.message});
      }
    }
  }

  void Run(Duration time) {
    constexpr Duration kStep = std::chrono::milliseconds(100);
    for (Duration done{0}; done < time; done += kStep) {
      this->now += kStep;
      for (Member& member : this->members) {
        if (member.running) {
          this->Feed(&member, MemberTick{});
        }
      }
    }
  }

  Member& Add(const std::string& host, std::uint64_t incarnation, std::vector<HostId> peers) {
    this->members.emplace_back(host, incarnation, std::move(peers), this->now);
    this->Feed(&this->members.back(), UnitsListed{{kRack, UnitId("rack-2"), UnitId("rack-3")}});
    return this->members.back();
  }
};

TEST_CASE("a lone member joins, claims every unit under epoch 1 and may act", "[lease]") {
  Cluster cluster;
  Member& a = cluster.Add("a", 1, {});
  cluster.Run(std::chrono::seconds(3));
  REQUIRE(a.logic.roster().members == std::vector<MemberId>{a.id});
  REQUIRE(a.logic.owned().size() == 3);
  REQUIRE(a.logic.owned().at(kRack) == 1);
  REQUIRE(a.logic.act_until() > cluster.now);
}

TEST_CASE("units move to a joiner by handover, and all go to the survivor of a leaver", "[lease]") {
  Cluster cluster;
  Member& a = cluster.Add("a", 1, {HostId("b")});
  cluster.Run(std::chrono::seconds(3));
  Member& b = cluster.Add("b", 1, {HostId("a")});
  cluster.Run(std::chrono::seconds(10));
  REQUIRE(a.logic.owned().size() + b.logic.owned().size() == 3);
  REQUIRE(!b.logic.owned().empty());
  cluster.Feed(&a, LeaveRequested{});
  cluster.Run(std::chrono::seconds(5));
  REQUIRE(a.logic.owned().empty());
  REQUIRE(b.logic.owned().size() == 3);
  REQUIRE(b.logic.roster().members == std::vector<MemberId>{b.id});
}

TEST_CASE("a dead member's units are taken under a later epoch, only after its term", "[lease]") {
  Cluster cluster;
  Member& a = cluster.Add("a", 1, {HostId("b")});
  Member& b = cluster.Add("b", 1, {HostId("a")});
  cluster.Run(std::chrono::seconds(10));
  a.running = false;
  const TimePoint a_until = a.logic.act_until();
  const std::size_t owned_before = b.logic.owned().size();
  while (b.logic.owned().size() == owned_before &&
         cluster.now < a_until + std::chrono::minutes(1)) {
    cluster.Run(std::chrono::milliseconds(100));
  }
  REQUIRE(cluster.now > a_until);
  cluster.Run(std::chrono::seconds(5));
  REQUIRE(b.logic.owned().size() == 3);
  for (const auto& [unit, epoch] : a.logic.owned()) {
    REQUIRE(b.logic.owned().at(unit) > epoch);
  }
}

TEST_CASE("with the service away the lease holds by the peers' promises, until one is silent",
          "[lease]") {
  Cluster cluster;
  Member& a = cluster.Add("a", 1, {HostId("b")});
  Member& b = cluster.Add("b", 1, {HostId("a")});
  cluster.Run(std::chrono::seconds(10));
  cluster.fault = StoreFault::kDown;
  cluster.Run(std::chrono::minutes(5));
  REQUIRE(a.logic.act_until() > cluster.now);
  REQUIRE(b.logic.act_until() > cluster.now);
  b.running = false;
  cluster.Run(LeaseTiming{}.term);
  REQUIRE(a.logic.act_until() <= cluster.now);
}

TEST_CASE("a member that only the service cannot be reached by keeps its units by promises",
          "[lease]") {
  Cluster cluster;
  Member& a = cluster.Add("a", 1, {HostId("b")});
  Member& b = cluster.Add("b", 1, {HostId("a")});
  cluster.Run(std::chrono::seconds(30));
  const auto owned = a.logic.owned();
  const std::uint64_t roster = b.logic.roster().version;
  cluster.cut_from_store.insert(a.id);
  // Long enough for the other one to read the unchanged record several times.
  cluster.Run(std::chrono::minutes(5));
  REQUIRE(a.logic.act_until() > cluster.now);
  REQUIRE(a.logic.owned() == owned);
  REQUIRE(b.logic.roster().version == roster);
}

TEST_CASE("a peer that restarts at once during an outage does not stop the others", "[lease]") {
  for (const Duration away : {Duration(std::chrono::seconds(3)), LeaseTiming{}.term * 2}) {
    Cluster cluster;
    Member& a = cluster.Add("a", 1, {HostId("b")});
    Member& b = cluster.Add("b", 1, {HostId("a")});
    cluster.Run(std::chrono::seconds(10));
    cluster.fault = StoreFault::kDown;
    cluster.Run(std::chrono::seconds(30));
    b.running = false;
    cluster.Run(away);
    cluster.Add("b", 2, {HostId("a")});
    cluster.Run(std::chrono::minutes(2));
    const bool was_quick = away < LeaseTiming{}.term;
    REQUIRE((a.logic.act_until() > cluster.now) == was_quick);
  }
}

TEST_CASE("quiet members write their own records only, once in a renewal interval", "[lease]") {
  Cluster cluster;
  Member& a = cluster.Add("a", 1, {HostId("b"), HostId("c")});
  cluster.Add("b", 1, {HostId("a"), HostId("c")});
  cluster.Add("c", 1, {HostId("a"), HostId("b")});
  cluster.Run(std::chrono::minutes(2));
  const StoreCounts before = cluster.store.counts();
  constexpr std::uint64_t kRenewals = 40;
  cluster.Run(LeaseTiming{}.renew_every * static_cast<int>(kRenewals));
  REQUIRE(a.logic.roster().members.size() == 3);
  REQUIRE(cluster.store.counts().writes - before.writes <= 3 * (kRenewals + 1));
  REQUIRE(cluster.store.counts().conflicts == before.conflicts);
}

TEST_CASE("a record read before a pause gives no unit to a member whose lease ran out", "[lease]") {
  Cluster cluster;
  Member& a = cluster.Add("a", 1, {HostId("b")});
  Member& b = cluster.Add("b", 1, {HostId("a")});
  cluster.Run(std::chrono::seconds(10));
  const UnitId unit("rack-9");
  const Epoch epoch = 6;
  // The old owner hands the unit over, the news arrives, the read is answered after a long pause.
  const UnitMoved news{a.id, unit, b.id, epoch + 1};
  const auto actions = b.logic.Handle(MemberMessageReceived{news}, cluster.now);
  const auto& read = std::get<MemberCallStore>(actions.at(0));
  const std::string key = std::get<GetCall>(read.call).key;
  const std::string value = internal::Encode(internal::UnitRecord{b.id, epoch + 1});
  const StoreReply reply{StoreStatus::kOk, {StoreEntry{key, value, 99}}, 0};
  cluster.now += std::chrono::minutes(1);
  b.logic.Handle(MemberStoreAnswered{read.call_id, reply}, cluster.now);
  REQUIRE(b.logic.owned().count(unit) == 0);
}

TEST_CASE("a member uses no slots from the moment that its record may say that it left",
          "[lease]") {
  Cluster cluster;
  Member& a = cluster.Add("a", 1, {});
  cluster.Run(std::chrono::seconds(10));
  REQUIRE(a.logic.UsableSlots(TargetId("t"), 8, cluster.now) == 8);
  cluster.Feed(&a, LeaveRequested{});
  cluster.fault = StoreFault::kLostAnswer;
  bool sent = false;
  for (int step = 0; step < 100 && !sent; step++) {
    cluster.now += std::chrono::milliseconds(100);
    for (const MembershipAction& action : a.logic.Handle(MemberTick{}, cluster.now)) {
      const auto* call = std::get_if<MemberCallStore>(&action);
      const auto* write = call == nullptr ? nullptr : std::get_if<CompareAndSwapCall>(&call->call);
      const auto record =
          write == nullptr ? std::nullopt : internal::DecodeMemberRecord(write->value);
      sent = sent || (record && record->state == internal::MemberState::kLeft);
      if (call != nullptr && !sent) {
        a.logic.Handle(MemberStoreAnswered{call->call_id, cluster.store.Call(call->call)},
                       cluster.now);
      }
    }
  }
  REQUIRE(sent);
  REQUIRE(a.logic.UsableSlots(TargetId("t"), 8, cluster.now) == 0);
  REQUIRE(a.logic.act_until() <= cluster.now);
}

}  // namespace
}  // namespace pistachio
