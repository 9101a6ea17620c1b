#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/tasks/types.h"

namespace pistachio::internal {

/// \brief A job was accepted; later records name it by \a number.
struct QueueJobRecord {
  std::uint32_t number = 0;
  JobSpec spec;
  std::uint64_t evictions = 0;  ///< so far, in snapshots
};

/// \brief A task's next attempt goes to a rack.
struct QueueAssignRecord {
  std::uint32_t job = 0;
  std::uint32_t index = 0;
  RackId rack;
  std::uint64_t serial = 0;
};

/// \brief The attempt that was with a rack has ended.
struct QueueEndRecord {
  std::uint32_t job = 0;
  std::uint32_t index = 0;
  AttemptOutcome outcome = AttemptOutcome::kFinished;
  TargetId target;  ///< where it failed or was lost
  std::string checkpoint;
};

/// \brief A job was cancelled.
struct QueueCancelRecord {
  std::uint32_t job = 0;
};

/// \brief State of one task, in snapshots.
struct QueueTaskRecord {
  std::uint32_t job = 0;
  std::uint32_t index = 0;
  std::uint32_t stage = 0;
  AttemptNumber attempt = 0;
  RackId rack;
  std::uint64_t serial = 0;
  std::string checkpoint;
  std::uint32_t failures = 0;
  std::uint32_t losses = 0;
  std::vector<TargetId> avoid_targets;
};

/// \brief What is kept of a job whose tasks have all ended, in snapshots.
struct QueueDoneRecord {
  JobSpec spec;
  std::uint32_t finished = 0;
  std::uint32_t failed = 0;
  std::uint32_t cancelled = 0;
  std::uint64_t evictions = 0;
};

/// \brief Any record of a job queue's ledger.
using QueueRecord = std::variant<QueueJobRecord, QueueAssignRecord, QueueEndRecord,
                                 QueueCancelRecord, QueueTaskRecord, QueueDoneRecord>;

/// \returns the record as one version byte and a CBOR array.
std::string EncodeQueueRecord(const QueueRecord& record);

/// \returns the record, or nothing; then \a reason tells why.
std::optional<QueueRecord> DecodeQueueRecord(const std::string& bytes, std::string& reason);

/// \returns a snapshot that holds \a records in order.
std::string EncodeQueueSnapshot(const std::vector<QueueRecord>& records);

/// \returns the snapshot's records, or nothing; then \a reason tells why. Empty bytes hold none.
std::optional<std::vector<QueueRecord>> DecodeQueueSnapshot(const std::string& bytes,
                                                            std::string& reason);

}  // namespace pistachio::internal
