#include "pistachio/process/scheduling/crash_blame.h"

#include <catch2/catch.hpp>

#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/record_codec.h"
#include "tests/scheduling/store_revision.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetLoss LossAt(milliseconds at, const std::string& rack, bool explained = false) {
  return TargetLoss{TimePoint(at), {"kind", rack}, explained};
}

TEST_CASE("targets lost together are told apart from those lost alone", "[crash_blame]") {
  const CrashSettings settings;
  std::vector<std::vector<std::string>> racks_of_ten(60);
  for (std::size_t target = 0; target < racks_of_ten.size(); ++target) {
    racks_of_ten[target] = {"kind", "rack-" + std::to_string(target / 10)};
  }
  const TargetLoss loss = LossAt(seconds(100), "rack-0");
  const auto losses = [](int count, milliseconds at, const std::string& rack, bool explained) {
    return std::vector<TargetLoss>(static_cast<std::size_t>(count), LossAt(at, rack, explained));
  };
  const milliseconds same_time(100200);
  REQUIRE(ClassifyLoss(loss, {}, racks_of_ten, settings) == LossKind::kAlone);
  REQUIRE(ClassifyLoss(loss, losses(3, same_time, "rack-1", false), racks_of_ten, settings) ==
          LossKind::kAlone);
  REQUIRE(ClassifyLoss(loss, losses(4, same_time, "rack-1", false), racks_of_ten, settings) ==
          LossKind::kGroup);
  REQUIRE(ClassifyLoss(loss, losses(4, same_time, "rack-0", false), racks_of_ten, settings) ==
          LossKind::kOutage);
  REQUIRE(ClassifyLoss(loss, losses(24, same_time, "rack-1", false), racks_of_ten, settings) ==
          LossKind::kOutage);
  REQUIRE(ClassifyLoss(loss, losses(9, seconds(102), "rack-0", false), racks_of_ten, settings) ==
          LossKind::kAlone);
  REQUIRE(ClassifyLoss(loss, losses(9, same_time, "rack-0", true), racks_of_ten, settings) ==
          LossKind::kAlone);

  // A long poll shows a loss up to 1 s later than a hold that is answered at once.
  std::vector<TargetLoss> polled = losses(9, milliseconds(100900), "rack-0", false);
  REQUIRE(ClassifyLoss(loss, polled, racks_of_ten, settings) == LossKind::kAlone);
  for (TargetLoss& other : polled) {
    other.uncertainty = seconds(1);
  }
  REQUIRE(ClassifyLoss(loss, polled, racks_of_ten, settings) == LossKind::kOutage);

  // In a large installation, a rack is a small fraction of all targets.
  std::vector<std::vector<std::string>> large(600, {"kind", "other"});
  large.insert(large.end(), racks_of_ten.begin(), racks_of_ten.end());
  REQUIRE(ClassifyLoss(loss, losses(9, same_time, "rack-0", false), large, settings) ==
          LossKind::kOutage);
  REQUIRE(ClassifyLoss(loss, losses(9, same_time, "other", false), large, settings) ==
          LossKind::kAlone);
}

const SubmissionId kDeadly("00000000000000dd");
const SubmissionId kLongRunning("00000000000000ee");

/// A cell whose targets answer at once, run what they are told and crash when told to.
class CrashFixture {
 public:
  CrashFixture() { this->StartOwner(7); }

  /// Makes a new owner that reads what the one before wrote.
  void StartOwner(FencingToken token) {
    this->cell = std::make_unique<Cell>(CellId("all"), CellSettings{}, token, this->now);
    Configuration configuration;
    this->queue.id = QueueId("queue");
    this->queue.service = ServiceId("service");
    this->queue.max_attempts = 3;
    configuration.queues.push_back(this->queue);
    this->cell->SetConfiguration(std::make_shared<Configuration>(configuration));
    for (const auto& [address, entry] : this->registered) {
      this->cell->PutTarget(entry, this->now);
    }
    std::uint64_t revision = 1;
    for (const auto& [id, accepted] : this->accepted) {
      const auto record = this->records.find(id);
      this->cell->Load(
          accepted, revision++,
          record == this->records.end() ? std::nullopt : std::optional<std::string>(record->second),
          this->now);
    }
    this->cell->FinishLoading(this->now);
  }

