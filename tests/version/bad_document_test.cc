#include <catch2/catch.hpp>

#include "pistachio/version/document.h"

namespace pistachio {
namespace {

std::vector<SettingsError> ErrorsOf(const std::string& text) {
  std::vector<SettingsError> errors;
  REQUIRE_FALSE(ReadDocument(DocumentKind::kTeam, text, "team.toml", &errors).has_value());
  REQUIRE_FALSE(errors.empty());
  return errors;
}

TEST_CASE("a document of a mebibyte and more is refused by its size alone", "[version]") {
  const auto errors = ErrorsOf(std::string(1U << 20U, '#'));
  REQUIRE(errors.size() == 1);
  REQUIRE(errors[0].problem.find("1048576 bytes") != std::string::npos);
  REQUIRE_FALSE(errors[0].allowed_range.empty());
}

TEST_CASE("text that is not UTF-8 and text that is not TOML name the line", "[version]") {
  REQUIRE(ErrorsOf("max_priority = 1\nx = \"\xff\xfe\"\n")[0].line == 2);
  REQUIRE(ErrorsOf("max_priority = 1\nquota = [\n")[0].line >= 2);
  REQUIRE(ErrorsOf("max_priority = 1\nmax_priority = 2\n")[0].line == 2);
  REQUIRE(ErrorsOf(std::string("max_priority = 1\n\0\n", 19))[0].line == 2);
}

TEST_CASE("deep nesting is refused in every form", "[version]") {
  std::string dotted = "a";
  for (int i = 0; i < 40; i++) {
    dotted += ".a";
  }
  REQUIRE(ErrorsOf(dotted + " = 1\n")[0].problem.find("line is too long") != std::string::npos);
  REQUIRE(ErrorsOf("a = " + std::string(500, '[') + "\n")[0].problem.find("not TOML") !=
          std::string::npos);
  std::string lines;
  for (int i = 0; i < 500; i++) {
    lines += "a.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a = [\n{";
  }
  REQUIRE(ErrorsOf(lines)[0].problem.find("not TOML") != std::string::npos);
}

TEST_CASE("a document full of faults gets a bounded number of errors in line order", "[version]") {
  std::string text;
  for (int i = 0; i < 10'000; i++) {
    text += "unknown-" + std::to_string(i) + " = 1\n";
  }
  const auto errors = ErrorsOf(text);
  REQUIRE(errors.size() <= 100);
  for (std::size_t i = 1; i < errors.size(); i++) {
    REQUIRE(errors[i - 1].line <= errors[i].line);
  }
}

TEST_CASE("numbers that are not whole, not finite or too large are refused", "[version]") {
  for (const char* value : {"1.5", "nan", "\"1\"", "true", "[1]", "99999999999", "-1"}) {
    CAPTURE(value);
    const auto errors = ErrorsOf(std::string("max_priority = ") + value + "\n");
    REQUIRE(errors[0].key == "max_priority");
    REQUIRE(errors[0].allowed_range == "0 to 1000");
  }
  REQUIRE(ErrorsOf("max_priority = 99999999999999999999\n")[0].line == 1);
  std::vector<SettingsError> errors;
  REQUIRE_FALSE(ReadDocument(DocumentKind::kRoot, "policy.evictions = nan\n", "r", &errors));
}

TEST_CASE("a name with a dot, blank or capital is refused as the name of a table", "[version]") {
  for (const char* name : {"\"a.b\"", "\"a b\"", "A", "\"\"", "\"*\""}) {
    CAPTURE(name);
    REQUIRE(ErrorsOf(std::string("[services.") + name + "]\n")[0].problem == "not a name");
  }
}

}  // namespace
}  // namespace pistachio
