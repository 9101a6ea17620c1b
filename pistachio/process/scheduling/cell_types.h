#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/scheduling/answer_origin.h"
#include "pistachio/process/scheduling/crash_blame.h"
#include "pistachio/process/scheduling/delay_cost.h"
#include "pistachio/process/scheduling/duration_model.h"
#include "pistachio/process/scheduling/lease_witnesses.h"
#include "pistachio/process/scheduling/move_choice.h"
#include "pistachio/process/scheduling/orders.h"
#include "pistachio/process/scheduling/placement.h"
#include "pistachio/process/scheduling/straggler.h"
#include "pistachio/process/scheduling/submission.h"
#include "pistachio/process/scheduling/target_health.h"
#include "pistachio/process/scheduling/warmup.h"

namespace pistachio {

/// \brief Limits for the stops that make room for long-running tasks without a place.
///
/// Designed for cells that are full of batch tasks, whose ends would come too late for a
/// long-running task that has to run again within 6 s.
struct PreemptionSettings {
  /// Time for which a reserved place may wait for the ends of tasks that are not long-running.
  Duration patience = std::chrono::milliseconds(1000);
  /// Nothing is stopped for a run on a draining target as long as the target stays for longer than
  /// this time.
  Duration ahead_of_exit = std::chrono::milliseconds(5000);
  /// Time without an answer after which places are reserved for the runs of a target.
  Duration max_silence = std::chrono::milliseconds(2000);
  /// Nothing is stopped for a run on a silent target until its lease expires within this time. A
  /// stop takes some tenths of a second. A target that was cut off answers up to
  /// `silent_hold_timeout` after it can be reached again.
  Duration ahead_of_expiry = std::chrono::milliseconds(1000);
  /// Time before the expiry of a silent target's lease from which on places are reserved for its
  /// runs, however many targets are silent. Short tasks take that long to end.
  Duration reserve_ahead_of_expiry = std::chrono::milliseconds(3000);
  /// Largest share of the cell's targets that may be silent for places to be reserved earlier, and
  /// for runs to be stopped there; a single one always may. If more are, a network rather than a
  /// target has failed.
  double max_silent_share = 0.1;
  /// Number of times that one task may be stopped. A task without checkpoints starts anew each
  /// time.
  std::uint32_t max_per_task = 3;
  /// Most stops that may be under way in the cell.
  std::size_t max_under_way = 64;
};

/// \brief Timeouts, intervals and limits of a cell's scheduler.
///
/// A hold is the request of a `HoldOrder`: it extends the lease of all runs on a target and returns
/// the lists of running and finished runs. Ends are the numbered entries of the finished list.
struct CellSettings {
  /// Lease duration: how far ahead of a target's clock a start or a hold sets the end of the lease.
  /// It is long enough for runs to survive 6 s in which their data centre is cut off, and much
  /// longer than the takeover of a cell (2 s). On the other hand, the tasks of a lost target start
  /// elsewhere only after the lease has expired.
  Duration lease_duration = std::chrono::milliseconds(7500);
  /// Longest lease that a target grants. It shortens the lease of a later deadline to this.
  Duration max_lease_duration = std::chrono::seconds(10);
  /// Replaces `lease_duration` on a draining target. Its long-running tasks that could not leave it
  /// must run elsewhere 6 s after it exits, and only the expiry of the lease proves that they have
  /// ended. It still exceeds the takeover of a cell.
  Duration draining_lease_duration = std::chrono::milliseconds(4000);
  /// A long-running task does not start on a target whose lease from deadlines for earlier
  /// incarnations may last longer than this. If the target is then lost, the task runs again only
  /// after that lease, and has to within 9 s.
  Duration max_lease_at_long_running_start = std::chrono::milliseconds(8300);
  /// A start extends the lease of its target only if less than this time is left of it. Until then,
  /// a hold that gets lost can be sent again.
  Duration min_lease_at_start = std::chrono::milliseconds(4000);
  /// Longest time for which a target may delay the answer to a hold until a run ends. The platform
  /// accepts up to 2 s.
  std::chrono::milliseconds long_poll{1000};
  /// Replaces `long_poll` on a target with best-effort tasks where the tail latency of a serving
  /// task is near its bound.
  std::chrono::milliseconds long_poll_near_bound{350};
  /// Timeout of a hold, added to its long poll. Targets answer within milliseconds.
  Duration hold_timeout_margin = std::chrono::milliseconds(700);
  /// Timeout of a hold to a target whose last holds had no answer, so that one which only answers
  /// slowly keeps its runs.
  Duration silent_hold_timeout = std::chrono::milliseconds(2000);
  /// Delay before a rejected or unanswered hold is sent again.
  Duration hold_retry_delay = std::chrono::milliseconds(300);
  /// Time after the long poll of an unanswered hold, and after each further hold, at which a
  /// further hold is sent without waiting for the timeout.
  Duration overdue_hold_interval = std::chrono::milliseconds(300);
  /// Replaces `overdue_hold_interval` once `max_quick_holds` holds in a row had no answer.
  Duration silent_hold_interval = std::chrono::milliseconds(1000);
  std::uint32_t max_quick_holds = 5;
  /// Most holds to one target that may wait for their answers. Each occupies one of the target's
  /// connections, and starts and stops need the others.
  std::size_t max_open_holds = 4;
  /// Interval of holds to a target while some of its ends are not in the store yet.
  Duration uncommitted_poll_interval = std::chrono::milliseconds(130);
  /// A target's ends are acknowledged only within this time after its last answer. The time covers
  /// two `uncommitted_poll_interval`. End numbers restart with each incarnation of a target, so a
  /// late acknowledgement could discard ends of an incarnation that has not answered yet.
  Duration max_answer_age_for_ack = std::chrono::milliseconds(300);
  /// Interval of holds to a target with ends that may not be acknowledged yet. It answers each hold
  /// at once, as it lists them again.
  Duration held_end_poll_interval = std::chrono::milliseconds(200);
  /// Replaces `held_end_poll_interval` on a target without runs.
  Duration idle_held_end_poll_interval = std::chrono::milliseconds(1000);
  /// A target with that many ends that are not acknowledged gets no further run. It lists at most
  /// `kMaxFinishedPerReply`, and those of its present runs are to come.
  std::uint64_t max_unacked_ends = 300;
  /// Time after an acknowledgement without an answer before the next one. Each may be carried out
  /// late, by a next incarnation that numbers its ends anew.
  Duration ack_retry_delay = std::chrono::milliseconds(2000);
  /// An idle target gets another hold once the last reading of its clock is older than this time.
  Duration idle_hold_interval = std::chrono::milliseconds(10000);
  /// Time after which a start, a stop or a pace order counts as unanswered.
  Duration order_timeout = std::chrono::milliseconds(400);
  /// Delay before an unanswered start or a failed stop is sent again.
  Duration order_retry_delay = std::chrono::milliseconds(100);
  /// Time after which an unanswered order can no longer take effect. The platform's documentation
  /// gives 12 s as the longest delivery delay.
  Duration max_order_delay = std::chrono::seconds(13);
  /// Longest time until an owner that reaches the store has seen a new registration.
  Duration max_registration_delay = std::chrono::seconds(2);
  /// Time without a run after which a long-running task starts elsewhere although a target may
  /// still carry out an earlier start of it, or on a target with a longer lease. The task has to
  /// run again within 9 s of its last run.
  Duration max_safe_time_without_run = std::chrono::milliseconds(7500);
  /// After that many runs in a row without an answer to a start, a task waits until none of them
  /// can arrive and then starts elsewhere. A target that does not restart may answer holds and no
  /// start.
  std::uint32_t max_unanswered_runs = 2;
  /// Number of times that the start of one run is sent before the run is given up. Each send may be
  /// lost independently of the others.
  std::uint32_t max_start_attempts = 3;
  /// Time since the store's last answer for which the owner still extends leases, as far as the
  /// witnesses let it. Runs survive a store outage of this time plus `lease_duration`. A new owner
  /// that a majority of the witnesses has not answered waits for the same sum before it gives up
  /// runs on targets that it cannot reach. Store outages at the sites last up to 9 s.
  Duration store_outage_tolerance = std::chrono::seconds(6);
  WitnessSettings witnesses;
  /// Time without an answer after which the owner writes the lease bound of a target that it has
  /// reached before. Until the bound is removed again, it does not extend the lease of the target.
  /// A target that crashes and returns answers before that.
  Duration bound_after_silence = std::chrono::milliseconds(3500);
  /// Interval at which the owner writes the lease bounds of such targets. They count down, so
  /// after a change of owner the wait for a target is longer by up to this time.
  Duration lease_bounds_interval = std::chrono::milliseconds(500);
  /// Shortest time for which a new owner waits for a target with a lease bound. It covers one hold,
  /// so that a target that the new owner can reach is asked first.
  Duration min_inherited_wait = std::chrono::milliseconds(500);
  /// Largest fraction by which a target's clock may run slow.
  double clock_drift = 0.03;
  /// Time added to the computed end of a lease for the transmission of a clock reading.
  Duration clock_margin = std::chrono::milliseconds(50);
  /// Minimum interval of progress commits that a caller or a start waits for: assignments and ends
  /// of submissions. A write takes 6 ms, and the owners stay far below the store's rate limit.
  Duration urgent_commit_interval = std::chrono::milliseconds(20);
  /// Minimum interval of all other progress commits, such as ends of single tasks.
  Duration lazy_commit_interval = std::chrono::milliseconds(120);
  /// Time for which an assignment waits for its commit before it is given up on a target whose
  /// lease has expired.
  Duration max_commit_time = std::chrono::seconds(3);
  /// Time that a target may take to stop a run. After it, the stop is sent again.
  std::chrono::milliseconds stop_timeout{1000};
  /// Time beyond `stop_timeout` after which the runs of a cancelled submission are logged as late
  /// to end. It covers a stop that is sent again once.
  Duration late_stop_margin = std::chrono::milliseconds(1000);
  /// Time without a run after which a long-running task is scheduled before all other work. The
  /// time counts from when the last run was last known to exist. The task has to run again about 6
  /// s after its last run, and short tasks take a second or two to end and free their resources.
  Duration starved_after = std::chrono::milliseconds(1500);
  PreemptionSettings preemption;
  /// Time for which the state of an ended submission stays available to callers.
  std::chrono::milliseconds ended_retention{120000};
  /// Multiple of a submission's objective after which the submission has no value. The time counts
  /// from the acceptance, or from the start of each occurrence of a repeated submission.
  double hard_deadline_factor = 3.0;
  PlacementSettings placement;
  InterferenceSettings interference;
  DurationSettings durations;
  DelaySettings delay;
  TargetHealthSettings health;
  StragglerSettings straggler;
  MoveSettings move;
  CrashSettings crash;
  WarmupSettings warmup;
};

/// \brief Where the owner of a cell has learned of a cancel.
struct CancelSource {
  const char* from = "inbox";  ///< `inbox`, `own-request` or `load`, as in the log
  std::uint64_t revision = 0;  ///< store revision of the cancel mark; 0 if it is not known
};

/// \brief Number that matches an order to its answer, unique within one `Cell`.
using OrderTicket = std::uint64_t;

/// \brief An order that a cell has issued and the process that contains the cell has to send.
struct OutgoingOrder {
  OrderTicket ticket = 0;
  Order order;
  FencingToken token = 0;  ///< to be sent with the order
};

/// \brief One atomic write to the store: records of changed submissions and deletions.
struct CommitBatch {
  std::uint64_t number = 0;  ///< rising from 1; passed to `Cell::OnCommitted` to confirm the write
  std::vector<std::pair<SubmissionId, std::string>> records;  ///< encoded progress by submission
  std::vector<SubmissionId> deleted;  ///< ended submissions; the write deletes all their keys
  /// Ends in the cell's inbox whose effects are in the store with this write, which removes them.
  std::vector<ForwardedEnd> settled_ends;
  LeaseRecord leases;  ///< replaces that in the store
};

/// \brief One atomic write to the store that moves submissions to other cells. All their runs have
/// certainly ended.
struct MoveBatch {
  /// One submission, its record in this cell's inbox and its new cell.
  struct Row {
    AcceptedSubmission accepted;
    std::uint64_t revision = 0;  ///< store revision of the record
    CellId destination;
    std::string progress;  ///< encoded progress; empty if no task was ever assigned
    bool alone = false;    ///< no other submission may be in the write
    bool begun = false;    ///< a run of a task is known to have begun
  };
  /// \returns true if the store accepts the write with a further submission.
  /// \param begun a task of the submission was assigned
  bool HasRoomFor(bool begun) const;
  /// \returns true if the submission may be added to the write.
  /// \param alone the submission must be the only one
  bool Takes(bool begun, bool alone) const;

