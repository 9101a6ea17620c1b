#include "pistachio/connection/http/connection_tracker.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

using Sockets = std::vector<int>;

const ConnectionEnds kFirst{"10.0.0.1:80", 5001};
const ConnectionEnds kSecond{"10.0.0.1:80", 5002};
const ConnectionEnds kThird{"10.0.0.1:80", 5003};
const ConnectionEnds kOtherPeer{"10.0.0.2:80", 5001};

TEST_CASE("after a request without an answer all idle connections to its peer are suspect",
          "[connection_tracker]") {
  ConnectionTracker tracker;
  tracker.OnConnect(kFirst, 11);
  tracker.OnConnect(kSecond, 12);
  tracker.OnConnect(kThird, 13);
  tracker.OnConnect(kOtherPeer, 14);
  // The request is sent on the oldest connection; the younger ones are as silent as it is.
  const auto request = tracker.OnRequest(kFirst);
  tracker.OnClose(11);
  REQUIRE(tracker.FindSuspect(kFirst.first, request) == Sockets{12, 13});
}

TEST_CASE("a connection that has proved to work since the request is kept",
          "[connection_tracker]") {
  ConnectionTracker tracker;
  tracker.OnConnect(kFirst, 11);
  tracker.OnConnect(kSecond, 12);
  const auto unanswered = tracker.OnRequest(kFirst);
  tracker.OnAnswer(kSecond, tracker.OnRequest(kSecond));
  tracker.OnConnect(kThird, 13);
  tracker.OnClose(11);
  REQUIRE(tracker.FindSuspect(kFirst.first, unanswered).empty());
  // The next request without an answer makes them suspect.
  const auto next = tracker.OnRequest(kSecond);
  REQUIRE(tracker.FindSuspect(kFirst.first, next) == Sockets{13});
}

TEST_CASE("a connection in use is not suspect until its own request ends", "[connection_tracker]") {
  ConnectionTracker tracker;
  tracker.OnConnect(kFirst, 11);
  tracker.OnConnect(kSecond, 12);
  const auto long_poll = tracker.OnRequest(kSecond);
  const auto unanswered = tracker.OnRequest(kFirst);
  tracker.OnClose(11);
  REQUIRE(tracker.FindSuspect(kFirst.first, unanswered).empty());
  tracker.OnAnswer(kSecond, long_poll);
  REQUIRE(tracker.FindSuspect(kFirst.first, unanswered).empty());
  REQUIRE(tracker.FindSuspect(kFirst.first, tracker.OnRequest(kThird)) == Sockets{12});
}

TEST_CASE("a late answer does not count for a younger connection with the same ends",
          "[connection_tracker]") {
  ConnectionTracker tracker;
  tracker.OnConnect(kFirst, 11);
  const auto request = tracker.OnRequest(kFirst);
  tracker.OnClose(11);
  tracker.OnConnect(kFirst, 15);
  const auto unanswered = tracker.OnRequest(kSecond);
  tracker.OnAnswer(kFirst, request);
  REQUIRE(tracker.FindSuspect(kFirst.first, unanswered) == Sockets{15});
}

}  // namespace
}  // namespace pistachio
