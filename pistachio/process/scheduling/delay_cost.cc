#include "pistachio/process/scheduling/delay_cost.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace pistachio {

namespace internal {

/// Processor time below which the value per core-second does not rise further.
constexpr double kMinCoreSeconds = 0.1;
constexpr std::size_t kMaxTrackedQueues = 64;
constexpr std::size_t kRecentSubmissions = 100;
/// Submissions of a queue below which all count as of the usual size.
constexpr std::size_t kMinSubmissions = 20;
constexpr double kLargestQuantile = 0.9;
constexpr double kLargeQuantile = 0.7;
/// Weight of one outcome in the shares of a queue and of a size class.
constexpr double kOutcomeWeight = 0.02;
constexpr double kClassOutcomeWeight = 0.15;

/// Places within one priority; the lowest comes first.
enum Place { kChosenInTime, kLongRunning, kLate, kTooLate };

double ValueDensity(const DelayedWork& work) {
  return work.value / std::max(kMinCoreSeconds, work.core_seconds_left);
}

/// \returns the level of WaitingProfile for a value per core-second; 0 is the highest.
std::size_t LevelOf(double value_per_core_second) {
  constexpr double kFactor = 4.0;
  const double level = std::log(4.0 / std::max(value_per_core_second, 1e-6)) / std::log(kFactor);
  return static_cast<std::size_t>(
      std::clamp(level, 0.0, static_cast<double>(WaitingProfile::kLevels - 1)));
}

std::size_t PriorityOf(std::int32_t priority) {
  return static_cast<std::size_t>(
      std::clamp<std::int32_t>(priority, 0, WaitingProfile::kPriorities - 1));
}

/// Chooses among the works of one priority, by due time. \returns the core-seconds of the chosen.
double ChooseOfPriority(const std::vector<DelayedWork*>& works, double before, double cores,
                        WallTime now) {
  // The least value per core-second is on top; favoured work is below all others.
  const auto dearer = [](const DelayedWork* a, const DelayedWork* b) {
    return std::make_pair(a->favoured, ValueDensity(*a)) >
           std::make_pair(b->favoured, ValueDensity(*b));
  };
  std::priority_queue<DelayedWork*, std::vector<DelayedWork*>, decltype(dearer)> taken(dearer);
  double sum = before;
  for (DelayedWork* work : works) {
    work->chosen = ProspectOf(*work, now) == Prospect::kInTime;
    if (!work->chosen) {
      continue;
    }
    const double path = std::chrono::duration<double>(work->remaining).count();
    const double time_left = std::chrono::duration<double>(work->due - now).count();
    const double start = sum / cores;
    sum += work->core_seconds_left;
    taken.push(work);
    while (!taken.empty() && std::max(sum / cores, start + path) > time_left) {
      DelayedWork* given_up = taken.top();
      taken.pop();
      given_up->chosen = false;
      sum -= given_up->core_seconds_left;
      if (given_up == work || sum / cores + path <= time_left) {
        break;
      }
    }
  }
  return sum - before;
}

}  // namespace internal

const char* NameOf(Prospect prospect) {
  switch (prospect) {
    case Prospect::kInTime:
      return "in-time";
    case Prospect::kLate:
      return "late";
    case Prospect::kWorthless:
      return "worthless";
  }
  return "unknown";
}

Prospect ProspectOf(const DelayedWork& work, WallTime now) {
  if (now + work.remaining <= work.due) {
    return Prospect::kInTime;
  }
  return now + work.remaining < work.hard_deadline ? Prospect::kLate : Prospect::kWorthless;
}

bool IsSetAside(const DelayedWork& work, WallTime now) {
  return !work.long_running && work.priority > 0 &&
         (now > work.last_chance || now >= work.hard_deadline);
}

double LossOfDelay(const DelayedWork& work, std::chrono::milliseconds delay, WallTime now,
                   const DelaySettings& settings) {
  const auto earned = [&work, &settings](WallTime at) {
    switch (ProspectOf(work, at)) {
      case Prospect::kInTime:
        return work.value;
      case Prospect::kLate:
        return work.value * settings.late_share;
      case Prospect::kWorthless:
        return 0.0;
    }
    return 0.0;
  };
  return earned(now) - earned(now + delay);
}

void ChooseInTime(const std::vector<DelayedWork*>& works, double cores, WallTime now) {
  std::map<std::int32_t, std::vector<DelayedWork*>> by_priority;
  for (DelayedWork* work : works) {
    work->chosen = true;
    if (!work->long_running) {
      by_priority[work->priority].push_back(work);
    }
  }
  double before = 0.0;
  for (auto& [priority, group] : by_priority) {
    if (priority == 0 || cores <= 0.0) {
      for (const DelayedWork* work : group) {
        before += work->core_seconds_left;
      }
      continue;
    }
    std::sort(group.begin(), group.end(),
              [](const DelayedWork* a, const DelayedWork* b) { return a->due < b->due; });
    before += internal::ChooseOfPriority(group, before, cores, now);
  }
}

