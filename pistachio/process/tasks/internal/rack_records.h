#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/tasks/types.h"

namespace pistachio::internal {

/// \brief A job's first task came to the rack; later records name the job by \a number.
struct RackJobRecord {
  std::uint32_t number = 0;
  JobSpec spec;
};

/// \brief An attempt is about to be started on a target.
struct RackIntentRecord {
  std::uint32_t job = 0;
  std::uint32_t index = 0;
  AttemptNumber attempt = 1;
  std::uint64_t serial = 0;
  UnitId queue;
  TargetId target;
  std::string checkpoint;
};

/// \brief An attempt has ended, or must never start.
///
/// With a job number, the rest is as in the attempt's intent and stays empty here.
struct RackEndRecord {
  std::uint32_t job = 0;  ///< number of the job; 0 if the rack never knew it
  TaskId task;            ///< its job's name is empty if there is a number
  AttemptNumber attempt = 1;
  std::uint64_t serial = 0;
  UnitId queue;
  AttemptOutcome outcome = AttemptOutcome::kFinished;
  std::string checkpoint;
  TargetId target;
  std::string reason;
};

/// \brief A queue's assignments below a serial are never new.
struct RackFloorRecord {
  UnitId queue;
  std::uint64_t settled_below = 0;
};

/// \brief Any record of a rack's ledger.
using RackRecord = std::variant<RackJobRecord, RackIntentRecord, RackEndRecord, RackFloorRecord>;

/// \returns the record as one version byte and a CBOR array.
std::string EncodeRackRecord(const RackRecord& record);

/// \returns the record, or nothing; then \a reason tells why.
std::optional<RackRecord> DecodeRackRecord(const std::string& bytes, std::string& reason);

/// \returns a snapshot that holds \a records in order.
std::string EncodeRackSnapshot(const std::vector<RackRecord>& records);

/// \returns the snapshot's records, or nothing; then \a reason tells why. Empty bytes hold none.
std::optional<std::vector<RackRecord>> DecodeRackSnapshot(const std::string& bytes,
                                                          std::string& reason);

}  // namespace pistachio::internal
