#include "pistachio/process/runtime/clock.h"

#include <ctime>

namespace pistachio {

TimePoint BootClock::Now() const {
  timespec spec{};
  clock_gettime(CLOCK_BOOTTIME, &spec);
  const auto since_boot =
      std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec);
  return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
}

ManualClock::ManualClock(TimePoint start)
    : ticks(std::make_shared<std::atomic<std::int64_t>>(start.time_since_epoch().count())) {}

TimePoint ManualClock::Now() const { return TimePoint(Duration(this->ticks->load())); }

void ManualClock::Advance(Duration step) { this->ticks->fetch_add(step.count()); }

TimePoint Now(const Clock& clock) {
  return std::visit([](const auto& source) { return source.Now(); }, clock);
}

std::chrono::milliseconds WallClockNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace pistachio
