#include "pistachio/process/ownership/cell_ownership.h"

#include <algorithm>

#include "pistachio/process/ownership/store_keys.h"
#include "pistachio/process/runtime/random.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

CellOwnership::CellOwnership(CellScope scope, std::vector<CellId> other_cells,
                             const CellOwnershipSettings& settings,
                             const CellSettings& cell_settings, StorePort store,
                             ReachabilityProbe probe)
    : cell_id(std::move(scope.cell)),
      other_cells(std::move(other_cells)),
      scope_data_centres(std::move(scope.data_centres)),
      settings(settings),
      cell_settings(cell_settings),
      store(std::move(store)),
      probe(std::move(probe)) {}

void CellOwnership::CallStore(const StoreCall& call, Duration timeout,
                              std::function<void(const StoreReply&)> on_reply) {
  this->store(call, timeout,
              [state = this->state, generation = this->state->generation,
               on_reply = std::move(on_reply)](const StoreReply& reply) {
                if (state->generation == generation) {
                  on_reply(reply);
                }
              });
}

void CellOwnership::Tick(TimePoint now, WallTime wall, const ClusterView& view,
                         const Membership& membership) {
  State& state = *this->state;
  state.now = now;
  state.lease = membership.lease();
  if (this->inbox) {
    this->inbox->Tick(now);
  }
  switch (state.phase) {
    case Phase::kIdle:
      this->TakeIfAllowed(view, membership);
      break;
    case Phase::kTaking:
    case Phase::kLoading:
      if (state.retry_call && now >= state.retry_at) {
        std::exchange(state.retry_call, nullptr)();
      }
      break;
    case Phase::kOwning:
      state.cell->Tick(now, wall);
      this->MaintainOwnership(view, membership);
      break;
    case Phase::kReleasing:
      this->DriveCommit(nullptr);
      if ((state.cell->idle() && !state.open_commit) || now >= state.release_deadline) {
        this->FinishRelease();
      }
      break;
  }
}

void CellOwnership::TakeIfAllowed(const ClusterView& view, const Membership& membership) {
  State& state = *this->state;
  const bool can_try = !state.stopping && membership.lease() != 0 &&
                       state.now >= state.next_take_at &&
                       view.IsFresh(state.now, this->settings.max_view_age);
  std::uint64_t revision = 0;
  if (!can_try || !this->MayTake(view, membership, &revision)) {
    return;
  }
  state.owner_record =
      OwnerRecord{membership.self().host, membership.self().incarnation, RandomId() >> 1U, true};
  this->ReadSequence(revision);
}

bool CellOwnership::MayTake(const ClusterView& view, const Membership& membership,
                            std::uint64_t* revision) {
  State& state = *this->state;
  const auto owner = view.OwnerOf(this->cell_id);
  if (owner) {
    state.unowned_since = TimePoint{};
    state.seen_absence.reset();
    state.recorded_absence.reset();
    *revision = owner->revision;
    // This process does not own the cell now. If the owner key names this host, the key is left
    // from an earlier process, from an ownership that has ended or from a take whose answer was
    // lost, and may be replaced.
    return owner->record.host == membership.self().host;
  }
  this->NoteAbsence(view);
  if (state.unowned_since == TimePoint{}) {
    state.unowned_since = state.now;
    state.targets_reachable = false;
  }
  if (!this->IsInScope(membership.self().data_centre)) {
    return this->RemoteHostMayTake(view);
  }
  const MemberRecord& self = membership.self();
  const std::vector<OwnerCandidate> candidates = this->Candidates(view);
  Duration delay =
      this->settings.takeover_rank_delay * RankOf(self.host, candidates, this->cell_id);
  if (HasMuchStrongerIdleHost({self.host, self.cpu_millis, 0}, candidates)) {
    delay += this->settings.weak_host_takeover_delay;
  }
  return state.now - state.unowned_since >= delay;
}

