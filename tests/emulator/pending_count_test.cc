#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SubmissionId Id(int number) {
  std::string digits = std::to_string(number);
  return SubmissionId(std::string(16 - digits.size(), '0') + digits);
}

/// Submits urgent work at a host each 100 ms for \a time. \param next number of the next submission
void SubmitFor(SimulatedCluster* cluster, const std::string& host, Duration time, int* next) {
  for (Duration spent{0}; spent < time; spent += milliseconds(100)) {
    cluster->Submit(host, Id((*next)++), MakeSubmission(1, 1, milliseconds(500)));
    cluster->Run(milliseconds(100));
  }
}

/// \returns a submission of one task that needs a whole target.
SubmissionSpec WholeTarget(Duration length) {
  SubmissionSpec spec = MakeSubmission(1, 1, length);
  spec.steps[0].need.cpu_millis = 16000;
  return spec;
}

/// Fills all targets for 25 s, so that what is submitted later waits.
void FillTargets(SimulatedCluster* cluster, const std::string& host, int* next) {
  for (std::size_t count = 0; count < cluster->targets().size(); ++count) {
    cluster->Submit(host, Id((*next)++), WholeTarget(seconds(25)));
    cluster->Run(milliseconds(100));
  }
  cluster->Run(seconds(1));
}

/// Submits work that fits as soon as a target is free, each 100 ms. See SubmitFor().
void SubmitWaitingFor(SimulatedCluster* cluster, const std::string& host, Duration time,
                      int* next) {
  for (Duration spent{0}; spent < time; spent += milliseconds(100)) {
    cluster->Submit(host, Id((*next)++), WholeTarget(milliseconds(300)));
    cluster->Run(milliseconds(100));
  }
}

/// Ends all faults of hosts and store, and requires a count from every host 6 s later.
void RequireCountsAfterFaults(SimulatedCluster* cluster) {
  cluster->store_faults = StoreFaults{};
  for (const std::string& host : cluster->hosts()) {
    cluster->ResumeHost(host);
    if (cluster->node(host) == nullptr) {
      cluster->StartHost(host);
    }
  }
  cluster->Run(seconds(6));
  std::map<std::string, CallerAnswer> answers;
  for (const std::string& host : cluster->hosts()) {
    cluster->QueryPending(host,
                          [&answers, host](const CallerAnswer& answer) { answers[host] = answer; });
  }
  cluster->Run(milliseconds(100));
  for (const std::string& host : cluster->hosts()) {
    INFO(host << ": " << answers[host].reason);
    CHECK(answers[host].outcome == Outcome::kPending);
  }
}

// The owner holds its cell and writes load records, but its watch of the cell's inbox is lost,
// while other hosts accept submissions into the cell.
TEST_CASE("submissions that the owner has not heard of are not left out of the count",
          "[emulator][pending_count]") {
  SimulatedClusterSettings settings;
  settings.layout = CellLayout::kOneCell;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(4));
  const std::string owner = cluster.OwnerOf("all");
  const std::string other = owner == "north-host-0" ? "south-host-0" : "north-host-0";
  cluster.store_faults.lost_watches.insert({owner, "in/all/"});
  int next = 1;
  SubmitFor(&cluster, other, seconds(9), &next);
  cluster.store_faults = StoreFaults{};
  cluster.Run(seconds(10));
  RequireNoViolations(&cluster);
}

TEST_CASE("every host answers the count while nothing fails", "[emulator][pending_count]") {
  const auto layout = GENERATE(CellLayout::kOneCell, CellLayout::kPerDataCentre);
  SimulatedClusterSettings settings;
  settings.layout = layout;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(5));
  const auto unavailable_at_start = cluster.pending_answers();
  int next = 1;
  SubmitFor(&cluster, "north-host-0", seconds(10), &next);
  cluster.Run(seconds(20));
  const auto& answers = cluster.pending_answers();
  REQUIRE(answers.at(Outcome::kPending) > 200);
  const auto refusals = [](const auto& counts) {
    const auto found = counts.find(Outcome::kUnavailable);
    return found == counts.end() ? 0 : found->second;
  };
  REQUIRE(refusals(answers) == refusals(unavailable_at_start));
  RequireNoViolations(&cluster);
}

