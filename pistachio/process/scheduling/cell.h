#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/cell_types.h"
#include "pistachio/process/scheduling/duration_model.h"
#include "pistachio/process/scheduling/evacuation_moves.h"
#include "pistachio/process/scheduling/not_begun_count.h"
#include "pistachio/process/scheduling/open_starts.h"
#include "pistachio/process/scheduling/waiting_order.h"

namespace pistachio {

/// \brief Scheduler of one cell: the state machine that runs while this process owns the cell.
///
/// The class does no input or output and reads no clock. The caller passes in events and the
/// current time, sends the orders that the cell returns and performs its writes to the store.
/// Safety rests on three rules. A start is sent only after its assignment is in the store. An end
/// is acknowledged to its target only after its effects are in the store; an end as done of a task
/// that another cell has now, only after that cell's owner has stored them. A run that may exist,
/// or may still start, keeps its resources and its task until a list of the target, a later
/// incarnation of the target or the expiry of its lease shows that the run has ended.
class Cell {
 public:
  /// \brief Creates the cell at the time when this process learned that it is the owner. No lease
  /// is extended before `ConfirmOwnership`.
  /// \param take_revision store revision of the write that took the cell
  Cell(CellId id, const CellSettings& settings, FencingToken take_revision, TimePoint now);

  /// \brief Replaces the active configuration.
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);

  /// \brief Adds or updates a target of the cell's data centre from its registration.
  void PutTarget(const TargetEntry& entry, TimePoint now);
  /// \brief Marks a target as no longer registered. Its runs keep their resources.
  void RemoveTarget(const TargetId& target, TimePoint now);
  /// \brief Sets whether the registrations are recent enough for starts; initially they are. While
  /// they are not, starts wait, because the room of their targets may have shrunk.
  void SetRegistrationsCurrent(bool current) { this->registrations_current = current; }
  /// \brief Sets the data centres that are under evacuation. No start is sent to their targets, not
  /// even a repeated one; runs there go on.
  void SetEvacuatedDataCentres(std::set<DataCentreId> data_centres);

  /// \brief Loads a submission with its stored progress, if any. Called before `FinishLoading`.
  ///
  /// A submission whose progress cannot be decoded is logged and left out.
  /// \param revision store revision of the submission's record in this cell's inbox
  void Load(const AcceptedSubmission& accepted, std::uint64_t revision,
            const std::optional<std::string>& progress, TimePoint now);
  /// \brief Loads the interference and duration models that an earlier owner stored. Called before
  /// `FinishLoading`. An unreadable model is logged and ignored.
  void LoadModel(const std::string& bytes, TimePoint now);
  /// \returns the encoded interference and duration models, for the store.
  std::string EncodeModel() const;

  /// \brief Sets what was in the store when this process became the owner, less the time since the
  /// write as far as it is known. Called before `PutTarget` and `Load`.
  void InheritLeases(const LeaseRecord& leases);
  /// \brief Sets a time at which the store had no owner of the cell any more, so that no earlier
  /// owner could confirm its ownership later. Without it, that is the time of the takeover. Called
  /// before `PutTarget` and `Load`. \pre \a time is not later than the takeover
  void InheritAbsence(TimePoint time) { this->no_owner_at = time; }
  /// \brief Tells that the cell has never had another owner, so that no earlier order can arrive.
  /// Called before `PutTarget` and `Load`.
  void SetFirstOwner() { this->is_first_owner = true; }

  /// \brief Ends loading. Before, `Tick` schedules nothing and `NextCommit` returns nothing.
  void FinishLoading(TimePoint now);

  /// \brief Adds a new submission. A known id changes nothing, unless the write that moves the
  /// submission away is not confirmed and \a revision is that of a later record: then the
  /// submission has come back, and is added once the write is confirmed.
  ///
  /// \param revision store revision of the submission's record in this cell's inbox. A record that
  ///   is older than the submission's move to another cell changes nothing.
  void Accept(const AcceptedSubmission& accepted, std::uint64_t revision, TimePoint now);
  /// \returns true if the submission is in memory, or its record is known to be unreadable.
  bool Knows(const SubmissionId& id) const;
  /// \brief Cancels a submission. A cancel of an unknown submission is kept until `Accept`
  /// adds the submission. While a write that moves the submission is not confirmed, the cancel also
  /// counts for the submission when it comes back.
  /// \param source of the information and the store revision of the cancel mark, for the log
  void Cancel(const SubmissionId& id, const CancelSource& source, TimePoint now);

  /// \brief Handles the answer to a start, a stop or a pace order. Unknown tickets are ignored.
  void OnOrderReply(OrderTicket ticket, const OrderReply& reply, TimePoint now);
  /// \brief Handles the answer to a hold. Several holds to a target may be in flight; lists that
  /// are older than those of an earlier answer are ignored.
  void OnHoldReply(OrderTicket ticket, const HoldReply& reply, TimePoint now);

  /// \brief Schedules tasks and enqueues the orders that are due.
  /// \param wall_now the wall clock, for due times and other times in the store
  void Tick(TimePoint now, WallTime wall_now);

  /// \returns the next write to the store, or nothing if none is due or one is not confirmed yet.
  std::optional<CommitBatch> NextCommit(TimePoint now);
  /// \brief Confirms that the write \a number is in the store. Other numbers are ignored.
  /// \param revision store revision of the write
  void OnCommitted(std::uint64_t number, FencingToken revision, TimePoint now);

  /// \brief Chooses submissions without a run that cannot start here while another cell has room.
  /// Stops the runs of submissions that are to move because some of their tasks can run here no
  /// more; they move with a later call.
  ///
  /// Until `OnMoved` or `OnMoveRejected`, none of the chosen submissions gets a run.
  /// \param destinations the other cells that have an owner; the demand of the chosen submissions
  ///   is added to their load
  /// \returns the write that moves them, or nothing if none moves now or a write is not confirmed
  std::optional<MoveBatch> NextMove(std::vector<MoveDestination>* destinations, TimePoint now);
  /// \brief Confirms that the write \a number is in the store. Other numbers are ignored.
  /// \param revision store revision of the write
  void OnMoved(std::uint64_t number, FencingToken revision, TimePoint now);
  /// \brief Reports that the write \a number had no effect and is not sent again.
  void OnMoveRejected(std::uint64_t number, TimePoint now);

  /// \returns the ends as done that targets of this cell, or other owners, have reported and whose
  ///   submissions are not in this cell. They are to be delivered to the cells that have them; none
  ///   is acknowledged before.
  std::vector<ForwardedEnd> EndsToForward() const;
  /// \brief Reports that the owner of the cell with the end's submission has stored its effects, or
  /// that there is no such submission any more.
  void OnEndForwarded(const ForwardedEnd& end, TimePoint now);
  /// \brief Takes an end as done into account that the owner of another cell has forwarded. A later
  /// commit confirms it with `CommitBatch::settled_ends`.
  void OnEndReceived(const ForwardedEnd& end, TimePoint now);

