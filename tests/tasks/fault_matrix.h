#pragma once

#include <string>
#include <vector>

#include "tests/tasks/world.h"

namespace pistachio::testing {

/// \brief One cell of the fault matrix: \a fault strikes the \a number-th \a step.
struct Cell {
  Step step = Step::kStart;
  Fault fault = Fault::kNone;
  int number = 0;
  bool twice = false;         ///< strikes the following step of that kind as well
  bool with_next = false;     ///< the next fault strikes whatever step comes next
  bool fences_epochs = true;  ///< targets refuse older epochs
};

/// \brief What a cell showed; no findings means that every promise held.
struct CellResult {
  bool struck = false;
  std::vector<std::string> findings;
};

/// \brief Runs start, renewal, finish, cancellation, urgent preemption, drain with checkpoint and
/// resumption, with the cell's fault, and checks the promises all along and at the end.
CellResult RunCell(const Cell& cell);

/// \returns the cell in words.
std::string TextOf(const Cell& cell);

}  // namespace pistachio::testing
