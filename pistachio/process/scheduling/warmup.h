#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <set>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits for targets that are slow after their start, and for data centres that take work
/// again after an evacuation.
struct WarmupSettings {
  /// Runs that a cold target may have at the end of its cold time, relative to the mean of the warm
  /// targets; see RunLimits::cold_overage.
  double overage = 1.5;
  /// Number of runs that a cold target may have in any case; see RunLimits::cold_slack.
  double slack = 5.0;
  /// Added to the score of a cold target for an urgent task. It outweighs any difference in load,
  /// as `PlacementSettings::avoid_penalty` does.
  double urgent_penalty = 4.0;
  /// Time after the end of an evacuation for which the starts in the data centre are bounded. Its
  /// targets fill up in it.
  Duration return_period = std::chrono::seconds(5);
  /// Starts in returning data centres of a cell in one scheduling round. With rounds of 20 ms, this
  /// is the rate at which the largest installation starts tasks, 410 a second.
  std::uint32_t returning_starts_per_round = 8;
};

/// \brief Time for which a target is still slow after its start, from its registrations.
class ColdTime {
 public:
  /// \brief Updates the time from a registration. \param remaining cold time that is left, in the
  ///   registration; 0 for a warm target
  /// \param read_at when the registration was read
  void Update(Duration remaining, TimePoint read_at);

  /// \returns true if the target is cold.
  bool IsCold(TimePoint now) const { return now < this->ends_at; }
  /// \returns the share of the cold time that has passed, from 0 to 1; 1 for a warm target.
  double Progress(TimePoint now) const;

 private:
  TimePoint ends_at{};
  Duration whole{0};  ///< longest time left in the registrations since the target became cold
};

/// \returns the number of runs that a target may have.
///
/// Designed for targets that return empty and cold beside loaded warm ones. By load alone, all
/// waiting work would go to them, where it takes several times as long. The limit rises evenly
/// while the cold time passes, so that they fill gradually.
/// \param warm_runs mean number of runs of the warm targets of the cell
/// \returns the largest number for a warm target
std::uint32_t MaxRuns(const ColdTime& cold, double warm_runs, TimePoint now,
                      const WarmupSettings& settings);

/// \brief Bounds the starts in data centres whose evacuation has ended.
///
/// Designed for a cell that gets a whole data centre of empty targets back while much work waits.
/// All of it would start in one scheduling round, which the owner's commits and orders could not
/// keep up with, and other cells would find no room when they move work. Urgent tasks, gangs and
/// lost long-running tasks are not bound; the caller leaves them out.
class ReturnLimit {
 public:
  explicit ReturnLimit(const WarmupSettings& settings) : settings(settings) {}

  /// \brief Records that the evacuation of a data centre has ended; bound from the next round on.
  void OnReturned(const DataCentreId& data_centre);
  /// \brief Begins a scheduling round.
  void BeginRound(TimePoint now);
  /// \returns true if a task may start in the data centre in this round.
  bool MayStart(const DataCentreId& data_centre) const;
  /// \brief Counts a start in a data centre.
  void OnStarted(const DataCentreId& data_centre);
  /// \returns true if no further start in a returning data centre is possible in this round.
  bool Exhausted() const { return !this->returned_at.empty() && this->starts_left == 0; }

 private:
  WarmupSettings settings;
  /// When each returning data centre took work again; `TimePoint::max()` until the next round.
  std::map<DataCentreId, TimePoint> returned_at;
  std::uint32_t starts_left = 0;
};

}  // namespace pistachio
