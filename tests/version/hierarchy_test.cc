#include "pistachio/version/hierarchy.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

SubtreeVersion Version(const std::string& subtree, std::uint64_t version,
                       const std::string& document) {
  return SubtreeVersion{subtree, version, subtree + std::to_string(version), document};
}

const char* const kRoot = R"([limits]
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

const char* const kRelay = R"(max_priority = 990
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

Hierarchy MakeHierarchy() {
  Hierarchy hierarchy;
  REQUIRE(hierarchy.Put(Version(kRootSubtree, 1, kRoot)).empty());
  REQUIRE(hierarchy.Put(Version("relay", 1, kRelay)).empty());
  return hierarchy;
}

TEST_CASE("a team gets its own values, then those of a like service, then the root's defaults",
          "[version]") {
  const Hierarchy hierarchy = MakeHierarchy();
  const TeamSettings& relay = hierarchy.teams().at(TeamId("relay"));
  REQUIRE(relay.max_priority == 990);
  REQUIRE(relay.quota == Resources{100000, 65536, 0});
  REQUIRE(relay.services.size() == 2);
  const JobSpec& checks = relay.services[1];
  REQUIRE(checks.service == ServiceId("relay.checks"));
  REQUIRE(checks.job == JobId("service.relay.checks"));
  REQUIRE(checks.count == 4);
  REQUIRE(checks.declared == Resources{2000, 1024, 0});
  REQUIRE(checks.priority == 960);
  REQUIRE(checks.only_in_racks.size() == 2);
}

TEST_CASE("a child above its parent's limit is refused with the range, and lowered if in force",
          "[version]") {
  Hierarchy hierarchy = MakeHierarchy();
  const std::string document = "max_priority = 960\n";
  const auto errors = hierarchy.Check("levy", document, "levy.toml");
  REQUIRE(errors.size() == 1);
  REQUIRE(errors[0].str() ==
          "levy.toml:1: max_priority: 960 exceeds the root's limit (allowed: 0 to 950)");
  REQUIRE(hierarchy.Put(Version("levy", 1, document)).size() == 1);
  REQUIRE(hierarchy.teams().at(TeamId("levy")).max_priority == 950);
  REQUIRE(hierarchy.Check("levy", "max_priority = 950\n", "f").empty());
}

TEST_CASE("a root that some team would exceed is refused and names the team's key", "[version]") {
  const Hierarchy hierarchy = MakeHierarchy();
  const auto errors =
      hierarchy.Check(kRootSubtree, "[teams.relay]\nquota.cpu_millis = 8000\n", "root.toml");
  REQUIRE_FALSE(errors.empty());
  REQUIRE(errors[0].file == "relay");
  REQUIRE(errors[0].key == "quota.cpu_millis");
  REQUIRE(hierarchy.teams().at(TeamId("relay")).quota.cpu_millis == 100000);
}

TEST_CASE("a default above the root's own limit is refused", "[version]") {
  const auto errors = Hierarchy().Check(
      kRootSubtree, "[limits]\nmax_priority = 10\n[defaults]\nmax_priority = 11\n", "root.toml");
  REQUIRE(errors.size() == 1);
  REQUIRE(errors[0].line == 4);
}

TEST_CASE("services that are like each other in a cycle, or like none, are refused", "[version]") {
  const Hierarchy hierarchy = MakeHierarchy();
  const auto cycle = hierarchy.Check(
      "levy", "[services.a]\nlike = \"b\"\n[services.b]\nlike = \"a\"\n", "levy.toml");
  REQUIRE_FALSE(cycle.empty());
  REQUIRE(cycle[0].problem.find("cycle") != std::string::npos);
  REQUIRE(cycle[0].line == 4);
  const auto self = hierarchy.Check("levy", "[services.a]\nlike = \"a\"\n", "levy.toml");
  REQUIRE(self[0].problem.find("cycle") != std::string::npos);
  const auto none = hierarchy.Check("levy", "[services.a]\nlike = \"b\"\n", "levy.toml");
  REQUIRE(none[0].problem.find("no service") != std::string::npos);
}

TEST_CASE("services over the quota, over the number and outside the team's racks are refused",
          "[version]") {
  const Hierarchy hierarchy = MakeHierarchy();
  const auto quota =
      hierarchy.Check("levy", "[services.a]\ncount = 17\ncpu_millis = 1000\n", "levy.toml");
  REQUIRE(quota.at(0).problem.find("17000m") != std::string::npos);
  const auto many = hierarchy.Check(
      "levy", "[services]\na.count = 1\nb.count = 1\nc.count = 1\nd.count = 1\n", "levy.toml");
  REQUIRE(many.at(0).allowed_range == "at most 3");
  const auto rack = hierarchy.Check("levy",
                                    "placement.only_in_racks = [\"r1\"]\n[services.a]\n"
                                    "only_in_racks = [\"r9\"]\n",
                                    "levy.toml");
  REQUIRE(rack.at(0).line == 3);
}

