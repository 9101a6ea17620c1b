#include <catch2/catch.hpp>
#include <functional>

#include "tests/version/settings_world.h"

namespace pistachio {
namespace {

constexpr Duration kBound = std::chrono::seconds(9);

/// \brief A fault, and which hosts have to get a change nevertheless while it lasts.
struct SpreadFaultCase {
  std::string name;
  std::function<void(SettingsWorld*)> begin;
  std::function<bool(const SettingsWorld&, const HostId&)> reached;
};

const DataCentreId kHit("dc1");

HostId FirstWatcher(const SettingsWorld& world) {
  for (const HostId& host : world.hosts()) {
    if (world.CentreOf(host) == kHit && world.spread(host).watching()) {
      return host;
    }
  }
  return HostId();
}

bool Everyone(const SettingsWorld& /*world*/, const HostId& /*host*/) { return true; }
bool Nobody(const SettingsWorld& /*world*/, const HostId& /*host*/) { return false; }
bool OutsideOfHit(const SettingsWorld& world, const HostId& host) {
  return world.CentreOf(host) != kHit;
}

std::vector<SpreadFaultCase> MakeFaultCases() {
  return {
      {"service down", [](SettingsWorld* world) { world->CutStore(); }, Nobody},
      {"one watcher cut from the service",
       [](SettingsWorld* world) { world->CutFromStore(FirstWatcher(*world)); }, Everyone},
      {"both watchers cut from the service",
       [](SettingsWorld* world) {
         for (const HostId& host : world->hosts()) {
           if (world->spread(host).watching() && world->CentreOf(host) == kHit) {
             world->CutFromStore(host);
           }
         }
       },
       Everyone},
      {"data centre cut from the service",
       [](SettingsWorld* world) { world->CutCentreFromStore(kHit); }, Everyone},
      {"data centre cut from the service and from one neighbour",
       [](SettingsWorld* world) {
         world->CutCentreFromStore(kHit);
         world->CutCentres(kHit, DataCentreId("dc0"));
       },
       Everyone},
      {"data centre cut from everything",
       [](SettingsWorld* world) {
         world->CutCentreFromStore(kHit);
         world->CutCentres(kHit, DataCentreId("dc0"));
         world->CutCentres(kHit, DataCentreId("dc2"));
       },
       OutsideOfHit},
      {"data centres cut from each other",
       [](SettingsWorld* world) {
         world->CutCentres(kHit, DataCentreId("dc0"));
         world->CutCentres(kHit, DataCentreId("dc2"));
         world->CutCentres(DataCentreId("dc0"), DataCentreId("dc2"));
       },
       Everyone},
      {"a watcher's peer connections lost",
       [](SettingsWorld* world) { world->LoseMessagesOfHost(FirstWatcher(*world)); }, Everyone},
      {"a watcher restarted", [](SettingsWorld* world) { world->Restart(FirstWatcher(*world)); },
       Everyone},
      {"a data centre restarted", [](SettingsWorld* world) { world->RestartCentre(kHit); },
       Everyone},
      {"a data centre restarted and cut from the service",
       [](SettingsWorld* world) {
         world->CutCentreFromStore(kHit);
         world->RestartCentre(kHit);
       },
       Everyone},
      {"all hosts restarted at once",
       [](SettingsWorld* world) {
         for (const HostId& host : world->hosts()) {
           world->Restart(host);
         }
       },
       Everyone},
  };
}

TEST_CASE(
    "every fault at every step of the spread: in force where a way exists, everywhere after "
    "healing",
    "[version][fault-matrix]") {
  // Steps of a change: before it, as it is accepted, its watch answers under way, its relays under
  // way, relays done, one digest later. A negative instant is before the change.
  const std::vector<Duration> instants = {
      std::chrono::milliseconds(-500), Duration(0),
      std::chrono::milliseconds(1),    std::chrono::milliseconds(4),
      std::chrono::milliseconds(10),   std::chrono::milliseconds(1200)};
  for (const SpreadFaultCase& fault : MakeFaultCases()) {
    for (const Duration at : instants) {
      CAPTURE(fault.name, at.count());
      SettingsWorld world(3, 3);
      world.Accept("relay", "");
      world.Accept(kRootSubtree, "");
      world.Advance(std::chrono::seconds(5));
      REQUIRE(world.Lagging().empty());
      if (at < Duration(0)) {
        fault.begin(&world);
        world.Advance(-at);
      }
      world.Accept("relay", "# newer\n");
      if (at >= Duration(0)) {
        world.Advance(at);
        fault.begin(&world);
      }
      world.Advance(kBound);
      for (const HostId& host : world.Lagging()) {
        CAPTURE(host.str());
        REQUIRE_FALSE(fault.reached(world, host));
      }
      world.Accept("levy", "# during the fault\n");
      world.Advance(std::chrono::seconds(15));
      world.HealAll();
      world.Advance(kBound);
      REQUIRE(world.Lagging().empty());
      REQUIRE(world.violations.empty());
    }
  }
}

}  // namespace
}  // namespace pistachio
