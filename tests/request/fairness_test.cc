#include <catch2/catch.hpp>
#include <map>

#include "tests/request/broker_driver.h"

namespace pistachio {
namespace {

using internal::QueuedRequest;
using internal::RequestQueue;
using testing::BrokerDriver;

QueuedRequest Queued(std::uint64_t number, const std::string& caller, std::uint32_t due) {
  const RequestId id{DataCentreId("dc"), MemberId{HostId("h"), 1}, number};
  return {id, CallerId(caller), TimePoint(std::chrono::milliseconds(due))};
}

TEST_CASE("one caller's requests are served by earliest deadline", "[queue]") {
  RequestQueue queue(8);
  queue.Push(Queued(1, "a", 30));
  queue.Push(Queued(2, "a", 10));
  queue.Push(Queued(3, "a", 20));
  REQUIRE(queue.Pop()->id.number == 2);
  REQUIRE(queue.Pop()->id.number == 3);
  REQUIRE(queue.Pop()->id.number == 1);
  REQUIRE_FALSE(queue.Pop());
}

TEST_CASE("a caller with short deadlines gets ahead of others by a bounded number", "[queue]") {
  RequestQueue queue(200);
  for (std::uint64_t i = 1; i <= 100; ++i) {
    queue.Push(Queued(i, "hasty", 1));
  }
  for (std::uint64_t i = 101; i <= 110; ++i) {
    queue.Push(Queued(i, "calm", 1000));
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 30; ++i) {
    served[queue.Pop()->caller.str()] += 1;
  }
  REQUIRE(served["calm"] == 10);
}

TEST_CASE("a full queue takes from the caller with the longest backlog", "[queue]") {
  RequestQueue queue(10);
  for (std::uint32_t i = 1; i <= 10; ++i) {
    REQUIRE_FALSE(queue.Push(Queued(i, "flood", 100 + i)));
  }
  const auto evicted = queue.Push(Queued(11, "other", 500));
  REQUIRE(evicted);
  REQUIRE(evicted->id.number == 10);
  const auto own = queue.Push(Queued(12, "flood", 1));
  REQUIRE(own);
  REQUIRE(own->id.number == 12);
  REQUIRE(queue.size() == 10);
}

TEST_CASE("a request that is put back is served as if it had not been taken", "[queue]") {
  RequestQueue queue(8);
  queue.Push(Queued(1, "a", 10));
  queue.Push(Queued(2, "b", 20));
  for (int i = 0; i < 50; ++i) {
    const auto taken = queue.Pop();
    REQUIRE(taken->id.number == 1);
    queue.PutBack(*taken);
  }
  REQUIRE(queue.size() == 2);
}

TEST_CASE("a caller that floods does not keep another one out", "[admission]") {
  BrokerDriver driver;
  driver.Route(1, 1);
  for (ArrivalNumber i = 1; i <= 30; ++i) {
    driver.Arrive(driver.NewSpec(true), i);
    driver.Advance(std::chrono::milliseconds(10));
    driver.Answer(driver.sent.back());
  }
  // With attempts of 10 ms the flood alone fills the queue for longer than the deadline.
  constexpr ArrivalNumber kFlood = 1000;
  for (ArrivalNumber i = kFlood; i < kFlood + 300; ++i) {
    RequestSpec spec = driver.NewSpec(true, std::chrono::milliseconds(900));
    spec.caller = CallerId("flood");
    driver.Arrive(spec, i);
  }
  RequestSpec modest = driver.NewSpec(true, std::chrono::milliseconds(900));
  modest.caller = CallerId("modest");
  driver.Arrive(modest, 2);
  REQUIRE(driver.OutcomesOf(2).size() == 1);  // of the warm-up
  for (int i = 0; i < 40; ++i) {
    driver.Advance(std::chrono::milliseconds(10));
    driver.Answer(driver.sent.back());
  }
  REQUIRE(driver.OutcomesOf(2).size() == 2);
  REQUIRE(driver.OutcomesOf(2).back().kind == OutcomeKind::kAnswered);
  REQUIRE(driver.OutcomeOf(kFlood + 299).kind == OutcomeKind::kNotRun);
  REQUIRE(driver.OutcomeOf(kFlood + 299).retry_after > Duration(0));
}

}  // namespace
}  // namespace pistachio
