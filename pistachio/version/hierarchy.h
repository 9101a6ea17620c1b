#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/version/document.h"
#include "pistachio/version/settings.h"

namespace pistachio {

/// \brief Maximum number of teams in the hierarchy. `Check` rejects a document for one more team.
constexpr std::size_t kMaxTeams = 2000;

/// \brief Prefix of the ids of the jobs that run a team's services. `CheckJob` rejects it in the id
/// of a submitted job.
constexpr const char* kServiceJobPrefix = "service.";

/// \brief The active root and team documents and the settings that result from them.
///
/// Limits are enforced twice. `Check` rejects a change that exceeds a limit before the change is
/// accepted. `Apply` lowers a value above its limit to the limit, because the root and a team may
/// be changed concurrently.
class SettingsHierarchy {
 public:
  SettingsHierarchy();

  /// \brief Applies a version of a subtree unless the same or a newer one was applied before.
  ///
  /// If the document is invalid, the settings of the previous valid document stay active. The
  /// cost is one parse. A root document also resolves every team again, without parsing.
  /// \returns the errors of the document and the values that were lowered to their limits
  std::vector<SettingsError> Apply(const SubtreeVersion& version);

  /// \brief Validates a change against the whole hierarchy without applying it.
  /// \param file name of the document in error messages
  /// \returns the errors, empty if the change is valid. For a root document, no
  /// further team is checked once there are 50 errors
  std::vector<SettingsError> Check(const std::string& subtree, const std::string& document,
                                   const std::string& file) const;

  /// \brief Validates a job against the limits of its team and of the root.
  /// \returns an error for each violated limit, or a single error if the team is unknown; empty if
  /// the job may be submitted
  std::vector<SettingsError> CheckJob(const JobSpec& job) const;

  /// \returns true if the root or \a subtree lists the digest of \a token, which authorizes its
  /// holder to change \a subtree; false for an empty token and for one above 4096 bytes. The cost
  /// is one digest.
  bool MayChange(const std::string& token, const std::string& subtree) const;

  /// \returns the active settings of the root.
  const RootSettings& root() const { return this->root_settings; }
  /// \returns the active settings of each team.
  const std::map<TeamId, TeamSettings>& teams() const { return this->team_settings; }
  /// \returns the latest version of each subtree, valid or not, by name of the subtree.
  const std::map<std::string, SubtreeVersion>& versions() const { return this->latest_versions; }

 private:
  std::vector<SettingsError> ApplyRoot(const SubtreeVersion& version);
  std::vector<SettingsError> ApplyTeam(const SubtreeVersion& version);
  std::vector<SettingsError> CheckRoot(const std::string& document, const std::string& file) const;

  CheckedDocument root_document;  ///< latest valid root document
  RootSettings root_settings;
  /// Latest valid document of each team, by name of the team.
  std::map<std::string, CheckedDocument> team_documents;
  std::map<TeamId, TeamSettings> team_settings;
  /// Latest version of each subtree, valid or not, by name of the subtree.
  std::map<std::string, SubtreeVersion> latest_versions;
};

/// \returns the SHA-1 digest of an operator's token as 40 lower-case hexadecimal digits, the form
/// that documents contain. Only the first 4096 bytes of the token count.
std::string TokenDigest(const std::string& token);

namespace internal {

/// \brief Computes the settings of a team from its document and the root document.
///
/// Values above a limit are lowered to the limit.
/// \param errors receives an error for each such value and for each inconsistency
TeamSettings ResolveTeam(const std::string& team, const CheckedDocument& document,
                         const CheckedDocument& root, std::vector<SettingsError>* errors);

/// \returns the settings of the root document that apply to all teams.
RootSettings ResolveRoot(const CheckedDocument& root);

}  // namespace internal

}  // namespace pistachio