void CellOwnership::NoteAbsence(const ClusterView& view) {
  State& state = *this->state;
  if (!state.seen_absence) {
    state.seen_absence = State::Absence{state.now, view.revision()};
  }
  const auto record = view.AbsenceOf(this->cell_id);
  const bool newer =
      record && (!state.recorded_absence || record->revision != state.recorded_absence->revision);
  if (newer) {
    // The record may have been written earlier, so the cell has been without an owner for longer.
    state.recorded_absence = State::Absence{state.now - record->time, record->revision};
  } else if (record) {
    state.recorded_absence->at = std::min(state.recorded_absence->at, state.now - record->time);
  }
}

std::vector<OwnerCandidate> CellOwnership::Candidates(const ClusterView& view) const {
  std::vector<OwnerCandidate> candidates;
  for (const MemberRecord& member : view.MembersOf(this->scope_data_centres)) {
    candidates.push_back({member.host, member.cpu_millis, view.OwnedCellCount(member.host)});
  }
  return candidates;
}

bool CellOwnership::IsInScope(const DataCentreId& data_centre) const {
  return std::find(this->scope_data_centres.begin(), this->scope_data_centres.end(), data_centre) !=
         this->scope_data_centres.end();
}

bool CellOwnership::RemoteHostMayTake(const ClusterView& view) {
  State& state = *this->state;
  if (!view.MembersOf(this->scope_data_centres).empty()) {
    state.unowned_since = state.now;
    return false;
  }
  if (state.now - state.unowned_since < this->settings.remote_takeover_delay) {
    return false;
  }
  if (!state.targets_reachable && !state.probe_in_flight) {
    // If this host can reach no target, the cell's data centre may be cut off while the former
    // owner still works inside it. Taking the cell would not help.
    state.probe_in_flight = true;
    this->probe([state = this->state](bool reached) {
      state->probe_in_flight = false;
      state->targets_reachable = reached;
      state->next_take_at = reached ? state->now : state->now + std::chrono::seconds(1);
    });
  }
  return state.targets_reachable;
}

void CellOwnership::ReadSequence(std::uint64_t expected_revision) {
  State& state = *this->state;
  state.generation++;
  state.phase = Phase::kTaking;
  state.take_in_doubt = false;
  state.retry_call = nullptr;
  this->CallStore(ReadKey{store_keys::Sequence(this->cell_id)}, this->settings.take_timeout,
                  [this, expected_revision](const StoreReply& reply) {
                    const bool found = reply.status == StoreStatus::kOk && !reply.items.empty();
                    if (!found && reply.status != StoreStatus::kMissing) {
                      this->state->phase = Phase::kIdle;
                      this->state->next_take_at = this->state->now + this->settings.retry_delay;
                      return;
                    }
                    this->TakeOwnership(expected_revision,
                                        found ? reply.items.front() : StoreItem());
                  });
}

LeaseRecord CellOwnership::LeasesLeft(const StoreItem& sequence) const {
  const auto former = DecodeSequence(sequence.value);
  LeaseRecord leases = former ? former->leases : LeaseRecord();
  const auto written_by =
      this->revision_reader ? this->revision_reader(sequence.revision) : std::optional<TimePoint>();
  const Duration passed =
      written_by ? std::max(Duration(0), this->state->now - *written_by) : Duration(0);
  for (LeaseBounds* bounds : {&leases.bounds, &leases.long_leases}) {
    for (auto& [target, bound] : *bounds) {
      bound = std::max(Duration(0), bound - passed);
    }
  }
  return leases;
}

void CellOwnership::TakeOwnership(std::uint64_t expected_revision, const StoreItem& sequence) {
  State& state = *this->state;
  state.inherited_leases = this->LeasesLeft(sequence);
  state.is_first_owner = sequence.revision == 0;
  // Each owner writes the sequence when it takes the cell. If that was before the absence, there
  // was no owner since.
  state.no_owner_at = TimePoint::max();
  for (const auto& absence : {state.seen_absence, state.recorded_absence}) {
    if (expected_revision == 0 && absence && sequence.revision <= absence->revision) {
      state.no_owner_at = std::min(state.no_owner_at, absence->at);
    }
  }
  Transaction take;
  take.preconditions.push_back(Precondition{store_keys::Owner(this->cell_id), expected_revision});
  take.preconditions.push_back(
      Precondition{store_keys::Sequence(this->cell_id), sequence.revision});
  take.puts.push_back(
      Put{store_keys::Owner(this->cell_id), EncodeRecord(state.owner_record), state.lease});
  take.puts.push_back(Put{store_keys::Sequence(this->cell_id),
                          EncodeRecord(SequenceRecord{state.owner_record, state.inherited_leases}),
                          0});
  this->SendTake(take);
}

