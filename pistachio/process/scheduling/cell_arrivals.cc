#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

namespace internal {

/// Lets the tasks that had a run before the submission moved here run before other work.
void MarkDisplaced(Submission* submission, TimePoint now) {
  for (auto& [number, occurrence] : submission->occurrences) {
    for (StepProgress& step : occurrence.steps) {
      for (Task& task : step.tasks) {
        if (task.phase == TaskPhase::kWaiting && task.run > 0) {
          task.run_seen_at = now;
          task.phase_since = now;
          task.displaced = true;
          task.open_start_at = TargetId();  // None of the targets here.
        }
      }
    }
  }
}

}  // namespace internal

void Cell::Load(const AcceptedSubmission& accepted, std::uint64_t revision,
                const std::optional<std::string>& progress, TimePoint now) {
  Submission submission;
  submission.accepted = accepted;
  submission.accepted.progress.clear();
  // The progress records are read beside the inbox, maybe before a submission moved here.
  const std::string& record = progress ? *progress : accepted.progress;
  if (!record.empty() && !DecodeProgress(record, &submission)) {
    this->Log(EventCode::kRecordUnreadable, {{"submission", accepted.id.str()}});
    this->unreadable.insert(accepted.id);
    return;
  }
  const SubmissionId id = accepted.id;
  if (!record.empty()) {
    this->durable_states[id] = submission.State();
    submission.inherited_starts_until = this->acquired_at + this->settings.max_order_delay;
  }
  submission.revision = revision;
  submission.arrived_at = now;
  Submission& loaded_submission = this->all_submissions[id] = std::move(submission);
  if (loaded_submission.Ended()) {
    this->ended_submissions.push_back(id);
  } else {
    this->open_submissions.insert(id);
    this->ObserveSize(&loaded_submission);
  }
  for (auto& [number, occurrence] : loaded_submission.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
        Task& task = occurrence.steps[step].tasks[index];
        if (!task.HoldsResources()) {
          if (task.phase == TaskPhase::kWaiting && task.run > 0) {
            task.run_seen_at = TimePoint{};
            task.phase_since = now;
          }
          continue;
        }
        this->RecoverTask(&loaded_submission, TaskKey{id, number, step, index}, &task, now);
      }
    }
  }
}

void Cell::Accept(const AcceptedSubmission& accepted, std::uint64_t revision, TimePoint now) {
  const auto moved = this->moved_away.find(accepted.id);
  const bool outdated = moved != this->moved_away.end() && revision <= moved->second;
  if (outdated) {
    return;
  }
  if (const Submission* present = this->FindSubmission(accepted.id)) {
    // The copy here left with a write that has no answer yet; this is the one that has come back.
    if (present->moving && revision > present->revision) {
      InboxRecord& record = this->returned[accepted.id];
      record = revision > record.revision ? InboxRecord{accepted, revision} : record;
    }
    return;
  }
  Submission submission;
  submission.accepted = accepted;
  submission.accepted.progress.clear();
  if (!accepted.progress.empty()) {
    if (!DecodeProgress(accepted.progress, &submission) ||
        submission.AnyTask([](const Task& task) { return task.HoldsResources(); })) {
      this->Log(EventCode::kRecordUnreadable, {{"submission", accepted.id.str()}});
      this->unreadable.insert(accepted.id);
      return;
    }
    internal::MarkDisplaced(&submission, now);
    this->durable_states[accepted.id] = submission.State();
  }
  submission.revision = revision;
  submission.arrived_at = now;
  this->ObserveSize(&submission);
  this->all_submissions.emplace(accepted.id, std::move(submission));
  this->open_submissions.insert(accepted.id);
  this->schedule_due = true;
  const auto cancel = this->early_cancels.find(accepted.id);
  if (this->loaded && cancel != this->early_cancels.end()) {
    const CancelSource source = cancel->second;
    this->early_cancels.erase(cancel);
    this->Cancel(accepted.id, source, now);
  }
}

bool Cell::Knows(const SubmissionId& id) const {
  return this->all_submissions.count(id) != 0 || this->unreadable.count(id) != 0;
}

}  // namespace pistachio
