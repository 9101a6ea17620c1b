#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/tasks/types.h"

namespace pistachio::standins {

/// \brief Faults that a test switches on at a target.
struct TargetFaults {
  bool fails_starts = false;    ///< every task fails right after it started
  bool ignores_epochs = false;  ///< takes commands of older epochs too
  double slowdown = 1.0;        ///< over normal speed, for tasks
};

/// \brief One stretch of time in which an attempt ran here.
struct RunInterval {
  TaskId task;
  AttemptNumber attempt = 1;
  TimePoint begin;
  TimePoint end;
  bool ended = false;
  TargetTaskState state = TargetTaskState::kRunning;
};

/// \brief A target's tasks under leases, with what truly ran kept for the test to look at.
class TargetModel {
 public:
  TargetModel(TargetListing listing, std::uint64_t boot);

  /// \brief Carries out a command as a target does. \returns its answer.
  CommandAnswer Handle(Epoch epoch, const TargetCommand& command, TimePoint now);

  /// \brief Lets work go on and leases run out up to \a now.
  void Advance(TimePoint now);

  /// \brief Loses everything that runs, as a restart does.
  void Restart(TimePoint now);

  TargetFaults& faults() { return this->fault_switches; }
  const std::vector<RunInterval>& intervals() const { return this->history; }
  bool RunsService(const ServiceId& service) const;
  const TargetListing& listing() const { return this->description; }
  /// \returns how often the declared amounts of what ran were more than the target has.
  std::uint64_t over_commitments() const { return this->over_committed; }

 private:
  struct RunningTask {
    JobSpec spec;
    AttemptNumber attempt = 1;
    TargetTaskState state = TargetTaskState::kRunning;
    TimePoint lease_end;
    TimePoint advanced_to;
    Duration done{0};
    double throttle = 1.0;
    std::size_t interval = 0;
    std::string reason;
  };

  CommandAnswer Run(const StartCommand& command, TimePoint now);
  CommandAnswer Run(const RenewCommand& command, TimePoint now);
  CommandAnswer Run(const StopCommand& command, TimePoint now);
  CommandAnswer Run(const CheckpointCommand& command, TimePoint now);
  CommandAnswer Run(const ThrottleCommand& command, TimePoint now);
  CommandAnswer Run(const ForgetCommand& command, TimePoint now);
  RunningTask* Find(const TaskId& task, AttemptNumber attempt);
  void End(RunningTask& task, TargetTaskState state, TimePoint now);
  void AdvanceTask(RunningTask& task, TimePoint now);
  void CheckCommitted();
  std::string CheckpointOf(const RunningTask& task) const;
  TargetReport Report() const;

  TargetListing description;
  std::uint64_t boot;
  TargetFaults fault_switches;
  Epoch highest_epoch = 0;
  std::map<TaskId, RunningTask> tasks;
  std::map<TaskId, AttemptNumber> newest_attempts;
  std::vector<RunInterval> history;
  std::uint64_t over_committed = 0;
};

}  // namespace pistachio::standins
