#include "pistachio/request/slot_table.h"

#include <algorithm>

namespace pistachio::internal {

void SlotTable::BeginLimits() {
  for (Slots& entry : this->slots) {
    entry.limit = 0;
    entry.listed = false;
  }
}

SlotIndex SlotTable::SetLimit(const TargetId& target, std::uint32_t slots) {
  const auto found = this->by_target.find(target);
  if (found != this->by_target.end()) {
    Slots& entry = this->slots[found->second];
    entry.limit = entry.listed ? std::min(entry.limit, slots) : slots;
    entry.listed = true;
    return found->second;
  }
  if (this->unused.empty()) {
    this->unused.push_back(static_cast<SlotIndex>(this->slots.size()));
    this->slots.emplace_back();
  }
  const SlotIndex index = this->unused.back();
  this->unused.pop_back();
  this->slots[index] = Slots{target, slots, 0, true, false};
  this->by_target.emplace(target, index);
  return index;
}

void SlotTable::EndLimits() {
  for (SlotIndex index = 0; index < this->slots.size(); ++index) {
    Slots& entry = this->slots[index];
    if (entry.listed || entry.in_use > 0 || entry.dropped) {
      continue;
    }
    entry.dropped = true;
    this->by_target.erase(entry.target);
    this->unused.push_back(index);
  }
}

}  // namespace pistachio::internal
