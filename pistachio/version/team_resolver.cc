#include <algorithm>
#include <set>

#include "pistachio/version/hierarchy.h"

namespace pistachio {

namespace internal {

/// \brief Resolves one team: own value, then another service's, then the root's default.
class TeamResolver {
 public:
  TeamResolver(const std::string& team, const CheckedDocument& document,
               const CheckedDocument& root, std::vector<SettingsError>* errors)
      : team(team), document(document), root(root), errors(errors) {}

  TeamSettings Resolve() {
    TeamSettings settings;
    settings.team = TeamId(this->team);
    settings.quota = Resources{this->Limited("quota.cpu_millis", "quota.cpu_millis"),
                               this->Limited("quota.memory_mib", "quota.memory_mib"),
                               this->Limited("quota.accelerators", "quota.accelerators")};
    settings.max_priority =
        static_cast<std::int32_t>(this->Limited("max_priority", "max_priority"));
    settings.max_attempts =
        static_cast<std::uint32_t>(this->Limited("max_attempts", "max_attempts"));
    for (const std::string& rack : this->document.Names("placement.only_in_racks")) {
      settings.only_in_racks.emplace_back(rack);
    }
    settings.max_per_rack =
        static_cast<std::uint32_t>(this->document.Integer("placement.max_per_rack"));
    for (const std::string& name : this->document.TablesIn("operators")) {
      settings.operator_digests.push_back(
          this->document.Text("operators." + name + ".token_digest"));
    }
    this->ResolveServices(&settings);
    return settings;
  }

 private:
  void Refuse(const std::string& path, const std::string& problem, const std::string& allowed) {
    this->errors->push_back(
        SettingsError{this->document.file, this->document.LineOf(path), path, problem, allowed});
  }

  /// \returns the root's limit on a key, the team's own entry first.
  std::int64_t LimitOn(const KeySpec& spec, const std::string& path) const {
    if (const LocatedValue* own = this->root.Find("teams." + this->team + "." + path)) {
      return std::get<std::int64_t>(own->value);
    }
    return this->root.Integer(spec.limited_by);
  }

  /// \returns the whole number at \a path, inherited if left out, lowered to its limit.
  std::int64_t Limited(const std::string& path, const std::string& pattern) {
    const auto spec = FindKey(DocumentKind::kTeam, pattern);
    const LocatedValue* own = this->document.Find(path);
    const std::int64_t limit = spec->limited_by.empty() ? spec->max : this->LimitOn(*spec, path);
    if (own == nullptr) {
      return std::min(limit, this->root.Integer(spec->inherits));
    }
    const auto value = std::get<std::int64_t>(own->value);
    if (value > limit) {
      this->Refuse(path, std::to_string(value) + " exceeds the root's limit",
                   std::to_string(spec->min) + " to " + std::to_string(limit) +
                       (spec->unit.empty() ? "" : " " + spec->unit));
    }
    return std::min(limit, value);
  }

  void ResolveServices(TeamSettings* settings) {
    const std::vector<std::string> names = this->document.TablesIn("services");
    const auto limit = static_cast<std::size_t>(this->root.Integer("limits.services"));
    if (names.size() > limit) {
      this->Refuse("services", "has " + std::to_string(names.size()) + " services",
                   "at most " + std::to_string(limit));
    }
    for (const std::string& name : names) {
      if (settings->services.size() == limit) {
        break;
      }
      if (const auto chain = this->ChainOf(name)) {
        settings->services.push_back(this->ResolveService(name, *chain, *settings));
      }
    }
    this->CheckQuota(*settings);
  }

  /// \returns the service and those it is like, nearest first; nothing if they form a cycle.
  std::optional<std::vector<std::string>> ChainOf(const std::string& name) {
    std::vector<std::string> chain = {"services." + name};
    std::set<std::string> seen = {name};
    std::string next = this->document.Text(chain.back() + ".like");
    while (!next.empty()) {
      const std::string like = chain.back() + ".like";
      if (this->document.lines.count("services." + next) == 0) {
        this->Refuse(like, "there is no service \"" + next + "\"", "a service of this team");
        return std::nullopt;
      }
      if (!seen.insert(next).second) {
        this->Refuse(like, "the services are like each other in a cycle through \"" + next + "\"",
                     "a service that does not lead back here");
        return std::nullopt;
      }
      chain.push_back("services." + next);
      next = this->document.Text(chain.back() + ".like");
    }
    return chain;
  }

  /// \returns the path of the service in the chain that gives the key, the service's own if none.
  std::string PathOf(const std::vector<std::string>& chain, const std::string& key) const {
    const std::string end = "." + key;
    for (const std::string& service : chain) {
      std::string path = service;
      path += end;
      const LocatedValue* value = this->document.Find(path);
      if (value != nullptr && value->line != 0) {
        return path;
      }
    }
    return chain.front() + end;
  }

