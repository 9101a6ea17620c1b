#include <catch2/catch.hpp>

#include "tests/request/broker_driver.h"

namespace pistachio {
namespace {

using internal::HomeTable;
using internal::IdState;
using testing::BrokerDriver;

constexpr Duration kSpan = std::chrono::minutes(10);

TEST_CASE("an id is unused, running, answered and then forgotten", "[home]") {
  const TimePoint start(std::chrono::hours(1));
  HomeTable home({kSpan, 100}, start);
  const std::uint64_t number = home.Issue(start);
  REQUIRE(home.StateOf(number, start) == IdState::kUnused);
  REQUIRE(home.StateOf(number + 1, start) == IdState::kNeverIssued);
  REQUIRE(home.StateOf(0, start) == IdState::kNeverIssued);
  home.LetThrough(number, start);
  REQUIRE(home.StateOf(number, start) == IdState::kRunning);
  home.ProvedNotRun(number);
  REQUIRE(home.StateOf(number, start) == IdState::kUnused);
  home.LetThrough(number, start);
  home.Answered(number);
  REQUIRE(home.StateOf(number, start) == IdState::kAnswered);
  REQUIRE(home.StateOf(number, start + kSpan * 2) == IdState::kForgotten);
}

TEST_CASE("an id that is dropped for room can never look unused", "[home]") {
  const TimePoint start(std::chrono::hours(1));
  HomeTable home({kSpan, 3}, start);
  std::vector<std::uint64_t> numbers;
  for (int i = 0; i < 10; ++i) {
    numbers.push_back(home.Issue(start));
    home.LetThrough(numbers.back(), start);
    REQUIRE(home.size() <= 3);
    for (const std::uint64_t number : numbers) {
      REQUIRE(home.StateOf(number, start) != IdState::kUnused);
    }
  }
  // An old id that was never sent is forgotten with those around it, and stays so.
  HomeTable late({kSpan, 1}, start);
  const std::uint64_t old = late.Issue(start);
  late.LetThrough(late.Issue(start), start);
  late.LetThrough(old, start);
  REQUIRE(late.StateOf(old, start) == IdState::kForgotten);
  late.ProvedNotRun(old);
  REQUIRE(late.StateOf(old, start) == IdState::kForgotten);
}

TEST_CASE("the same id again joins what runs and is told the same", "[home]") {
  BrokerDriver driver;
  driver.Route(2, 1);
  RequestSpec spec = driver.NewSpec(false);
  driver.Arrive(spec, 1);
  spec.first_use = false;
  driver.Arrive(spec, 2);
  spec.deadline = driver.now() + std::chrono::milliseconds(100);
  driver.Arrive(spec, 3);
  driver.Advance(std::chrono::milliseconds(100));
  REQUIRE(driver.OutcomeOf(3).kind == OutcomeKind::kUnknown);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.sent.size() == 1);
  REQUIRE(driver.OutcomeOf(1).kind == OutcomeKind::kAnswered);
  REQUIRE(driver.OutcomeOf(2).kind == OutcomeKind::kAnswered);
  REQUIRE(driver.broker().counters().joined == 2);
}

TEST_CASE("a shorter try of a waiting id is not told `not run`", "[home]") {
  BrokerDriver driver;
  driver.Route(1, 1);
  driver.Arrive(driver.NewSpec(false, std::chrono::seconds(5)), 1);
  RequestSpec waiting = driver.NewSpec(false, std::chrono::seconds(5));
  driver.Arrive(waiting, 2);
  waiting.deadline = driver.now() + std::chrono::seconds(1);
  driver.Arrive(waiting, 3);
  driver.Advance(std::chrono::seconds(1));
  REQUIRE(driver.OutcomeOf(3).kind == OutcomeKind::kUnknown);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.sent.size() == 2);  // it runs after all
}

TEST_CASE("another caller's id joins nothing and ends nothing", "[home]") {
  BrokerDriver driver;
  driver.Route(2, 1);
  const RequestSpec spec = driver.NewSpec(false);
  driver.Arrive(spec, 1);
  RequestSpec stranger = spec;
  stranger.caller = CallerId("stranger");
  driver.Arrive(stranger, 2);
  REQUIRE(driver.OutcomeOf(2).kind == OutcomeKind::kUnknown);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.OutcomeOf(1).kind == OutcomeKind::kAnswered);
}

TEST_CASE("a caller that left and asks again joins its running request", "[home]") {
  BrokerDriver driver;
  driver.Route(2, 1);
  const RequestSpec spec = driver.NewSpec(false);
  driver.Arrive(spec, 1);
  driver.Handle(CallerLeft{spec.id, 1});
  driver.Arrive(spec, 2);
  driver.Answer(driver.sent[0]);
  REQUIRE(driver.sent.size() == 1);
  REQUIRE(driver.OutcomesOf(1).empty());
  REQUIRE(driver.OutcomeOf(2).kind == OutcomeKind::kAnswered);
}

TEST_CASE("an idempotent attempt's failure does not free a non-idempotent id", "[home]") {
  BrokerDriver driver;
  driver.Route(4, 1);
  RequestSpec spec = driver.NewSpec(true);
  driver.Arrive(spec, 1);
  driver.Handle(CallerLeft{spec.id, 1});
  spec.idempotent = false;
  driver.Arrive(spec, 2);
  REQUIRE(driver.sent.size() == 2);
  driver.Fail(driver.sent[1], AttemptFailure::kMaybeRun);
  driver.Fail(driver.sent[0], AttemptFailure::kNotSent);  // of the idempotent use
  driver.Arrive(spec, 3);
  REQUIRE(driver.sent.size() == 2);
  REQUIRE(driver.OutcomeOf(3).kind == OutcomeKind::kUnknown);
}

TEST_CASE("a non-idempotent id of another life or home is never sent", "[home]") {
  BrokerDriver driver;
  driver.Route(2, 1);
  RequestSpec spec = driver.NewSpec(false);
  spec.id.home.incarnation += 1;
  driver.Arrive(spec, 1);
  spec = driver.NewSpec(false);
  spec.id.home.host = HostId("host-b1");
  driver.Arrive(spec, 2);
  spec = driver.NewSpec(false);
  driver.Advance(kSpan + std::chrono::seconds(1));
  spec.deadline = driver.now() + std::chrono::seconds(1);
  driver.Arrive(spec, 3);
  REQUIRE(driver.sent.empty());
  for (const ArrivalNumber arrival : {1, 2, 3}) {
    REQUIRE(driver.OutcomeOf(arrival).kind == OutcomeKind::kUnknown);
  }
  spec.id.number += std::uint64_t{1} << 60U;
  driver.Arrive(spec, 4);
  REQUIRE(driver.OutcomeOf(4).kind == OutcomeKind::kNotRun);
}

}  // namespace
}  // namespace pistachio
