#pragma once

#include <cstdint>
#include <deque>

#include "pistachio/process/runtime/clock.h"

namespace pistachio {

/// \brief Bounds how many evictions happen in any window of time.
class EvictionBudget {
 public:
  /// \brief Takes one eviction out of the budget, if it holds one.
  ///
  /// \returns true if the eviction may happen. Cost: constant, over many calls.
  bool Take(TimePoint now, std::uint32_t limit, Duration window);

 private:
  std::deque<TimePoint> taken;
};

}  // namespace pistachio