// All targets of a cell crash right before an owner assigns work to them, so its starts get no
// answer, and then the owner is killed. The next one waits for the targets' leases to end.
TEST_CASE("submissions that a lost target may have begun are not left out of the count",
          "[emulator][pending_count]") {
  SimulatedClusterSettings settings;
  settings.layout = CellLayout::kOneCell;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(4));
  for (const std::string& target : cluster.targets()) {
    cluster.CrashTarget(target);
  }
  const std::string owner = cluster.OwnerOf("all");
  const std::string other = owner == "north-host-0" ? "south-host-0" : "north-host-0";
  int next = 1;
  SubmitFor(&cluster, other, seconds(1), &next);
  cluster.KillHost(owner);
  cluster.Run(seconds(6));
  // The targets' leases have not ended yet.
  std::vector<std::uint64_t> counts;
  cluster.QueryPending(other, [&counts](const CallerAnswer& answer) {
    counts.push_back(answer.outcome == Outcome::kPending ? answer.pending : 0);
  });
  REQUIRE(counts == std::vector<std::uint64_t>{10});
  cluster.Run(seconds(6));
  for (const std::string& target : cluster.targets()) {
    cluster.RestartTarget(target);
  }
  cluster.StartHost(owner);
  cluster.Run(seconds(20));
  RequireNoViolations(&cluster);
}

// The record of a run that has begun may still say that it was only assigned.
TEST_CASE("submissions that run in a cut-off data centre are not counted as waiting",
          "[emulator][pending_count]") {
  SimulatedCluster cluster({});
  cluster.Run(seconds(4));
  int next = 1;
  for (; next <= 8; ++next) {
    cluster.Submit("north-host-0", Id(next), MakeSubmission(1, 1, seconds(25)));
  }
  cluster.Run(seconds(3));
  for (const std::string& host : cluster.hosts()) {
    const bool northern = host.find("north") == 0;
    if (northern) {
      cluster.store_faults.disconnected_hosts.insert(host);
    }
    for (const std::string& target : cluster.targets()) {
      if (northern != (target.find("north") == 0)) {
        cluster.order_faults.unreachable_pairs.insert({host, target});
      }
    }
  }
  cluster.Run(seconds(9));
  std::vector<std::uint64_t> counts;
  cluster.QueryPending("south-host-0", [&counts](const CallerAnswer& answer) {
    REQUIRE(answer.outcome == Outcome::kPending);
    counts.push_back(answer.pending);
  });
  REQUIRE(counts == std::vector<std::uint64_t>{0});
  cluster.store_faults = StoreFaults{};
  cluster.order_faults = OrderFaults{};
  cluster.Run(seconds(40));
  RequireNoViolations(&cluster);
}

/// What happens to the owner of the cell that submissions have left, right after their move.
enum class OriginFault { kNone, kKilled, kStopped, kFrozen };

/// Waiting submissions leave an evacuated data centre for a cell whose owner is suspended right
/// after the first move. Its next record comes from another host, seconds later.
/// \param waiting number of submissions that wait before the evacuation
/// \param delay from the move to the fault
void MoveToCellWithoutOwner(OriginFault fault, int waiting, Duration delay = Duration(0)) {
  SimulatedClusterSettings settings;
  settings.evacuation_apply = milliseconds(5000);
  SimulatedCluster cluster(settings);
  const auto set_southern_room = [&cluster](std::int64_t cpu_millis) {
    for (const std::string& target : cluster.targets()) {
      if (target.find("south") == 0) {
        cluster.SetTargetRoom(target, Resources{cpu_millis, 64000, 0});
      }
    }
  };
  set_southern_room(1000);
  cluster.Run(seconds(4));
  int next = 1;
  for (int count = 0; count < 4; ++count) {
    cluster.Submit("north-host-0", Id(next++), WholeTarget(seconds(25)));
    cluster.Run(milliseconds(100));
  }
  for (int count = 0; count < waiting; ++count) {
    cluster.Submit("north-host-0", Id(next++), WholeTarget(milliseconds(500)));
    cluster.Run(milliseconds(100));
  }
  cluster.Run(seconds(7));
  const auto moves_to_south = [&cluster] { return cluster.LogLinesContaining(" to=south").size(); };
  REQUIRE(moves_to_south() == 0);
  set_southern_room(16000);
  cluster.EvacuateDataCentre("north");
  for (int step = 0; step < 1000 && moves_to_south() == 0; ++step) {
    cluster.Run(milliseconds(10));
  }
  REQUIRE(moves_to_south() > 0);
  const std::string owner = cluster.OwnerOf("south");
  cluster.FreezeHost(owner);
  const std::string origin_owner = cluster.OwnerOf("north");
  cluster.Run(delay);
  if (fault == OriginFault::kKilled) {
    cluster.KillHost(origin_owner);
  } else if (fault == OriginFault::kStopped) {
    cluster.StopHostGracefully(origin_owner);
  } else if (fault == OriginFault::kFrozen) {
    cluster.FreezeHost(origin_owner);
  }
  cluster.Run(seconds(8) - delay);
  if (fault != OriginFault::kNone) {
    cluster.ResumeHost(origin_owner);
    cluster.KillHost(origin_owner);
    cluster.StartHost(origin_owner);
  }
  cluster.ResumeHost(owner);
  cluster.EndEvacuation("north");
  cluster.Run(seconds(30));
  RequireNoViolations(&cluster);
}

