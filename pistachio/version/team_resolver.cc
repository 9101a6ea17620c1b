#include <algorithm>
#include <set>

#include "pistachio/version/hierarchy.h"

namespace pistachio {

namespace internal {

/// \brief Resolves the settings of one team.
///
/// The value of a key is that of the team's document, else that of the service named by `like`,
/// else the default of the root or of the schema.
class TeamResolver {
 public:
  TeamResolver(const std::string& team, const CheckedDocument& document,
               const CheckedDocument& root, std::vector<SettingsError>* errors)
      : team(team), document(document), root(root), errors(errors) {}

  /// \returns the settings of the team with all values within their limits.
  TeamSettings Resolve() {
    TeamSettings settings;
    settings.team = TeamId(this->team);
    settings.quota = Resources{this->ResolveInteger("quota.cpu_millis", "quota.cpu_millis"),
                               this->ResolveInteger("quota.memory_mib", "quota.memory_mib"),
                               this->ResolveInteger("quota.accelerators", "quota.accelerators")};
    settings.max_priority =
        static_cast<std::int32_t>(this->ResolveInteger("max_priority", "max_priority"));
    settings.max_attempts =
        static_cast<std::uint32_t>(this->ResolveInteger("max_attempts", "max_attempts"));
    for (const std::string& rack : this->document.GetNames("placement.only_in_racks")) {
      settings.only_in_racks.emplace_back(rack);
    }
    settings.max_per_rack =
        static_cast<std::uint32_t>(this->document.GetInteger("placement.max_per_rack"));
    for (const std::string& name : this->document.TableNames("operators")) {
      settings.operator_token_digests.push_back(
          this->document.GetText("operators." + name + ".token_digest"));
    }
    this->ResolveServices(&settings);
    return settings;
  }

 private:
  void AddError(const std::string& path, const std::string& problem, const std::string& allowed) {
    this->errors->push_back(
        SettingsError{this->document.file, this->document.LineOf(path), path, problem, allowed});
  }

  /// \returns the root's limit on a key: the entry for this team under `teams` if there is one,
  /// else the general limit.
  std::int64_t FindLimit(const KeySpec& spec, const std::string& path) const {
    if (const LocatedValue* team_limit = this->root.Find("teams." + this->team + "." + path)) {
      return std::get<std::int64_t>(team_limit->value);
    }
    return this->root.GetInteger(spec.root_limit_key);
  }

  /// \brief Resolves an integer key and reports a value above its limit.
  /// \returns the value at \a path, or the root's default if it is omitted, lowered to the limit.
  std::int64_t ResolveInteger(const std::string& path, const std::string& pattern) {
    const auto spec = FindKey(DocumentKind::kTeam, pattern);
    const LocatedValue* own_value = this->document.Find(path);
    const std::int64_t limit =
        spec->root_limit_key.empty() ? spec->max : this->FindLimit(*spec, path);
    if (own_value == nullptr) {
      return std::min(limit, this->root.GetInteger(spec->root_default_key));
    }
    const auto value = std::get<std::int64_t>(own_value->value);
    if (value > limit) {
      this->AddError(path, std::to_string(value) + " exceeds the root's limit",
                     std::to_string(spec->min) + " to " + std::to_string(limit) +
                         (spec->unit.empty() ? "" : " " + spec->unit));
    }
    return std::min(limit, value);
  }

  /// \brief Resolves at most `limits.services` services and reports a larger number.
  void ResolveServices(TeamSettings* settings) {
    const std::vector<std::string> names = this->document.TableNames("services");
    const auto limit = static_cast<std::size_t>(this->root.GetInteger("limits.services"));
    if (names.size() > limit) {
      this->AddError("services", "has " + std::to_string(names.size()) + " services",
                     "at most " + std::to_string(limit));
    }
    for (const std::string& name : names) {
      if (settings->services.size() == limit) {
        break;
      }
      if (const auto chain = this->FindInheritanceChain(name)) {
        settings->services.push_back(this->ResolveService(name, *chain, *settings));
      }
    }
    this->CheckQuota(*settings);
  }

  /// \brief Follows the `like` keys from a service to the services that it inherits from.
  /// \returns the paths of all these services, starting with \a name itself. If one of them does
  /// not exist or they form a cycle, reports an error and returns nothing.
  std::optional<std::vector<std::string>> FindInheritanceChain(const std::string& name) {
    std::vector<std::string> chain = {"services." + name};
    std::set<std::string> visited = {name};
    std::string next = this->document.GetText(chain.back() + ".like");
    while (!next.empty()) {
      const std::string like_path = chain.back() + ".like";
      if (this->document.table_lines.count("services." + next) == 0) {
        this->AddError(like_path, "there is no service \"" + next + "\"", "a service of this team");
        return std::nullopt;
      }
      if (!visited.insert(next).second) {
        this->AddError(like_path, "the `like` keys form a cycle through \"" + next + "\"",
                       "a service that does not inherit from this one");
        return std::nullopt;
      }
      chain.push_back("services." + next);
      next = this->document.GetText(chain.back() + ".like");
    }
    return chain;
  }

