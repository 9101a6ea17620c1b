#include <catch2/catch.hpp>

#include "pistachio/request.h"

namespace pistachio {
namespace {

RequestId IdOf(const std::string& host) {
  return {DataCentreId("leeds-a"), MemberId{HostId(host), 0xfedcba9876543210U}, 0x1f};
}

TEST_CASE("a request id reads back as it was written", "[request-id]") {
  for (const char* host : {"host-a1", "host.with.dots", "10.0.0.1"}) {
    const RequestId id = IdOf(host);
    const auto parsed = ParseRequestId(id.str());
    REQUIRE(parsed);
    REQUIRE(*parsed == id);
  }
  REQUIRE(IdOf("host-a1").str() == "leeds-a.host-a1.fedcba9876543210.1f");
}

TEST_CASE("text that no entry host wrote is no request id", "[request-id]") {
  for (const char* text :
       {"", ".", "...", "a.b.c", "a.b.1", "a.b.1.", ".b.1.2", "a..1.2", "a.b..2", "a.b.1.2 ",
        "a.b.01.2", "a.b.1.A", "a.b.1.-2", "a.b.1.10000000000000000", "a b.c.1.2", "a.b\n.1.2"}) {
    INFO(text);
    REQUIRE_FALSE(ParseRequestId(text));
  }
  REQUIRE_FALSE(ParseRequestId(std::string(300, 'a') + ".b.1.2"));
}

TEST_CASE("only the home decides on a non-idempotent id", "[request-id]") {
  const DataCentreId here("waikato");
  const MemberId self{HostId("a1"), 5};
  RequestSpec spec;
  spec.id = {here, self, 9};
  REQUIRE(std::holds_alternative<HandleHere>(RouteOfId(spec, here, self, std::nullopt)));

  spec.id.home.incarnation = 4;
  const IdRoute older = RouteOfId(spec, here, self, std::nullopt);
  REQUIRE(std::get<TellOutcome>(older).outcome.kind == OutcomeKind::kUnknown);

  spec.id.home = {HostId("a2"), 7};
  const IdRoute other = RouteOfId(spec, here, self, std::nullopt);
  REQUIRE(std::get<ForwardToHome>(other).host == HostId("a2"));
  const IdRoute replaced = RouteOfId(spec, here, self, MemberId{HostId("a2"), 8});
  REQUIRE(std::get<TellOutcome>(replaced).outcome.kind == OutcomeKind::kUnknown);

  // The same host name in another data centre is another host.
  spec.id = {DataCentreId("hawkes"), self, 9};
  const IdRoute far = RouteOfId(spec, here, self, std::nullopt);
  REQUIRE(std::get<ForwardToHome>(far).data_centre == DataCentreId("hawkes"));

  spec.idempotent = true;
  REQUIRE(std::holds_alternative<HandleHere>(RouteOfId(spec, here, self, std::nullopt)));
  REQUIRE(OutcomeOfUnreachableHome().kind == OutcomeKind::kUnknown);
}

TEST_CASE("a status that clients repeat by themselves is given only where that is harmless",
          "[status]") {
  const auto status = [](OutcomeKind kind, bool idempotent) {
    return HttpStatusOf({kind, outcome_reason::kQueueFull, Duration(0)}, idempotent);
  };
  REQUIRE(status(OutcomeKind::kNotRun, false) == 503);
  REQUIRE(status(OutcomeKind::kUnknown, false) == 409);
  REQUIRE(status(OutcomeKind::kUnknown, true) == 503);
  REQUIRE(status(OutcomeKind::kDeadlinePassed, true) == 504);
  REQUIRE(status(OutcomeKind::kAnsweredBefore, false) == 410);
  const Outcome hint{OutcomeKind::kNotRun, outcome_reason::kQueueFull,
                     std::chrono::milliseconds(1100)};
  REQUIRE(RetryAfterOf(hint) == std::chrono::seconds(2));
}

}  // namespace
}  // namespace pistachio
