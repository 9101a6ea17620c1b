#include "emulator/fake_target.h"

#include <algorithm>

namespace pistachio::emulator {

namespace internal {

constexpr double kFullPercent = 100.0;
/// Time from a stop order until the run ends.
constexpr Duration kStopDuration = std::chrono::milliseconds(200);
/// Progress between two checkpoints, in microseconds of work.
constexpr double kCheckpointInterval = 1e6;
/// Longest time that one order can extend the lease by.
constexpr TargetTime kMaxHoldDuration{10000};
/// Time after which the rule LIMIT counts a room that has shrunk: 3 s and one heartbeat.
constexpr Duration kShrunkRoomBound = std::chrono::milliseconds(4100);

}  // namespace internal

FakeTarget::FakeTarget(TargetEntry entry, WorkloadOf workload_of, SavedProgress* saved_progress,
                       RuleChecker* checker)
    : entry(std::move(entry)),
      workload_of(std::move(workload_of)),
      saved_progress(saved_progress),
      checker(checker) {}

void FakeTarget::Boot(std::uint64_t incarnation, TimePoint now) {
  this->up = true;
  this->left = false;
  this->entry.incarnation = incarnation;
  this->entry.state = TargetState::kReady;
  this->booted_at = now;
  this->highest_token = 0;
  this->deadline = TargetTime(0);
  this->lapsed = false;
  this->running.clear();
  this->ended.clear();
  this->finished.clear();
  this->next_end = 1;
}

void FakeTarget::GoDown() {
  this->up = false;
  this->running.clear();
  this->finished.clear();
}

void FakeTarget::Crash() {
  this->GoDown();
  this->checker->OnTargetCrashed(this->entry.id.str());
}

void FakeTarget::Leave() {
  this->GoDown();
  this->left = true;
  this->checker->OnTargetLeft(this->entry.id.str());
}

bool FakeTarget::IsCrashDue(TimePoint now) const {
  return this->up && std::any_of(this->running.begin(), this->running.end(),
                                 [now](const auto& run) { return run.second.crash_at <= now; });
}

TargetTime FakeTarget::ClockAt(TimePoint now) const {
  // The target's clock runs 2 % slower than the simulated clock.
  constexpr double kClockRate = 0.98;
  return std::chrono::duration_cast<TargetTime>((now - this->booted_at) * kClockRate);
}

bool FakeTarget::RejectsOrder(const TargetId& expected, FencingToken token, OrderStatus* status) {
  if (expected != this->entry.id) {
    *status = OrderStatus::kWrongInstance;
    return true;
  }
  if (token < this->highest_token) {
    *status = OrderStatus::kFenced;
    return true;
  }
  this->highest_token = token;
  return false;
}

OrderReply FakeTarget::Start(const StartOrder& order, const TargetId& expected, FencingToken token,
                             bool skip_time_bounds, TimePoint sent_at, TimePoint now) {
  OrderReply reply;
  reply.clock = this->ClockAt(now);
  if (this->RejectsOrder(expected, token, &reply.status)) {
    return reply;
  }
  if (order.deadline <= *reply.clock) {
    reply.status = OrderStatus::kDeadlinePassed;
    return reply;
  }
  this->deadline =
      std::max(this->deadline, std::min(order.deadline, *reply.clock + internal::kMaxHoldDuration));
  reply.status = OrderStatus::kDone;
  const auto running_now = this->running.find(order.task);
  if (running_now != this->running.end() && running_now->second.number == order.run) {
    return reply;
  }
  const auto highest_ended = this->ended.find(order.task);
  if (running_now != this->running.end() ||
      (highest_ended != this->ended.end() && order.run <= highest_ended->second)) {
    reply.status = OrderStatus::kSuperseded;
    return reply;
  }
  Run run;
  run.number = order.run;
  run.workload = this->workload_of(order.task);
  run.checkpoint = order.checkpoint;
  run.crash_at = run.workload.crash_delay ? now + *run.workload.crash_delay : TimePoint::max();
  const auto saved = this->saved_progress->find(order.checkpoint);
  run.progress = saved == this->saved_progress->end() ? 0.0 : saved->second;
  run.last_saved = run.progress;
  const bool draining =
      this->entry.state == TargetState::kDraining && now >= this->drain_enforced_at;
  this->checker->OnStart(order.task, order.run, this->entry.id.str(), order.payload,
                         order.checkpoint, draining, skip_time_bounds, now);
  this->checker->OnStartInDataCentre(order.task, order.run, this->entry.data_centre.str(),
                                     skip_time_bounds, now);
  this->running.emplace(order.task, run);
  Resources used;
  for (const auto& [task, other] : this->running) {
    Resources counted = other.workload.need;
    counted.cpu_millis = other.workload.best_effort ? 0 : counted.cpu_millis;
    used += counted;
  }
  if (!used.FitsIn(this->LargestRoomSince(sent_at - internal::kShrunkRoomBound))) {
    this->checker->OnCapacityExceeded(this->entry.id.str(), now);
  }
  return reply;
}

OrderReply FakeTarget::Stop(const StopOrder& order, const TargetId& expected, FencingToken token,
                            TimePoint now) {
  OrderReply reply;
  reply.clock = this->ClockAt(now);
  if (this->RejectsOrder(expected, token, &reply.status)) {
    return reply;
  }
  reply.status = OrderStatus::kDone;
  const auto found = this->running.find(order.task);
  if (found != this->running.end() && found->second.number == order.run) {
    if (!found->second.stop_at) {
      found->second.stop_at = now + internal::kStopDuration;
    }
  } else {
    RunNumber& highest_ended = this->ended[order.task];
    highest_ended = std::max(highest_ended, order.run);
  }
  return reply;
}

OrderReply FakeTarget::Pace(const PaceOrder& order, const TargetId& expected, FencingToken token,
                            TimePoint now) {
  OrderReply reply;
  reply.clock = this->ClockAt(now);
  if (this->RejectsOrder(expected, token, &reply.status)) {
    return reply;
  }
  const auto found = this->running.find(order.task);
  const bool is_running = found != this->running.end() && found->second.number == order.run;
  reply.status = is_running ? OrderStatus::kDone : OrderStatus::kSuperseded;
  if (is_running) {
    found->second.pace = order.percent;
  }
  return reply;
}

void FakeTarget::SetRoom(const Resources& room, TimePoint now) {
  this->former_rooms.push_back({this->entry.capacity, now});
  this->entry.capacity = room;
}

Resources FakeTarget::LargestRoomSince(TimePoint since) const {
  Resources largest = this->entry.capacity;
  for (const FormerRoom& former : this->former_rooms) {
    if (former.until > since) {
      largest.cpu_millis = std::max(largest.cpu_millis, former.room.cpu_millis);
      largest.memory_mib = std::max(largest.memory_mib, former.room.memory_mib);
      largest.accelerators = std::max(largest.accelerators, former.room.accelerators);
    }
  }
  return largest;
}

bool FakeTarget::HasUnacknowledgedEnd(std::uint64_t acked_end) const {
  return !this->finished.empty() && this->finished.back().number > acked_end;
}

HoldReply FakeTarget::Hold(const HoldOrder& order, const TargetId& expected, FencingToken token,
                           TimePoint now) {
  HoldReply reply;
  reply.clock = this->ClockAt(now);
  reply.incarnation = this->entry.incarnation;
  if (this->RejectsOrder(expected, token, &reply.status)) {
    return reply;
  }
  reply.status = OrderStatus::kDone;
  if (order.deadline) {
    this->deadline = std::max(this->deadline,
                              std::min(*order.deadline, *reply.clock + internal::kMaxHoldDuration));
  }
  auto first_unacknowledged = this->finished.begin();
  for (; first_unacknowledged != this->finished.end() &&
         first_unacknowledged->number <= order.acked_end;
       ++first_unacknowledged) {
    this->checker->OnEndAcknowledged(first_unacknowledged->task, first_unacknowledged->run,
                                     this->entry.id.str(), first_unacknowledged->outcome);
  }
  this->finished.erase(this->finished.begin(), first_unacknowledged);
  for (const auto& [task, run] : this->running) {
    RunningRun row;
    row.task = task;
    row.run = run.number;
    row.checkpoint = run.checkpoint;
    row.percent =
        run.workload.long_running
            ? internal::kFullPercent
            : std::min(internal::kFullPercent - 1, internal::kFullPercent * run.progress /
                                                       static_cast<double>(std::max<Duration::rep>(
                                                           1, run.workload.length.count())));
    row.metric = static_cast<double>(run.workload.need.cpu_millis);
    reply.running.push_back(row);
  }
  for (const FinishedRun& end : this->finished) {
    if (reply.finished.size() < kMaxFinishedPerReply) {
      reply.finished.push_back(end);
    }
  }
  return reply;
}

void FakeTarget::SaveCheckpoint(const TaskKey& task, Run* run) {
  run->checkpoint = task.str() + "@" + std::to_string(this->entry.incarnation) + "/" +
                    std::to_string(this->next_checkpoint++);
  run->last_saved = run->progress;
  (*this->saved_progress)[run->checkpoint] = run->progress;
  this->checker->OnCheckpoint(task, run->checkpoint);
}

void FakeTarget::End(const TaskKey& task, RunOutcome outcome) {
  Run run = this->running.at(task);
  this->running.erase(task);
  if (outcome == RunOutcome::kStopped && run.workload.checkpointing) {
    this->SaveCheckpoint(task, &run);
  }
  RunNumber& highest_ended = this->ended[task];
  highest_ended = std::max(highest_ended, run.number);
  this->finished.push_back({this->next_end++, task, run.number, outcome, run.checkpoint});
  this->checker->OnEnd(task, run.number, this->entry.id.str(), outcome, run.checkpoint);
}

bool FakeTarget::HasRunOf(const SubmissionId& id) const {
  return std::any_of(this->running.begin(), this->running.end(),
                     [&id](const auto& run) { return run.first.submission == id; });
}

void FakeTarget::Tick(TimePoint now, Duration step) {
  if (!this->up) {
    return;
  }
  const bool has_expired = this->ClockAt(now) > this->deadline;
  if (has_expired && !this->lapsed) {
    this->checker->OnLeaseLapsed(this->entry.id.str());
  }
  this->lapsed = has_expired;
  std::vector<std::pair<TaskKey, RunOutcome>> ends;
  for (auto& [task, run] : this->running) {
    if (has_expired) {
      ends.emplace_back(task, RunOutcome::kLeaseExpired);
      continue;
    }
    if (run.stop_at && now >= *run.stop_at) {
      ends.emplace_back(task, RunOutcome::kStopped);
      continue;
    }
    const double rate =
        this->faults.stalls_all ? 0.0 : this->faults.speed * run.pace / internal::kFullPercent;
    run.progress += static_cast<double>(step.count()) * rate;
    if (run.workload.checkpointing &&
        run.progress - run.last_saved >= internal::kCheckpointInterval) {
      this->SaveCheckpoint(task, &run);
    }
    const bool is_complete = !run.workload.long_running &&
                             run.progress >= static_cast<double>(run.workload.length.count());
    if (this->faults.fails_all && run.progress > 0.0) {
      ends.emplace_back(task, RunOutcome::kFailed);
    } else if (is_complete) {
      ends.emplace_back(task, run.workload.fails ? RunOutcome::kFailed : RunOutcome::kDone);
    }
  }
  for (const auto& [task, outcome] : ends) {
    this->End(task, outcome);
  }
}

}  // namespace pistachio::emulator