  /// \returns the path of \a key in the first service of \a chain that sets it, or its path in the
  /// first service if none does.
  std::string FindPathInChain(const std::vector<std::string>& chain, const std::string& key) const {
    const std::string suffix = "." + key;
    for (const std::string& service : chain) {
      std::string path = service;
      path += suffix;
      const LocatedValue* value = this->document.Find(path);
      if (value != nullptr && value->line != 0) {
        return path;
      }
    }
    return chain.front() + suffix;
  }

  /// \returns the value of an integer key of a service, inherited along \a chain and lowered to its
  /// limit.
  std::int64_t ResolveServiceInteger(const std::vector<std::string>& chain,
                                     const std::string& key) {
    const std::string path = this->FindPathInChain(chain, key);
    const std::string pattern = "services.*." + key;
    const auto spec = FindKey(DocumentKind::kTeam, pattern);
    if (spec->root_limit_key.empty() && spec->root_default_key.empty()) {
      return this->document.GetInteger(path);
    }
    return this->ResolveInteger(path, pattern);
  }

  /// \returns the job that runs the service \a name.
  JobSpec ResolveService(const std::string& name, const std::vector<std::string>& chain,
                         const TeamSettings& settings) {
    JobSpec spec;
    spec.team = settings.team;
    spec.kind = WorkKind::kService;
    spec.service = ServiceId(this->team + "." + name);
    spec.job = JobId(kServiceJobPrefix + spec.service.str());
    const std::string work_class =
        this->document.GetText(this->FindPathInChain(chain, "work_class"));
    spec.work_class = WorkClass(work_class.empty() ? spec.service.str() : work_class);
    spec.priority = this->ResolvePriority(chain, settings);
    spec.count = static_cast<std::uint32_t>(this->ResolveServiceInteger(chain, "count"));
    spec.task_resources = Resources{this->ResolveServiceInteger(chain, "cpu_millis"),
                                    this->ResolveServiceInteger(chain, "memory_mib"),
                                    this->ResolveServiceInteger(chain, "accelerators")};
    spec.max_attempts =
        std::min(settings.max_attempts,
                 static_cast<std::uint32_t>(this->ResolveServiceInteger(chain, "max_attempts")));
    spec.max_per_rack =
        static_cast<std::uint32_t>(this->ResolveServiceInteger(chain, "max_per_rack"));
    for (const std::string& rack :
         this->document.GetNames(this->FindPathInChain(chain, "only_in_racks"))) {
      spec.only_in_racks.emplace_back(rack);
    }
    this->ApplyPlacement(settings, this->FindPathInChain(chain, "only_in_racks"), &spec);
    return spec;
  }

  /// \returns the priority of a service, at most the team's `max_priority`; reports a higher value
  /// if the document sets it.
  std::int32_t ResolvePriority(const std::vector<std::string>& chain,
                               const TeamSettings& settings) {
    const std::string path = this->FindPathInChain(chain, "priority");
    const auto priority = static_cast<std::int32_t>(this->ResolveServiceInteger(chain, "priority"));
    if (priority > settings.max_priority && this->document.LineOf(path) != 0) {
      this->AddError(path, std::to_string(priority) + " exceeds the team's max_priority",
                     "0 to " + std::to_string(settings.max_priority));
    }
    return std::min(priority, settings.max_priority);
  }

  /// \brief Applies the team's placement rules to a service and reports racks outside of them.
  /// \param path path of the service's `only_in_racks`, for errors
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
        this->AddError(path, "rack \"" + rack.str() + "\" is not allowed for the team",
                       "racks of placement.only_in_racks");
      }
    }
    if (spec->only_in_racks.empty()) {
      spec->only_in_racks = settings.only_in_racks;
    }
  }

  /// \brief Reports an error if all service instances together exceed the team's quota.
  void CheckQuota(const TeamSettings& settings) {
    Resources sum;
    for (const JobSpec& service : settings.services) {
      const auto count = static_cast<std::int64_t>(service.count);
      sum += Resources{service.task_resources.cpu_millis * count,
                       service.task_resources.memory_mib * count,
                       service.task_resources.accelerators * count};
    }
    if (!sum.FitsIn(settings.quota)) {
      this->AddError("services", "all instances together declare " + sum.str(),
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
      PolicyWeights{root.GetNumber("policy.tail_latency"),
                    root.GetNumber("policy.batch_throughput"), root.GetNumber("policy.evictions")};
  settings.max_deadline = root.GetDuration("requests.max_deadline");
  settings.max_body_bytes = static_cast<std::size_t>(root.GetInteger("requests.max_body_bytes"));
  settings.retry_share = root.GetNumber("requests.retry_share");
  settings.max_tasks_per_job = static_cast<std::uint32_t>(root.GetInteger("limits.tasks_per_job"));
  settings.max_expected_run = root.GetDuration("limits.expected_run");
  for (const std::string& name : root.TableNames("operators")) {
    settings.operator_token_digests.push_back(root.GetText("operators." + name + ".token_digest"));
  }
  return settings;
}

}  // namespace internal

}  // namespace pistachio
