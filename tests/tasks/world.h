#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pistachio/process/tasks.h"
#include "tests/tasks/fake_target.h"

namespace pistachio::testing {

/// \brief Where a fault can strike: each write, command, answer and message.
enum class Step {
  kQueueWrite,
  kRackWrite,
  kAssignment,
  kConfirmation,
  kWithdrawal,
  kTellEnd,
  kEndAcknowledgement,
  kStart,
  kStartAnswer,
  kRenew,
  kRenewAnswer,
  kCheckpoint,
  kCheckpointAnswer,
  kStop,
  kStopAnswer,
  kForget,
  kForgetAnswer,
};
constexpr int kStepCount = 17;
const char* NameOf(Step step);

/// \brief What goes wrong at a step.
enum class Fault {
  kNone,
  kLostBefore,    ///< it has no effect and no answer
  kLostAfter,     ///< it takes effect, the answer is lost
  kDuplicated,    ///< it takes effect twice, the second time much later where that is possible
  kDelayed,       ///< past the task lease; commands to the end of their bound
  kHolderPaused,  ///< the unit's owner stands still for 40 s and another takes over
  kHolderDead,    ///< the unit's owner is gone and another takes over
  kTargetDead,    ///< a target is gone for 40 s and restarts empty
  kTargetCut,     ///< a target can't be reached for 40 s and goes on by itself
  kServiceDown,   ///< the key-value service commits nothing for 40 s
  kHolderCut,     ///< the owner reaches targets only; one of them can't be reached by another owner
};
constexpr int kFaultCount = 11;
const char* NameOf(Fault fault);

/// \brief A unit's log in the key-value service: commits in order, one epoch at a time.
struct FakeLedger {
  Epoch epoch = 0;
  std::string snapshot;
  std::vector<std::string> records;  ///< after the snapshot
  std::uint64_t next_sequence = 1;
};

/// \brief One owner's view of a unit: a controller, or the queue, under one epoch.
template <class Unit>
struct Owner {
  Unit unit;
  Epoch epoch = 0;
  TimePoint paused_until{};
  TimePoint act_until{};
  TimePoint cut_until{};  ///< from the service, the peers and the other units
  bool dead = false;
  bool busy = false;  ///< a commit is in flight
  std::vector<AppendRecord> pending = {};
};

/// \brief A data centre with one job queue and one rack, on a clock that the test advances.
///
/// The checks look only at the fake targets and at the actions: they share no state with the
/// product. Whatever they find is in `violations`.
class World {
 public:
  explicit World(int targets, bool fences_epochs = true);

  void Submit(const JobSpec& spec);
  void Cancel(const JobId& job);
  void SetStanding(const TargetId& target, TargetStanding standing);
  void Run(Duration time);
  void Strike(Fault fault, bool queue_side, const TargetId& target);
  void CheckpointLedgers();

  JobStatus StatusOf(const JobId& job);
  JobQueue& queue() { return this->queue_owners.back()->unit; }
  RackController& rack() { return this->rack_owners.back()->unit; }

  /// \brief Asked at each step, with its number among the steps of its kind, from 0.
  std::function<Fault(Step, int)> plan;
  std::vector<std::string> violations;
  std::map<Step, int> step_counts;
  std::map<TargetId, FakeTarget> targets;
  std::map<std::pair<TaskId, AttemptNumber>, TargetId> starts;  ///< carried out by a target
  std::vector<EventRecord> events;
  TimePoint now;

 private:
  using QueueOwner = std::shared_ptr<Owner<JobQueue>>;
  using RackOwner = std::shared_ptr<Owner<RackController>>;

  void Tick();
  void Check();
  void At(TimePoint when, std::function<void()> act);
  Fault Ask(Step step, const TargetId& target = {});
  void Carry(Step step, bool from_queue, const std::function<void()>& deliver);
  void TakeOverQueue();
  void TakeOverRack();
  void Feed(const QueueOwner& owner, const QueueEvent& event);
  void Feed(const RackOwner& owner, const RackEvent& event);
  void Act(const QueueOwner& owner, const QueueAction& action);
  void Act(const RackOwner& owner, const RackAction& action);
  CommandAnswer Deliver(const SendCommand& send);
  void SendToTarget(const RackOwner& owner, const SendCommand& send);
  void Answer(const RackOwner& owner, Step step, const SendCommand& send, CommandAnswer answer);
  template <class OwnerPtr>
  void Flush(const OwnerPtr& owner, FakeLedger& ledger, Step step);
  template <class OwnerPtr>
  void Commit(const OwnerPtr& owner, FakeLedger& ledger, std::size_t count, bool tell);
  void ToRack(const RackEvent& event);
  void ToQueue(const QueueEvent& event);
  TargetsListed Listing() const;

  FakeLedger queue_ledger;
  FakeLedger rack_ledger;
  std::vector<QueueOwner> queue_owners;
  std::vector<RackOwner> rack_owners;
  std::multimap<TimePoint, std::function<void()>> agenda;
  std::map<TargetId, TimePoint> cut_until;
  std::map<TargetId, TimePoint> dead_until;
  std::map<TargetId, TimePoint> hidden_until;  ///< from every owner but the one that was cut off
  std::map<TargetId, TargetStanding> standings;
  TimePoint service_down_until{};
  TimePoint next_room{};
};

JobSpec BatchJob(const std::string& name, std::uint32_t count, Duration run,
                 std::int64_t cpu_millis);

}  // namespace pistachio::testing
