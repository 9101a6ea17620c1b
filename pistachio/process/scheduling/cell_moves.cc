#include <algorithm>
#include <tuple>

#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

namespace internal {

/// Maximum number of submissions whose move to another cell is remembered.
constexpr std::size_t kMaxRememberedMoves = 20000;

}  // namespace internal

bool MoveBatch::HasRoomFor(bool begun) const {
  // The store accepts 32 entries per write. Three are the owner's conditions and its sequence. A
  // submission takes five; one that has begun takes two more for its progress, and the owner of its
  // destination is a condition.
  constexpr std::size_t kMaxEntries = 32;
  constexpr std::size_t kEntriesOfOwner = 3;
  constexpr std::size_t kEntriesPerRow = 5;
  constexpr std::size_t kEntriesPerBegunRow = 8;
  std::size_t entries = kEntriesOfOwner + (begun ? kEntriesPerBegunRow : kEntriesPerRow);
  for (const Row& row : this->rows) {
    entries += row.progress.empty() ? kEntriesPerRow : kEntriesPerBegunRow;
  }
  return entries <= kMaxEntries;
}

bool MoveBatch::Takes(bool begun, bool alone) const {
  const bool taken_alone = !this->rows.empty() && (alone || this->rows.front().alone);
  return !taken_alone && this->HasRoomFor(begun);
}

CellRoom Cell::Room(TimePoint now) const {
  CellRoom room;
  room.backlog = this->Backlog();
  room.batch_cpu = this->BatchCpu();
  room.long_running_share = this->LongRunningShare();
  for (const auto& [id, target] : this->targets) {
    if (this->IsReady(target)) {
      room.targets++;
      room.capacity_cpu += target.load.capacity.cpu_millis;
    }
    if (this->TakesWork(target, now) && !target.suspect_task) {
      room.free_slots.AddTarget(target.load.capacity.cpu_millis - target.load.used.cpu_millis,
                                RunsLeft(target));
    }
  }
  for (const SubmissionId& id : this->open_submissions) {
    const Submission& submission = this->all_submissions.at(id);
    for (const auto& [number, occurrence] : submission.occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const StepSpec& spec = submission.Step(step);
        const std::uint32_t waiting = occurrence.steps[step].waiting;
        if (waiting > 0 && !spec.best_effort && submission.DependenciesDone(occurrence, step)) {
          room.free_slots.Remove(spec.need.cpu_millis * waiting);
        }
      }
    }
  }
  return room;
}

std::vector<Submission*> Cell::MovableSubmissions(TimePoint now) {
  std::vector<Submission*> movable;
  for (const SubmissionId& id : this->open_submissions) {
    Submission& submission = *this->FindSubmission(id);
    const bool untouched = !submission.started && !submission.cancelled && !submission.failed &&
                           submission.accepted.spec.repeat_count == 0 &&
                           now >= submission.next_move_at;
    if (untouched && MayMove(DemandOf(submission.accepted.spec), now - submission.arrived_at,
                             submission.accepted.moves, this->settings.move)) {
      movable.push_back(&submission);
    }
  }
  std::sort(movable.begin(), movable.end(), [this](const Submission* a, const Submission* b) {
    const auto key = [this](const Submission* submission) {
      return std::make_tuple(this->QueueOf(*submission).priority, submission->accepted.accepted_at);
    };
    return key(a) < key(b);
  });
  if (this->scarce) {
    // The same order as for targets: what costs most to delay leaves first.
    std::map<const Submission*, DelayRank> ranks;
    for (Submission* submission : movable) {
      ranks[submission] = RankOf(this->DescribeWork(submission, 0, 0), this->wall_time);
    }
    std::stable_sort(
        movable.begin(), movable.end(),
        [&ranks](const Submission* a, const Submission* b) { return ranks.at(a) < ranks.at(b); });
  }
  return movable;
}

std::optional<MoveBatch> Cell::NextMove(std::vector<MoveDestination>* destinations, TimePoint now) {
  if (!destinations->empty()) {
    this->other_cells_seen_at = now;
  }
  const bool blocked =
      !this->loaded || this->open_commit || this->open_move || destinations->empty();
  if (blocked) {
    return std::nullopt;
  }
  this->fully_evacuated = this->IsFullyEvacuated();
  this->ChooseLeavingSubmissions(destinations, now);
  const std::vector<Submission*> movable =
      this->fully_evacuated ? std::vector<Submission*>() : this->MovableSubmissions(now);
  if (!this->fully_evacuated && movable.empty() && this->leaving.empty()) {
    return std::nullopt;
  }
  MoveBatch batch;
  batch.number = this->next_commit;
  const CellRoom own = this->Room(now);
  this->AddLeavingSubmissions(*destinations, own, &batch, now);
  if (this->fully_evacuated) {
    this->AddEvacuatedSubmissions(destinations, own, &batch, now);
  } else {
    this->AddWaitingSubmissions(movable, destinations, own, &batch, now);
  }
  if (batch.rows.empty()) {
    return std::nullopt;
  }
  this->next_commit++;
  batch.leases = this->BeginLeaseRecord(this->CurrentLeaseBounds(now), now);
  this->open_move = batch;
  return batch;
}