TEST_CASE("an unreadable document leaves the last readable one in force; versions only rise",
          "[version]") {
  Hierarchy hierarchy = MakeHierarchy();
  REQUIRE_FALSE(hierarchy.Put(Version("relay", 2, "max_priority = ")).empty());
  REQUIRE(hierarchy.teams().at(TeamId("relay")).max_priority == 990);
  hierarchy.Put(Version("relay", 1, "max_priority = 1\n"));
  REQUIRE(hierarchy.teams().at(TeamId("relay")).max_priority == 990);
  hierarchy.Put(Version("relay", 3, "max_priority = 2\n"));
  REQUIRE(hierarchy.teams().at(TeamId("relay")).max_priority == 2);
}

TEST_CASE("the order in which subtrees arrive does not matter", "[version]") {
  Hierarchy backwards;
  backwards.Put(Version("relay", 1, kRelay));
  backwards.Put(Version(kRootSubtree, 1, kRoot));
  const Hierarchy forwards = MakeHierarchy();
  const TeamSettings& a = backwards.teams().at(TeamId("relay"));
  const TeamSettings& b = forwards.teams().at(TeamId("relay"));
  REQUIRE(a.quota == b.quota);
  REQUIRE(a.max_priority == b.max_priority);
  REQUIRE(a.services.size() == b.services.size());
}

TEST_CASE("a job is checked against its team's limits", "[version]") {
  const Hierarchy hierarchy = MakeHierarchy();
  JobSpec job;
  job.job = JobId("nightly");
  job.team = TeamId("relay");
  job.priority = 990;
  job.declared = Resources{1000, 1024, 0};
  REQUIRE(hierarchy.CheckJob(job).empty());
  job.priority = 991;
  REQUIRE(hierarchy.CheckJob(job).at(0).key == "priority");
  job.priority = 0;
  job.declared.accelerators = 1;
  REQUIRE(hierarchy.CheckJob(job).size() == 1);
  job.declared.accelerators = 0;
  job.only_in_racks = {RackId("r9")};
  REQUIRE(hierarchy.CheckJob(job).at(0).key == "only_in_racks");
  job.team = TeamId("nobody");
  REQUIRE(hierarchy.CheckJob(job).at(0).key == "team");
  job.team = TeamId("relay");
  job.only_in_racks.clear();
  job.job = JobId("service.relay.checks");
  REQUIRE(hierarchy.CheckJob(job).at(0).key == "job");
}

TEST_CASE("a token may change the subtrees that hold its digest and no other", "[version]") {
  // The digest of "abc" is a known answer of SHA-1.
  REQUIRE(TokenDigest("abc") == "a9993e364706816aba3e25717850c26c9cd0d89d");
  Hierarchy hierarchy;
  const auto with_digest = [](const std::string& token) {
    return "[operators.ada]\ntoken_digest = \"" + TokenDigest(token) + "\"\n";
  };
  REQUIRE(hierarchy.Put(Version(kRootSubtree, 1, with_digest("all"))).empty());
  REQUIRE(hierarchy.Put(Version("relay", 1, with_digest("one"))).empty());
  REQUIRE(hierarchy.Put(Version("levy", 1, "")).empty());
  REQUIRE(hierarchy.MayChange("all", "levy"));
  REQUIRE(hierarchy.MayChange("all", kRootSubtree));
  REQUIRE(hierarchy.MayChange("one", "relay"));
  REQUIRE_FALSE(hierarchy.MayChange("one", "levy"));
  REQUIRE_FALSE(hierarchy.MayChange("one", kRootSubtree));
  REQUIRE_FALSE(hierarchy.MayChange("", "relay"));
}

TEST_CASE("thousands of teams get a clear error and a bounded cost", "[version]") {
  Hierarchy hierarchy;
  for (std::size_t i = 0; i < kMaxTeams; i++) {
    hierarchy.Put(Version("team-" + std::to_string(i), 1, "max_priority = 900\n"));
  }
  const auto one_more = hierarchy.Check("team-x", "max_priority = 1\n", "f");
  REQUIRE(one_more.size() == 1);
  REQUIRE(one_more[0].allowed_range == "at most 2000 teams");
  REQUIRE(hierarchy.Check("team-7", "max_priority = 1\n", "f").empty());
  const auto root = hierarchy.Check(kRootSubtree,
                                    "[limits]\nmax_priority = 1\n[defaults]\n"
                                    "max_priority = 1\n",
                                    "root.toml");
  REQUIRE_FALSE(root.empty());
  REQUIRE(root.size() <= 100);
}

TEST_CASE("a subtree whose name is no team's is refused", "[version]") {
  for (const char* name : {"", "a.b", "../root", "A", "a/b", "a b"}) {
    CAPTURE(name);
    REQUIRE_FALSE(Hierarchy().Check(name, "", "f").empty());
  }
}

}  // namespace
}  // namespace pistachio
