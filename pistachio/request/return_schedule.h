#pragma once

#include <map>
#include <optional>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits of the promised returns of one host.
struct ReturnScheduleSettings {
  /// Earliest and latest return that is promised. `Retry-After` has whole seconds.
  std::chrono::seconds min_delay{1};
  std::chrono::seconds max_delay{5};
  /// Time after the promised one for which a promise is kept. Callers return within a second.
  Duration grace = std::chrono::milliseconds(1500);
  /// Largest number of promises; further callers get the latest return without one.
  std::size_t max_promises = 2000;
};

/// \brief Promised returns of refused callers.
///
/// Designed for the end of a burst and of a store outage: callers that were all told the same delay
/// would return as a second burst. Time is divided into slots of one second, each with the work
/// that is expected to end in it; a refused caller is told the first slot with room. The work of
/// the promises counts as reserved, so that a caller that has waited is not overtaken by newer work
/// of the same or a lower priority. Promises are lost with the host, which costs only the place in
/// the order.
class ReturnSchedule {
 public:
  explicit ReturnSchedule(const ReturnScheduleSettings& settings = {}) : settings(settings) {}

  /// \brief Chooses when a refused caller should come back, and remembers it.
  ///
  /// A caller that is refused again loses its earlier promise.
  /// \param work what its submission needs, in the unit of \a work_per_second
  /// \param work_per_second work that the returns of one second may bring
  /// \param earliest smallest delay
  std::chrono::seconds Promise(const SubmissionId& id, std::int32_t priority, double work,
                               double work_per_second, Duration earliest, TimePoint now);

  /// \returns the work promised to other submissions than \a id of the same or a higher priority.
  ///   Of the same priority, only promises made before that of \a id count, or all if it has none.
  double ReservedAhead(const SubmissionId& id, std::int32_t priority) const;

  /// \brief Removes the promise of a submission that was accepted or has ended otherwise.
  void Remove(const SubmissionId& id) { this->promises.erase(id); }

  /// \brief Drops the promises whose callers have not come back.
  void DropExpired(TimePoint now);

  /// \returns the number of promises.
  std::size_t size() const { return this->promises.size(); }

 private:
  struct Row {
    std::int64_t slot = 0;  ///< second of the clock in which the caller returns
    std::int32_t priority = 0;
    double work = 0.0;
    std::uint64_t number = 0;  ///< order in which the promises were made
  };

  /// Returns the work that is promised for a slot.
  double WorkIn(std::int64_t slot) const;

  ReturnScheduleSettings settings;
  std::map<SubmissionId, Row> promises;
  std::uint64_t next_number = 1;
};

}  // namespace pistachio