  std::uint64_t number = 0;  ///< passed to `Cell::OnMoved` and `Cell::OnMoveRejected`
  std::vector<Row> rows;
  LeaseRecord leases;  ///< replaces that in the store
};

/// \brief Event counts since this process became the owner of the cell, for metrics and logs.
struct CellCounters {
  std::uint64_t starts = 0;         ///< first sends of a start
  std::uint64_t start_retries = 0;  ///< repeated sends of a start
  std::uint64_t stops = 0;          ///< stop orders sent
  std::uint64_t holds = 0;          ///< holds sent
  std::uint64_t paces = 0;          ///< pace orders sent
  std::uint64_t ends_done = 0;      ///< runs that ended successfully
  std::uint64_t ends_failed = 0;    ///< runs that ended as failed
  std::uint64_t ends_other = 0;     ///< runs that ended otherwise, such as stopped or lease expired
  std::uint64_t starts_withheld = 0;  ///< starts given up since their target is under evacuation
  std::uint64_t harm_waits = 0;       ///< steps that waited for targets with less expected harm
  std::uint64_t moves = 0;            ///< submissions moved to other cells
  /// Moves that were begun because all targets of the cell are under evacuation.
  std::uint64_t evacuation_moves = 0;
  std::uint64_t targets_lost = 0;     ///< times that all runs on a target were given up as ended
  std::uint64_t targets_crashed = 0;  ///< crashes of targets, without those in outages
  std::uint64_t tasks_given_up = 0;   ///< tasks that crashed too many targets
  std::uint64_t set_aside = 0;  ///< submissions that waited since they could earn nothing any more
  std::uint64_t given_up = 0;   ///< submissions that waited since others were chosen to be in time
  std::uint64_t orphaned_runs = 0;   ///< reported runs that no task of the cell accounted for
  std::uint64_t forwarded_ends = 0;  ///< ends as done of tasks that the cell does not have
  std::uint64_t token_writes = 0;    ///< writes to the store only for a fencing token
  std::uint64_t late_stops = 0;      ///< runs of cancelled submissions logged as late to end
  std::uint64_t preemptions = 0;     ///< runs stopped to free reserved resources
  /// Declared work of completed tasks that are not long-running, in core-seconds.
  double ended_core_seconds = 0.0;
};

/// \brief What is left of an evacuation in a cell.
struct EvacuationProgress {
  std::size_t waiting_tasks = 0;  ///< of all steps that could start
  std::size_t runs = 0;           ///< on targets under evacuation
};

namespace internal {

/// Value of `Task::absent_after_hold` while a list without the run does not prove that the run is
/// gone.
constexpr std::uint64_t kListsInconclusive = std::numeric_limits<std::uint64_t>::max();

/// \returns the time that the current run of \a task has been at work, at its full speed, since
///   its start or since `Task::measured_from`.
Duration WorkedTime(const Task& task, TimePoint now);

/// \returns the resources that a task of \a spec counts with in `TargetLoad::used`.
Resources CountedResources(const StepSpec& spec);

/// A start that got no answer and may still take effect, also in a later incarnation of the target.
struct UnconfirmedStart {
  TimePoint valid_until{};  ///< the start can no longer take effect from then on
  /// When to send a stop to the current incarnation, which cancels the start. `TimePoint::max()`
  /// while the target has not restarted since the start, and once it has accepted the stop.
  TimePoint cancel_at{};
  /// The current incarnation has accepted a stop of the run, so it refuses the start.
  bool refused = false;
};

/// An end as done or failed that the target lists until it is acknowledged.
struct UnackedEnd {
  TaskKey task;
  bool done = false;
};

/// A run that a target has reported and that no task of the cell accounts for.
struct OrphanedRun {
  RunNumber run = 0;
  TimePoint next_stop_at{};  ///< earliest time of the next stop
};

/// What the owner of the cell knows of one target.
///
/// Each restart of a target begins a new incarnation, which knows nothing of the runs before.
struct CellTarget {
  TargetEntry entry;        ///< the last registration
  bool registered = false;  ///< whether the registration exists now
  /// Incarnation that the other fields describe: its start, in milliseconds since the Unix epoch.
  std::uint64_t incarnation = 0;
  TimePoint known_since{};  ///< since when this process has known the incarnation
  FencingToken token = 0;   ///< of all orders to the target that are made now
  bool token_used = false;  ///< an order with the token has been made
  /// Orders with the token are to be refused by the incarnation that is up, or by the next one. The
  /// next write raises the token.
  bool token_outdated = false;
  /// A hold carries the next token to the target at once, since a restart is the reason for it.
  bool announces_token = false;
  /// The token was raised for a restart, and the incarnation has answered no hold that carries it
  /// yet.
  bool token_unconfirmed = false;
  /// An answer has shown that a later incarnation is up whose number is not known yet. What the
  /// other fields describe has ended.
  bool restart_seen = false;
  std::uint64_t restart_seen_at_hold = 0;  ///< `holds_sent` when `restart_seen` was set
  std::optional<TargetTime> clock;  ///< last reading of the target's own clock, if there is one
  TimePoint clock_requested_at{};   ///< when the order was sent whose answer has the reading
  /// Time at which the clock had reached the reading for certain: that of the first `Tick` after
  /// the answer with the reading, or of its handling until then.
  TimePoint clock_at{};
  bool clock_is_new = false;       ///< there was no `Tick` since the reading
  bool first_list_is_new = false;  ///< there was no `Tick` since the first complete list
  /// When the answer with the reading was handled, as far as the process had noticed the time.
  TimePoint answered_at{};
  /// Latest end of the lease that an order has set, on the target's clock.
  std::optional<TargetTime> lease_deadline;
  /// Every run on the target has ended by then, unless extended or by a longer lease from this
  /// owner's deadlines for earlier incarnations, see `Cell::LeaseEnd`.
  TimePoint own_lease_expires_at{};
  /// Latest time at which a deadline that was sent to the incarnation may arrive.
  TimePoint deadlines_arrive_until{};
  /// Latest time at which a deadline that was sent to an earlier incarnation may arrive.
  TimePoint earlier_deadlines_arrive_until{};
  /// Latest end of a lease that the incarnation takes from such a deadline. The clock starts anew
  /// in each incarnation, so the deadline may lie far ahead.
  TimePoint earlier_deadlines_expire_at{};
  /// Highest token of the orders with a deadline to earlier incarnations.
  FencingToken earlier_token = 0;
  /// The incarnation has answered an order with a higher token, so that it refuses those orders.
  bool refuses_earlier_orders = false;
  bool refusal_is_new = false;  ///< there was no `Tick` since that answer
  /// The same for deadlines that earlier owners have sent.
  TimePoint inherited_deadlines_expire_at{};
  /// An incarnation of the target has answered this owner, which may have extended its lease since.
  bool answered = false;
  /// The incarnation has answered a hold of this owner with all its unacknowledged ends.
  bool reconciled = false;
  /// None of the holds sent since the last usable answer has one yet, and the last of them has not
  /// failed.
  bool hold_in_flight = false;
  std::size_t open_holds = 0;          ///< holds without an answer that have not timed out
  std::size_t earlier_open_holds = 0;  ///< those of them to earlier incarnations
  /// A list decides whether a run that was stopped had begun. The next hold asks for it at once.
  bool list_due = false;
  TimePoint next_hold_at{};             ///< earliest time of the next hold if none is in flight
  TimePoint further_hold_at{};          ///< time of the next hold while one is in flight
  std::uint32_t unanswered_holds = 0;   ///< holds sent since the last usable answer
  std::uint64_t holds_sent = 0;         ///< also the number of the last hold
  std::uint64_t last_listed_hold = 0;   ///< highest number of a hold whose lists were used
  std::optional<TargetTime> listed_at;  ///< target's clock at the last lists that were used
  /// Number of the first hold that was sent after the last usable answer.
  std::uint64_t first_open_hold = 0;
  std::uint64_t last_seen_end = 0;     ///< highest end number received
  std::uint64_t last_durable_end = 0;  ///< the effects of ends up to this number are in the store
  /// By number, the ends in `Cell::foreign_ends`. None of them is acknowledged.
  std::map<std::uint64_t, ForwardedEnd> foreign_ends;
  std::uint64_t last_acked_end = 0;  ///< highest end number whose acknowledgement was answered
  /// By number, the ends as done or failed that are not acknowledged.
  std::map<std::uint64_t, UnackedEnd> unacked_ends;
  TimePoint next_ack_at{};  ///< no end is acknowledged before
  /// Holds sent since the last usable answer that were not answered in time, or were rejected for a
  /// reason other than a fencing token or a target id.
  std::uint32_t failed_holds = 0;
  TimePoint silent_since{};  ///< when `failed_holds` last rose from 0
  /// Time for which the target was allowed to delay the answer that did not come then. A long poll
  /// shows a loss that much later than other holds.
  Duration silence_uncertainty{0};
  bool loss_recorded = false;  ///< its loss since then is in `Cell::recent_losses`
  /// In this scheduling round, resources kept for `reserved_for`, which may not be free yet.
  Resources reserved;
  std::vector<TaskKey> reserved_for;
  TargetLoad load;
  Resources long_running_used;  ///< resources in `load.used` requested by long-running tasks
  std::set<TaskKey> tasks;      ///< tasks that hold resources on the target
  std::map<std::pair<TaskKey, RunNumber>, UnconfirmedStart> unconfirmed_starts;
  std::map<TaskKey, OrphanedRun> orphaned_runs;
  TargetHealth health;
  ColdTime cold_time;
  /// Most runs in this scheduling round; nothing for a warm target, which has no limit.
  std::optional<std::uint32_t> max_runs;
  TimePoint last_assigned_at{};  ///< when a run was last assigned
  /// Isolated task on the target, or suspected task that waits for it. The target gets no other run
  /// meanwhile.
  std::optional<TaskKey> suspect_task;
  /// Another target has the address, so that no order can reach this one until it starts again.
  bool address_reused = false;
  TimePoint draining_since{};           ///< when the registration changed to draining
  bool evacuation_wait_logged = false;  ///< `kEvacuationWaits` was logged for this drain
  bool is_leaving = false;              ///< see `Cell::IsLeaving`, in the last scheduling round
  TimePoint over_bound_since{};  ///< start of a tail's excess over its bound; the epoch if none
  /// Best-effort runs that ended lately. The reported tails still show them.
  std::vector<std::pair<TimePoint, Aggressor>> ended_aggressors;
  TimePoint tails_reported_at{};  ///< time of the last report
  TimePoint next_sample_at{};     ///< earliest time of the next sample for the interference model

