#include "pistachio/version/hierarchy.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

SubtreeVersion MakeVersion(const std::string& subtree, std::uint64_t version,
                           const std::string& document) {
  return SubtreeVersion{subtree, version, subtree + std::to_string(version), document};
}

const char* const kRootDocument = R"([limits]
max_priority = 950
services = 3
[limits.quota]
cpu_millis = 64000
[defaults]
max_priority = 400
[defaults.quota]
cpu_millis = 16000
memory_mib = 65536
[teams.relay]
max_priority = 999
quota.cpu_millis = 200000
)";

const char* const kRelayDocument = R"(max_priority = 990
[quota]
cpu_millis = 100000
[placement]
only_in_racks = ["r1", "r2"]
[services.base]
count = 0
cpu_millis = 2000
priority = 960
[services.checks]
like = "base"
count = 4
)";

SettingsHierarchy MakeHierarchy() {
  SettingsHierarchy hierarchy;
  REQUIRE(hierarchy.Apply(MakeVersion(kRootSubtree, 1, kRootDocument)).empty());
  REQUIRE(hierarchy.Apply(MakeVersion("relay", 1, kRelayDocument)).empty());
  return hierarchy;
}

TEST_CASE("a value comes from the team, then from the service named by like, then from the root",
          "[version]") {
  const SettingsHierarchy hierarchy = MakeHierarchy();
  const TeamSettings& relay = hierarchy.teams().at(TeamId("relay"));
  REQUIRE(relay.max_priority == 990);
  REQUIRE(relay.quota == Resources{100000, 65536, 0});
  REQUIRE(relay.services.size() == 2);
  const JobSpec& checks = relay.services[1];
  REQUIRE(checks.service == ServiceId("relay.checks"));
  REQUIRE(checks.job == JobId("service.relay.checks"));
  REQUIRE(checks.count == 4);
  REQUIRE(checks.task_resources == Resources{2000, 1024, 0});
  REQUIRE(checks.priority == 960);
  REQUIRE(checks.only_in_racks.size() == 2);
}

TEST_CASE("a team value above the root's limit is rejected by Check and lowered by Put",
          "[version]") {
  SettingsHierarchy hierarchy = MakeHierarchy();
  const std::string document = "max_priority = 960\n";
  const auto errors = hierarchy.Check("levy", document, "levy.toml");
  REQUIRE(errors.size() == 1);
  REQUIRE(errors[0].str() ==
          "levy.toml:1: max_priority: 960 exceeds the root's limit (allowed: 0 to 950)");
  REQUIRE(hierarchy.Apply(MakeVersion("levy", 1, document)).size() == 1);
  REQUIRE(hierarchy.teams().at(TeamId("levy")).max_priority == 950);
  REQUIRE(hierarchy.Check("levy", "max_priority = 950\n", "f").empty());
}

TEST_CASE("a root limit below a team's value is rejected, with the team's key in the error",
          "[version]") {
  const SettingsHierarchy hierarchy = MakeHierarchy();
  const auto errors =
      hierarchy.Check(kRootSubtree, "[teams.relay]\nquota.cpu_millis = 8000\n", "root.toml");
  REQUIRE_FALSE(errors.empty());
  REQUIRE(errors[0].file == "relay");
  REQUIRE(errors[0].key == "quota.cpu_millis");
  REQUIRE(hierarchy.teams().at(TeamId("relay")).quota.cpu_millis == 100000);
}

TEST_CASE("a root default above the limit of the same root document is rejected", "[version]") {
  const auto errors = SettingsHierarchy().Check(
      kRootSubtree, "[limits]\nmax_priority = 10\n[defaults]\nmax_priority = 11\n", "root.toml");
  REQUIRE(errors.size() == 1);
  REQUIRE(errors[0].line == 4);
}

TEST_CASE("like keys that form a cycle or name an unknown service are rejected", "[version]") {
  const SettingsHierarchy hierarchy = MakeHierarchy();
  const auto cycle = hierarchy.Check(
      "levy", "[services.a]\nlike = \"b\"\n[services.b]\nlike = \"a\"\n", "levy.toml");
  REQUIRE_FALSE(cycle.empty());
  REQUIRE(cycle[0].problem.find("cycle") != std::string::npos);
  REQUIRE(cycle[0].line == 4);
  const auto self_reference = hierarchy.Check("levy", "[services.a]\nlike = \"a\"\n", "levy.toml");
  REQUIRE(self_reference[0].problem.find("cycle") != std::string::npos);
  const auto unknown_service = hierarchy.Check("levy", "[services.a]\nlike = \"b\"\n", "levy.toml");
  REQUIRE(unknown_service[0].problem.find("no service") != std::string::npos);
}

TEST_CASE(
    "services above the quota, above the maximum number or outside the team's racks are rejected",
    "[version]") {
  const SettingsHierarchy hierarchy = MakeHierarchy();
  const auto quota =
      hierarchy.Check("levy", "[services.a]\ncount = 17\ncpu_millis = 1000\n", "levy.toml");
  REQUIRE(quota.at(0).problem.find("17000m") != std::string::npos);
  const auto too_many = hierarchy.Check(
      "levy", "[services]\na.count = 1\nb.count = 1\nc.count = 1\nd.count = 1\n", "levy.toml");
  REQUIRE(too_many.at(0).allowed_range == "at most 3");
  const auto rack = hierarchy.Check("levy",
                                    "placement.only_in_racks = [\"r1\"]\n[services.a]\n"
                                    "only_in_racks = [\"r9\"]\n",
                                    "levy.toml");
  REQUIRE(rack.at(0).line == 3);
}

