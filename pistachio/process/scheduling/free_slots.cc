#include "pistachio/process/scheduling/free_slots.h"

#include <algorithm>

namespace pistachio {

void FreeSlots::AddTarget(std::int64_t free_cpu, std::uint32_t max_tasks) {
  for (std::size_t size = 0; size < kSizes.size(); ++size) {
    const std::int64_t fitting =
        std::min<std::int64_t>(max_tasks, std::max<std::int64_t>(0, free_cpu) / kSizes[size]);
    this->slot_counts[size] += static_cast<std::uint32_t>(fitting);
  }
}

void FreeSlots::Remove(std::int64_t cpu) {
  for (std::size_t size = 0; size < kSizes.size(); ++size) {
    const std::int64_t removed = (cpu + kSizes[size] - 1) / kSizes[size];
    const std::int64_t left = static_cast<std::int64_t>(this->slot_counts[size]) - removed;
    this->slot_counts[size] = static_cast<std::uint32_t>(std::max<std::int64_t>(0, left));
  }
}

std::uint32_t FreeSlots::Fitting(std::int64_t cpu) const {
  const auto* const size = std::lower_bound(kSizes.begin(), kSizes.end() - 1, cpu);
  return this->slot_counts[static_cast<std::size_t>(std::distance(kSizes.begin(), size))];
}

}  // namespace pistachio
