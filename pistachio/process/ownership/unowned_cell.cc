#include "pistachio/process/ownership/unowned_cell.h"

#include <algorithm>
#include <set>

#include "pistachio/process/ownership/store_keys.h"
#include "pistachio/process/runtime/random.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

namespace internal {

/// Most submissions in one move. The store accepts 32 entries per write. One is the condition on
/// the owner, and a submission takes six.
constexpr std::size_t kMaxMovesPerWrite = 5;

/// \returns a number in [0, 1) that differs between submissions.
double DrawFor(const SubmissionId& id) {
  constexpr std::uint64_t kSteps = 1024;
  return static_cast<double>(StableHash(id.str(), kSteps) % kSteps) / static_cast<double>(kSteps);
}

/// \returns a load that any other cell improves on.
CellRoom RoomWithoutOwner() {
  CellRoom room;
  room.backlog = std::chrono::hours(1);
  room.long_running_share = 10.0;
  return room;
}

}  // namespace internal

UnownedCell::UnownedCell(CellId cell, std::vector<CellId> other_cells,
                         const UnownedCellSettings& settings, StorePort store)
    : cell(std::move(cell)),
      other_cells(std::move(other_cells)),
      settings(settings),
      store(std::move(store)) {}

void UnownedCell::CallStore(const StoreCall& call,
                            std::function<void(const StoreReply&)> on_reply) {
  this->store(call, this->settings.call_timeout,
              [state = this->state, generation = this->state->generation,
               on_reply = std::move(on_reply)](const StoreReply& reply) {
                if (state->generation == generation) {
                  on_reply(reply);
                }
              });
}

bool UnownedCell::IsResponsible(const ClusterView& view, const Membership& membership) const {
  const auto rank = [this](const HostId& host) {
    return std::make_pair(StableHash(host.str() + this->cell.str()), host);
  };
  const std::vector<MemberRecord> members = view.Members();
  const auto first =
      std::min_element(members.begin(), members.end(),
                       [&](const auto& a, const auto& b) { return rank(a.host) < rank(b.host); });
  return membership.lease() != 0 && first != members.end() && first->host == membership.self().host;
}

void UnownedCell::Tick(TimePoint now, const ClusterView& view, const Membership& membership) {
  State& state = *this->state;
  state.now = now;
  constexpr Duration kMaxViewAge = std::chrono::milliseconds(2500);
  if (!view.IsFresh(now, kMaxViewAge) || view.OwnerOf(this->cell)) {
    state.unowned_since = TimePoint{};
    state.generation += state.reading ? 1 : 0;
    state.reading = false;
    return;
  }
  if (state.unowned_since == TimePoint{}) {
    state.unowned_since = now;
    state.unowned_revision = view.revision();
  }
  const bool due = now - state.unowned_since >= this->settings.start_after &&
                   now >= state.next_read_at && !state.reading;
  if (!due || !view.AllHostsFollowMoves() || !this->IsResponsible(view, membership)) {
    return;
  }
  state.next_read_at = now + this->settings.read_interval;
  state.reading = true;
  state.inbox.clear();
  state.progress.clear();
  state.last_load = view.LoadOf(this->cell).value_or(LoadRecord{});
  state.destinations = ReadDestinations(view, this->other_cells);
  state.counted_revisions = ReadCountedRevisions(view, this->other_cells);
  this->RecordAbsence();
  this->ReadInboxPage("");
}

void UnownedCell::RecordAbsence() {
  const State& state = *this->state;
  Transaction write;
  write.preconditions = {Precondition{store_keys::Owner(this->cell), 0}};
  const AbsenceRecord record{state.now - state.unowned_since, state.unowned_revision};
  write.puts = {Put{store_keys::Absence(this->cell), EncodeRecord(record), 0}};
  this->CallStore(write, [](const StoreReply&) {});
}

void UnownedCell::ReadInboxPage(const std::string& after_key) {
  this->CallStore(ReadRange{store_keys::InboxPrefix(this->cell), after_key},
                  [this](const StoreReply& reply) {
                    State& state = *this->state;
                    if (reply.status != StoreStatus::kOk) {
                      state.reading = false;
                      return;
                    }
                    if (state.inbox.empty()) {
                      state.inbox_revision = reply.revision;
                    }
                    state.inbox.insert(state.inbox.end(), reply.items.begin(), reply.items.end());
                    if (reply.truncated && !reply.items.empty()) {
                      this->ReadInboxPage(reply.items.back().key);
                    } else {
                      this->ReadProgressPage("");
                    }
                  });
}

void UnownedCell::ReadProgressPage(const std::string& after_key) {
  const std::string prefix = store_keys::ProgressPrefix(this->cell);
  this->CallStore(ReadRange{prefix, after_key}, [this, prefix](const StoreReply& reply) {
    State& state = *this->state;
    if (reply.status != StoreStatus::kOk) {
      state.reading = false;
      return;
    }
    for (const StoreItem& item : reply.items) {
      if (const auto id = store_keys::StripPrefix(prefix, item.key)) {
        state.progress[SubmissionId(*id)] = item.value;
      }
    }
    if (reply.truncated && !reply.items.empty()) {
      this->ReadProgressPage(reply.items.back().key);
      return;
    }
    state.reading = false;
    this->OnRead();
  });
}

