#include "tests/tasks/fault_matrix.h"

#include <catch2/catch.hpp>

namespace pistachio::testing {
namespace {

// How far into the scenario the fault strikes, counted in steps of its kind.
constexpr int kNumbers[] = {0, 1, 2, 4, 7};

void RunAll(bool twice, bool with_next, bool fences_epochs) {
  int cells = 0;
  for (int step = 0; step < kStepCount; ++step) {
    for (int fault = 1; fault < kFaultCount; ++fault) {
      bool struck = false;
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
        INFO(TextOf(cell));
        CAPTURE(result.findings);
        CHECK(result.findings.empty());
      }
      INFO(NameOf(static_cast<Step>(step)));
      REQUIRE(struck);
    }
  }
  WARN("cells: " << cells);
}

TEST_CASE("every fault at every step keeps the promises", "[matrix]") {
  RunAll(false, false, true);
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