  std::int64_t NumberOf(const std::vector<std::string>& chain, const std::string& key) {
    const std::string path = this->PathOf(chain, key);
    const std::string pattern = "services.*." + key;
    const auto spec = FindKey(DocumentKind::kTeam, pattern);
    if (spec->limited_by.empty() && spec->inherits.empty()) {
      return this->document.Integer(path);
    }
    return this->Limited(path, pattern);
  }

  JobSpec ResolveService(const std::string& name, const std::vector<std::string>& chain,
                         const TeamSettings& settings) {
    JobSpec spec;
    spec.team = settings.team;
    spec.kind = WorkKind::kService;
    spec.service = ServiceId(this->team + "." + name);
    spec.job = JobId(kServiceJobPrefix + spec.service.str());
    const std::string work_class = this->document.Text(this->PathOf(chain, "work_class"));
    spec.work_class = WorkClass(work_class.empty() ? spec.service.str() : work_class);
    spec.priority = this->PriorityOf(chain, settings);
    spec.count = static_cast<std::uint32_t>(this->NumberOf(chain, "count"));
    spec.declared =
        Resources{this->NumberOf(chain, "cpu_millis"), this->NumberOf(chain, "memory_mib"),
                  this->NumberOf(chain, "accelerators")};
    spec.max_attempts = std::min(settings.max_attempts,
                                 static_cast<std::uint32_t>(this->NumberOf(chain, "max_attempts")));
    spec.max_per_rack = static_cast<std::uint32_t>(this->NumberOf(chain, "max_per_rack"));
    for (const std::string& rack : this->document.Names(this->PathOf(chain, "only_in_racks"))) {
      spec.only_in_racks.emplace_back(rack);
    }
    this->ApplyPlacement(settings, this->PathOf(chain, "only_in_racks"), &spec);
    return spec;
  }

  std::int32_t PriorityOf(const std::vector<std::string>& chain, const TeamSettings& settings) {
    const std::string path = this->PathOf(chain, "priority");
    const auto priority = static_cast<std::int32_t>(this->NumberOf(chain, "priority"));
    if (priority > settings.max_priority && this->document.LineOf(path) != 0) {
      this->Refuse(path, std::to_string(priority) + " exceeds the team's max_priority",
                   "0 to " + std::to_string(settings.max_priority));
    }
    return std::min(priority, settings.max_priority);
  }

  void ApplyPlacement(const TeamSettings& settings, const std::string& path, JobSpec* spec) {
    if (spec->max_per_rack == 0) {
      spec->max_per_rack = settings.max_per_rack;
    }
    if (settings.only_in_racks.empty()) {
      return;
    }
    for (const RackId& rack : spec->only_in_racks) {
      const auto& allowed = settings.only_in_racks;
      if (std::find(allowed.begin(), allowed.end(), rack) == allowed.end()) {
        this->Refuse(path, "rack \"" + rack.str() + "\" is not open to the team",
                     "racks of placement.only_in_racks");
      }
    }
    if (spec->only_in_racks.empty()) {
      spec->only_in_racks = settings.only_in_racks;
    }
  }

  void CheckQuota(const TeamSettings& settings) {
    Resources sum;
    for (const JobSpec& service : settings.services) {
      const auto count = static_cast<std::int64_t>(service.count);
      sum += Resources{service.declared.cpu_millis * count, service.declared.memory_mib * count,
                       service.declared.accelerators * count};
    }
    if (!sum.FitsIn(settings.quota)) {
      this->Refuse("services", "all instances together declare " + sum.str(),
                   "at most the team's quota, " + settings.quota.str());
    }
  }

  std::string team;
  const CheckedDocument& document;
  const CheckedDocument& root;
  std::vector<SettingsError>* errors;
};

TeamSettings ResolveTeam(const std::string& team, const CheckedDocument& document,
                         const CheckedDocument& root, std::vector<SettingsError>* errors) {
  return TeamResolver(team, document, root, errors).Resolve();
}

RootSettings ResolveRoot(const CheckedDocument& root) {
  RootSettings settings;
  settings.policy =
      PolicyWeights{root.Number("policy.tail_latency"), root.Number("policy.batch_throughput"),
                    root.Number("policy.evictions")};
  settings.max_deadline = root.Time("requests.max_deadline");
  settings.max_body_bytes = static_cast<std::size_t>(root.Integer("requests.max_body_bytes"));
  settings.retry_share = root.Number("requests.retry_share");
  settings.max_tasks_per_job = static_cast<std::uint32_t>(root.Integer("limits.tasks_per_job"));
  settings.max_expected_run = root.Time("limits.expected_run");
  for (const std::string& name : root.TablesIn("operators")) {
    settings.operator_digests.push_back(root.Text("operators." + name + ".token_digest"));
  }
  return settings;
}

}  // namespace internal

}  // namespace pistachio
