#include <catch2/catch.hpp>

#include "tests/request/broker_driver.h"

namespace pistachio {
namespace {

using testing::BrokerDriver;

RoutesChanged RouteTo(std::uint32_t slots, bool leaving) {
  return RoutesChanged{{{ServiceId("service"), {{TargetId("t0"), RackId("r0"), slots, leaving}}}}};
}

TEST_CASE("slots that shrink while in use admit nothing until enough have ended", "[slots]") {
  BrokerDriver driver;
  driver.Handle(RouteTo(4, false));
  // The limit of a new target grows with its answers.
  for (ArrivalNumber i = 1; i <= 40; ++i) {
    driver.Arrive(driver.NewSpec(true), i);
    driver.Advance(std::chrono::milliseconds(10));
    driver.Answer(driver.sent.back());
  }
  driver.sent.clear();
  const Duration within = std::chrono::seconds(20);
  for (ArrivalNumber i = 100; i < 106; ++i) {
    driver.Arrive(driver.NewSpec(false, within), i);
  }
  REQUIRE(driver.sent.size() == 4);
  driver.Handle(RouteTo(1, false));
  for (std::size_t ended = 0; ended < 3; ++ended) {
    driver.Answer(driver.sent[ended]);
    REQUIRE(driver.sent.size() == 4);
  }
  driver.Answer(driver.sent[3]);
  REQUIRE(driver.sent.size() == 5);
}

TEST_CASE("every way to choose keeps to the slots", "[slots]") {
  const std::vector<TargetChoice> choices{RandomChoice{}, RoundRobinChoice{},
                                          LeastOutstandingChoice{}, TwoChoices{},
                                          LatencyAwareChoice{}};
  for (const TargetChoice& choice : choices) {
    BrokerLimits limits;
    limits.choice = choice;
    BrokerDriver driver(limits);
    driver.Route(3, 1);
    for (ArrivalNumber i = 1; i <= 5; ++i) {
      driver.Arrive(driver.NewSpec(false), i);
    }
    REQUIRE(driver.sent.size() == 3);
  }
}

TEST_CASE("a leaving target gets no new work and finishes what it has", "[slots]") {
  BrokerDriver driver;
  driver.Handle(RouteTo(2, false));
  driver.Arrive(driver.NewSpec(false), 1);
  driver.Handle(RouteTo(2, true));
  driver.Arrive(driver.NewSpec(false), 2);
  REQUIRE(driver.sent.size() == 1);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.OutcomeOf(1).kind == OutcomeKind::kAnswered);
  driver.Advance(std::chrono::seconds(1));
  REQUIRE(driver.sent.size() == 1);
  REQUIRE(driver.OutcomeOf(2).kind == OutcomeKind::kNotRun);
}

TEST_CASE("a target that goes and comes back still counts what it runs", "[slots]") {
  BrokerDriver driver;
  driver.Handle(RouteTo(1, false));
  driver.Arrive(driver.NewSpec(false, std::chrono::seconds(20)), 1);
  driver.Handle(RoutesChanged{});
  driver.Handle(RouteTo(1, false));
  driver.Arrive(driver.NewSpec(false, std::chrono::seconds(20)), 2);
  REQUIRE(driver.sent.size() == 1);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.sent.size() == 2);
}

TEST_CASE("services on one target share its slots", "[slots]") {
  BrokerDriver driver;
  ServiceRoute first{ServiceId("service"), {{TargetId("t0"), RackId("r0"), 1, false}}};
  ServiceRoute second = first;
  second.service = ServiceId("other");
  second.targets[0].slots = 8;  // the lower limit holds
  driver.Handle(RoutesChanged{{first, second}});
  driver.Arrive(driver.NewSpec(false), 1);
  RequestSpec other = driver.NewSpec(false);
  other.service = ServiceId("other");
  driver.Arrive(other, 2);
  REQUIRE(driver.sent.size() == 1);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.sent.size() == 2);
}

TEST_CASE("a stopping broker refuses new requests and finishes those in hand", "[stop]") {
  BrokerDriver driver;
  driver.Route(1, 1);
  const RequestSpec running = driver.NewSpec(false);
  driver.Arrive(running, 1);
  driver.Arrive(driver.NewSpec(false), 2);
  driver.Handle(BrokerStopping{});
  driver.Arrive(driver.NewSpec(false), 3);
  REQUIRE(driver.OutcomeOf(3).kind == OutcomeKind::kNotRun);
  REQUIRE(driver.OutcomeOf(3).retry_after > Duration(0));
  driver.Arrive(running, 4);  // the same id joins what runs
  REQUIRE(driver.broker().open_requests().size() == 2);
  driver.Answer(driver.sent[0]);
  driver.Answer(driver.sent.at(1));
  for (const ArrivalNumber arrival : {1, 2, 4}) {
    REQUIRE(driver.OutcomeOf(arrival).kind == OutcomeKind::kAnswered);
  }
  REQUIRE(driver.broker().open_requests().empty());
}

}  // namespace
}  // namespace pistachio
