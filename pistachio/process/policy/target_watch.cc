#include "pistachio/process/policy/target_watch.h"

#include <algorithm>

namespace pistachio {

void TargetWatch::Observe(const UsageSample& sample, const ReactionSettings& settings) {
  const bool usable = sample.kind == WorkKind::kService && sample.latency_ratio > 0.0;
  if (!usable || sample.measured_at < this->counts_from) {
    return;
  }
  Streak& streak = this->streaks[sample.task];
  streak.slow = sample.latency_ratio > settings.slow_ratio ? streak.slow + 1 : 0;
  streak.calm = sample.latency_ratio < settings.calm_ratio ? streak.calm + 1 : 0;
  this->last_observed = std::max(this->last_observed, sample.measured_at);
}

void TargetWatch::Reacted(TimePoint now, const ReactionSettings& settings) {
  this->streaks.clear();
  this->counts_from = now + settings.settle;
}

bool TargetWatch::IsSlow(const ReactionSettings& settings) const {
  return std::any_of(this->streaks.begin(), this->streaks.end(), [&](const auto& entry) {
    return entry.second.slow >= settings.samples_to_throttle;
  });
}

bool TargetWatch::IsSlowForLong(const ReactionSettings& settings) const {
  return std::any_of(this->streaks.begin(), this->streaks.end(), [&](const auto& entry) {
    return entry.second.slow >= settings.samples_to_evict;
  });
}

bool TargetWatch::IsCalm(const ReactionSettings& settings) const {
  return !this->streaks.empty() &&
         std::all_of(this->streaks.begin(), this->streaks.end(), [&](const auto& entry) {
           return entry.second.calm >= settings.samples_to_restore;
         });
}

}  // namespace pistachio
