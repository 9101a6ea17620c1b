#include "tests/tasks/world.h"

#include <algorithm>
#include <set>

namespace pistachio::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTickStep = milliseconds(250);
constexpr Duration kCommitDelay = milliseconds(20);
constexpr Duration kMessageDelay = milliseconds(5);
constexpr Duration kCommandBound = seconds(2);
constexpr Duration kLongFault = seconds(40);
constexpr Duration kLease = seconds(6);
const RackId kRack("rack-1");
const UnitId kQueue("queue-a");

RackLimits Limits() {
  RackLimits limits;
  limits.renew_grace = seconds(10);
  return limits;
}

Step StepOf(const TargetCommand& command) {
  struct Visitor {
    Step operator()(const StartCommand& /*c*/) const { return Step::kStart; }
    Step operator()(const RenewCommand& /*c*/) const { return Step::kRenew; }
    Step operator()(const StopCommand& /*c*/) const { return Step::kStop; }
    Step operator()(const CheckpointCommand& /*c*/) const { return Step::kCheckpoint; }
    Step operator()(const ThrottleCommand& /*c*/) const { return Step::kForget; }
    Step operator()(const ForgetCommand& /*c*/) const { return Step::kForget; }
  };
  return std::visit(Visitor(), command);
}

Step AnswerOf(Step step) { return static_cast<Step>(static_cast<int>(step) + 1); }

}  // namespace

JobSpec BatchJob(const std::string& name, std::uint32_t count, Duration run,
                 std::int64_t cpu_millis) {
  JobSpec spec;
  spec.job = JobId(name);
  spec.team = TeamId("team-a");
  spec.work_class = WorkClass("batch");
  spec.priority = 100;
  spec.count = count;
  spec.declared = {cpu_millis, 1024, 0};
  spec.expected_run = run;
  return spec;
}

World::World(int targets, bool fences_epochs) : now(TimePoint(std::chrono::hours(1))) {
  for (int i = 0; i < targets; ++i) {
    const TargetId id("t" + std::to_string(i + 1));
    FakeTarget target(id, {4000, 16384, 1});
    target.fences_epochs = fences_epochs;
    this->targets.emplace(id, target);
  }
  this->TakeOverRack();
  this->TakeOverQueue();
}

void World::At(TimePoint when, std::function<void()> act) {
  this->agenda.emplace(when, std::move(act));
}

Fault World::Ask(Step step, const TargetId& target) {
  const int number = this->step_counts[step]++;
  const Fault fault = this->plan ? this->plan(step, number) : Fault::kNone;
  const bool queue_side = step == Step::kQueueWrite || step == Step::kAssignment ||
                          step == Step::kWithdrawal || step == Step::kEndAcknowledgement;
  this->Strike(fault, queue_side, target);
  return fault;
}

void World::Strike(Fault fault, bool queue_side, const TargetId& target) {
  const TargetId struck = target.empty() ? this->targets.begin()->first : target;
  switch (fault) {
    case Fault::kHolderPaused:
      if (queue_side) {
        this->queue_owners.back()->paused_until = this->now + kLongFault;
      } else {
        this->rack_owners.back()->paused_until = this->now + kLongFault;
      }
      return;
    case Fault::kHolderDead:
      if (queue_side) {
        this->queue_owners.back()->dead = true;
      } else {
        this->rack_owners.back()->dead = true;
      }
      return;
    case Fault::kTargetDead:
      this->dead_until[struck] = this->now + kLongFault;
      this->targets.at(struck).Restart();
      return;
    case Fault::kTargetCut:
      this->cut_until[struck] = this->now + kLongFault;
      return;
    case Fault::kHolderCut:
      if (queue_side) {
        this->queue_owners.back()->cut_until = this->now + kLongFault;
      } else {
        this->rack_owners.back()->cut_until = this->now + kLongFault;
        this->hidden_until[struck] = this->now + 2 * kLongFault;
      }
      return;
    case Fault::kServiceDown:
      this->service_down_until = this->now + kLongFault;
      return;
    default:
      return;
  }
}

