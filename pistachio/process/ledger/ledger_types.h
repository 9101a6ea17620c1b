#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/connection/store/calls.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/runtime/ids.h"

namespace pistachio {

/// \brief Bounds of a ledger.
struct LedgerLimits {
  std::uint32_t slots = 64;                               ///< delta keys in the ring
  Duration batch_interval = std::chrono::seconds(1);      ///< least time between commits
  Duration store_timeout = std::chrono::seconds(2);       ///< for one call
  std::size_t max_batch_bytes = std::size_t{256} * 1024;  ///< a single larger record goes alone
  std::size_t max_part_bytes = std::size_t{512} * 1024;   ///< of a snapshot that is split
};

/// \brief Start: read the ledger and write a fence under \a epoch.
struct LedgerOpened {
  Epoch epoch = 0;
};
/// \brief Records to be committed, in order; \a urgent ones do not wait for the batch interval.
/// \pre after LedgerRecovered, with sequences that rise by one from its next_sequence
struct RecordAppended {
  std::uint64_t sequence = 0;
  std::string record;
  bool urgent = false;
};
/// \brief The snapshot that was asked for; it stands for every record up to \a through.
struct SnapshotTaken {
  std::uint64_t through = 0;
  std::string snapshot;
};
/// \brief The reply to a store call of this ledger.
struct LedgerStoreAnswered {
  std::uint64_t call = 0;
  StoreReply reply;
};
struct LedgerTick {};

using LedgerEvent =
    std::variant<LedgerOpened, RecordAppended, SnapshotTaken, LedgerStoreAnswered, LedgerTick>;

/// \brief Call the store; the reply comes back under the same number.
struct CallStore {
  std::uint64_t call_id = 0;
  StoreRole role = StoreRole::kLedger;
  StoreCall call;
};
/// \brief The ledger's content, read under the fence of this epoch. The next record has number
/// \a next_sequence.
struct LedgerRecovered {
  Epoch epoch = 0;
  std::string snapshot;
  std::vector<std::string> records;
  std::uint64_t next_sequence = 1;
};
/// \brief Every record up to \a through is committed.
struct LedgerCommitted {
  std::uint64_t through = 0;
};
/// \brief A newer epoch has written: this owner must not act on the unit any more.
struct LedgerFenced {};
/// \brief The ring is getting full: answer with SnapshotTaken, of the state after any record that
/// was appended; it is written once those records are committed.
struct SnapshotWanted {};
/// \brief Log an event.
struct LedgerReport {
  EventRecord event;
};

using LedgerAction = std::variant<CallStore, LedgerRecovered, LedgerCommitted, LedgerFenced,
                                  SnapshotWanted, LedgerReport>;

}  // namespace pistachio