  /// \brief Records that the store confirmed this owner; leases may be extended for
  /// `CellSettings::store_outage_tolerance` after \a at.
  /// \param at a time at which this process owned the cell for certain, such as that of sending the
  ///   write that the store has confirmed; times before the latest one change nothing
  void ConfirmOwnership(TimePoint at);
  /// \brief Records that a write is in the store that had this owner's key as a precondition. Its
  /// revision becomes the fencing token of targets that have restarted. `OnCommitted` and `OnMoved`
  /// include this.
  /// \param revision store revision of the write
  void ConfirmWrite(FencingToken revision, TimePoint now);

  /// \returns the orders enqueued since the last call.
  std::vector<OutgoingOrder> TakeOrders();
  /// \returns the events logged since the last call.
  std::vector<EventRecord> TakeEvents();

  const CellId& id() const { return this->cell_id; }
  /// \returns the store revision of the write that took the cell, which identifies the ownership.
  FencingToken take_revision() const { return this->taken_at_revision; }
  /// \returns the revision of this owner's last confirmed write.
  FencingToken confirmed_write() const { return this->confirmed_revision; }
  /// \returns the highest fencing token that a target of the cell has.
  FencingToken token() const { return this->highest_token; }
  const CellCounters& counters() const { return this->counts; }
  /// \returns true once a target has seen a higher token: the cell has another owner.
  bool fenced() const { return this->is_fenced; }
  /// \returns true if no write of progress is due or unconfirmed.
  bool idle() const { return !this->open_commit && !this->open_move && this->dirty.empty(); }

  /// \returns the state of a submission in the store, `kQueued` if none is written yet, or nothing
  ///   if \a id is unknown.
  std::optional<SubmissionState> DurableState(const SubmissionId& id) const;
  /// \brief Sets the last count of an earlier owner, see NotBegunCounter.
  void SetEarlierCount(EarlierCount count) { this->earlier_count = std::move(count); }
  /// \returns the submissions of which no task is known to have begun, by queue.
  std::map<QueueId, SubmissionCount> CountNotBegun() const;
  /// \returns the estimated time until the waiting batch work is done: the processor time that it
  ///   needs, divided by the processors that all but serving tasks use now, or by a tenth of the
  ///   processors of the ready targets if that is more; 0 if no target is ready. Batch work is all
  ///   work but long-running tasks. Submissions that run once and no longer have any value are left
  ///   out.
  Duration Backlog() const;
  /// \returns how far the run times of recent batch tasks differ from their estimates.
  DurationFactor BatchDurationFactor() const { return this->duration_model.Overall().factor; }
  /// \returns the waiting work by priority and value per core-second, as of the last scheduling
  ///   round with scarce room; empty if no step found no target in the last second.
  const WaitingProfile& WaitingWork() const { return this->waiting_profile; }
  /// \returns the processors by which `Backlog` divides, in thousandths of a core.
  double BatchCpu() const;
  /// \returns the processors that long-running tasks of open submissions request, as a fraction of
  ///   those of the ready targets; 0 if no target is ready.
  double LongRunningShare() const;
  /// \returns the share of the time of serving tasks that they spend over their bounds beside
  ///   best-effort work.
  double OverBoundTimeShare() const { return this->over_bound_share.Value(); }
  /// \returns the cell's load and the room that is left for further work.
  CellRoom Room(TimePoint now) const;
  /// \returns the tasks that wait in the cell, and the runs in \a data_centres.
  EvacuationProgress ProgressOf(const std::set<DataCentreId>& data_centres) const;
  /// \returns what is left of the evacuations that the cell knows.
  EvacuationProgress ProgressOfEvacuations() const {
    return this->ProgressOf(this->evacuated_data_centres);
  }
  /// \returns what the end of a new submission depends on, without the rate of ends.
  ForecastLoad LoadForForecast() const;
  /// \returns all submissions in memory by id.
  const std::map<SubmissionId, Submission>& submissions() const { return this->all_submissions; }

 private:
  using Target = internal::CellTarget;

  /// Restores the run and the resources of a task that an earlier owner assigned.
  void RecoverTask(Submission* submission, const TaskKey& key, Task* task, TimePoint now);
  /// \returns the latest time at which a lease of \a target that an earlier owner extended can
  ///   expire.
  TimePoint InheritedLeaseExpiry(const TargetId& target) const;
  /// \returns the latest time at which an earlier owner may have extended a lease.
  TimePoint FormerOwnersExtendUntil() const;
  /// Notes that the target has carried out an order that was sent at \a sent_at.
  void ConfirmWitness(const Target& target, TimePoint sent_at, TimePoint now);
  /// \returns true if the target has to answer often, since its answers decide about leases.
  bool IsNeededWitness(const Target& target, TimePoint now) const {
    // The answers to long polls that were sent before come within the other half of the time.
    return now - this->ownership_confirmed_at > this->settings.witnesses.unwitnessed_time / 2 &&
           this->witnesses.Has(WitnessIdOf(target.entry.id, target.incarnation));
  }
  /// \returns the record of the leases for a write, and notes that the store may get it.
  LeaseRecord BeginLeaseRecord(LeaseBounds bounds, TimePoint now);
  /// \returns the witnesses for the next write.
  WitnessSet ChooseWitnesses(TimePoint now) const;
  /// \returns true if the witnesses should be written although nothing else has changed.
  bool WitnessesDue(TimePoint now) const;
  /// Sets the end of the lease of a target that is new to this owner, which an earlier owner may
  /// have extended.
  void InheritLease(Target* target);
  /// \returns the latest time at which a deadline that an earlier owner sent to an earlier
  ///   incarnation of the target may arrive.
  TimePoint InheritedDeadlinesArriveUntil(const Target& target) const;
  /// Covers the lease that such a deadline may give the target's incarnation, which this owner has
  /// not reached. Short tasks wait for it; long-running ones do not, as their run has ended with
  /// the incarnation before.
  void CoverInheritedDeadlines(Target* target);
  /// \returns the latest end of the lease that this owner sets when the target's first complete
  ///   lists have arrived. They limit the lease from deadlines of earlier owners.
  TimePoint LeaseAtFirstList(Target* target, TimePoint now);
  /// Adds the oldest ended submission to \a batch for deletion if its retention time is over.
  void AddExpiredSubmission(CommitBatch* batch);

