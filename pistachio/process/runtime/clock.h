#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

namespace pistachio {

/// \brief Clock tag of the types Duration and TimePoint; its instants have no relation to
/// wall-clock time.
struct RuntimeTimeline {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeTimeline>;
  static constexpr bool is_steady = true;
};

/// \brief Time span in microseconds.
using Duration = RuntimeTimeline::duration;
/// \brief Instant of one process's clock, in microseconds. Instants of different processes are not
/// comparable.
using TimePoint = RuntimeTimeline::time_point;

/// \brief Reads the operating system's boot-time clock (`CLOCK_BOOTTIME`).
///
/// Boot time advances while the machine is suspended, so a lease that expires during a suspend has
/// expired when the process resumes.
class BootClock {
 public:
  /// \returns the time since boot; never decreases between two reboots.
  TimePoint Now() const;
};

/// \brief Clock for tests that changes only when Advance() is called. Copies share one time.
/// Thread-safe.
class ManualClock {
 public:
  /// \brief Creates a clock that shows \a start.
  explicit ManualClock(TimePoint start = TimePoint(std::chrono::hours(1)));

  /// \returns the instant that the clock shows.
  TimePoint Now() const;

  /// \brief Moves the clock forward by \a step. \pre \a step is not negative.
  void Advance(Duration step);

 private:
  std::shared_ptr<std::atomic<std::int64_t>> ticks;  ///< microseconds; shared by all copies
};

/// \brief Clock of a process: the operating system's, or a manual one in tests.
using Clock = std::variant<BootClock, ManualClock>;

/// \returns the current instant of \a clock.
TimePoint Now(const Clock& clock);

/// \returns the wall-clock time since the Unix epoch, in milliseconds. It may jump, so leases and
/// timeouts must not use it.
std::chrono::milliseconds WallClockNow();

}  // namespace pistachio
