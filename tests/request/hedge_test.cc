#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/request/broker_driver.h"

namespace pistachio {
namespace {

using testing::BrokerDriver;

constexpr Duration kUsual = std::chrono::milliseconds(10);

/// \brief Answers \a count requests after the usual time, so that it is learned.
void Learn(BrokerDriver& driver, ArrivalNumber count) {
  for (ArrivalNumber i = 0; i < count; ++i) {
    driver.Arrive(driver.NewSpec(true), 10000 + i);
    const SendAttempt sent = driver.sent.back();
    driver.Advance(kUsual);
    driver.Answer(sent);
  }
  driver.sent.clear();
}

std::string RackOf(const TargetId& target) {
  return std::to_string(std::stoul(target.str().substr(1)) / 2);
}

TEST_CASE("a hedge goes to another rack once the attempt takes longer than most", "[hedge]") {
  BrokerDriver driver;
  driver.Route(6, 1);
  Learn(driver, 40);
  driver.Arrive(driver.NewSpec(true), 1);
  driver.Advance(kUsual);
  REQUIRE(driver.sent.size() == 1);
  driver.Advance(kUsual);
  REQUIRE(driver.sent.size() == 2);
  REQUIRE(RackOf(driver.sent[0].target) != RackOf(driver.sent[1].target));

  driver.Answer(driver.sent[1]);
  REQUIRE(driver.OutcomeOf(1).kind == OutcomeKind::kAnswered);
  REQUIRE(driver.completed.back().answered_attempt == driver.sent[1].attempt.attempt);
  REQUIRE(driver.abandoned.size() == 1);
  REQUIRE(driver.abandoned[0].attempt == driver.sent[0].attempt);
  // The abandoned attempt may still run: its slot is taken until it has ended.
  REQUIRE(driver.broker().attempts_in_flight() == 1);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.broker().attempts_in_flight() == 0);
  REQUIRE(driver.broker().counters().late_answers == 1);
  REQUIRE(driver.OutcomesOf(1).size() == 1);
}

TEST_CASE("a non-idempotent request is never hedged", "[hedge]") {
  BrokerDriver driver;
  driver.Route(6, 1);
  Learn(driver, 40);
  driver.Arrive(driver.NewSpec(false), 1);
  driver.Advance(std::chrono::milliseconds(999));
  REQUIRE(driver.sent.size() == 1);
}

TEST_CASE("a request without any attempt goes before a hedge", "[hedge]") {
  BrokerDriver driver;
  driver.Route(2, 1);
  Learn(driver, 40);
  driver.Arrive(driver.NewSpec(true), 1);
  driver.Arrive(driver.NewSpec(true), 2);
  driver.Arrive(driver.NewSpec(true), 3);
  driver.Advance(kUsual * 5);
  REQUIRE(driver.sent.size() == 2);
  REQUIRE(driver.broker().counters().hedges == 0);
}

TEST_CASE("retries and hedges together keep to a tenth of the first attempts", "[budget]") {
  BrokerDriver driver;
  driver.Route(6, 2);
  Learn(driver, 40);
  for (ArrivalNumber i = 1; i <= 300; ++i) {
    driver.Arrive(driver.NewSpec(true), i);
    const std::vector<SendAttempt> first(driver.sent);
    driver.sent.clear();
    driver.Advance(i % 2 == 0 ? kUsual * 3 : kUsual);
    for (const SendAttempt& sent : first) {
      driver.Fail(sent, i % 3 == 0 ? AttemptFailure::kRefused : AttemptFailure::kNotSent);
    }
    driver.Advance(std::chrono::seconds(2));
  }
  const BrokerCounters& counters = driver.broker().counters();
  REQUIRE(counters.retries + counters.hedges > 0);
  REQUIRE(counters.budget_exhausted > 0);
  REQUIRE((counters.retries + counters.hedges) * 10 <= counters.first_attempts);
}

TEST_CASE("a refused idempotent attempt is repeated at another target in another rack", "[retry]") {
  BrokerDriver driver;
  driver.Route(6, 1);
  Learn(driver, 40);
  driver.Arrive(driver.NewSpec(true), 1);
  driver.Fail(driver.sent[0], AttemptFailure::kMaybeRun);
  REQUIRE(driver.sent.size() == 2);
  REQUIRE(RackOf(driver.sent[0].target) != RackOf(driver.sent[1].target));
  driver.Fail(driver.sent[1], AttemptFailure::kRefused);
  REQUIRE(driver.sent.size() == 3);
  driver.Fail(driver.sent[2], AttemptFailure::kRefused);
  // The first attempt may have run, so it is not `not run` although the last one was refused.
  REQUIRE(driver.OutcomeOf(1).kind == OutcomeKind::kUnknown);
}

TEST_CASE("extra attempts leave the rack as long as another one has a free slot", "[retry]") {
  BrokerDriver driver;
  driver.Route(6, 2);
  Learn(driver, 400);
  for (ArrivalNumber i = 1; i <= 30; ++i) {
    driver.sent.clear();
    driver.Arrive(driver.NewSpec(true), i);
    driver.Fail(driver.sent.at(0), AttemptFailure::kRefused);
    REQUIRE(RackOf(driver.sent.at(0).target) != RackOf(driver.sent.at(1).target));
    driver.Answer(driver.sent.at(1));
    driver.Advance(std::chrono::seconds(40));
  }
}

}  // namespace
}  // namespace pistachio
