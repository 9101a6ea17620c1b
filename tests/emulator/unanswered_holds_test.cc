#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

SubmissionId IdOf(int number) {
  std::string id = std::to_string(number);
  return SubmissionId(std::string(16 - id.size(), '0') + id);
}

/// \returns the time of the first log line with the event and the text, or nothing.
std::optional<Duration> TimeOf(const SimulatedCluster& cluster, const std::string& event,
                               const std::string& text) {
  for (const std::string& line : cluster.LogLinesContaining(event + " ")) {
    if (line.find(text) != std::string::npos) {
      return microseconds(std::atoll(line.c_str()));
    }
  }
  return std::nullopt;
}

/// Starts 20 submissions of two runs of a minute each.
void StartRuns(SimulatedCluster* cluster) {
  cluster->Run(seconds(2));
  for (int number = 1; number <= 20; ++number) {
    SubmissionSpec spec = MakeSubmission(1, 2, seconds(70));
    spec.steps[0].need.cpu_millis = 500;
    cluster->Submit(cluster->hosts()[0], IdOf(number), spec);
  }
  cluster->Run(seconds(3));
}

// Guards against owners that learn nothing from a target until one overdue hold has timed out.
TEST_CASE("a cancelled run is seen to end within 3.9 s while holds get no answer",
          "[emulator][unanswered_holds]") {
  Duration longest{0};
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedClusterSettings settings;
    settings.seed = seed;
    SimulatedCluster cluster(settings);
    StartRuns(&cluster);
    cluster.order_faults.lost_hold_probability = 0.3;
    for (int number = 1; number <= 20; ++number) {
      cluster.Cancel(cluster.hosts()[0], IdOf(number));
      cluster.Run(milliseconds(500));
    }
    cluster.Run(seconds(15));
    for (int number = 1; number <= 20; ++number) {
      const auto cancelled = TimeOf(cluster, "submission-cancelled", IdOf(number).str());
      const auto ended = TimeOf(cluster, "submission-ended", IdOf(number).str());
      REQUIRE(cancelled);
      REQUIRE(ended);
      longest = std::max(longest, *ended - *cancelled);
    }
    RequireNoViolations(&cluster);
  }
  INFO("longest: " << longest.count() << " us");
  REQUIRE(longest < milliseconds(3900));
}

// Guards against runs that are given up although their target is alive.
TEST_CASE("targets that answer 0.7 of their holds keep their runs",
          "[emulator][unanswered_holds]") {
  std::size_t lost = 0;
  Duration silence{0};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedClusterSettings settings;
    settings.seed = seed;
    SimulatedCluster cluster(settings);
    StartRuns(&cluster);
    cluster.order_faults.lost_hold_probability = 0.3;
    cluster.Run(seconds(60));
    lost += cluster.LogLinesContaining("target-runs-lost").size();
    for (const std::string& line : cluster.LogLinesContaining("target-silent ")) {
      const std::size_t name = line.find("target=") + 7;
      const std::string target = line.substr(name, line.find(' ', name) - name);
      const Duration from = microseconds(std::atoll(line.c_str()));
      for (const std::string& answer : cluster.LogLinesContaining("target-answers ")) {
        const Duration until = microseconds(std::atoll(answer.c_str()));
        if (until > from && answer.find(target) != std::string::npos) {
          silence = std::max(silence, until - from);
          break;
        }
      }
    }
  }
  CAPTURE(silence.count(), lost);
  REQUIRE(lost == 0);
  REQUIRE(silence < milliseconds(3900));
}

// The same for answers that come late rather than never.
TEST_CASE("targets that answer each hold 1.9 s late keep their runs",
          "[emulator][unanswered_holds]") {
  SimulatedCluster cluster({});
  StartRuns(&cluster);
  cluster.order_faults.hold_answer_delay = milliseconds(1900);
  cluster.Run(seconds(60));
  REQUIRE(cluster.LogLinesContaining("target-runs-lost").empty());
}

}  // namespace
}  // namespace pistachio::emulator