  /// \returns the submissions that were never assigned and may move to another cell, the most
  ///   urgent first.
  std::vector<Submission*> MovableSubmissions(TimePoint now);
  /// Adds a submission that moves to \a destination to \a batch.
  void AddToMove(Submission* submission, const CellDemand& demand, const CellRoom& own,
                 const MoveDestination& destination, MoveBatch* batch, TimePoint now);
  /// Number of long-running tasks that lost their run and wait for the next one, and the longest
  /// time that one of them has been without a run.
  struct TasksWithoutRun {
    std::size_t count = 0;
    Duration longest{0};
    /// Those on targets that do not answer, and those that lost their run to the expiry of a lease.
    std::size_t unreached = 0;
    Duration longest_unreached{0};  ///< longest time since their target was last in reach
  };
  TasksWithoutRun CountTasksWithoutRun(TimePoint now) const;
  /// \returns since when the target has been out of reach: its last answer to this owner, or else
  ///   the time from which on the cell had no earlier owner.
  TimePoint UnreachedSince(const Target& target) const {
    return target.answered_at != TimePoint{} ? target.answered_at : this->no_owner_at;
  }
  /// Logs the load of the cell at a fixed interval.
  void LogLoad(TimePoint now);
  /// Logs once a second which long-running tasks have had no run for 6 s, and what each waits for.
  void LogOverdueTasks(TimePoint now);
  void LogOverdueTask(const Submission& submission, const TaskKey& key, const Task& task,
                      TimePoint now);
  /// \returns the number of targets by what rules them out for the task even without their short
  ///   tasks, as it stands in the log.
  std::string WhatRulesOut(const Submission& submission, const TaskKey& key, TimePoint now) const;
  /// \returns what a task without a run waits for, as it stands in the log.
  const char* ReasonOfWait(const Submission& submission, const TaskKey& key, const Task& task,
                           TimePoint now) const;

  /// Adds those of \a movable to \a batch for which another cell has more room.
  void AddWaitingSubmissions(const std::vector<Submission*>& movable,
                             std::vector<MoveDestination>* destinations, CellRoom own,
                             MoveBatch* batch, TimePoint now);

  // Moves out of a cell whose targets are all under evacuation (cell_evacuation_moves.cc).
  /// \returns true if the cell has targets under evacuation and none that is ready.
  bool IsFullyEvacuated() const;
  /// \returns true if a silent target may still report the end of a run that would make a waiting
  ///   task done.
  bool AwaitsEnd(const Submission& submission, TimePoint now) const;
  EvacuatedWork DescribeEvacuated(const Submission& submission,
                                  const std::set<SubmissionId>& unsettled, TimePoint now) const;
  /// Adds submissions without a run to \a batch, the most urgent first.
  void AddEvacuatedSubmissions(std::vector<MoveDestination>* destinations, const CellRoom& own,
                               MoveBatch* batch, TimePoint now);
  /// \returns the element of \a destinations to which the submission should move, or null if there
  ///   is none.
  MoveDestination* DestinationFor(const Submission& submission, const CellRoom& own,
                                  std::vector<MoveDestination>* destinations) const;

  // Moves of submissions that have begun (cell_displaced_moves.cc).
  /// Chooses submissions that leave for other cells, since tasks that lost their runs cannot run
  /// here any more, and stops their remaining runs.
  void ChooseLeavingSubmissions(std::vector<MoveDestination>* destinations, TimePoint now);
  /// Adds the submissions to \a batch that leave and whose runs have certainly ended.
  void AddLeavingSubmissions(const std::vector<MoveDestination>& destinations, const CellRoom& own,
                             MoveBatch* batch, TimePoint now);
  /// \returns true if so many targets are silent that this owner may be cut off from them. Their
  /// runs go on then, and a move would stop those on the others. The registrations of targets that
  /// have failed are removed within seconds, so they don't count for long.
  bool ManyRegisteredTargetsSilent() const;
  /// Lets submissions stay whose runs have not ended in time.
  void GiveUpLateLeaving(TimePoint now);
  /// Lets a submission stay in this cell, and its waiting tasks run again before other work.
  void StayHere(Submission* submission, const char* cause, TimePoint now);
  /// \returns the processors of the submission's tasks that no target here can take.
  std::int64_t UnplaceableCpu(const Submission& submission, TimePoint now) const;
  /// \returns true if the submission may leave for another cell, and stops would end all its runs
  ///   soon.
  bool MayLeave(const Submission& submission, const std::set<SubmissionId>& unsettled,
                TimePoint now) const;
  /// \returns true if no start that an earlier owner of the cell has sent can take effect on a
  ///   present incarnation of a target.
  bool InheritedStartsOver(const Submission& submission, TimePoint now) const;
  /// \returns the submissions with a run that no task accounts for, with an order that is not
  ///   answered, or with a start that may still take effect.
  std::set<SubmissionId> UnsettledSubmissions(TimePoint now) const;

  /// Requirements of a task for which this scheduling round found no target.
  struct UnplaceableTask {
    ServiceId service;
    std::string label;
    bool best_effort;
    ImageId image;
    Resources need;
    /// Harm that the task accepted, see `HarmAcceptedBy`.
    std::optional<double> max_harm;

    /// \returns true if a task of \a spec has the same requirements, needs at least as much and
    ///   accepts no more harm, so that no target can be found for it either.
    bool RulesOut(const StepSpec& spec, const ServiceId& other_service,
                  const std::optional<double>& other_max_harm) const;
  };

