#pragma once

#include <cstdint>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/scheduling/delay_cost.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Properties of a step with waiting tasks that decide on its place in the waiting order.
struct WaitingStep : DelayedWork {
  bool starved = false;  ///< long-running, ran before, and has waited too long to run again
  /// Processors that all its waiting tasks request, thousandths of a core.
  std::int64_t waiting_cpu = 0;
};

/// \brief Compares two steps in the order in which their tasks are placed on targets while room is
/// not scarce; otherwise RankOf() decides.
///
/// Designed for a burst of batch work on top of steady urgent work, on targets nearly full of
/// serving tasks:
/// 1. starved long-running tasks, which would otherwise never fit on nearly full targets
/// 2. lower `priority` numbers first
/// 3. within a priority: submissions that can still meet their due time; then long-running tasks,
///    since a second of delay costs less for them than for an urgent check; then submissions
///    that will be late; last those that will be too late to have any value. In a burst, work that
///    is late anyway waits rather than work that can still be in time.
/// 4. the earlier due time, then the smaller `waiting_cpu`
///
/// \returns true if \a a comes before \a b at time \a now
bool RunsBefore(const WaitingStep& a, const WaitingStep& b, WallTime now);

}  // namespace pistachio
