#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "pistachio/process/tasks/internal/queue_records.h"
#include "pistachio/process/tasks/types.h"

namespace pistachio::internal {

/// \brief Where a task is, as the job queue knows it. The values stand in snapshots.
enum class QueueStage : std::uint32_t {
  kWaiting = 0,
  kAssigned = 1,  ///< belongs to a rack until that attempt's end is on record here
  kFinished = 2,
  kFailed = 3,
  kCancelled = 4,
};

/// \brief One task of a job.
struct QueueTask {
  QueueStage stage = QueueStage::kWaiting;
  AttemptNumber attempt = 0;  ///< of the newest assignment; 0 before the first
  RackId rack;
  std::uint64_t serial = 0;  ///< number of the record of the newest assignment
  std::string checkpoint;
  std::vector<TargetId> avoid_targets;
  std::uint32_t failures = 0;
  std::uint32_t losses = 0;
  std::uint32_t returns = 0;  ///< in a row
  TimePoint next_send{};
  TimePoint wait_until{};  ///< before the next attempt
};

/// \brief A job and its tasks; the tasks go once all have ended.
struct QueueJob {
  JobSpec spec;
  std::uint32_t number = 0;
  std::uint64_t record = 0;           ///< answers wait for its commit
  std::uint64_t cancel_record = 0;    ///< withdrawals wait for its commit
  std::uint64_t last_end_record = 0;  ///< of any of its tasks
  bool cancelled = false;
  bool unplaceable = false;
  std::vector<QueueTask> tasks;
  std::deque<std::uint32_t> waiting;         ///< tasks that may be assigned now
  std::map<RackId, std::uint32_t> per_rack;  ///< tasks assigned
  std::uint32_t assigned = 0;
  std::uint32_t finished = 0;
  std::uint32_t failed = 0;
  std::uint32_t cancelled_tasks = 0;
  std::uint64_t evictions = 0;
  std::string reason;  ///< why tasks wait or cannot run
  TimePoint next_try{};
};

}  // namespace pistachio::internal
