#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/ledger/ledger_records.h"
#include "pistachio/process/ledger/ledger_types.h"

namespace pistachio {

namespace internal {

struct LedgerListing {};
/// \brief A write of one ring slot: a batch, or the fence of a new epoch.
struct BatchWrite {
  LedgerBatch batch;
  std::string value;
};
struct PartWrite {
  std::string key;
  std::string value;
};
struct HeadWrite {
  SnapshotHead head;
  std::string value;
};
struct PartDelete {
  std::string key;
};
/// \brief Reads back the key of a write whose answer was lost.
template <class Kind>
struct ReadBack {
  Kind write;
};

/// \brief The one operation that a ledger has under way.
using LedgerOperation =
    std::variant<LedgerListing, BatchWrite, PartWrite, HeadWrite, PartDelete, ReadBack<BatchWrite>,
                 ReadBack<PartWrite>, ReadBack<HeadWrite>>;

enum class LedgerPhase { kClosed, kReading, kFencing, kOpen, kFenced, kDamaged };

struct PendingRecord {
  std::uint64_t sequence = 0;
  std::string record;
  bool urgent = false;
};

}  // namespace internal

/// \brief A unit's durable log: a ring of delta keys and a snapshot in the key-value service.
///
/// One compare-and-swap is in flight at a time; what arrives meanwhile goes into the next batch.
/// Each batch is one write to the ring slot after the last one, expecting the version that the
/// owner knows; so a stale owner's write fails once a newer one has written its fence there. A slot
/// is written again only when the snapshot covers its batch. Pure.
///
/// \pre no two ledgers of one unit are ever opened under the same epoch.
class Ledger {
 public:
  Ledger(UnitId unit, const LedgerLimits& limits);

  std::vector<LedgerAction> Handle(const LedgerEvent& event, TimePoint now);

  /// \returns how many records wait for their commit.
  std::size_t pending() const { return this->in_flight_records + this->waiting.size(); }

 private:
  // Events (ledger.cc).
  void On(const LedgerOpened& opened, TimePoint now);
  void On(const RecordAppended& appended, TimePoint now);
  void On(const SnapshotTaken& taken, TimePoint now);
  void On(const LedgerStoreAnswered& answered, TimePoint now);
  void On(const LedgerTick& tick, TimePoint now);

  // Replies (ledger_replies.cc).
  void OnReply(const internal::LedgerListing& listing, const StoreReply& reply, TimePoint now);
  void OnReply(const internal::PartDelete& sent, const StoreReply& reply, TimePoint now);
  template <class Kind>
  void OnReply(const Kind& write, const StoreReply& reply, TimePoint now);
  template <class Kind>
  void OnReply(const internal::ReadBack<Kind>& read, const StoreReply& reply, TimePoint now);
  void OnListed(const internal::LedgerContent& content, TimePoint now);
  void OnWritten(const internal::BatchWrite& write, std::uint64_t version, TimePoint now);
  void OnWritten(const internal::PartWrite& write, std::uint64_t version, TimePoint now);
  void OnWritten(const internal::HeadWrite& write, std::uint64_t version, TimePoint now);
  void OnOverwritten(const internal::BatchWrite& write, const StoreEntry& current, TimePoint now);
  void OnOverwritten(const internal::PartWrite& write, const StoreEntry& current, TimePoint now);
  void OnOverwritten(const internal::HeadWrite& write, const StoreEntry& current, TimePoint now);
  template <class Kind>
  void OnCurrent(const Kind& write, const StoreEntry& current, TimePoint now);
  void Answer(const internal::LedgerOperation& done, const StoreReply& reply, TimePoint now);
  void RetryLater(const internal::LedgerOperation& again, TimePoint now);
  void AdoptHead(const internal::SnapshotHead& newest);
  void FinishRecovery();
  void BecomeFenced();

  // Next operation, if none is under way (ledger.cc).
  void Proceed(TimePoint now);
  void Repeat(const internal::LedgerListing& listing, TimePoint now);
  void Repeat(const internal::PartDelete& sent, TimePoint now);
  template <class Kind>
  void Repeat(const Kind& write, TimePoint now);
  template <class Kind>
  void Repeat(const internal::ReadBack<Kind>& read, TimePoint now);
  void WriteFence(TimePoint now);
  bool CommitNext(TimePoint now);
  bool SnapshotNext(TimePoint now);
  bool DeleteNext(TimePoint now);
  void WantSnapshot();
  void PrepareParts();
  std::uint64_t BatchCoveredBy(std::uint64_t sequence) const;
  bool HasRoom(std::uint64_t batches) const;

  std::string KeyOf(const internal::BatchWrite& write) const;
  std::string KeyOf(const internal::PartWrite& write) const { return write.key; }
  std::string KeyOf(const internal::HeadWrite& write) const;
  template <class Kind>
  void Write(const Kind& write, TimePoint now);
  void Start(const StoreCall& call, const internal::LedgerOperation& operation, TimePoint now);
  void Report(EventCode code, std::vector<std::pair<std::string, std::string>> fields);

  UnitId unit;
  LedgerLimits limits;
  internal::LedgerKeys keys;
  internal::LedgerPhase phase = internal::LedgerPhase::kClosed;
  Epoch epoch = 0;

  std::uint64_t last_call = 0;
  std::optional<internal::LedgerOperation> operation;  // under way, or to be tried again
  bool waiting_for_reply = false;
  TimePoint expires;
  TimePoint retry_at;

  std::map<std::string, std::uint64_t> versions;  // of every key that was read or written
  internal::LedgerContent content;                // as read, until recovery has finished
  internal::SnapshotHead head;
  std::uint64_t last_batch = 0;
  std::uint64_t committed = 0;                        // sequence
  std::map<std::uint64_t, std::uint64_t> batch_ends;  // last sequence of batches in the ring
  std::deque<internal::PendingRecord> waiting;
  std::size_t in_flight_records = 0;
  TimePoint next_commit;

  bool snapshot_wanted = false;
  std::optional<SnapshotTaken> snapshot;
  std::deque<internal::PartWrite> parts;  // still to be written before the head
  std::optional<internal::SnapshotHead> next_head;
  std::deque<std::string> stale_parts;
  std::vector<LedgerAction> actions;
};

}  // namespace pistachio