void CellOwnership::SendTake(const Transaction& take) {
  this->state->take_sent_at = this->state->now;
  this->CallStore(take, this->settings.take_timeout,
                  [this, take](const StoreReply& reply) { this->OnTaken(reply, take); });
}

void CellOwnership::OnTaken(const StoreReply& reply, const Transaction& take) {
  State& state = *this->state;
  std::uint64_t fencing_token = 0;
  if (reply.status == StoreStatus::kOk) {
    fencing_token = reply.revision;
  } else if (reply.status == StoreStatus::kConflict) {
    const StoreItem found = FindItem(reply, store_keys::Owner(this->cell_id));
    // An earlier attempt of the same take may have taken effect although its answer was lost.
    fencing_token = found.value == take.puts.front().value ? found.revision : 0;
  }
  if (fencing_token != 0) {
    this->StartLoading(fencing_token);
    return;
  }
  state.phase = Phase::kIdle;
  state.next_take_at = state.now + this->settings.retry_delay;
  this->Log(
      EventCode::kTakeFailed,
      {{"cell", this->cell_id.str()}, {"answer", NameOf(reply.status)}, {"reason", reply.reason}});
  // The refusal of a repetition says nothing of the attempts before.
  const bool refused = reply.status == StoreStatus::kRefused;
  state.take_in_doubt = reply.status == StoreStatus::kUnknown || (refused && state.take_in_doubt);
  if (state.take_in_doubt) {
    // The transaction may still take effect. OnTaken() recognises the effect of an identical
    // repetition by its value. A different transaction could take effect in addition.
    state.phase = Phase::kTaking;
    this->ScheduleRetry([this, take] { this->SendTake(take); });
  }
}

void CellOwnership::ScheduleRetry(std::function<void()> call) {
  this->state->retry_call = std::move(call);
  this->state->retry_at = this->state->now + this->settings.retry_delay;
}

void CellOwnership::StartLoading(std::uint64_t fencing_token) {
  State& state = *this->state;
  state.phase = Phase::kLoading;
  state.taken_at = state.now;
  state.fencing_token = fencing_token;
  state.sequence_revision = fencing_token;
  state.progress_items.clear();
  state.progress_read = false;
  state.model_read = false;
  state.next_model_at = state.now + this->settings.model_interval;
  state.open_commit.reset();
  state.commit_in_flight = false;
  state.commit_is_move = false;
  state.departures.Clear();
  state.end_forwarder.Clear();
  state.missed.clear();
  state.destination_revisions.clear();
  state.load_in_flight = false;
  state.earlier_count_read = false;
  state.commit_timeout = this->settings.commit_timeout;
  state.better_owner_since = state.now;
  state.seen_as_owner = false;
  state.retry_call = nullptr;
  state.cell = std::make_unique<Cell>(this->cell_id, this->cell_settings, fencing_token, state.now);
  state.cell->ConfirmOwnership(state.take_sent_at);
  state.cell->InheritLeases(state.inherited_leases);
  if (state.is_first_owner) {
    state.cell->SetFirstOwner();
  }
  state.cell->InheritAbsence(std::min(state.no_owner_at, state.now));
  state.seen_absence.reset();
  state.recorded_absence.reset();
  this->Log(EventCode::kCellTaken,
            {{"cell", this->cell_id.str()}, {"token", std::to_string(fencing_token)}});
  MirrorSettings mirror;
  mirror.prefix = store_keys::InboxPrefix(this->cell_id);
  this->inbox = std::make_unique<PrefixMirror>(
      mirror, this->store, [this](const StoreItem& item) { this->OnInboxChange(item); },
      [this] { this->FinishLoadingIfReady(); });
  this->inbox->Start(state.now);
  this->ReadModel();
  this->ReadProgressPage("");
}