TEST_CASE("an invalid document keeps the last valid one in force, and older versions are ignored",
          "[version]") {
  SettingsHierarchy hierarchy = MakeHierarchy();
  REQUIRE_FALSE(hierarchy.Apply(MakeVersion("relay", 2, "max_priority = ")).empty());
  REQUIRE(hierarchy.teams().at(TeamId("relay")).max_priority == 990);
  hierarchy.Apply(MakeVersion("relay", 1, "max_priority = 1\n"));
  REQUIRE(hierarchy.teams().at(TeamId("relay")).max_priority == 990);
  hierarchy.Apply(MakeVersion("relay", 3, "max_priority = 2\n"));
  REQUIRE(hierarchy.teams().at(TeamId("relay")).max_priority == 2);
}

TEST_CASE("the settings do not depend on the order in which subtrees arrive", "[version]") {
  SettingsHierarchy team_first;
  team_first.Apply(MakeVersion("relay", 1, kRelayDocument));
  team_first.Apply(MakeVersion(kRootSubtree, 1, kRootDocument));
  const SettingsHierarchy root_first = MakeHierarchy();
  const TeamSettings& from_team_first = team_first.teams().at(TeamId("relay"));
  const TeamSettings& from_root_first = root_first.teams().at(TeamId("relay"));
  REQUIRE(from_team_first.quota == from_root_first.quota);
  REQUIRE(from_team_first.max_priority == from_root_first.max_priority);
  REQUIRE(from_team_first.services.size() == from_root_first.services.size());
}

TEST_CASE("a job is validated against the limits of its team", "[version]") {
  const SettingsHierarchy hierarchy = MakeHierarchy();
  JobSpec job;
  job.job = JobId("nightly");
  job.team = TeamId("relay");
  job.priority = 990;
  job.task_resources = Resources{1000, 1024, 0};
  REQUIRE(hierarchy.CheckJob(job).empty());
  job.priority = 991;
  REQUIRE(hierarchy.CheckJob(job).at(0).key == "priority");
  job.priority = 0;
  job.task_resources.accelerators = 1;
  REQUIRE(hierarchy.CheckJob(job).size() == 1);
  job.task_resources.accelerators = 0;
  job.only_in_racks = {RackId("r9")};
  REQUIRE(hierarchy.CheckJob(job).at(0).key == "only_in_racks");
  job.team = TeamId("nobody");
  REQUIRE(hierarchy.CheckJob(job).at(0).key == "team");
  job.team = TeamId("relay");
  job.only_in_racks.clear();
  job.job = JobId("service.relay.checks");
  REQUIRE(hierarchy.CheckJob(job).at(0).key == "job");
}

TEST_CASE("a token authorizes changes only of the subtrees that contain its digest", "[version]") {
  // Known SHA-1 test vector for "abc".
  REQUIRE(TokenDigest("abc") == "a9993e364706816aba3e25717850c26c9cd0d89d");
  SettingsHierarchy hierarchy;
  const auto with_digest = [](const std::string& token) {
    return "[operators.ada]\ntoken_digest = \"" + TokenDigest(token) + "\"\n";
  };
  REQUIRE(hierarchy.Apply(MakeVersion(kRootSubtree, 1, with_digest("all"))).empty());
  REQUIRE(hierarchy.Apply(MakeVersion("relay", 1, with_digest("one"))).empty());
  REQUIRE(hierarchy.Apply(MakeVersion("levy", 1, "")).empty());
  REQUIRE(hierarchy.MayChange("all", "levy"));
  REQUIRE(hierarchy.MayChange("all", kRootSubtree));
  REQUIRE(hierarchy.MayChange("one", "relay"));
  REQUIRE_FALSE(hierarchy.MayChange("one", "levy"));
  REQUIRE_FALSE(hierarchy.MayChange("one", kRootSubtree));
  REQUIRE_FALSE(hierarchy.MayChange("", "relay"));
}

TEST_CASE("a team above the maximum is rejected, and the errors of a root document are limited",
          "[version]") {
  SettingsHierarchy hierarchy;
  for (std::size_t i = 0; i < kMaxTeams; i++) {
    hierarchy.Apply(MakeVersion("team-" + std::to_string(i), 1, "max_priority = 900\n"));
  }
  const auto team_above_maximum = hierarchy.Check("team-x", "max_priority = 1\n", "f");
  REQUIRE(team_above_maximum.size() == 1);
  REQUIRE(team_above_maximum[0].allowed_range == "at most 2000 teams");
  REQUIRE(hierarchy.Check("team-7", "max_priority = 1\n", "f").empty());
  const auto root = hierarchy.Check(kRootSubtree,
                                    "[limits]\nmax_priority = 1\n[defaults]\n"
                                    "max_priority = 1\n",
                                    "root.toml");
  REQUIRE_FALSE(root.empty());
  REQUIRE(root.size() <= 100);
}

TEST_CASE("an invalid subtree name is rejected", "[version]") {
  for (const char* name : {"", "a.b", "../root", "A", "a/b", "a b"}) {
    CAPTURE(name);
    REQUIRE_FALSE(SettingsHierarchy().Check(name, "", "f").empty());
  }
}

}  // namespace
}  // namespace pistachio
