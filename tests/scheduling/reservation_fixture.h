#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/record_codec.h"
#include "tests/scheduling/store_revision.h"

namespace pistachio {

constexpr std::uint64_t kFixtureIncarnation = 1000;
constexpr Resources kCapacity{4000, 4000, 0};
constexpr const char* kNever = "never";

inline StepSpec LongRunningStep(const Resources& need) {
  StepSpec step;
  step.need = need;
  step.long_running = true;
  step.estimate = std::chrono::seconds(1);
  return step;
}

inline StepSpec ShortStep(const Resources& need) {
  StepSpec step;
  step.need = need;
  step.estimate = std::chrono::seconds(60);
  return step;
}

/// A new owner's cell with targets of 4 cores and 4000 MiB. The store confirms each commit at once,
/// and the targets answer each hold at once.
class ReservationFixture {
 public:
  explicit ReservationFixture(const CellSettings& settings = CellSettings{})
      : cell(CellId("all"), settings, 7, this->now) {
    Configuration configuration;
    this->queue.id = QueueId("queue");
    this->queue.service = ServiceId("service");
    this->queue.max_attempts = 3;
    configuration.queues.push_back(this->queue);
    this->cell.SetConfiguration(std::make_shared<Configuration>(configuration));
  }

  /// Loads a submission of one step with a task for each element of \a targets, which runs on that
  /// target. It lost its run if the element is empty, and never had one if it is `kNever`.
  void Load(const std::string& id, StepSpec step, const std::vector<std::string>& targets) {
    step.count = static_cast<std::uint32_t>(targets.size());
    Submission submission;
    submission.accepted.id = SubmissionId(id);
    submission.accepted.queue = this->queue;
    submission.accepted.accepted_at = this->accepted_at;
    submission.accepted.spec.steps = {step};
    submission.AddOccurrence(0);
    submission.started = true;
    StepProgress& progress = submission.occurrences.at(0).steps[0];
    for (std::uint32_t index = 0; index < step.count; ++index) {
      Task& task = progress.tasks[index];
      task.run = targets[index] == kNever ? 0 : 1;
      if (!targets[index].empty() && targets[index] != kNever) {
        task.phase = TaskPhase::kRunning;
        task.incarnation = TargetIncarnation{TargetId(targets[index]), kFixtureIncarnation, ""};
        progress.waiting--;
        const TaskKey key{submission.accepted.id, 0, 0, index};
        this->running[targets[index]].push_back(RunningRun{key, 1, "", 10.0, 0.0});
      }
    }
    this->cell.Load(submission.accepted, 1, EncodeProgress(submission), this->now);
  }

  /// Loads a submission of the step \a step with the progress that an owner has stored.
  void LoadRecord(const std::string& id, const StepSpec& step, const std::string& record) {
    this->cell.Load(this->Accepted(id, step), 1, record, this->now);
  }

  void PutTarget(const std::string& id, TargetState state = TargetState::kReady) {
    TargetEntry entry;
    entry.id = TargetId(id);
    entry.service = this->queue.service;
    entry.address = id + ":1";
    entry.capacity = kCapacity;
    entry.incarnation = this->IncarnationOf(id);
    entry.known_since = this->known_since;
    entry.state = state;
    entry.drain_remaining = std::chrono::seconds(7);
    this->cell.PutTarget(entry, this->now);
  }

  /// Ends loading and lets the targets report their runs.
  void FinishLoading() {
    this->cell.FinishLoading(this->now);
    this->Run(std::chrono::seconds(1));
    this->starts.clear();
  }

  void Submit(const std::string& id, const StepSpec& step) {
    this->cell.Accept(this->Accepted(id, step), 1, this->now);
  }

  /// Ends the runs of the tasks in `stops` as stopped.
  void EndStoppedRuns() {
    for (auto& [target, runs] : this->running) {
      std::vector<FinishedRun>& ends = this->finished[target];
      for (auto run = runs.begin(); run != runs.end();) {
        if (this->stops.count(run->task.str()) == 0) {
          ++run;
          continue;
        }
        ends.push_back(FinishedRun{ends.size() + 1, run->task, 1, RunOutcome::kStopped, ""});
        run = runs.erase(run);
      }
    }
  }

  /// Ends the first run that is left on a target.
  void EndRun(const std::string& target, RunOutcome outcome) {
    std::vector<RunningRun>& runs = this->running[target];
    std::vector<FinishedRun>& ends = this->finished[target];
    ends.push_back(FinishedRun{ends.size() + 1, runs.front().task, 1, outcome, ""});
    runs.erase(runs.begin());
  }

