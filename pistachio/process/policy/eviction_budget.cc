#include "pistachio/process/policy/eviction_budget.h"

namespace pistachio {

bool EvictionBudget::Take(TimePoint now, std::uint32_t limit, Duration window) {
  while (!this->taken.empty() && now - this->taken.front() >= window) {
    this->taken.pop_front();
  }
  if (this->taken.size() >= limit) {
    return false;
  }
  this->taken.push_back(now);
  return true;
}

}  // namespace pistachio
