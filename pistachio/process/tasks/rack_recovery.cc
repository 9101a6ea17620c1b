#include <algorithm>
#include <utility>

#include "pistachio/process/tasks/rack_controller.h"

namespace pistachio {

using internal::EndedAttempt;
using internal::Placement;
using internal::PlacementStage;
using internal::RackRecord;

void RackController::On(const RackRecovered& event) {
  this->recovered = false;
  this->epoch = event.epoch;
  this->next_sequence = event.next_sequence;
  this->committed_through = event.next_sequence - 1;
  this->jobs.clear();
  this->job_names.clear();
  this->placements.clear();
  this->waiting.clear();
  this->ended.clear();
  this->floors.clear();
  this->sent_commands.clear();
  this->awaiting_commit.clear();
  for (auto& [id, target] : this->targets) {
    internal::RackTarget fresh;
    fresh.view.target = id;
    fresh.view.rack = this->rack;
    fresh.view.capacity = target.view.capacity;
    fresh.standing = target.standing;
    fresh.listed = target.listed;
    target = fresh;
  }
  std::string reason;
  const auto snapshot = internal::DecodeRackSnapshot(event.snapshot, reason);
  bool whole = snapshot.has_value();
  for (std::size_t i = 0; whole && i < snapshot->size(); ++i) {
    whole = this->ApplyRecord((*snapshot)[i]);
  }
  for (std::size_t i = 0; whole && i < event.records.size(); ++i) {
    const std::optional<RackRecord> record = internal::DecodeRackRecord(event.records[i], reason);
    whole = record && this->ApplyRecord(*record);
  }
  if (!whole) {
    // Acting on half a ledger could start a task twice, so this owner acts on nothing.
    this->Report(EventCode::kLedgerRecordBad, {{"reason", reason}});
    return;
  }
  this->recovered = true;
  this->AdoptAfterTakeover();
}

bool RackController::ApplyRecord(const RackRecord& record) {
  const auto* intent = std::get_if<internal::RackIntentRecord>(&record);
  if (intent != nullptr) {
    if (this->job_names.count(intent->job) == 0) {
      return false;
    }
  }
  const auto* end = std::get_if<internal::RackEndRecord>(&record);
  if (end != nullptr && end->job != 0 && this->job_names.count(end->job) == 0) {
    return false;
  }
  std::visit([this](const auto& typed) { this->Apply(typed); }, record);
  return true;
}

void RackController::Apply(const internal::RackJobRecord& record) {
  internal::RackJob& job = this->jobs[record.spec.job];
  job.spec = record.spec;
  job.number = record.number;
  this->job_names[record.number] = record.spec.job;
  this->next_job_number = std::max(this->next_job_number, record.number + 1);
}

void RackController::Apply(const internal::RackIntentRecord& record) {
  Placement placement;
  placement.task = {this->job_names.at(record.job), record.index};
  placement.attempt = record.attempt;
  placement.queue = record.queue;
  placement.serial = record.serial;
  placement.checkpoint = record.checkpoint;
  placement.target = record.target;
  placement.stage = PlacementStage::kUncertain;
  const auto older = this->placements.find(placement.task);
  if (older != this->placements.end()) {
    const Placement copy = older->second;
    this->Release(copy);
  }
  this->ended.erase(placement.task);
  this->Occupy(placement);
}

void RackController::Apply(const internal::RackEndRecord& record) {
  TaskId task = record.task;
  if (record.job != 0) {
    task.job = this->job_names.at(record.job);
  }
  EndedAttempt ended;
  ended.end = {task,          record.attempt, record.outcome, record.checkpoint,
               record.target, record.reason,  this->rack,     record.serial};
  ended.queue = record.queue;
  const auto live = this->placements.find(task);
  if (live != this->placements.end() && live->second.attempt == record.attempt) {
    const Placement copy = live->second;
    ended.end.target = copy.target;
    ended.end.serial = copy.serial;
    ended.queue = copy.queue;
    this->Release(copy);
    this->placements.erase(task);
  }
  this->ended[task] = ended;
}

void RackController::Apply(const internal::RackFloorRecord& record) {
  internal::QueueFloor& floor = this->floors[record.queue];
  floor.settled_below = std::max(floor.settled_below, record.settled_below);
  floor.recorded = floor.settled_below;
}

void RackController::AdoptAfterTakeover() {
  const RackLimits& bounds = this->limits;
  const TimePoint sure_stopped_at = this->now + bounds.renew_grace + bounds.command_timeout +
                                    bounds.task_lease_term + bounds.drift_margin;
  for (auto& [task, placement] : this->placements) {
    placement.stage = PlacementStage::kUncertain;
    placement.adopted = true;
    placement.quiet_from = this->now + bounds.command_timeout;
    placement.sure_stopped_at = sure_stopped_at;
  }
  for (auto& [task, ended] : this->ended) {
    ended.quiet_from = this->now + bounds.command_timeout;
  }
  this->Report(EventCode::kRackTakenOver, {{"epoch", std::to_string(this->epoch)},
                                           {"tasks", std::to_string(this->placements.size())}});
  this->RenewTargets();
}

std::string RackController::TakeSnapshot() const {
  std::vector<RackRecord> records;
  for (const auto& [name, job] : this->jobs) {
    records.emplace_back(internal::RackJobRecord{job.number, job.spec});
  }
  for (const auto& [queue, floor] : this->floors) {
    records.emplace_back(internal::RackFloorRecord{queue, floor.recorded});
  }
  for (const auto& [task, placement] : this->placements) {
    records.emplace_back(internal::RackIntentRecord{
        this->jobs.at(task.job).number, task.index, placement.attempt, placement.serial,
        placement.queue, placement.target, placement.checkpoint});
  }
  for (const auto& [task, ended] : this->ended) {
    const AttemptEnd& end = ended.end;
    records.emplace_back(internal::RackEndRecord{0, task, end.attempt, end.serial, ended.queue,
                                                 end.outcome, end.checkpoint, end.target,
                                                 end.reason});
  }
  return internal::EncodeRackSnapshot(records);
}

}  // namespace pistachio
