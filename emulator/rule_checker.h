#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/scheduling/types.h"

namespace pistachio::emulator {

/// \brief Checks the guarantees of the scheduler against what targets and callers observe, and
/// records every violation.
///
/// Keeps its own records and shares no code with the product except plain types.
class RuleChecker {
 public:
  /// A caller has submitted; called before the submission reaches a host.
  void OnSubmit(const SubmissionId& id, const SubmissionSpec& spec, std::uint32_t max_attempts);
  void OnAccepted(const SubmissionId& id, TimePoint now);
  /// An attempt of a submission has arrived at a host that is up; called before it is answered.
  void OnAttemptArrived(const SubmissionId& id);
  /// \brief An attempt of a submission was answered as not accepted.
  ///
  /// Breaks the rule REFUSED if an attempt was answered as accepted before, if the submission is
  /// in the store or if a run of it has started. From then on, OnKeysChanged() reports the
  /// submission if it is stored before another attempt arrives.
  void OnRejected(const SubmissionId& id, TimePoint now);
  void OnCancelAcknowledged(const SubmissionId& id, TimePoint now);
  /// \brief Records that a cancel was answered with kUnknownId. No attempt that has arrived before
  /// may start a run from then on; a later one opens the submission again.
  void OnUnknownCancelled(const SubmissionId& id, TimePoint now);
  /// A caller's cancel was answered as in doubt, which is no acknowledgement.
  void OnCancelInDoubt(const SubmissionId& id, TimePoint now);
  /// A caller received the state of a submission.
  void OnStateReported(const SubmissionId& id, SubmissionState state);
  /// A caller received the answer that an id is unknown.
  void OnUnknownId(const SubmissionId& id, TimePoint now);

  /// A host has told a caller how many submissions wait. Call it only for hosts without recent
  /// faults.
  void OnPendingReported(const std::string& host, std::uint64_t pending, TimePoint now);
  /// \returns the number of reports while submissions had waited long enough to be counted.
  std::size_t counts_checked() const { return this->checked_counts; }

  /// A target has started a run. \param skip_time_bounds skips rules that have a time bound,
  ///   because the order was executed late, or hosts or the store had faults
  void OnStart(const TaskKey& task, RunNumber run, const std::string& target,
               const std::string& payload, const std::string& checkpoint, bool draining,
               bool skip_time_bounds, TimePoint now);
  /// The order of a start that OnStart() has reported was executed late.
  void OnLateStart(const TaskKey& task, RunNumber run, const std::string& target, TimePoint now);
  /// \brief Checks that no run of a cancelled submission goes on longer than the rule UNASKED
  /// allows; each run is reported once.
  ///
  /// \param calm_since end of the last fault of the store, a host, a target, an order or a
  ///   connection; \a now while there is one. Drains and evacuations are no faults.
  void CheckCancelledRuns(TimePoint calm_since, TimePoint now);
  /// The operators have requested the evacuation of a data centre. \param bound time after the
  ///   request from which on no run may start there
  void OnEvacuationRequested(const std::string& data_centre, Duration bound, TimePoint now);
  /// The operators have removed the request for the evacuation of a data centre.
  void OnEvacuationEnded(const std::string& data_centre);
  /// A target has started a run: checks the rule EVAC. \param skip_time_bounds see OnStart
  void OnStartInDataCentre(const TaskKey& task, RunNumber run, const std::string& data_centre,
                           bool skip_time_bounds, TimePoint now);

  /// A run has ended on a target that is up.
  void OnEnd(const TaskKey& task, RunNumber run, const std::string& target, RunOutcome outcome,
             const std::string& checkpoint);
  /// A run has saved a checkpoint. An empty name is ignored.
  void OnCheckpoint(const TaskKey& task, const std::string& checkpoint);
  /// \brief Records that a target's lease has lapsed. The rule TWICE does not count its ends so far
  /// that are not acknowledged yet.
  void OnLeaseLapsed(const std::string& target);
  /// \brief An owner has acknowledged the end of a run to the target, which has discarded it.
  ///
  /// A start of the task since an end as done breaks the rule TWICE from its acknowledgement on, be
  /// the start before or after that, whatever its lease was. A run of the task that is at work at
  /// the acknowledgement must be stopped or end: CheckAtEnd() reports the others.
  void OnEndAcknowledged(const TaskKey& task, RunNumber run, const std::string& target,
                         RunOutcome outcome);
  /// A target has crashed and all its runs are gone. Counts as a crash under each of their tasks.
  void OnTargetCrashed(const std::string& target);
  /// A target has left as planned and all its runs are gone.
  void OnTargetLeft(const std::string& target);
  /// A task is deadly: each of its runs crashes its target. Call it before the first start.
  void OnDeadlyTask(const TaskKey& task);
  /// A start has exceeded the resources of a target.
  void OnCapacityExceeded(const std::string& target, TimePoint now);

  /// The store's keys of a submission have changed: checks the rules BINDING and REFUSED.
  /// \param assigned_cell cell that the submission is assigned to; empty if there is none
  /// \param inbox_cells cells whose inbox has the submission
  /// \param cancel_cells cells whose inbox has a cancel of the submission
  void OnKeysChanged(const std::string& id, const std::string& assigned_cell,
                     const std::vector<std::string>& inbox_cells,
                     const std::vector<std::string>& cancel_cells, TimePoint now);

  /// \brief Checks that every accepted submission is complete, except those that were cancelled,
  /// were last reported as failed, have a deadly task or are long-running, and that no task is at
  /// work of which an end as done was acknowledged. Call it after all faults are over and the work
  /// had time to finish.
  void CheckAtEnd();

