#include "pistachio/version/schema.h"

namespace pistachio::internal {

constexpr std::int64_t kMaxCpuMillis = 100'000'000;
constexpr std::int64_t kMaxMemoryMib = 1'000'000'000;
constexpr std::int64_t kMaxAccelerators = 100'000;
constexpr std::int64_t kMaxPriority = 1000;
constexpr std::int64_t kMaxAttempts = 100;
constexpr std::int64_t kMaxTasks = 1'000'000;
constexpr std::int64_t kMaxServices = 1000;
constexpr std::int64_t kMaxListedNames = 500;
constexpr std::int64_t kDayMillis = 24LL * 3600 * 1000;

/// \returns the definition of a key with an integer value.
KeySpec IntegerKey(const char* path, std::int64_t min, std::int64_t max, const char* unit,
                   const char* default_value, const char* description) {
  KeySpec spec;
  spec.path = path;
  spec.kind = ValueKind::kInteger;
  spec.min = min;
  spec.max = max;
  spec.unit = unit;
  spec.default_value = default_value;
  spec.description = description;
  return spec;
}

/// \returns the definition of a key of type \a kind, without a unit.
KeySpec TypedKey(const char* path, ValueKind kind, std::int64_t min, std::int64_t max,
                 const char* default_value, const char* description) {
  KeySpec spec = IntegerKey(path, min, max, "", default_value, description);
  spec.kind = kind;
  return spec;
}

/// \returns \a spec with the root keys that provide its default and its limit; empty for none.
KeySpec WithRootKeys(KeySpec spec, const char* root_default_key, const char* root_limit_key) {
  spec.root_default_key = root_default_key;
  spec.root_limit_key = root_limit_key;
  return spec;
}

/// \returns \a spec as a required key.
KeySpec Required(KeySpec spec) {
  spec.required = true;
  return spec;
}

/// \returns \a keys, assigned to a kind of document.
std::vector<KeySpec> InDocument(DocumentKind kind, std::vector<KeySpec> keys) {
  for (KeySpec& spec : keys) {
    spec.document = kind;
  }
  return keys;
}

std::vector<KeySpec> MakeRootKeys() {
  return InDocument(
      DocumentKind::kRoot,
      {
          IntegerKey("limits.quota.cpu_millis", 0, kMaxCpuMillis, "thousandths of a core",
                     "1000000", "Maximum CPU quota of a team."),
          IntegerKey("limits.quota.memory_mib", 0, kMaxMemoryMib, "MiB", "4000000",
                     "Maximum memory quota of a team."),
          IntegerKey("limits.quota.accelerators", 0, kMaxAccelerators, "devices", "100",
                     "Maximum accelerator quota of a team."),
          IntegerKey("limits.max_priority", 0, kMaxPriority, "", "1000",
                     "Upper limit of a team's max_priority; work with a priority of 900 or more is "
                     "urgent."),
          IntegerKey("limits.max_attempts", 1, kMaxAttempts, "attempts", "20",
                     "Maximum attempts that a job may request for each task."),
          IntegerKey("limits.tasks_per_job", 1, kMaxTasks, "tasks", "20000",
                     "Maximum number of tasks or instances of a job."),
          IntegerKey("limits.services", 0, kMaxServices, "services", "100",
                     "Maximum number of services of a team."),
          TypedKey("limits.expected_run", ValueKind::kDuration, 1000, 30 * kDayMillis, "168h",
                   "Longest run time that a batch task may declare."),
          IntegerKey("defaults.quota.cpu_millis", 0, kMaxCpuMillis, "thousandths of a core",
                     "100000", "CPU quota of a team that sets none."),
          IntegerKey("defaults.quota.memory_mib", 0, kMaxMemoryMib, "MiB", "400000",
                     "Memory quota of a team that sets none."),
          IntegerKey("defaults.quota.accelerators", 0, kMaxAccelerators, "devices", "0",
                     "Accelerator quota of a team that sets none."),
          IntegerKey("defaults.max_priority", 0, kMaxPriority, "", "500",
                     "Highest priority of the work of a team that sets no max_priority."),
          IntegerKey("defaults.max_attempts", 1, kMaxAttempts, "attempts", "5",
                     "Attempts for each task in a team that sets no max_attempts."),
          TypedKey("policy.tail_latency", ValueKind::kNumber, 0, 1000, "10",
                   "Weight of the tail latency of services."),
          TypedKey("policy.batch_throughput", ValueKind::kNumber, 0, 1000, "1",
                   "Weight of the progress of batch work."),
          TypedKey("policy.evictions", ValueKind::kNumber, 0, 1000, "5",
                   "Weight of avoiding an eviction."),
          TypedKey("requests.max_deadline", ValueKind::kDuration, 10, kDayMillis, "60s",
                   "Longest deadline that a request may ask for."),
          IntegerKey("requests.max_body_bytes", 1024, 67'108'864, "bytes", "1048576",
                     "Maximum size of a request or answer body."),
          TypedKey(
              "requests.retry_share", ValueKind::kNumber, 0, 1, "0.2",
              "Maximum ratio of a service's retries and hedged requests to its first attempts."),
          IntegerKey("teams.*.quota.cpu_millis", 0, kMaxCpuMillis, "thousandths of a core", "",
                     "CPU quota limit of this team; replaces `limits.quota.cpu_millis`."),
          IntegerKey("teams.*.quota.memory_mib", 0, kMaxMemoryMib, "MiB", "",
                     "Memory quota limit of this team; replaces `limits.quota.memory_mib`."),
          IntegerKey("teams.*.quota.accelerators", 0, kMaxAccelerators, "devices", "",
                     "Accelerator quota limit of this team; replaces `limits.quota.accelerators`."),
          IntegerKey("teams.*.max_priority", 0, kMaxPriority, "", "",
                     "Priority limit of this team; replaces `limits.max_priority`."),
          Required(TypedKey("operators.*.token_digest", ValueKind::kDigest, 0, 0, "",
                            "SHA-1 digest of a token that authorizes changes of every subtree.")),
      });
}

/// \returns the keys of one service in a team document.
std::vector<KeySpec> ServiceKeys() {
  return {
      TypedKey("services.*.like", ValueKind::kName, 0, 0, "",
               "Another service of this team; keys omitted here take their values from it."),
      WithRootKeys(IntegerKey("services.*.count", 0, kMaxTasks, "instances", "1",
                              "Number of instances to run."),
                   "", "limits.tasks_per_job"),
      IntegerKey("services.*.cpu_millis", 1, kMaxCpuMillis, "thousandths of a core", "1000",
                 "CPU of each instance."),
      IntegerKey("services.*.memory_mib", 1, kMaxMemoryMib, "MiB", "1024",
                 "Memory of each instance."),
      IntegerKey("services.*.accelerators", 0, kMaxAccelerators, "devices", "0",
                 "Accelerators of each instance."),
      WithRootKeys(IntegerKey("services.*.priority", 0, kMaxPriority, "", "",
                              "Priority of the instances; at most the team's max_priority."),
                   "defaults.max_priority", ""),
      WithRootKeys(IntegerKey("services.*.max_attempts", 1, kMaxAttempts, "attempts", "",
                              "Maximum attempts for each instance before it is abandoned."),
                   "defaults.max_attempts", "limits.max_attempts"),
      IntegerKey("services.*.max_per_rack", 0, kMaxTasks, "instances", "0",
                 "Maximum number of instances in one rack; 0 means no limit."),
      TypedKey("services.*.only_in_racks", ValueKind::kNameList, 0, kMaxListedNames, "",
               "Racks in which the instances may run; empty allows every rack."),
      TypedKey("services.*.work_class", ValueKind::kName, 0, 0, "",
               "Interference class; the service's name if omitted."),
  };
}

std::vector<KeySpec> MakeTeamKeys() {
  std::vector<KeySpec> keys = {
      WithRootKeys(IntegerKey("quota.cpu_millis", 0, kMaxCpuMillis, "thousandths of a core", "",
                              "Maximum CPU committed to the team's work."),
                   "defaults.quota.cpu_millis", "limits.quota.cpu_millis"),
      WithRootKeys(IntegerKey("quota.memory_mib", 0, kMaxMemoryMib, "MiB", "",
                              "Maximum memory committed to the team's work."),
                   "defaults.quota.memory_mib", "limits.quota.memory_mib"),
      WithRootKeys(IntegerKey("quota.accelerators", 0, kMaxAccelerators, "devices", "",
                              "Maximum number of accelerators committed to the team's work."),
                   "defaults.quota.accelerators", "limits.quota.accelerators"),
      WithRootKeys(IntegerKey("max_priority", 0, kMaxPriority, "", "",
                              "Highest priority of the team's work; work with a priority of 900 or "
                              "more is urgent."),
                   "defaults.max_priority", "limits.max_priority"),
      WithRootKeys(IntegerKey("max_attempts", 1, kMaxAttempts, "attempts", "",
                              "Maximum attempts that a job of the team may request for each task."),
                   "defaults.max_attempts", "limits.max_attempts"),
      TypedKey("placement.only_in_racks", ValueKind::kNameList, 0, kMaxListedNames, "",
               "Racks in which the team's work may run; empty allows every rack."),
      TypedKey("placement.max_per_rack", ValueKind::kInteger, 0, kMaxTasks, "0",
               "Maximum number of tasks in one rack for a job that sets no max_per_rack; 0 means "
               "no limit."),
      Required(TypedKey("operators.*.token_digest", ValueKind::kDigest, 0, 0, "",
                        "SHA-1 digest of a token that authorizes changes of this subtree.")),
  };
  const std::vector<KeySpec> services = ServiceKeys();
  keys.insert(keys.end(), services.begin(), services.end());
  return InDocument(DocumentKind::kTeam, keys);
}

std::vector<KeySpec> MakeJobKeys() {
  return InDocument(
      DocumentKind::kJob,
      {
          Required(
              TypedKey("job", ValueKind::kName, 0, 0, "",
                       "Unique name of the job; submitting the same name again has no effect.")),
          Required(TypedKey("team", ValueKind::kName, 0, 0, "", "Team whose quota the job uses.")),
          TypedKey("kind", ValueKind::kText, 1, 16, "batch",
                   "`batch` runs to completion, `service` answers requests of callers."),
          TypedKey("service", ValueKind::kName, 0, 0, "",
                   "Name that callers request; for kind `service` only."),
          TypedKey("work_class", ValueKind::kName, 0, 0, "",
                   "Interference class; the name of the service or job if omitted."),
          IntegerKey("priority", 0, kMaxPriority, "", "100",
                     "Priority of the tasks; work with a priority of 900 or more is urgent."),
          IntegerKey("count", 1, kMaxTasks, "tasks", "1",
                     "Number of identical tasks or instances."),
          IntegerKey("cpu_millis", 1, kMaxCpuMillis, "thousandths of a core", "1000",
                     "CPU of each task."),
          IntegerKey("memory_mib", 1, kMaxMemoryMib, "MiB", "1024", "Memory of each task."),
          IntegerKey("accelerators", 0, kMaxAccelerators, "devices", "0",
                     "Accelerators of each task."),
          TypedKey("expected_run", ValueKind::kDuration, 0, 30 * kDayMillis, "60s",
                   "Expected run time of a task."),
          IntegerKey("max_attempts", 1, kMaxAttempts, "attempts", "5",
                     "Maximum attempts for each task, on different targets."),
          IntegerKey("max_per_rack", 0, kMaxTasks, "tasks", "0",
                     "Maximum number of tasks in one rack; 0 means no limit."),
          TypedKey("only_in_racks", ValueKind::kNameList, 0, kMaxListedNames, "",
                   "Racks in which the tasks may run; empty allows every rack."),
      });
}

const std::vector<KeySpec>& RootKeys() {
  static const std::vector<KeySpec> kKeys = MakeRootKeys();
  return kKeys;
}

const std::vector<KeySpec>& TeamKeys() {
  static const std::vector<KeySpec> kKeys = MakeTeamKeys();
  return kKeys;
}

const std::vector<KeySpec>& JobKeys() {
  static const std::vector<KeySpec> kKeys = MakeJobKeys();
  return kKeys;
}

}  // namespace pistachio::internal
