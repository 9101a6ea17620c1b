#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/job_queue.h"

namespace pistachio {

using internal::QueueJob;

namespace {

constexpr std::size_t kMaxBeatenTold = 3;
constexpr Duration kUnplaceableRetry = std::chrono::seconds(5);

double Ratio(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

double DominantShare(const Resources& part, const Resources& whole) {
  return std::max({Ratio(part.cpu_millis, whole.cpu_millis),
                   Ratio(part.memory_mib, whole.memory_mib),
                   Ratio(part.accelerators, whole.accelerators)});
}

std::optional<std::size_t> RoomiestTarget(const RackRoom& room, const Resources& declared) {
  std::optional<std::size_t> best;
  double best_share = 0.0;
  for (std::size_t i = 0; i < room.free.size() && i < room.capacity.size(); ++i) {
    if (!declared.FitsIn(room.free[i])) {
      continue;
    }
    const double used = DominantShare(room.capacity[i] - room.free[i] + declared, room.capacity[i]);
    if (!best || used < best_share) {
      best = i;
      best_share = used;
    }
  }
  return best;
}

std::string TextOf(std::vector<std::pair<double, RackId>> beaten) {
  std::sort(beaten.begin(), beaten.end());
  std::string text;
  for (std::size_t i = 0; i < beaten.size() && i < kMaxBeatenTold; ++i) {
    text += (i == 0 ? "" : " ") + beaten[i].second.str() + "=" + std::to_string(beaten[i].first);
  }
  return text;
}

}  // namespace

void JobQueue::Dispatch() {
  if (!this->recovered || this->now >= this->act_until) {
    return;
  }
  this->full_sizes.clear();
  std::vector<std::int32_t> priorities;
  for (const auto& [priority, teams] : this->ready) {
    priorities.push_back(priority);
  }
  for (const std::int32_t priority : priorities) {
    this->DispatchPriority(priority);
  }
}

void JobQueue::DispatchPriority(std::int32_t priority) {
  std::set<TeamId> passed;
  std::optional<TeamId> team = this->NeediestTeam(priority, passed);
  while (team) {
    if (!this->DispatchTeam(priority, *team)) {
      passed.insert(*team);
    }
    team = this->NeediestTeam(priority, passed);
  }
  if (this->ready[priority].empty()) {
    this->ready.erase(priority);
  }
}

std::optional<TeamId> JobQueue::NeediestTeam(std::int32_t priority,
                                             const std::set<TeamId>& passed) const {
  std::optional<TeamId> best;
  double best_share = 0.0;
  const auto teams = this->ready.find(priority);
  if (teams == this->ready.end()) {
    return best;
  }
  for (const auto& [team, jobs] : teams->second) {
    if (passed.count(team) > 0) {
      continue;
    }
    const double share = this->ShareOf(team);
    if (!best || share < best_share) {
      best = team;
      best_share = share;
    }
  }
  return best;
}

double JobQueue::ShareOf(const TeamId& team) const {
  const auto committed = this->team_committed.find(team);
  return committed == this->team_committed.end()
             ? 0.0
             : DominantShare(committed->second, this->total_capacity);
}

bool JobQueue::DispatchTeam(std::int32_t priority, const TeamId& team) {
  auto& teams = this->ready[priority];
  auto& jobs = teams[team];
  for (auto it = jobs.begin(); it != jobs.end();) {
    QueueJob& job = this->known_jobs.at(it->second);
    if (job.waiting.empty()) {
      it = jobs.erase(it);
      continue;
    }
    if (this->DispatchJob(job)) {
      return true;
    }
    ++it;
  }
  if (jobs.empty()) {
    teams.erase(team);
  }
  return false;
}

bool JobQueue::DispatchJob(QueueJob& job) {
  if (this->now < job.next_try) {
    return false;
  }
  if (!this->WithinQuota(job)) {
    job.reason = "the team's quota is used up";
    return false;
  }
  const Resources& declared = job.spec.declared;
  const bool urgent = job.spec.priority >= kUrgentPriority;
  const bool full = std::any_of(this->full_sizes.begin(), this->full_sizes.end(),
                                [&](const Resources& size) { return size.FitsIn(declared); });
  if (full && !urgent && !job.unplaceable) {
    job.reason = "no rack has room now";
    return false;
  }
  std::string beaten;
  std::optional<RackId> rack = this->ChooseRack(job, beaten);
  if (!rack && urgent) {
    rack = this->ChooseRackToPreempt(job);
    beaten = rack ? "every rack without preemption" : "";
  }
  if (!rack) {
    this->ExplainWait(job);
    return false;
  }
  job.unplaceable = false;
  job.reason.clear();
  this->Assign(job, *rack, beaten);
  return true;
}

bool JobQueue::WithinQuota(const QueueJob& job) const {
  const auto quota = this->quotas.find(job.spec.team);
  if (quota == this->quotas.end()) {
    return true;
  }
  const auto used = this->team_committed.find(job.spec.team);
  const Resources committed = used == this->team_committed.end() ? Resources{} : used->second;
  return (committed + job.spec.declared).FitsIn(quota->second);
}

bool JobQueue::Allows(const QueueJob& job, const RackId& rack) const {
  const auto& only = job.spec.only_in_racks;
  if (!only.empty() && std::find(only.begin(), only.end(), rack) == only.end()) {
    return false;
  }
  const auto placed = job.per_rack.find(rack);
  const std::uint32_t count = placed == job.per_rack.end() ? 0 : placed->second;
  return job.spec.max_per_rack == 0 || count < job.spec.max_per_rack;
}

std::optional<RackId> JobQueue::ChooseRack(const QueueJob& job, std::string& beaten) {
  const Resources& declared = job.spec.declared;
  std::vector<std::pair<double, RackId>> scored;
  for (const auto& [rack, room] : this->rooms) {
    if (!this->Allows(job, rack)) {
      continue;
    }
    const std::optional<std::size_t> target = RoomiestTarget(room, declared);
    if (target) {
      const Resources used = room.capacity[*target] - room.free[*target] + declared;
      scored.emplace_back(DominantShare(used, room.capacity[*target]), rack);
    }
  }
  if (scored.empty()) {
    return std::nullopt;
  }
  const auto best = std::min_element(scored.begin(), scored.end());
  const RackId chosen = best->second;
  scored.erase(best);
  beaten = TextOf(std::move(scored));
  this->TakeRoom(this->rooms.at(chosen), declared);
  return chosen;
}

std::optional<RackId> JobQueue::ChooseRackToPreempt(const QueueJob& job) {
  const Resources& declared = job.spec.declared;
  RackRoom* best = nullptr;
  for (auto& [rack, room] : this->rooms) {
    const bool holds = std::any_of(room.capacity.begin(), room.capacity.end(),
                                   [&](const Resources& all) { return declared.FitsIn(all); });
    const bool enough = declared.FitsIn(room.preemptible);
    const bool more = best == nullptr || room.preemptible.cpu_millis > best->preemptible.cpu_millis;
    if (holds && enough && more && this->Allows(job, rack)) {
      best = &room;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  best->preemptible -= declared;
  return best->rack;
}

void JobQueue::TakeRoom(RackRoom& room, const Resources& declared) {
  const std::optional<std::size_t> target = RoomiestTarget(room, declared);
  if (target) {
    room.free[*target] -= declared;
  }
}

void JobQueue::ExplainWait(QueueJob& job) {
  const Resources& declared = job.spec.declared;
  const auto quota = this->quotas.find(job.spec.team);
  if (quota != this->quotas.end() && !declared.FitsIn(quota->second)) {
    this->MarkUnplaceable(job, "one task needs more than the team's quota " + quota->second.str());
    return;
  }
  Resources largest;
  RackId largest_rack;
  for (const auto& [rack, room] : this->rooms) {
    const auto& only = job.spec.only_in_racks;
    if (!only.empty() && std::find(only.begin(), only.end(), rack) == only.end()) {
      continue;
    }
    for (const Resources& capacity : room.capacity) {
      if (declared.FitsIn(capacity)) {
        job.unplaceable = false;
        job.reason = "no allowed rack has room now";
        if (only.empty() && job.spec.max_per_rack == 0) {
          this->full_sizes.push_back(declared);
        }
        return;
      }
      if (largest_rack.empty() || largest.cpu_millis < capacity.cpu_millis) {
        largest = capacity;
        largest_rack = rack;
      }
    }
  }
  if (largest_rack.empty()) {
    job.reason = "no rack has told its room yet";
    return;
  }
  this->MarkUnplaceable(job, "needs " + declared.str() + ", the largest host considered has " +
                                 largest.str() + " in rack " + largest_rack.str());
}

void JobQueue::MarkUnplaceable(QueueJob& job, const std::string& reason) {
  job.next_try = this->now + kUnplaceableRetry;
  job.reason = reason;
  if (!std::exchange(job.unplaceable, true)) {
    this->Report(EventCode::kJobUnplaceable, {{"job", job.spec.job.str()}, {"reason", reason}});
  }
}

void JobQueue::Assign(QueueJob& job, const RackId& rack, const std::string& beaten) {
  const std::uint32_t index = job.waiting.front();
  job.waiting.pop_front();
  const std::uint64_t serial = this->next_sequence;
  this->Append(internal::QueueAssignRecord{job.number, index, rack, serial},
               job.spec.priority >= kUrgentPriority);
  this->ApplyAssignment(job, index, rack, serial);
  this->Report(EventCode::kTaskAssigned, {{"task", TaskId{job.spec.job, index}.str()},
                                          {"attempt", std::to_string(job.tasks[index].attempt)},
                                          {"rack", rack.str()},
                                          {"beaten", beaten}});
}

}  // namespace pistachio
