#include "pistachio/process/scheduling/waiting_order.h"

#include <tuple>

namespace pistachio {

namespace internal {

/// Ranks within one priority; the lowest comes first.
enum class Rank { kOnTime, kLongRunning, kLate, kExpired };

Rank RankOf(const WaitingStep& step, WallTime now) {
  if (step.long_running) {
    return Rank::kLongRunning;
  }
  if (now + step.remaining <= step.due) {
    return Rank::kOnTime;
  }
  return now + step.remaining < step.hard_deadline ? Rank::kLate : Rank::kExpired;
}

}  // namespace internal

bool RunsBefore(const WaitingStep& a, const WaitingStep& b, WallTime now) {
  const auto key = [now](const WaitingStep& step) {
    return std::make_tuple(!step.starved, step.priority, internal::RankOf(step, now), step.due,
                           step.waiting_cpu);
  };
  return key(a) < key(b);
}

}  // namespace pistachio
