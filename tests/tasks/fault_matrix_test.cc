#include "tests/tasks/fault_matrix.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace pistachio::testing {
namespace {

// How far into the scenario the fault strikes, counted in steps of its kind.
constexpr int kNumbers[] = {0, 1, 2, 4, 7};

std::string ReadFaultsPage() {
  std::filesystem::path folder = std::filesystem::current_path();
  while (folder.has_relative_path() && !std::filesystem::exists(folder / "docs/FAULTS.md")) {
    folder = folder.parent_path();
  }
  std::ifstream file(folder / "docs/FAULTS.md");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// \brief The rows of the page's table, as the matrix shows them.
std::vector<std::string> RunAll(bool twice, bool with_next, bool fences_epochs) {
  int cells = 0;
  std::vector<std::string> rows;
  for (int step = 0; step < kStepCount; ++step) {
    std::string row = "| " + std::string(NameOf(static_cast<Step>(step))) + " |";
    for (int fault = 1; fault < kFaultCount; ++fault) {
      bool struck = false;
      bool held = true;
      for (const int number : kNumbers) {
        const Cell cell{static_cast<Step>(step),
                        static_cast<Fault>(fault),
                        number,
                        twice,
                        with_next,
                        fences_epochs};
        const CellResult result = RunCell(cell);
        ++cells;
        struck = struck || result.struck;
        held = held && result.findings.empty();
        INFO(TextOf(cell));
        CAPTURE(result.findings);
        CHECK(result.findings.empty());
      }
      INFO(NameOf(static_cast<Step>(step)));
      REQUIRE(struck);
      row += held ? " held |" : " broken |";
    }
    rows.push_back(row);
  }
  WARN("cells: " << cells);
  return rows;
}

TEST_CASE("every fault at every step keeps the promises", "[matrix]") {
  const std::vector<std::string> rows = RunAll(false, false, true);
  const std::string page = ReadFaultsPage();
  std::string head = "| step |";
  for (int fault = 1; fault < kFaultCount; ++fault) {
    head += " " + std::string(NameOf(static_cast<Fault>(fault))) + " |";
  }
  CHECK(page.find(head) != std::string::npos);
  for (const std::string& row : rows) {
    CAPTURE(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

TEST_CASE("every fault twice in a row keeps the promises", "[matrix]") {
  RunAll(true, false, true);
}

TEST_CASE("every fault together with the next one keeps the promises", "[matrix]") {
  RunAll(false, true, true);
}

TEST_CASE("targets that do not compare epochs change nothing", "[matrix]") {
  RunAll(false, false, false);
}

}  // namespace
}  // namespace pistachio::testing