void World::Submit(const JobSpec& spec) {
  this->At(this->now, [this, spec] { this->ToQueue(JobSubmitted{spec}); });
}

void World::Cancel(const JobId& job) {
  this->At(this->now, [this, job] { this->ToQueue(JobCancelled{job}); });
}

void World::SetStanding(const TargetId& target, TargetStanding standing) {
  this->standings[target] = standing;
}

JobStatus World::StatusOf(const JobId& job) {
  for (const JobStatus& row : this->queue().jobs()) {
    if (row.spec.job == job) {
      return row;
    }
  }
  return {};
}

TargetsListed World::Listing() const {
  TargetsListed listed;
  for (const auto& [id, target] : this->targets) {
    TargetListing row;
    row.target = id;
    row.rack = kRack;
    row.capacity = target.capacity;
    const auto standing = this->standings.find(id);
    row.standing = standing == this->standings.end() ? TargetStanding::kLive : standing->second;
    listed.targets.push_back(row);
  }
  return listed;
}

void World::TakeOverQueue() {
  auto owner = std::make_shared<Owner<JobQueue>>(Owner<JobQueue>{JobQueue(kQueue, Limits())});
  FakeLedger& ledger = this->queue_ledger;
  owner->epoch = ++ledger.epoch;
  this->queue_owners.push_back(owner);
  this->Feed(owner,
             RackRecovered{ledger.epoch, ledger.snapshot, ledger.records, ledger.next_sequence});
}

void World::TakeOverRack() {
  auto owner = std::make_shared<Owner<RackController>>(
      Owner<RackController>{RackController(kRack, Limits(), LeastCommittedPolicy{})});
  FakeLedger& ledger = this->rack_ledger;
  owner->epoch = ++ledger.epoch;
  this->rack_owners.push_back(owner);
  this->Feed(owner, this->Listing());
  this->Feed(owner,
             RackRecovered{ledger.epoch, ledger.snapshot, ledger.records, ledger.next_sequence});
}

void World::Feed(const QueueOwner& owner, const QueueEvent& event) {
  if (owner->dead) {
    return;
  }
  if (this->now < owner->paused_until) {
    this->At(owner->paused_until, [this, owner, event] { this->Feed(owner, event); });
    return;
  }
  for (const QueueAction& action : owner->unit.Handle(event, this->now)) {
    this->Act(owner, action);
  }
}

void World::Feed(const RackOwner& owner, const RackEvent& event) {
  if (owner->dead) {
    return;
  }
  if (this->now < owner->paused_until) {
    this->At(owner->paused_until, [this, owner, event] { this->Feed(owner, event); });
    return;
  }
  for (const RackAction& action : owner->unit.Handle(event, this->now)) {
    this->Act(owner, action);
  }
}

void World::Carry(Step step, bool from_queue, const std::function<void()>& deliver) {
  const Fault fault = this->Ask(step);
  const bool holder_gone = fault == Fault::kHolderDead && from_queue;
  if (fault == Fault::kLostBefore || fault == Fault::kLostAfter || holder_gone) {
    return;
  }
  const Duration delay = fault == Fault::kDelayed ? kLongFault : kMessageDelay;
  this->At(this->now + delay, deliver);
  if (fault == Fault::kDuplicated) {
    this->At(this->now + kLongFault, deliver);
  }
}

void World::ToRack(const RackEvent& event) { this->Feed(this->rack_owners.back(), event); }

void World::ToQueue(const QueueEvent& event) { this->Feed(this->queue_owners.back(), event); }

