#include "pistachio/request/return_schedule.h"

#include <algorithm>

namespace pistachio {

namespace internal {

std::int64_t SlotOf(TimePoint time) {
  return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

}  // namespace internal

std::chrono::seconds ReturnSchedule::Promise(const SubmissionId& id, std::int32_t priority,
                                             double work, double work_per_second, Duration earliest,
                                             TimePoint now) {
  this->DropExpired(now);
  // A caller that is refused again keeps its place in the order.
  const auto former = this->promises.find(id);
  const auto number = former == this->promises.end() ? this->next_number++ : former->second.number;
  this->promises.erase(id);
  const auto first = std::clamp(std::chrono::ceil<std::chrono::seconds>(earliest),
                                this->settings.min_delay, this->settings.max_delay);
  if (this->promises.size() >= this->settings.max_promises) {
    return this->settings.max_delay;
  }
  const std::int64_t now_slot = internal::SlotOf(now);
  std::chrono::seconds delay = first;
  // The first promise of a slot is kept even if it needs more than the slot has.
  while (delay < this->settings.max_delay) {
    const double taken = this->WorkIn(now_slot + delay.count());
    if (taken <= 0.0 || taken + work <= work_per_second) {
      break;
    }
    delay += std::chrono::seconds(1);
  }
  this->promises[id] = Row{now_slot + delay.count(), priority, work, number};
  return delay;
}

double ReturnSchedule::ReservedAhead(const SubmissionId& id, std::int32_t priority) const {
  const auto own = this->promises.find(id);
  double reserved = 0.0;
  for (const auto& [other, row] : this->promises) {
    const bool before = own == this->promises.end() || row.number < own->second.number;
    const bool ahead = row.priority < priority || (row.priority == priority && before);
    reserved += other != id && ahead ? row.work : 0.0;
  }
  return reserved;
}

void ReturnSchedule::DropExpired(TimePoint now) {
  for (auto row = this->promises.begin(); row != this->promises.end();) {
    const TimePoint promised{std::chrono::seconds(row->second.slot + 1)};
    row = now >= promised + this->settings.grace ? this->promises.erase(row) : std::next(row);
  }
}

double ReturnSchedule::WorkIn(std::int64_t slot) const {
  double work = 0.0;
  for (const auto& [id, row] : this->promises) {
    work += row.slot == slot ? row.work : 0.0;
  }
  return work;
}

}  // namespace pistachio
