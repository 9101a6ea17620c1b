#pragma once

#include <cstdint>
#include <map>

#include "pistachio/process/policy/policy_settings.h"
#include "pistachio/process/policy/types.h"

namespace pistachio {

/// \brief What the measurements of one target's services say: slow, calm, or neither for sure.
///
/// Counts slow and calm measurements in a row, so that one sample never decides. After a reaction,
/// measurements from before it could take effect are ignored: they show its cause, not its effect.
class TargetWatch {
 public:
  /// \brief Takes in one measurement of a service on the target.
  void Observe(const UsageSample& sample, const ReactionSettings& settings);

  /// \brief Forgets the counts; only measurements after \a now plus the settling time count again.
  void Reacted(TimePoint now, const ReactionSettings& settings);

  /// \returns true if a service was slow often enough in a row to slow its neighbours down.
  bool IsSlow(const ReactionSettings& settings) const;

  /// \returns true if a service stayed slow so long that only moving a neighbour helps.
  bool IsSlowForLong(const ReactionSettings& settings) const;

  /// \returns true if every service seen so far was calm often enough in a row.
  bool IsCalm(const ReactionSettings& settings) const;

  /// \returns the instant of the last measurement that counted.
  TimePoint observed_at() const { return this->last_observed; }

 private:
  struct Streak {
    std::uint32_t slow = 0;
    std::uint32_t calm = 0;
  };

  std::map<TaskId, Streak> streaks;
  TimePoint counts_from{};
  TimePoint last_observed{};
};

}  // namespace pistachio
