#include "tests/tasks/fault_matrix.h"

namespace pistachio::testing {

namespace {

using std::chrono::seconds;

constexpr Duration kSettleTime = seconds(240);

Fault NextFault(Fault fault) {
  const int next = static_cast<int>(fault) + 1;
  return next < kFaultCount ? static_cast<Fault>(next) : Fault::kLostBefore;
}

struct Plan {
  Cell cell;
  CellResult* result;
  bool next_due = false;

  Fault operator()(Step step, int number) {
    if (this->next_due) {
      this->next_due = false;
      return NextFault(this->cell.fault);
    }
    const bool first = step == this->cell.step && number == this->cell.number;
    const bool second =
        this->cell.twice && step == this->cell.step && number == this->cell.number + 1;
    if (!first && !second) {
      return Fault::kNone;
    }
    this->result->struck = true;
    this->next_due = this->cell.with_next && first;
    return this->cell.fault;
  }
};

void Play(World& world) {
  JobSpec relay = BatchJob("relay", 1, seconds(0), 1000);
  relay.kind = WorkKind::kService;
  relay.service = ServiceId("relay");
  relay.priority = 800;
  JobSpec alarm = BatchJob("alarm", 1, seconds(10), 3000);
  alarm.priority = kUrgentPriority;
  world.Run(seconds(5));
  world.Submit(relay);
  world.Submit(BatchJob("audit", 6, seconds(20), 1000));
  world.Submit(BatchJob("logs", 4, seconds(30), 1000));
  world.Run(seconds(8));
  world.CheckpointLedgers();
  world.Submit(alarm);
  world.Run(seconds(4));
  world.Cancel(JobId("logs"));
  world.Run(seconds(4));
  world.SetStanding(TargetId("t1"), TargetStanding::kDrained);
  world.Run(seconds(40));
  world.CheckpointLedgers();
  // Operators repeat what they got no answer to.
  world.Submit(relay);
  world.Submit(BatchJob("audit", 6, seconds(20), 1000));
  world.Submit(BatchJob("logs", 4, seconds(30), 1000));
  world.Submit(alarm);
  world.Run(seconds(8));
  world.Cancel(JobId("logs"));
  world.Run(kSettleTime);
}

void Expect(bool holds, const std::string& text, CellResult& result) {
  if (!holds) {
    result.findings.push_back(text);
  }
}

void CheckEnd(World& world, CellResult& result) {
  const JobStatus audit = world.StatusOf(JobId("audit"));
  const JobStatus alarm = world.StatusOf(JobId("alarm"));
  const JobStatus logs = world.StatusOf(JobId("logs"));
  const JobStatus relay = world.StatusOf(JobId("relay"));
  Expect(audit.finished == 6,
         "audit finished " + std::to_string(audit.finished) + " of 6: " + audit.reason, result);
  Expect(alarm.finished == 1,
         "alarm finished " + std::to_string(alarm.finished) + " of 1: " + alarm.reason, result);
  Expect(logs.finished + logs.cancelled == 4, "logs did not end: " + logs.reason, result);
  Expect(relay.assigned == 1, "relay is not assigned: " + relay.reason, result);
  const auto routes = world.rack().routes();
  Expect(routes.size() == 1 && routes.begin()->second.size() == 1, "relay has no route", result);
  Resources committed;
  for (const auto& [target, amount] : world.rack().committed()) {
    committed += amount;
  }
  Expect(committed == Resources{1000, 1024, 0}, "left committed: " + committed.str(), result);
}

}  // namespace

CellResult RunCell(const Cell& cell) {
  CellResult result;
  World world(3, cell.fences_epochs);
  world.plan = Plan{cell, &result};
  Play(world);
  CheckEnd(world, result);
  for (const std::string& violation : world.violations) {
    result.findings.push_back(violation);
  }
  return result;
}

std::string TextOf(const Cell& cell) {
  return std::string(NameOf(cell.step)) + " #" + std::to_string(cell.number) + ": " +
         NameOf(cell.fault) + (cell.twice ? ", twice in a row" : "") +
         (cell.with_next ? ", then " + std::string(NameOf(NextFault(cell.fault))) : "") +
         (cell.fences_epochs ? "" : ", targets do not fence");
}

}  // namespace pistachio::testing