  // Targets (cell_targets.cc).
  /// Resets what is known of a restarted target and requeues the runs that ended with the restart.
  void BeginIncarnation(Target* target, std::uint64_t incarnation, TimePoint now,
                        const char* cause);
  /// Handles the proof that a later incarnation of the target is up. Until its first list shows its
  /// number, it gets no start, no acknowledgement and no deadline.
  void NoticeRestart(Target* target, TimePoint now);
  /// \returns the fencing token of a target that this owner has made no order to yet.
  FencingToken TokenOfNewTarget();
  /// Gives a target whose token is outdated the revision of the last confirmed write, if that is
  /// higher, so that the target refuses orders made for its earlier incarnations.
  void RaiseToken(Target* target, TimePoint now);
  /// Defers further acknowledgements after the one in \a sent got no answer, and makes all later
  /// orders to the target bar it.
  void FenceLostAcknowledgement(Target* target, const internal::SentOrder& sent, TimePoint now);
  /// \returns true if \a sent was refused only because the target has a higher token from this
  ///   owner now. The incarnation that refused the order has not carried it out.
  static bool HasFormerToken(const Target& target, const internal::SentOrder& sent);
  /// \returns true if a start of the task's run that was sent may not have arrived yet.
  bool MayStillStart(const Target& target, const TaskKey& key, const Task& task) const;
  /// \returns true if any target may still carry out a start of the task that this owner or an
  ///   earlier one sent; for a member of a gang, a start of any member.
  bool AnyStartMayArrive(const TaskKey& key, TimePoint now) const;
  /// \returns the targets that may still carry out a start of the task that this owner or an
  /// earlier
  ///   one sent.
  std::vector<TargetId> TargetsOfOpenStarts(const TaskKey& key, TimePoint now) const;
  /// \returns the targets of open starts that bind the task: with one, its next run may only start
  ///   there; with several, nowhere. A long-running task is bound for a limited time only.
  std::vector<TargetId> BindingTargets(const TaskKey& key, TimePoint now) const;
  /// \returns true if a task that is bound to \a binding may start on \a target.
  static bool AllowsStart(const std::vector<TargetId>& binding, const TargetId& target) {
    return binding.empty() || (binding.size() == 1 && binding.front() == target);
  }
  /// \returns true if the end may not be acknowledged yet, since a start of its task may still be
  ///   carried out after which the rules allow none.
  bool IsHeld(const internal::UnackedEnd& end, TimePoint now) const;
  /// \returns the highest number up to which the target's ends may be acknowledged.
  std::uint64_t LastAcknowledgeableEnd(const Target& target, TimePoint now) const;
  /// \returns true if an incarnation that has answered no order of this owner may still carry out a
  ///   start of the task's run that an earlier owner sent.
  bool InheritedStartMayArrive(const Task& task, TimePoint now) const;
  /// Requeues the runs of unregistered targets that \a entry has replaced at their address.
  void RequeueRunsOfReplacedTargets(const TargetEntry& entry, TimePoint now);
  /// Requeues the runs \a lost of a target, which have ended for certain.
  void RequeueLostRuns(Target* target, const std::set<TaskKey>& lost, TimePoint now,
                       const char* cause);
  /// \returns the runs on a target without a lease that have ended for certain. A run whose start
  ///   may still be carried out by a next incarnation is not among them, unless it is long-running.
  std::set<TaskKey> RunsWithoutLease(const Target& target, TimePoint now);
  /// Requeues the runs whose lease has expired and removes targets that are gone.
  void ExpireLeases(TimePoint now);
  void SendDueHolds(TimePoint now);
  /// \returns the lease bounds to store: those of targets with tasks that have never answered, or
  ///   not for some seconds.
  LeaseBounds CurrentLeaseBounds(TimePoint now) const;
  /// \returns the present `LeaseRecord::long_leases`.
  LeaseBounds CurrentLongLeases(TimePoint now) const;
  /// \returns true if bounds should be written although nothing else has changed.
  bool LeaseBoundsDue(const LeaseBounds& bounds, TimePoint now) const;
  /// Notes that the write of the last `BeginLeaseRecord` is in the store.
  void ConfirmLeaseRecord(TimePoint now);
  /// \returns true if the store may hold a lease bound of the target, so its lease must not be
  ///   extended.
  bool HasLeaseBound(const TargetId& target) const;
  /// Removes unconfirmed starts that have expired, and sends stops that cancel unwanted ones.
  void CancelUnconfirmedStarts(const TargetId& id, Target* target, TimePoint now);
  void SendHold(Target* target, TimePoint now);
  /// Computes a new end of a target's lease and moves `own_lease_expires_at` accordingly.
  /// \returns nothing if the target's clock is unknown or the store has not answered for too long.
  std::optional<TargetTime> ExtendLease(Target* target, TimePoint now);
  /// \returns the end of the lease for the start of a run: the present one if \a resent is set or
  ///   enough of it is left, else that of `ExtendLease`; nothing for the first start to a target
  ///   that does not answer.
  std::optional<TargetTime> LeaseForStart(Target* target, bool resent, TimePoint now);
  /// \returns true if the store has confirmed this owner recently enough for orders with a lease.
  bool MayExtendLeases(TimePoint now) const;
  /// \returns when a lease of the duration \a lease ends at the latest, if its order arrives at
  ///   \a arrival.
  TimePoint LeaseExpiry(TimePoint arrival, Duration lease) const;
  /// Notes until when the deadline of an order may arrive at the target.
  void NoteDeadline(Target* target, const internal::SentOrder& sent, OrderStatus status,
                    TimePoint now);
  /// Accounts for a deadline that was sent to an earlier incarnation of the target and arrives at
  /// \a arrival.
  void CoverEarlierDeadlines(Target* target, TimePoint arrival);
  /// Notes that \a sent was carried out by the incarnation \a answered_by, which has seen its
  /// token. If no order with a deadline to an earlier incarnation has one as high, the deadlines of
  /// those set no lease from the answer on.
  static void NoteRefusalOfEarlierOrders(Target* target, const internal::SentOrder& sent,
                                         std::uint64_t answered_by);
  /// \returns the time by which every run on the target has ended unless its lease is extended.
  static TimePoint LeaseEnd(const Target& target);
  /// \returns true if a long-running task should not start on the target yet, since it would be
  ///   without a run for too long if the target were lost.
  bool AwaitsShorterLease(const Target& target, const Submission& submission, const Task& task,
                          TimePoint now) const;
  /// \returns true if deadlines that were sent to an earlier incarnation may make the lease end
  ///   later than a deadline that is sent now.
  bool MayHoldLongerLease(const Target& target, TimePoint now) const;
  /// \returns the latest end of a lease that the target's incarnation may have from a deadline for
  ///   an earlier one.
  static TimePoint LongLeaseExpiry(const Target& target);
  /// \returns where the end of the target's lease comes from, as in the log.
  static const char* LeaseSource(const Target& target);
  /// Discards what is known of a target's clock, which starts anew in each incarnation.
  static void ForgetClock(Target* target);
  /// Stores a reading of a target's clock unless a later one is known.
  /// \param requested_at when the order was sent whose answer has the reading
  void UpdateClock(Target* target, const std::optional<TargetTime>& clock, TimePoint requested_at,
                   TimePoint now);
  /// Sets `CellTarget::clock_at` of the readings that came since the last `Tick`.
  void DateClockReadings(TimePoint now);
  /// Adds a task to a target's load (\a sign 1) or removes it (\a sign -1).
  void UpdateLoad(Target* target, const TaskKey& key, const StepSpec& spec, int sign);
  /// \returns a lower bound of the target's clock at \a now, for a clock that is slow by up to the
  ///   fraction \a drift.
  static TargetTime EstimateClock(const Target& target, TimePoint now, double drift);

