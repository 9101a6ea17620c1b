#include <catch2/catch.hpp>

#include "pistachio/connection/peer.h"

namespace pistachio {
namespace {

template <class Family = ControlMessage, class Message>
Message RoundTrip(const Message& message) {
  const auto read = DecodePeerMessage(EncodePeerMessage(Family(message)));
  REQUIRE(read);
  const auto& family = std::get<Family>(*read);
  REQUIRE(std::holds_alternative<Message>(family));
  return std::get<Message>(family);
}

TEST_CASE("a heartbeat reads back as it was written", "[codec]") {
  const Heartbeat beat{{HostId("a"), 0xffffffffffffffffU}, 12, 3, true};
  const Heartbeat read = RoundTrip(beat);
  REQUIRE(read.from == beat.from);
  REQUIRE(read.sequence == 12);
  REQUIRE(read.leaving);
}

TEST_CASE("a forwarded body may hold any bytes", "[codec]") {
  PeerForward forward;
  forward.body = std::string("\x00\xff\x80", 3);
  forward.time_left = std::chrono::milliseconds(250);
  const PeerForward read = RoundTrip<TrafficMessage>(forward);
  REQUIRE(read.body == forward.body);
  REQUIRE(read.time_left == forward.time_left);
}

TEST_CASE("an assignment and a room report read back", "[codec]") {
  PeerAssignment assignment;
  assignment.assignment.task = TaskId{JobId("j"), 4};
  assignment.assignment.avoid_targets = {TargetId("t")};
  REQUIRE(RoundTrip(assignment).assignment.avoid_targets.size() == 1);
  PeerRoom room;
  room.room.free = {Resources{1, 2, 3}};
  REQUIRE(RoundTrip(room).room.free.at(0) == Resources{1, 2, 3});
}

TEST_CASE("a message of another version, cut short or with a wrong type is refused", "[codec]") {
  const std::string good = EncodePeerMessage(ControlMessage(VouchRequest{{HostId("a"), 1}, 2}));
  REQUIRE(DecodePeerMessage(good));
  std::string other_version = good;
  other_version[0] = 9;
  REQUIRE_FALSE(DecodePeerMessage(other_version));
  for (std::size_t length = 0; length < good.size(); ++length) {
    REQUIRE_FALSE(DecodePeerMessage(good.substr(0, length)));
  }
  std::string unknown_type = good;
  unknown_type[3] = 0x17;
  REQUIRE_FALSE(DecodePeerMessage(unknown_type));
}

}  // namespace
}  // namespace pistachio
