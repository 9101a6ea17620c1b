#include <algorithm>

#include "pistachio/process/daemon/control_state.h"

namespace pistachio {

namespace internal {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kUnauthorised = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr Duration kGatherTimeout = std::chrono::seconds(3);
constexpr Duration kSilentAfter = std::chrono::seconds(5);
constexpr char kJobPrefix[] = "/v1/jobs/";
constexpr char kTargetPrefix[] = "/v1/targets/";
constexpr char kWhyPrefix[] = "/v1/why/";
constexpr char kSettingsPath[] = "/v1/settings";

/// \returns what follows \a prefix in \a path, or nothing if it does not start with it.
std::optional<std::string> After(const std::string& path, const std::string& prefix) {
  if (path.rfind(prefix, 0) != 0 || path.size() == prefix.size()) {
    return std::nullopt;
  }
  return path.substr(prefix.size());
}

JobRow RowOf(const JobStatus& status) {
  JobRow row;
  row.job = status.spec.job.str();
  row.team = status.spec.team.str();
  row.kind = status.spec.kind == WorkKind::kService ? "service" : "batch";
  row.priority = status.spec.priority;
  row.count = status.spec.count;
  row.waiting = status.waiting;
  row.assigned = status.assigned;
  row.finished = status.finished;
  row.failed = status.failed;
  row.cancelled = status.cancelled;
  row.unplaceable = status.unplaceable;
  row.evictions = status.evictions;
  row.reason = status.reason;
  return row;
}

const char* NameOf(TargetStanding standing) {
  switch (standing) {
    case TargetStanding::kLive:
      return "live";
    case TargetStanding::kLeaving:
      return "leaving";
    case TargetStanding::kDrained:
      return "drained";
    case TargetStanding::kGone:
      return "gone";
  }
  return "unknown";
}

DecisionRow RowOf(const PastDecision& past, TimePoint now) {
  DecisionRow row;
  row.age = now - past.at;
  const auto description = FindEvent(past.event.code);
  row.event = description ? description->name : "";
  row.fields.insert(past.event.fields.begin(), past.event.fields.end());
  return row;
}

}  // namespace internal

bool ControlState::RefuseOperator(const OperatorCalled& event) {
  if (!this->IsKnownOperator(event)) {
    this->ports.answer_operator(event.call, internal::kUnauthorised,
                                ErrorBody("the token is not known", "use --token-file"));
    return true;
  }
  const auto spec = event.method == "POST" && event.path == "/v1/jobs"
                        ? DecodeBody<JobSpec>(event.body)
                        : std::nullopt;
  const std::string subtree = spec ? spec->team.str() : std::string(kRootSubtree);
  const bool is_settings = event.path.rfind(internal::kSettingsPath, 0) == 0;
  if (event.method == "GET" || is_settings || this->MayChange(event, subtree)) {
    return false;
  }
  this->ports.answer_operator(
      event.call, internal::kForbidden,
      ErrorBody("the token is not bound to " + subtree, "use a token of that team or of the root"));
  return true;
}

void ControlState::ServeOperator(const OperatorCalled& event) {
  if (this->RefuseOperator(event)) {
    return;
  }
  if (event.path.rfind(internal::kSettingsPath, 0) == 0) {
    this->ServeSettings(event, event.path.substr(sizeof(internal::kSettingsPath) - 1));
    return;
  }
  const auto target = internal::After(event.path, internal::kTargetPrefix);
  if (event.method == "POST" && target) {
    const std::size_t slash = target->rfind('/');
    const std::string verb = slash == std::string::npos ? "" : target->substr(slash + 1);
    this->ChangeStanding(event.call, TargetId(target->substr(0, slash)), verb);
    return;
  }
  if (event.path == "/v1/summary") {
    this->ports.answer_operator(event.call, internal::kOk, EncodeBody(this->OwnSummary()));
    return;
  }
  if (event.method == "POST" && event.path == "/v1/jobs") {
    std::string reason;
    const auto spec = DecodeBody<JobSpec>(event.body, &reason);
    if (!spec) {
      this->ports.answer_operator(event.call, internal::kBadRequest,
                                  ErrorBody(reason, "see docs/SETTINGS.md for a job's keys"));
      return;
    }
    const auto refusals = this->settings.hierarchy().CheckJob(*spec);
    if (!refusals.empty()) {
      const ActionAnswer answer{spec->job.str(), ChangeResult::kRejected, refusals.front().str()};
      this->ports.answer_operator(event.call, internal::kConflict, EncodeBody(answer));
      return;
    }
    this->ClaimJob(event, *spec);
    return;
  }
  this->AskEveryHost(event);
}

void ControlState::AskOwner(const UnitId& unit, const OperatorCalled& event) {
  const bool own = this->queues.count(unit) != 0;
  const auto owner =
      own ? std::optional<HostId>(this->config.self.host) : this->membership.OwnerOf(unit);
  if (!owner) {
    this->ports.answer_operator(
        event.call, internal::kUnavailable,
        ErrorBody("the team's job queue has no owner right now; nothing was changed",
                  "ask again in a few seconds"));
    return;
  }
  OperatorGather gather{event.call, event.method, event.path,
                        {},         {},           this->now + internal::kGatherTimeout};
  const std::uint64_t call = this->next_call++;
  gather.outstanding.insert(call);
  this->gather_of_call[call] = event.call;
  this->gathers[event.call] = gather;
  if (own) {
    this->ServeOwnCall(OperatorCaller{std::nullopt, call}, event);
  } else {
    this->ports.send_peer(*owner, PeerOperatorCall{call, event.method, event.path, event.body});
  }
}

void ControlState::AskEveryHost(const OperatorCalled& event) {
  OperatorGather gather{event.call, event.method, event.path,
                        {},         {},           this->now + internal::kGatherTimeout};
  std::vector<std::pair<HostId, std::uint64_t>> asked;
  for (const HostId& peer : this->config.peers) {
    const auto heard = this->last_heard.find(peer);
    if (heard != this->last_heard.end() && this->now - heard->second < internal::kSilentAfter) {
      asked.emplace_back(peer, this->next_call++);
    }
  }
  const std::uint64_t own_call = this->next_call++;
  gather.outstanding.insert(own_call);
  this->gather_of_call[own_call] = event.call;
  for (const auto& [peer, call] : asked) {
    gather.outstanding.insert(call);
    this->gather_of_call[call] = event.call;
  }
  this->gathers[event.call] = gather;
  for (const auto& [peer, call] : asked) {
    this->ports.send_peer(peer, PeerOperatorCall{call, event.method, event.path, event.body});
  }
  this->ServeOwnCall(OperatorCaller{std::nullopt, own_call}, event);
}

void ControlState::ServeOwnCall(const OperatorCaller& caller, const OperatorCalled& event) {
  const auto job = internal::After(event.path, internal::kJobPrefix);
  const auto why = internal::After(event.path, internal::kWhyPrefix);
  if (event.method == "POST" && event.path == "/v1/jobs") {
    this->SubmitJob(caller, event.body);
  } else if (event.method == "DELETE" && job) {
    this->CancelJob(caller, JobId(*job));
  } else if (event.path == "/v1/jobs") {
    this->AnswerCaller(caller, internal::kOk, EncodeBody(this->OwnJobs()));
  } else if (job) {
    const JobList own = this->OwnJobs();
    const auto row = std::find_if(own.jobs.begin(), own.jobs.end(),
                                  [&job](const JobRow& r) { return r.job == *job; });
    const bool found = row != own.jobs.end();
    this->AnswerCaller(caller, found ? internal::kOk : internal::kNotFound,
                       found ? EncodeBody(*row) : ErrorBody("no such job", "list the jobs"));
  } else if (event.path == "/v1/targets") {
    this->AnswerCaller(caller, internal::kOk, EncodeBody(this->OwnTargets()));
  } else if (event.path == "/v1/services") {
    this->AnswerCaller(caller, internal::kOk, EncodeBody(this->OwnServices()));
  } else if (event.path == "/v1/hosts") {
    this->AnswerCaller(caller, internal::kOk, EncodeBody(HostList{{this->OwnHost()}}));
  } else if (why) {
    this->AnswerCaller(caller, internal::kOk, EncodeBody(this->OwnDecisions(*why)));
  } else {
    this->AnswerCaller(caller, internal::kNotFound,
                       ErrorBody("no such path", "see docs/operators-api.md"));
  }
}

void ControlState::SubmitJob(const OperatorCaller& caller, const std::string& body) {
  const auto spec = DecodeBody<JobSpec>(body);
  const auto queue =
      spec ? this->queues.find(QueueOfTeam(spec->team, this->config.queues)) : this->queues.end();
  if (queue == this->queues.end() || !queue->second.recovered || queue->second.draining) {
    this->AnswerCaller(caller, internal::kUnavailable,
                       ErrorBody("the team's job queue is changing its owner; nothing was changed",
                                 "ask again in a few seconds"));
    return;
  }
  this->submitters[spec->job].push_back(caller);
  this->Feed(queue->second, JobSubmitted{*spec});
}

void ControlState::CancelJob(const OperatorCaller& caller, const JobId& job) {
  for (auto& [unit, queue] : this->queues) {
    const auto jobs = queue.machine.jobs();
    const bool known = std::any_of(jobs.begin(), jobs.end(), [&job](const JobStatus& status) {
      return status.spec.job == job;
    });
    if (!known || queue.draining) {
      continue;
    }
    this->Feed(queue, JobCancelled{job});
    const ActionAnswer answer{job.str(), ChangeResult::kAccepted, ""};
    this->commit_waiters.push_back(
        CommitWaiter{unit, queue.machine.last_sequence(), caller, EncodeBody(answer)});
    if (queue.ledger.pending() == 0) {
      this->AnswerCommitted(unit, queue.machine.last_sequence());
    }
    return;
  }
  this->AnswerCaller(caller, internal::kNotFound, ErrorBody("no such job", "list the jobs"));
}

void ControlState::AnswerCommitted(const UnitId& unit, std::uint64_t through) {
  std::vector<CommitWaiter> ready;
  std::vector<CommitWaiter> waiting;
  for (CommitWaiter& waiter : this->commit_waiters) {
    const bool committed = waiter.unit == unit && waiter.sequence <= through;
    (committed ? ready : waiting).push_back(std::move(waiter));
  }
  this->commit_waiters = std::move(waiting);
  for (const CommitWaiter& waiter : ready) {
    this->AnswerCaller(waiter.caller, internal::kOk, waiter.body);
  }
}

void ControlState::ChangeStanding(std::uint64_t call, const TargetId& target,
                                  const std::string& verb) {
  const auto known =
      std::any_of(this->listed.begin(), this->listed.end(),
                  [&target](const TargetListing& listing) { return listing.target == target; });
  if (!known) {
    this->ports.answer_operator(
        call, internal::kNotFound,
        ErrorBody("no such target in this data centre", "see `pistachioctl target list`"));
    return;
  }
  if (verb != "drain" && verb != "undrain") {
    const ActionAnswer answer{target.str(), ChangeResult::kRejected,
                              "targets are quarantined by the rack's owner; drain it instead"};
    this->ports.answer_operator(call, internal::kConflict, EncodeBody(answer));
    return;
  }
  const StoreCall change = this->standings.Change(call, target, verb == "drain");
  this->ports.call_store(StandingsOrigin{}, call, StoreRole::kOperator, change);
}

void ControlState::FinishStanding(std::uint64_t call, const StoreReply& reply) {
  const std::uint64_t version_before = this->standings.current().version;
  std::optional<StoreCall> again;
  const auto changed = this->standings.TakeReply(call, reply, &again);
  if (this->standings.current().version != version_before) {
    this->TellStandings();
    this->RefreshTargets();
  }
  if (again) {
    this->ports.call_store(StandingsOrigin{}, call, StoreRole::kOperator, *again);
  }
  if (!changed) {
    return;
  }
  const bool lost = reply.status == StoreStatus::kUnknown;
  const ActionAnswer answer{
      "", changed->accepted ? ChangeResult::kAccepted : ChangeResult::kUnknown, changed->reason};
  if (changed->accepted || lost) {
    this->ports.answer_operator(call, lost ? internal::kAccepted : internal::kOk,
                                EncodeBody(answer));
    return;
  }
  this->ports.answer_operator(call, internal::kUnavailable,
                              ErrorBody(changed->reason, "ask again"));
}

void ControlState::TakeAnswer(std::uint64_t call, int status, const std::string& body) {
  const auto gather_id = this->gather_of_call.find(call);
  if (gather_id == this->gather_of_call.end()) {
    return;
  }
  const std::uint64_t id = gather_id->second;
  this->gather_of_call.erase(gather_id);
  OperatorGather& gather = this->gathers.at(id);
  gather.outstanding.erase(call);
  gather.answers.push_back(HostAnswer{status, body});
  if (gather.outstanding.empty()) {
    this->FinishGather(id);
  }
}

void ControlState::FinishGather(std::uint64_t gather_id) {
  const OperatorGather gather = this->gathers.at(gather_id);
  this->gathers.erase(gather_id);
  for (const std::uint64_t call : gather.outstanding) {
    this->gather_of_call.erase(call);
  }
  const bool incomplete = !gather.outstanding.empty();
  // A change whose owner did not answer may be on record.
  if (gather.answers.empty() && gather.method != "GET") {
    const ActionAnswer answer{"", ChangeResult::kUnknown, "no answer yet; ask again"};
    this->ports.answer_operator(gather.operator_call, internal::kAccepted, EncodeBody(answer));
    return;
  }
  const HostAnswer joined = JoinAnswers(gather, incomplete);
  this->ports.answer_operator(gather.operator_call, joined.status, joined.body);
}

void ControlState::ExpireGathers() {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, gather] : this->gathers) {
    if (this->now >= gather.deadline) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    this->FinishGather(id);
  }
}

