#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/connection/store/calls.h"
#include "pistachio/process/runtime/ids.h"

namespace pistachio::internal {

/// \brief Content of one ring slot. Its epoch and number name the write, as an epoch has one owner.
struct LedgerBatch {
  std::uint64_t number = 0;  ///< from 1, without gaps
  Epoch epoch = 0;
  bool is_fence = false;             ///< the first write of an epoch; it carries no records
  std::uint64_t first_sequence = 1;  ///< of the first record, or of the next one if there is none
  std::vector<std::string> records;

  std::uint64_t end_sequence() const { return this->first_sequence + this->records.size(); }
};

/// \brief The snapshot's head: the snapshot itself, or how many parts hold it.
struct SnapshotHead {
  Epoch epoch = 0;
  std::uint64_t through_batch = 0;
  std::uint64_t through_sequence = 0;
  std::uint32_t set = 0;    ///< parts of a new snapshot go into the other set of the same epoch
  std::uint32_t parts = 0;  ///< 0 if the snapshot is in \a inline_data
  std::string inline_data;
};

/// \brief One part of a split snapshot.
struct SnapshotPart {
  Epoch epoch = 0;
  std::uint64_t through_batch = 0;
  std::string data;
};

/// \brief Keys of a unit's ledger.
struct LedgerKeys {
  std::string prefix;

  explicit LedgerKeys(const UnitId& unit) : prefix("ledger/" + unit.str() + "/") {}
  std::string head() const { return this->prefix + "head"; }
  std::string slot(std::uint64_t number, std::uint32_t slots) const;
  std::string part(Epoch epoch, std::uint32_t set, std::uint32_t index) const;
  bool IsSlot(const std::string& key) const;
  bool IsPart(const std::string& key) const;
};

/// \brief What one list call found in a ledger.
struct LedgerContent {
  SnapshotHead head;
  std::string snapshot;
  std::map<std::uint64_t, LedgerBatch> batches;  ///< those that the snapshot does not cover
  std::vector<std::string> stale_parts;          ///< keys of parts that the head does not name
  std::uint64_t last_batch = 0;
  Epoch newest_epoch = 0;
};

std::string Encode(const LedgerBatch& batch);
std::string Encode(const SnapshotHead& head);
std::string Encode(const SnapshotPart& part);
std::optional<LedgerBatch> DecodeLedgerBatch(const std::string& value);
std::optional<SnapshotHead> DecodeSnapshotHead(const std::string& value);
std::optional<SnapshotPart> DecodeSnapshotPart(const std::string& value);

/// \returns the ledger's content, or nothing if batches or parts are missing or malformed.
std::optional<LedgerContent> ReadLedger(const LedgerKeys& keys,
                                        const std::vector<StoreEntry>& entries);

}  // namespace pistachio::internal
