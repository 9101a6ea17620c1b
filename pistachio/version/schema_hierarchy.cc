#include "pistachio/version/schema.h"

namespace pistachio::internal {

constexpr std::int64_t kMaxCpuMillis = 100'000'000;
constexpr std::int64_t kMaxMemoryMib = 1'000'000'000;
constexpr std::int64_t kMaxAccelerators = 100'000;
constexpr std::int64_t kMaxPriority = 1000;
constexpr std::int64_t kMaxAttempts = 100;
constexpr std::int64_t kMaxTasks = 1'000'000;
constexpr std::int64_t kMaxServices = 1000;
constexpr std::int64_t kMaxNames = 500;
constexpr std::int64_t kDayMillis = 24LL * 3600 * 1000;

KeySpec NumberKey(const char* path, std::int64_t min, std::int64_t max, const char* unit,
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

KeySpec OtherKey(const char* path, ValueKind kind, std::int64_t min, std::int64_t max,
                 const char* default_value, const char* description) {
  KeySpec spec = NumberKey(path, min, max, "", default_value, description);
  spec.kind = kind;
  return spec;
}

KeySpec Inheriting(KeySpec spec, const char* inherits, const char* limited_by) {
  spec.inherits = inherits;
  spec.limited_by = limited_by;
  return spec;
}

KeySpec Required(KeySpec spec) {
  spec.required = true;
  return spec;
}

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
          NumberKey("limits.quota.cpu_millis", 0, kMaxCpuMillis, "thousandths of a core", "1000000",
                    "Most processor time that one team's quota may grant."),
          NumberKey("limits.quota.memory_mib", 0, kMaxMemoryMib, "MiB", "4000000",
                    "Most memory that one team's quota may grant."),
          NumberKey("limits.quota.accelerators", 0, kMaxAccelerators, "devices", "100",
                    "Most accelerators that one team's quota may grant."),
          NumberKey("limits.max_priority", 0, kMaxPriority, "", "1000",
                    "Highest priority that a team may allow itself; from 900 work is urgent."),
          NumberKey("limits.max_attempts", 1, kMaxAttempts, "attempts", "20",
                    "Most attempts that a job may ask for each task."),
          NumberKey("limits.tasks_per_job", 1, kMaxTasks, "tasks", "20000",
                    "Most tasks or instances of one job."),
          NumberKey("limits.services", 0, kMaxServices, "services", "100",
                    "Most services of one team."),
          OtherKey("limits.expected_run", ValueKind::kDuration, 1000, 30 * kDayMillis, "168h",
                   "Longest run time that a batch task may declare."),
          NumberKey("defaults.quota.cpu_millis", 0, kMaxCpuMillis, "thousandths of a core",
                    "100000", "Quota of a team that names none."),
          NumberKey("defaults.quota.memory_mib", 0, kMaxMemoryMib, "MiB", "400000",
                    "Quota of a team that names none."),
          NumberKey("defaults.quota.accelerators", 0, kMaxAccelerators, "devices", "0",
                    "Quota of a team that names none."),
          NumberKey("defaults.max_priority", 0, kMaxPriority, "", "500",
                    "Highest priority of a team that names none."),
          NumberKey("defaults.max_attempts", 1, kMaxAttempts, "attempts", "5",
                    "Attempts for each task where a team names none."),
          OtherKey("policy.tail_latency", ValueKind::kNumber, 0, 1000, "10",
                   "Weight of the tail latency of services."),
          OtherKey("policy.batch_throughput", ValueKind::kNumber, 0, 1000, "1",
                   "Weight of the progress of batch work."),
          OtherKey("policy.evictions", ValueKind::kNumber, 0, 1000, "5",
                   "Weight of an eviction avoided."),
          OtherKey("requests.max_deadline", ValueKind::kDuration, 10, kDayMillis, "60s",
                   "Longest deadline that a request may ask for."),
          NumberKey("requests.max_body_bytes", 1024, 67'108'864, "bytes", "1048576",
                    "Largest request or answer body."),
          OtherKey("requests.retry_share", ValueKind::kNumber, 0, 1, "0.2",
                   "Retries and hedges of a service over its first attempts, at most."),
          NumberKey("teams.*.quota.cpu_millis", 0, kMaxCpuMillis, "thousandths of a core", "",
                    "Limit for this team in place of `limits.quota`."),
          NumberKey("teams.*.quota.memory_mib", 0, kMaxMemoryMib, "MiB", "",
                    "Limit for this team in place of `limits.quota`."),
          NumberKey("teams.*.quota.accelerators", 0, kMaxAccelerators, "devices", "",
                    "Limit for this team in place of `limits.quota`."),
          NumberKey("teams.*.max_priority", 0, kMaxPriority, "", "",
                    "Limit for this team in place of `limits.max_priority`."),
          Required(OtherKey("operators.*.token_digest", ValueKind::kDigest, 0, 0, "",
                            "SHA-1 of a token whose holder may change every subtree.")),
      });
}

