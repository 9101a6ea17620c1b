#include "pistachio/process/scheduling/open_starts.h"

#include <algorithm>
#include <iterator>

namespace pistachio {

void OpenStarts::OnSent(const TaskKey& task, const TargetId& target) {
  this->starts[task][target].in_flight++;
}

void OpenStarts::OnAnswered(const TaskKey& task, const TargetId& target) {
  const auto found = this->starts.find(task);
  const auto entry =
      found == this->starts.end() ? decltype(found->second.begin()){} : found->second.find(target);
  if (found == this->starts.end() || entry == found->second.end()) {
    return;
  }
  entry->second.in_flight -= entry->second.in_flight > 0 ? 1 : 0;
  if (entry->second.in_flight == 0 && entry->second.until == TimePoint{}) {
    found->second.erase(entry);
  }
  if (found->second.empty()) {
    this->starts.erase(found);
  }
}

void OpenStarts::OnUnanswered(const TaskKey& task, const TargetId& target, TimePoint until) {
  Entry& entry = this->starts[task][target];
  entry.in_flight -= entry.in_flight > 0 ? 1 : 0;
  entry.until = std::max(entry.until, until);
}

bool OpenStarts::MayArrive(const TaskKey& task, TimePoint now) const {
  const auto found = this->starts.find(task);
  return found != this->starts.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [now](const auto& entry) { return entry.second.MayArrive(now); });
}

std::vector<TargetId> OpenStarts::TargetsOf(const TaskKey& task, TimePoint now) const {
  std::vector<TargetId> targets;
  const auto found = this->starts.find(task);
  if (found == this->starts.end()) {
    return targets;
  }
  for (const auto& [target, entry] : found->second) {
    if (entry.MayArrive(now)) {
      targets.push_back(target);
    }
  }
  return targets;
}

std::vector<TaskKey> OpenStarts::Tasks(TimePoint now) const {
  std::vector<TaskKey> tasks;
  for (const auto& [task, targets] : this->starts) {
    if (this->MayArrive(task, now)) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

void OpenStarts::Expire(TimePoint now) {
  for (auto task = this->starts.begin(); task != this->starts.end();) {
    std::map<TargetId, Entry>& targets = task->second;
    for (auto entry = targets.begin(); entry != targets.end();) {
      entry = entry->second.MayArrive(now) ? std::next(entry) : targets.erase(entry);
    }
    task = targets.empty() ? this->starts.erase(task) : std::next(task);
  }
}

}  // namespace pistachio
