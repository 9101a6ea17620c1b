#include "pistachio/process/scheduling/move_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "pistachio/process/runtime/random.h"

namespace pistachio {

namespace internal {

double CpuShare(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 1.0;
}

/// \returns how well the submission fits into the cell; 0 if it must not move there.
double WeightOf(const CellDemand& demand, const CellRoom& own, const CellRoom& other,
                const MoveSettings& settings) {
  if (other.targets < demand.min_targets || !CanHold(demand, other)) {
    return 0.0;
  }
  if (demand.long_running) {
    const double added = CpuShare(demand.total_cpu_millis, other.capacity_cpu);
    const double after = other.long_running_share + added;
    const double own_after =
        own.long_running_share - CpuShare(demand.total_cpu_millis, own.capacity_cpu);
    const bool own_too_small = own.targets < demand.min_targets;
    const bool better = own_too_small || after + settings.min_share_difference <= own_after + added;
    return after <= settings.max_long_running_share && better ? 1.0 - after : 0.0;
  }
  if (demand.best_effort) {
    const Duration gain = own.backlog - other.backlog;
    return gain >= settings.min_backlog_difference ? std::chrono::duration<double>(gain).count()
                                                   : 0.0;
  }
  const double slots = other.free_slots.Fitting(demand.cpu_millis);
  return slots >= settings.min_slot_ratio * demand.count ? slots : 0.0;
}

}  // namespace internal

CellDemand DemandOf(const SubmissionSpec& spec) {
  CellDemand demand;
  demand.best_effort = true;
  for (const StepSpec& step : spec.steps) {
    demand.long_running = demand.long_running || step.long_running;
    demand.best_effort = demand.best_effort && step.best_effort;
    const std::int64_t total = step.best_effort ? 0 : step.need.cpu_millis * step.count;
    if (total > demand.total_cpu_millis) {
      demand.cpu_millis = step.need.cpu_millis;
      demand.count = step.count;
      demand.total_cpu_millis = total;
    }
    demand.work += step.long_running ? 0.0
                                     : static_cast<double>(step.need.cpu_millis) * step.count *
                                           static_cast<double>(step.estimate.count());
    TargetNeed need{step.need, step.required_label, 1};
    need.need.cpu_millis = step.best_effort ? 0 : need.need.cpu_millis;
    if (step.max_per_target > 0) {
      need.min_targets = (step.count + step.max_per_target - 1) / step.max_per_target;
      demand.min_targets = std::max(demand.min_targets, need.min_targets);
    }
    demand.steps.push_back(std::move(need));
  }
  return demand;
}

void CellShape::AddTarget(const TargetEntry& entry) {
  this->targets++;
  this->largest.cpu_millis = std::max(this->largest.cpu_millis, entry.capacity.cpu_millis);
  this->largest.memory_mib = std::max(this->largest.memory_mib, entry.capacity.memory_mib);
  this->largest.accelerators = std::max(this->largest.accelerators, entry.capacity.accelerators);
  for (const std::string& label : entry.labels) {
    this->labels[label]++;
  }
}

bool CanHold(const CellDemand& demand, const CellRoom& room) {
  if (!room.shape) {
    return true;
  }
  const CellShape& shape = *room.shape;
  return std::all_of(demand.steps.begin(), demand.steps.end(), [&shape](const TargetNeed& step) {
    const auto labelled = shape.labels.find(step.label);
    const std::uint32_t labelled_count = labelled != shape.labels.end() ? labelled->second : 0;
    const std::uint32_t targets = step.label.empty() ? shape.targets : labelled_count;
    return targets >= step.min_targets && step.need.FitsIn(shape.largest);
  });
}

void AddDemand(const CellDemand& demand, CellRoom* room) {
  room->free_slots.Remove(demand.total_cpu_millis);
  if (demand.long_running && room->capacity_cpu > 0) {
    room->long_running_share += internal::CpuShare(demand.total_cpu_millis, room->capacity_cpu);
  }
  if (room->forecast && demand.work > 0.0) {
    constexpr double kWorkPerCoreSecond = 1e9;
    room->forecast->waiting[demand.priority] += demand.work / kWorkPerCoreSecond;
  }
  if (room->batch_cpu > 0.0) {
    room->backlog += Duration(static_cast<Duration::rep>(demand.work / room->batch_cpu));
  }
}

bool MayMove(const CellDemand& demand, Duration waited, std::uint32_t moves,
             const MoveSettings& settings) {
  const bool short_work = !demand.long_running && !demand.best_effort;
  const Duration first_wait = short_work ? settings.min_short_wait : settings.min_wait;
  return moves < settings.max_moves && waited >= first_wait * std::pow(settings.wait_growth, moves);
}

Duration PauseAfterFailedLeave(std::uint32_t failures, const MoveSettings& settings) {
  constexpr std::uint32_t kMaxDoublings = 4;
  return settings.pause_after_failure * (1 << std::min(failures, kMaxDoublings));
}

double DrawForMove(const AcceptedSubmission& accepted) {
  constexpr std::uint64_t kSteps = 1024;
  return static_cast<double>(StableHash(accepted.id.str(), accepted.moves + 1) % kSteps) /
         static_cast<double>(kSteps);
}

std::optional<std::size_t> DrawIndex(const std::vector<double>& weights, double draw) {
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  double left = draw * sum;
  std::optional<std::size_t> drawn;
  for (std::size_t index = 0; index < weights.size(); ++index) {
    if (weights[index] <= 0.0) {
      continue;
    }
    drawn = index;
    left -= weights[index];
    if (left < 0.0) {
      break;
    }
  }
  return drawn;
}

std::optional<std::size_t> ChooseDestination(const CellDemand& demand, const CellRoom& own,
                                             const std::vector<MoveDestination>& destinations,
                                             double draw, const MoveSettings& settings) {
  std::vector<double> weights;
  weights.reserve(destinations.size());
  for (const MoveDestination& destination : destinations) {
    weights.push_back(internal::WeightOf(demand, own, destination.room, settings));
  }
  return DrawIndex(weights, draw);
}

}  // namespace pistachio