void ControlState::AnswerCaller(const OperatorCaller& caller, int status, const std::string& body) {
  if (caller.peer) {
    this->ports.send_peer(*caller.peer, PeerOperatorAnswer{caller.call, status, body});
    return;
  }
  this->TakeAnswer(caller.call, status, body);
}

JobList ControlState::OwnJobs() const {
  JobList list;
  for (const auto& [unit, queue] : this->queues) {
    for (const JobStatus& status : queue.machine.jobs()) {
      list.jobs.push_back(internal::RowOf(status));
    }
  }
  return list;
}

TargetList ControlState::OwnTargets() const {
  TargetList list;
  std::map<TargetId, Resources> committed;
  for (const auto& [unit, rack] : this->racks) {
    const auto of_rack = rack.machine.committed();
    committed.insert(of_rack.begin(), of_rack.end());
  }
  for (const auto& [target, listing] : this->routes.listings()) {
    const bool own = this->racks.count(UnitOfRack(listing.rack)) != 0;
    TargetRow row;
    row.target = target.str();
    row.rack = listing.rack.str();
    row.data_centre = listing.data_centre.str();
    row.standing = internal::NameOf(listing.standing);
    row.capacity = listing.capacity;
    row.committed = committed[target];
    row.owner = own ? this->config.self.host.str() : std::string();
    list.targets.push_back(std::move(row));
  }
  return list;
}

