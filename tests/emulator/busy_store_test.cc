#include <catch2/catch.hpp>

#include "emulator/simulated_cluster.h"
#include "tests/emulator/cluster_checks.h"

namespace pistachio::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time for which a caller of the emulator waits for an answer.
constexpr Duration kCallerWait = seconds(3);

SubmissionId IdOf(int number) {
  std::string id = std::to_string(number);
  return SubmissionId(std::string(16 - id.size(), '0') + id);
}

/// Answers to callers, by outcome, and the longest time that one took.
struct Answers {
  std::map<Outcome, int> counts;
  Duration longest{0};
  bool all_advise = true;  ///< each undecided answer has a delay after which to come back
};

/// Submits every \a interval for \a time, at all hosts in turn.
void SubmitEvery(SimulatedCluster* cluster, int first, Duration interval, Duration time,
                 Answers* answers) {
  const std::vector<std::string> hosts = cluster->hosts();
  for (int number = first; number < first + time / interval; ++number) {
    const TimePoint sent_at = cluster->now();
    cluster->Submit(hosts[static_cast<std::size_t>(number) % hosts.size()], IdOf(number),
                    MakeSubmission(1, 1, milliseconds(100)),
                    [cluster, sent_at, answers](const CallerAnswer& answer) {
                      answers->counts[answer.outcome]++;
                      answers->longest = std::max(answers->longest, cluster->now() - sent_at);
                      answers->all_advise =
                          answers->all_advise &&
                          (answer.outcome != Outcome::kInDoubt || answer.retry_after);
                    });
    cluster->Run(interval);
  }
}

}  // namespace

// Guards against callers lost to a store that refuses half of its calls for 4 s: 72 of 261 requests
// were refused after two attempts, and their callers did not come back.
TEST_CASE("a busy store refuses no caller that waits", "[emulator]") {
  RunningCluster cluster;
  cluster.store_faults.refuse_probability = 0.53;
  Answers answers;
  SubmitEvery(&cluster, 1, milliseconds(15), seconds(4), &answers);
  cluster.store_faults.refuse_probability = 0.0;
  cluster.Run(seconds(10));
  REQUIRE(answers.counts[Outcome::kAccepted] >= 264);  // 99 % of 266
  REQUIRE(answers.counts[Outcome::kInDoubt] == 0);
  REQUIRE(answers.longest < kCallerWait);
  RequireNoViolations(&cluster);
}

// Guards against the loss of callers that a short outage meets.
TEST_CASE("requests wait for the end of a short outage of the store", "[emulator]") {
  for (const bool refuses : {true, false}) {
    CAPTURE(refuses);
    RunningCluster cluster;
    cluster.store_faults.refuses = refuses;
    cluster.store_faults.down = !refuses;
    cluster.Run(milliseconds(1000));
    Answers answers;
    SubmitEvery(&cluster, 1, milliseconds(20), milliseconds(500), &answers);
    cluster.store_faults.refuses = false;
    cluster.store_faults.down = false;
    cluster.Run(seconds(10));
    REQUIRE(answers.counts[Outcome::kAccepted] == 25);
    REQUIRE(answers.longest < kCallerWait);
    RequireNoViolations(&cluster);
  }
}

// Guards against requests held beyond the time that their callers wait, against answers without
// advice, and against refusals without evidence: another host may have stored the submission.
TEST_CASE("a store that refuses everything leaves each caller a true answer in time",
          "[emulator]") {
  RunningCluster cluster;
  cluster.store_faults.refuses = true;
  Answers answers;
  SubmitEvery(&cluster, 1, milliseconds(20), seconds(8), &answers);
  cluster.Run(seconds(3));
  REQUIRE(answers.counts[Outcome::kInDoubt] == 400);
  REQUIRE(answers.all_advise);
  REQUIRE(answers.longest <= milliseconds(2200));
  cluster.store_faults.refuses = false;
  cluster.Run(seconds(5));
  RequireNoViolations(&cluster);
  REQUIRE(cluster.checker().starts() == 0);
}

// Guards against answers 504 after a lost answer of the store: the caller can't safely retry.
TEST_CASE("a write whose answer was lost is read back within the time that the caller waits",
          "[emulator]") {
  RunningCluster cluster;
  cluster.store_faults.lost_answer_probability = 1.0;
  Answers answers;
  SubmitEvery(&cluster, 1, milliseconds(100), seconds(2), &answers);
  cluster.Run(seconds(3));
  cluster.store_faults.lost_answer_probability = 0.0;
  cluster.Run(seconds(15));
  REQUIRE(answers.counts[Outcome::kAccepted] == 20);
  REQUIRE(answers.longest < kCallerWait);
  RequireNoViolations(&cluster);
}

// Load pattern: 60 callers at one host within an outage. Guards against callers that all return in
// the same second after it.
TEST_CASE("returns after an outage of the store are spread", "[emulator]") {
  RunningCluster cluster;
  cluster.store_faults.down = true;
  cluster.Run(seconds(1));
  std::map<seconds, int> returns;
  for (int number = 1; number <= 60; ++number) {
    cluster.Submit(cluster.hosts()[0], IdOf(number), MakeSubmission(1, 1, milliseconds(100)),
                   [&returns](const CallerAnswer& answer) {
                     REQUIRE(answer.outcome == Outcome::kInDoubt);
                     returns[*answer.retry_after]++;
                   });
  }
  cluster.Run(kCallerWait);
  REQUIRE(returns.size() >= 3);
  for (const auto& [delay, count] : returns) {
    CAPTURE(delay.count());
    REQUIRE(count <= 20);
  }
  cluster.store_faults.down = false;
  cluster.Run(seconds(5));
  RequireNoViolations(&cluster);
}

}  // namespace pistachio::emulator
