#include "pistachio/request/cell_choice.h"

#include <algorithm>
#include <tuple>

namespace pistachio {

namespace internal {

double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

/// \returns the share of new submissions to redirect between two cells: the load difference beyond
///   the margin, relative to the difference at which all are redirected. It may be negative or
///   above 1.
double RedirectShare(const CellCandidate& from, const CellCandidate& to, bool long_running,
                     const CellChoiceSettings& settings) {
  if (long_running) {
    const double excess =
        from.long_running_share - to.long_running_share - settings.long_running_margin;
    return excess / settings.long_running_full_redirect;
  }
  const double local_backlog = Seconds(from.backlog);
  const double excess =
      local_backlog - Seconds(to.backlog) - Seconds(settings.local_backlog_margin);
  return local_backlog > 0.0 ? excess / local_backlog : 0.0;
}

}  // namespace internal

std::optional<CellId> ChooseCell(const std::vector<CellCandidate>& candidates, bool long_running,
                                 double draw, const CellChoiceSettings& settings) {
  const auto rank = [](const CellCandidate& candidate) {
    return std::make_tuple(!candidate.has_data_rack, !candidate.owned);
  };
  const auto load = [long_running](const CellCandidate& candidate) {
    return long_running ? candidate.long_running_share : internal::Seconds(candidate.backlog);
  };
  const CellCandidate* best = nullptr;
  const CellCandidate* local = nullptr;
  for (const CellCandidate& candidate : candidates) {
    if (candidate.targets == 0) {
      continue;
    }
    const bool better = best == nullptr || std::make_tuple(rank(candidate), load(candidate)) <
                                               std::make_tuple(rank(*best), load(*best));
    best = better ? &candidate : best;
    local = candidate.local ? &candidate : local;
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const bool local_ranks_best = local != nullptr && rank(*local) == rank(*best);
  if (local_ranks_best && draw >= internal::RedirectShare(*local, *best, long_running, settings)) {
    return local->cell;
  }
  return best->cell;
}

}  // namespace pistachio