ServiceList ControlState::OwnServices() const {
  ServiceList list;
  for (const auto& [unit, queue] : this->queues) {
    for (const JobStatus& status : queue.machine.jobs()) {
      if (status.spec.kind != WorkKind::kService) {
        continue;
      }
      ServiceRow row;
      row.service = status.spec.service.str();
      row.team = status.spec.team.str();
      row.wanted = status.spec.count;
      for (const TargetId& target : this->routes.TargetsOf(status.spec.service)) {
        row.targets.push_back(target.str());
      }
      row.running = row.targets.size();
      list.services.push_back(std::move(row));
    }
  }
  return list;
}

HostRow ControlState::OwnHost() const {
  HostRow row;
  row.host = this->config.self.host.str();
  row.data_centre = this->config.data_centre.str();
  row.incarnation = std::to_string(this->config.self.incarnation);
  row.state = this->stopping ? "leaving" : "live";
  row.heard_age = Duration(0);
  for (const auto& [unit, epoch] : this->membership.owned()) {
    row.units.push_back(unit.str());
  }
  return row;
}

WhyAnswer ControlState::OwnDecisions(const std::string& id) const {
  WhyAnswer answer;
  answer.id = id;
  for (const PastDecision& past : this->history.Find(id)) {
    answer.decisions.push_back(internal::RowOf(past, this->now));
  }
  return answer;
}

Summary ControlState::OwnSummary() const {
  Summary summary;
  summary.host = this->config.self.host.str();
  summary.data_centre = this->config.data_centre.str();
  summary.ready = !this->stopping;
  summary.store_reachable = this->store_answers;
  summary.hosts_live = this->membership.roster().members.size();
  summary.targets_live = this->routes.listings().size();
  summary.settings_version_sum = this->settings.version_sum();
  for (const ServiceId& service : this->routes.services()) {
    summary.services_running += this->routes.TargetsOf(service).size();
  }
  for (const auto& [unit, queue] : this->queues) {
    for (const JobStatus& status : queue.machine.jobs()) {
      const bool batch = status.spec.kind == WorkKind::kBatch;
      summary.batch_running += batch ? status.assigned : 0;
      summary.tasks_waiting += status.waiting;
      summary.evictions += status.evictions;
    }
  }
  return summary;
}

}  // namespace pistachio
