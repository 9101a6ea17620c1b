#include <algorithm>

#include "pistachio/process/daemon/control_state.h"

namespace pistachio {

namespace internal {

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr Duration kSilentAfter = std::chrono::seconds(5);

bool IsNumber(const std::string& text) {
  constexpr std::size_t kMostDigits = 18;
  return !text.empty() && text.size() <= kMostDigits &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace internal

SettingsPorts ControlState::MakeSettingsPorts() {
  SettingsPorts made;
  made.call_store = [this](std::uint64_t call, StoreRole role, const StoreCall& store_call) {
    this->ports.call_store(SettingsOrigin{}, call, role, store_call);
  };
  made.send = [this](const HostId& to, const SettingsMessage& message) {
    std::visit([this, &to](const auto& typed) { this->ports.send_peer(to, typed); }, message);
  };
  made.answer = [this](std::uint64_t call, int status, const std::string& body) {
    this->ports.answer_operator(call, status, body);
  };
  made.report = [this](const EventRecord& event) { this->Report(event); };
  made.in_force = [this] { this->settings_changed = true; };
  return made;
}

bool ControlState::MayChange(const OperatorCalled& event, const std::string& subtree) const {
  const bool by_file = event.file_subtree == "*" || event.file_subtree == subtree;
  return by_file || this->settings.hierarchy().MayChange(event.token, subtree);
}

bool ControlState::IsKnownOperator(const OperatorCalled& event) const {
  const Hierarchy& hierarchy = this->settings.hierarchy();
  if (!event.file_subtree.empty() || hierarchy.MayChange(event.token, kRootSubtree)) {
    return true;
  }
  const auto& teams = hierarchy.teams();
  return std::any_of(teams.begin(), teams.end(), [&](const auto& team) {
    return hierarchy.MayChange(event.token, team.first.str());
  });
}

void ControlState::ServeSettings(const OperatorCalled& event, const std::string& rest) {
  // What follows is "", "/status", "/SUBTREE" or "/SUBTREE/history".
  SettingsCall call{event.call, event.method, "", "", event.body};
  const std::string name = rest.empty() ? "" : rest.substr(1);
  const std::size_t slash = name.find('/');
  if (name == "status") {
    call.part = name;
  } else {
    call.subtree = name.substr(0, slash);
    call.part = slash == std::string::npos ? event.version : name.substr(slash + 1);
  }
  const bool part_known = call.part.empty() || call.part == "status" || call.part == "history" ||
                          internal::IsNumber(call.part);
  if (!part_known) {
    this->ports.answer_operator(
        event.call, internal::kBadRequest,
        ErrorBody("no such part of a subtree", "see docs/operators-api.md"));
    return;
  }
  if (event.method == "PUT" && !this->MayChange(event, call.subtree)) {
    this->ports.answer_operator(event.call, internal::kForbidden,
                                ErrorBody("the token is not bound to " + call.subtree,
                                          "use a token of that subtree or of the root"));
    return;
  }
  this->settings.Serve(call, this->now);
}

void ControlState::TellSpreadMembers() {
  SpreadMembersChanged members;
  members.own.push_back(this->config.self.host);
  const auto is_heard = [this](const HostId& host) {
    const auto heard = this->last_heard.find(host);
    return heard != this->last_heard.end() && this->now - heard->second < internal::kSilentAfter;
  };
  for (const HostId& peer : this->config.peers) {
    if (is_heard(peer)) {
      members.own.push_back(peer);
    }
  }
  for (const auto& [host, data_centre] : this->config.remote_peers) {
    if (this->open_links.count(host) != 0) {
      members.remote[data_centre].push_back(host);
    }
  }
  this->settings.SetMembers(members, this->now);
}

void ControlState::ApplySettings() {
  for (auto& [unit, rack] : this->racks) {
    rack.machine.SetWeights(this->settings.hierarchy().root().policy);
  }
  for (auto& [unit, queue] : this->queues) {
    this->ApplySettings(queue);
  }
}

void ControlState::ApplySettings(QueueUnit& unit) {
  if (!unit.recovered || unit.draining) {
    return;
  }
  QuotasChanged quotas;
  std::vector<JobSpec> services;
  for (const auto& [team, settings] : this->settings.hierarchy().teams()) {
    quotas.quotas.push_back(TeamQuota{team, settings.quota});
    if (QueueOfTeam(team, this->config.queues) == unit.unit) {
      services.insert(services.end(), settings.services.begin(), settings.services.end());
    }
  }
  this->Feed(unit, quotas);
  for (JobSpec& service : services) {
    // Each data centre runs instances of its own; without its name two of them would share a task.
    service.job = JobId(service.job.str() + "." + this->config.data_centre.str());
    this->Feed(unit, JobSubmitted{service});
  }
}

}  // namespace pistachio
