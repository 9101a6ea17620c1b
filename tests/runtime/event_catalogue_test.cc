#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "pistachio/process/runtime.h"

namespace pistachio {
namespace {

TEST_CASE("event numbers are in rising order and names are unique", "[events]") {
  std::set<std::string> names;
  int last_number = 0;
  for (const EventDescription& row : EventCatalogue()) {
    REQUIRE(static_cast<int>(row.code) > last_number);
    last_number = static_cast<int>(row.code);
    REQUIRE(names.insert(row.name).second);
  }
}

TEST_CASE("docs/EVENTS.md matches the catalogue", "[events]") {
  std::filesystem::path root = std::filesystem::current_path();
  while (root.has_relative_path() && !std::filesystem::exists(root / "docs/EVENTS.md")) {
    root = root.parent_path();
  }
  std::ostringstream page;
  page << std::ifstream(root / "docs/EVENTS.md").rdbuf();
  INFO("regenerate the page: pistachiod --print_events > docs/EVENTS.md");
  const bool same = page.str() == RenderEventsPage();
  REQUIRE(same);
}

TEST_CASE("an event line quotes values with spaces and quotes", "[events]") {
  const EventRecord record{EventCode::kBadInput, {{"from", "a b"}, {"text", "say \"x\""}}};
  REQUIRE(record.str() == "E1006 bad-input from=\"a b\" text=\"say \\\"x\\\"\"");
}

}  // namespace
}  // namespace pistachio
