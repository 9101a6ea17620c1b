#include "bench/placement/fleet.h"

#include <algorithm>
#include <utility>

namespace pistachio::bench {

namespace {

constexpr Resources kWorkerCapacity{16000, 61440, 2};
constexpr Duration kRoomEvery = std::chrono::seconds(1);
constexpr Duration kForever = std::chrono::hours(1000);
const RackId& RackOf(const TargetsListed& listing) { return listing.targets.front().rack; }

}  // namespace

Fleet::Fleet(int workers, int targets_per_rack, const FleetDelays& delays)
    : now(std::chrono::hours(1)), delays(delays), queue(UnitId("queue"), {}) {
  for (int worker = 0; worker < workers; ++worker) {
    const auto rack_number = static_cast<std::size_t>(worker / targets_per_rack);
    const RackId rack("r" + std::to_string(rack_number));
    if (rack_number == this->racks.size()) {
      this->rack_numbers[rack] = rack_number;
      this->racks.emplace_back(rack, RackLimits{}, LeastCommittedPolicy{});
      this->listings.emplace_back();
    }
    TargetListing row;
    row.target = TargetId("w" + std::to_string(worker));
    row.rack = rack;
    row.capacity = kWorkerCapacity;
    this->listings.back().targets.push_back(row);
    this->targets[row.target];
  }
  this->ledgers.resize(this->racks.size() + 1);
  const ActUntilChanged for_ever{this->now + kForever};
  for (std::size_t i = 0; i < this->racks.size(); ++i) {
    this->FeedRack(i, this->listings[i]);
    this->FeedRack(i, for_ever);
    this->FeedRack(i, RackRecovered{1, {}, {}, 1});
    const auto rack_count = static_cast<std::int64_t>(this->racks.size());
    const Duration offset = this->delays.tick * static_cast<std::int64_t>(i) / rack_count;
    this->At(this->now + offset, [this, i] { this->TickRack(i); });
    const Duration room_offset = kRoomEvery * static_cast<std::int64_t>(i) / rack_count;
    this->At(this->now + room_offset, [this, i] { this->TellRoom(i); });
  }
  this->FeedQueue(for_ever);
  this->FeedQueue(RackRecovered{1, {}, {}, 1});
  this->At(this->now, [this] { this->TickQueue(); });
}

void Fleet::At(TimePoint when, std::function<void()> act) {
  this->agenda.emplace(when, std::move(act));
}

void Fleet::Run(Duration time) {
  const TimePoint end = this->now + time;
  while (!this->agenda.empty() && this->agenda.begin()->first <= end) {
    const auto entry = this->agenda.begin();
    const std::function<void()> act = std::move(entry->second);
    this->now = entry->first;
    this->agenda.erase(entry);
    act();
  }
  this->now = end;
}

void Fleet::Submit(const JobSpec& spec) { this->FeedQueue(JobSubmitted{spec}); }

void Fleet::FeedQueue(const QueueEvent& event) {
  for (const QueueAction& action : this->queue.Handle(event, this->now)) {
    this->Act(action);
  }
  this->Flush(this->racks.size());
}

void Fleet::FeedRack(std::size_t index, const RackEvent& event) {
  for (const RackAction& action : this->racks[index].Handle(event, this->now)) {
    this->Act(index, action);
  }
  this->Flush(index);
}

void Fleet::Act(const QueueAction& action) {
  const TimePoint arrival = this->now + this->delays.message;
  if (const auto* append = std::get_if<AppendRecord>(&action)) {
    ++this->counts.queue_records;
    this->counts.queue_bytes += append->record.size();
    this->Append(this->ledgers.back(), *append);
  } else if (const auto* assign = std::get_if<SendAssignment>(&action)) {
    ++this->counts.messages;
    const std::size_t rack = this->rack_numbers.at(assign->assignment.rack);
    this->At(arrival, [this, rack, event = AssignmentReceived{assign->assignment}] {
      this->FeedRack(rack, event);
    });
  } else if (const auto* end = std::get_if<AcknowledgeEnd>(&action)) {
    ++this->counts.messages;
    const std::size_t rack = this->rack_numbers.at(end->rack);
    const EndAcknowledged event{end->task, end->attempt, end->queue, end->settled_below};
    this->At(arrival, [this, rack, event] { this->FeedRack(rack, event); });
  }
}

void Fleet::Act(std::size_t index, const RackAction& action) {
  const TimePoint arrival = this->now + this->delays.message;
  if (const auto* append = std::get_if<AppendRecord>(&action)) {
    ++this->counts.rack_records;
    this->counts.rack_bytes += append->record.size();
    this->Append(this->ledgers[index], *append);
  } else if (const auto* send = std::get_if<SendCommand>(&action)) {
    this->Carry(index, *send);
  } else if (const auto* confirm = std::get_if<ConfirmAssignment>(&action)) {
    ++this->counts.messages;
    const AssignmentConfirmed event{confirm->task, confirm->attempt};
    this->At(arrival, [this, event] { this->FeedQueue(event); });
  } else if (const auto* end = std::get_if<TellEnd>(&action)) {
    ++this->counts.messages;
    this->At(arrival, [this, event = EndReceived{end->end}] { this->FeedQueue(event); });
  }
}

void Fleet::Append(FleetLedger& ledger, const AppendRecord& append) {
  ledger.records.push_back(append.record);
  ledger.pending_through = append.sequence;
  ++ledger.pending_records;
  ledger.urgent = ledger.urgent || append.urgent;
}

void Fleet::Flush(std::size_t unit) {
  FleetLedger& ledger = this->ledgers[unit];
  const bool due = ledger.urgent || this->now >= ledger.last_commit + this->delays.batch_interval;
  if (ledger.in_flight || ledger.pending_records == 0 || !due) {
    return;
  }
  ledger.in_flight = true;
  ledger.urgent = false;
  ledger.pending_records = 0;
  ledger.last_commit = this->now;
  ++this->counts.writes;
  this->At(this->now + this->delays.commit,
           [this, unit, through = ledger.pending_through] { this->Committed(unit, through); });
}

void Fleet::Committed(std::size_t unit, std::uint64_t through) {
  this->ledgers[unit].in_flight = false;
  if (unit == this->racks.size()) {
    this->FeedQueue(RecordsCommitted{through});
  } else {
    this->FeedRack(unit, RecordsCommitted{through});
  }
}

void Fleet::Carry(std::size_t index, const SendCommand& send) {
  ++this->counts.commands;
  const bool slow = std::holds_alternative<CheckpointCommand>(send.command);
  const Duration work = slow ? this->delays.checkpoint : Duration(0);
  this->At(this->now + this->delays.command + work, [this, index, send] {
    const CommandAnswered event{send.command_id, this->Execute(send)};
    this->At(this->now + this->delays.command,
             [this, index, event] { this->FeedRack(index, event); });
  });
}

CommandAnswer Fleet::Execute(const SendCommand& send) {
  FleetTarget& target = this->targets.at(send.target);
  CommandAnswer answer{CommandStatus::kDone, {}, {}, {}};
  if (const auto* start = std::get_if<StartCommand>(&send.command)) {
    TargetTask row;
    row.task = start->task;
    row.attempt = start->attempt;
    const bool ends = start->spec.kind == WorkKind::kBatch;
    const Duration run = ends ? start->spec.expected_run : kForever;
    target.rows[start->task] = {row, this->now + run};
    ++this->counts.starts;
    ++this->start_counts[start->task];
    this->started_at.emplace(start->task, this->now);
  } else if (const auto* stop = std::get_if<CheckpointCommand>(&send.command)) {
    target.rows.erase(stop->task);
    answer.checkpoint = "checkpoint-" + std::to_string(send.command_id);
  } else if (const auto* forget = std::get_if<ForgetCommand>(&send.command)) {
    target.rows.erase(forget->task);
  } else if (const auto* plain = std::get_if<StopCommand>(&send.command)) {
    target.rows.erase(plain->task);
  }
  TargetReport report;
  report.target = send.target;
  report.boot = 1;
  report.capacity = kWorkerCapacity;
  for (auto& [task, row] : target.rows) {
    const bool over = row.second <= this->now;
    row.first.state = over ? TargetTaskState::kFinished : TargetTaskState::kRunning;
    report.tasks.push_back(row.first);
  }
  answer.report = std::move(report);
  return answer;
}

void Fleet::TellRoom(std::size_t index) {
  RackRoom room;
  room.rack = RackOf(this->listings[index]);
  for (const TargetView& view : this->racks[index].views()) {
    room.free.push_back(view.capacity - view.committed);
    room.capacity.push_back(view.capacity);
  }
  room.preemptible = this->racks[index].preemptible();
  ++this->counts.messages;
  this->At(this->now + this->delays.message,
           [this, event = RoomReported{room}] { this->FeedQueue(event); });
  this->At(this->now + kRoomEvery, [this, index] { this->TellRoom(index); });
}

void Fleet::TickRack(std::size_t index) {
  this->FeedRack(index, RackTick{});
  this->At(this->now + this->delays.tick, [this, index] { this->TickRack(index); });
}

void Fleet::TickQueue() {
  this->FeedQueue(QueueTick{});
  this->At(this->now + this->delays.tick, [this] { this->TickQueue(); });
}

std::uint64_t Fleet::TakeOverEveryRack() {
  std::uint64_t commands = 0;
  for (std::size_t i = 0; i < this->racks.size(); ++i) {
    RackController successor(RackOf(this->listings[i]), RackLimits{}, LeastCommittedPolicy{});
    successor.Handle(this->listings[i], this->now);
    successor.Handle(ActUntilChanged{this->now + kForever}, this->now);
    const std::uint64_t next = this->racks[i].last_sequence() + 1;
    const RackRecovered recovered{2, {}, this->ledgers[i].records, next};
    for (const RackAction& action : successor.Handle(recovered, this->now)) {
      const auto* send = std::get_if<SendCommand>(&action);
      if (send == nullptr) {
        continue;
      }
      ++commands;
      successor.Handle(CommandAnswered{send->command_id, this->Execute(*send)}, this->now);
    }
  }
  return commands;
}

}  // namespace pistachio::bench
