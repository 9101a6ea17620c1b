#include "pistachio/process/scheduling/lease_witnesses.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WitnessSettings kSettings;

std::vector<LeaseWitnesses::Candidate> Candidates(std::uint64_t first, std::uint64_t count) {
  std::vector<LeaseWitnesses::Candidate> candidates;
  for (std::uint64_t id = first; id < first + count; ++id) {
    candidates.push_back({id, DataCentreId(id % 3 == 0 ? "north" : "south")});
  }
  return candidates;
}

TEST_CASE("an owner without recent answers of a majority of the witnesses extends no lease",
          "[lease_witnesses]") {
  TimePoint now{std::chrono::hours(1)};
  LeaseWitnesses owner(kSettings);
  REQUIRE(owner.MayExtend(now));
  owner.BeginWrite({1, 2, 3}, now);
  // The next owner may read the set from now on.
  REQUIRE_FALSE(owner.MayExtend(now));
  owner.Confirm(1, now, now);
  owner.Confirm(9, now, now);
  REQUIRE_FALSE(owner.MayExtend(now));
  owner.Confirm(2, now, now);
  owner.ConfirmWrite();
  REQUIRE(owner.MayExtend(now));
  // The answer to an order counts from the sending of the order.
  owner.Confirm(3, now - kSettings.validity - milliseconds(1), now);
  now += kSettings.validity;
  REQUIRE(owner.MayExtend(now));
  REQUIRE_FALSE(owner.MayExtend(now + milliseconds(1)));
}

TEST_CASE("both sets of witnesses count while their write is not confirmed", "[lease_witnesses]") {
  const TimePoint now{std::chrono::hours(1)};
  LeaseWitnesses owner(kSettings);
  owner.Inherit({1, 2, 3});
  owner.BeginWrite({4, 5, 6}, now);
  for (const std::uint64_t witness : {4, 5, 6}) {
    owner.Confirm(witness, now, now);
  }
  REQUIRE_FALSE(owner.MayExtend(now));
  owner.Confirm(1, now, now);
  REQUIRE_FALSE(owner.majority_answered_at());
  REQUIRE(owner.Confirm(2, now, now));
  REQUIRE(owner.majority_answered_at() == now);
  REQUIRE(owner.MayExtend(now));
  owner.ConfirmWrite();
  REQUIRE(owner.in_store() == WitnessSet{4, 5, 6});
  REQUIRE(owner.MayExtend(now));
}

TEST_CASE("the witnesses of a former owner are replaced only once it extends no lease",
          "[lease_witnesses]") {
  const TimePoint now{std::chrono::hours(1)};
  LeaseWitnesses owner(kSettings);
  owner.Inherit({1, 2, 3});
  REQUIRE_FALSE(owner.MayChoose(false, now));
  REQUIRE(owner.MayChoose(true, now));
  owner.Confirm(1, now, now);
  REQUIRE_FALSE(owner.MayChoose(false, now));
  owner.Confirm(3, now, now);
  REQUIRE(owner.MayChoose(false, now));
  owner.BeginWrite({1, 2, 4}, now);
  REQUIRE_FALSE(owner.MayChoose(true, now + kSettings.choice_interval / 2));
}

TEST_CASE("witnesses stay while they answer and come from all data centres", "[lease_witnesses]") {
  const TimePoint now{std::chrono::hours(1)};
  LeaseWitnesses owner(kSettings);
  REQUIRE(owner.Choose({}).empty());
  REQUIRE(owner.Choose(Candidates(1, 4)).size() == 4);
  const WitnessSet first = owner.Choose(Candidates(1, 40));
  REQUIRE(first.size() == kSettings.count);
  const auto in_north =
      std::count_if(first.begin(), first.end(), [](std::uint64_t id) { return id % 3 == 0; });
  REQUIRE(std::abs(in_north - static_cast<std::ptrdiff_t>(kSettings.count) / 2) <= 1);
  owner.BeginWrite(first, now);
  owner.ConfirmWrite();
  REQUIRE(owner.Choose(Candidates(1, 400)) == first);
  // One that is lost is replaced, the others stay.
  std::vector<LeaseWitnesses::Candidate> left = Candidates(1, 40);
  left.erase(std::remove_if(left.begin(), left.end(),
                            [&](const auto& candidate) { return candidate.id == *first.begin(); }),
             left.end());
  const WitnessSet second = owner.Choose(left);
  REQUIRE(second.size() == kSettings.count);
  std::vector<std::uint64_t> kept;
  std::set_intersection(first.begin(), first.end(), second.begin(), second.end(),
                        std::back_inserter(kept));
  REQUIRE(kept.size() == kSettings.count - 1);
}

// Whatever the two sides of a cut reach, a former owner that still extends leases and a successor
// that counts on its silence cannot both have a majority.
TEST_CASE("after a majority has answered the successor, the former owner extends nothing",
          "[lease_witnesses]") {
  const TimePoint begin{std::chrono::hours(1)};
  const WitnessSet witnesses{1, 2, 3, 4, 5};
  for (unsigned reached_by_former = 0; reached_by_former < 32; ++reached_by_former) {
    for (unsigned reached_by_successor = 0; reached_by_successor < 32; ++reached_by_successor) {
      LeaseWitnesses former(kSettings);
      former.BeginWrite(witnesses, begin);
      former.ConfirmWrite();
      LeaseWitnesses successor(kSettings);
      successor.Inherit(witnesses);
      std::set<std::uint64_t> fenced;
      for (TimePoint now = begin; now < begin + seconds(5); now += milliseconds(100)) {
        for (unsigned index = 0; index < witnesses.size(); ++index) {
          const std::uint64_t witness = index + 1;
          if (((reached_by_former >> index) & 1U) != 0 && fenced.count(witness) == 0) {
            former.Confirm(witness, now, now);
          }
          if (((reached_by_successor >> index) & 1U) != 0 && now >= begin + seconds(2)) {
            fenced.insert(witness);
            successor.Confirm(witness, now, now);
          }
        }
        const auto answered_at = successor.majority_answered_at();
        const bool over = answered_at && now > *answered_at + kSettings.validity;
        REQUIRE_FALSE((over && former.MayExtend(now)));
      }
    }
  }
}

}  // namespace
}  // namespace pistachio