  // Tasks that crash their targets (cell_crashes.cc).
  /// \returns the runs on the target that had not lasted for `CrashSettings::suspicion_time` when
  ///   the target last answered, before it was lost at \a lost_at.
  std::vector<internal::LostRun> RecentRuns(const Target& target, TimePoint lost_at);
  /// \returns the loss of a target that is found to be lost at \a now, if it has answered until
  /// then.
  static TargetLoss LossOf(const Target& target, TimePoint now);
  LossKind KindOfLoss(const Target& target, TimePoint now) const;
  /// Suspects the recent runs of a target that was lost, and counts the crash against them if
  /// \a proven. Called before the runs are requeued.
  void RecordLoss(Target* target, bool proven, TimePoint now);
  /// Counts a crash against the tasks of \a runs. Submissions of tasks with too many crashes fail.
  void CountCrash(std::vector<internal::LostRun>* runs, LossKind kind, bool proven,
                  const TargetId& target);
  /// Counts the crash of a target whose lease had expired before it registered again.
  void CountUnprovenCrash(const TargetEntry& entry, TimePoint now);
  /// Forgets the suspicion against the task of a run that has lasted long enough.
  void ClearSuspicion(Target* target, const TaskKey& key, Task* task, TimePoint now);
  /// Stops the runs of the submissions in `ending_submissions` and ends those without runs.
  void EndPendingSubmissions(TimePoint now);
  /// \returns true if no run was started on the target for `CrashSettings::quiet_time`, and it is
  ///   not kept for another task than \a key.
  bool IsQuiet(const Target& target, const TaskKey& key, TimePoint now);
  /// Keeps a target for a suspected task until it is quiet, unless one is kept for it already.
  void KeepTargetForSuspect(const Submission& submission, const TaskKey& key, TimePoint now);
  /// Releases the targets whose suspected task neither runs there nor waits for a quiet target.
  void ReleaseKeptTargets(TimePoint now);
  /// \returns true if another target may be kept for a suspected task.
  bool MayIsolate() const;
  /// Ends the isolation of the suspect that the target is kept for, as another task starts there.
  void EndIsolation(Target* target);
  /// \returns true if the task has to be started apart from others and may still wait for a target
  ///   where it can be.
  bool WaitsForQuietTarget(const StepSpec& spec, const Task& task, TimePoint now) const;

  // Lists of running and finished runs (cell_lists.cc).
  void HandleFinishedRun(Target* target, const FinishedRun& end, TimePoint now);
  /// Handles the end of a run that is not the current one of its task, such as that of a run whose
  /// lease was thought to have expired. If it ended as done, its task is done.
  /// \param target that reported the end; null if the owner of another cell forwarded it
  void HandleLateEnd(Target* target, const FinishedRun& end, TimePoint now);
  /// Marks a task without a run as done. If it has one, the run is stopped first, since it uses
  /// resources until it has ended. \returns true if it has one.
  bool CompleteOrStop(Submission* submission, const TaskKey& key, Task* task, RunNumber done_run,
                      TimePoint now);
  /// Marks a task as done and releases its resources.
  void FinishTask(Submission* submission, const TaskKey& key, Task* task);
  /// Marks the task of a successful run as done; for a gang, all of its tasks.
  void CompleteTask(Submission* submission, const FinishedRun& end);
  /// Counts a failed run against its target and task; the submission fails at `max_attempts`.
  void RecordFailure(Target* target, Submission* submission, const TaskKey& key, Task* task,
                     TimePoint now);
  void HandleListedRun(Target* target, const RunningRun& row, TimePoint now);
  /// Requeues tasks whose runs are missing from a complete list although the list must contain
  /// them.
  void HandleMissingRuns(Target* target, std::uint64_t hold_number,
                         const std::set<TaskKey>& reported_runs, TimePoint now);
  /// \returns true if a target has reported a run of the task that no task accounts for and that
  ///   has not ended yet. No other run of the task may start meanwhile.
  bool HasOrphanedRun(const TaskKey& key) const;
  /// Sends the stops that are due to the orphaned runs of the target.
  void StopOrphanedRuns(Target* target, TimePoint now);
  /// Stops a reported run that no task of the cell accounts for.
  void StopOrphanedRun(Target* target, const RunningRun& row, TimePoint now);
  /// Records the progress of a reported run, and moves a run that stalls or is too slow.
  void CheckProgress(Target* target, const RunningRun& row, Submission* submission, Task* task,
                     TimePoint now);

  // Ends of tasks that another cell has, see docs/design/moves.md (cell_foreign_ends.cc).
  /// \returns true if an end as done of the task is to wait for the owner of another cell: the
  ///   submission is not in this cell, or a write that moves it is open and may take effect.
  bool IsForeignEnd(const FinishedRun& end);
  /// Settles an end whose effects are in memory, once no start of its task may be carried out after
  /// its acknowledgement.
  void SettleOnceAcknowledgeable(const ForwardedEnd& end, TimePoint now);
  /// Handles the foreign ends of submissions that are in the cell after all, since the write of
  /// their move was rejected or since they have come back.
  void ApplyLocalEnds(TimePoint now);
  /// Forgets a foreign end whose effects are in the store, or are in the next commit.
  void SettleForeignEnd(const ForwardedEnd& end, TimePoint now);
  /// \returns the highest end number of the target up to which no end waits for another cell.
  static std::uint64_t LastLocalEnd(const Target& target);
  /// \returns where the submission is, for the log: `here`, `moving` while the write that moves it
  ///   is open, `moved` to another cell by this owner, or `unknown`.
  const char* WhereaboutsOf(const SubmissionId& id) const;

  // Sharing of a target between serving and best-effort tasks (cell_sharing.cc). A best-effort task
  // has `StepSpec::best_effort` set and uses the processors that other tasks leave idle.
  std::vector<std::pair<TaskKey, Task*>> BestEffortTasksOn(const Target& target);
  /// \returns the harm up to which a best-effort task of the step accepts a target; nothing if only
  ///   the present tails count.
  std::optional<double> HarmAcceptedBy(const Submission& submission, std::uint32_t occurrence,
                                       std::uint32_t step, TimePoint now) const;
  /// \returns the time that the step may wait without making its submission late; negative if it
  ///   is late.
  Duration SlackOf(const Submission& submission, std::uint32_t occurrence,
                   std::uint32_t step) const;
  /// \returns what matters for the placement of a task.
  PlacementRequest RequestFor(const Submission& submission, const TaskKey& key, TimePoint now);
  /// Notes that a step waits since its tasks would do too much harm on all targets with room.
  void BeginHarmWait(const TaskKey& key, StepProgress* step, TimePoint now);
  /// Passes the reported tails, less the slowdown by \a aggressors, to the levels of the load.
  void UpdateTailLevels(Target* target, std::vector<Aggressor> aggressors, TimePoint now);
  /// Adds the best-effort runs that ended so lately that the reported tails still show them.
  void AddEndedAggressors(Target* target, std::vector<Aggressor>* aggressors, TimePoint now);
  /// Adds the time that the target's last report covers to the share over the bounds.
  void UpdateOverBoundShare(Target* target, TimePoint now);
  /// Rebuilds the lists of serving and best-effort tasks in the target's load.
  void UpdateSharingLists(Target* target);
  /// Passes the reported tails of the target to the interference model.
  void UpdateInterferenceModel(Target* target, TimePoint now);
  /// Decides the paces of the target's best-effort tasks and sends those that changed.
  void AdjustPaces(Target* target, TimePoint now);
  void SendPace(Target* target, const TaskKey& key, Task* task, std::uint32_t pace, double ratio,
                TimePoint now);
  /// Moves a best-effort task that has been throttled for long if it fits on another target.
  void MoveIfThrottled(Target* target, const TaskKey& key, Task* task, TimePoint now);

