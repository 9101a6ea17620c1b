#pragma once

#include <cstddef>
#include <map>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief The tasks of which a target may still carry out a start that was sent before.
///
/// Designed for orders that get no answer and are carried out seconds later, by an incarnation of
/// the target that has seen neither a later order nor the end of the run. While such a start may
/// arrive, no end of the task may be acknowledged: an acknowledged end stands for good, whereas a
/// target that crashes takes the ends with it that are not acknowledged.
class OpenStarts {
 public:
  /// \brief Notes that a start of \a task was sent and has no answer yet.
  void OnSent(const TaskKey& task);
  /// \brief Notes that a start got an answer, so that this send has no further effect.
  void OnAnswered(const TaskKey& task);
  /// \brief Notes that a start got no answer in time.
  /// \param until the start may be carried out until then
  void OnUnanswered(const TaskKey& task, TimePoint until);
  /// \returns true if a start of \a task may still be carried out.
  bool MayArrive(const TaskKey& task, TimePoint now) const;
  /// \brief Forgets the starts that can arrive no more.
  void Expire(TimePoint now);
  /// \returns the number of tasks with a start that has no answer or may still arrive.
  std::size_t size() const { return this->starts.size(); }

 private:
  struct Entry {
    std::size_t in_flight = 0;  ///< sends without an answer that have not timed out
    TimePoint until{};          ///< latest arrival of those that have
  };

  std::map<TaskKey, Entry> starts;
};

}  // namespace pistachio
