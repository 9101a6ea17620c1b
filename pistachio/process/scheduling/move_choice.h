#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/admission_forecast.h"
#include "pistachio/process/scheduling/free_slots.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief What a submission's step needs from a target.
struct TargetNeed {
  Resources need;     ///< of one task; no processors for a best-effort step
  std::string label;  ///< that the target must have; empty for none
  /// Smallest number of targets that can hold the step under its limit per target.
  std::uint32_t min_targets = 1;
};

/// \brief What a submission needs from a cell, as far as the choice of a cell depends on it.
struct CellDemand {
  bool long_running = false;          ///< has long-running tasks
  bool best_effort = false;           ///< has best-effort tasks only
  std::int64_t cpu_millis = 0;        ///< processors of one task of the step that needs the most
  std::uint32_t count = 0;            ///< number of tasks of that step
  std::int64_t total_cpu_millis = 0;  ///< processors of all tasks of that step
  /// Processor time of all tasks that are not long-running, in milliseconds of a thousandth of a
  /// core.
  double work = 0.0;
  std::int32_t priority = 0;  ///< priority of the queue, if the caller of DemandOf() sets it
  /// Smallest number of targets that can hold the step with the tightest limit per target.
  std::uint32_t min_targets = 1;
  std::vector<TargetNeed> steps;  ///< one for each step
};

/// \returns the demand of a submission.
CellDemand DemandOf(const SubmissionSpec& spec);

/// \brief Targets of a cell that take new work, as their registrations describe them.
struct CellShape {
  std::uint32_t targets = 0;
  Resources largest;  ///< the largest amount of each resource that one of the targets has
  std::map<std::string, std::uint32_t> labels;  ///< number of targets with each label

  /// \brief Adds one target.
  void AddTarget(const TargetEntry& entry);
};

/// \brief Load of a cell, for the choice of a cell.
struct CellRoom {
  std::uint32_t targets = 0;      ///< number of ready targets
  std::int64_t capacity_cpu = 0;  ///< processors of the ready targets, thousandths of a core
  Duration backlog{0};            ///< expected wait of batch work that is submitted now
  /// Processors that work on the backlog, thousandths of a core.
  double batch_cpu = 0.0;
  double long_running_share = 0.0;  ///< fraction of the processors that long-running tasks request
  FreeSlots free_slots;
  std::optional<CellShape> shape;  ///< empty if the registrations are not known
  /// Nothing if the load record of an earlier version lacks it.
  std::optional<ForecastLoad> forecast;
};

/// \returns false if a step of the submission certainly fits on no target of the cell, or on too
///   few for its limit per target. The present load does not matter.
bool CanHold(const CellDemand& demand, const CellRoom& room);

/// \brief Adds a submission to \a room, which becomes an estimate of the load with the submission.
void AddDemand(const CellDemand& demand, CellRoom* room);

/// \brief Limits for moving a waiting submission to another cell.
struct MoveSettings {
  /// Time for which a submission must have waited in a cell before it is moved the first time: one
  /// interval of the load records.
  Duration min_wait = std::chrono::milliseconds(1000);
  /// Replaces `min_wait` for submissions with tasks that end and are not best-effort: their callers
  /// expect them within seconds.
  Duration min_short_wait = std::chrono::milliseconds(500);
  /// Factor on the wait for each earlier move, so that cells do not pass a submission to and fro.
  double wait_growth = 2.0;
  /// Number of moves after which a submission stays where it is.
  std::uint32_t max_moves = 6;
  /// Largest share of a cell's processors that long-running tasks may request after a move to it.
  double max_long_running_share = 0.92;
  /// Smallest difference between the two cells' long-running shares, after the move.
  double min_share_difference = 0.02;
  /// Number of free slots in the other cell, relative to the tasks of the widest step.
  double min_slot_ratio = 1.5;
  /// Time for which a long-running submission waits in its cell for room for all its tasks, as long
  /// as it may move to another cell. With a part of its tasks running it could not move any more.
  Duration max_wait_for_whole = std::chrono::milliseconds(4000);
  /// Time without a run after which a long-running task that no target of its cell can take makes
  /// its submission move, at the cost of the submission's other runs. Targets that restart are back
  /// within this time, and the move and the new start take less than a second.
  Duration min_time_without_run = std::chrono::milliseconds(2500);
  /// Time for which no target must have been able to take the task. It covers several scheduling
  /// rounds.
  Duration min_unplaceable_time = std::chrono::milliseconds(300);
  /// Maximum number of submissions whose runs are being stopped for a move.
  std::size_t max_leaving = 4;
  /// Time after which a submission whose runs have not ended stays in its cell. Stopping takes less
  /// than `CellSettings::stop_timeout`.
  Duration max_leaving_time = std::chrono::milliseconds(1500);
  /// Pause after a move that had to be given up, before runs are stopped for another one.
  Duration pause_after_failure = std::chrono::milliseconds(3000);
  /// Pause after a write that the store refused, before its submissions are tried again. The cause,
  /// usually a cancel, is read within this time.
  Duration pause_after_refusal = std::chrono::milliseconds(500);
  /// Pause for a submission that no other cell can hold: half the interval of the load records.
  Duration pause_without_destination = std::chrono::milliseconds(500);
  /// Maximum size of a progress record that moves. A move writes up to three of them twice, and the
  /// store accepts 1 MiB.
  std::size_t max_progress_bytes = std::size_t{64} * 1024;
  /// Smallest difference between the backlogs of the two cells for moving best-effort work.
  Duration min_backlog_difference = std::chrono::milliseconds(2000);
};

/// \brief Other cell to which submissions may move.
struct MoveDestination {
  CellId cell;
  CellRoom room;
  bool takes_begun = false;  ///< its owner reads the progress of submissions that move there
};

/// \returns the time after a move for which runs were stopped and that failed, until the runs of
/// the
///   submission may be stopped for another one. It doubles with each failure, so that a store that
///   is slow for long does not interrupt the runs every few seconds.
/// \param failures number of earlier failures
Duration PauseAfterFailedLeave(std::uint32_t failures, const MoveSettings& settings);

/// \returns true if a submission may move that has waited in its cell for \a waited and was moved
///   \a moves times before.
bool MayMove(const CellDemand& demand, Duration waited, std::uint32_t moves,
             const MoveSettings& settings);

/// \brief Chooses another cell for a submission that cannot start in its own cell.
///
/// Designed for a cold start with hundreds of submissions at once and for the loss of many targets
/// of one cell, where one cell is full while others have room. The choice is random with weights by
/// room, since several cells may move work at the same time.
/// \param own load of the submission's present cell, with the submission
/// \param draw number in [0, 1)
/// \returns the index in \a destinations, or nothing if no other cell is clearly better.
std::optional<std::size_t> ChooseDestination(const CellDemand& demand, const CellRoom& own,
                                             const std::vector<MoveDestination>& destinations,
                                             double draw, const MoveSettings& settings);

/// \returns a number in [0, 1) that differs between submissions and between their moves.
double DrawForMove(const AcceptedSubmission& accepted);

/// \returns an index drawn with probabilities proportional to \a weights, or nothing if no weight
///   is positive.
std::optional<std::size_t> DrawIndex(const std::vector<double>& weights, double draw);

}  // namespace pistachio