  struct PendingStep;

  // Learned durations (cell_durations.cc).
  /// \returns what is known of the time of the step's tasks.
  LearnedDuration LearnedOf(const Submission& submission, std::uint32_t step) const;
  /// \returns the usual time of a task of each step.
  std::vector<Duration> UsualDurations(const Submission& submission) const;
  /// Learns from the successful end of a run on \a target.
  void LearnDuration(const Target& target, const Submission& submission, const TaskKey& key,
                     const Task& task, TimePoint now);

  // Cost of delay (cell_delay.cc), see delay_cost.h.
  /// Work that found no target in this scheduling round.
  struct UnplacedWork {
    ServiceId service;
    bool best_effort = false;
    SubmissionId submission;  ///< the first in the order
  };
  /// \returns what the learned durations say about the submission, up to half a second old.
  const WorkEstimate& EstimateOf(Submission* submission);
  /// \returns `WorkEstimate::last_chance`.
  std::vector<std::chrono::milliseconds> LastChances(const Submission& submission) const;
  /// Adds the size of a new submission to those of its queue.
  void ObserveSize(Submission* submission);
  /// Records, once, whether a submission was served in time.
  void RecordServed(Submission* submission, bool in_time);
  /// \returns the place of a step in the waiting order; its value only while room is scarce.
  WaitingStep DescribeWork(Submission* submission, std::uint32_t occurrence, std::uint32_t step);
  /// Chooses the steps that are completed in time and sets the ranks of all.
  void ChooseWork(std::vector<PendingStep>* pending_steps);
  /// \returns true if a step that earns nothing must wait, since other work found no target.
  bool IsHeldBack(const PendingStep& pending, const std::vector<UnplacedWork>& unplaced);
  /// \returns true if a ready target could take a task of the step if it were empty.
  bool FitsEmptyTarget(const PendingStep& pending) const;
  /// Notes that a task of the step found no target in this scheduling round.
  void NoteUnplaced(const PendingStep& pending, std::vector<UnplacedWork>* unplaced, TimePoint now);
  /// Logs, once for each submission and reason, that work is delayed for other work.
  void LogDelayed(const PendingStep& pending, const char* reason, const SubmissionId& preferred);
  /// \returns the value that a stop of the run costs; 0 while room is not scarce.
  /// \param lost time that the next run needs for the work that the stop throws away
  double LossOfStop(Submission* submission, const TaskKey& key, const Task& task, Duration lost);

  // Orders and task phases (cell_tasks.cc).
  /// Sends the starts and stops that are due for the first time or again.
  void SendDueOrders(TimePoint now);
  void SendStart(Submission* submission, const TaskKey& key, Task* task, TimePoint now);
  /// \returns true if the task's target, or each target of its gang, has room for all of its tasks.
  bool FitsOnTargets(const Submission& submission, const TaskKey& key) const;
  /// Gives up a start, and those of the other members of its gang: requeues a task whose start was
  /// not sent, and stops the run of any other.
  void WithdrawStart(Submission* submission, const TaskKey& key, Task* task, const char* cause,
                     TimePoint now);
  void SendStop(const TaskKey& key, Task* task, TimePoint now);
  /// Sets a task to `kStopping`; `SendDueOrders` sends the stop.
  void BeginStop(const TaskKey& key, Task* task, StopReason reason, TimePoint now);
  /// Releases the resources of a task and lets the task wait for its next run.
  void Requeue(Submission* submission, const TaskKey& key, Task* task, const char* cause,
               TimePoint now);
  /// \returns the time since a run of the task was last known to exist, counted from the takeover
  ///   of the cell at the earliest; 0 if none is known.
  Duration TimeWithoutRun(const Task& task, TimePoint now) const;
  /// \returns the same for a task that had a run, else the time since it began to wait.
  Duration TimeWaiting(const Submission& submission, const Task& task, TimePoint now) const;
  void ReleaseResources(Submission* submission, const TaskKey& key, Task* task);
  /// Stops or requeues all tasks of a gang after one of them has ended.
  void StopGang(Submission* submission, const TaskKey& key, TimePoint now);
  /// Stops or requeues all tasks of a submission.
  void StopAllRuns(Submission* submission, StopReason reason, TimePoint now);
  /// Logs that runs of cancelled submissions have not ended in time: one line for all that are
  /// found late at the same time, and each submission once.
  void LogLateStops(TimePoint now);
  /// Adds the tasks of the submission that hold resources to \a holders.
  static void AddHolders(const Submission& submission,
                         std::vector<std::pair<TaskKey, const Task*>>* holders);
  /// Ends a submission if all its tasks are done, or if it was cancelled or failed and no task
  /// holds resources.
  void EndIfFinished(Submission* submission);
  /// Removes and returns the context of a sent order. \returns nothing if it was answered before.
  std::optional<internal::SentOrder> TakeSentOrder(OrderTicket ticket);
  void EnqueueStop(Target* target, const TaskKey& key, RunNumber run, bool orphaned_run,
                   TimePoint now);
  /// Makes an order again that was refused for its former token, if it is still wanted.
  void RepeatRefusedOrder(Target* target, const internal::SentOrder& sent, TimePoint now);
  /// \param origin the incarnation that has answered
  void OnStartReply(const internal::SentOrder& sent, const OrderReply& reply, AnswerOrigin origin,
                    TimePoint now);
  /// Notes that \a target has confirmed the run of a task that was starting.
  /// \param origin the incarnation that has confirmed it
  void ConfirmRun(const Target& target, Submission* submission, const TaskKey& key, Task* task,
                  AnswerOrigin origin, TimePoint now);
  /// Notes that the present incarnation of its target has shown the run of the task, so that a
  /// crash of this incarnation counts against the task.
  void MarkConfirmed(const TaskKey& key, Task* task);
  void OnStopReply(const internal::SentOrder& sent, const OrderReply& reply, TimePoint now);
  void EnqueueOrder(Target* target, decltype(Order::order) order, Duration timeout,
                    internal::SentOrder sent, TimePoint now);