DelayRank RankOf(const DelayedWork& work, WallTime now) {
  internal::Place place = internal::kLate;
  switch (ProspectOf(work, now)) {
    case Prospect::kInTime:
      place = work.chosen ? internal::kChosenInTime : internal::kLate;
      break;
    case Prospect::kLate:
      place = internal::kLate;
      break;
    case Prospect::kWorthless:
      place = internal::kTooLate;
      break;
  }
  place = work.long_running ? internal::kLongRunning : place;
  const double key = place == internal::kLate && work.priority > 0
                         ? -internal::ValueDensity(work)
                         : static_cast<double>(work.due.count());
  // Work of priority 0 is never given up by its size, so due times alone are fair there.
  const bool favoured = work.favoured && work.priority > 0;
  return {IsSetAside(work, now), work.priority, place, !favoured, key};
}

void WaitingProfile::Add(const DelayedWork& work, WallTime now) {
  if (!work.long_running && !IsSetAside(work, now)) {
    const std::size_t level = internal::LevelOf(internal::ValueDensity(work));
    this->core_seconds[internal::PriorityOf(work.priority)][level] += work.core_seconds_left;
  }
}

double WaitingProfile::WorkBefore(std::int32_t priority, double value_per_core_second) const {
  const std::size_t own = internal::PriorityOf(priority);
  const std::size_t own_level = internal::LevelOf(value_per_core_second);
  double sum = 0.0;
  for (std::size_t at = 0; at <= own; ++at) {
    for (std::size_t level = 0; level < kLevels; ++level) {
      sum += at < own || level <= own_level ? this->core_seconds[at][level] : 0.0;
    }
  }
  return sum;
}

double WaitingProfile::WorkDelayedBy(std::int32_t priority, double value_per_core_second) const {
  double all = 0.0;
  for (const auto& levels : this->core_seconds) {
    for (const double level : levels) {
      all += level;
    }
  }
  return all - this->WorkBefore(priority, value_per_core_second);
}

void ServiceShares::Observe(const QueueId& queue, double core_seconds) {
  if (this->queues.count(queue) == 0 && this->queues.size() >= internal::kMaxTrackedQueues) {
    return;
  }
  QueueShares& shares = this->queues[queue];
  shares.recent.push_back(core_seconds);
  if (shares.recent.size() > internal::kRecentSubmissions) {
    shares.recent.pop_front();
  }
  std::vector<double> sorted(shares.recent.begin(), shares.recent.end());
  std::sort(sorted.begin(), sorted.end());
  double sum = 0.0;
  for (const double work : sorted) {
    sum += work;
  }
  const auto quantile = [&sorted](double share) {
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
  };
  shares.mean = sum / static_cast<double>(sorted.size());
  shares.large = quantile(internal::kLargeQuantile);
  shares.largest = quantile(internal::kLargestQuantile);
}

SizeClass ServiceShares::ClassIn(const QueueShares& queue, double core_seconds) const {
  if (queue.recent.size() < internal::kMinSubmissions || core_seconds <= queue.mean) {
    return SizeClass::kUsual;
  }
  if (core_seconds >= queue.largest) {
    return SizeClass::kLargest;
  }
  return core_seconds >= queue.large ? SizeClass::kLarge : SizeClass::kUsual;
}

SizeClass ServiceShares::ClassOf(const QueueId& queue, double core_seconds) const {
  const auto found = this->queues.find(queue);
  return found == this->queues.end() ? SizeClass::kUsual
                                     : this->ClassIn(found->second, core_seconds);
}

double ServiceShares::ValueOf(const QueueId& queue, double core_seconds) const {
  const auto found = this->queues.find(queue);
  if (found == this->queues.end() || found->second.mean <= 0.0) {
    return this->settings.base_value + this->settings.work_value;
  }
  return std::min(
      this->settings.max_value,
      this->settings.base_value + this->settings.work_value * core_seconds / found->second.mean);
}

void ServiceShares::RecordOutcome(const QueueId& queue, double core_seconds, bool in_time) {
  const auto found = this->queues.find(queue);
  if (found == this->queues.end()) {
    return;
  }
  QueueShares& shares = found->second;
  const double outcome = in_time ? 1.0 : 0.0;
  shares.all_served += internal::kOutcomeWeight * (outcome - shares.all_served);
  double& served = shares.served.at(static_cast<std::size_t>(this->ClassIn(shares, core_seconds)));
  served += internal::kClassOutcomeWeight * (outcome - served);
}

bool ServiceShares::IsFavoured(const QueueId& queue, double core_seconds) const {
  const auto found = this->queues.find(queue);
  if (found == this->queues.end()) {
    return false;
  }
  const SizeClass size = this->ClassIn(found->second, core_seconds);
  return size != SizeClass::kUsual &&
         found->second.served.at(static_cast<std::size_t>(size)) <
             this->settings.min_served_ratio * found->second.all_served;
}

double ServiceShares::ServedShare(const QueueId& queue, SizeClass size) const {
  const auto found = this->queues.find(queue);
  return found == this->queues.end() ? 1.0
                                     : found->second.served.at(static_cast<std::size_t>(size));
}

}  // namespace pistachio
