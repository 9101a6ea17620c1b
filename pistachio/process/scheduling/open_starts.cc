#include "pistachio/process/scheduling/open_starts.h"

#include <algorithm>
#include <iterator>

namespace pistachio {

void OpenStarts::OnSent(const TaskKey& task) { this->starts[task].in_flight++; }

void OpenStarts::OnAnswered(const TaskKey& task) {
  const auto found = this->starts.find(task);
  if (found == this->starts.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.in_flight -= entry.in_flight > 0 ? 1 : 0;
  if (entry.in_flight == 0 && entry.until == TimePoint{}) {
    this->starts.erase(found);
  }
}

void OpenStarts::OnUnanswered(const TaskKey& task, TimePoint until) {
  Entry& entry = this->starts[task];
  entry.in_flight -= entry.in_flight > 0 ? 1 : 0;
  entry.until = std::max(entry.until, until);
}

bool OpenStarts::MayArrive(const TaskKey& task, TimePoint now) const {
  const auto found = this->starts.find(task);
  return found != this->starts.end() && (found->second.in_flight > 0 || now < found->second.until);
}

void OpenStarts::Expire(TimePoint now) {
  for (auto entry = this->starts.begin(); entry != this->starts.end();) {
    const bool over = entry->second.in_flight == 0 && now >= entry->second.until;
    entry = over ? this->starts.erase(entry) : std::next(entry);
  }
}

}  // namespace pistachio
