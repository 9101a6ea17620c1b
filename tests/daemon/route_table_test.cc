#include <catch2/catch.hpp>

#include "pistachio/process/daemon.h"

namespace pistachio {
namespace {

PeerRoutes RoutesOf(Epoch epoch, std::uint64_t version, const std::string& target) {
  return PeerRoutes{RackId("r1"), epoch, version, {{ServiceId("alarms"), {TargetId(target)}}}};
}

TEST_CASE("routes of an older epoch or version change nothing", "[routes]") {
  RouteTable table;
  REQUIRE(table.Update(RoutesOf(2, 1, "new")));
  REQUIRE_FALSE(table.Update(RoutesOf(1, 9, "old")));
  REQUIRE_FALSE(table.Update(RoutesOf(2, 1, "same")));
  REQUIRE(table.TargetsOf(ServiceId("alarms")) == std::vector<TargetId>{TargetId("new")});
}

TEST_CASE("a target that leaves is marked so in the routes", "[routes]") {
  RouteTable table;
  table.Update(RoutesOf(1, 1, "t1"));
  TargetListing listing;
  listing.target = TargetId("t1");
  listing.slots = 8;
  listing.standing = TargetStanding::kLeaving;
  table.Update(std::vector<TargetListing>{listing});
  const auto routes = table.Build([](const TargetId&, std::uint32_t slots) { return slots / 2; });
  REQUIRE(routes.at(0).targets.at(0).leaving);
  REQUIRE(routes.at(0).targets.at(0).slots == 4);
}

TEST_CASE("a target that the platform does not list is not routed to", "[routes]") {
  RouteTable table;
  table.Update(RoutesOf(1, 1, "t1"));
  const auto routes = table.Build([](const TargetId&, std::uint32_t slots) { return slots; });
  REQUIRE(routes.at(0).targets.empty());
}

}  // namespace
}  // namespace pistachio