// The next record of the cell that they have moved to comes seconds later.
TEST_CASE("submissions that move to a cell without an owner are not left out of the count",
          "[emulator][pending_count]") {
  MoveToCellWithoutOwner(OriginFault::kNone, 12);
}

// The new owner of the cell that they have left does not know of the move.
TEST_CASE("submissions that moved before a change of owner are not left out of the count",
          "[emulator][pending_count]") {
  const auto fault = GENERATE(OriginFault::kKilled, OriginFault::kStopped, OriginFault::kFrozen);
  // With 8, the first move takes most of those that wait.
  const int waiting = GENERATE(8, 12);
  CAPTURE(static_cast<int>(fault), waiting);
  MoveToCellWithoutOwner(fault, waiting);
}

// The same after the load record of the former owner.
TEST_CASE("submissions that moved some time before a graceful stop are not left out of the count",
          "[emulator][pending_count]") {
  const auto delay =
      GENERATE(milliseconds(200), milliseconds(500), milliseconds(800), milliseconds(1000),
               milliseconds(1200), milliseconds(1400), milliseconds(1600));
  CAPTURE(delay.count());
  MoveToCellWithoutOwner(OriginFault::kStopped, 12, delay);
}

/// Faults of the host that owns a cell, or of the store.
enum class OwnerFault {
  kLosesAnswers,
  kWritesLate,
  kWritesRefused,
  kFrozen,
  kKilled,
  kStopped,
  kLosesKeys,
  kInboxLate,
  kStoreLosesAnswers,
  kStoreWritesLate,
};

void BeginFault(SimulatedCluster* cluster, const std::string& cell, OwnerFault fault) {
  const std::string owner = cluster->OwnerOf(cell);
  if (owner.empty()) {
    return;
  }
  switch (fault) {
    case OwnerFault::kLosesAnswers:
      cluster->store_faults.write_faults[owner].lost_answer_probability = 0.5;
      break;
    case OwnerFault::kWritesLate:
      cluster->store_faults.write_faults[owner].late_write_probability = 0.5;
      break;
    case OwnerFault::kWritesRefused:
      cluster->store_faults.write_faults[owner].refuses = true;
      break;
    case OwnerFault::kFrozen:
      cluster->FreezeHost(owner);
      break;
    case OwnerFault::kKilled:
      cluster->KillHost(owner);
      break;
    case OwnerFault::kStopped:
      cluster->StopHostGracefully(owner);
      cluster->Run(seconds(1));
      cluster->KillHost(owner);
      break;
    case OwnerFault::kLosesKeys:
      cluster->store.RemoveKeysOnLeaseOf(store_keys::Owner(CellId(cell)));
      break;
    case OwnerFault::kInboxLate:
      cluster->store_faults.watch_delays[{owner, "in/" + cell + "/"}] = milliseconds(4500);
      break;
    case OwnerFault::kStoreLosesAnswers:
      cluster->store_faults.lost_answer_probability = 0.3;
      break;
    case OwnerFault::kStoreWritesLate:
      cluster->store_faults.late_write_probability = 0.3;
      break;
  }
}

