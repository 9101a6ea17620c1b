#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/process/runtime/resources.h"

namespace pistachio {

/// \brief Interference class of a task. Tasks of one class slow down the tasks beside them equally.
using WorkClass = NamedId<struct WorkClassTag>;

/// \brief Kind of a job.
enum class WorkKind {
  kService,  ///< answers requests of callers
  kBatch     ///< runs to completion
};

/// \brief Weights of the scheduling policy, set by the operators. A larger weight counts for more.
struct PolicyWeights {
  double tail_latency = 10.0;     ///< cost if all answers of one service instance are late
  double batch_throughput = 1.0;  ///< cost of one batch task making no progress
  double eviction = 5.0;          ///< predicted cost at which one eviction is worthwhile
};

/// \brief Specification of a job: a number of identical tasks, submitted by an operator or derived
/// from a service in a team document.
struct JobSpec {
  JobId job;    ///< unique id of the job
  TeamId team;  ///< team whose quota the job uses
  WorkKind kind = WorkKind::kBatch;
  ServiceId service;                  ///< name that callers request; empty for batch jobs
  WorkClass work_class;               ///< the name of the service or job if the document omits it
  std::int32_t priority = 0;          ///< 0 to 1000; larger is more important
  std::uint32_t count = 1;            ///< number of tasks of a batch job or instances of a service
  Resources task_resources;           ///< declared resources of each task
  Duration expected_run{0};           ///< declared run time of a batch task; often inaccurate
  std::uint32_t max_attempts = 5;     ///< attempts for each task
  std::uint32_t max_per_rack = 0;     ///< maximum tasks of this job in one rack; 0 means no limit
  std::vector<RackId> only_in_racks;  ///< racks allowed for the tasks; empty allows every rack
};

}  // namespace pistachio
