#include <catch2/catch.hpp>

#include "tests/request/broker_driver.h"

namespace pistachio {
namespace {

using testing::BrokerDriver;

TEST_CASE("an answered request tells its caller once and gives the slot back", "[broker]") {
  BrokerDriver driver;
  driver.Route(1, 1);
  driver.Arrive(driver.NewSpec(false), 1);
  REQUIRE(driver.sent.size() == 1);
  driver.Arrive(driver.NewSpec(false), 2);
  REQUIRE(driver.sent.size() == 1);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.OutcomeOf(1).kind == OutcomeKind::kAnswered);
  REQUIRE(driver.sent.size() == 2);
  driver.Answer(driver.sent[1]);
  REQUIRE(driver.OutcomeOf(2).kind == OutcomeKind::kAnswered);
  REQUIRE(driver.broker().attempts_in_flight() == 0);
  REQUIRE_FALSE(driver.broker().next_wakeup());
}

TEST_CASE("a non-idempotent request goes to another target only when nothing ran", "[broker]") {
  BrokerDriver driver;
  driver.Route(4, 1);
  driver.Arrive(driver.NewSpec(false), 1);
  driver.Fail(driver.sent[0], AttemptFailure::kNotSent);
  REQUIRE(driver.sent.size() == 2);
  REQUIRE_FALSE(driver.sent[1].target == driver.sent[0].target);
  driver.Fail(driver.sent[1], AttemptFailure::kMaybeRun);
  REQUIRE(driver.sent.size() == 2);
  REQUIRE(driver.OutcomeOf(1).kind == OutcomeKind::kUnknown);
}

TEST_CASE("a broken attempt keeps its slot until the bound after its deadline", "[slots]") {
  BrokerDriver driver;
  driver.Route(1, 1);
  driver.Arrive(driver.NewSpec(false), 1);
  driver.Fail(driver.sent[0], AttemptFailure::kMaybeRun);
  driver.Arrive(driver.NewSpec(false, std::chrono::seconds(10)), 2);
  REQUIRE(driver.sent.size() == 1);
  driver.Advance(std::chrono::milliseconds(1499));
  REQUIRE(driver.sent.size() == 1);
  driver.Advance(std::chrono::milliseconds(1));
  REQUIRE(driver.sent.size() == 2);
  REQUIRE(driver.broker().counters().slots_released_by_bound == 1);
}

TEST_CASE("a request that waits past its deadline was truly not run", "[deadline]") {
  BrokerDriver driver;
  driver.Route(1, 1);
  driver.Arrive(driver.NewSpec(true, std::chrono::seconds(5)), 1);
  driver.Arrive(driver.NewSpec(true, std::chrono::seconds(1)), 2);
  driver.Advance(std::chrono::seconds(1));
  REQUIRE(driver.OutcomeOf(2).kind == OutcomeKind::kNotRun);
  REQUIRE(driver.sent.size() == 1);
}

TEST_CASE("an answer past the deadline is dropped and counted", "[deadline]") {
  BrokerDriver driver;
  driver.Route(1, 1);
  const RequestSpec spec = driver.NewSpec(false);
  driver.Arrive(spec, 1);
  driver.Advance(std::chrono::seconds(1));
  REQUIRE(driver.OutcomeOf(1).kind == OutcomeKind::kUnknown);
  driver.Answer(driver.sent[0]);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.OutcomesOf(1).size() == 1);
  REQUIRE(driver.broker().counters().late_answers == 1);
  REQUIRE(driver.broker().counters().duplicate_answers == 1);
  // The late answer is not passed on, but it proves that the request ran.
  driver.Arrive(spec, 2);
  REQUIRE(driver.OutcomeOf(2).kind == OutcomeKind::kAnsweredBefore);
}

}  // namespace
}  // namespace pistachio
