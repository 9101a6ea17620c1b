#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "pistachio/process/runtime/ids.h"

namespace pistachio::internal {

/// \brief Place of a target in a SlotTable; good until the target is neither listed nor in use.
using SlotIndex = std::uint32_t;

/// \brief Slots of every target that this entry host may use, and how many it does use.
///
/// A target that leaves the routes keeps its count of slots in use, so that it cannot be overfilled
/// when it comes back. A limit that falls below the count admits nothing until enough have ended.
class SlotTable {
 public:
  /// \brief Starts a new set of limits; targets not named by SetLimit after it have none.
  void BeginLimits();

  /// \brief Sets how many slots may be used. Named twice, the lower limit holds.
  SlotIndex SetLimit(const TargetId& target, std::uint32_t slots);

  /// \brief Ends the set of limits and drops targets without slots or use.
  void EndLimits();

  bool HasFree(SlotIndex index) const {
    return this->slots[index].in_use < this->slots[index].limit;
  }
  std::uint32_t limit(SlotIndex index) const { return this->slots[index].limit; }
  std::uint32_t in_use(SlotIndex index) const { return this->slots[index].in_use; }

  /// \pre HasFree(index)
  void Take(SlotIndex index) { this->slots[index].in_use += 1; }
  void GiveBack(SlotIndex index) { this->slots[index].in_use -= 1; }

 private:
  struct Slots {
    TargetId target;
    std::uint32_t limit = 0;
    std::uint32_t in_use = 0;
    bool listed = false;
    bool dropped = false;
  };

  std::vector<Slots> slots;
  std::unordered_map<TargetId, SlotIndex> by_target;
  std::vector<SlotIndex> unused;
};

}  // namespace pistachio::internal
