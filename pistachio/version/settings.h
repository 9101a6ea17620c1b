#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/version/job_spec.h"

namespace pistachio {

/// \brief Name of the root subtree, whose limits apply to every team.
constexpr const char* kRootSubtree = "root";

/// \brief An error at one place of a settings document.
struct SettingsError {
  std::string file;           ///< name of the document
  std::uint32_t line = 0;     ///< counted from 1; 0 if the error is about the whole document
  std::string key;            ///< path of the key; empty if the error is about no single key
  std::string problem;        ///< what is wrong and, if needed, how to correct it
  std::string allowed_range;  ///< allowed values with units; empty if not applicable

  /// \returns `file:line: key: problem (allowed: range)` without the parts that are empty.
  std::string str() const;
};

/// \brief One accepted version of one subtree.
struct SubtreeVersion {
  std::string subtree;        ///< `root`, or a team's name
  std::uint64_t version = 0;  ///< increases by one with each accepted change
  std::string change_id;      ///< unique id of the change
  std::string document;       ///< content of the document, in TOML
};

/// \brief Settings of the root subtree that apply to all teams.
struct RootSettings {
  PolicyWeights policy;                 ///< weights of the scheduling policy
  Duration max_deadline{0};             ///< longest deadline that a request may ask for
  std::size_t max_body_bytes = 0;       ///< largest request or answer body, in bytes
  double retry_share = 0.0;             ///< maximum ratio of retries and hedges to first attempts
  std::uint32_t max_tasks_per_job = 0;  ///< maximum tasks or instances of one job
  Duration max_expected_run{0};         ///< longest run time that a batch task may declare
  /// Digests of the tokens that authorize changes of every subtree.
  std::vector<std::string> operator_token_digests;
};

/// \brief Settings of one team, with inherited defaults filled in and the root's limits applied.
struct TeamSettings {
  TeamId team;
  Resources quota;                    ///< maximum resources that the team's work may have committed
  std::int32_t max_priority = 0;      ///< highest priority of the team's work, 0 to 1000
  std::uint32_t max_attempts = 1;     ///< maximum attempts for each task of a job
  std::vector<RackId> only_in_racks;  ///< racks allowed for the team; empty allows every rack
  std::uint32_t max_per_rack = 0;     ///< default for jobs that set none; 0 means no limit
  std::vector<JobSpec> services;  ///< long-running services; callers use the name `TEAM.SERVICE`
  /// Digests of the tokens that authorize changes of this subtree.
  std::vector<std::string> operator_token_digests;
};

}  // namespace pistachio
