#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

void Cell::SetEvacuatedDataCentres(std::set<DataCentreId> data_centres) {
  for (const DataCentreId& former : this->evacuated_data_centres) {
    if (data_centres.count(former) == 0) {
      this->return_limit.OnReturned(former);
    }
  }
  this->evacuated_data_centres = std::move(data_centres);
  this->schedule_due = true;
}

EvacuationProgress Cell::ProgressOf(const std::set<DataCentreId>& data_centres) const {
  EvacuationProgress progress;
  for (const auto& [id, target] : this->targets) {
    progress.runs += data_centres.count(target.entry.data_centre) != 0 ? target.tasks.size() : 0;
  }
  for (const SubmissionId& id : this->open_submissions) {
    const Submission& submission = this->all_submissions.at(id);
    for (const auto& [number, occurrence] : submission.occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const bool may_start = submission.DependenciesDone(occurrence, step);
        progress.waiting_tasks += may_start ? occurrence.steps[step].waiting : 0;
      }
    }
  }
  return progress;
}

void Cell::UpdateRunLimits(TimePoint now) {
  this->return_limit.BeginRound(now);
  bool any_cold = false;
  std::size_t warm_targets = 0;
  std::size_t warm_runs = 0;
  for (auto& [id, target] : this->targets) {
    target.max_runs.reset();
    const bool cold = target.cold_time.IsCold(now);
    any_cold = any_cold || cold;
    if (!cold && this->IsReady(target)) {
      warm_targets++;
      warm_runs += target.tasks.size();
    }
  }
  if (!any_cold) {
    return;
  }
  const double mean =
      warm_targets == 0 ? 0.0 : static_cast<double>(warm_runs) / static_cast<double>(warm_targets);
  for (auto& [id, target] : this->targets) {
    if (target.cold_time.IsCold(now)) {
      target.max_runs = MaxRuns(target.cold_time, mean, now, this->settings.warmup);
    }
  }
}

std::uint32_t Cell::RunsLeft(const Target& target) {
  const std::size_t runs = target.tasks.size() + target.reserved_for.size();
  const std::size_t most = target.max_runs.value_or(std::numeric_limits<std::uint32_t>::max());
  return static_cast<std::uint32_t>(runs < most ? most - runs : 0);
}

}  // namespace pistachio
