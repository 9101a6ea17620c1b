#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pistachio/process/policy/eviction_budget.h"
#include "pistachio/process/policy/placement_cost.h"
#include "pistachio/process/policy/policy_settings.h"
#include "pistachio/process/policy/size_model.h"
#include "pistachio/process/policy/slowdown_model.h"
#include "pistachio/process/policy/target_watch.h"
#include "pistachio/process/policy/types.h"
#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio {

/// \brief Places by predicted late answers and progress, learned from lagging measurements.
///
/// A task goes where it raises the predicted cost of a target the least. Where services stay slow
/// all the same, batch neighbours are throttled, and as a last resort moved within a budget.
class InterferencePolicy {
 public:
  explicit InterferencePolicy(const InterferenceSettings& settings = {});

  /// \returns the target whose cost rises least. Cost: linear in the targets.
  std::optional<PlacementDecision> Place(const PlacementRequest& request,
                                         const std::vector<TargetView>& targets);

  /// \brief Learns from one measurement; one from before the last change on \a view only counts
  ///   for sizes.
  void Learn(const UsageSample& sample, const TargetView& view);

  /// \returns at most one step on this target.
  std::vector<Reaction> React(const TargetView& view, TimePoint now);

  /// \returns events since the last call, for the log.
  std::vector<EventRecord> TakeEvents();

  /// \brief Takes other weights from now on; what was learned stays.
  void SetWeights(const PolicyWeights& weights) { this->settings.weights = weights; }

  /// \brief Forgets what was observed of a target that is gone.
  void Forget(const TargetId& target);

 private:
  Tenancy TenancyOf(const TargetView& view);
  Tenant TenantOf(const Neighbour& neighbour);
  PredictedUse UseOf(const TaskId& task, const WorkClass& work_class,
                     const Resources& declared) const;
  CostSettings Costs() const;

  void LearnSlowdown(const UsageSample& sample, const TargetView& view);
  /// \brief Keeps an event for `TakeEvents`; beyond a bound the newest are dropped.
  void Note(EventRecord event);
  void NoteSurprise(const UsageSample& sample, const TargetView& view, double surprise);

  std::optional<Reaction> Throttle(const TargetView& view);
  std::optional<Reaction> Evict(const TargetView& view, TimePoint now);
  std::optional<Reaction> Restore(const TargetView& view);
  std::optional<std::size_t> MostHarmful(const TargetView& view, double above_speed);
  std::optional<std::size_t> LeastHarmfulThrottled(const TargetView& view);
  double HarmOf(const Tenancy& tenancy, std::size_t tenant) const;

  InterferenceSettings settings;
  SlowdownModel slowdown;
  SizeModel sizes;
  EvictionBudget evictions;
  std::unordered_map<std::string, TargetWatch> watches;
  std::unordered_map<std::string, double> drift;  ///< recent surprise of each class
  std::vector<EventRecord> events;
};

}  // namespace pistachio