// Load records that stay, come late or come from a new owner beside submissions accepted elsewhere.
TEST_CASE("submissions are counted beside faults of the owner", "[emulator][pending_count]") {
  const auto fault = GENERATE(OwnerFault::kLosesAnswers, OwnerFault::kWritesLate,
                              OwnerFault::kWritesRefused, OwnerFault::kFrozen, OwnerFault::kKilled,
                              OwnerFault::kStopped, OwnerFault::kLosesKeys, OwnerFault::kInboxLate,
                              OwnerFault::kStoreLosesAnswers, OwnerFault::kStoreWritesLate);
  const auto layout = GENERATE(CellLayout::kOneCell, CellLayout::kPerDataCentre);
  const bool full = GENERATE(false, true);
  const auto moment = GENERATE(milliseconds(0), milliseconds(450));
  CAPTURE(static_cast<int>(fault), static_cast<int>(layout), full, moment.count());
  SimulatedClusterSettings settings;
  settings.layout = layout;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(4));
  const std::string cell = layout == CellLayout::kOneCell ? "all" : "north";
  const std::string other =
      cluster.OwnerOf(cell) == "north-host-1" ? "south-host-0" : "south-host-1";
  int next = 1;
  if (full) {
    FillTargets(&cluster, other, &next);
  }
  const auto submit = [&](Duration time) {
    full ? SubmitWaitingFor(&cluster, other, time, &next) : SubmitFor(&cluster, other, time, &next);
  };
  submit(seconds(1));
  cluster.Run(moment);
  // The second fault meets the next owner, if there is one by then.
  for (int series = 0; series < 2; ++series) {
    BeginFault(&cluster, cell, fault);
    submit(seconds(3));
    cluster.Run(seconds(1));
  }
  cluster.Run(seconds(3));
  RequireCountsAfterFaults(&cluster);
  cluster.Run(seconds(40));
  if (full) {
    REQUIRE(cluster.checker().counts_checked() > 0);
  }
  RequireNoViolations(&cluster);
}

// A host that has not read the load records yet, or has an old mirror, answers from what it has.
TEST_CASE("a host with an empty or old mirror of the load records gives no wrong count",
          "[emulator][pending_count]") {
  const auto layout = GENERATE(CellLayout::kOneCell, CellLayout::kPerDataCentre);
  const auto delay =
      GENERATE(milliseconds(0), milliseconds(1500), milliseconds(3000), milliseconds(6000));
  const bool starts = GENERATE(false, true);
  CAPTURE(static_cast<int>(layout), delay.count(), starts);
  SimulatedClusterSettings settings;
  settings.layout = layout;
  SimulatedCluster cluster(settings);
  cluster.Run(seconds(4));
  int next = 1;
  FillTargets(&cluster, "north-host-0", &next);
  const std::string host = "south-host-1";
  cluster.store_faults.watch_delays[{host, "node/"}] = delay;
  if (starts) {
    SubmitWaitingFor(&cluster, "north-host-0", seconds(2), &next);
    cluster.Run(seconds(5));
    cluster.KillHost(host);
    cluster.StartHost(host);
  } else {
    SubmitWaitingFor(&cluster, "north-host-0", seconds(2), &next);
  }
  for (int step = 0; step < 140 && starts; ++step) {
    cluster.QueryPending(host, [&](const CallerAnswer& answer) {
      CAPTURE(step, answer.pending);
      CHECK((answer.outcome != Outcome::kPending || answer.pending * 2 >= 20));
    });
    cluster.Run(milliseconds(50));
  }
  cluster.Run(seconds(8));
  RequireCountsAfterFaults(&cluster);
  cluster.Run(seconds(30));
  REQUIRE(cluster.checker().counts_checked() > 0);
  RequireNoViolations(&cluster);
}

// No host can take the cell, and the host that counts its submissions is suspended meanwhile.
TEST_CASE("submissions of a cell without an owner are counted beside a suspended host",
          "[emulator][pending_count]") {
  const std::string suspended = GENERATE("south-host-0", "south-host-1");
  const auto moment = GENERATE(milliseconds(2500), milliseconds(6200));
  CAPTURE(suspended, moment.count());
  SimulatedCluster cluster({});
  cluster.Run(seconds(4));
  int next = 1;
  FillTargets(&cluster, "south-host-0", &next);
  for (const std::string& target : cluster.targets()) {
    if (target.find("north") == 0) {
      cluster.CrashTarget(target);
    }
  }
  SubmitWaitingFor(&cluster, "north-host-0", seconds(2), &next);
  cluster.KillHost("north-host-0");
  cluster.KillHost("north-host-1");
  cluster.Run(moment);
  const std::string awake = suspended == "south-host-0" ? "south-host-1" : "south-host-0";
  for (int series = 0; series < 2; ++series) {
    cluster.FreezeHost(suspended);
    SubmitWaitingFor(&cluster, awake, seconds(3), &next);
    cluster.ResumeHost(suspended);
    cluster.Run(milliseconds(700));
  }
  REQUIRE(cluster.OwnerOf("north").empty());
  for (const std::string& target : cluster.targets()) {
    if (target.find("north") == 0) {
      cluster.RestartTarget(target);
    }
  }
  RequireCountsAfterFaults(&cluster);
  cluster.Run(seconds(50));
  REQUIRE(cluster.checker().counts_checked() > 0);
  RequireNoViolations(&cluster);
}

}  // namespace
}  // namespace pistachio::emulator
