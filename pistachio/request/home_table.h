#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/request/types.h"

namespace pistachio::internal {

/// \brief What a home knows of one of its ids.
enum class IdState {
  kUnused,       ///< no attempt of it was ever let through
  kRunning,      ///< an attempt was let through and may run or have run
  kAnswered,     ///< it ran and was answered
  kForgotten,    ///< older than the memory
  kNeverIssued,  ///< not handed out by this incarnation
};

/// \brief Bounds of the memory of a home.
struct HomeMemory {
  Duration span = std::chrono::minutes(10);  ///< counted from when an id was handed out
  std::size_t max_ids = 200000;              ///< the oldest are forgotten first beyond it
};

/// \brief Hands out the ids of one incarnation and remembers which non-idempotent ones were sent.
///
/// A number is the time since the start of the table in microseconds, or the next free one, so the
/// age of an id follows from its number and a forgotten id is told from an unused one without a
/// record of it.
class HomeTable {
 public:
  HomeTable(const HomeMemory& memory, TimePoint start);

  /// \returns a number that was never returned before.
  std::uint64_t Issue(TimePoint now);

  IdState StateOf(std::uint64_t number, TimePoint now) const;

  /// \brief Notes that an attempt of the id is let through. \pre StateOf is kUnused.
  void LetThrough(std::uint64_t number, TimePoint now);

  /// \brief Notes that the attempt was answered.
  void Answered(std::uint64_t number);

  /// \brief Takes LetThrough back: the attempt's failure proves that nothing ran.
  void ProvedNotRun(std::uint64_t number);

  /// \returns the number of remembered ids.
  std::size_t size() const { return this->sent.size(); }

 private:
  bool IsForgotten(std::uint64_t number, TimePoint now) const;
  void Forget(TimePoint now);

  HomeMemory memory;
  TimePoint start;
  std::uint64_t last_issued = 0;
  std::uint64_t forgotten_below = 0;   ///< every lower number is forgotten
  std::map<std::uint64_t, bool> sent;  ///< let-through numbers; true once answered
};

}  // namespace pistachio::internal