void CellOwnership::ReadModel() {
  this->CallStore(ReadKey{store_keys::Model(this->cell_id)}, this->settings.take_timeout,
                  [this](const StoreReply& reply) {
                    State& state = *this->state;
                    // The interference model only improves placement, so a failed read is not
                    // repeated and loading goes on without a model.
                    state.model_read = true;
                    if (reply.status == StoreStatus::kOk && !reply.items.empty()) {
                      state.cell->LoadModel(reply.items.front().value, state.now);
                    }
                    this->FinishLoadingIfReady();
                  });
}

void CellOwnership::ReadProgressPage(const std::string& after_key) {
  this->CallStore(ReadRange{store_keys::ProgressPrefix(this->cell_id), after_key},
                  this->settings.read_timeout, [this, after_key](const StoreReply& reply) {
                    State& state = *this->state;
                    if (reply.status != StoreStatus::kOk) {
                      this->ScheduleRetry([this, after_key] { this->ReadProgressPage(after_key); });
                      return;
                    }
                    for (const StoreItem& item : reply.items) {
                      state.progress_items[item.key] = item;
                    }
                    if (reply.truncated && !reply.items.empty()) {
                      this->ReadProgressPage(reply.items.back().key);
                      return;
                    }
                    state.progress_read = true;
                    this->FinishLoadingIfReady();
                  });
}

void CellOwnership::FinishLoadingIfReady() {
  State& state = *this->state;
  if (state.phase != Phase::kLoading || !state.progress_read || !state.model_read ||
      !this->inbox->loaded()) {
    return;
  }
  Cell& cell = *state.cell;
  cell.SetConfiguration(this->configuration);
  cell.SetEvacuatedDataCentres(this->evacuated_data_centres);
  // Progress records may name targets that are no longer registered. The cell needs the addresses
  // of these targets to ask them which runs are still alive, so it learns them as unregistered.
  for (const auto& [id, entry] : this->departed_targets) {
    cell.PutTarget(entry, state.now);
    cell.RemoveTarget(id, state.now);
  }
  for (const auto& [id, entry] : this->targets) {
    cell.PutTarget(entry, state.now);
  }
  const std::string submissions = store_keys::InboxSubmissionsPrefix(this->cell_id);
  const std::string cancels = store_keys::InboxCancelsPrefix(this->cell_id);
  const std::string ends = store_keys::InboxEndsPrefix(this->cell_id);
  for (const auto& [key, item] : this->inbox->items()) {
    if (const auto cancelled = store_keys::StripPrefix(cancels, key)) {
      cell.Cancel(SubmissionId(*cancelled), {"load", item.revision}, state.now);
      continue;
    }
    if (store_keys::StripPrefix(ends, key)) {
      continue;
    }
    const auto id = store_keys::StripPrefix(submissions, key);
    const auto accepted = id ? DecodeAccepted(item.value) : std::nullopt;
    if (!accepted) {
      this->Log(EventCode::kRecordUnreadable, {{"key", key}});
      continue;
    }
    const auto progress =
        state.progress_items.find(store_keys::Progress(this->cell_id, SubmissionId(*id)));
    const bool has_progress = progress != state.progress_items.end();
    cell.Load(*accepted, item.revision,
              has_progress ? std::optional<std::string>(progress->second.value) : std::nullopt,
              state.now);
  }
  state.progress_items.clear();
  state.phase = Phase::kOwning;
  cell.FinishLoading(state.now);
  for (const auto& [key, item] : this->inbox->items()) {
    if (store_keys::StripPrefix(ends, key)) {
      this->OnInboxChange(item);
    }
  }
}

