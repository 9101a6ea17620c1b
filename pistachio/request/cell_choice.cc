#include "pistachio/request/cell_choice.h"

#include <algorithm>
#include <tuple>

namespace pistachio {

namespace internal {

double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

/// \returns the candidates that come first by everything but load.
std::vector<CellCandidate> BestRanked(const std::vector<CellCandidate>& candidates,
                                      const CellDemand& demand) {
  const auto rank = [&demand](const CellCandidate& candidate) {
    return std::make_tuple(candidate.targets < demand.min_targets, !candidate.has_data_rack,
                           !candidate.owned);
  };
  std::vector<CellCandidate> best;
  for (const CellCandidate& candidate : candidates) {
    if (candidate.targets == 0) {
      continue;
    }
    if (!best.empty() && rank(candidate) < rank(best.front())) {
      best.clear();
    }
    if (best.empty() || rank(candidate) == rank(best.front())) {
      best.push_back(candidate);
    }
  }
  return best;
}

/// \returns the candidates; if none has enough targets for the submission, those under evacuation
///   are counted where this makes enough, or everywhere if no cell has others.
std::vector<CellCandidate> WithEvacuatedTargets(std::vector<CellCandidate> candidates,
                                                const CellDemand& demand) {
  const std::uint32_t needed = std::max<std::uint32_t>(1, demand.min_targets);
  std::uint32_t most = 0;
  for (const CellCandidate& candidate : candidates) {
    most = std::max(most, candidate.targets);
  }
  for (CellCandidate& candidate : candidates) {
    const bool enough = candidate.targets + candidate.evacuated_targets >= needed;
    candidate.targets += most < needed && (enough || most == 0) ? candidate.evacuated_targets : 0;
  }
  return candidates;
}

std::size_t ChooseByShare(const std::vector<CellCandidate>& candidates, double draw,
                          const CellChoiceSettings& settings) {
  double sum = 0.0;
  for (const CellCandidate& candidate : candidates) {
    sum += candidate.room.long_running_share;
  }
  const double level = sum / static_cast<double>(candidates.size()) + settings.long_running_margin;
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (const CellCandidate& candidate : candidates) {
    weights.push_back(std::max(0.0, level - candidate.room.long_running_share));
  }
  return DrawIndex(weights, draw).value_or(0);
}

/// \returns nothing if no candidate has a free slot for each task.
std::optional<std::size_t> ChooseBySlots(const std::vector<CellCandidate>& candidates,
                                         const CellDemand& demand, double draw,
                                         const CellChoiceSettings& settings) {
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (const CellCandidate& candidate : candidates) {
    const double slots = candidate.room.free_slots.Fitting(demand.cpu_millis);
    if (candidate.local && slots > 0.0 && slots >= settings.local_slot_ratio * demand.count) {
      return weights.size();
    }
    weights.push_back(slots >= demand.count ? slots : 0.0);
  }
  return DrawIndex(weights, draw);
}

std::size_t ChooseByBacklog(const std::vector<CellCandidate>& candidates, double draw,
                            const CellChoiceSettings& settings) {
  const auto shortest = std::min_element(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.room.backlog < b.room.backlog; });
  const auto local = std::find_if(candidates.begin(), candidates.end(),
                                  [](const CellCandidate& candidate) { return candidate.local; });
  if (local == candidates.end()) {
    return static_cast<std::size_t>(std::distance(candidates.begin(), shortest));
  }
  const double local_backlog = Seconds(local->room.backlog);
  const auto excess_over = [&](const CellCandidate& candidate) {
    return local_backlog - Seconds(candidate.room.backlog) - Seconds(settings.local_backlog_margin);
  };
  const double redirected = local_backlog > 0.0 ? excess_over(*shortest) / local_backlog : 0.0;
  if (draw >= redirected) {
    return static_cast<std::size_t>(std::distance(candidates.begin(), local));
  }
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (const CellCandidate& candidate : candidates) {
    weights.push_back(candidate.local ? 0.0 : std::max(0.0, excess_over(candidate)));
  }
  return DrawIndex(weights, draw / redirected).value_or(0);
}

/// \returns nothing if not all candidates have a forecast, or no work waits in any of them.
std::optional<std::size_t> ChooseByForecast(const std::vector<CellCandidate>& candidates,
                                            double draw, const CellChoiceSettings& settings) {
  bool any_waits = false;
  Duration earliest = Duration::max();
  for (const CellCandidate& candidate : candidates) {
    if (!candidate.forecast) {
      return std::nullopt;
    }
    any_waits = any_waits || candidate.forecast->waits;
    earliest = std::min(earliest, candidate.forecast->median);
  }
  if (!any_waits) {
    return std::nullopt;
  }
  std::vector<double> weights;
  for (const CellCandidate& candidate : candidates) {
    const Duration median = candidate.forecast->median;
    if (candidate.local && median <= earliest + settings.local_backlog_margin) {
      return weights.size();
    }
    const double lacking = Seconds(earliest + settings.forecast_horizon - median);
    weights.push_back(std::max(0.0, lacking) * std::max(1.0, candidate.room.batch_cpu));
  }
  return DrawIndex(weights, draw);
}

}  // namespace internal

std::optional<CellId> ChooseCell(const std::vector<CellCandidate>& candidates,
                                 const CellDemand& demand, double draw,
                                 const CellChoiceSettings& settings) {
  const std::vector<CellCandidate> best =
      internal::BestRanked(internal::WithEvacuatedTargets(candidates, demand), demand);
  if (best.empty()) {
    return std::nullopt;
  }
  if (demand.long_running) {
    return best[internal::ChooseByShare(best, draw, settings)].cell;
  }
  const auto with_slots =
      demand.best_effort ? std::nullopt : internal::ChooseBySlots(best, demand, draw, settings);
  if (with_slots) {
    return best[*with_slots].cell;
  }
  const auto by_forecast = internal::ChooseByForecast(best, draw, settings);
  return best[by_forecast ? *by_forecast : internal::ChooseByBacklog(best, draw, settings)].cell;
}

}  // namespace pistachio