void World::Act(const QueueOwner& owner, const QueueAction& action) {
  if (const auto* append = std::get_if<AppendRecord>(&action)) {
    owner->pending.push_back(*append);
  } else if (this->now < owner->cut_until) {
    return;  // no message leaves
  } else if (const auto* assign = std::get_if<SendAssignment>(&action)) {
    const AssignmentReceived event{assign->assignment};
    this->Carry(Step::kAssignment, true, [this, event] { this->ToRack(event); });
  } else if (const auto* withdraw = std::get_if<SendWithdrawal>(&action)) {
    const WithdrawalReceived event = withdraw->withdrawal;
    this->Carry(Step::kWithdrawal, true, [this, event] { this->ToRack(event); });
  } else if (const auto* end = std::get_if<AcknowledgeEnd>(&action)) {
    const EndAcknowledged event{end->task, end->attempt, end->queue, end->settled_below};
    this->Carry(Step::kEndAcknowledgement, true, [this, event] { this->ToRack(event); });
  } else if (const auto* report = std::get_if<ReportEvent>(&action)) {
    this->events.push_back(report->event);
  }
}

void World::Act(const RackOwner& owner, const RackAction& action) {
  if (const auto* append = std::get_if<AppendRecord>(&action)) {
    owner->pending.push_back(*append);
  } else if (const auto* send = std::get_if<SendCommand>(&action)) {
    this->SendToTarget(owner, *send);
  } else if (this->now < owner->cut_until) {
    return;  // no message leaves
  } else if (const auto* confirm = std::get_if<ConfirmAssignment>(&action)) {
    const AssignmentConfirmed event{confirm->task, confirm->attempt};
    this->Carry(Step::kConfirmation, false, [this, event] { this->ToQueue(event); });
  } else if (const auto* end = std::get_if<TellEnd>(&action)) {
    const EndReceived event{end->end};
    this->Carry(Step::kTellEnd, false, [this, event] { this->ToQueue(event); });
  } else if (const auto* report = std::get_if<ReportEvent>(&action)) {
    this->events.push_back(report->event);
  }
}

CommandAnswer World::Deliver(const SendCommand& send) {
  FakeTarget& target = this->targets.at(send.target);
  CommandAnswer answer = target.Handle(send.epoch, send.command, this->now);
  const auto* start = std::get_if<StartCommand>(&send.command);
  if (start != nullptr && answer.status == CommandStatus::kDone) {
    const auto [other, first] =
        this->starts.emplace(std::make_pair(start->task, start->attempt), send.target);
    if (!first && other->second != send.target) {
      this->violations.push_back("one attempt of " + start->task.str() + " started on " +
                                 other->second.str() + " and " + send.target.str());
    }
  }
  return answer;
}

void World::SendToTarget(const RackOwner& owner, const SendCommand& send) {
  const Step step = StepOf(send.command);
  const Fault fault = this->Ask(step, send.target);
  if (fault == Fault::kHolderPaused) {
    // The owner stands still between its decision and the first byte.
    this->At(owner->paused_until, [this, owner, send] { this->SendToTarget(owner, send); });
    return;
  }
  if (send.not_after && this->now >= *send.not_after) {
    this->Answer(owner, AnswerOf(step), send, {CommandStatus::kNotSent, "too late", {}, {}});
    return;
  }
  const bool hidden =
      this->now < this->hidden_until[send.target] && owner->cut_until == TimePoint{};
  const bool gone = hidden || this->now < this->cut_until[send.target] ||
                    this->now < this->dead_until[send.target] || fault == Fault::kLostBefore;
  if (gone) {
    const bool known = fault == Fault::kNone && send.command_id % 2 == 0;
    const CommandStatus status = known ? CommandStatus::kNotSent : CommandStatus::kUnknown;
    this->At(this->now + kCommandBound, [this, owner, step, send, status] {
      this->Answer(owner, AnswerOf(step), send, {status, "not reached", {}, {}});
    });
    return;
  }
  const Duration delay = fault == Fault::kDelayed ? kCommandBound - milliseconds(1) : kMessageDelay;
  const bool lost_answer = fault == Fault::kLostAfter || fault == Fault::kDelayed;
  this->At(this->now + delay, [this, owner, step, send, lost_answer] {
    CommandAnswer answer = this->Deliver(send);
    if (lost_answer) {
      answer = {CommandStatus::kUnknown, "no answer", {}, {}};
    }
    this->Answer(owner, AnswerOf(step), send, answer);
  });
  if (fault == Fault::kDuplicated) {
    this->At(this->now + kCommandBound - milliseconds(1), [this, send] { this->Deliver(send); });
  }
}

