#include "pistachio/version/hierarchy.h"

#include <algorithm>
#include <array>
#include <websocketpp/sha1/sha1.hpp>

namespace pistachio {

namespace internal {

constexpr std::size_t kDigestBytes = 20;
// MayChange rejects longer tokens, which bounds the cost of a digest.
constexpr std::size_t kMaxTokenBytes = 4096;
// Number of errors after which the check of a root document skips the remaining teams.
constexpr std::size_t kMaxReportedErrors = 50;

/// \brief Checks that the defaults set in a root document do not exceed its limits.
std::vector<SettingsError> CheckRootDefaults(const CheckedDocument& root) {
  std::vector<SettingsError> errors;
  for (const KeySpec& spec : RootKeys()) {
    const std::string prefix = "defaults.";
    if (spec.path.compare(0, prefix.size(), prefix) != 0) {
      continue;
    }
    const std::int64_t limit = root.GetInteger("limits." + spec.path.substr(prefix.size()));
    const LocatedValue* value = root.Find(spec.path);
    // A value at line 0 is a schema default and no error: ResolveInteger lowers it to the limit on
    // use.
    if (value->line != 0 && std::get<std::int64_t>(value->value) > limit) {
      errors.push_back(SettingsError{root.file, value->line, spec.path, "exceeds the root's limit",
                                     std::to_string(spec.min) + " to " + std::to_string(limit)});
    }
  }
  return errors;
}

/// \returns a root document in which every key has its schema default.
CheckedDocument ParseEmptyRoot() {
  std::vector<SettingsError> errors;
  const auto document = ReadDocument(DocumentKind::kRoot, "", kRootSubtree, &errors);
  return document ? *document : CheckedDocument();
}

/// \brief Compares two texts in a time that does not depend on where they differ.
bool EqualInConstantTime(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned int difference = 0;
  for (std::size_t i = 0; i < a.size(); i++) {
    difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

/// \brief Searches for \a digest without revealing by timing which entry matches.
bool ContainsDigest(const std::vector<std::string>& digests, const std::string& digest) {
  bool found = false;
  for (const std::string& known_digest : digests) {
    found = EqualInConstantTime(known_digest, digest) || found;
  }
  return found;
}

}  // namespace internal

std::string TokenDigest(const std::string& token) {
  std::array<unsigned char, internal::kDigestBytes> bytes{};
  const std::size_t size = std::min(token.size(), internal::kMaxTokenBytes);
  websocketpp::sha1::calc(token.data(), size, bytes.data());
  constexpr const char* kDigits = "0123456789abcdef";
  std::string digest;
  for (const unsigned char byte : bytes) {
    digest += kDigits[byte >> 4U];
    digest += kDigits[byte & 15U];
  }
  return digest;
}

SettingsHierarchy::SettingsHierarchy()
    : root_document(internal::ParseEmptyRoot()),
      root_settings(internal::ResolveRoot(this->root_document)) {}

std::vector<SettingsError> SettingsHierarchy::Apply(const SubtreeVersion& version) {
  SubtreeVersion& latest = this->latest_versions[version.subtree];
  if (version.version <= latest.version) {
    return {};
  }
  latest = version;
  return version.subtree == kRootSubtree ? this->ApplyRoot(version) : this->ApplyTeam(version);
}

std::vector<SettingsError> SettingsHierarchy::ApplyRoot(const SubtreeVersion& version) {
  std::vector<SettingsError> errors;
  auto document = ReadDocument(DocumentKind::kRoot, version.document, version.subtree, &errors);
  if (!document) {
    return errors;
  }
  this->root_document = std::move(*document);
  this->root_settings = internal::ResolveRoot(this->root_document);
  for (const auto& [team, team_document] : this->team_documents) {
    this->team_settings[TeamId(team)] =
        internal::ResolveTeam(team, team_document, this->root_document, &errors);
  }
  return errors;
}

std::vector<SettingsError> SettingsHierarchy::ApplyTeam(const SubtreeVersion& version) {
  std::vector<SettingsError> errors;
  auto document = ReadDocument(DocumentKind::kTeam, version.document, version.subtree, &errors);
  if (!document) {
    return errors;
  }
  CheckedDocument& stored = this->team_documents[version.subtree];
  stored = std::move(*document);
  this->team_settings[TeamId(version.subtree)] =
      internal::ResolveTeam(version.subtree, stored, this->root_document, &errors);
  return errors;
}

std::vector<SettingsError> SettingsHierarchy::Check(const std::string& subtree,
                                                    const std::string& document,
                                                    const std::string& file) const {
  if (subtree == kRootSubtree) {
    return this->CheckRoot(document, file);
  }
  std::vector<SettingsError> errors;
  if (!IsName(subtree) || subtree.find('.') != std::string::npos) {
    errors.push_back(SettingsError{file, 0, "",
                                   "\"" + subtree.substr(0, 64) + "\" is not a valid team name",
                                   "a name without dots"});
    return errors;
  }
  if (this->team_documents.count(subtree) == 0 && this->team_documents.size() >= kMaxTeams) {
    errors.push_back(SettingsError{file, 0, "", "there are too many teams",
                                   "at most " + std::to_string(kMaxTeams) + " teams"});
    return errors;
  }
  const auto checked = ReadDocument(DocumentKind::kTeam, document, file, &errors);
  if (checked) {
    internal::ResolveTeam(subtree, *checked, this->root_document, &errors);
  }
  return errors;
}

std::vector<SettingsError> SettingsHierarchy::CheckRoot(const std::string& document,
                                                        const std::string& file) const {
  std::vector<SettingsError> errors;
  const auto checked = ReadDocument(DocumentKind::kRoot, document, file, &errors);
  if (!checked) {
    return errors;
  }
  errors = internal::CheckRootDefaults(*checked);
  for (const auto& [team, team_document] : this->team_documents) {
    if (errors.size() >= internal::kMaxReportedErrors) {
      break;
    }
    internal::ResolveTeam(team, team_document, *checked, &errors);
  }
  return errors;
}

std::vector<SettingsError> SettingsHierarchy::CheckJob(const JobSpec& job) const {
  std::vector<SettingsError> errors;
  const auto add_error = [&errors, &job](const char* key, const std::string& problem,
                                         const std::string& allowed) {
    errors.push_back(SettingsError{"job " + job.job.str(), 0, key, problem, allowed});
  };
  const auto team = this->team_settings.find(job.team);
  if (team == this->team_settings.end()) {
    add_error("team", "there is no team \"" + job.team.str() + "\"",
              "a team with settings in force");
    return errors;
  }
  const TeamSettings& team_limits = team->second;
  if (job.job.str().compare(0, std::string(kServiceJobPrefix).size(), kServiceJobPrefix) == 0) {
    add_error("job", "the name is reserved for services",
              "a name that does not start with service.");
  }
  if (job.priority > team_limits.max_priority) {
    add_error("priority", std::to_string(job.priority) + " exceeds the team's max_priority",
              "0 to " + std::to_string(team_limits.max_priority));
  }
  if (job.max_attempts > team_limits.max_attempts) {
    add_error("max_attempts", std::to_string(job.max_attempts) + " exceeds the team's max_attempts",
              "1 to " + std::to_string(team_limits.max_attempts));
  }
  if (job.count > this->root_settings.max_tasks_per_job) {
    add_error("count", std::to_string(job.count) + " exceeds the root's limits.tasks_per_job",
              "1 to " + std::to_string(this->root_settings.max_tasks_per_job));
  }
  if (job.expected_run > this->root_settings.max_expected_run) {
    add_error("expected_run", "exceeds the root's limits.expected_run",
              "at most " + FormatDuration(this->root_settings.max_expected_run));
  }
  if (!job.task_resources.FitsIn(team_limits.quota)) {
    add_error("cpu_millis, memory_mib, accelerators",
              "one task declares " + job.task_resources.str(),
              "at most the quota, " + team_limits.quota.str());
  }
  for (const RackId& rack : job.only_in_racks) {
    const auto& allowed_racks = team_limits.only_in_racks;
    if (!allowed_racks.empty() &&
        std::find(allowed_racks.begin(), allowed_racks.end(), rack) == allowed_racks.end()) {
      add_error("only_in_racks", "rack \"" + rack.str() + "\" is not allowed for the team",
                "racks of the team's placement.only_in_racks");
    }
  }
  return errors;
}

bool SettingsHierarchy::MayChange(const std::string& token, const std::string& subtree) const {
  if (token.empty() || token.size() > internal::kMaxTokenBytes) {
    return false;
  }
  const std::string digest = TokenDigest(token);
  if (internal::ContainsDigest(this->root_settings.operator_token_digests, digest)) {
    return true;
  }
  const auto team = this->team_settings.find(TeamId(subtree));
  return team != this->team_settings.end() &&
         internal::ContainsDigest(team->second.operator_token_digests, digest);
}

}  // namespace pistachio
