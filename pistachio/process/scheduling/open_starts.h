#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief The targets that may still carry out a start of a task that was sent before, by task.
///
/// Designed for orders that get no answer and are carried out seconds later, by an incarnation of
/// the target that has seen neither a later order nor the end of the run. No answer of one
/// incarnation binds the next. Two decisions depend on such a start:
/// - No end of the task is acknowledged: an acknowledged end stands for good, whereas a target that
///   crashes takes the ends with it that are not acknowledged.
/// - The task runs on no other target. A run on the same target never exists beside that of the
///   late start: an incarnation has at most one run of a task, and a later one begins without any.
class OpenStarts {
 public:
  /// \brief Notes that a start of \a task was sent to \a target and has no answer yet.
  void OnSent(const TaskKey& task, const TargetId& target);
  /// \brief Notes that a start got an answer, so that this send has no further effect.
  void OnAnswered(const TaskKey& task, const TargetId& target);
  /// \brief Notes that a start got no answer in time.
  /// \param until the start may be carried out until then
  void OnUnanswered(const TaskKey& task, const TargetId& target, TimePoint until);
  /// \returns true if a start of \a task may still be carried out.
  bool MayArrive(const TaskKey& task, TimePoint now) const;
  /// \returns the targets that may still carry out a start of \a task.
  std::vector<TargetId> TargetsOf(const TaskKey& task, TimePoint now) const;
  /// \returns the tasks with a start that may still be carried out.
  std::vector<TaskKey> Tasks(TimePoint now) const;
  /// \brief Forgets the starts that can arrive no more.
  void Expire(TimePoint now);
  /// \returns the number of tasks with a start that has no answer or may still arrive.
  std::size_t size() const { return this->starts.size(); }

 private:
  struct Entry {
    std::size_t in_flight = 0;  ///< sends without an answer that have not timed out
    TimePoint until{};          ///< latest arrival of those that have

    bool MayArrive(TimePoint now) const { return this->in_flight > 0 || now < this->until; }
  };

  std::map<TaskKey, std::map<TargetId, Entry>> starts;
};

}  // namespace pistachio
