#include <catch2/catch.hpp>

#include "pistachio/process/scheduling/record_codec.h"
#include "pistachio/process/scheduling/submission.h"
#include "platform/documents.h"
#include "platform/store_wire.h"
#include "platform/target_wire.h"

namespace pistachio::platform {
namespace {

HttpResult Answered(const std::string& body) {
  HttpResult result;
  result.status = 200;
  result.body = body;
  return result;
}

// The lower 32 bits of 4294967299 are 3, which would be taken for a report about run 3.
TEST_CASE("a report of a run whose number is out of range is skipped", "[odd_entries]") {
  const auto running = [](const std::string& run) {
    return DecodeHoldReply(Answered(R"({"running":[["a.0.1.2",)" + run + R"(,"c",41,17]]})"))
        .running;
  };
  const auto finished = [](const std::string& number, const std::string& run) {
    return DecodeHoldReply(
               Answered(R"({"finished":[[)" + number + R"(,"a.0.1.9",)" + run + R"(,"done",""]]})"))
        .finished;
  };
  REQUIRE(running("3").size() == 1);
  REQUIRE(running("3.0").at(0).run == 3);
  REQUIRE(finished("58", "1").size() == 1);
  REQUIRE(finished("58.0", "1").at(0).number == 58);
  for (const char* odd : {"4294967299", "1e300", "-1", "2.5", "99999999999999999999"}) {
    INFO(odd);
    CHECK(running(odd).empty());
    CHECK(finished("58", odd).empty());
  }
  for (const char* odd : {"1e300", "-1", "2.5", "99999999999999999999"}) {
    INFO(odd);
    CHECK(finished(odd, "1").empty());
  }
}

}  // namespace
}  // namespace pistachio::platform