  /// \param tell_owner the owner sees the registration
  void AddTarget(const std::string& address, bool tell_owner = true) {
    TargetEntry entry;
    entry.incarnation =
        static_cast<std::uint64_t>(this->now.time_since_epoch() / milliseconds(1)) + 1;
    entry.id = TargetId(address + "-" + std::to_string(entry.incarnation));
    entry.service = this->queue.service;
    entry.address = address;
    entry.capacity = Resources{16000, 16000, 0};
    this->registered[address] = entry;
    this->running[address].clear();
    this->down.erase(address);
    if (tell_owner) {
      this->cell->PutTarget(entry, this->now);
    }
  }

  /// Ends the process at the address and all its runs without a report.
  void Crash(const std::string& address) {
    this->down.insert(address);
    this->running[address].clear();
    this->crashes++;
  }

  /// Replaces the process at the address by a new one with another id.
  void Replace(const std::string& address) {
    this->cell->RemoveTarget(this->registered.at(address).id, this->now);
    this->AddTarget(address);
  }

  void Submit(const SubmissionId& id, bool long_running, std::uint32_t count = 1) {
    AcceptedSubmission submission;
    submission.id = id;
    submission.queue = this->queue;
    StepSpec step;
    step.need = Resources{1000, 1000, 0};
    step.estimate = seconds(30);
    step.long_running = long_running;
    step.count = count;
    submission.spec.steps = {step};
    this->accepted[id] = submission;
    this->cell->Accept(submission, this->accepted.size(), this->now);
  }

  void Run(Duration time) {
    constexpr Duration kTick = milliseconds(10);
    for (Duration elapsed{0}; elapsed < time; elapsed += kTick) {
      this->now += kTick;
      this->cell->ConfirmOwnership(this->now);
      this->cell->Tick(this->now, this->wall);
      if (const auto batch = this->cell->NextCommit(this->now)) {
        for (const auto& [id, record] : batch->records) {
          this->records[id] = record;
        }
        for (const SubmissionId& id : batch->deleted) {
          this->records.erase(id);
        }
        this->cell->OnCommitted(batch->number, RevisionOf(*batch), this->now);
        this->cell->Tick(this->now, this->wall);
      }
      for (const OutgoingOrder& order : this->cell->TakeOrders()) {
        this->Answer(order);
      }
    }
  }

  const Submission& submission(const SubmissionId& id) const {
    return this->cell->submissions().at(id);
  }
  const Task& TaskOf(const SubmissionId& id, std::size_t index = 0) const {
    return this->submission(id).occurrences.at(0).steps[0].tasks[index];
  }
  /// \returns the address of the target of a task's run.
  std::string AddressOf(const SubmissionId& id) const {
    for (const auto& [address, entry] : this->registered) {
      if (entry.id == this->TaskOf(id).incarnation.target) {
        return address;
      }
    }
    return "";
  }

  TimePoint now{std::chrono::hours(1)};
  WallTime wall{0};
  std::map<SubmissionId, std::string> records;  ///< progress records in the store
  std::unique_ptr<Cell> cell;
  int crashes = 0;
  int starts_of_deadly = 0;
  bool deadly = true;  ///< runs of `kDeadly` crash their targets
  /// Number of further starts of `kDeadly` whose target crashes before they arrive.
  int crashes_before_start = 0;

