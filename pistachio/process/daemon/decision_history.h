#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio {

/// \brief An event with the instant at which it was reported.
struct PastDecision {
  TimePoint at;
  EventRecord event;
};

/// \brief The newest events of this host, for `pistachioctl why`. Bounded; the oldest go first.
class DecisionHistory {
 public:
  explicit DecisionHistory(std::size_t most = 4096);

  void Add(const EventRecord& event, TimePoint now);

  /// \returns the events with a field whose value is \a id, oldest first. Cost: linear.
  std::vector<PastDecision> Find(const std::string& id) const;

 private:
  std::size_t most;
  std::deque<PastDecision> events;
};

}  // namespace pistachio
