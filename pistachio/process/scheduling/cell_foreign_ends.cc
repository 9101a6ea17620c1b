#include <algorithm>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

bool Cell::IsForeignEnd(const FinishedRun& end) {
  if (end.outcome != RunOutcome::kDone) {
    return false;
  }
  Submission* submission = this->FindSubmission(end.task.submission);
  if (submission == nullptr) {
    return true;
  }
  const Task* task = submission->FindTask(end.task);
  return submission->moving && task != nullptr && task->phase != TaskPhase::kDone &&
         !submission->Step(end.task.step).long_running;
}

std::vector<ForwardedEnd> Cell::EndsToForward() const {
  std::vector<ForwardedEnd> ends;
  for (const ForwardedEnd& end : this->foreign_ends) {
    // A write that moves the submission may still be rejected.
    if (this->all_submissions.count(end.task.submission) == 0) {
      ends.push_back(end);
    }
  }
  return ends;
}

void Cell::OnEndForwarded(const ForwardedEnd& end, TimePoint now) {
  // The submission may have come back since the call was sent, so that the end counts here.
  const bool here = this->all_submissions.count(end.task.submission) != 0;
  if (here || this->foreign_ends.count(end) == 0) {
    return;
  }
  this->Log(EventCode::kEndForwarded, {{"task", end.task.str()}, {"run", std::to_string(end.run)}});
  this->SettleForeignEnd(end, now);
}

void Cell::OnEndReceived(const ForwardedEnd& end, TimePoint now) {
  this->inbox_ends.insert(end);
  const FinishedRun done{0, end.task, end.run, RunOutcome::kDone, ""};
  const bool foreign = this->IsForeignEnd(done);
  this->HandleLateEnd(nullptr, done, now);
  if (!foreign) {
    this->SettleOnceAcknowledgeable(end, now);
  }
}

void Cell::SettleOnceAcknowledgeable(const ForwardedEnd& end, TimePoint now) {
  if (this->AnyStartMayArrive(end.task, now)) {
    this->applied_ends.insert(end);
  } else {
    this->SettleForeignEnd(end, now);
  }
}

void Cell::SettleForeignEnd(const ForwardedEnd& end, TimePoint now) {
  this->foreign_ends.erase(end);
  if (this->inbox_ends.erase(end) != 0) {
    this->settled_ends.insert(end);
  }
  for (auto& [id, target] : this->targets) {
    for (auto held = target.foreign_ends.begin(); held != target.foreign_ends.end();) {
      const bool same = !(held->second < end) && !(end < held->second);
      held = same ? target.foreign_ends.erase(held) : std::next(held);
    }
    if (target.foreign_ends.empty() && !target.hold_in_flight) {
      target.next_hold_at = std::min(target.next_hold_at, now);
    }
  }
}

void Cell::ApplyLocalEnds(TimePoint now) {
  const auto is_local = [this](const ForwardedEnd& end) {
    return !this->IsForeignEnd({0, end.task, end.run, RunOutcome::kDone, ""});
  };
  for (const ForwardedEnd& end : std::set<ForwardedEnd>(this->foreign_ends)) {
    if (is_local(end)) {
      this->HandleLateEnd(nullptr, {0, end.task, end.run, RunOutcome::kDone, ""}, now);
      this->foreign_ends.erase(end);
      this->SettleOnceAcknowledgeable(end, now);
    }
  }
  for (const ForwardedEnd& end : std::set<ForwardedEnd>(this->applied_ends)) {
    if (!this->AnyStartMayArrive(end.task, now)) {
      this->applied_ends.erase(end);
      this->SettleForeignEnd(end, now);
    }
  }
}

std::uint64_t Cell::LastLocalEnd(const Target& target) {
  return target.foreign_ends.empty() ? target.last_seen_end
                                     : target.foreign_ends.begin()->first - 1;
}

const char* Cell::WhereaboutsOf(const SubmissionId& id) const {
  const auto found = this->all_submissions.find(id);
  if (found != this->all_submissions.end()) {
    return found->second.moving ? "moving" : "here";
  }
  return this->moved_away.count(id) != 0 ? "moved" : "unknown";
}

}  // namespace pistachio