  // Scheduling rounds (cell_schedule.cc).
  /// A step of one occurrence that has waiting tasks and whose preceding steps are done.
  struct PendingStep {
    Submission* submission;
    std::uint32_t occurrence;
    std::uint32_t step;
    WaitingStep sort_key;
    DelayRank rank;  ///< set while room is scarce
  };
  /// Adds the occurrences of repeating submissions whose start time has come.
  void AddDueOccurrences();
  /// Runs one scheduling round: assigns targets to waiting tasks, in the order of waiting_order.h.
  void Schedule(TimePoint now);
  /// \returns the pending steps of all submissions, in the order in which to schedule them: that of
  ///   waiting_order.h, and while room is scarce that of delay_cost.h.
  std::vector<PendingStep> CollectPendingSteps(TimePoint now);
  /// \returns true if a task of a long-running step had to leave its target, or has been without a
  ///   run for `CellSettings::starved_after`.
  bool IsStarved(const StepSpec& spec, const StepProgress& progress, TimePoint now) const;
  /// \returns true if a long-running step should not start yet, since only a part of its tasks fits
  ///   and its submission may move to another cell.
  bool WaitsForWhole(const PendingStep& pending, TimePoint now) const;
  /// Assigns targets to the waiting tasks of a step. \returns false if one found no target.
  bool PlaceTasks(const PendingStep& pending, TimePoint now);
  /// Assigns targets to all tasks of a gang or to none. \returns true if all were placed.
  bool PlaceGang(const PendingStep& pending, TimePoint now);
  /// \returns the target with the best placement score, or nullptr if the task fits nowhere.
  Target* ChooseTarget(const Submission& submission, const TaskKey& key, const Task& task,
                       TimePoint now);
  /// \returns true if the target's data centre is under evacuation.
  bool IsEvacuated(const Target& target) const {
    return this->evacuated_data_centres.count(target.entry.data_centre) != 0;
  }
  /// \returns true if the target is registered as ready and not under evacuation.
  bool IsReady(const Target& target) const {
    return target.registered && target.entry.state == TargetState::kReady &&
           !this->IsEvacuated(target);
  }
  // Cold targets and returning data centres (cell_warmup.cc).
  /// Sets the number of runs that each cold target may have in this scheduling round.
  void UpdateRunLimits(TimePoint now);
  /// \returns the number of further runs that the target may get, reservations counted as runs.
  static std::uint32_t RunsLeft(const Target& target);
  /// \returns true if the target takes new work.
  bool TakesWork(const Target& target, TimePoint now) const;
  /// \returns true if the target takes new work and matches the service and the label. Free
  ///   resources are not checked.
  bool MayRunOn(const Target& target, const StepSpec& spec, const ServiceId& service,
                TimePoint now) const;
  /// \returns the number of tasks of the step of \a key that hold resources on the target.
  std::uint32_t CountTasksOfStep(const Target& target, const TaskKey& key) const;
  /// Assigns a target to a task. The start is sent once the assignment is in the store.
  void Assign(Submission* submission, const TaskKey& key, Task* task, Target* target, RunNumber run,
              TimePoint now);

  // Draining targets and reservations (cell_evacuation.cc). Reservations last for one
  // scheduling round, but those on the destination of a task are made anew in each.
  /// Moves long-running tasks off draining targets, ahead of all work that waits. Reserves
  /// resources on other targets for those that fit nowhere yet, or whose target has left or is
  /// silent and whose lease has not expired.
  void EvacuateLongRunningTasks(TimePoint now);
  /// Keeps the resources of the destinations for the tasks on targets that are leaving.
  void KeepDestinations(TimePoint now);
  /// Logs, once for each drain, that a run cannot leave the target yet.
  void LogEvacuationWait(Target* target, const TaskKey& key, TimePoint now);
  /// Stops runs on draining targets that end by themselves but not in time, and that fit elsewhere.
  void MoveRunsOffDrainingTargets(TimePoint now);
  /// Reserves resources for the waiting tasks of a starved step that had a run and have no
  /// reservation yet, see `ReserveResources`.
  /// \param with_destination only for tasks that have a destination
  void ReserveForStep(const PendingStep& pending, bool with_destination, TimePoint now);
  /// \returns true if a waiting task of the step has a destination, where resources are kept for
  /// it.
  static bool HasDestination(const PendingStep& pending);
  /// Removes the reservation of a task that has a destination, if there is one.
  void ReleaseReservation(const Submission& submission, const TaskKey& key, const Task& task);
  /// Reserves resources for a long-running task, among the targets where it fits once the short
  /// tasks have ended: on its destination, else on the one that has the most left. Does nothing if
  /// there is none.
  /// \returns true if resources are reserved
  bool ReserveResources(const Submission& submission, const TaskKey& key, Task* task,
                        TimePoint now);
  /// \returns true if resources for the task may be reserved on the target: it fits there once the
  ///   short tasks have ended and the present reservations are used.
  bool MayReserveOn(const Target& target, const Submission& submission, const TaskKey& key,
                    TimePoint now) const;
  void ReserveOn(Target* target, const Submission& submission, const TaskKey& key);
  void ReleaseReservationOn(Target* target, const Submission& submission, const TaskKey& key);
  /// \returns true if so few targets are silent that these have failed, not a network.
  bool FewTargetsSilent() const;
  /// \returns true if the long-running runs of the target need another place: it drains, it has
  ///   been silent for too long, or it is silent and its lease expires soon.
  bool IsLeaving(const Target& target, bool few_silent, TimePoint now) const;
  /// \returns true if the task of a target that is leaving may lose its run there.
  static bool NeedsPlace(const Target& target, const Task& task);
  /// \returns true if no further task of the step of \a key may run on the target, counting the
  ///   tasks that resources are reserved for.
  bool IsAtStepLimit(const Target& target, const StepSpec& spec, const TaskKey& key) const;

  // Stops that free reserved resources (cell_preemption.cc).
  /// Runs to stop on a target, and what that costs.
  struct PreemptionPlan {
    Target* target = nullptr;
    std::vector<TaskKey> runs;      ///< none if the place is free or is being freed
    std::int32_t top_priority = 0;  ///< of the runs; the lowest number
    double lost_value = 0.0;        ///< see `LossOfStop`
    double lost_work = 0.0;         ///< in processor time, microseconds
  };
  /// Stops runs that are not long-running where resources have been reserved for too long.
  void PreemptForReservations(TimePoint now);
  /// \returns true if the place reserved for a task has to be free soon.
  bool IsPlaceDue(const Submission& submission, const TaskKey& key, const Task& task,
                  TimePoint now);
  /// \returns the plan that frees a place for the task at the least cost, on its destination if
  ///   that is possible, or nothing if stops would not help.
  std::optional<PreemptionPlan> PlanPreemption(const Submission& submission, const TaskKey& key,
                                               const Task& task, TimePoint now);
  std::optional<PreemptionPlan> PlanPreemptionOn(Target* target, const Resources& need);
  /// Stops the runs of \a plan for the task \a preferred.
  void Preempt(const PreemptionPlan& plan, const TaskKey& preferred, TimePoint now);
  std::size_t CountPreemptionsUnderWay();

