#include "emulator/simulated_cluster.h"

#include <algorithm>

namespace pistachio::emulator {

namespace internal {

constexpr const char* kConfigurationKey = "configuration";
constexpr const char* kTargetPrefix = "targets/";
constexpr const char* kEvacuationPrefix = "evacuations/";
/// Step of the simulated clock.
constexpr Duration kTick = std::chrono::milliseconds(10);
/// Interval at which hosts are asked how many submissions wait.
constexpr Duration kPendingQueryInterval = std::chrono::milliseconds(500);
/// Time after the end of a fault from which rules with a time bound are checked again.
constexpr Duration kSettleTime = std::chrono::milliseconds(3000);
/// Interval at which a target writes its registration.
constexpr Duration kHeartbeat = std::chrono::milliseconds(1100);

}  // namespace internal

SubmissionSpec MakeSubmission(std::uint32_t steps, std::uint32_t width, Duration length) {
  SubmissionSpec spec;
  spec.payload = "payload";
  for (std::uint32_t number = 0; number < steps; ++number) {
    StepSpec step;
    step.count = width;
    step.need = Resources{1000, 1000, 0};
    step.estimate = length;
    if (number > 0) {
      step.after.push_back(number - 1);
    }
    spec.steps.push_back(step);
  }
  return spec;
}

SimulatedCluster::SimulatedCluster(const SimulatedClusterSettings& settings)
    : settings(settings), random(settings.seed) {
  for (const std::string& data_centre : settings.data_centres) {
    for (std::uint32_t i = 0; i < settings.hosts_per_data_centre; ++i) {
      auto host = std::make_unique<Host>();
      host->name = data_centre + "-host-" + std::to_string(i);
      host->data_centre = data_centre;
      const std::string name = host->name;
      this->all_hosts.emplace(name, std::move(host));
    }
    for (std::uint32_t i = 0; i < settings.targets_per_data_centre; ++i) {
      TargetEntry entry;
      entry.id = TargetId(data_centre + "-target-" + std::to_string(i));
      entry.service = ServiceId("service");
      entry.address = entry.id.str();
      entry.data_centre = DataCentreId(data_centre);
      entry.capacity = settings.target_capacity;
      entry.labels = {data_centre + "-rack-" + std::to_string(i / settings.targets_per_rack)};
      const auto workload_of = [this](const TaskKey& task) {
        const StepSpec& step = this->specs.at(task.submission).steps.at(task.step);
        FakeTarget::Workload workload;
        const auto set = this->workload_by_submission.find(task.submission);
        if (set != this->workload_by_submission.end()) {
          workload = set->second;
        }
        workload.length = workload.length.count() > 0 ? workload.length : step.estimate;
        workload.long_running = step.long_running;
        workload.need = step.need;
        workload.best_effort = step.best_effort;
        workload.checkpointing = step.checkpointing;
        const auto crash_delay = this->crash_delays.find(task);
        workload.crash_delay = crash_delay == this->crash_delays.end()
                                   ? std::nullopt
                                   : std::optional(crash_delay->second);
        return workload;
      };
      const std::string name = entry.id.str();
      this->all_targets.emplace(
          name, std::make_unique<FakeTarget>(entry, workload_of, &this->saved_progress,
                                             &this->rule_checker));
      this->BootTarget(name);
    }
  }
  this->PutConfiguration("queue", "/queue/");
  this->store.Write(store_keys::Layout(), EncodeRecord(settings.layout));
  for (const auto& [name, host] : this->all_hosts) {
    this->StartHost(name);
  }
}

SimulatedCluster::~SimulatedCluster() = default;

WallTime SimulatedCluster::WallNow() const {
  return std::chrono::duration_cast<WallTime>(this->clock_now.time_since_epoch());
}

double SimulatedCluster::RandomFraction() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

void SimulatedCluster::Schedule(TimePoint at, std::function<void()> action) {
  this->events.push(Event{std::max(at, this->clock_now), this->next_event++, std::move(action)});
}

void SimulatedCluster::Run(Duration time) {
  const TimePoint end = this->clock_now + time;
  while (this->clock_now < end) {
    const TimePoint next_tick = this->clock_now + internal::kTick;
    while (!this->events.empty() && this->events.top().at <= next_tick) {
      const Event event = this->events.top();
      this->events.pop();
      this->clock_now = std::max(this->clock_now, event.at);
      event.action();
    }
    this->clock_now = next_tick;
    this->store.Tick(this->clock_now, this->store_faults.down && this->store_faults.leases_pause);
    for (const auto& [name, target] : this->all_targets) {
      target->Tick(this->clock_now, internal::kTick);
      this->CrashIfDue(name);
    }
    this->RecordDisturbances();
    this->rule_checker.CheckCancelledRuns(this->LastDisturbance(), this->clock_now);
    this->AnswerWaitingCalls();
    if (this->clock_now >= this->next_pending_query) {
      this->next_pending_query = this->clock_now + internal::kPendingQueryInterval;
      this->QueryPendingAtHosts();
    }
    for (const auto& [name, host] : this->all_hosts) {
      if (host->node && !host->frozen) {
        host->node->Tick(this->clock_now, this->WallNow());
        for (const EventRecord& event : host->node->TakeEvents()) {
          const auto at = this->clock_now.time_since_epoch() - std::chrono::hours(1);
          this->log.push_back(std::to_string(at.count()) + " " + name + " " + event.str());
        }
      }
    }
  }
}

std::vector<std::string> SimulatedCluster::LogLinesContaining(const std::string& text) const {
  std::vector<std::string> lines;
  std::copy_if(this->log.begin(), this->log.end(), std::back_inserter(lines),
               [&text](const std::string& line) { return line.find(text) != std::string::npos; });
  return lines;
}

void SimulatedCluster::RecordDisturbances() {
  const StoreFaults& faults = this->store_faults;
  const bool store_disturbed = faults.down || faults.refuses || faults.refuse_probability > 0.0 ||
                               faults.lost_answer_probability > 0.0 ||
                               faults.late_write_probability > 0.0 ||
                               faults.extra_latency.count() > 0;
  this->store_disturbed_at = store_disturbed ? this->clock_now : this->store_disturbed_at;
  for (const auto& [name, host] : this->all_hosts) {
    const auto first_pair = this->order_faults.unreachable_pairs.lower_bound({name, ""});
    const bool is_partitioned =
        first_pair != this->order_faults.unreachable_pairs.end() && first_pair->first == name;
    const auto first_watch = faults.lost_watches.lower_bound({name, ""});
    const bool loses_watch = first_watch != faults.lost_watches.end() && first_watch->first == name;
    if (host->frozen || !host->node || is_partitioned || loses_watch ||
        faults.write_faults.count(name) != 0 || faults.disconnected_hosts.count(name) != 0) {
      host->disturbed_at = this->clock_now;
    }
  }
  const OrderFaults& orders = this->order_faults;
  if (orders.late_probability > 0.0 || !orders.unreachable_pairs.empty() ||
      orders.send_delay.count() > 0) {
    this->orders_disturbed_at = this->clock_now;
  }
  for (const auto& [name, target] : this->all_targets) {
    if (target->up ? this->deregistered_targets.count(name) != 0 : !target->left) {
      this->targets_disturbed_at = this->clock_now;
    }
  }
}

TimePoint SimulatedCluster::LastDisturbance() const {
  TimePoint last =
      std::max({this->store_disturbed_at, this->targets_disturbed_at, this->orders_disturbed_at,
                std::min(this->last_late_order, this->clock_now)});
  for (const auto& [name, host] : this->all_hosts) {
    last = std::max(last, host->stopping ? this->clock_now : host->disturbed_at);
  }
  return last;
}

bool SimulatedCluster::IsUndisturbed(const std::string& host) const {
  const TimePoint last = std::max(this->store_disturbed_at, this->all_hosts.at(host)->disturbed_at);
  return this->clock_now - last >= internal::kSettleTime;
}

void SimulatedCluster::AnswerWaitingCalls() {
  for (auto watch = this->watches.begin(); watch != this->watches.end();) {
    std::optional<StoreReply> events;
    if (!this->store_faults.silent_watches) {
      events = this->store.Poll(watch->watch, watch->searched_revision);
      watch->searched_revision = this->store.current_revision();
    }
    if (!events && this->clock_now < watch->ends_at) {
      ++watch;
      continue;
    }
    StoreReply reply;
    reply.status = StoreStatus::kOk;
    reply.revision = this->store_faults.silent_watches ? watch->watch.after_revision
                                                       : this->store.current_revision();
    const auto answer = watch->answer;
    watch = this->watches.erase(watch);
    if (!this->store_faults.down) {
      answer(events ? *events : reply);
    }
  }
  for (auto hold = this->holds.begin(); hold != this->holds.end();) {
    FakeTarget& target = *this->all_targets.at(hold->target);
    const bool same_incarnation = target.up && target.entry.incarnation == hold->incarnation;
    const bool due =
        target.HasUnacknowledgedEnd(hold->order.acked_end) || this->clock_now >= hold->ends_at;
    if (same_incarnation && !due) {
      ++hold;
      continue;
    }
    const WaitingHold waiting = *hold;
    hold = this->holds.erase(hold);
    if (same_incarnation) {
      waiting.answer(target.Hold(waiting.order, target.entry.id, waiting.token, this->clock_now));
    }
  }
}

std::vector<std::string> SimulatedCluster::hosts() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : this->all_hosts) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> SimulatedCluster::targets() const {
  std::vector<std::string> names;
  for (const auto& [name, target] : this->all_targets) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> SimulatedCluster::TargetsInRack(const std::string& rack) const {
  std::vector<std::string> names;
  for (const auto& [name, target] : this->all_targets) {
    if (target->entry.labels.front() == rack) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> SimulatedCluster::racks() const {
  std::set<std::string> labels;
  for (const auto& [name, target] : this->all_targets) {
    labels.insert(target->entry.labels.front());
  }
  return {labels.begin(), labels.end()};
}

const Node* SimulatedCluster::node(const std::string& host) const {
  return this->all_hosts.at(host)->node.get();
}

FakeTarget& SimulatedCluster::target(const std::string& name) {
  return *this->all_targets.at(name);
}

std::string SimulatedCluster::OwnerOf(const std::string& cell) const {
  const auto& items = this->store.items();
  const auto found = items.find(store_keys::Owner(CellId(cell)));
  const auto owner = found == items.end() ? std::nullopt : DecodeOwner(found->second.value);
  return owner ? owner->host.str() : "";
}

PlatformDocuments SimulatedCluster::MakeDocuments() {
  PlatformDocuments documents;
  documents.configuration_key = internal::kConfigurationKey;
  documents.target_prefix = internal::kTargetPrefix;
  documents.evacuation_prefix = internal::kEvacuationPrefix;
  documents.decode_configuration = [this](const std::string& value) {
    const auto found = this->configurations.find(std::stoull(value));
    return found == this->configurations.end() ? std::nullopt
                                               : std::optional<Configuration>(found->second);
  };
  documents.decode_target = [this](const std::string& /*key*/, const std::string& value) {
    const auto found = this->registered_entries.find(value);
    return found == this->registered_entries.end() ? std::nullopt
                                                   : std::optional<TargetEntry>(found->second);
  };
  return documents;
}

void SimulatedCluster::PutConfiguration(const std::string& queue, const std::string& prefix) {
  constexpr std::uint64_t kVersionStep = 3;
  this->latest_version += kVersionStep;
  Configuration configuration;
  configuration.version = this->latest_version;
  QueueSettings queue_settings;
  queue_settings.id = QueueId(queue);
  queue_settings.host = "host";
  queue_settings.path_prefix = prefix;
  queue_settings.service = ServiceId("service");
  queue_settings.max_attempts = this->settings.max_attempts;
  queue_settings.stretch = 2.0;
  queue_settings.objective_slack = std::chrono::milliseconds(1000);
  configuration.queues.push_back(queue_settings);
  ServiceSettings service;
  service.id = ServiceId("service");
  configuration.services[service.id] = service;
  this->configurations[configuration.version] = configuration;
  this->store.Write(internal::kConfigurationKey, std::to_string(configuration.version));
}

void SimulatedCluster::StartHost(const std::string& name) {
  Host& host = *this->all_hosts.at(name);
  host.disturbed_at = this->clock_now;
  host.process_generation++;
  host.frozen = false;
  host.stopping = false;
  host.deferred_actions.clear();
  HostSettings host_settings;
  host_settings.host = HostId(name);
  host_settings.data_centre = DataCentreId(host.data_centre);
  for (const std::string& data_centre : this->settings.data_centres) {
    host_settings.data_centres.emplace_back(data_centre);
  }
  host_settings.bounds.evacuation_apply = this->settings.evacuation_apply;
  host.node = std::make_unique<Node>(host_settings, MakeNodeSettings(host_settings), this->random(),
                                     this->MakeDocuments(), this->MakePorts(name));
  host.node->Start(this->clock_now);
}

void SimulatedCluster::KillHost(const std::string& name) {
  Host& host = *this->all_hosts.at(name);
  host.process_generation++;
  host.node.reset();
}

void SimulatedCluster::StopHostGracefully(const std::string& name) {
  if (Host& host = *this->all_hosts.at(name); host.node) {
    host.node->BeginStop();
    host.stopping = true;
  }
}

void SimulatedCluster::EndRequests(const std::string& name, Duration time_left) {
  this->all_hosts.at(name)->node->EndRequests(this->clock_now + time_left);
}

void SimulatedCluster::FreezeHost(const std::string& name) {
  this->all_hosts.at(name)->frozen = true;
}

void SimulatedCluster::ResumeHost(const std::string& name, bool tick_first) {
  Host& host = *this->all_hosts.at(name);
  host.disturbed_at = this->clock_now;
  host.frozen = false;
  if (tick_first && host.node) {
    host.node->Tick(this->clock_now, this->WallNow());
  }
  for (const auto& action : std::exchange(host.deferred_actions, {})) {
    action();
  }
}

void SimulatedCluster::RunOnHost(const std::string& name, std::uint64_t process_generation,
                                 std::function<void()> action) {
  Host& host = *this->all_hosts.at(name);
  if (host.process_generation != process_generation || !host.node) {
    return;
  }
  if (host.frozen) {
    host.deferred_actions.push_back([this, name, process_generation, action = std::move(action)] {
      this->RunOnHost(name, process_generation, action);
    });
    return;
  }
  action();
}

NodePorts SimulatedCluster::MakePorts(const std::string& host) {
  NodePorts ports;
  ports.store = [this, host](const StoreCall& call, Duration timeout, const StoreCallback& done) {
    this->CallStore(host, call, timeout, done);
  };
  ports.order = [this, host](const Order& order, FencingToken token,
                             const std::function<void(const OrderReply&)>& done) {
    this->SendOrder(host, order, token, done);
  };
  ports.hold = [this, host](const Order& order, FencingToken token,
                            const std::function<void(const HoldReply&)>& done) {
    this->SendHold(host, order, token, done);
  };
  ports.probe_target = [this, host](const std::string& address, const std::string& /*path*/,
                                    const std::function<void(bool)>& done) {
    const std::uint64_t process_generation = this->all_hosts.at(host)->process_generation;
    const bool reached = this->CanReach(host, address);
    this->Schedule(this->clock_now + this->settings.delay * 2,
                   [this, host, process_generation, reached, done] {
                     this->RunOnHost(host, process_generation, [done, reached] { done(reached); });
                   });
  };
  return ports;
}

void SimulatedCluster::WriteRegistration(const std::string& name) {
  this->deregistered_targets.erase(name);
  const std::string value = std::to_string(++this->last_registration);
  this->registered_entries[value] = this->all_targets.at(name)->entry;
  this->store.Write(internal::kTargetPrefix + this->all_targets.at(name)->entry.id.str(), value);
}

void SimulatedCluster::RemoveRegistration(const TargetId& id) {
  this->store.Remove(internal::kTargetPrefix + id.str());
}

void SimulatedCluster::SetTargetRoom(const std::string& name, const Resources& room) {
  FakeTarget& target = *this->all_targets.at(name);
  target.SetRoom(room, this->clock_now);
  const Duration delay =
      std::chrono::duration_cast<Duration>(internal::kHeartbeat * this->RandomFraction());
  this->WriteRegistrationAtHeartbeat(name, target.entry.incarnation, this->clock_now + delay);
}

void SimulatedCluster::WriteRegistrationAtHeartbeat(const std::string& name,
                                                    std::uint64_t incarnation, TimePoint at) {
  this->Schedule(at, [this, name, incarnation] {
    const FakeTarget& target = *this->all_targets.at(name);
    const std::string key = internal::kTargetPrefix + target.entry.id.str();
    if (!target.up || target.entry.incarnation != incarnation ||
        this->store.items().count(key) == 0) {
      return;
    }
    if (this->store_faults.down || this->store_faults.refuses) {
      this->WriteRegistrationAtHeartbeat(name, incarnation, this->clock_now + internal::kHeartbeat);
      return;
    }
    this->WriteRegistration(name);
  });
}

void SimulatedCluster::CrashTarget(const std::string& name) { this->all_targets.at(name)->Crash(); }

void SimulatedCluster::CrashAndReturnTarget(const std::string& name) {
  FakeTarget& target = *this->all_targets.at(name);
  if (!target.up) {
    return;
  }
  target.Crash();
  const TargetId id = target.entry.id;
  const std::uint64_t incarnation = target.entry.incarnation;
  const TargetReturn& settings = this->target_return;
  this->Schedule(this->clock_now + settings.registration_lifetime, [this, name, id, incarnation] {
    const TargetEntry& entry = this->all_targets.at(name)->entry;
    if (entry.id != id || entry.incarnation == incarnation) {
      this->RemoveRegistration(id);
    }
  });
  this->Schedule(
      this->clock_now + settings.downtime, [this, name, incarnation, new_id = settings.new_id] {
        FakeTarget& crashed = *this->all_targets.at(name);
        if (crashed.up || crashed.entry.incarnation != incarnation) {
          return;
        }
        if (new_id) {
          crashed.entry.id =
              TargetId(name + "-process-" + std::to_string(++this->process_counts[name]));
        }
        this->BootTarget(name);
      });
}

void SimulatedCluster::CrashIfDue(const std::string& name) {
  if (this->all_targets.at(name)->IsCrashDue(this->clock_now)) {
    this->CrashAndReturnTarget(name);
  }
}

void SimulatedCluster::BootTarget(const std::string& name) {
  constexpr std::uint64_t kEpoch = 1000000;
  this->targets_disturbed_at = this->clock_now;
  this->all_targets.at(name)->Boot(
      kEpoch + static_cast<std::uint64_t>(this->clock_now.time_since_epoch().count()),
      this->clock_now);
  const std::uint64_t incarnation = this->all_targets.at(name)->entry.incarnation;
  const auto register_target = [this, name, incarnation] {
    const FakeTarget& target = *this->all_targets.at(name);
    if (target.up && target.entry.incarnation == incarnation &&
        this->cut_targets.count(name) == 0) {
      this->WriteRegistration(name);
    }
  };
  if (this->target_return.registration_delay.count() > 0) {
    this->Schedule(this->clock_now + this->target_return.registration_delay, register_target);
  } else {
    register_target();
  }
  for (const auto& deliver : std::exchange(this->missed_orders[name], {})) {
    this->Schedule(this->clock_now, deliver);
  }
}

void SimulatedCluster::RestartTarget(const std::string& name) {
  FakeTarget& target = *this->all_targets.at(name);
  if (target.up) {
    target.Crash();
  }
  this->BootTarget(name);
}

void SimulatedCluster::DeregisterTarget(const std::string& name) {
  this->deregistered_targets.insert(name);
  this->RemoveRegistration(this->all_targets.at(name)->entry.id);
}

void SimulatedCluster::RegisterTarget(const std::string& name) { this->WriteRegistration(name); }

void SimulatedCluster::SetTargetCold(const std::string& name, std::chrono::milliseconds remaining) {
  FakeTarget& target = *this->all_targets.at(name);
  target.entry.cold_remaining = remaining;
  this->WriteRegistration(name);
  target.entry.cold_remaining = std::chrono::milliseconds(0);
  this->WriteRegistrationAtHeartbeat(name, target.entry.incarnation, this->clock_now + remaining);
}

void SimulatedCluster::EvacuateDataCentre(const std::string& data_centre) {
  this->store.Write(internal::kEvacuationPrefix + data_centre, "");
  if (this->settings.evacuation_apply) {
    this->rule_checker.OnEvacuationRequested(data_centre, *this->settings.evacuation_apply,
                                             this->clock_now);
  }
}

void SimulatedCluster::EndEvacuation(const std::string& data_centre) {
  this->store.Remove(internal::kEvacuationPrefix + data_centre);
  this->rule_checker.OnEvacuationEnded(data_centre);
}

void SimulatedCluster::DrainTarget(const std::string& name, std::chrono::milliseconds time_left) {
  // Hosts see the new registration with a delay. The rule DRAIN applies only after this bound.
  constexpr Duration kDrainBound = std::chrono::milliseconds(2000);
  FakeTarget& target = *this->all_targets.at(name);
  target.entry.state = TargetState::kDraining;
  target.entry.drain_remaining = time_left;
  target.drain_enforced_at = this->clock_now + kDrainBound;
  this->WriteRegistration(name);
  const std::uint64_t incarnation = target.entry.incarnation;
  this->Schedule(this->clock_now + std::max<Duration>(time_left, kDrainBound),
                 [this, name, incarnation] {
                   if (this->all_targets.at(name)->entry.incarnation == incarnation) {
                     this->all_targets.at(name)->Leave();
                     this->DeregisterTarget(name);
                   }
                 });
}

void SimulatedCluster::SetWorkload(const SubmissionId& id, const FakeTarget::Workload& workload) {
  this->workload_by_submission[id] = workload;
}

void SimulatedCluster::SetDeadly(const TaskKey& task, Duration crash_delay) {
  this->crash_delays[task] = crash_delay;
  this->rule_checker.OnDeadlyTask(task);
}

void SimulatedCluster::Submit(const std::string& host, const SubmissionId& id,
                              const SubmissionSpec& spec, const OnAnswer& on_answer) {
  if (this->specs.emplace(id, spec).second) {
    this->rule_checker.OnSubmit(id, spec, this->settings.max_attempts);
  }
  Host& receiver = *this->all_hosts.at(host);
  if (!receiver.node || receiver.frozen) {
    return;
  }
  this->rule_checker.OnAttemptArrived(id);
  receiver.node->Handle(
      [id, spec](const Configuration& configuration) -> CallerRequest {
        const QueueSettings* queue = configuration.MatchQueue("host", "/queue/");
        if (queue == nullptr) {
          return UnroutedRequest{};
        }
        return SubmitRequest{*queue, id, spec, queue->answer_timeout};
      },
      [this, id, on_answer](const CallerAnswer& answer) {
        this->answer_counts[answer.outcome]++;
        if (answer.outcome == Outcome::kAccepted) {
          this->rule_checker.OnAccepted(id, this->clock_now);
        } else if (answer.outcome == Outcome::kRejectedForLoad ||
                   answer.outcome == Outcome::kUnavailable) {
          this->rule_checker.OnRejected(id, this->clock_now);
        }
        if (on_answer) {
          on_answer(answer);
        }
      },
      this->clock_now);
}

void SimulatedCluster::Cancel(const std::string& host, const SubmissionId& id) {
  Host& receiver = *this->all_hosts.at(host);
  if (!receiver.node || receiver.frozen) {
    return;
  }
  receiver.node->Handle(
      [id](const Configuration&) -> CallerRequest {
        return CancelRequest{id, kDefaultCallerWait};
      },
      [this, id](const CallerAnswer& answer) {
        this->answer_counts[answer.outcome]++;
        if (answer.outcome == Outcome::kCancelled) {
          this->rule_checker.OnCancelAcknowledged(id, this->clock_now);
        } else if (answer.outcome == Outcome::kUnknownId) {
          this->rule_checker.OnUnknownCancelled(id, this->clock_now);
        } else if (answer.outcome == Outcome::kInDoubt) {
          this->rule_checker.OnCancelInDoubt(id, this->clock_now);
        }
      },
      this->clock_now);
}

void SimulatedCluster::QueryState(const std::string& host, const SubmissionId& id) {
  Host& receiver = *this->all_hosts.at(host);
  if (!receiver.node || receiver.frozen) {
    return;
  }
  receiver.node->Handle(
      [id](const Configuration&) -> CallerRequest {
        return StateRequest{id, kDefaultCallerWait};
      },
      [this, id](const CallerAnswer& answer) {
        this->answer_counts[answer.outcome]++;
        if (answer.outcome == Outcome::kState) {
          this->rule_checker.OnStateReported(id, answer.state);
        } else if (answer.outcome == Outcome::kUnknownId) {
          this->rule_checker.OnUnknownId(id, this->clock_now);
        }
      },
      this->clock_now);
}

void SimulatedCluster::QueryPending(const std::string& host, const OnAnswer& on_answer) {
  Host& receiver = *this->all_hosts.at(host);
  if (!receiver.node || receiver.frozen) {
    return;
  }
  receiver.node->Handle(
      [](const Configuration& configuration) -> CallerRequest {
        // A host that has just started has no configuration.
        if (configuration.queues.empty()) {
          return UnroutedRequest{};
        }
        return PendingRequest{configuration.queues.front().id};
      },
      on_answer, this->clock_now);
}

void SimulatedCluster::QueryPendingAtHosts() {
  for (const auto& [name, host] : this->all_hosts) {
    if (!this->IsUndisturbed(name)) {
      continue;
    }
    this->QueryPending(name, [this, host_name = name](const CallerAnswer& answer) {
      this->pending_answer_counts[answer.outcome]++;
      if (answer.outcome == Outcome::kPending) {
        this->rule_checker.OnPendingReported(host_name, answer.pending, this->clock_now);
      }
    });
  }
}

void SimulatedCluster::QueryAllStates() {
  for (const auto& [id, spec] : this->specs) {
    for (const auto& [name, host] : this->all_hosts) {
      this->QueryState(name, id);
    }
  }
}

}  // namespace pistachio::emulator