void CellOwnership::OnInboxChange(const StoreItem& item) {
  State& state = *this->state;
  if (state.phase != Phase::kOwning || item.removed) {
    return;
  }
  const auto cancelled =
      store_keys::StripPrefix(store_keys::InboxCancelsPrefix(this->cell_id), item.key);
  if (cancelled) {
    state.cell->Cancel(SubmissionId(*cancelled), {"inbox", item.revision}, state.now);
    return;
  }
  if (const auto text =
          store_keys::StripPrefix(store_keys::InboxEndsPrefix(this->cell_id), item.key)) {
    if (const auto end = ParseForwardedEnd(*text)) {
      state.cell->OnEndReceived(*end, state.now);
    } else {
      this->Log(EventCode::kRecordUnreadable, {{"key", item.key}});
    }
    return;
  }
  if (const auto accepted = DecodeAccepted(item.value)) {
    state.cell->Accept(*accepted, item.revision, state.now);
  } else {
    this->Log(EventCode::kRecordUnreadable, {{"key", item.key}});
  }
}

void CellOwnership::MaintainOwnership(const ClusterView& view, const Membership& membership) {
  State& state = *this->state;
  const auto owner = view.OwnerOf(this->cell_id);
  if (owner && owner->revision > state.fencing_token) {
    this->EndOwnership("another-owner");
    return;
  }
  if (owner && owner->revision == state.fencing_token) {
    state.seen_as_owner = true;
    state.cell->ConfirmOwnership(view.valid_at());
  } else if (state.seen_as_owner) {
    this->EndOwnership("owner-key-gone");
    return;
  }
  if (state.cell->fenced()) {
    this->EndOwnership("fenced-by-target");
    return;
  }
  this->AdoptMissedSubmissions();
  this->ForwardEnds();
  this->DriveCommit(&view);
  if (state.phase == Phase::kOwning && state.now >= state.next_load_at) {
    this->PublishLoad(view);
  }
  if (state.phase == Phase::kOwning) {
    this->HandOverIfDue(view, membership);
  }
}

void CellOwnership::AdoptMissedSubmissions() {
  State& state = *this->state;
  if (state.phase != Phase::kOwning) {
    return;
  }
  const std::string submissions = store_keys::InboxSubmissionsPrefix(this->cell_id);
  const auto is_missed = [&state, &submissions](const std::string& key) {
    const auto id = store_keys::StripPrefix(submissions, key);
    return id && !state.cell->Knows(SubmissionId(*id));
  };
  // A copy of the inbox without the owner's last writes still has what these have removed.
  if (!state.missed.empty() && this->inbox->revision() >= state.missed_as_of) {
    for (const auto& [key, revision] : std::exchange(state.missed, {})) {
      const auto item = this->inbox->items().find(key);
      const bool same = item != this->inbox->items().end() && item->second.revision == revision;
      if (same && is_missed(key)) {
        this->AdoptMissed(item->second);
      }
    }
  }
  if (state.now < state.next_inbox_check_at) {
    return;
  }
  state.next_inbox_check_at = state.now + this->settings.inbox_check_interval;
  state.missed.clear();
  state.missed_as_of = state.cell->confirmed_write();
  for (const auto& [key, item] : this->inbox->items()) {
    if (is_missed(key)) {
      state.missed.emplace(key, item.revision);
    }
  }
}

void CellOwnership::AdoptMissed(const StoreItem& item) {
  State& state = *this->state;
  const auto accepted = DecodeAccepted(item.value);
  if (!accepted) {
    return;
  }
  this->Log(EventCode::kSubmissionMissed, {{"cell", this->cell_id.str()},
                                           {"submission", accepted->id.str()},
                                           {"revision", std::to_string(item.revision)}});
  state.cell->Accept(*accepted, item.revision, state.now);
  const auto cancel =
      this->inbox->items().find(store_keys::CancelMark(this->cell_id, accepted->id));
  if (cancel != this->inbox->items().end()) {
    this->OnInboxChange(cancel->second);
  }
}