 private:
  void Answer(const OutgoingOrder& outgoing) {
    const std::string& address = outgoing.order.address;
    if (this->down.count(address) != 0) {
      std::holds_alternative<HoldOrder>(outgoing.order.order)
          ? this->cell->OnHoldReply(outgoing.ticket, HoldReply{}, this->now)
          : this->cell->OnOrderReply(outgoing.ticket, OrderReply{}, this->now);
      return;
    }
    const auto* lost_start = std::get_if<StartOrder>(&outgoing.order.order);
    if (lost_start != nullptr && lost_start->task.submission == kDeadly &&
        this->crashes_before_start > 0) {
      this->crashes_before_start--;
      this->Crash(address);
      this->cell->OnOrderReply(outgoing.ticket, OrderReply{}, this->now);
      return;
    }
    const TargetEntry& entry = this->registered.at(address);
    const bool same_instance = entry.id == outgoing.order.target;
    const auto clock = std::chrono::duration_cast<TargetTime>(this->now.time_since_epoch());
    if (std::holds_alternative<HoldOrder>(outgoing.order.order)) {
      HoldReply reply;
      reply.status = same_instance ? OrderStatus::kDone : OrderStatus::kWrongInstance;
      reply.incarnation = entry.incarnation;
      reply.clock = clock;
      for (const auto& [task, run] : this->running[address]) {
        constexpr double kPercentPerSecond = 3.0;
        const std::chrono::duration<double> elapsed = this->now - run.second;
        reply.running.push_back(
            RunningRun{task, run.first, "", elapsed.count() * kPercentPerSecond, 0.0});
      }
      this->cell->OnHoldReply(outgoing.ticket, reply, this->now);
      return;
    }
    OrderReply reply;
    reply.status = same_instance ? OrderStatus::kDone : OrderStatus::kWrongInstance;
    reply.clock = clock;
    bool crashes_target = false;
    if (const auto* start = std::get_if<StartOrder>(&outgoing.order.order);
        start && same_instance) {
      this->running[address].emplace(start->task, std::make_pair(start->run, this->now));
      crashes_target = this->deadly && start->task.submission == kDeadly;
      this->starts_of_deadly += start->task.submission == kDeadly ? 1 : 0;
    }
    if (const auto* stop = std::get_if<StopOrder>(&outgoing.order.order); stop && same_instance) {
      this->running[address].erase(stop->task);
    }
    this->cell->OnOrderReply(outgoing.ticket, reply, this->now);
    if (crashes_target) {
      this->Crash(address);
    }
  }

  QueueSettings queue;
  std::map<std::string, TargetEntry> registered;
  /// Run number and start time by task and address.
  std::map<std::string, std::map<TaskKey, std::pair<RunNumber, TimePoint>>> running;
  std::set<std::string> down;
  std::map<SubmissionId, AcceptedSubmission> accepted;
};

/// Replaces the target that the deadly task has crashed, after the time for which it is down.
void ReturnCrashedTarget(CrashFixture* fixture, Duration downtime) {
  const std::string address = fixture->AddressOf(kDeadly);
  REQUIRE_FALSE(address.empty());
  fixture->Run(downtime);
  fixture->Replace(address);
}

TEST_CASE("a task that crashes each target that starts it is given up after two crashes",
          "[cell][crash_blame]") {
  // With 9 s, the lease of the runs expires before a new process proves that the target crashed.
  for (const Duration downtime : {seconds(3), seconds(9)}) {
    CrashFixture fixture;
    for (const char* address : {"a", "b", "c", "d"}) {
      fixture.AddTarget(address);
    }
    fixture.Submit(kLongRunning, true, 8);
    fixture.Run(seconds(5));
    fixture.Submit(kDeadly, false);
    fixture.Run(milliseconds(500));
    for (int crash = 0; crash < 4 && !fixture.submission(kDeadly).failed; ++crash) {
      ReturnCrashedTarget(&fixture, downtime);
      fixture.Run(seconds(1));
    }
    REQUIRE(fixture.submission(kDeadly).State() == SubmissionState::kFailed);
    REQUIRE(fixture.cell->DurableState(kDeadly) == SubmissionState::kFailed);
    REQUIRE(fixture.starts_of_deadly <= 3);
    fixture.Run(seconds(5));
    REQUIRE_FALSE(fixture.submission(kLongRunning).failed);
    for (std::size_t index = 0; index < 8; ++index) {
      REQUIRE(fixture.TaskOf(kLongRunning, index).phase == TaskPhase::kRunning);
      REQUIRE_FALSE(fixture.TaskOf(kLongRunning, index).crash_record.suspect);
    }
  }
}

