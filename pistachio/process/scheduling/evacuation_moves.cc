#include "pistachio/process/scheduling/evacuation_moves.h"

#include <algorithm>
#include <tuple>

namespace pistachio {

namespace internal {

/// How much room a cell must have for the choice.
enum class RoomNeeded {
  kAmple,  ///< as for a move between cells that are not evacuated
  kAny,    ///< the cell can hold the submission once other work has ended
};

/// \returns the weight of a cell by its expected wait: processors for each second of it.
double WeightByWait(const CellRoom& room) {
  // Cells whose backlogs differ by less than this differ by their sizes only.
  constexpr double kShortWaitSeconds = 0.2;
  const double wait = std::chrono::duration<double>(room.backlog).count();
  return static_cast<double>(room.capacity_cpu) / (kShortWaitSeconds + std::max(0.0, wait));
}

double EvacuationWeight(const CellDemand& demand, const CellRoom& room, RoomNeeded needed,
                        const MoveSettings& settings) {
  if (room.targets < demand.min_targets || room.capacity_cpu <= 0 || !CanHold(demand, room)) {
    return 0.0;
  }
  if (demand.long_running) {
    const double after = room.long_running_share + static_cast<double>(demand.total_cpu_millis) /
                                                       static_cast<double>(room.capacity_cpu);
    const double limit = needed == RoomNeeded::kAmple ? settings.max_long_running_share : 1.0;
    return after <= limit ? 1.0 - after : 0.0;
  }
  if (demand.best_effort || needed == RoomNeeded::kAny) {
    return WeightByWait(room);
  }
  const double slots = room.free_slots.Fitting(demand.cpu_millis);
  return slots >= settings.min_slot_ratio * demand.count ? slots : 0.0;
}

}  // namespace internal

bool MayLeaveEvacuatedCell(const EvacuatedWork& work, const MoveSettings& settings) {
  const bool arrived_lately = work.moves > 0 && work.time_here < settings.min_wait;
  return !work.closed && work.waits && !work.has_runs && !work.unsettled && !work.awaits_end &&
         !arrived_lately;
}

bool MovesBefore(const EvacuatedWork& a, const EvacuatedWork& b) {
  return std::tie(a.priority, a.accepted_at) < std::tie(b.priority, b.accepted_at);
}

std::optional<std::size_t> ChooseEvacuationDestination(
    const CellDemand& demand, bool has_runs, const std::vector<MoveDestination>& destinations,
    double draw, const MoveSettings& settings) {
  for (const auto needed : {internal::RoomNeeded::kAmple, internal::RoomNeeded::kAny}) {
    std::vector<double> weights;
    weights.reserve(destinations.size());
    for (const MoveDestination& destination : destinations) {
      weights.push_back(internal::EvacuationWeight(demand, destination.room, needed, settings));
    }
    const auto drawn = DrawIndex(weights, draw);
    if (drawn || has_runs) {
      return drawn;
    }
  }
  return std::nullopt;
}

}  // namespace pistachio