void Cell::AddWaitingSubmissions(const std::vector<Submission*>& movable,
                                 std::vector<MoveDestination>* destinations, CellRoom own,
                                 MoveBatch* batch, TimePoint now) {
  for (Submission* submission : movable) {
    if (!batch->Takes(false, submission->move_alone)) {
      break;
    }
    const CellDemand demand = DemandOf(submission->accepted.spec);
    const auto chosen = ChooseDestination(demand, own, *destinations,
                                          DrawForMove(submission->accepted), this->settings.move);
    if (!chosen) {
      continue;
    }
    MoveDestination& destination = (*destinations)[*chosen];
    this->AddToMove(submission, demand, own, destination, batch, now);
    AddDemand(demand, &destination.room);
    if (demand.long_running && own.capacity_cpu > 0) {
      own.long_running_share -=
          static_cast<double>(demand.total_cpu_millis) / static_cast<double>(own.capacity_cpu);
    }
  }
}

void Cell::AddToMove(Submission* submission, const CellDemand& demand, const CellRoom& own,
                     const MoveDestination& destination, MoveBatch* batch, TimePoint now) {
  this->Log(
      EventCode::kSubmissionMoved,
      {{"submission", submission->accepted.id.str()},
       {"from", this->cell_id.str()},
       {"to", destination.cell.str()},
       {"moves", std::to_string(submission->accepted.moves + 1)},
       {"begun", submission->started ? "1" : "0"},
       {"waited-ms", std::to_string((now - submission->arrived_at) / std::chrono::milliseconds(1))},
       {"cpu", std::to_string(demand.cpu_millis)},
       {"count", std::to_string(demand.count)},
       {"slots", std::to_string(destination.room.free_slots.Fitting(demand.cpu_millis))},
       {"share", std::to_string(own.long_running_share)},
       {"other-share", std::to_string(destination.room.long_running_share)},
       {"backlog-ms", std::to_string(own.backlog / std::chrono::milliseconds(1))},
       {"other-backlog-ms",
        std::to_string(destination.room.backlog / std::chrono::milliseconds(1))}});
  submission->moving = true;
  MoveBatch::Row row{submission->accepted,   submission->revision, destination.cell, "",
                     submission->move_alone, submission->begun};
  row.accepted.moves++;
  if (submission->started) {
    row.progress = EncodeProgress(*submission);
    row.accepted.progress = row.progress;
  }
  batch->rows.push_back(std::move(row));
}

void Cell::OnMoved(std::uint64_t number, FencingToken revision, TimePoint now) {
  if (!this->open_move || this->open_move->number != number) {
    return;
  }
  const MoveBatch batch = std::move(*this->open_move);
  this->open_move.reset();
  this->ConfirmWrite(revision, now);
  this->ConfirmLeaseRecord(now);
  for (const MoveBatch::Row& row : batch.rows) {
    const SubmissionId& id = row.accepted.id;
    this->counts.moves++;
    const Submission* submission = this->FindSubmission(id);
    if (submission != nullptr && submission->Ended()) {
      // It failed while the move was open; the other cell goes on without that.
      this->ended_submissions.erase(
          std::remove(this->ended_submissions.begin(), this->ended_submissions.end(), id),
          this->ended_submissions.end());
    }
    this->all_submissions.erase(id);
    this->open_submissions.erase(id);
    this->leaving.erase(id);
    this->durable_states.erase(id);
    if (this->dirty_set.erase(id) != 0) {
      this->dirty.erase(std::find(this->dirty.begin(), this->dirty.end(), id));
    }
    if (this->moved_away.insert_or_assign(id, revision).second) {
      this->moved_away_order.push_back(id);
    }
    const auto back = this->returned.find(id);
    if (back != this->returned.end()) {
      const InboxRecord record = std::move(back->second);
      this->returned.erase(back);
      this->Accept(record.accepted, record.revision, now);
    }
  }
  while (this->moved_away_order.size() > internal::kMaxRememberedMoves) {
    this->moved_away.erase(this->moved_away_order.front());
    this->moved_away_order.pop_front();
  }
}

void Cell::OnMoveRejected(std::uint64_t number, TimePoint now) {
  if (!this->open_move || this->open_move->number != number) {
    return;
  }
  const MoveBatch batch = std::move(*this->open_move);
  this->open_move.reset();
  this->open_bounds.reset();
  this->schedule_due = true;
  for (const MoveBatch::Row& row : batch.rows) {
    Submission* submission = this->FindSubmission(row.accepted.id);
    if (submission == nullptr) {
      continue;
    }
    submission->moving = false;
    this->returned.erase(row.accepted.id);
    this->early_cancels.erase(row.accepted.id);
    submission->next_move_at = now + this->settings.move.pause_after_refusal;
    if (batch.rows.size() == 1) {
      this->StayHere(submission, "move-rejected", now);
      continue;
    }
    // Usually one submission of the write is the cause. Those whose runs have ended for the move
    // are tried again at once.
    submission->move_alone = true;
    if (!submission->leaving_for.empty()) {
      submission->leaving_since = now;
    }
  }
  this->Log(EventCode::kMoveRejected, {{"cell", this->cell_id.str()},
                                       {"submission", batch.rows.front().accepted.id.str()},
                                       {"submissions", std::to_string(batch.rows.size())}});
}

}  // namespace pistachio
