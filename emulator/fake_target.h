#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emulator/rule_checker.h"
#include "pistachio/process/scheduling/orders.h"

namespace pistachio::emulator {

/// \brief Faults of a target.
struct TargetFaults {
  double speed = 1.0;       ///< factor on the progress of every run; 1 is full speed
  bool fails_all = false;   ///< every run fails once it has made progress
  bool stalls_all = false;  ///< no run makes progress
};

/// \brief In-memory target with its own clock that executes runs, keeps them while their lease
/// lasts, checks fencing tokens and reports ended runs.
///
/// Each restart begins a new incarnation without any state of the earlier ones.
class FakeTarget {
 public:
  /// Behaviour of a run on a target without faults.
  struct Workload {
    Duration length{0};          ///< run time at full speed
    bool fails = false;          ///< the run fails at its end
    bool long_running = false;   ///< the run does not end by itself
    Resources need;              ///< resources that the run occupies
    bool best_effort = false;    ///< uses only idle processors; its CPU need is not counted
    bool checkpointing = false;  ///< the run saves checkpoints
    std::optional<Duration> crash_delay;  ///< from the start until the run crashes its target
  };
  using WorkloadOf = std::function<Workload(const TaskKey&)>;

  /// Progress in microseconds of work by checkpoint name, shared by all targets.
  using SavedProgress = std::map<std::string, double>;

  FakeTarget(TargetEntry entry, WorkloadOf workload_of, SavedProgress* saved_progress,
             RuleChecker* checker);

  /// \brief Starts a new incarnation without runs, ended runs or a known fencing token.
  void Boot(std::uint64_t incarnation, TimePoint now);
  /// \brief Ends the incarnation and all its runs without reporting their ends.
  void Crash();
  /// \brief Ends the incarnation like Crash(), but as planned: the runs did not cause it.
  void Leave();
  /// \returns true if the target is up and a run is due to crash it.
  bool IsCrashDue(TimePoint now) const;

  /// \brief Starts a run and extends the lease of all runs to the order's deadline.
  ///
  /// \param skip_time_bounds tells the rule checker not to check rules that have a time bound
  /// \param sent_at when the order was sent; its host could not know of any later change of room
  /// \returns `kDone` also if the run is running already; otherwise why the target refuses
  OrderReply Start(const StartOrder& order, const TargetId& expected, FencingToken token,
                   bool skip_time_bounds, TimePoint sent_at, TimePoint now);
  /// \brief Stops a run after a short time; a run that is not running can no longer start.
  OrderReply Stop(const StopOrder& order, const TargetId& expected, FencingToken token,
                  TimePoint now);
  /// \brief Sets the speed of a run. \returns `kSuperseded` if the run is not running.
  OrderReply Pace(const PaceOrder& order, const TargetId& expected, FencingToken token,
                  TimePoint now);
  /// \brief Extends the lease of all runs and drops acknowledged ends.
  ///
  /// \returns the running runs and the ends that are not acknowledged, at most
  /// `kMaxFinishedPerReply`
  HoldReply Hold(const HoldOrder& order, const TargetId& expected, FencingToken token,
                 TimePoint now);
  /// \brief Changes the target's room, also below what its runs occupy. None of them ends.
  void SetRoom(const Resources& room, TimePoint now);
  /// \returns true if a run has ended with a number above \a acked_end.
  bool HasUnacknowledgedEnd(std::uint64_t acked_end) const;
  /// \returns the ends that are not acknowledged, oldest first.
  const std::vector<FinishedRun>& unacknowledged_ends() const { return this->finished; }

  /// \brief Advances all runs by \a step and ends those that are complete, failed or stopped or
  /// whose lease has expired.
  void Tick(TimePoint now, Duration step);

  TargetEntry entry;  ///< registration of the target
  TargetFaults faults;
  bool up = false;
  bool left = false;              ///< down as planned, after Leave()
  TimePoint drain_enforced_at{};  ///< while draining, starts from this time on break a rule

  /// \returns the number of runs.
  std::size_t runs() const { return this->running.size(); }
  /// \returns true if a task of the submission is running on the target.
  bool HasRunOf(const SubmissionId& id) const;

 private:
  struct Run {
    RunNumber number = 0;
    Workload workload;
    double progress = 0.0;     ///< microseconds of work
    double last_saved = 0.0;   ///< progress at the last checkpoint, in microseconds of work
    std::string checkpoint;    ///< name of the last checkpoint; empty for none
    std::uint32_t pace = 100;  ///< percent of full speed
    std::optional<TimePoint> stop_at;
    TimePoint crash_at = TimePoint::max();  ///< when the run crashes its target
  };

  /// A room that the target had before.
  struct FormerRoom {
    Resources room;
    TimePoint until;  ///< when it changed
  };

  /// \returns of each resource, the most that the target has had at any time since \a since.
  Resources LargestRoomSince(TimePoint since) const;
  /// \returns the target's own clock: time since the boot, which passes too slowly.
  TargetTime ClockAt(TimePoint now) const;
  /// Checks the target id and the fencing token of an order.
  /// \returns true, with \a status set, if the target refuses the order
  bool RejectsOrder(const TargetId& expected, FencingToken token, OrderStatus* status);
  /// Ends the incarnation.
  void GoDown();
  void End(const TaskKey& task, RunOutcome outcome);
  void SaveCheckpoint(const TaskKey& task, Run* run);

  WorkloadOf workload_of;
  SavedProgress* saved_progress;
  RuleChecker* checker;
  TimePoint booted_at{};
  FencingToken highest_token = 0;
  TargetTime deadline{0};                ///< end of the lease, on the target's own clock
  bool lapsed = false;                   ///< the lease had ended at the last tick
  std::vector<FormerRoom> former_rooms;  ///< oldest first
  std::map<TaskKey, Run> running;
  std::map<TaskKey, RunNumber> ended;  ///< highest run that was stopped or has ended here
  std::vector<FinishedRun> finished;   ///< ends that are not acknowledged, oldest first
  std::uint64_t next_end = 1;          ///< number of the next ended run
  std::uint64_t next_checkpoint = 1;
};

}  // namespace pistachio::emulator
