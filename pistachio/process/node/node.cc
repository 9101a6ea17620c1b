#include "pistachio/process/node/node.h"

#include <algorithm>

namespace pistachio {

namespace internal {

/// Maximum number of attempts to handle one request. An attempt fails if the configuration changes
/// before the request takes effect.
constexpr int kMaxHandleAttempts = 3;
/// Time between two traffic-counts events.
constexpr Duration kTrafficLogInterval = std::chrono::seconds(10);
/// Maximum number of targets that one reachability check of a cell contacts. The cell counts as
/// unreachable if none of them answers.
constexpr std::size_t kMaxProbes = 1;
/// Maximum number of submissions since a cell's last load record that are added to its load.
constexpr std::size_t kMaxSentDemands = 200;

bool HasLabel(const TargetEntry& entry, const std::string& label) {
  return std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
}

/// Returns true if the target has the labels that the steps of the submission require.
bool HasRequiredLabels(const TargetEntry& entry, const SubmissionSpec& spec) {
  return std::all_of(spec.steps.begin(), spec.steps.end(), [&entry](const StepSpec& step) {
    return step.required_label.empty() || HasLabel(entry, step.required_label);
  });
}

}  // namespace internal

NodeSettings MakeNodeSettings(const HostSettings& host) {
  NodeSettings settings;
  const RunLimits& bounds = host.bounds;
  settings.membership.ttl = std::max(settings.membership.ttl, host.min_lease);
  settings.cell.lease_duration = std::min<Duration>(settings.cell.lease_duration, bounds.max_hold);
  settings.cell.max_lease_duration = bounds.max_hold;
  settings.cell.stop_timeout = bounds.stop_timeout;
  settings.cell.ended_retention = bounds.ended_retention;
  settings.evacuation_apply = bounds.evacuation_apply;
  // A count may be 2 s old. Its answer may take a second to reach the caller.
  constexpr Duration kAllowedCountAge = std::chrono::seconds(2);
  constexpr Duration kMaxAnswerTime = std::chrono::seconds(1);
  settings.request_handler.max_count_age =
      bounds.submission_visible + kAllowedCountAge - kMaxAnswerTime;
  // Trials showed no gain for callers with either, see docs/design/scarce-room.md.
  settings.cell.durations.enabled = false;
  settings.cell.delay.enabled = false;
  settings.cell.warmup.overage = bounds.cold_overage;
  settings.cell.warmup.slack = bounds.cold_slack;
  if (bounds.evacuation_apply) {
    // Several confirmations fit into the age up to which starts are sent.
    constexpr int kWatchesPerBound = 5;
    settings.owner_evacuations_watch_wait = std::min(settings.owner_evacuations_watch_wait,
                                                     *bounds.evacuation_apply / kWatchesPerBound);
  }
  return settings;
}

Node::Node(const HostSettings& host, const NodeSettings& settings, std::uint64_t incarnation,
           PlatformDocuments documents, NodePorts ports)
    : host(host),
      settings(settings),
      documents(std::move(documents)),
      ports(std::move(ports)),
      monitor(settings.store_monitor) {
  this->active_configuration.configuration = std::make_shared<Configuration>();
  this->monitored_store = [this](const StoreCall& call, Duration timeout,
                                 const StoreCallback& callback) {
    this->monitor.OnCall(call);
    this->ports.store(call, timeout,
                      [this, call, callback, sent_at = this->now](const StoreReply& reply) {
                        this->monitor.OnReply(reply, this->now);
                        this->revision_clock.OnReply(call, reply, sent_at, this->now);
                        this->NoteRevisions(reply);
                        callback(reply);
                      });
  };
  this->membership = std::make_unique<Membership>(
      MemberRecord{host.host, host.data_centre, incarnation, host.cpu_millis}, settings.membership,
      this->monitored_store);
  const auto ignore = [] {};
  const auto ignore_item = [](const StoreItem&) {};
  this->hosts = std::make_unique<PrefixMirror>(
      MirrorSettings{store_keys::kClusterPrefix, settings.hosts_watch_wait}, this->monitored_store,
      ignore_item, ignore);
  this->targets = std::make_unique<PrefixMirror>(
      MirrorSettings{this->documents.target_prefix, settings.targets_watch_wait},
      this->monitored_store, [this](const StoreItem& item) { this->OnTarget(item); }, ignore);
  MirrorSettings configuration_mirror{this->documents.configuration_key,
                                      settings.configuration_watch_wait};
  configuration_mirror.cut_off_extension = settings.configuration_cut_off_extension;
  this->configurations = std::make_unique<PrefixMirror>(
      configuration_mirror, this->monitored_store,
      [this](const StoreItem& item) { this->OnConfiguration(item); }, ignore);
  if (settings.evacuation_apply) {
    this->evacuations = std::make_unique<PrefixMirror>(
        MirrorSettings{this->documents.evacuation_prefix, settings.owner_evacuations_watch_wait},
        this->monitored_store, [this](const StoreItem& item) { this->OnEvacuation(item); }, ignore);
  }
  this->hosts->SetChangePause(settings.hosts_watch_pause);
  this->cluster_view = std::make_unique<ClusterView>(*this->hosts);
  RequestHandlerCallbacks callbacks;
  callbacks.store = this->monitored_store;
  callbacks.find_owned_cell = [this](const CellId& cell) -> Cell* {
    const auto ownership = this->ownership_by_cell.find(cell);
    return ownership == this->ownership_by_cell.end() ? nullptr : ownership->second.cell();
  };
  callbacks.candidates = [this](const SubmitRequest& request) { return this->Candidates(request); };
  callbacks.count_pending = [this](const QueueId& queue) { return this->CountPendingOf(queue); };
  callbacks.on_accepted = [this](const CellId& cell, const AcceptedSubmission& accepted) {
    this->OnAccepted(cell, accepted);
  };
  callbacks.is_store_reachable = [this] { return this->monitor.reachable(); };
  callbacks.store_outage_duration = [this] { return this->monitor.UnreachableFor(this->now); };
  callbacks.on_newer_configuration = [this](const StoreItem& item) { this->OnConfiguration(item); };
  this->request_handler = std::make_unique<RequestHandler>(settings.request_handler, callbacks);
}

void Node::Start(TimePoint start_time) {
  this->now = start_time;
  this->monitor.Start(start_time);
  this->last_listed_at = start_time;
  this->configurations->Start(start_time);
  this->hosts->Start(start_time);
  this->targets->Start(start_time);
  if (this->evacuations) {
    this->evacuations->Start(start_time);
  }
  this->membership->Tick(start_time);
  this->request_handler->Tick(start_time);
}

void Node::Tick(TimePoint tick_now, WallTime wall_now) {
  this->now = tick_now;
  this->wall = wall_now;
  this->revision_clock.OnTick(tick_now);
  this->configurations->Tick(tick_now);
  this->hosts->Tick(tick_now);
  // While this host owned no cell, its copy of the registrations was read with long pauses.
  for (const auto& [id, ownership] : this->ownership_by_cell) {
    if (const auto taken_at = ownership.taken_at()) {
      this->targets->RequireValidAfter(*taken_at);
      if (this->evacuations) {
        this->evacuations->RequireValidAfter(*taken_at);
      }
    }
  }
  this->targets->Tick(tick_now);
  if (this->evacuations) {
    this->evacuations->SetWatchWait(this->HasActiveCells()
                                        ? this->settings.owner_evacuations_watch_wait
                                        : this->settings.idle_evacuations_watch_wait);
    this->evacuations->Tick(tick_now);
  }
  this->membership->Tick(tick_now);
  this->CreateOwnerships();
  const bool registrations_current = this->RegistrationsCurrent();
  for (auto& [id, ownership] : this->ownership_by_cell) {
    const auto taken_at = ownership.taken_at();
    ownership.SetRegistrationsCurrent(registrations_current && taken_at &&
                                      this->targets->valid_at() > *taken_at &&
                                      this->EvacuationsCurrent(*taken_at));
    ownership.Tick(tick_now, wall_now, *this->cluster_view, *this->membership);
  }
  for (UnownedCell& cell : this->unowned_cells) {
    if (!this->stopping) {
      cell.Tick(tick_now, *this->cluster_view, *this->membership);
    }
  }
  const bool needs_fresh_targets = this->HasActiveCells() || this->ownership_by_cell.empty();
  this->targets->SetChangePause(needs_fresh_targets ? this->settings.owner_targets_watch_pause
                                                    : this->settings.idle_targets_watch_pause);
  this->request_handler->Tick(tick_now);
  this->HandleWaitingRequests(false);
  this->SendOrders();
  this->LogEvacuationsAge();
  this->LogTrafficCounts();
  // A host's keys may be removed from the store while its lease is still valid.
  const auto& items = this->hosts->items();
  const bool listed = items.count(store_keys::Member(this->host.host)) != 0;
  if (listed || this->membership->lease() == 0) {
    this->last_listed_at = tick_now;
  } else if (tick_now - this->last_listed_at > this->settings.reregister_after) {
    this->last_listed_at = tick_now;
    this->membership->RegisterAgain();
  }
}

void Node::CreateOwnerships() {
  if (!this->ownership_by_cell.empty()) {
    return;
  }
  const auto layout = this->cluster_view->Layout();
  if (!layout) {
    this->ProposeLayout();
    return;
  }
  const std::vector<CellScope> scopes = CellsOf(*layout, this->host.data_centres);
  for (const CellScope& scope : scopes) {
    std::vector<CellId> other_cells;
    for (const CellScope& other : scopes) {
      if (other.cell != scope.cell) {
        other_cells.push_back(other.cell);
      }
    }
    const auto probe = [this, cell_data_centres =
                                  scope.data_centres](const std::function<void(bool)>& on_probed) {
      this->Probe(cell_data_centres, on_probed);
    };
    CellOwnership& ownership =
        this->ownership_by_cell
            .emplace(std::piecewise_construct, std::forward_as_tuple(scope.cell),
                     std::forward_as_tuple(scope, other_cells, this->settings.ownership,
                                           this->settings.cell, this->monitored_store, probe))
            .first->second;
    ownership.SetConfiguration(this->active_configuration.configuration);
    ownership.SetEvacuatedDataCentres(this->evacuated_data_centres);
    ownership.SetRevisionReader(
        [this](std::uint64_t revision) { return this->revision_clock.ReachedBy(revision); });
    ownership.SetShapeReader([this](const CellId& cell) { return this->ShapeOf(cell); });
    if (!other_cells.empty()) {
      this->unowned_cells.emplace_back(scope.cell, other_cells, this->settings.unowned_cell,
                                       this->monitored_store);
    }
    for (const DataCentreId& data_centre : scope.data_centres) {
      this->cell_by_data_centre[data_centre] = scope.cell;
    }
  }
  for (const auto& [id, entry] : this->known_targets) {
    if (CellOwnership* ownership = this->FindOwnership(entry.data_centre)) {
      ownership->PutTarget(entry);
    }
  }
  if (this->stopping) {
    this->BeginStop();
  }
}

void Node::ProposeLayout() {
  const std::vector<MemberRecord> members = this->cluster_view->MembersOf(this->host.data_centres);
  Duration delay = this->settings.layout_delay;
  for (const MemberRecord& member : members) {
    delay += member.host < this->host.host ? this->settings.layout_rank_step : Duration(0);
  }
  const bool settled = !this->known_targets.empty() &&
                       this->active_configuration.configuration->version != 0 &&
                       this->now - this->targets_stable_since >= delay;
  if (!settled || this->proposal_in_flight) {
    return;
  }
  this->proposal_in_flight = true;
  Transaction proposal;
  proposal.preconditions = {{store_keys::Layout(), 0}};
  // A single cell has to survive the loss of its owner, so the second strongest host counts.
  std::vector<std::int64_t> cpus{0};
  for (const MemberRecord& member : members) {
    cpus.push_back(member.cpu_millis);
  }
  std::sort(cpus.rbegin(), cpus.rend());
  const std::int64_t owner_cpu = cpus[std::min<std::size_t>(1, cpus.size() - 1)];
  proposal.puts = {Put{store_keys::Layout(),
                       EncodeRecord(ChooseLayout(this->known_targets.size(), owner_cpu)), 0}};
  this->monitored_store(proposal, this->settings.ownership.take_timeout, [this](const StoreReply&) {
    this->proposal_in_flight = false;
    this->targets_stable_since = this->now;
  });
}

void Node::LogTrafficCounts() {
  if (this->now < this->next_traffic_log) {
    return;
  }
  this->next_traffic_log = this->now + internal::kTrafficLogInterval;
  EventRecord event{EventCode::kTrafficCounts, {}};
  for (const auto& [kind, count] : this->monitor.calls()) {
    event.fields.emplace_back("store-" + kind, std::to_string(count));
  }
  for (const auto& [id, ownership] : this->ownership_by_cell) {
    if (const Cell* cell = ownership.cell()) {
      const CellCounters& counts = cell->counters();
      event.fields.emplace_back("cell", id.str());
      event.fields.emplace_back("starts", std::to_string(counts.starts));
      event.fields.emplace_back("start-retries", std::to_string(counts.start_retries));
      event.fields.emplace_back("stops", std::to_string(counts.stops));
      event.fields.emplace_back("holds", std::to_string(counts.holds));
      event.fields.emplace_back("paces", std::to_string(counts.paces));
      event.fields.emplace_back("moves", std::to_string(counts.moves));
      if (this->evacuations) {
        event.fields.emplace_back("starts-withheld", std::to_string(counts.starts_withheld));
        event.fields.emplace_back("evacuation-moves", std::to_string(counts.evacuation_moves));
      }
    }
  }
  this->events.push_back(std::move(event));
}

void Node::SendOrders() {
  for (auto& [id, ownership] : this->ownership_by_cell) {
    Cell* cell = ownership.cell();
    if (cell == nullptr) {
      continue;
    }
    const FencingToken take_revision = cell->take_revision();
    for (OutgoingOrder& outgoing : cell->TakeOrders()) {
      if (this->evacuations && std::holds_alternative<StartOrder>(outgoing.order.order)) {
        outgoing.order.send_before = this->evacuations->valid_at() + this->MaxEvacuationsAge();
      }
      const OrderTicket ticket = outgoing.ticket;
      const auto find_owned_cell = [this, cell_id = id, take_revision]() -> Cell* {
        Cell* owned = this->ownership_by_cell.at(cell_id).cell();
        return owned != nullptr && owned->take_revision() == take_revision ? owned : nullptr;
      };
      if (std::holds_alternative<HoldOrder>(outgoing.order.order)) {
        this->ports.hold(outgoing.order, outgoing.token,
                         [this, find_owned_cell, ticket](const HoldReply& reply) {
                           if (Cell* owned = find_owned_cell()) {
                             owned->OnHoldReply(ticket, reply, this->now);
                           }
                         });
      } else {
        this->ports.order(outgoing.order, outgoing.token,
                          [this, find_owned_cell, ticket](const OrderReply& reply) {
                            if (Cell* owned = find_owned_cell()) {
                              owned->OnOrderReply(ticket, reply, this->now);
                            }
                          });
      }
    }
  }
}

void Node::Handle(const Decode& decode, const RequestHandler::AnswerCallback& done,
                  TimePoint handled_at) {
  const TimePoint arrived_at = std::max(this->now, handled_at);
  if (!this->KnowsConfiguration() && !this->requests_ending &&
      this->without_configuration.size() < this->settings.max_configuration_waiters) {
    this->without_configuration.push_back(
        WaitingRequest{decode, done, {arrived_at, this->newest_revision}});
    return;
  }
  this->HandleWithRetries(decode, done, {arrived_at, this->newest_revision},
                          internal::kMaxHandleAttempts);
}

void Node::NoteRevisions(const StoreReply& reply) {
  this->newest_revision = std::max(this->newest_revision, reply.revision);
  for (const StoreItem& item : reply.items) {
    this->newest_revision = std::max(this->newest_revision, item.revision);
  }
}

bool Node::KnowsConfiguration() const {
  return this->active_configuration.configuration->version != 0 || this->configurations->loaded();
}

void Node::HandleWaitingRequests(bool wait_over) {
  const bool known = this->KnowsConfiguration();
  while (!this->without_configuration.empty() &&
         (known || wait_over ||
          this->now - this->without_configuration.front().arrival.at >=
              this->settings.max_configuration_wait)) {
    const WaitingRequest request = std::move(this->without_configuration.front());
    this->without_configuration.pop_front();
    this->HandleWithRetries(request.decode, request.done, request.arrival,
                            internal::kMaxHandleAttempts);
  }
}

void Node::EndRequests(TimePoint end_at) {
  this->requests_ending = true;
  this->HandleWaitingRequests(true);
  this->request_handler->BeginStop(end_at);
}

void Node::HandleWithRetries(const Decode& decode, const RequestHandler::AnswerCallback& done,
                             const Arrival& arrival, int attempts_left) {
  const CallerRequest request = decode(*this->active_configuration.configuration);
  this->active_configuration.confirmed_at = this->configurations->confirmed_at();
  this->active_configuration.known_missing =
      this->configurations->loaded() &&
      this->configurations->items().count(this->documents.configuration_key) == 0;
  this->request_handler->Handle(
      request, this->active_configuration, *this->cluster_view, arrival.at, arrival.revision,
      this->wall, [this, decode, done, arrival, attempts_left](const CallerAnswer& answer) {
        const bool retry = answer.outcome == Outcome::kConfigurationChanged && attempts_left > 1;
        if (retry) {
          this->HandleWithRetries(decode, done, arrival, attempts_left - 1);
        } else {
          done(answer);
        }
      });
}

bool Node::Ready() const {
  return !this->stopping && this->monitor.reachable() &&
         this->active_configuration.configuration->version != 0 && this->targets->loaded() &&
         !this->ownership_by_cell.empty();
}

void Node::BeginStop() {
  this->stopping = true;
  for (auto& [id, ownership] : this->ownership_by_cell) {
    ownership.Release();
  }
}

bool Node::AllCellsReleased() const {
  return std::all_of(this->ownership_by_cell.begin(), this->ownership_by_cell.end(),
                     [](const auto& row) { return row.second.idle(); });
}

bool Node::HasActiveCells() const {
  return std::any_of(this->ownership_by_cell.begin(), this->ownership_by_cell.end(),
                     [](const auto& row) { return !row.second.idle(); });
}

void Node::OnConfiguration(const StoreItem& item) {
  if (item.key != this->documents.configuration_key || item.removed ||
      item.revision <= this->active_configuration.source.revision) {
    return;
  }
  const auto decoded = this->documents.decode_configuration(item.value);
  if (!decoded || decoded->version < this->active_configuration.configuration->version) {
    this->events.push_back({EventCode::kConfigurationUnreadable,
                            {{"revision", std::to_string(item.revision)},
                             {"bytes", std::to_string(item.value.size())}}});
    return;
  }
  this->active_configuration.configuration = std::make_shared<Configuration>(*decoded);
  this->active_configuration.source = item;
  this->active_configuration.source.value.clear();
  this->events.push_back({EventCode::kConfigurationInForce,
                          {{"version", std::to_string(decoded->version)},
                           {"revision", std::to_string(item.revision)},
                           {"queues", std::to_string(decoded->queues.size())}}});
  for (auto& [id, ownership] : this->ownership_by_cell) {
    ownership.SetConfiguration(this->active_configuration.configuration);
  }
}

void Node::OnTarget(const StoreItem& item) {
  const TargetId id(item.key.substr(this->documents.target_prefix.size()));
  auto entry = item.removed ? std::nullopt : this->documents.decode_target(item.key, item.value);
  if (!entry && !item.removed) {
    this->events.push_back({EventCode::kTargetUnreadable, {{"target", id.str()}}});
  }
  const auto known = this->known_targets.find(id);
  if (known == this->known_targets.end() || !entry) {
    this->targets_stable_since = this->now;
  }
  if (entry) {
    const bool known_incarnation =
        known != this->known_targets.end() && known->second.incarnation == entry->incarnation;
    entry->known_since = known_incarnation ? known->second.known_since : this->now;
  }
  if (known != this->known_targets.end() &&
      (!entry || entry->data_centre != known->second.data_centre)) {
    if (CellOwnership* ownership = this->FindOwnership(known->second.data_centre)) {
      ownership->RemoveTarget(id);
    }
    this->known_targets.erase(known);
  }
  if (!entry) {
    return;
  }
  this->known_targets[id] = *entry;
  if (CellOwnership* ownership = this->FindOwnership(entry->data_centre)) {
    ownership->PutTarget(*entry);
  }
}

CellOwnership* Node::FindOwnership(const DataCentreId& data_centre) {
  const auto cell = this->cell_by_data_centre.find(data_centre);
  const auto found = cell == this->cell_by_data_centre.end()
                         ? this->ownership_by_cell.end()
                         : this->ownership_by_cell.find(cell->second);
  return found == this->ownership_by_cell.end() ? nullptr : &found->second;
}

void Node::Probe(const std::vector<DataCentreId>& data_centres,
                 const std::function<void(bool)>& on_probed) {
  std::size_t probes = 0;
  for (const auto& [id, entry] : this->known_targets) {
    const auto service = this->active_configuration.configuration->services.find(entry.service);
    const bool in_cell = std::find(data_centres.begin(), data_centres.end(), entry.data_centre) !=
                         data_centres.end();
    if (!in_cell || service == this->active_configuration.configuration->services.end()) {
      continue;
    }
    this->ports.probe_target(entry.address, service->second.health_path, on_probed);
    if (++probes >= internal::kMaxProbes) {
      return;
    }
  }
  if (probes == 0) {
    on_probed(false);
  }
}

bool Node::RegistrationsCurrent() const {
  const TimePoint confirmed_at = this->targets->confirmed_at();
  const TimePoint answered_since = this->monitor.answered_since();
  // The first answer after a pause of this process may have arrived before the pause ended, so it
  // takes a later one.
  return confirmed_at > answered_since &&
         this->now - confirmed_at < this->settings.max_registration_age &&
         this->now - answered_since >= this->settings.registration_settle_time;
}

CellRoom Node::RoomOf(const CellId& cell) const {
  const auto load = this->cluster_view->LoadOf(cell);
  return load ? load->Room() : CellRoom();
}

void Node::AddSent(const CellId& cell, CellRoom* room) const {
  const auto sent = this->sent_to_cells.find(cell);
  if (sent != this->sent_to_cells.end() &&
      sent->second.load_revision == this->cluster_view->LoadRevisionOf(cell)) {
    for (const CellDemand& demand : sent->second.demands) {
      AddDemand(demand, room);
    }
  }
}

void Node::OnAccepted(const CellId& cell, const AcceptedSubmission& accepted) {
  SentToCell& sent = this->sent_to_cells[cell];
  const std::uint64_t revision = this->cluster_view->LoadRevisionOf(cell);
  if (sent.load_revision != revision || sent.demands.size() >= internal::kMaxSentDemands) {
    sent = SentToCell{revision, {}};
  }
  CellDemand demand = DemandOf(accepted.spec);
  demand.priority = accepted.queue.priority;
  sent.demands.push_back(demand);
}

PendingCount Node::CountPendingOf(const QueueId& queue) const {
  std::vector<CellId> cells;
  for (const auto& row : this->ownership_by_cell) {
    cells.push_back(row.first);
  }
  return CountPending(*this->cluster_view, cells, queue, this->revision_clock);
}

CellShape Node::ShapeOf(const CellId& cell) const {
  CellShape shape;
  for (const auto& [id, entry] : this->known_targets) {
    const auto found = this->cell_by_data_centre.find(entry.data_centre);
    if (found != this->cell_by_data_centre.end() && found->second == cell &&
        entry.state == TargetState::kReady &&
        this->evacuated_data_centres.count(entry.data_centre) == 0) {
      shape.AddTarget(entry);
    }
  }
  return shape;
}

std::vector<CellCandidate> Node::Candidates(const SubmitRequest& request) const {
  std::vector<CellCandidate> candidates;
  std::string data_rack;
  for (const StepSpec& step : request.spec.steps) {
    data_rack = data_rack.empty() ? step.data_rack : data_rack;
  }
  for (const auto& [cell, ownership] : this->ownership_by_cell) {
    CellCandidate candidate;
    candidate.cell = cell;
    const auto local = this->cell_by_data_centre.find(this->host.data_centre);
    candidate.local = local != this->cell_by_data_centre.end() && local->second == cell;
    candidate.owned = this->cluster_view->OwnerOf(cell).has_value();
    candidate.room = this->RoomOf(cell);
    std::int64_t registered_cpu = 0;
    for (const auto& row : this->known_targets) {
      const TargetEntry& entry = row.second;
      const auto cell_of_target = this->cell_by_data_centre.find(entry.data_centre);
      if (cell_of_target == this->cell_by_data_centre.end() || cell_of_target->second != cell ||
          entry.service != request.queue.service || entry.state != TargetState::kReady) {
        continue;
      }
      if (this->evacuated_data_centres.count(entry.data_centre) != 0) {
        candidate.evacuated_targets += internal::HasRequiredLabels(entry, request.spec) ? 1 : 0;
        continue;
      }
      registered_cpu += entry.capacity.cpu_millis;
      candidate.targets += internal::HasRequiredLabels(entry, request.spec) ? 1 : 0;
      candidate.has_data_rack =
          candidate.has_data_rack || (!data_rack.empty() && internal::HasLabel(entry, data_rack));
    }
    if (candidate.room.capacity_cpu == 0) {
      candidate.room.capacity_cpu = registered_cpu;
    }
    this->AddSent(cell, &candidate.room);
    candidates.push_back(candidate);
  }
  return candidates;
}

std::vector<EventRecord> Node::TakeEvents() {
  std::vector<EventRecord> taken = std::exchange(this->events, {});
  const auto append = [&taken](std::vector<EventRecord> more) {
    taken.insert(taken.end(), std::make_move_iterator(more.begin()),
                 std::make_move_iterator(more.end()));
  };
  append(this->monitor.TakeEvents());
  append(this->membership->TakeEvents());
  append(this->request_handler->TakeEvents());
  for (auto& [id, ownership] : this->ownership_by_cell) {
    append(ownership.TakeEvents());
  }
  for (UnownedCell& cell : this->unowned_cells) {
    append(cell.TakeEvents());
  }
  return taken;
}

}  // namespace pistachio
