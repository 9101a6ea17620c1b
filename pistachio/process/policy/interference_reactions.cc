// The reactions of the interference policy: throttle, then move, and restore.

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "pistachio/process/policy/interference_policy.h"

namespace pistachio {

namespace internal {

constexpr double kSpeedTolerance = 1e-9;

Reaction MakeReaction(ReactionKind kind, const TargetView& view, const Neighbour& neighbour,
                      double speed, std::string reason) {
  Reaction reaction;
  reaction.kind = kind;
  reaction.target = view.target;
  reaction.task = neighbour.task;
  reaction.throttle = speed;
  reaction.reason = std::move(reason);
  return reaction;
}

}  // namespace internal

double InterferencePolicy::HarmOf(const Tenancy& tenancy, std::size_t tenant) const {
  const CostSettings costs = this->Costs();
  Tenancy without = tenancy;
  without.tenants[tenant].speed = 0.0;
  const double progress_kept = costs.weights.throughput * tenancy.tenants[tenant].speed;
  return TenancyCost(this->slowdown, tenancy, costs) - TenancyCost(this->slowdown, without, costs) +
         progress_kept;
}

std::optional<std::size_t> InterferencePolicy::MostHarmful(const TargetView& view,
                                                           double above_speed) {
  const Tenancy tenancy = this->TenancyOf(view);
  std::optional<std::size_t> worst;
  double worst_harm = 0.0;
  for (std::size_t i = 0; i < tenancy.tenants.size(); ++i) {
    const Tenant& tenant = tenancy.tenants[i];
    if (tenant.kind != WorkKind::kBatch || tenant.speed <= above_speed) {
      continue;
    }
    const double harm = this->HarmOf(tenancy, i);
    if (!worst || harm > worst_harm) {
      worst = i;
      worst_harm = harm;
    }
  }
  return worst;
}

std::optional<std::size_t> InterferencePolicy::LeastHarmfulThrottled(const TargetView& view) {
  const Tenancy tenancy = this->TenancyOf(view);
  std::optional<std::size_t> best;
  double least_harm = 0.0;
  for (std::size_t i = 0; i < tenancy.tenants.size(); ++i) {
    const Tenant& tenant = tenancy.tenants[i];
    if (tenant.kind != WorkKind::kBatch || tenant.speed >= 1.0 - internal::kSpeedTolerance) {
      continue;
    }
    const double harm = this->HarmOf(tenancy, i) / tenant.speed;
    if (!best || harm < least_harm) {
      best = i;
      least_harm = harm;
    }
  }
  return best;
}

std::optional<Reaction> InterferencePolicy::Throttle(const TargetView& view) {
  const ReactionSettings& reaction = this->settings.reaction;
  if (!this->settings.parts.throttle) {
    return std::nullopt;
  }
  const auto chosen = this->MostHarmful(view, reaction.lowest_throttle + internal::kSpeedTolerance);
  if (!chosen) {
    return std::nullopt;
  }
  const Neighbour& neighbour = view.neighbours[*chosen];
  const double speed =
      std::max(reaction.lowest_throttle, neighbour.throttle * reaction.throttle_step);
  return internal::MakeReaction(
      ReactionKind::kThrottle, view, neighbour, speed,
      fmt::format("a service was over {:.2f} times its best {} samples in a row; {} slows it most",
                  reaction.slow_ratio, reaction.samples_to_throttle, neighbour.work_class.str()));
}

std::optional<Reaction> InterferencePolicy::Evict(const TargetView& view, TimePoint now) {
  const ReactionSettings& reaction = this->settings.reaction;
  const auto chosen = this->settings.parts.evict ? this->MostHarmful(view, 0.0) : std::nullopt;
  if (!chosen || this->HarmOf(this->TenancyOf(view), *chosen) < this->settings.weights.eviction) {
    return std::nullopt;
  }
  const Neighbour& neighbour = view.neighbours[*chosen];
  const bool allowed =
      this->evictions.Take(now, reaction.evictions_per_window, reaction.eviction_window);
  if (!allowed) {
    this->Note({EventCode::kEvictionBudgetSpent,
                {{"target", view.target.str()}, {"task", neighbour.task.str()}}});
    return std::nullopt;
  }
  return internal::MakeReaction(
      ReactionKind::kEvict, view, neighbour, neighbour.throttle,
      fmt::format("a service stayed slow for {} samples with its neighbours throttled; {} slows it "
                  "most",
                  reaction.samples_to_evict, neighbour.work_class.str()));
}

std::optional<Reaction> InterferencePolicy::Restore(const TargetView& view) {
  const ReactionSettings& reaction = this->settings.reaction;
  const auto chosen = this->LeastHarmfulThrottled(view);
  if (!chosen) {
    return std::nullopt;
  }
  const Neighbour& neighbour = view.neighbours[*chosen];
  const double speed = std::min(1.0, neighbour.throttle / reaction.throttle_step);
  return internal::MakeReaction(
      ReactionKind::kRestore, view, neighbour, speed,
      fmt::format("every service was under {:.2f} times its best {} samples in a row",
                  reaction.calm_ratio, reaction.samples_to_restore));
}

std::vector<Reaction> InterferencePolicy::React(const TargetView& view, TimePoint now) {
  const ReactionSettings& reaction = this->settings.reaction;
  const auto found = this->watches.find(view.target.str());
  if (found == this->watches.end()) {
    return {};
  }
  TargetWatch& watch = found->second;
  std::optional<Reaction> chosen;
  if (watch.IsSlow(reaction)) {
    chosen = this->Throttle(view);
    if (!chosen && watch.IsSlowForLong(reaction)) {
      chosen = this->Evict(view, now);
      watch.Reacted(now, reaction);
    }
  } else if (watch.IsCalm(reaction)) {
    chosen = this->Restore(view);
  }
  if (!chosen) {
    return {};
  }
  watch.Reacted(now, reaction);
  return {*chosen};
}

}  // namespace pistachio