TEST_CASE("a new owner knows how many targets have crashed under a task", "[cell][crash_blame]") {
  CrashFixture fixture;
  for (const char* address : {"a", "b", "c", "d"}) {
    fixture.AddTarget(address);
  }
  fixture.Submit(kDeadly, false);
  FencingToken token = 8;
  for (int crash = 0; crash < 5 && !fixture.submission(kDeadly).failed; ++crash) {
    fixture.Run(milliseconds(800));
    fixture.StartOwner(token++);
    ReturnCrashedTarget(&fixture, seconds(3));
    fixture.Run(milliseconds(600));
  }
  REQUIRE(fixture.submission(kDeadly).State() == SubmissionState::kFailed);
  REQUIRE(fixture.starts_of_deadly <= 3);
}

TEST_CASE("runs of a target that was replaced before a takeover do not wait for its lease",
          "[cell][crash_blame]") {
  // A restarted host has never seen the registration of the target that crashed.
  CrashFixture fixture;
  fixture.AddTarget("a");
  fixture.AddTarget("b");
  fixture.deadly = false;
  fixture.Submit(kLongRunning, true, 4);
  fixture.Run(seconds(3));
  fixture.Crash("a");
  fixture.Run(milliseconds(10));
  fixture.now += seconds(3);
  fixture.AddTarget("a", false);
  fixture.StartOwner(8);
  fixture.Run(seconds(2));
  for (std::size_t index = 0; index < 4; ++index) {
    REQUIRE(fixture.TaskOf(kLongRunning, index).phase == TaskPhase::kRunning);
  }
}

TEST_CASE("a failed submission that a new owner ends stays known to callers",
          "[cell][crash_blame]") {
  CrashFixture fixture;
  fixture.wall = WallTime(1800000000000);
  fixture.AddTarget("a");
  fixture.AddTarget("b");
  fixture.Submit(kDeadly, false);
  fixture.Run(milliseconds(800));
  Submission failed = fixture.submission(kDeadly);
  Task& task = failed.occurrences.at(0).steps[0].tasks[0];
  task.phase = TaskPhase::kWaiting;
  failed.failed = true;
  fixture.records[kDeadly] = EncodeProgress(failed);
  fixture.StartOwner(8);
  fixture.Run(seconds(100));
  REQUIRE(fixture.cell->DurableState(kDeadly) == SubmissionState::kFailed);
}

TEST_CASE("a task whose targets crash for other reasons is not given up", "[cell][crash_blame]") {
  CrashFixture fixture;
  fixture.deadly = false;
  for (const char* address : {"a", "b", "c", "d"}) {
    fixture.AddTarget(address);
  }
  const bool long_running = GENERATE(false, true);
  fixture.Submit(kDeadly, long_running);
  for (int crash = 0; crash < 10; ++crash) {
    // Each run outlasts the time for which it is suspected.
    fixture.Run(seconds(4));
    REQUIRE(fixture.TaskOf(kDeadly).phase == TaskPhase::kRunning);
    fixture.Crash(fixture.AddressOf(kDeadly));
    ReturnCrashedTarget(&fixture, seconds(3));
  }
  REQUIRE_FALSE(fixture.submission(kDeadly).failed);
}