  TargetIncarnation CurrentIncarnation() const {
    return {this->entry.id, this->incarnation, this->entry.address};
  }
};

/// What is kept of a target that is no longer listed and has no runs.
struct ForgottenTarget {
  std::uint64_t incarnation = 0;
  TimePoint deadlines_arrive_until{};  ///< of this and earlier incarnations
  FencingToken token = 0;              ///< highest of all orders
};

/// A run that a target was lost under. Whether the target has crashed is not known yet.
struct LostRun {
  TaskKey task;
  bool confirmed = false;  ///< the target had confirmed the run
  bool isolated = false;   ///< see `CrashRecord::isolated`
  bool fresh = false;      ///< began less than `CrashSettings::quiet_time` before the loss
  bool counted = false;    ///< included in `CrashRecord::losses`
};

/// The runs that may have crashed a target whose lease has expired without an answer.
struct UnprovenCrash {
  LossKind kind = LossKind::kAlone;
  std::uint64_t incarnation = 0;  ///< of the lost target
  TimePoint lost_at{};            ///< when its lease expired
  std::vector<LostRun> runs;
};

/// Context of an order that was sent, kept until its answer arrives.
struct SentOrder {
  TargetId target;
  std::uint64_t incarnation = 0;  ///< of the target, as known at the time of sending
  FencingToken token = 0;         ///< see `OutgoingOrder::token`
  TaskKey task;                   ///< unset for a hold, as is `run`
  RunNumber run = 0;
  std::uint64_t hold_number = 0;  ///< of a hold: its number among the holds to the target
  std::uint64_t acked_end = 0;    ///< of a hold: see `HoldOrder::acked_end`
  Duration wait{0};               ///< of a hold: see `HoldOrder::wait`
  bool has_deadline = false;      ///< of a start or a hold: it extends the lease
  bool orphaned_run = false;      ///< of a stop: no task of the cell waits for its answer
  TimePoint sent_at{};
  ClockAtSending clock;  ///< of the target, to tell which incarnation answers
  enum class Kind { kStart, kStop, kHold, kPace } kind = Kind::kHold;
  std::uint32_t pace = 100;  ///< of a pace order, in percent of full speed
};

/// Changes that become durable when the store confirms a commit.
struct PendingCommit {
  std::uint64_t number = 0;
  /// Incarnation and highest end number by target.
  std::map<TargetId, std::pair<std::uint64_t, std::uint64_t>> last_ends;
  std::vector<std::pair<TaskKey, RunNumber>> assignments;
  std::vector<std::pair<SubmissionId, SubmissionState>> states;
  std::vector<SubmissionId> deleted;
};

}  // namespace internal

}  // namespace pistachio
