#include <algorithm>
#include <cmath>
#include <set>

#include "pistachio/process/ownership/cell_ownership.h"
#include "pistachio/process/ownership/store_keys.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

void CellOwnership::DriveCommit(const ClusterView* view) {
  State& state = *this->state;
  if (state.open_commit) {
    if (!state.commit_in_flight && state.now >= state.commit_retry_at) {
      this->SendCommit();
    }
    return;
  }
  const auto batch = state.cell->NextCommit(state.now);
  if (!batch) {
    if (view != nullptr && !this->other_cells.empty()) {
      this->StartMove(*view);
    }
    return;
  }
  Transaction commit;
  this->AddSequence(batch->number, batch->leases, &commit);
  for (const auto& [id, bytes] : batch->records) {
    commit.puts.push_back(Put{store_keys::Progress(this->cell_id, id), bytes, 0});
  }
  for (const SubmissionId& id : batch->deleted) {
    commit.removals.push_back(store_keys::AssignedCell(id));
    commit.removals.push_back(store_keys::Accepted(this->cell_id, id));
    commit.removals.push_back(store_keys::CancelMark(this->cell_id, id));
    commit.removals.push_back(store_keys::Progress(this->cell_id, id));
  }
  for (const ForwardedEnd& end : batch->settled_ends) {
    commit.removals.push_back(store_keys::InboxEnd(this->cell_id, end));
  }
  state.open_commit = std::move(commit);
  state.commit_number = batch->number;
  state.commit_is_move = false;
  this->SendCommit();
}

void CellOwnership::UpdateDestinations(const ClusterView& view) {
  State& state = *this->state;
  std::map<CellId, std::uint64_t> revisions;
  for (const CellId& other : this->other_cells) {
    if (view.OwnerOf(other) && view.LoadOf(other)) {
      revisions[other] = view.LoadRevisionOf(other);
    }
  }
  const bool outdated = state.now - state.destinations_read_at >= this->settings.max_estimate_age;
  if (revisions == state.destination_revisions && !outdated) {
    return;
  }
  std::map<CellId, MoveDestination> estimates;
  for (MoveDestination& destination : state.destinations) {
    estimates[destination.cell] = std::move(destination);
  }
  state.destinations.clear();
  for (const auto& [other, revision] : revisions) {
    const auto previous = state.destination_revisions.find(other);
    const bool unchanged = previous != state.destination_revisions.end() &&
                           previous->second == revision && estimates.count(other) != 0;
    if (unchanged && !outdated) {
      state.destinations.push_back(estimates.at(other));
      continue;
    }
    state.destinations.push_back(MoveDestination{other, view.LoadOf(other)->Room()});
  }
  state.destination_revisions = std::move(revisions);
  state.destinations_read_at = state.now;
}

void CellOwnership::SetShapeReader(std::function<CellShape(const CellId&)> reader) {
  this->shape_reader = std::move(reader);
}

void CellOwnership::SetRevisionReader(
    std::function<std::optional<TimePoint>(std::uint64_t)> reader) {
  this->revision_reader = std::move(reader);
}

void CellOwnership::UpdateShapes() {
  State& state = *this->state;
  if (!this->shape_reader) {
    return;
  }
  if (state.now >= state.next_shapes_at) {
    state.next_shapes_at = state.now + this->settings.shape_interval;
    for (const CellId& other : this->other_cells) {
      state.shapes[other] = this->shape_reader(other);
    }
  }
  for (MoveDestination& destination : state.destinations) {
    const auto shape = state.shapes.find(destination.cell);
    if (shape != state.shapes.end()) {
      destination.room.shape = shape->second;
    }
  }
}