std::vector<KeySpec> ServiceKeys() {
  return {
      OtherKey("services.*.like", ValueKind::kName, 0, 0, "",
               "Another service of this team, whose keys fill in those left out here."),
      Inheriting(NumberKey("services.*.count", 0, kMaxTasks, "instances", "1",
                           "Instances that shall run."),
                 "", "limits.tasks_per_job"),
      NumberKey("services.*.cpu_millis", 1, kMaxCpuMillis, "thousandths of a core", "1000",
                "Processor time of each instance."),
      NumberKey("services.*.memory_mib", 1, kMaxMemoryMib, "MiB", "1024",
                "Memory of each instance."),
      NumberKey("services.*.accelerators", 0, kMaxAccelerators, "devices", "0",
                "Accelerators of each instance."),
      Inheriting(NumberKey("services.*.priority", 0, kMaxPriority, "", "",
                           "Priority of the instances; at most the team's max_priority."),
                 "defaults.max_priority", ""),
      Inheriting(NumberKey("services.*.max_attempts", 1, kMaxAttempts, "attempts", "",
                           "Attempts for each instance before it is given up."),
                 "defaults.max_attempts", "limits.max_attempts"),
      NumberKey("services.*.max_per_rack", 0, kMaxTasks, "instances", "0",
                "Instances in one rack, at most; 0 is no bound."),
      OtherKey("services.*.only_in_racks", ValueKind::kNameList, 0, kMaxNames, "",
               "Racks that the instances may run in; empty is any."),
      OtherKey("services.*.work_class", ValueKind::kName, 0, 0, "",
               "Interference class; the service's own name if left out."),
  };
}

std::vector<KeySpec> MakeTeamKeys() {
  std::vector<KeySpec> keys = {
      Inheriting(NumberKey("quota.cpu_millis", 0, kMaxCpuMillis, "thousandths of a core", "",
                           "Processor time that the team's work may have committed."),
                 "defaults.quota.cpu_millis", "limits.quota.cpu_millis"),
      Inheriting(NumberKey("quota.memory_mib", 0, kMaxMemoryMib, "MiB", "",
                           "Memory that the team's work may have committed."),
                 "defaults.quota.memory_mib", "limits.quota.memory_mib"),
      Inheriting(NumberKey("quota.accelerators", 0, kMaxAccelerators, "devices", "",
                           "Accelerators that the team's work may have committed."),
                 "defaults.quota.accelerators", "limits.quota.accelerators"),
      Inheriting(NumberKey("max_priority", 0, kMaxPriority, "", "",
                           "Highest priority of the team's work; from 900 work is urgent."),
                 "defaults.max_priority", "limits.max_priority"),
      Inheriting(NumberKey("max_attempts", 1, kMaxAttempts, "attempts", "",
                           "Attempts that a job of the team may ask for each task."),
                 "defaults.max_attempts", "limits.max_attempts"),
      OtherKey("placement.only_in_racks", ValueKind::kNameList, 0, kMaxNames, "",
               "Racks that all work of the team may run in; empty is any."),
      OtherKey("placement.max_per_rack", ValueKind::kInteger, 0, kMaxTasks, "0",
               "Tasks of one job in one rack where the job names no bound; 0 is no bound."),
      Required(OtherKey("operators.*.token_digest", ValueKind::kDigest, 0, 0, "",
                        "SHA-1 of a token whose holder may change this subtree.")),
  };
  const std::vector<KeySpec> services = ServiceKeys();
  keys.insert(keys.end(), services.begin(), services.end());
  return InDocument(DocumentKind::kTeam, keys);
}

std::vector<KeySpec> MakeJobKeys() {
  return InDocument(
      DocumentKind::kJob,
      {
          Required(OtherKey("job", ValueKind::kName, 0, 0, "",
                            "Name of the job, unique; submitting it again changes nothing.")),
          Required(OtherKey("team", ValueKind::kName, 0, 0, "", "Team whose quota it counts on.")),
          OtherKey("kind", ValueKind::kText, 1, 16, "batch",
                   "`batch` runs to its end, `service` answers callers."),
          OtherKey("service", ValueKind::kName, 0, 0, "", "What callers ask for; services only."),
          OtherKey("work_class", ValueKind::kName, 0, 0, "",
                   "Interference class; the service's or the job's name if left out."),
          NumberKey("priority", 0, kMaxPriority, "", "100", "From 900 work is urgent."),
          NumberKey("count", 1, kMaxTasks, "tasks", "1", "Equal tasks, or instances."),
          NumberKey("cpu_millis", 1, kMaxCpuMillis, "thousandths of a core", "1000",
                    "Processor time of each task."),
          NumberKey("memory_mib", 1, kMaxMemoryMib, "MiB", "1024", "Memory of each task."),
          NumberKey("accelerators", 0, kMaxAccelerators, "devices", "0",
                    "Accelerators of each task."),
          OtherKey("expected_run", ValueKind::kDuration, 0, 30 * kDayMillis, "60s",
                   "How long a task is likely to run."),
          NumberKey("max_attempts", 1, kMaxAttempts, "attempts", "5",
                    "Attempts for each task, on different targets."),
          NumberKey("max_per_rack", 0, kMaxTasks, "tasks", "0",
                    "Tasks in one rack, at most; 0 is no bound."),
          OtherKey("only_in_racks", ValueKind::kNameList, 0, kMaxNames, "",
                   "Racks that the tasks may run in; empty is any."),
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
