#include <algorithm>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

ForecastLoad Cell::LoadForForecast() const {
  constexpr double kMillicoresPerCore = 1000.0;
  ForecastLoad load;
  load.factor = this->BatchDurationFactor();
  for (const auto& [id, target] : this->targets) {
    if (this->IsReady(target)) {
      const TargetLoad& target_load = target.load;
      const std::int64_t in_use =
          target_load.used.cpu_millis - target_load.serving_cpu + target_load.best_effort_cpu;
      const std::int64_t left = BestEffortCpuLeft(target_load, this->settings.placement);
      load.cores_in_use += static_cast<double>(in_use) / kMillicoresPerCore;
      load.free_cores += static_cast<double>(std::max<std::int64_t>(0, left)) / kMillicoresPerCore;
    }
  }
  for (const SubmissionId& id : this->open_submissions) {
    const Submission& submission = this->all_submissions.at(id);
    const SubmissionSpec& spec = submission.accepted.spec;
    const QueueSettings& queue = this->QueueOf(submission);
    const auto worthless_after = std::chrono::duration_cast<std::chrono::milliseconds>(
        ObjectiveOf(queue, spec) * this->settings.hard_deadline_factor);
    if (spec.repeat_count == 0 &&
        this->wall_time > submission.accepted.accepted_at + worthless_after) {
      continue;
    }
    for (const auto& [number, occurrence] : submission.occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const double work =
            occurrence.steps[step].waiting * DeclaredCoreSeconds(submission.Step(step));
        if (work > 0.0) {
          load.waiting[queue.priority] += work;
        }
      }
    }
  }
  return load;
}

}  // namespace pistachio