  void Run(Duration time) {
    constexpr Duration kStep = std::chrono::milliseconds(50);
    for (Duration elapsed{0}; elapsed < time; elapsed += kStep) {
      this->now += kStep;
      this->MakeProgress();
      this->cell.ConfirmOwnership(this->now);
      this->cell.Tick(this->now, this->wall);
      if (const auto batch = this->cell.NextCommit(this->now)) {
        this->stored_leases = batch->leases;
        for (const auto& [id, bytes] : batch->records) {
          this->records[id.str()] = bytes;
        }
        this->cell.OnCommitted(batch->number, RevisionOf(*batch), this->now);
        this->cell.Tick(this->now, this->wall);
      }
      for (const OutgoingOrder& order : this->cell.TakeOrders()) {
        this->Answer(order);
      }
      for (const EventRecord& event : this->cell.TakeEvents()) {
        this->lines.push_back(event.str());
      }
    }
  }

  TimePoint now{std::chrono::hours(1)};
  WallTime wall{0};                ///< of all ticks
  WallTime accepted_at{0};         ///< of submissions loaded or submitted from then on
  std::vector<std::string> lines;  ///< logged events
  QueueSettings queue;
  Cell cell;
  std::map<std::string, std::vector<RunningRun>> running;    ///< by target
  std::map<std::string, std::vector<FinishedRun>> finished;  ///< by target
  std::set<std::string> starts;                              ///< tasks with a start
  std::set<std::string> stops;                               ///< tasks with a stop
  std::map<std::string, std::uint64_t> incarnations;         ///< of targets that have restarted
  TimePoint known_since{};        ///< of the incarnations of targets that are put from then on
  double percent_per_step = 0.0;  ///< by which the progress of runs grows
  LeaseRecord stored_leases;      ///< of the last commit
  std::map<std::string, std::string> records;  ///< last stored progress, by submission
  std::set<std::string> silent;                ///< targets that answer nothing
  bool starts_unanswered = false;              ///< starts get no answer, and stops are accepted

 private:
  AcceptedSubmission Accepted(const std::string& id, const StepSpec& step) const {
    AcceptedSubmission accepted;
    accepted.id = SubmissionId(id);
    accepted.queue = this->queue;
    accepted.accepted_at = this->accepted_at;
    accepted.spec.steps = {step};
    return accepted;
  }

  /// \returns the present incarnation of a target.
  std::uint64_t IncarnationOf(const std::string& target) const {
    const auto found = this->incarnations.find(target);
    return found == this->incarnations.end() ? kFixtureIncarnation : found->second;
  }

  /// Each run that works makes progress at a steady rate.
  void MakeProgress() {
    for (auto& [target, runs] : this->running) {
      for (RunningRun& run : runs) {
        run.percent += this->percent_per_step;
      }
    }
  }

  void Answer(const OutgoingOrder& order) {
    const std::string target = order.order.target.str();
    const auto clock = std::chrono::duration_cast<TargetTime>(this->now.time_since_epoch());
    if (this->silent.count(target) != 0) {
      if (std::holds_alternative<HoldOrder>(order.order.order)) {
        this->cell.OnHoldReply(order.ticket, HoldReply{}, this->now);
      } else {
        this->cell.OnOrderReply(order.ticket, OrderReply{}, this->now);
      }
      return;
    }
    if (std::holds_alternative<HoldOrder>(order.order.order)) {
      HoldReply reply;
      reply.status = OrderStatus::kDone;
      reply.incarnation = this->IncarnationOf(target);
      reply.clock = clock;
      reply.running = this->running[target];
      reply.finished = this->finished[target];
      this->cell.OnHoldReply(order.ticket, reply, this->now);
    } else if (const auto* start = std::get_if<StartOrder>(&order.order.order)) {
      this->starts.insert(start->task.str());
      if (this->starts_unanswered) {
        this->cell.OnOrderReply(order.ticket, OrderReply{}, this->now);
      }
    } else if (const auto* stop = std::get_if<StopOrder>(&order.order.order)) {
      this->stops.insert(stop->task.str());
      if (this->starts_unanswered) {
        this->cell.OnOrderReply(order.ticket, OrderReply{OrderStatus::kDone, clock}, this->now);
      }
    }
  }
};

}  // namespace pistachio
