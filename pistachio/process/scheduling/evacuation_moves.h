#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "pistachio/process/scheduling/move_choice.h"

namespace pistachio {

/// \brief A submission of a cell whose targets are all under evacuation.
struct EvacuatedWork {
  std::int32_t priority = 0;  ///< of its queue; lower numbers come first
  WallTime accepted_at{0};
  std::uint32_t moves = 0;  ///< number of earlier moves
  Duration time_here{0};    ///< since the cell got it
  bool closed = false;      ///< cancelled, failed, or being moved already
  /// A task waits, all steps that it depends on are done, and its occurrence is due.
  bool waits = false;
  bool has_runs = false;  ///< a run exists, or may exist, on a target
  /// An order is unanswered, a start may still take effect, or a target reports a run that no task
  /// accounts for.
  bool unsettled = false;
  /// The end of a run may become known that would change its progress.
  bool awaits_end = false;
};

/// \returns true if the submission may be moved with the next write.
///
/// A submission that arrived by a move stays for `MoveSettings::min_wait`: the load records that
/// led it here may be older than the evacuation, as may those of the other cells. Therefore cells
/// that are evacuated one after the other do not pass it to and fro with each write.
bool MayLeaveEvacuatedCell(const EvacuatedWork& work, const MoveSettings& settings);

/// \returns true if \a a moves before \a b: by priority, then by time of acceptance.
bool MovesBefore(const EvacuatedWork& a, const EvacuatedWork& b);

/// \brief Chooses a cell for a submission that cannot start in its own cell at all.
///
/// Designed for the begin of an evacuation, where hundreds of waiting submissions of all kinds look
/// for another cell within seconds. Every cell that can hold the submission is better than the
/// present one, so nothing has to be gained in backlog or in the share of long-running work. Cells
/// with room are preferred; without any, work goes where its wait is expected to be shortest. The
/// choice is random with weights by room, since it relies on load records that are up to a second
/// old.
/// \param has_runs runs would have to be stopped for the move, so only a cell with room is chosen
/// \param draw number in [0, 1)
/// \returns the index in \a destinations, or nothing if no cell can hold the submission.
std::optional<std::size_t> ChooseEvacuationDestination(
    const CellDemand& demand, bool has_runs, const std::vector<MoveDestination>& destinations,
    double draw, const MoveSettings& settings);

}  // namespace pistachio
