#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

namespace pistachio {

/// \brief Tag of the runtime's time line; it has no wall-clock meaning.
struct RuntimeTimeline {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeTimeline>;
  static constexpr bool is_steady = true;
};

/// \brief Length of time, in microseconds.
using Duration = RuntimeTimeline::duration;
/// \brief Instant on one process's own time line; never compare instants of two processes.
using TimePoint = RuntimeTimeline::time_point;

/// \brief Reads the machine's boot-time clock.
///
/// Boot time goes on while the machine is suspended, so a lease counted on it has run out after a
/// suspend of any length.
class BootClock {
 public:
  /// \returns the current instant. Never goes back within one boot.
  TimePoint Now() const;
};

/// \brief A clock that stands still until it is advanced. Copies share one time line. Thread-safe.
class ManualClock {
 public:
  /// \brief Starts the time line at \a start.
  explicit ManualClock(TimePoint start = TimePoint(std::chrono::hours(1)));

  TimePoint Now() const;

  /// \brief Moves the time line forward. \pre \a step is not negative.
  void Advance(Duration step);

 private:
  std::shared_ptr<std::atomic<std::int64_t>> ticks;
};

/// \brief The runtime's clock: the machine's, or one that a test advances.
using Clock = std::variant<BootClock, ManualClock>;

/// \returns the current instant of whichever clock \a clock holds.
TimePoint Now(const Clock& clock);

/// \returns wall-clock time since the Unix epoch, for people and for ids only, never for leases.
std::chrono::milliseconds WallClockForDisplay();

}  // namespace pistachio