void CellOwnership::StartMove(const ClusterView& view) {
  State& state = *this->state;
  // The check reads the records of all hosts, which is too much for each tick.
  if (state.now < state.next_move_at) {
    return;
  }
  state.next_move_at = state.now + this->settings.move_interval;
  if (!view.AllHostsFollowMoves()) {
    return;
  }
  this->UpdateDestinations(view);
  this->UpdateShapes();
  for (MoveDestination& destination : state.destinations) {
    const auto owner = view.OwnerOf(destination.cell);
    destination.takes_begun = owner && owner->record.reads_progress;
  }
  const auto batch = state.cell->NextMove(&state.destinations, state.now);
  if (!batch) {
    return;
  }
  Transaction move;
  state.moving.clear();
  this->AddSequence(batch->number, batch->leases, &move);
  std::set<CellId> cells_with_condition;
  for (const MoveBatch::Row& row : batch->rows) {
    const SubmissionId& id = row.accepted.id;
    if (!row.progress.empty()) {
      // An owner of an earlier version could miss the progress.
      if (cells_with_condition.insert(row.destination).second) {
        move.preconditions.push_back(
            {store_keys::Owner(row.destination), view.OwnerOf(row.destination)->revision});
      }
      move.puts.push_back(Put{store_keys::Progress(row.destination, id), row.progress, 0});
      move.removals.push_back(store_keys::Progress(this->cell_id, id));
    }
    move.preconditions.push_back({store_keys::Accepted(this->cell_id, id), row.revision});
    move.preconditions.push_back({store_keys::CancelMark(this->cell_id, id), 0});
    move.puts.push_back(Put{store_keys::AssignedCell(id), row.destination.str(), 0});
    move.puts.push_back(
        Put{store_keys::Accepted(row.destination, id), EncodeAccepted(row.accepted), 0});
    move.removals.push_back(store_keys::Accepted(this->cell_id, id));
    if (!row.begun) {
      state.moving.emplace_back(row.accepted.queue.id, row.destination);
    }
  }
  state.open_commit = std::move(move);
  state.commit_number = batch->number;
  state.commit_is_move = true;
  this->SendCommit();
}

void CellOwnership::ForwardEnds() {
  State& state = *this->state;
  state.end_forwarder.Update(state.cell->EndsToForward());
  while (auto call = state.end_forwarder.NextCall(state.now)) {
    this->CallStore(call->call, this->settings.commit_timeout,
                    [this, end = call->end](const StoreReply& reply) {
                      State& state = *this->state;
                      if (state.end_forwarder.OnReply(end, reply, this->cell_id,
                                                      this->inbox->revision(), state.now)) {
                        state.cell->OnEndForwarded(end, state.now);
                      }
                    });
  }
}

void CellOwnership::AddSequence(std::uint64_t number, const LeaseRecord& leases,
                                Transaction* write) {
  const State& state = *this->state;
  write->preconditions = {{store_keys::Owner(this->cell_id), state.fencing_token},
                          {store_keys::Sequence(this->cell_id), state.sequence_revision}};
  SequenceRecord record{state.owner_record, leases};
  record.writer.nonce += number;
  write->puts.push_back(Put{store_keys::Sequence(this->cell_id), EncodeRecord(record), 0});
}

void CellOwnership::SendCommit() {
  State& state = *this->state;
  state.commit_in_flight = true;
  state.commit_sent_at = state.now;
  this->CallStore(*state.open_commit, state.commit_timeout,
                  [this](const StoreReply& reply) { this->OnCommitted(reply); });
}

void CellOwnership::OnCommitted(const StoreReply& reply) {
  State& state = *this->state;
  state.commit_in_flight = false;
  std::uint64_t revision = 0;
  if (reply.status == StoreStatus::kOk) {
    revision = reply.revision;
  } else if (reply.status == StoreStatus::kConflict) {
    const StoreItem owner = FindItem(reply, store_keys::Owner(this->cell_id));
    const StoreItem last_commit = FindItem(reply, store_keys::Sequence(this->cell_id));
    const bool still_owner = owner.revision == state.fencing_token;
    const bool commit_took_effect = last_commit.value == state.open_commit->puts.front().value;
    const bool move_rejected = state.commit_is_move && still_owner && !commit_took_effect &&
                               last_commit.revision == state.sequence_revision;
    if (move_rejected) {
      state.open_commit.reset();
      state.cell->ConfirmOwnership(state.commit_sent_at);
      state.cell->OnMoveRejected(state.commit_number, state.now);
      return;
    }
    if (!commit_took_effect) {
      this->EndOwnership(still_owner ? "sequence-broken" : "owner-key-changed");
      return;
    }
    revision = last_commit.revision;
    if (!still_owner) {
      this->EndOwnership("owner-key-changed");
      return;
    }
  } else {
    this->Log(EventCode::kCommitUnanswered, {{"cell", this->cell_id.str()},
                                             {"commit", std::to_string(state.commit_number)},
                                             {"answer", NameOf(reply.status)},
                                             {"reason", reply.reason}});
    if (reply.status == StoreStatus::kUnknown) {
      state.commit_timeout = std::min(state.commit_timeout * 2, this->settings.max_commit_timeout);
    }
    state.commit_retry_at = state.now + this->settings.retry_delay;
    return;
  }
  state.sequence_revision = revision;
  state.commit_timeout = this->settings.commit_timeout;
  state.open_commit.reset();
  state.cell->ConfirmOwnership(state.commit_sent_at);
  if (state.commit_is_move) {
    for (const auto& [queue, destination] : state.moving) {
      state.departures.Add(queue, destination, revision, state.now);
    }
    state.cell->OnMoved(state.commit_number, revision, state.now);
  } else {
    state.cell->OnCommitted(state.commit_number, revision, state.now);
  }
}

