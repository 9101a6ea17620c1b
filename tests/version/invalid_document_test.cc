#include <catch2/catch.hpp>

#include "pistachio/version/document.h"

namespace pistachio {
namespace {

/// \brief Reads an invalid team document. \returns its errors.
std::vector<SettingsError> ReadErrors(const std::string& text) {
  std::vector<SettingsError> errors;
  REQUIRE_FALSE(ReadDocument(DocumentKind::kTeam, text, "team.toml", &errors).has_value());
  REQUIRE_FALSE(errors.empty());
  return errors;
}

TEST_CASE("a document of 1 MiB is rejected for its size with a single error", "[version]") {
  const auto errors = ReadErrors(std::string(1U << 20U, '#'));
  REQUIRE(errors.size() == 1);
  REQUIRE(errors[0].problem.find("1048576 bytes") != std::string::npos);
  REQUIRE_FALSE(errors[0].allowed_range.empty());
}

TEST_CASE("the error for text that is not UTF-8 or not TOML contains the line", "[version]") {
  REQUIRE(ReadErrors("max_priority = 1\nx = \"\xff\xfe\"\n")[0].line == 2);
  REQUIRE(ReadErrors("max_priority = 1\nquota = [\n")[0].line >= 2);
  REQUIRE(ReadErrors("max_priority = 1\nmax_priority = 2\n")[0].line == 2);
  REQUIRE(ReadErrors(std::string("max_priority = 1\n\0\n", 19))[0].line == 2);
}

TEST_CASE("deep nesting is rejected in dotted keys, in arrays and across lines", "[version]") {
  std::string dotted = "a";
  for (int i = 0; i < 40; i++) {
    dotted += ".a";
  }
  REQUIRE(ReadErrors(dotted + " = 1\n")[0].problem.find("line is too long") != std::string::npos);
  REQUIRE(ReadErrors("a = " + std::string(500, '[') + "\n")[0].problem.find("not TOML") !=
          std::string::npos);
  std::string lines;
  for (int i = 0; i < 500; i++) {
    lines += "a.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a = [\n{";
  }
  REQUIRE(ReadErrors(lines)[0].problem.find("not TOML") != std::string::npos);
}

TEST_CASE("the errors of a document with 10,000 unknown keys are limited and in line order",
          "[version]") {
  std::string text;
  for (int i = 0; i < 10'000; i++) {
    text += "unknown-" + std::to_string(i) + " = 1\n";
  }
  const auto errors = ReadErrors(text);
  REQUIRE(errors.size() <= 100);
  for (std::size_t i = 1; i < errors.size(); i++) {
    REQUIRE(errors[i - 1].line <= errors[i].line);
  }
}

TEST_CASE("numbers that are fractional, not finite or out of range are rejected", "[version]") {
  for (const char* value : {"1.5", "nan", "\"1\"", "true", "[1]", "99999999999", "-1"}) {
    CAPTURE(value);
    const auto errors = ReadErrors(std::string("max_priority = ") + value + "\n");
    REQUIRE(errors[0].key == "max_priority");
    REQUIRE(errors[0].allowed_range == "0 to 1000");
  }
  REQUIRE(ReadErrors("max_priority = 99999999999999999999\n")[0].line == 1);
  std::vector<SettingsError> errors;
  REQUIRE_FALSE(ReadDocument(DocumentKind::kRoot, "policy.evictions = nan\n", "r", &errors));
}

TEST_CASE("a table name with a dot, blank, capital or asterisk and an empty one are rejected",
          "[version]") {
  for (const char* name : {"\"a.b\"", "\"a b\"", "A", "\"\"", "\"*\""}) {
    CAPTURE(name);
    REQUIRE(ReadErrors(std::string("[services.") + name + "]\n")[0].problem == "not a name");
  }
}

}  // namespace
}  // namespace pistachio