SubmissionCount UnownedCell::Count(const AcceptedSubmission& accepted) const {
  const auto progress = this->state->progress.find(accepted.id);
  if (progress == this->state->progress.end()) {
    return {1, 0};
  }
  Submission submission;
  submission.accepted = accepted;
  if (!DecodeProgress(progress->second, &submission) || submission.begun || submission.Ended()) {
    return {};
  }
  // The next owner inherits these tasks, see Cell::CountNotBegun().
  const bool unconfirmed =
      submission.AnyTask([](const Task& task) { return task.HoldsResources(); });
  return unconfirmed ? SubmissionCount{0, 1} : SubmissionCount{1, 0};
}

void UnownedCell::NoteDepartures() {
  State& state = *this->state;
  for (const StoreItem& item : state.inbox) {
    const auto id =
        store_keys::StripPrefix(store_keys::InboxSubmissionsPrefix(this->cell), item.key);
    if (id) {
      state.moving.erase(SubmissionId(*id));
    }
  }
  for (const auto& [id, departure] : std::exchange(state.moving, {})) {
    state.departures.Add(departure.first, departure.second, state.inbox_revision, state.now);
  }
}

void UnownedCell::OnRead() {
  State& state = *this->state;
  std::set<SubmissionId> cancelled;
  for (const StoreItem& item : state.inbox) {
    const auto id = store_keys::StripPrefix(store_keys::InboxCancelsPrefix(this->cell), item.key);
    if (id) {
      cancelled.insert(SubmissionId(*id));
    }
  }
  this->NoteDepartures();
  const Precondition no_owner{store_keys::Owner(this->cell), 0};
  LoadRecord load = state.last_load;
  load.pending.clear();
  Transaction move;
  move.preconditions = {no_owner};
  for (const StoreItem& item : state.inbox) {
    const auto id =
        store_keys::StripPrefix(store_keys::InboxSubmissionsPrefix(this->cell), item.key);
    const bool wanted = id && cancelled.count(SubmissionId(*id)) == 0;
    auto accepted = wanted ? DecodeAccepted(item.value) : std::nullopt;
    if (!accepted) {
      continue;
    }
    const SubmissionCount count = this->Count(*accepted);
    SubmissionCount& pending = load.pending[accepted->queue.id];
    pending.waiting += count.waiting;
    pending.unconfirmed += count.unconfirmed;
    if (count.waiting == 0) {
      continue;
    }
    const bool may_move = accepted->spec.repeat_count == 0 &&
                          state.progress.count(accepted->id) == 0 &&
                          accepted->moves < this->settings.move.max_moves &&
                          move.removals.size() < internal::kMaxMovesPerWrite;
    const CellDemand demand = DemandOf(accepted->spec);
    const auto chosen =
        may_move ? ChooseDestination(demand, internal::RoomWithoutOwner(), state.destinations,
                                     internal::DrawFor(accepted->id), this->settings.move)
                 : std::nullopt;
    if (!chosen) {
      continue;
    }
    MoveDestination& destination = state.destinations[*chosen];
    AddDemand(demand, &destination.room);
    accepted->moves++;
    move.preconditions.push_back({item.key, item.revision});
    move.preconditions.push_back({store_keys::CancelMark(this->cell, accepted->id), 0});
    move.preconditions.push_back({store_keys::Progress(this->cell, accepted->id), 0});
    move.puts.push_back(Put{store_keys::AssignedCell(accepted->id), destination.cell.str(), 0});
    move.puts.push_back(
        Put{store_keys::Accepted(destination.cell, accepted->id), EncodeAccepted(*accepted), 0});
    move.removals.push_back(item.key);
    state.moving[accepted->id] = {accepted->queue.id, destination.cell};
    state.events.push_back({EventCode::kSubmissionMoved,
                            {{"submission", accepted->id.str()},
                             {"from", this->cell.str()},
                             {"to", destination.cell.str()},
                             {"moves", std::to_string(accepted->moves)},
                             {"cause", "no-owner"}}});
  }
  state.inbox.clear();
  state.progress.clear();
  load.counted_revision = state.inbox_revision;
  state.departures.AddTo(state.counted_revisions, state.now, &load);
  Transaction publish;
  publish.preconditions = {no_owner};
  publish.puts = {Put{store_keys::Load(this->cell), EncodeRecord(load), 0}};
  this->CallStore(publish, [](const StoreReply&) {});
  if (move.removals.empty()) {
    return;
  }
  // A rejected or unanswered move is not repeated; the next read shows what is left.
  state.next_read_at = state.now;
  this->CallStore(move, [this](const StoreReply& reply) {
    if (reply.status == StoreStatus::kConflict) {
      this->state->events.push_back(
          {EventCode::kMoveRejected, {{"cell", this->cell.str()}, {"cause", "changed"}}});
    }
  });
}

}  // namespace pistachio
