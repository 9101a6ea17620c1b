#include "pistachio/version/settings_spread.h"

#include <catch2/catch.hpp>

#include "tests/version/settings_world.h"

namespace pistachio {
namespace {

constexpr Duration kBound = std::chrono::seconds(9);

std::vector<HostId> Watchers(const SettingsWorld& world, const DataCentreId& data_centre) {
  std::vector<HostId> watchers;
  for (const HostId& host : world.hosts()) {
    if (world.CentreOf(host) == data_centre && world.spread(host).watching()) {
      watchers.push_back(host);
    }
  }
  return watchers;
}

TEST_CASE("two hosts of each data centre watch, whatever the number of hosts", "[version]") {
  for (const std::size_t hosts_each : {1, 2, 5, 9}) {
    SettingsWorld world(3, hosts_each);
    world.Advance(std::chrono::seconds(2));
    for (const char* data_centre : {"dc0", "dc1", "dc2"}) {
      CAPTURE(hosts_each, data_centre);
      REQUIRE(Watchers(world, DataCentreId(data_centre)).size() ==
              std::min<std::size_t>(hosts_each, 2));
    }
  }
}

TEST_CASE("an accepted version is in force everywhere in the same second", "[version]") {
  SettingsWorld world(4, 9);
  world.Advance(std::chrono::seconds(2));
  world.Accept("relay", "max_priority = 1\n");
  world.Advance(std::chrono::seconds(1));
  REQUIRE(world.Lagging().empty());
  REQUIRE(world.violations.empty());
}

TEST_CASE("a watcher that cannot reach the service is replaced by one that can", "[version]") {
  SettingsWorld world(1, 5);
  world.Advance(std::chrono::seconds(2));
  const std::vector<HostId> before = Watchers(world, DataCentreId("dc0"));
  for (const HostId& host : before) {
    world.CutFromStore(host);
  }
  world.Advance(kBound);
  for (const HostId& host : Watchers(world, DataCentreId("dc0"))) {
    REQUIRE(std::find(before.begin(), before.end(), host) == before.end());
  }
  world.Accept("relay", "");
  world.Advance(std::chrono::seconds(1));
  REQUIRE(world.Lagging().empty());
}

TEST_CASE("a fresh host learns from its peers while the service is away", "[version]") {
  SettingsWorld world(1, 3);
  for (int i = 0; i < 270; i++) {
    world.Accept("team-" + std::to_string(i), std::string(2000, '#'));
  }
  world.Advance(std::chrono::seconds(3));
  REQUIRE(world.Lagging().empty());
  world.CutStore();
  world.Restart(world.hosts().front());
  world.Advance(kBound);
  REQUIRE(world.Lagging().empty());
}

TEST_CASE("a data centre replaced as a whole without the service learns from another",
          "[version]") {
  SettingsWorld world(2, 4);
  world.Accept("relay", "");
  world.Advance(std::chrono::seconds(2));
  world.CutCentreFromStore(DataCentreId("dc1"));
  world.RestartCentre(DataCentreId("dc1"));
  world.Accept("levy", "");
  world.Advance(kBound);
  REQUIRE(world.Lagging().empty());
}

TEST_CASE("while a data centre is cut off from everything its status says so, and healing mends it",
          "[version]") {
  SettingsWorld world(2, 3);
  world.Accept("relay", "");
  world.Advance(std::chrono::seconds(5));
  const HostId inside("dc1-h0");
  world.CutCentreFromStore(DataCentreId("dc1"));
  world.CutCentres(DataCentreId("dc0"), DataCentreId("dc1"));
  world.Accept("relay", "# newer\n");
  world.Advance(std::chrono::seconds(20));
  REQUIRE(world.Lagging().size() == 3);
  const SettingsStatus status = world.spread(inside).Status(world.now());
  REQUIRE_FALSE(status.store_reachable);
  REQUIRE(status.subtrees.at(0).version == 1);
  for (const HostSettingsRow& row : status.hosts) {
    const bool own = row.data_centre == "dc1";
    CAPTURE(row.host);
    if (own) {
      REQUIRE(row.state == "same");
    } else if (row.heard_age) {
      REQUIRE(*row.heard_age >= std::chrono::seconds(19));
    } else {
      REQUIRE(row.state == "unknown");
    }
  }
  world.HealAll();
  world.Advance(kBound);
  REQUIRE(world.Lagging().empty());
  REQUIRE(world.spread(inside).Status(world.now()).store_reachable);
}

TEST_CASE("an older version and one of another change with the same number are not taken",
          "[version]") {
  const TimePoint now{std::chrono::hours(1)};
  SettingsSpread spread(HostId("a"), DataCentreId("dc"), SpreadTiming{}, now);
  const auto offer = [&](std::uint64_t version, const std::string& change) {
    SettingsUpdate update;
    update.subtrees.push_back(SubtreeVersion{"relay", version, change, ""});
    std::vector<EventCode> events;
    for (const SpreadAction& action :
         spread.Handle(SpreadMessageReceived{HostId("b"), update}, now)) {
      if (const auto* report = std::get_if<SpreadReport>(&action)) {
        events.push_back(report->event.code);
      }
    }
    return events;
  };
  REQUIRE(offer(2, "two") == std::vector<EventCode>{EventCode::kSettingsInForce});
  REQUIRE(offer(1, "one").empty());
  REQUIRE(offer(2, "two").empty());
  REQUIRE(offer(0, "zero").empty());
  REQUIRE(offer(2, "other") == std::vector<EventCode>{EventCode::kSettingsForked});
  REQUIRE(spread.versions().versions().at("relay").change_id == "two");
}

TEST_CASE("a service that was reset is read anew and takes nothing back", "[version]") {
  const TimePoint start{std::chrono::hours(1)};
  SettingsSpread spread(HostId("a"), DataCentreId("dc"), SpreadTiming{}, start);
  const auto watch = [&](Duration at) {
    for (const SpreadAction& action : spread.Handle(SpreadTick{}, start + at)) {
      if (const auto* call = std::get_if<SpreadCallStore>(&action)) {
        return std::make_pair(call->call_id, std::get<WatchCall>(call->call).after_revision);
      }
    }
    return std::make_pair(std::uint64_t{0}, std::uint64_t{0});
  };
  const auto first = watch(Duration(0));
  const StoreEntry entry{CurrentKeyOf("relay"), EncodeSubtreeRecord({"relay", 5, "five", ""}), 5};
  spread.Handle(SpreadStoreAnswered{first.first, {StoreStatus::kOk, {entry}, 90}}, start);
  REQUIRE(watch(std::chrono::seconds(1)).second == 90);
  spread.Handle(SpreadStoreAnswered{2, {StoreStatus::kOk, {}, 3}}, start);
  REQUIRE(watch(std::chrono::seconds(2)).second == 0);
  REQUIRE(spread.versions().versions().at("relay").version == 5);
}

TEST_CASE("a record that cannot be read is reported and the others are taken", "[version]") {
  const TimePoint now{std::chrono::hours(1)};
  SettingsSpread spread(HostId("a"), DataCentreId("dc"), SpreadTiming{}, now);
  spread.Handle(SpreadTick{}, now);
  const std::vector<StoreEntry> entries = {
      {CurrentKeyOf("bad"), "\xff", 1},
      {CurrentKeyOf("good"), EncodeSubtreeRecord({"good", 1, "one", ""}), 1}};
  bool reported = false;
  for (const SpreadAction& action :
       spread.Handle(SpreadStoreAnswered{1, {StoreStatus::kOk, entries, 2}}, now)) {
    const auto* report = std::get_if<SpreadReport>(&action);
    reported =
        reported || (report != nullptr && report->event.code == EventCode::kSettingsUnreadable);
  }
  REQUIRE(reported);
  REQUIRE(spread.versions().versions().size() == 1);
}

}  // namespace
}  // namespace pistachio
