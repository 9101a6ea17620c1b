#include "pistachio/process/ownership/owner_choice.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

const CellId kCell("cell");

TEST_CASE("hosts with the most CPU per cell rank first", "[owner_choice]") {
  const std::vector<OwnerCandidate> candidates = {
      {HostId("small"), 120, 0}, {HostId("large-busy"), 500, 1}, {HostId("large"), 500, 0}};
  REQUIRE(RankOf(HostId("large"), candidates, kCell) == 0);
  REQUIRE(RankOf(HostId("large-busy"), candidates, kCell) == 1);
  REQUIRE(RankOf(HostId("small"), candidates, kCell) == 2);
  REQUIRE(RankOf(HostId("unknown"), candidates, kCell) == 3);
}

TEST_CASE("among equal hosts, one without a cell ranks before those that own one",
          "[owner_choice]") {
  const std::vector<OwnerCandidate> candidates = {
      {HostId("a"), 250, 1}, {HostId("b"), 250, 0}, {HostId("c"), 250, 1}};
  REQUIRE(RankOf(HostId("b"), candidates, kCell) == 0);
}

TEST_CASE("the first rank among equal hosts varies with the cell", "[owner_choice]") {
  const std::vector<OwnerCandidate> candidates = {
      {HostId("a"), 250, 0}, {HostId("b"), 250, 0}, {HostId("c"), 250, 0}};
  std::size_t times_first = 0;
  for (int number = 0; number < 300; ++number) {
    times_first += RankOf(HostId("a"), candidates, CellId(std::to_string(number))) == 0 ? 1 : 0;
  }
  REQUIRE(times_first > 60);
  REQUIRE(times_first < 140);
}

TEST_CASE("a handover needs an idle host with much more CPU", "[owner_choice]") {
  REQUIRE(HasMuchStrongerIdleHost({HostId("owner"), 120, 1}, {{HostId("large"), 500, 0}}));
  REQUIRE_FALSE(HasMuchStrongerIdleHost({HostId("owner"), 120, 1}, {{HostId("large"), 500, 1}}));
  REQUIRE_FALSE(HasMuchStrongerIdleHost({HostId("owner"), 250, 1}, {{HostId("large"), 300, 0}}));
  REQUIRE_FALSE(HasMuchStrongerIdleHost({HostId("owner"), 250, 1}, {}));
}

}  // namespace
}  // namespace pistachio