void World::Answer(const RackOwner& owner, Step step, const SendCommand& send,
                   CommandAnswer answer) {
  const Fault fault = this->Ask(step, send.target);
  const CommandAnswered event{send.command_id, std::move(answer)};
  if (fault == Fault::kLostBefore || fault == Fault::kLostAfter) {
    const CommandAnswered unknown{send.command_id, {CommandStatus::kUnknown, "lost", {}, {}}};
    this->At(this->now + kCommandBound, [this, owner, unknown] { this->Feed(owner, unknown); });
    return;
  }
  const Duration delay = fault == Fault::kDelayed ? kLongFault : kMessageDelay;
  this->At(this->now + delay, [this, owner, event] { this->Feed(owner, event); });
  if (fault == Fault::kDuplicated) {
    this->At(this->now + kLongFault, [this, owner, event] { this->Feed(owner, event); });
  }
}

template <class OwnerPtr>
void World::Flush(const OwnerPtr& owner, FakeLedger& ledger, Step step) {
  const bool away = this->now < owner->paused_until || this->now < owner->cut_until;
  const bool stopped = owner->dead || away || owner->busy;
  if (stopped || owner->pending.empty() || this->now < this->service_down_until) {
    return;
  }
  const Fault fault = this->Ask(step);
  if (owner->dead || this->now < this->service_down_until) {
    return;
  }
  const std::size_t count = owner->pending.size();
  owner->busy = true;
  if (fault == Fault::kLostBefore) {
    owner->dead = true;  // an owner that can't tell what its write did starts anew from the ledger
    return;
  }
  const bool tell = fault != Fault::kLostAfter;
  const Duration delay = fault == Fault::kDelayed ? kLongFault : kCommitDelay;
  this->At(this->now + delay,
           [this, owner, &ledger, count, tell] { this->Commit(owner, ledger, count, tell); });
  if (fault == Fault::kDuplicated) {
    const std::uint64_t through = owner->pending.back().sequence;
    this->At(this->now + delay + kMessageDelay,
             [this, owner, through] { this->Feed(owner, RecordsCommitted{through}); });
  }
}

template <class OwnerPtr>
void World::Commit(const OwnerPtr& owner, FakeLedger& ledger, std::size_t count, bool tell) {
  owner->busy = false;
  if (owner->epoch != ledger.epoch) {
    owner->dead = true;  // fenced
    return;
  }
  const std::uint64_t through = owner->pending[count - 1].sequence;
  for (std::size_t i = 0; i < count; ++i) {
    const AppendRecord& append = owner->pending[i];
    if (append.sequence != ledger.next_sequence) {
      this->violations.push_back("a record's number is not the next one");
    }
    ledger.records.push_back(append.record);
    ledger.next_sequence = append.sequence + 1;
  }
  owner->pending.erase(owner->pending.begin(),
                       owner->pending.begin() + static_cast<std::ptrdiff_t>(count));
  if (!tell) {
    owner->dead = true;
    return;
  }
  this->Feed(owner, RecordsCommitted{through});
}

void World::CheckpointLedgers() {
  const auto take = [](const auto& owner, FakeLedger& ledger) {
    if (owner->dead || owner->busy || !owner->pending.empty() || owner->epoch != ledger.epoch) {
      return;
    }
    ledger.snapshot = owner->unit.TakeSnapshot();
    ledger.records.clear();
  };
  take(this->queue_owners.back(), this->queue_ledger);
  take(this->rack_owners.back(), this->rack_ledger);
}

