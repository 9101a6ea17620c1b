#include <catch2/catch.hpp>

#include "pistachio/connection/store/prefix_mirror.h"
#include "pistachio/process/ownership/cell_ownership.h"
#include "pistachio/process/ownership/store_keys.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;

const CellId kCell("cell");
const DataCentreId kDataCentre("north");
const MemberRecord kHost{HostId("host"), kDataCentre, 1, 500};

/// A host that takes a cell without an owner, and a store whose answers to the takes the test sets.
class TakingHost {
 public:
  TakingHost() {
    this->mirror.Start(this->now);
    this->membership.Tick(this->now);
  }

  /// Advances until the host has sent a take, or for 3 s. \returns the owner record in the take.
  std::string NextTake() {
    const std::size_t before = this->takes.size();
    for (int step = 0; step < 300 && this->takes.size() == before; ++step) {
      this->now += milliseconds(10);
      this->AnswerCalls();
      this->mirror.Tick(this->now);
      this->membership.Tick(this->now);
      this->ownership.Tick(this->now, WallTime(0), this->view, this->membership);
    }
    REQUIRE(this->takes.size() == before + 1);
    return this->takes.back().first.puts.front().value;
  }

  void AnswerTake(StoreStatus status, const std::string& owner = "") {
    StoreReply reply;
    reply.status = status;
    if (!owner.empty()) {
      reply.items = {StoreItem{store_keys::Owner(kCell), owner, 40, 40}};
    }
    this->takes.back().second(reply);
  }

  bool taken() const { return this->ownership.taken_at().has_value(); }

 private:
  /// Answers the reads and leases asked for so far.
  void AnswerCalls() {
    for (const auto& [call, callback] : std::exchange(this->calls, {})) {
      StoreReply reply;
      reply.status =
          std::holds_alternative<ReadKey>(call) ? StoreStatus::kMissing : StoreStatus::kOk;
      reply.revision = 3;
      reply.lease = 7;
      if (std::holds_alternative<ReadRange>(call)) {
        reply.items = {StoreItem{store_keys::Member(kHost.host), EncodeRecord(kHost), 1, 1}};
      }
      callback(reply);
    }
  }

  TimePoint now{std::chrono::hours(1)};
  std::vector<std::pair<StoreCall, StoreCallback>> calls;
  std::vector<std::pair<Transaction, StoreCallback>> takes;
  StorePort store = [this](const StoreCall& call, Duration, const StoreCallback& callback) {
    const auto* write = std::get_if<Transaction>(&call);
    if (write != nullptr && write->puts.front().key == store_keys::Owner(kCell)) {
      this->takes.emplace_back(*write, callback);
    } else {
      this->calls.emplace_back(call, callback);
    }
  };
  PrefixMirror mirror{MirrorSettings{store_keys::kClusterPrefix}, this->store,
                      [](const StoreItem&) {}, [] {}};
  ClusterView view{this->mirror};
  Membership membership{kHost, MembershipSettings{}, this->store};
  CellOwnership ownership{CellScope{kCell, {kDataCentre}},
                          {},
                          CellOwnershipSettings{},
                          CellSettings{},
                          this->store,
                          [](const auto&) {}};
};

// The refusal of a repetition was taken for that of the take, which was then followed by a
// different one. That one failed with a conflict if the first had taken effect.
TEST_CASE("a take in doubt is repeated although the store refuses a repetition", "[takeover]") {
  TakingHost host;
  const std::string take = host.NextTake();
  host.AnswerTake(StoreStatus::kUnknown);
  REQUIRE(host.NextTake() == take);
  host.AnswerTake(StoreStatus::kRefused);
  REQUIRE(host.NextTake() == take);
  SECTION("the take had taken effect") {
    host.AnswerTake(StoreStatus::kConflict, take);
    REQUIRE(host.taken());
  }
  SECTION("another host has the cell") {
    host.AnswerTake(StoreStatus::kConflict, "other");
    REQUIRE_FALSE(host.taken());
  }
}

TEST_CASE("a take that the store has refused is followed by a new one", "[takeover]") {
  TakingHost host;
  const std::string take = host.NextTake();
  host.AnswerTake(StoreStatus::kRefused);
  REQUIRE(host.NextTake() != take);
}

}  // namespace
}  // namespace pistachio
