#include "pistachio/version/operator_api.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

TEST_CASE("an answer to a change survives the way there and back", "[version]") {
  ChangeAnswer answer;
  answer.subtree = "relay";
  answer.result = ChangeResult::kRejected;
  answer.reason = "another change won";
  answer.errors.push_back(SettingsError{"f", 3, "k", "p", "r"});
  answer.current = SubtreeVersion{"relay", 7, "id-7", "max_priority = 1\n"};
  const auto back = DecodeBody<ChangeAnswer>(EncodeBody(answer));
  REQUIRE(back.has_value());
  REQUIRE(back->result == ChangeResult::kRejected);
  REQUIRE(back->errors.at(0).str() == answer.errors[0].str());
  REQUIRE(back->current->document == answer.current->document);
  REQUIRE_FALSE(DecodeBody<ChangeAnswer>("{}")->current.has_value());
}

TEST_CASE("a result that is not known decodes as unknown, never as accepted", "[version]") {
  REQUIRE(DecodeBody<ActionAnswer>("{}")->result == ChangeResult::kUnknown);
  REQUIRE(DecodeBody<ActionAnswer>(R"({"result":"maybe"})")->result == ChangeResult::kUnknown);
}

TEST_CASE("a job survives the way there and back and a misspelt key is refused", "[version]") {
  const std::string body =
      R"({"job":"nightly","team":"relay","count":50,"expected_run":"90s","only_in_racks":["r1"]})";
  const auto spec = DecodeBody<JobSpec>(body);
  REQUIRE(spec.has_value());
  REQUIRE(spec->count == 50);
  REQUIRE(spec->expected_run == std::chrono::seconds(90));
  const auto back = DecodeBody<JobSpec>(EncodeBody(*spec));
  REQUIRE(back.has_value());
  REQUIRE(back->only_in_racks == spec->only_in_racks);
  REQUIRE(back->work_class == spec->work_class);
  std::string reason;
  REQUIRE_FALSE(DecodeBody<JobSpec>(R"({"job":"a","team":"b","cuont":1})", &reason).has_value());
  REQUIRE(reason.find("cuont") != std::string::npos);
}

TEST_CASE("ages are durations and may be missing", "[version]") {
  HostList hosts;
  hosts.hosts.resize(2);
  hosts.hosts[0].heard_age = std::chrono::milliseconds(250);
  const auto back = DecodeBody<HostList>(EncodeBody(hosts));
  REQUIRE(back->hosts.at(0).heard_age == Duration(std::chrono::milliseconds(250)));
  REQUIRE_FALSE(back->hosts.at(1).heard_age.has_value());
}

TEST_CASE("malformed, oversized and deep bodies are refused with a reason", "[version]") {
  const std::vector<std::string> bodies = {"",
                                           "{",
                                           "[]x",
                                           R"({"base_version":"x"})",
                                           R"({"base_version":1})",
                                           std::string(100'000, '['),
                                           std::string(kMaxOperatorBodyBytes + 1, ' ')};
  for (const std::string& body : bodies) {
    std::string reason;
    CAPTURE(body.substr(0, 40));
    REQUIRE_FALSE(DecodeBody<ChangeRequest>(body, &reason).has_value());
    REQUIRE_FALSE(reason.empty());
    REQUIRE_FALSE(DecodeBody<JobSpec>(body).has_value());
  }
}

}  // namespace
}  // namespace pistachio