ForecastLoad CellOwnership::RoundedForecast() {
  constexpr double kFactorStepsPerUnit = 20.0;
  // Weight of the time since the last record; the rate covers the last 3 s or so.
  constexpr double kRateWeight = 0.4;
  State& state = *this->state;
  ForecastLoad load = state.cell->LoadForForecast();
  const double ended = state.cell->counters().ended_core_seconds;
  const double seconds = std::chrono::duration<double>(state.now - state.ended_counted_at).count();
  if (ended >= state.ended_core_seconds && state.ended_counted_at >= state.taken_at) {
    const double rate = (ended - state.ended_core_seconds) / std::max(seconds, 0.1);
    state.end_rate += kRateWeight * (rate - state.end_rate);
  } else {
    state.end_rate = 0.0;
  }
  state.ended_core_seconds = ended;
  state.ended_counted_at = state.now;
  for (auto& [priority, work] : load.waiting) {
    work = std::round(work);
  }
  load.end_rate = std::round(state.end_rate);
  load.cores_in_use = std::round(load.cores_in_use);
  load.free_cores = std::round(load.free_cores);
  const auto rounded = [](double value) {
    return std::round(value * kFactorStepsPerUnit) / kFactorStepsPerUnit;
  };
  load.factor = {rounded(load.factor.mean_log), rounded(load.factor.deviation_log)};
  return load;
}

void CellOwnership::PublishLoad(const ClusterView& view) {
  State& state = *this->state;
  state.next_load_at = state.now + this->settings.load_interval;
  LoadRecord load;
  if (!std::exchange(state.earlier_count_read, true)) {
    const auto earlier = view.LoadOf(this->cell_id);
    if (const auto count = earlier ? earlier->Count() : std::nullopt) {
      state.cell->SetEarlierCount(*count);
    }
  }
  load.pending = state.cell->CountNotBegun();
  load.counted_revision = this->inbox->revision();
  load.moves_known_since = state.fencing_token;
  if (!state.departures.empty()) {
    state.departures.AddTo(ReadCountedRevisions(view, this->other_cells), state.now, &load);
  }
  // Rounds to 100 ms and 0.01, which keeps the record short.
  constexpr Duration kBacklogStep = std::chrono::milliseconds(100);
  constexpr double kStepsPerShare = 100.0;
  const CellRoom room = state.cell->Room(state.now);
  load.backlog = room.backlog / kBacklogStep * kBacklogStep;
  load.long_running_share = std::round(room.long_running_share * kStepsPerShare) / kStepsPerShare;
  if (!this->other_cells.empty()) {
    load.targets = room.targets;
    load.capacity_cpu = room.capacity_cpu;
    load.batch_cpu = room.batch_cpu;
    load.free_slots = room.free_slots;
    if (this->settings.publish_forecast) {
      load.forecast = this->RoundedForecast();
    }
  }
  if (state.load_in_flight) {
    return;
  }
  // Written also if nothing has changed: without it, other hosts do not know that nothing has.
  state.load_in_flight = true;
  Transaction write;
  write.preconditions = {{store_keys::Owner(this->cell_id), state.fencing_token}};
  write.puts = {Put{store_keys::Load(this->cell_id), EncodeRecord(load), 0}};
  if (state.now >= state.next_model_at) {
    state.next_model_at = state.now + this->settings.model_interval;
    write.puts.push_back(Put{store_keys::Model(this->cell_id), state.cell->EncodeModel(), 0});
  }
  const auto on_reply = [this, sent_at = state.now](const StoreReply& reply) {
    State& state = *this->state;
    state.load_in_flight = false;
    if (reply.status == StoreStatus::kOk) {
      state.cell->ConfirmOwnership(sent_at);
      state.cell->ConfirmWrite(reply.revision, state.now);
    } else if (reply.status == StoreStatus::kConflict) {
      this->EndOwnership("owner-key-changed");
    }
  };
  this->CallStore(write, this->settings.commit_timeout, on_reply);
}

}  // namespace pistachio
