#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& TaskEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kOrphanedRunStopped, Severity::kWarning, "stray-stopped",
       "A target runs a task that no record places there, for example after a start that was "
       "carried out late; the run is stopped. `state` and `cancelled` tell what the owner knows of "
       "its submission, `phase`, `latest-run` and `latest-target` of its task."},
      {EventCode::kStartCancelled, Severity::kWarning, "start-barred",
       "A target restarted under the same id while a start sent to the earlier incarnation has no "
       "answer; the new incarnation is ordered to reject that start if it still arrives."},
      {EventCode::kTaskAssigned, Severity::kInfo, "task-assigned",
       "A waiting task was assigned to a target; the fields hold what was in use on the target "
       "at that time. The start is sent once the assignment is in the store."},
      {EventCode::kRunStarted, Severity::kInfo, "run-started",
       "The target has confirmed the start of a run. `incarnation` says whether the clock of the "
       "answer proves that it comes from the incarnation that the start was meant for "
       "(`expected`), "
       "from a later one (`later`), or neither (`unknown`)."},
      {EventCode::kStartNotDone, Severity::kWarning, "start-not-done",
       "A start was refused or had no answer; without an answer, the run keeps its reserved room "
       "on the target."},
      {EventCode::kRunEnded, Severity::kInfo, "run-ended",
       "The target reports the end of a task's current run."},
      {EventCode::kRunStopping, Severity::kInfo, "run-stopping",
       "A run is being stopped; the reason says what caused the stop."},
      {EventCode::kRunMoved, Severity::kWarning, "run-moved",
       "A run makes no progress or is far too slow and is started again elsewhere. Check the "
       "target if the event repeats."},
      {EventCode::kTaskRequeued, Severity::kInfo, "task-requeued",
       "A task waits for its next run; the cause says how the last one ended, without-run-ms how "
       "long ago the run was last known to exist, open-start-at which target may still carry out a "
       "start of the task; until it cannot, the next run starts only there."},
      {EventCode::kSubmissionCancelled, Severity::kInfo, "submission-cancelled",
       "The owner has read the caller's request to cancel a submission and stops what still runs "
       "of it. `from` says where it has read it: in its inbox, as its own request, or when it "
       "loaded the cell; `revision` is that of the mark in the store."},
      {EventCode::kSubmissionFailed, Severity::kWarning, "submission-failed",
       "A task has failed as often as its queue allows, or has crashed the targets that started "
       "it, "
       "so its submission fails."},
      {EventCode::kSubmissionEnded, Severity::kInfo, "submission-ended",
       "No task of the submission runs any more; callers can read its final state."},
      {EventCode::kSubmissionMoved, Severity::kInfo, "submission-moved",
       "A submission without a run moves to another cell, since its own cell has no room for it or "
       "no owner, or all targets of the cell are under evacuation. The fields give the load of "
       "both cells that decided it; begun is 1 if it had "
       "runs before. The store may still refuse the move; then `move-rejected` follows."},
      {EventCode::kMoveRejected, Severity::kInfo, "move-rejected",
       "A move of submissions to another cell had no effect, usually because one of them was "
       "cancelled at the same time. They stay in their cell and are tried again one by one."},
      {EventCode::kTaskSuspected, Severity::kWarning, "task-suspected",
       "A target crashed soon after it had started a run of the task. The next run starts on a "
       "target that starts nothing else at that time; if that target crashes too, the task is "
       "given up."},
      {EventCode::kTaskCleared, Severity::kInfo, "task-cleared",
       "A run of a suspected task has lasted long enough to show that the task does not crash its "
       "target."},
      {EventCode::kSubmissionLeaves, Severity::kInfo, "submission-leaves",
       "Long-running tasks lost their runs, no target of the cell can take them, and another cell "
       "can take the submission. Its other runs are stopped, so that it can move as a whole."},
      {EventCode::kSubmissionStays, Severity::kWarning, "submission-stays",
       "A submission whose runs were stopped for a move stays in its cell; the cause says why. Its "
       "tasks run again before other work."},
      {EventCode::kStopLate, Severity::kWarning, "stop-late",
       "Runs of a cancelled submission have not ended in time since the owner began to stop them; "
       "the fields describe the first of `runs`, and each submission is counted once. With an "
       "old answer, the target does not answer; with a recent one, its stops get lost or are not "
       "carried out."},
      {EventCode::kLateEnd, Severity::kInfo, "late-end",
       "A target reported the end of a run that is not the present one of its task. If it ended as "
       "done, the task is done: `effect` is completed if the task had no later run, and "
       "later-run-stopped if one is being stopped first. Otherwise the end changes nothing. "
       "`submission` is here, moving while the write that moves it to another cell is open, moved "
       "if this owner has moved it, or unknown. With the effect forwarded, the end waits for the "
       "owner of the cell that has the submission now. An end without a target has been forwarded "
       "by the owner of another cell."},
      {EventCode::kEndForwarded, Severity::kInfo, "end-forwarded",
       "The owner of the cell that has the submission has stored the effect of an end as done, or "
       "the submission is deleted. The target gets its acknowledgement only now."},
      {EventCode::kWorkDelayed, Severity::kInfo, "work-delayed",
       "Room is scarce, and a submission waits for others: with the reason given-up, since not all "
       "can be in time and it has less value per core-second left; with set-aside, since it can "
       "earn nothing any more. `preferred` is the first submission that waits before it. Logged "
       "once for each submission and reason."},
      {EventCode::kRunPreempted, Severity::kInfo, "run-preempted",
       "A run is stopped to free the place reserved for the task in `preferred`; the value and the "
       "work that its submission loses are the least of all runs that could be stopped."},
      {EventCode::kTaskOverdue, Severity::kWarning, "task-overdue",
       "A long-running task has had no run for 6 s or more; logged once a second, for ten tasks at "
       "most. `why` says what it waits for: `quiet-target` (its last target crashed beside it), "
       "`reserved-place` (short tasks on the target named), `no-place` (no target could take it "
       "even without its short tasks), `commit`, `start` (no answer yet), `registrations`, "
       "`orphaned-run`, `open-start` (another target may still carry out a start of it) or `move`. "
       "without-run-ms counts from the end of the lease of a run whose "
       "target was lost, unreached-ms from when that target was last in reach. The fields give its "
       "processors, the most that any target has free, and the most that any has free of "
       "long-running work. `ruled-out` counts the targets by what rules them out even without "
       "their short tasks: `no-work` (not ready, silent, or of another service or kind), `kept` "
       "(for a suspected task), `cpu`, `other-resource`, `limit` (of tasks of the step on one "
       "target), `reserved` (for other tasks) or `nothing`."},
      {EventCode::kTargetListed, Severity::kInfo, "target-listed",
       "A target has registered or changed its state."},
      {EventCode::kTargetUnlisted, Severity::kWarning, "target-unlisted",
       "A target's registration is gone. The target gets no new work; its runs keep their lease."},
      {EventCode::kTargetSilent, Severity::kWarning, "target-silent",
       "A target does not answer holds, the renewals of the lease on its runs; it gets no new "
       "work until it does."},
      {EventCode::kTargetAnswers, Severity::kInfo, "target-answers",
       "A target that was silent answers again."},
      {EventCode::kTargetRunsLost, Severity::kWarning, "target-runs-lost",
       "All runs on a target have certainly ended: the target restarted, or the lease on its "
       "runs expired. `lease` says where the end of the lease comes from: own (orders of this "
       "owner), inherited (the longest lease that an earlier owner may have set, or what it has "
       "written) or former-incarnation (a deadline that was sent to the incarnation before); "
       "answered-ms is the time since the target's last answer to this owner, unreached-ms that or "
       "else the time since the cell had no owner, and taken-ms that since the takeover."},
      {EventCode::kTargetSuspect, Severity::kWarning, "target-suspect",
       "Runs of several submissions failed or made no progress on a target. It gets no work for "
       "a pause, then one run at a time. Check the target."},
      {EventCode::kTargetPaced, Severity::kInfo, "target-paced",
       "Best-effort tasks on a target run at a lower or higher share of their full speed, "
       "depending on the latency of the services beside them."},
      {EventCode::kTargetUnreadable, Severity::kWarning, "target-unreadable",
       "A target's registration cannot be read; the target gets no work."},
      {EventCode::kCellLoad, Severity::kInfo, "cell-load",
       "Resources that a cell's targets have and use, and what its waiting tasks need, in "
       "thousandths of a core, every 2 s; also how many long-running tasks lost their run, the "
       "longest time that one of them has been without a run. `unreached` is the number of those "
       "whose target does not answer or had not answered until its lease expired, unreached-ms the "
       "longest time since such a target was in reach, or since the cell had no owner. Also how "
       "many submissions wait, and of "
       "how many it is not known whether a run of the earlier owner has begun. `open-starts` is "
       "the "
       "number of tasks with a start that may still be carried out, `held-ends` that of the ends "
       "that are not acknowledged for that reason."},
      {EventCode::kTargetRestarted, Severity::kWarning, "target-reborn",
       "A target restarted under the same id; starts without an answer may have been carried out "
       "by the new incarnation, so its list of runs is searched for them."},
      {EventCode::kEvacuationWaits, Severity::kInfo, "evacuation-waits",
       "A run has to leave a draining target before the target exits, but no other target has room "
       "for it; logged once for each target that drains."},
      {EventCode::kTargetCrashed, Severity::kWarning, "target-crashed",
       "A target with runs was lost. In an outage of several targets none of its runs is "
       "suspected. "
       "`proven` says whether a later process at its place shows that it crashed; otherwise the "
       "target may only be cut off."},
      {EventCode::kHarmWait, Severity::kInfo, "harm-wait",
       "Tasks of a best-effort step wait, since on every target with room they would take the "
       "latency of services beside them over its bound; logged once for each step."},
      {EventCode::kTargetReconciled, Severity::kInfo, "target-reconciled",
       "The first complete lists of a target's incarnation have arrived. known-ms is the time for "
       "which this process has known the incarnation, lease-ms the longest time that its lease "
       "may still last, and `lease` where that comes from, as in `target-runs-lost`."},
      {EventCode::kTargetRestartSeen, Severity::kWarning, "target-reborn-seen",
       "The clock in the answer to an order shows that the target has restarted under the same id. "
       "It gets no start until its lists show the new incarnation."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
