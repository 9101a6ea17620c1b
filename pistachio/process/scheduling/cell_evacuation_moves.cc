#include <algorithm>

#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/evacuation_moves.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

namespace internal {

/// Number of submissions for which one round looks for a destination. A write moves five at most;
/// the others are those that no cell can hold.
constexpr std::size_t kMaxTriesPerRound = 64;

/// \returns true if a task waits and all steps that it depends on are done.
bool HasDueTask(const Submission& submission) {
  for (const auto& [number, occurrence] : submission.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      if (occurrence.steps[step].waiting > 0 && submission.DependenciesDone(occurrence, step)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace internal

bool Cell::IsFullyEvacuated() const {
  // Without current registrations, targets may be missing that could take the work.
  if (this->evacuated_data_centres.empty() || !this->registrations_current) {
    return false;
  }
  const bool has_evacuated =
      std::any_of(this->data_centres.begin(), this->data_centres.end(),
                  [this](const DataCentreId& data_centre) {
                    return this->evacuated_data_centres.count(data_centre) != 0;
                  });
  return has_evacuated &&
         std::none_of(this->targets.begin(), this->targets.end(),
                      [this](const auto& row) { return this->IsReady(row.second); });
}

bool Cell::AwaitsEnd(const Submission& submission, TimePoint now) const {
  for (const auto& [number, occurrence] : submission.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      if (submission.Step(step).long_running) {
        continue;
      }
      for (const Task& task : occurrence.steps[step].tasks) {
        const auto target = this->targets.find(task.avoid_target);
        if (task.phase != TaskPhase::kWaiting || task.run == 0 || target == this->targets.end()) {
          continue;
        }
        const bool heard = target->second.reconciled && target->second.failed_holds == 0;
        if (!heard && now - task.phase_since < this->settings.max_order_delay) {
          return true;
        }
      }
    }
  }
  return false;
}

EvacuatedWork Cell::DescribeEvacuated(const Submission& submission,
                                      const std::set<SubmissionId>& unsettled,
                                      TimePoint now) const {
  EvacuatedWork work;
  work.priority = this->QueueOf(submission).priority;
  work.accepted_at = submission.accepted.accepted_at;
  work.moves = submission.accepted.moves;
  work.time_here = now - submission.arrived_at;
  work.closed = submission.cancelled || submission.failed || submission.moving ||
                !submission.leaving_for.empty() || now < submission.next_move_at;
  work.waits = internal::HasDueTask(submission);
  if (submission.started) {
    work.has_runs = submission.AnyTask([](const Task& task) { return task.HoldsResources(); });
    work.unsettled =
        unsettled.count(submission.accepted.id) != 0 || !this->InheritedStartsOver(submission, now);
    work.awaits_end = this->AwaitsEnd(submission, now);
  }
  return work;
}

void Cell::AddEvacuatedSubmissions(std::vector<MoveDestination>* destinations, const CellRoom& own,
                                   MoveBatch* batch, TimePoint now) {
  const std::set<SubmissionId> unsettled = this->UnsettledSubmissions(now);
  std::vector<std::pair<EvacuatedWork, Submission*>> movable;
  for (const SubmissionId& id : this->open_submissions) {
    Submission* submission = this->FindSubmission(id);
    const EvacuatedWork work = this->DescribeEvacuated(*submission, unsettled, now);
    if (MayLeaveEvacuatedCell(work, this->settings.move)) {
      movable.emplace_back(work, submission);
    }
  }
  std::sort(movable.begin(), movable.end(),
            [](const auto& a, const auto& b) { return MovesBefore(a.first, b.first); });
  const std::size_t tries = std::min(movable.size(), internal::kMaxTriesPerRound);
  for (std::size_t index = 0; index < tries; ++index) {
    Submission* submission = movable[index].second;
    if (!batch->Takes(submission->started, submission->move_alone)) {
      break;
    }
    const bool progress_too_large =
        submission->started &&
        EncodeProgress(*submission).size() > this->settings.move.max_progress_bytes;
    MoveDestination* destination =
        progress_too_large ? nullptr : this->DestinationFor(*submission, own, destinations);
    if (destination == nullptr) {
      submission->next_move_at = now + this->settings.move.pause_without_destination;
      continue;
    }
    const CellDemand demand = DemandOf(submission->accepted.spec);
    this->AddToMove(submission, demand, own, *destination, batch, now);
    AddDemand(demand, &destination->room);
    this->counts.evacuation_moves++;
  }
}

MoveDestination* Cell::DestinationFor(const Submission& submission, const CellRoom& own,
                                      std::vector<MoveDestination>* destinations) const {
  std::vector<MoveDestination> taking;
  for (const MoveDestination& destination : *destinations) {
    if (destination.takes_begun || !submission.started) {
      taking.push_back(destination);
    }
  }
  const CellDemand demand = DemandOf(submission.accepted.spec);
  const double draw = DrawForMove(submission.accepted);
  const bool has_runs = submission.AnyTask([](const Task& task) { return task.HoldsResources(); });
  const auto chosen =
      this->fully_evacuated
          ? ChooseEvacuationDestination(demand, has_runs, taking, draw, this->settings.move)
          : ChooseDestination(demand, own, taking, draw, this->settings.move);
  if (!chosen) {
    return nullptr;
  }
  const auto found = std::find_if(
      destinations->begin(), destinations->end(),
      [&](const MoveDestination& other) { return other.cell == taking[*chosen].cell; });
  return &*found;
}

}  // namespace pistachio
