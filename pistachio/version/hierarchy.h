#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/version/document.h"
#include "pistachio/version/settings.h"

namespace pistachio {

/// \brief Most teams that the hierarchy may have.
constexpr std::size_t kMaxTeams = 2000;

/// \brief Prefix of the names of jobs that stand for a team's services; jobs of operators lack it.
constexpr const char* kServiceJobPrefix = "service.";

/// \brief The documents in force and what they say together.
///
/// Limits are kept twice: a change is checked before it is accepted, and a value above its limit is
/// lowered to it here, since root and team may have been changed at the same moment.
class Hierarchy {
 public:
  Hierarchy();

  /// \brief Takes a new version of a subtree. An older or equal one changes nothing.
  ///
  /// A document that cannot be read leaves what the one before it said in force.
  /// \returns what does not fit. Cost: one parse; a root resolves every team anew, without parsing
  std::vector<SettingsError> Put(const SubtreeVersion& version);

  /// \brief Checks a change against the whole hierarchy; nothing is taken.
  /// \param file name of the document in the errors
  /// \returns every reason for a refusal, none if it fits
  std::vector<SettingsError> Check(const std::string& subtree, const std::string& document,
                                   const std::string& file) const;

  /// \brief Checks a job against its team's limits. \returns the reasons for a refusal.
  std::vector<SettingsError> CheckJob(const JobSpec& job) const;

  /// \returns true if the holder of \a token may change \a subtree. Cost: one digest.
  bool MayChange(const std::string& token, const std::string& subtree) const;

  const RootSettings& root() const { return this->root_settings; }
  const std::map<TeamId, TeamSettings>& teams() const { return this->team_settings; }
  const std::map<std::string, SubtreeVersion>& versions() const { return this->accepted; }

 private:
  std::vector<SettingsError> PutRoot(const SubtreeVersion& version);
  std::vector<SettingsError> PutTeam(const SubtreeVersion& version);
  std::vector<SettingsError> CheckRoot(const std::string& document, const std::string& file) const;

  CheckedDocument root_document;
  RootSettings root_settings;
  std::map<std::string, CheckedDocument> team_documents;
  std::map<TeamId, TeamSettings> team_settings;
  std::map<std::string, SubtreeVersion> accepted;
};

/// \returns the digest of an operator's token as documents hold it.
std::string TokenDigest(const std::string& token);

namespace internal {

/// \brief Resolves one team under a root; values above a limit are lowered and reported.
TeamSettings ResolveTeam(const std::string& team, const CheckedDocument& document,
                         const CheckedDocument& root, std::vector<SettingsError>* errors);

/// \brief Reads what the root says for everybody.
RootSettings ResolveRoot(const CheckedDocument& root);

}  // namespace internal

}  // namespace pistachio
