#include "pistachio/process/scheduling/placement.h"

#include <algorithm>

namespace pistachio {

namespace internal {

/// \returns \a part relative to \a whole; 1 if \a whole is 0.
double Share(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 1.0;
}

BestEffortTask AsBestEffort(const PlacementRequest& need) {
  constexpr double kMillisPerCore = 1000.0;
  BestEffortTask task;
  task.image = need.image;
  task.cores = static_cast<double>(need.need.cpu_millis) / kMillisPerCore;
  return task;
}

/// \returns the share of the target's serving tasks that run another image than \a image; 0 if the
///   target has no serving tasks.
double OtherImageShare(ImageIndex image, const TargetLoad& load) {
  const auto others =
      std::count_if(load.serving.begin(), load.serving.end(),
                    [image](const ServingTask& task) { return task.image != image; });
  return load.serving.empty()
             ? 0.0
             : static_cast<double>(others) / static_cast<double>(load.serving.size());
}

/// \returns the log slowdown that the target's best-effort tasks would cause to a serving task of
///   \a image.
double SufferedLogSlowdown(ImageIndex image, const TargetLoad& load,
                           const InterferenceModel& model) {
  double sum = 0.0;
  for (const BestEffortTask& task : load.best_effort) {
    sum += model.LogSlowdown(image, task.image) * task.cores;
  }
  return sum;
}

}  // namespace internal

std::int64_t BestEffortCpuLeft(const TargetLoad& load, const PlacementSettings& settings) {
  const auto idle = static_cast<std::int64_t>(static_cast<double>(load.serving_cpu) *
                                              settings.serving_idle_share);
  return load.capacity.cpu_millis - load.used.cpu_millis + idle - load.best_effort_cpu;
}

bool FitsOn(const PlacementRequest& need, const TargetLoad& load, const InterferenceModel& model,
            const PlacementSettings& settings) {
  return CheckFit(need, load, model, settings).fits;
}

TargetFit CheckFit(const PlacementRequest& need, const TargetLoad& load,
                   const InterferenceModel& model, const PlacementSettings& settings) {
  Resources counted = need.need;
  if (need.best_effort) {
    counted.cpu_millis = 0;
  }
  if (!(load.used + counted).FitsIn(load.capacity)) {
    return {};
  }
  if (!need.best_effort) {
    return {true, false, 0.0};
  }
  const double requested =
      static_cast<double>(need.need.cpu_millis) * settings.min_best_effort_share;
  if (static_cast<double>(BestEffortCpuLeft(load, settings)) < requested) {
    return {};
  }
  const BestEffortTask added = internal::AsBestEffort(need);
  const double harm = need.weighs_harm ? ExpectedHarm(model, load.serving, load.best_effort, added,
                                                      need.run_time, settings.sharing.harm)
                                       : 0.0;
  // A task that has waited long also takes a target that only the present tails allow.
  const bool present_suffices = !need.max_harm || *need.max_harm >= settings.sharing.harm.late_harm;
  const bool acceptable = (need.max_harm && harm <= *need.max_harm) ||
                          (present_suffices && FitsTailBounds(model, load.serving, load.best_effort,
                                                              added, settings.sharing));
  return {acceptable, !acceptable, harm};
}

double LoadShare(const TargetLoad& load) {
  return std::max(internal::Share(load.used.cpu_millis, load.capacity.cpu_millis),
                  internal::Share(load.used.memory_mib, load.capacity.memory_mib));
}

double PlacementScore(const PlacementRequest& need, const TargetLoad& load,
                      const InterferenceModel& model, const PlacementSettings& settings,
                      double harm) {
  const double slow = settings.slow_penalty * std::max(0.0, load.slowness - 1.0);
  if (need.best_effort) {
    const double left =
        internal::Share(BestEffortCpuLeft(load, settings), load.capacity.cpu_millis);
    if (need.weighs_harm) {
      return slow - left + settings.harm_weight * harm;
    }
    const double tail =
        PredictedTailRatio(model, load.serving, load.best_effort, internal::AsBestEffort(need));
    const BestEffortTask added = internal::AsBestEffort(need);
    return slow - left + settings.tail_weight * tail +
           settings.caused_slowdown_weight * MaxLogSlowdown(model, load.serving, added);
  }
  const double cpu =
      internal::Share(load.used.cpu_millis + need.need.cpu_millis, load.capacity.cpu_millis);
  const double memory =
      internal::Share(load.used.memory_mib + need.need.memory_mib, load.capacity.memory_mib);
  if (!need.serving) {
    return slow + std::max(cpu, memory);
  }
  return slow + settings.image_mix_weight * internal::OtherImageShare(need.image, load) -
         settings.pack_weight * cpu +
         settings.suffered_slowdown_weight * internal::SufferedLogSlowdown(need.image, load, model);
}

}  // namespace pistachio
