#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/tasks/types.h"
#include "pistachio/version/settings.h"

namespace pistachio {

/// \file
/// \brief Bodies of the operators' HTTP API, shared by the daemon and the operators' tool.
///
/// docs/operators-api.md lists the paths and which body goes with which.

/// \brief Largest body that either side reads, in bytes: a document, escaped, and what is around
/// it.
constexpr std::size_t kMaxOperatorBodyBytes = 1U << 22U;

/// \brief What became of a change that an operator asked for; each is true when it is said.
enum class ChangeResult {
  kAccepted,  ///< on record
  kRejected,  ///< not on record and never will be under this id
  kUnknown,   ///< may be on record; asking again with the same id is safe and tells
};

/// \returns the result's name in the API, such as `accepted`.
const char* NameOf(ChangeResult result);

/// \brief Why a call was refused, with what to do next.
struct ApiError {
  std::string reason;
  std::string next_step;
};

/// \brief Answer to a change of a job or target.
struct ActionAnswer {
  std::string subject;  ///< the job or target
  ChangeResult result = ChangeResult::kUnknown;
  std::string reason;
};

/// \brief Asks for a new version of a subtree.
struct ChangeRequest {
  std::uint64_t base_version = 0;  ///< version that the operator saw; 0 for none
  std::string change_id;           ///< unique to the change, the same when it is asked again
  std::string document;            ///< TOML
  bool repeated = false;           ///< an earlier try with this id may be under way
};

/// \brief Answer to a change of a subtree.
struct ChangeAnswer {
  std::string subtree;
  ChangeResult result = ChangeResult::kUnknown;
  std::uint64_t version = 0;  ///< the version that the change made; 0 unless accepted
  std::string reason;
  std::vector<SettingsError> errors;      ///< what the check found
  std::optional<SubtreeVersion> current;  ///< after a conflict, the version that won
};

/// \brief One row of a subtree's history.
struct HistoryRow {
  std::uint64_t version = 0;
  std::string change_id;
  std::uint64_t bytes = 0;
};
struct HistoryList {
  std::string subtree;
  std::vector<HistoryRow> versions;  ///< newest first
};

/// \brief One subtree in the list of all, as the answering host has it.
struct SubtreeRow {
  std::string subtree;
  std::uint64_t version = 0;
  std::string change_id;
};
struct SubtreeList {
  std::vector<SubtreeRow> subtrees;
};

/// \brief What is known of the settings that a host has in force.
struct HostSettingsRow {
  std::string host;
  std::string data_centre;
  std::string state;                  ///< `same`, `behind`, `ahead`, `differs` or `unknown`
  std::optional<Duration> heard_age;  ///< age of what is known; nothing if nothing was heard
  std::uint64_t subtrees = 0;         ///< how many the host has
  std::uint64_t version_sum = 0;      ///< sum of their versions
};
struct SettingsStatus {
  std::string host;              ///< the answering host, which the others are compared with
  bool store_reachable = false;  ///< whether the accepted versions can be read right now
  std::vector<SubtreeRow> subtrees;
  std::vector<HostSettingsRow> hosts;
};

/// \brief One entry host.
struct HostRow {
  std::string host;
  std::string data_centre;
  std::string incarnation;
  std::string state;                  ///< `live`, `leaving` or `silent`
  std::optional<Duration> heard_age;  ///< age of what is known; nothing if nothing was heard
  std::vector<std::string> units;     ///< units that it owns, as far as is known
};
struct HostList {
  std::vector<HostRow> hosts;
};

/// \brief One target.
struct TargetRow {
  std::string target;
  std::string rack;
  std::string data_centre;
  std::string standing;  ///< `live`, `leaving`, `drained` or `gone`
  bool quarantined = false;
  Resources capacity;
  Resources committed;
  double load = 0.0;
  std::uint64_t tasks = 0;
  std::string owner;  ///< entry host that owns the rack, empty if none is known
};
struct TargetList {
  std::vector<TargetRow> targets;
};

/// \brief One job with its tasks by state.
struct JobRow {
  std::string job;
  std::string team;
  std::string kind;  ///< `batch` or `service`
  std::int32_t priority = 0;
  std::uint64_t count = 0;
  std::uint64_t waiting = 0;
  std::uint64_t assigned = 0;
  std::uint64_t finished = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t unplaceable = 0;
  std::uint64_t evictions = 0;
  std::string reason;  ///< why tasks wait or cannot run
};
struct JobList {
  std::vector<JobRow> jobs;
};

/// \brief One service as callers reach it.
struct ServiceRow {
  std::string service;
  std::string team;
  std::uint64_t wanted = 0;
  std::uint64_t running = 0;
  std::vector<std::string> targets;
};
struct ServiceList {
  std::vector<ServiceRow> services;
};

/// \brief One decision about a task or request, as it was logged.
struct DecisionRow {
  Duration age{0};
  std::string event;                          ///< name in docs/EVENTS.md
  std::map<std::string, std::string> fields;  ///< with the reason and what was beaten
};
struct WhyAnswer {
  std::string id;
  std::vector<DecisionRow> decisions;  ///< oldest first
};

/// \brief The answering host at a glance, for `pistachioctl top`.
struct Summary {
  std::string host;
  std::string data_centre;
  bool ready = false;
  bool store_reachable = false;
  std::uint64_t hosts_live = 0;
  std::uint64_t targets_live = 0;
  std::uint64_t services_running = 0;
  std::uint64_t batch_running = 0;
  std::uint64_t tasks_waiting = 0;
  std::uint64_t evictions = 0;
  std::uint64_t requests_answered = 0;
  std::uint64_t requests_not_run = 0;
  std::uint64_t requests_unknown = 0;
  std::uint64_t requests_waiting = 0;
  Duration latency_p50{0};
  Duration latency_p99{0};
  std::uint64_t settings_version_sum = 0;
};

/// \returns \a body as JSON. For every body type of this file and JobSpec.
template <class Body>
std::string EncodeBody(const Body& body);

/// \brief Reads a body. Keys that are not known are passed over, so that either side may be newer;
/// a job's are refused, since an operator may have misspelt one.
///
/// \param reason gets what is wrong, if it is not null
/// \returns nothing if \a text is not such a body or too large
template <class Body>
std::optional<Body> DecodeBody(const std::string& text, std::string* reason = nullptr);

}  // namespace pistachio
