#include "pistachio/process/daemon/decision_history.h"

#include <algorithm>

namespace pistachio {

DecisionHistory::DecisionHistory(std::size_t most) : most(most) {}

void DecisionHistory::Add(const EventRecord& event, TimePoint now) {
  this->events.push_back(PastDecision{now, event});
  if (this->events.size() > this->most) {
    this->events.pop_front();
  }
}

std::vector<PastDecision> DecisionHistory::Find(const std::string& id) const {
  std::vector<PastDecision> found;
  for (const PastDecision& past : this->events) {
    const auto& fields = past.event.fields;
    const bool names_it = std::any_of(fields.begin(), fields.end(),
                                      [&id](const auto& field) { return field.second == id; });
    if (names_it) {
      found.push_back(past);
    }
  }
  return found;
}

}  // namespace pistachio
