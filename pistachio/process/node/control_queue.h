#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "pistachio/process/runtime/clock.h"

namespace pistachio {

/// \brief Queue of functions that any thread posts and the control thread runs.
///
/// Thread-safe; one thread takes from it.
class ControlQueue {
 public:
  /// A function to run on the control thread.
  using Work = std::function<void()>;

  /// \brief Appends \a work; drops it if the queue is closed.
  void Post(Work work);

  /// \brief Removes and returns all queued work, in the order of posting.
  ///
  /// Blocks while the queue is open and empty, for at most \a wait. \returns an empty list if the
  /// wait ends without work.
  std::deque<Work> Take(Duration wait);

  /// \brief Closes the queue and wakes the waiting thread; work already queued can still be taken.
  void Close();
  /// \returns true after Close().
  bool closed() const;

 private:
  mutable std::mutex mutex;
  std::condition_variable wake;
  std::deque<Work> work;
  bool is_closed = false;
};

}  // namespace pistachio
