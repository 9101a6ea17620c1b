#pragma once

#include <optional>
#include <set>
#include <utility>

#include "pistachio/process/runtime/clock.h"

namespace pistachio::internal {

/// \brief Instants at which something is due, each for one key.
///
/// Cost: logarithmic in the number of timers.
template <class Key>
class TimerQueue {
 public:
  void Set(TimePoint at, const Key& key) { this->timers.emplace(at, key); }
  void Cancel(TimePoint at, const Key& key) { this->timers.erase({at, key}); }

  /// \returns a key that is due at \a now, removed from the queue.
  std::optional<Key> PopDue(TimePoint now) {
    if (this->timers.empty() || this->timers.begin()->first > now) {
      return std::nullopt;
    }
    Key key = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    return key;
  }

  /// \returns the earliest instant at which a key is due.
  std::optional<TimePoint> next() const {
    if (this->timers.empty()) {
      return std::nullopt;
    }
    return this->timers.begin()->first;
  }

 private:
  std::set<std::pair<TimePoint, Key>> timers;
};

}  // namespace pistachio::internal