TEST_CASE("a suspected task starts apart although each target starts other work all the time",
          "[cell][crash_blame]") {
  CrashFixture fixture;
  fixture.deadly = false;
  fixture.AddTarget("a");
  fixture.AddTarget("b");
  fixture.Submit(kDeadly, false);
  fixture.Run(milliseconds(100));
  fixture.Crash(fixture.AddressOf(kDeadly));
  ReturnCrashedTarget(&fixture, seconds(3));
  for (int other = 1; other <= 12; ++other) {
    fixture.Submit(SubmissionId("000000000000010" + std::to_string(other % 10)), true, 1);
    fixture.Run(milliseconds(100));
  }
  REQUIRE(fixture.TaskOf(kDeadly).phase == TaskPhase::kRunning);
  REQUIRE(fixture.TaskOf(kDeadly).crash_record.isolated);
}

TEST_CASE("a task whose targets crash together with others is given up in the end",
          "[cell][crash_blame]") {
  // Several tasks that crash their targets at the same time look like a common cause.
  CrashFixture fixture;
  for (int target = 0; target < 20; ++target) {
    fixture.AddTarget("target-" + std::to_string(target));
  }
  fixture.Submit(kLongRunning, true, 40);
  fixture.Run(seconds(3));
  fixture.Submit(kDeadly, false);
  for (int crash = 0; crash < 8 && !fixture.submission(kDeadly).failed; ++crash) {
    while (fixture.starts_of_deadly == crash) {
      fixture.Run(milliseconds(10));
    }
    const std::string crashed = fixture.AddressOf(kDeadly);
    std::vector<std::string> group{crashed};
    for (int target = 4 * crash; group.size() < 5; ++target) {
      const std::string address = "target-" + std::to_string(target % 20);
      if (address != crashed) {
        fixture.Crash(address);
        group.push_back(address);
      }
    }
    fixture.Run(seconds(3));
    for (const std::string& address : group) {
      fixture.Replace(address);
    }
    fixture.Run(milliseconds(50));
  }
  REQUIRE(fixture.submission(kDeadly).failed);
  // Two more are allowed after three crashes.
  REQUIRE(fixture.starts_of_deadly <= 5);
  REQUIRE_FALSE(fixture.submission(kLongRunning).failed);
}

// Four starts that never arrived were taken for crashes under the task.
TEST_CASE("a task is not given up for targets that crash before its starts arrive",
          "[cell][crash_blame]") {
  const bool long_running = GENERATE(false, true);
  CAPTURE(long_running);
  CrashFixture fixture;
  fixture.deadly = false;
  fixture.crashes_before_start = 4;
  for (const char* address : {"a", "b", "c", "d"}) {
    fixture.AddTarget(address);
  }
  fixture.Run(milliseconds(600));
  fixture.Submit(kDeadly, long_running);
  for (int crash = 1; crash <= 4; ++crash) {
    for (int step = 0; step < 500 && fixture.crashes < crash; ++step) {
      fixture.Run(milliseconds(10));
    }
    REQUIRE(fixture.crashes == crash);
    ReturnCrashedTarget(&fixture, milliseconds(1500));
  }
  fixture.Run(seconds(1));
  REQUIRE(fixture.crashes == 4);
  REQUIRE_FALSE(fixture.submission(kDeadly).failed);
  REQUIRE(fixture.TaskOf(kDeadly).phase == TaskPhase::kRunning);
  REQUIRE(fixture.TaskOf(kDeadly).crash_record.crashes == 0);
  fixture.Run(seconds(3));
  REQUIRE(fixture.TaskOf(kDeadly).crash_record == CrashRecord{});
}

TEST_CASE("possible crashes give a task up only where another start might exceed its budget",
          "[crash_blame]") {
  const CrashSettings settings;
  const auto given_up = [&settings](std::uint32_t crashes, std::uint32_t losses, bool isolated) {
    return IsGivenUp(CrashRecord{crashes, losses, true, isolated}, 0, settings);
  };
  // Three crashes and two more starts are allowed, the third start is not.
  for (std::uint32_t crashes = 0; crashes <= 5; ++crashes) {
    REQUIRE(given_up(crashes, 5, false));
    REQUIRE(given_up(crashes, 5, true));
  }
  for (std::uint32_t losses = 0; losses <= 4; ++losses) {
    for (std::uint32_t crashes = 0; crashes <= std::min(1U, losses); ++crashes) {
      REQUIRE_FALSE(given_up(crashes, losses, true));
      REQUIRE_FALSE(given_up(crashes, losses, false));
    }
  }
  REQUIRE(given_up(2, 2, true));
  REQUIRE_FALSE(given_up(2, 2, false));
  REQUIRE_FALSE(given_up(3, 3, false));
  REQUIRE(given_up(2, 4, false));
}

