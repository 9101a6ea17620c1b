#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace pistachio {

/// \brief Number of further tasks that the targets of a cell can hold, by the processors of a task.
///
/// Free processors alone do not tell whether a task fits, since they may be spread over many
/// targets. Best-effort tasks are not counted, as they use processors that others leave idle.
class FreeSlots {
 public:
  /// Task sizes that are counted, in thousandths of a core, in rising order.
  static constexpr std::array<std::int64_t, 8> kSizes{1000, 2000, 3000,  4000,
                                                      6000, 8000, 12000, 16000};
  using Counts = std::array<std::uint32_t, kSizes.size()>;

  FreeSlots() = default;
  explicit FreeSlots(const Counts& counts) : slot_counts(counts) {}

  /// \brief Adds the free processors of one target, in thousandths of a core. \param max_tasks
  ///   number of further tasks that the target takes in any case
  void AddTarget(std::int64_t free_cpu,
                 std::uint32_t max_tasks = std::numeric_limits<std::uint32_t>::max());
  /// \brief Removes the slots that tasks with \a cpu processors in total occupy.
  void Remove(std::int64_t cpu);

  /// \returns the number of tasks with \a cpu processors each that fit. A size between two
  ///   counted ones is rounded up; a larger one than all of them counts as the largest.
  std::uint32_t Fitting(std::int64_t cpu) const;

  const Counts& counts() const { return this->slot_counts; }

 private:
  Counts slot_counts{};
};

}  // namespace pistachio