void CellOwnership::HandOverIfDue(const ClusterView& view, const Membership& membership) {
  State& state = *this->state;
  const bool remote = !this->IsInScope(membership.self().data_centre);
  const MemberRecord& self = membership.self();
  const std::vector<OwnerCandidate> candidates = this->Candidates(view);
  const bool stronger_host_idle =
      state.now >= state.next_handover_at &&
      HasMuchStrongerIdleHost({self.host, self.cpu_millis, 1}, candidates);
  if (candidates.empty() || (!remote && !stronger_host_idle)) {
    state.better_owner_since = state.now;
    return;
  }
  if (state.now - state.better_owner_since >= this->settings.handover_delay) {
    state.next_handover_at = state.now + this->settings.min_handover_interval;
    state.phase = Phase::kReleasing;
    state.release_deadline = state.now + this->settings.max_release_wait;
  }
}

void CellOwnership::EndOwnership(const char* cause) {
  State& state = *this->state;
  this->Log(EventCode::kCellLost, {{"cell", this->cell_id.str()},
                                   {"token", std::to_string(state.fencing_token)},
                                   {"cause", cause}});
  state.generation++;
  state.phase = Phase::kIdle;
  state.next_take_at = state.now + this->settings.retry_delay;
  state.open_commit.reset();
  state.unowned_since = TimePoint{};
  if (this->inbox) {
    this->inbox->Stop();
  }
}

void CellOwnership::Release() {
  State& state = *this->state;
  state.stopping = true;
  if (state.phase == Phase::kOwning) {
    state.phase = Phase::kReleasing;
    state.release_deadline = state.now + this->settings.max_release_wait;
  } else if (state.phase != Phase::kReleasing) {
    state.generation++;
    state.phase = Phase::kIdle;
  }
}

void CellOwnership::FinishRelease() {
  State& state = *this->state;
  Transaction release;
  release.preconditions = {{store_keys::Owner(this->cell_id), state.fencing_token}};
  release.removals = {store_keys::Owner(this->cell_id)};
  this->store(release, this->settings.take_timeout, [](const StoreReply&) {});
  this->EndOwnership("released");
}

void CellOwnership::SetConfiguration(std::shared_ptr<const Configuration> new_configuration) {
  this->configuration = std::move(new_configuration);
  if (Cell* cell = this->cell()) {
    cell->SetConfiguration(this->configuration);
  }
}

void CellOwnership::PutTarget(const TargetEntry& entry) {
  this->targets[entry.id] = entry;
  this->departed_targets.erase(entry.id);
  if (Cell* cell = this->cell()) {
    cell->PutTarget(entry, this->state->now);
  }
}

void CellOwnership::SetEvacuatedDataCentres(const std::set<DataCentreId>& data_centres) {
  this->evacuated_data_centres = data_centres;
  this->state->next_shapes_at = TimePoint{};
  if (Cell* cell = this->cell()) {
    cell->SetEvacuatedDataCentres(data_centres);
  }
}

void CellOwnership::SetRegistrationsCurrent(bool current) {
  if (Cell* cell = this->cell()) {
    cell->SetRegistrationsCurrent(current);
  }
}

void CellOwnership::RemoveTarget(const TargetId& target) {
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    this->departed_targets[target] = found->second;
    this->departed_order.push_back(target);
    this->targets.erase(found);
  }
  while (this->departed_order.size() > this->settings.max_departed_targets) {
    this->departed_targets.erase(this->departed_order.front());
    this->departed_order.pop_front();
  }
  if (Cell* cell = this->cell()) {
    cell->RemoveTarget(target, this->state->now);
  }
}

std::vector<EventRecord> CellOwnership::TakeEvents() {
  std::vector<EventRecord> events = std::exchange(this->state->events, {});
  if (this->state->cell) {
    for (EventRecord& event : this->state->cell->TakeEvents()) {
      events.push_back(std::move(event));
    }
  }
  return events;
}

void CellOwnership::Log(EventCode code, std::vector<std::pair<std::string, std::string>> fields) {
  this->state->events.push_back(EventRecord{code, std::move(fields)});
}

}  // namespace pistachio
