#include <catch2/catch.hpp>

#include "pistachio/connection/codec.h"

namespace pistachio {
namespace {

TEST_CASE("JSON that is malformed or nested too deep is refused", "[codec]") {
  REQUIRE_FALSE(ReadJson("{"));
  REQUIRE_FALSE(ReadJson(std::string(100000, '[')));
  REQUIRE(ReadJson(R"({"text":"[[[[[[[[[[[[[[[[[[[[[[ \" [[["})"));
}

TEST_CASE("CBOR that nests without end is refused", "[codec]") {
  REQUIRE_FALSE(ReadCbor(std::string(1000000, '\x81')));
  REQUIRE_FALSE(ReadCbor("\xff"));
}

TEST_CASE("CBOR that says it holds more than it does is refused", "[codec]") {
  // A map of 14 * 10^18 entries, as the fuzzer wrote it.
  REQUIRE_FALSE(ReadCbor("\xbb\xc2\xc2\xff\xc2\x39\x49\x70\x08"));
  REQUIRE_FALSE(ReadCbor("\x9b\xff\xff\xff\xff\xff\xff\xff\xf0"));
}

TEST_CASE("a value with a missing, mistyped or out-of-range field is refused", "[codec]") {
  WireJson spec = JobSpec{};
  REQUIRE(FromJson<JobSpec>(spec));
  WireJson missing = spec;
  missing.erase("team");
  REQUIRE_FALSE(FromJson<JobSpec>(missing));
  WireJson mistyped = spec;
  mistyped["count"] = "many";
  REQUIRE_FALSE(FromJson<JobSpec>(mistyped));
  WireJson unknown_kind = spec;
  unknown_kind["kind"] = 9;
  REQUIRE_FALSE(FromJson<JobSpec>(unknown_kind));
}

TEST_CASE("an unknown field is ignored", "[codec]") {
  WireJson spec = JobSpec{};
  spec["added_later"] = 1;
  REQUIRE(FromJson<JobSpec>(spec));
}

TEST_CASE("every target command reads back as it was written", "[codec]") {
  const TaskId task{JobId("job"), 3};
  const std::vector<TargetCommand> commands = {
      StartCommand{task, 2, JobSpec{}, "cp", std::chrono::seconds(9)},
      RenewCommand{{{task, 2}}, std::chrono::seconds(9)},
      StopCommand{task, 2},
      CheckpointCommand{task, 2},
      ThrottleCommand{task, 2, 0.5},
      ForgetCommand{task, 2}};
  for (const TargetCommand& command : commands) {
    const WireJson written = FencedCommand{7, command};
    const auto read = FromJson<FencedCommand>(written);
    REQUIRE(read);
    REQUIRE(read->epoch == 7);
    REQUIRE(read->command.index() == command.index());
    REQUIRE(WireJson(*read) == written);
  }
}

}  // namespace
}  // namespace pistachio