  /// \returns the violations, one line each, in the form "RULE: description".
  const std::vector<std::string>& violations() const { return this->all_violations; }
  /// \returns the number of submissions that were accepted, not cancelled, and whose tasks are all
  ///   done.
  std::size_t completed() const;
  /// \returns the number of accepted submissions.
  std::size_t accepted() const { return this->accepted_ids.size(); }
  /// \returns the number of tasks of a submission that are running.
  std::size_t RunningTasks(const SubmissionId& id) const;
  /// \returns the number of runs that have started.
  std::size_t starts() const { return this->start_count; }
  /// \returns the time from the last request for the evacuation of the data centre to the last
  /// start
  ///   there before its end, also of starts that skip time bounds; negative if there was none.
  Duration LastStartAfterRequest(const std::string& data_centre) const;
  /// \returns the number of runs that have started in a data centre.
  std::size_t StartsIn(const std::string& data_centre) const;
  /// \returns the number of target crashes under a task.
  std::uint32_t CrashesUnder(const TaskKey& task) const;
  /// \returns the state that a caller received last, or nothing if none did.
  std::optional<SubmissionState> ReportedState(const SubmissionId& id) const;
  /// \returns the submissions that were ever reported as failed although they have no deadly task
  ///   and no task has used up its attempts. Crashes under their tasks permit this report, but the
  ///   submissions could have completed.
  const std::set<SubmissionId>& failed_without_cause() const {
    return this->failed_submissions_without_cause;
  }

 private:
  /// A run on a target that is up.
  struct RunRecord {
    RunNumber number = 0;
    TimePoint started_at{};
    bool started_late = false;      ///< the order of its start was executed late
    bool reported_overdue = false;  ///< CheckCancelledRuns() has reported it
  };
  struct SubmissionRecord {
    SubmissionSpec spec;
    std::uint32_t max_attempts = 1;
    bool rejected_only = true;  ///< unused
  };

  /// The last request for the evacuation of a data centre.
  struct Evacuation {
    bool open = false;
    Duration bound{0};
    TimePoint requested_at{};
    TimePoint last_start = TimePoint::min();  ///< before the end of the evacuation
  };

  /// Records whether a submission is stored, and checks the rule REFUSED when it is stored first.
  void CheckStored(const SubmissionId& id, bool stored, TimePoint now);
  /// Reports each run that is at work although an end as done of its task was acknowledged.
  void CheckRunsOfDoneTasks();
  void AddViolation(const std::string& rule, const std::string& description);
  /// \returns true if \a task, in the form of TaskKey::str(), belongs to the submission.
  static bool IsTaskOf(const std::string& task, const SubmissionId& id);
  bool HasDeadlyTask(const SubmissionId& id) const;
  /// Checks the rule LOST for a submission that was reported as failed.
  void CheckFailedReport(const SubmissionId& id, std::uint32_t max_attempts);
  /// Checks the rule BUDGET for a start of a deadly task, and counts the start.
  void CheckCrashBudget(const std::string& task, const std::string& description);
  /// \returns true if every task of the step, or any of a gang, has a run that ended as done.
  bool IsStepDone(const SubmissionId& id, std::uint32_t occurrence, std::uint32_t step) const;

  std::map<SubmissionId, SubmissionRecord> submissions;
  std::map<SubmissionId, TimePoint> accepted_ids;  ///< with the time of the first acceptance
  std::set<SubmissionId> rejected_ids;             ///< rejected and never accepted
  /// Time of the last refusal of each submission of which no attempt has arrived since.
  std::map<SubmissionId, TimePoint> final_refusals;
  std::set<SubmissionId> stored_ids;  ///< assigned to a cell in the store
  std::set<SubmissionId> begun;       ///< a run of a task has started
  /// With the time of the first acknowledgement or answer in doubt.
  std::map<SubmissionId, TimePoint> cancelled;
  std::map<SubmissionId, TimePoint> cancel_acks;  ///< with the time of the first acknowledgement
  std::set<SubmissionId> unknown_cancels;         ///< in `cancelled` by OnUnknownCancelled() only
  std::map<SubmissionId, SubmissionState> reported_states;          ///< last state reported
  std::map<std::string, std::map<std::string, RunRecord>> running;  ///< by task, then target
  std::map<std::string, std::uint32_t> failures;  ///< acknowledged failures by task
  std::map<std::string, std::uint32_t> crashes;   ///< crashes of targets under each task
  std::set<std::string> deadly_tasks;
  /// Starts of deadly tasks after the third crash, without those that skip time bounds.
  std::map<std::string, std::uint32_t> starts_after_crashes;
  std::set<SubmissionId> failed_submissions_without_cause;  ///< see failed_without_cause()
  std::set<std::string> ended_done;                         ///< tasks with a run that ended as done
  std::set<std::string> acknowledged_done;  ///< tasks whose done end was acknowledged
  /// By task, then by target and run, the ends as done that are not acknowledged, with the last
  /// start of the task since.
  std::map<std::string, std::map<std::pair<std::string, RunNumber>, std::string>> open_done_ends;
  std::map<std::string, std::set<std::string>> checkpoints;  ///< checkpoint names by task
  std::map<std::string, Evacuation> evacuations;             ///< by data centre
  std::map<std::string, std::size_t> starts_by_zone;         ///< number of starts by data centre
  std::vector<std::string> all_violations;
  std::size_t start_count = 0;
  std::size_t checked_counts = 0;  ///< see counts_checked()
};

}  // namespace pistachio::emulator