  /// \returns the service whose targets run the submission.
  ServiceId ServiceOf(const Submission& submission) const;
  /// \returns the queue's active settings, or those at acceptance if the queue no longer exists.
  const QueueSettings& QueueOf(const Submission& submission) const;

  /// Adds a submission to the next commit. \a urgent selects the shorter commit interval.
  void MarkDirty(const SubmissionId& id, bool urgent = false);
  Submission* FindSubmission(const SubmissionId& id);
  Target* FindTarget(const TargetId& id);
  void Log(EventCode code, std::vector<std::pair<std::string, std::string>> fields);

  CellId cell_id;
  CellSettings settings;
  FencingToken taken_at_revision;
  FencingToken confirmed_revision;  ///< of the last confirmed write of this owner
  FencingToken highest_token;       ///< see `token`
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  std::map<TargetId, Target> targets;
  std::set<DataCentreId> evacuated_data_centres;
  bool fully_evacuated = false;         ///< `IsFullyEvacuated` at the last `NextMove`
  std::set<DataCentreId> data_centres;  ///< of all targets that the cell has had
  ReturnLimit return_limit;
  InterferenceModel interference_model;
  OverBoundShare over_bound_share;
  bool weighs_harm = false;  ///< the expected harm of best-effort work is weighed
  /// The last `ChooseTarget` that found no target left out one only because of the expected harm.
  bool blocked_by_harm = false;
  DurationModel duration_model;
  ServiceShares service_shares;
  WaitingProfile waiting_profile;        ///< see `WaitingWork`
  bool scarce = false;                   ///< some step found no target a short time ago
  std::optional<TimePoint> unplaced_at;  ///< when a step last found no target
  double batch_in_use = 0.0;             ///< processors of running tasks of priority 1 and up
  double best_effort_in_use = 0.0;       ///< the same of best-effort tasks
  std::map<SubmissionId, Submission> all_submissions;
  std::set<SubmissionId> open_submissions;  ///< submissions that have not ended
  /// Cancels read before their submission or before loading has finished.
  std::map<SubmissionId, CancelSource> early_cancels;
  /// Cancelled submissions with runs, and when they are logged as late to end.
  std::map<SubmissionId, TimePoint> ending_cancelled;
  std::map<SubmissionId, SubmissionState> durable_states;  ///< states in the store
  std::deque<SubmissionId> ended_submissions;              ///< oldest first, until deletion
  std::deque<SubmissionId> dirty;    ///< submissions with changes that are in no commit yet
  std::set<SubmissionId> dirty_set;  ///< the elements of `dirty`
  std::vector<std::pair<TaskKey, RunNumber>> uncommitted_assignments;  ///< in no commit yet
  std::set<TaskKey> orphaned_tasks;     ///< with an orphaned run in this scheduling round
  std::set<TaskKey> tasks_with_orders;  ///< tasks that are being started or stopped
  std::optional<EarlierCount> earlier_count;
  std::optional<internal::PendingCommit> open_commit;      ///< not confirmed by the store yet
  std::map<OrderTicket, internal::SentOrder> sent_orders;  ///< not answered yet
  OpenStarts open_starts;                                  ///< of all targets
  std::vector<OutgoingOrder> orders;                       ///< for the next `TakeOrders`
  std::vector<EventRecord> events;                         ///< for the next `TakeEvents`
  CellCounters counts;
  OrderTicket next_ticket = 1;
  std::uint64_t next_commit = 1;
  std::optional<MoveBatch> open_move;  ///< not confirmed by the store yet
  std::set<SubmissionId> leaving;      ///< those with `Submission::leaving_for`
  TimePoint next_leaving_at{};         ///< runs are stopped for moves from then on
  LeaseWitnesses witnesses;
  LeaseBounds inherited_long_leases;       ///< in the store when the cell was taken
  LeaseBounds stored_bounds;               ///< in the store
  std::optional<LeaseBounds> open_bounds;  ///< of the open commit or move
  TimePoint bounds_written_at{};           ///< when the last bounds were computed for a write
  /// A submission's record in the cell's inbox, and its store revision.
  struct InboxRecord {
    AcceptedSubmission accepted;
    std::uint64_t revision = 0;
  };
  /// Submissions that have come back while the write that moves them away is not confirmed.
  std::map<SubmissionId, InboxRecord> returned;
  std::set<SubmissionId> unreadable;  ///< submissions that were left out
  /// Store revisions of the moves of submissions to other cells.
  std::map<SubmissionId, std::uint64_t> moved_away;
  /// Ends as done of submissions that are not in this cell, or that a write moves.
  std::set<ForwardedEnd> foreign_ends;
  std::set<ForwardedEnd> inbox_ends;  ///< in the cell's inbox and in no commit yet
  /// Ends whose effects are in memory and that wait, since a start of their task may arrive.
  std::set<ForwardedEnd> applied_ends;
  std::set<ForwardedEnd> settled_ends;  ///< elements of the inbox for the next commit
  std::map<std::string, internal::UnprovenCrash> unproven_crashes;  ///< by the target's address
  std::deque<TargetLoss> recent_losses;          ///< oldest first, see `CrashSettings`
  std::vector<SubmissionId> ending_submissions;  ///< failed or cancelled, to be ended
  std::deque<SubmissionId> moved_away_order;     ///< oldest first, to bound the memory
  TimePoint other_cells_seen_at{};               ///< when there was last another cell with an owner
  TimePoint acquired_at{};                       ///< when this process became the owner
  /// Targets that were removed from `targets`, as long as a deadline for them may set a lease in a
  /// later incarnation.
  std::map<TargetId, internal::ForgottenTarget> forgotten_targets;
  bool is_first_owner = false;         ///< see `SetFirstOwner`
  TimePoint no_owner_at{};             ///< see `InheritAbsence`
  TimePoint ownership_confirmed_at{};  ///< see `ConfirmOwnership`
  TimePoint last_commit_at{};
  TimePoint last_schedule_at{};
  TimePoint next_load_log_at{};
  TimePoint next_overdue_log_at{};
  TimePoint next_late_stop_log_at{};
  WallTime wall_time{0};  ///< wall clock at the last `Tick`
  bool ticked = false;    ///< `Tick` has been called, so `wall_time` is known
  bool loaded = false;
  bool is_fenced = false;        ///< see `fenced`
  bool schedule_due = false;     ///< something changed since the last scheduling round
  bool token_write_due = false;  ///< a target waits for a write to raise its token
  bool commit_urgent = false;    ///< a caller or a start waits for the next commit
  /// See `SetRegistrationsCurrent`.
  bool registrations_current = true;
};

}  // namespace pistachio
