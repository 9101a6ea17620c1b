#include "pistachio/process/node/control_queue.h"

#include <utility>

namespace pistachio {

void ControlQueue::Post(Work work) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->is_closed) {
    return;
  }
  this->work.push_back(std::move(work));
  if (this->work.size() == 1) {
    this->wake.notify_one();
  }
}

std::deque<ControlQueue::Work> ControlQueue::Take(Duration wait) {
  std::unique_lock<std::mutex> lock(this->mutex);
  this->wake.wait_for(lock, wait, [this] { return !this->work.empty() || this->is_closed; });
  return std::exchange(this->work, {});
}

void ControlQueue::Close() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_closed = true;
  this->wake.notify_one();
}

bool ControlQueue::closed() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->is_closed;
}

}  // namespace pistachio