// Two crashes of targets that crash all the time are no evidence against a task.
TEST_CASE("a task is given up after one crash more where many other targets were lost",
          "[crash_blame]") {
  const CrashSettings settings;
  const auto given_up = [&settings](std::uint32_t crashes, std::uint32_t losses, bool isolated) {
    return IsGivenUp(CrashRecord{crashes, losses, true, isolated}, settings.max_other_losses + 1,
                     settings);
  };
  REQUIRE_FALSE(given_up(2, 2, true));
  REQUIRE_FALSE(given_up(2, 4, false));
  REQUIRE(given_up(3, 3, true));
  // No more than two starts follow the third crash.
  REQUIRE(given_up(3, 4, false));
  REQUIRE(given_up(2, 5, false));
  REQUIRE(IsGivenUp(CrashRecord{2, 2, true, true}, settings.max_other_losses, settings));
}

TEST_CASE("many suspected tasks do not keep other work off most targets", "[cell][crash_blame]") {
  CrashFixture fixture;
  fixture.deadly = false;
  for (int target = 0; target < 16; ++target) {
    fixture.AddTarget("target-" + std::to_string(target));
  }
  const SubmissionId suspects("00000000000000aa");
  fixture.Submit(suspects, true, 64);
  fixture.Run(milliseconds(100));
  // Three targets at a time are no outage.
  for (int target = 0; target < 9; ++target) {
    fixture.Crash("target-" + std::to_string(target));
    fixture.Run(target % 3 == 2 ? milliseconds(600) : milliseconds(0));
  }
  fixture.Run(seconds(1));
  for (int target = 0; target < 9; ++target) {
    fixture.Replace("target-" + std::to_string(target));
  }
  fixture.Run(milliseconds(600));
  fixture.Submit(kLongRunning, true, 8);
  fixture.Run(milliseconds(300));
  for (std::size_t index = 0; index < 8; ++index) {
    REQUIRE(fixture.TaskOf(kLongRunning, index).phase == TaskPhase::kRunning);
  }
  fixture.Run(seconds(3));
  for (std::size_t index = 0; index < 64; ++index) {
    REQUIRE(fixture.TaskOf(suspects, index).phase == TaskPhase::kRunning);
  }
}

TEST_CASE("a suspected task starts apart from other runs", "[cell][crash_blame]") {
  CrashFixture fixture;
  fixture.deadly = false;
  fixture.AddTarget("a");
  fixture.AddTarget("b");
  fixture.Submit(kDeadly, false);
  fixture.Run(milliseconds(100));
  fixture.Crash(fixture.AddressOf(kDeadly));
  ReturnCrashedTarget(&fixture, seconds(3));
  fixture.Run(milliseconds(700));
  REQUIRE(fixture.TaskOf(kDeadly).phase == TaskPhase::kRunning);
  REQUIRE(fixture.TaskOf(kDeadly).crash_record == CrashRecord{1, 1, true, true});
  fixture.Submit(kLongRunning, true, 4);
  fixture.Run(milliseconds(500));
  const TargetId target = fixture.TaskOf(kDeadly).incarnation.target;
  for (std::size_t index = 0; index < 4; ++index) {
    REQUIRE(fixture.TaskOf(kLongRunning, index).phase == TaskPhase::kRunning);
    REQUIRE(fixture.TaskOf(kLongRunning, index).incarnation.target != target);
  }
  fixture.Run(seconds(2));
  REQUIRE(fixture.TaskOf(kDeadly).crash_record == CrashRecord{});
}

}  // namespace
}  // namespace pistachio
