#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The store confirms an assignment while the owner is suspended. Meanwhile another host takes the
// cell and, after the longest time for which the former owner may have extended leases, starts the
// task elsewhere. The target of the assignment is one that the new owner cannot reach, so it has
// not seen the new fencing token when the former owner resumes.
TEST_CASE("an owner that resumes sends no start on an old confirmation of the store",
          "[emulator]") {
  // Some of these times are between the commit of the assignment and the start, while no watch is
  // open that would show the new owner at once.
  for (int number = 0; number < 100; ++number) {
    const milliseconds submitted_after(3000 + 50 * (number / 10));
    const milliseconds frozen_after(40 + 10 * (number % 10));
    SimulatedClusterSettings settings;
    settings.layout = CellLayout::kOneCell;
    settings.hosts_per_data_centre = 1;
    settings.targets_per_data_centre = 1;
    settings.delay = milliseconds(20);
    SimulatedCluster cluster(settings);
    cluster.Run(submitted_after);
    const std::string owner = cluster.OwnerOf("all");
    const std::string other = owner == "north-host-0" ? "south-host-0" : "north-host-0";
    cluster.order_faults.unreachable_pairs.insert({other, "north-target-0"});
    cluster.Submit(owner, SubmissionId("0000000000000001"), MakeSubmission(1, 1, seconds(30)));
    cluster.Run(frozen_after);
    cluster.FreezeHost(owner);
    cluster.Run(seconds(18));
    cluster.ResumeHost(owner, true);
    cluster.Run(seconds(3));
    for (const std::string& violation : cluster.checker().violations()) {
      UNSCOPED_INFO(submitted_after.count()
                    << ", " << frozen_after.count() << " ms: " << violation);
    }
    REQUIRE(cluster.checker().violations().empty());
  }
}

// Requests that wait in the queue of a suspended process are handled before it notices the time.
TEST_CASE("a host that resumes answers no count from before its suspension", "[emulator]") {
  SimulatedCluster cluster({});
  cluster.Run(seconds(5));
  std::vector<Outcome> outcomes;
  const auto query = [&cluster, &outcomes] {
    cluster.QueryPending("north-host-0", [&outcomes](const CallerAnswer& answer) {
      outcomes.push_back(answer.outcome);
    });
  };
  query();
  cluster.FreezeHost("north-host-0");
  cluster.Run(seconds(6));
  cluster.ResumeHost("north-host-0");
  query();
  cluster.Run(seconds(6));
  query();
  REQUIRE(outcomes ==
          std::vector<Outcome>{Outcome::kPending, Outcome::kUnavailable, Outcome::kPending});
}

}  // namespace
}  // namespace pistachio::emulator