void World::Run(Duration time) {
  const TimePoint end = this->now + time;
  while (this->now < end) {
    this->Tick();
    const TimePoint next = this->now + kTickStep;
    while (!this->agenda.empty() && this->agenda.begin()->first <= next) {
      const auto entry = this->agenda.begin();
      const std::function<void()> act = entry->second;
      this->now = std::max(this->now, entry->first);
      this->agenda.erase(entry);
      act();
      this->Check();
    }
    this->now = next;
  }
}

void World::Tick() {
  for (auto& [id, target] : this->targets) {
    target.Advance(this->now, kTickStep);
  }
  this->Check();
  const bool service = this->now >= this->service_down_until;
  const auto keep = [&](const auto& owner, const FakeLedger& ledger) {
    const bool holds = !owner->dead && this->now >= owner->cut_until &&
                       this->now >= owner->paused_until && owner->epoch == ledger.epoch && service;
    if (holds) {
      owner->act_until = this->now + kLease;
      this->Feed(owner, ActUntilChanged{owner->act_until});
    }
  };
  keep(this->queue_owners.back(), this->queue_ledger);
  keep(this->rack_owners.back(), this->rack_ledger);
  const auto lapsed = [&](const auto& owner) {
    const bool away = this->now < owner->paused_until || this->now < owner->cut_until;
    return service && this->now >= owner->act_until + seconds(1) && (owner->dead || away);
  };
  if (lapsed(this->queue_owners.back())) {
    this->TakeOverQueue();
  }
  if (lapsed(this->rack_owners.back())) {
    this->TakeOverRack();
  }
  const std::vector<QueueOwner> queues = this->queue_owners;
  for (const QueueOwner& owner : queues) {
    if (this->now >= owner->paused_until) {
      this->Feed(owner, QueueTick{});
    }
    this->Flush(owner, this->queue_ledger, Step::kQueueWrite);
  }
  const std::vector<RackOwner> racks = this->rack_owners;
  for (const RackOwner& owner : racks) {
    if (this->now >= owner->paused_until) {
      this->Feed(owner, this->Listing());
      this->Feed(owner, RackTick{});
    }
    this->Flush(owner, this->rack_ledger, Step::kRackWrite);
  }
  if (this->now >= this->next_room && !this->rack_owners.back()->dead) {
    this->next_room = this->now + seconds(1);
    RackRoom room;
    room.rack = kRack;
    for (const TargetView& view : this->rack().views()) {
      room.free.push_back(view.capacity - view.committed);
      room.capacity.push_back(view.capacity);
    }
    room.preemptible = this->rack().preemptible();
    this->At(this->now + kMessageDelay, [this, room] { this->ToQueue(RoomReported{room}); });
  }
}

void World::Check() {
  std::map<TaskId, std::string> places;
  for (const auto& [id, target] : this->targets) {
    Resources running;
    for (const auto& [task, row] : target.rows) {
      if (row.state != TargetTaskState::kRunning || this->now < this->dead_until[id]) {
        continue;
      }
      running += row.declared;
      const auto [other, first] = places.emplace(task, id.str());
      if (!first) {
        this->violations.push_back(task.str() + " runs on " + other->second + " and " + id.str());
      }
    }
    if (!running.FitsIn(target.capacity)) {
      this->violations.push_back(id.str() + " is over capacity: " + running.str());
    }
  }
  for (const RackOwner& owner : this->rack_owners) {
    for (const auto& [id, amount] : owner->unit.committed()) {
      const auto target = this->targets.find(id);
      if (target != this->targets.end() && !amount.FitsIn(target->second.capacity)) {
        this->violations.push_back(id.str() + " is committed beyond its capacity");
      }
    }
  }
}

}  // namespace pistachio::testing
