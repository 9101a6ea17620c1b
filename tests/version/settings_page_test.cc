#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "pistachio/version/schema.h"
#include "pistachio/version/values.h"

namespace pistachio {
namespace {

/// \returns the content of a file in docs/, or an empty text if it is not found.
std::string ReadDocsPage(const std::string& name) {
  // The working directory of the tests is somewhere below the root of the repository.
  for (auto directory = std::filesystem::current_path(); directory != directory.root_path();
       directory = directory.parent_path()) {
    std::ifstream file(directory / "docs" / name);
    if (file) {
      std::stringstream text;
      text << file.rdbuf();
      return text.str();
    }
  }
  return "";
}

TEST_CASE("docs/SETTINGS.md matches the page generated from the schema", "[version]") {
  const bool matches = ReadDocsPage("SETTINGS.md") == RenderSettingsPage();
  INFO("regenerate it: pistachioctl settings page > docs/SETTINGS.md");
  REQUIRE(matches);
}

TEST_CASE("every key is defined once with a description, a valid range and a valid default",
          "[version]") {
  for (const DocumentKind kind : {DocumentKind::kRoot, DocumentKind::kTeam, DocumentKind::kJob}) {
    std::set<std::string> paths;
    for (const KeySpec& spec : KeysOf(kind)) {
      CAPTURE(spec.path);
      REQUIRE(paths.insert(spec.path).second);
      REQUIRE_FALSE(spec.description.empty());
      REQUIRE(spec.min <= spec.max);
      if (!spec.default_value.empty()) {
        REQUIRE(ParseDefault(spec).has_value());
      }
      if (!spec.root_default_key.empty()) {
        REQUIRE(FindKey(DocumentKind::kRoot, spec.root_default_key).has_value());
      }
      if (!spec.root_limit_key.empty()) {
        REQUIRE(FindKey(DocumentKind::kRoot, spec.root_limit_key).has_value());
      }
    }
  }
}

TEST_CASE("ExplainKey finds a key by its concrete path and by its pattern", "[version]") {
  REQUIRE(ExplainKey("services.alarm.count").find("services.*.count (team)") == 0);
  REQUIRE(ExplainKey("operators.kim.token_digest").find("operators.*.token_digest (root)") == 0);
  REQUIRE(ExplainKey("max_priority").find("limits.max_priority") != std::string::npos);
  REQUIRE(ExplainKey("services.alarm").empty());
  REQUIRE(ExplainKey("services.a.b.count").empty());
  REQUIRE(ExplainKey("").empty());
}

TEST_CASE("durations are parsed and formatted with their unit", "[version]") {
  for (const char* text : {"1us", "250ms", "9s", "2m", "1h", "0ms"}) {
    REQUIRE(FormatDuration(ParseDuration(text).value()) == text);
  }
  for (const char* text : {"", "9", "s", "-1s", "1.5s", " 1s", "1 s", "1d", "99999999999h"}) {
    CAPTURE(text);
    REQUIRE_FALSE(ParseDuration(text).has_value());
  }
}

}  // namespace
}  // namespace pistachio
