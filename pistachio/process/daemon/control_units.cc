#include "pistachio/process/daemon/control_state.h"

namespace pistachio {

namespace internal {

/// Data centres have units of the same name, and one key-value service for all their ledgers.
UnitId LedgerNameOf(const DataCentreId& data_centre, const UnitId& unit) {
  return UnitId(data_centre.str() + "/" + unit.str());
}

}  // namespace internal

void ControlState::OpenRack(const RackId& rack, const UnitAcquired& action) {
  this->racks.erase(action.unit);
  RackUnit unit{
      action.unit, action.epoch,
      Ledger(internal::LedgerNameOf(this->config.data_centre, action.unit), this->config.ledger),
      RackController(rack, this->config.rack, this->config.policy)};
  RackUnit& opened = this->racks.emplace(action.unit, std::move(unit)).first->second;
  this->publications[action.unit] = RackPublication{};
  this->Open(opened);
  this->ListTargets(opened);
}

void ControlState::OpenQueue(const UnitAcquired& action) {
  this->queues.erase(action.unit);
  QueueUnit unit{
      action.unit, action.epoch,
      Ledger(internal::LedgerNameOf(this->config.data_centre, action.unit), this->config.ledger),
      JobQueue(action.unit, this->config.rack)};
  this->Open(this->queues.emplace(action.unit, std::move(unit)).first->second);
}

template <class Machine>
void ControlState::Open(LedgeredUnit<Machine>& unit) {
  this->FeedLedger(unit, LedgerOpened{unit.epoch});
  this->Feed(unit, ActUntilChanged{this->membership.act_until()});
}

template <class Machine, class Event>
void ControlState::Feed(LedgeredUnit<Machine>& unit, const Event& event) {
  if (unit.fenced) {
    return;
  }
  for (const auto& action : unit.machine.Handle(event, this->now)) {
    std::visit([this, &unit](const auto& typed) { this->DoUnit(unit, typed); }, action);
  }
}

template <class Machine>
void ControlState::FeedLedger(LedgeredUnit<Machine>& unit, const LedgerEvent& event) {
  for (const LedgerAction& action : unit.ledger.Handle(event, this->now)) {
    std::visit([this, &unit](const auto& typed) { this->DoLedger(unit, typed); }, action);
  }
}

template void ControlState::FeedLedger(RackUnit& unit, const LedgerEvent& event);
template void ControlState::FeedLedger(QueueUnit& unit, const LedgerEvent& event);
template void ControlState::Feed(RackUnit& unit, const CommandAnswered& event);
template void ControlState::Feed(RackUnit& unit, const ActUntilChanged& event);
template void ControlState::Feed(RackUnit& unit, const AssignmentReceived& event);
template void ControlState::Feed(RackUnit& unit, const WithdrawalReceived& event);
template void ControlState::Feed(RackUnit& unit, const EndAcknowledged& event);
template void ControlState::Feed(QueueUnit& unit, const ActUntilChanged& event);
template void ControlState::Feed(QueueUnit& unit, const AssignmentConfirmed& event);
template void ControlState::Feed(QueueUnit& unit, const EndReceived& event);
template void ControlState::Feed(QueueUnit& unit, const RoomReported& event);
template void ControlState::Feed(QueueUnit& unit, const JobSubmitted& event);
template void ControlState::Feed(QueueUnit& unit, const JobCancelled& event);
template void ControlState::Feed(QueueUnit& unit, const QuotasChanged& event);

template <class Machine>
void ControlState::DoLedger(LedgeredUnit<Machine>& unit, const CallStore& action) {
  this->ports.call_store(LedgerOrigin{unit.unit, unit.epoch}, action.call_id, action.role,
                         action.call);
}

template <class Machine>
void ControlState::DoLedger(LedgeredUnit<Machine>& unit, const LedgerRecovered& action) {
  unit.recovered = true;
  this->Feed(unit,
             RackRecovered{action.epoch, action.snapshot, action.records, action.next_sequence});
  this->Feed(unit, ActUntilChanged{this->membership.act_until()});
  this->settings_changed = true;
}

template <class Machine>
void ControlState::DoLedger(LedgeredUnit<Machine>& unit, const LedgerCommitted& action) {
  this->Feed(unit, RecordsCommitted{action.through});
  this->AnswerCommitted(unit.unit, action.through);
}

template <class Machine>
void ControlState::DoLedger(LedgeredUnit<Machine>& unit, const LedgerFenced& /*action*/) {
  unit.fenced = true;
}

template <class Machine>
void ControlState::DoLedger(LedgeredUnit<Machine>& unit, const SnapshotWanted& /*action*/) {
  this->FeedLedger(unit, SnapshotTaken{unit.machine.last_sequence(), unit.machine.TakeSnapshot()});
}

template <class Machine>
void ControlState::DoLedger(LedgeredUnit<Machine>& /*unit*/, const LedgerReport& action) {
  this->Report(action.event);
}

template <class Machine>
void ControlState::TickUnit(LedgeredUnit<Machine>& unit) {
  this->FeedLedger(unit, LedgerTick{});
  if (unit.draining) {
    if (unit.fenced || unit.ledger.pending() == 0) {
      this->FeedMembership(UnitDrained{unit.unit});
    }
    return;
  }
  if constexpr (std::is_same_v<Machine, RackController>) {
    this->Feed(unit, RackTick{});
  } else {
    this->Feed(unit, QueueTick{});
  }
}

template void ControlState::TickUnit(RackUnit& unit);
template void ControlState::TickUnit(QueueUnit& unit);

void ControlState::ListTargets(RackUnit& unit) {
  TargetsListed targets;
  const auto rack = RackOfUnit(unit.unit);
  for (const auto& [target, listing] : this->routes.listings()) {
    if (listing.rack == *rack) {
      targets.targets.push_back(listing);
    }
  }
  this->Feed(unit, targets);
}

void ControlState::DoUnit(RackUnit& unit, const AppendRecord& action) {
  this->FeedLedger(unit, RecordAppended{action.sequence, action.record, action.urgent});
}

void ControlState::DoUnit(RackUnit& unit, const SendCommand& action) {
  const auto listing = this->routes.listings().find(action.target);
  const bool is_listed = listing != this->routes.listings().end();
  this->counts.commands++;
  // A target without an address is answered as not sent by whoever sends.
  this->ports.send_command(OutgoingCommand{unit.unit, unit.epoch, action.command_id,
                                           is_listed ? listing->second.address : std::string(),
                                           action.command, action.not_after});
}

void ControlState::DoUnit(RackUnit& /*unit*/, const ConfirmAssignment& action) {
  this->SendToUnit(action.queue, PeerConfirmation{action.queue, action.task, action.attempt});
}

void ControlState::DoUnit(RackUnit& /*unit*/, const TellEnd& action) {
  this->SendToUnit(action.queue, PeerEnd{action.queue, action.end});
}

void ControlState::DoUnit(RackUnit& /*unit*/, const ReportEvent& action) {
  this->Report(action.event);
}

void ControlState::DoUnit(QueueUnit& unit, const AppendRecord& action) {
  this->FeedLedger(unit, RecordAppended{action.sequence, action.record, action.urgent});
}

void ControlState::DoUnit(QueueUnit& /*unit*/, const SendAssignment& action) {
  this->counts.assignments++;
  this->SendToUnit(UnitOfRack(action.assignment.rack), PeerAssignment{action.assignment});
}

void ControlState::DoUnit(QueueUnit& /*unit*/, const SendWithdrawal& action) {
  this->SendToUnit(UnitOfRack(action.rack), PeerWithdrawal{action.rack, action.withdrawal});
}

void ControlState::DoUnit(QueueUnit& /*unit*/, const AcknowledgeEnd& action) {
  const EndAcknowledged acknowledged{action.task, action.attempt, action.queue,
                                     action.settled_below};
  this->SendToUnit(UnitOfRack(action.rack), PeerEndAcknowledged{action.rack, acknowledged});
}

void ControlState::DoUnit(QueueUnit& /*unit*/, const AnswerSubmission& action) {
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  const auto waiting = this->submitters.find(action.job);
  if (waiting == this->submitters.end()) {
    return;
  }
  const ActionAnswer answer{action.job.str(),
                            action.accepted ? ChangeResult::kAccepted : ChangeResult::kRejected,
                            action.reason};
  const std::vector<OperatorCaller> callers = std::move(waiting->second);
  this->submitters.erase(waiting);
  for (const OperatorCaller& caller : callers) {
    this->AnswerCaller(caller, action.accepted ? kOk : kConflict, EncodeBody(answer));
  }
}

void ControlState::DoUnit(QueueUnit& /*unit*/, const ReportEvent& action) {
  this->Report(action.event);
}

}  // namespace pistachio
