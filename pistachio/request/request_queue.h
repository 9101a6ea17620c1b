#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/request/types.h"

namespace pistachio::internal {

/// \brief A request that waits for a slot.
struct QueuedRequest {
  RequestId id;
  CallerId caller;
  TimePoint deadline;
};

/// \brief Bounded queue of one service: earliest deadline first, fair between callers.
///
/// Each caller has a tag, the number of requests it was served in virtual time. Among the callers
/// whose tag is at most a window above the lowest one, the earliest deadline is taken, so a caller
/// that sends short deadlines gets ahead of the others by the window at most. When the queue is
/// full, the caller with the longest backlog gives up its latest deadline.
class RequestQueue {
 public:
  explicit RequestQueue(std::size_t capacity) : capacity(capacity) {}

  /// \brief Adds a request. \returns the request that has no room, perhaps \a request itself.
  std::optional<QueuedRequest> Push(const QueuedRequest& request);

  /// \brief Puts back a request that was popped and could not be sent; its caller is not charged.
  void PutBack(const QueuedRequest& request);

  /// \brief Takes the next request to serve. Cost: linear in the waiting callers.
  std::optional<QueuedRequest> Pop();

  /// \brief Removes a request that does not wait any more.
  void Remove(const QueuedRequest& request);

  /// \returns how many waiting requests go before one of \a caller that is due at \a due: those
  /// due earlier, but of each other caller no more than fairness lets go first.
  std::size_t CountAhead(const CallerId& caller, TimePoint due) const;

  std::size_t size() const { return this->by_deadline.size(); }
  bool empty() const { return this->by_deadline.empty(); }

 private:
  using Entry = std::pair<TimePoint, RequestId>;
  struct Caller {
    std::set<Entry> waiting;
    double tag = 0.0;
  };

  void Insert(const QueuedRequest& request);
  void DropIdleCallers();
  CallerId LongestBacklog() const;
  double LowestTag() const;

  std::size_t capacity;
  std::map<CallerId, Caller> callers;  ///< only those with waiting requests or a tag ahead
  std::set<Entry> by_deadline;
  double virtual_time = 0.0;
};

}  // namespace pistachio::internal
