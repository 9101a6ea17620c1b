#include "pistachio/request/request_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace pistachio::internal {

constexpr double kFairnessWindow = 8.0;  ///< requests

std::optional<QueuedRequest> RequestQueue::Push(const QueuedRequest& request) {
  if (this->capacity == 0) {
    return request;
  }
  if (this->size() < this->capacity) {
    this->Insert(request);
    return std::nullopt;
  }
  const CallerId longest = this->LongestBacklog();
  const auto own = this->callers.find(request.caller);
  const std::size_t own_backlog = own == this->callers.end() ? 0 : own->second.waiting.size();
  if (own_backlog + 1 >= this->callers.at(longest).waiting.size()) {
    return request;
  }
  const Entry latest = *this->callers.at(longest).waiting.rbegin();
  const QueuedRequest evicted{latest.second, longest, latest.first};
  this->Remove(evicted);
  this->Insert(request);
  return evicted;
}

void RequestQueue::PutBack(const QueuedRequest& request) {
  this->Insert(request);
  this->callers[request.caller].tag -= 1.0;
}

std::optional<QueuedRequest> RequestQueue::Pop() {
  if (this->empty()) {
    return std::nullopt;
  }
  const double lowest = this->LowestTag();
  this->virtual_time = std::max(this->virtual_time, lowest);
  this->DropIdleCallers();
  auto best = this->callers.end();
  for (auto caller = this->callers.begin(); caller != this->callers.end(); ++caller) {
    const bool waits = !caller->second.waiting.empty();
    if (!waits || caller->second.tag > lowest + kFairnessWindow) {
      continue;
    }
    if (best == this->callers.end() ||
        *caller->second.waiting.begin() < *best->second.waiting.begin()) {
      best = caller;
    }
  }
  const Entry first = *best->second.waiting.begin();
  const QueuedRequest request{first.second, best->first, first.first};
  best->second.tag += 1.0;
  this->Remove(request);
  return request;
}

void RequestQueue::Remove(const QueuedRequest& request) {
  const Entry entry{request.deadline, request.id};
  this->by_deadline.erase(entry);
  const auto caller = this->callers.find(request.caller);
  if (caller == this->callers.end()) {
    return;
  }
  caller->second.waiting.erase(entry);
  // A caller that is ahead keeps its tag while others wait, or it would start anew at each request.
  const bool ahead = caller->second.tag > this->virtual_time && !this->empty();
  if (caller->second.waiting.empty() && !ahead) {
    this->callers.erase(caller);
  }
}

std::size_t RequestQueue::CountAhead(const CallerId& caller, TimePoint due) const {
  const auto own = this->callers.find(caller);
  const std::size_t own_backlog = own == this->callers.end() ? 0 : own->second.waiting.size();
  const std::size_t share = own_backlog + 1 + static_cast<std::size_t>(kFairnessWindow);
  std::size_t ahead = 0;
  for (const auto& [id, other] : this->callers) {
    const std::size_t most = id == caller ? own_backlog : share;
    std::size_t count = 0;
    for (const Entry& entry : other.waiting) {
      if (entry.first >= due || count >= most) {
        break;
      }
      ++count;
    }
    ahead += count;
  }
  return ahead;
}

void RequestQueue::Insert(const QueuedRequest& request) {
  if (this->empty()) {
    this->callers.clear();
    this->virtual_time = 0.0;
  }
  const Entry entry{request.deadline, request.id};
  this->by_deadline.insert(entry);
  Caller& caller = this->callers[request.caller];
  caller.waiting.insert(entry);
  caller.tag = std::max(caller.tag, this->virtual_time);
}

void RequestQueue::DropIdleCallers() {
  for (auto caller = this->callers.begin(); caller != this->callers.end();) {
    const bool idle = caller->second.waiting.empty() && caller->second.tag <= this->virtual_time;
    caller = idle ? this->callers.erase(caller) : std::next(caller);
  }
}

CallerId RequestQueue::LongestBacklog() const {
  auto longest = this->callers.begin();
  for (auto caller = this->callers.begin(); caller != this->callers.end(); ++caller) {
    if (caller->second.waiting.size() > longest->second.waiting.size()) {
      longest = caller;
    }
  }
  return longest->first;
}

double RequestQueue::LowestTag() const {
  double lowest = std::numeric_limits<double>::max();
  for (const auto& [id, caller] : this->callers) {
    if (!caller.waiting.empty()) {
      lowest = std::min(lowest, caller.tag);
    }
  }
  return lowest;
}

}  // namespace pistachio::internal
