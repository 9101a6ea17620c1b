#include <catch2/catch.hpp>
#include <set>

#include "tests/request/broker_driver.h"

namespace pistachio {
namespace {

using testing::BrokerDriver;

constexpr Duration kUsual = std::chrono::milliseconds(10);

/// \brief Sends requests one at a time; \a bad targets fail, all others answer in the usual time.
/// \returns how many attempts went to bad targets
int Serve(BrokerDriver& driver, int requests, const std::set<std::string>& bad) {
  int to_bad = 0;
  for (int i = 0; i < requests; ++i) {
    driver.sent.clear();
    driver.Arrive(driver.NewSpec(true), 1);
    for (std::size_t next = 0; next < driver.sent.size(); ++next) {
      const SendAttempt sent = driver.sent[next];
      if (bad.count(sent.target.str()) > 0) {
        ++to_bad;
        driver.Fail(sent, AttemptFailure::kNotSent);
        continue;
      }
      driver.Advance(kUsual);
      driver.Answer(sent);
    }
  }
  return to_bad;
}

TEST_CASE("a target that fails is ejected, probed and taken back", "[ejection]") {
  BrokerDriver driver;
  driver.Route(8, 1);
  REQUIRE(Serve(driver, 200, {"t3"}) >= 3);
  REQUIRE(driver.CountRecords(EventCode::kTargetEjected) >= 1);
  const int while_ejected = Serve(driver, 50, {"t3"});
  REQUIRE(while_ejected <= 3);
  driver.Advance(std::chrono::seconds(60));
  REQUIRE(driver.CountRecords(EventCode::kTargetProbed) >= 1);
  Serve(driver, 200, {});
  REQUIRE(driver.CountRecords(EventCode::kTargetRecovered) == 1);
}

TEST_CASE("no more than a bounded share of targets is ejected", "[ejection]") {
  BrokerLimits limits;
  limits.max_ejected_share = 0.25;
  BrokerDriver driver(limits);
  driver.Route(8, 1);
  const std::set<std::string> bad{"t0", "t1", "t2", "t3", "t4", "t5"};
  Serve(driver, 60, bad);
  // Two of eight at once; the first ejections last at least a second, longer than this run.
  REQUIRE(driver.CountRecords(EventCode::kTargetEjected) == 2);
  REQUIRE(driver.CountRecords(EventCode::kEjectionBoundReached) == 1);
}

TEST_CASE("a target that is full is not held to be broken", "[ejection]") {
  BrokerDriver driver;
  driver.Route(4, 1);
  for (int i = 0; i < 100; ++i) {
    driver.sent.clear();
    driver.Arrive(driver.NewSpec(true), 1);
    driver.Handle(AttemptAnswered{driver.sent.at(0).attempt, true});
    driver.Advance(std::chrono::seconds(2));
  }
  REQUIRE(driver.broker().counters().ejections == 0);
}

TEST_CASE("a slow target is an outlier, slow answers of all targets are not", "[ejection]") {
  using internal::HealthVerdict;
  internal::TargetHealth slow;
  HealthVerdict verdict = HealthVerdict::kFine;
  for (int i = 0; i < 10 && verdict == HealthVerdict::kFine; ++i) {
    verdict = slow.OnAnswer(kUsual * 10, kUsual, 8);
  }
  REQUIRE(verdict == HealthVerdict::kOutlier);

  internal::TargetHealth usual;
  for (int i = 0; i < 100; ++i) {
    // One answer in ten is very slow, as with heavy tails.
    const Duration latency = i % 10 == 9 ? kUsual * 100 : kUsual;
    REQUIRE(usual.OnAnswer(latency, kUsual, 8) == HealthVerdict::kFine);
  }
}

TEST_CASE("a new target starts with one attempt and grows by its answers", "[slow-start]") {
  internal::TargetHealth health;
  REQUIRE(health.ConcurrencyLimit(8) == 1);
  for (int i = 0; i < 100; ++i) {
    health.OnAnswer(kUsual, kUsual, 8);
  }
  REQUIRE(health.ConcurrencyLimit(8) == 8);
  REQUIRE(health.ConcurrencyLimit(3) == 3);
  health.OnOverload();
  REQUIRE(health.ConcurrencyLimit(8) == 4);
  REQUIRE(health.ConcurrencyLimit(0) == 0);
  const TimePoint now(std::chrono::hours(1));
  const TimePoint first = health.Eject(now);
  health.StartProbing();
  REQUIRE(health.ConcurrencyLimit(8) == 1);
  REQUIRE(health.OnFailure() == internal::HealthVerdict::kOutlier);
  REQUIRE(health.Eject(now) - now == 2 * (first - now));
}

TEST_CASE("attempts that the queue sent too late eject no target", "[ejection]") {
  BrokerDriver driver;
  driver.Route(4, 1);
  Serve(driver, 100, {});
  for (int i = 0; i < 50; ++i) {
    driver.sent.clear();
    driver.Arrive(driver.NewSpec(true, kUsual * 2), 1);
    driver.Advance(kUsual * 2);
    for (const SendAttempt& sent : std::vector<SendAttempt>(driver.sent)) {
      driver.Fail(sent, AttemptFailure::kMaybeRun);
    }
    driver.Advance(std::chrono::seconds(1));
  }
  REQUIRE(driver.broker().counters().ejections == 0);
}

}  // namespace
}  // namespace pistachio
