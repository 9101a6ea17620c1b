#include <algorithm>
#include <utility>

#include "pistachio/process/ledger/ledger.h"

namespace pistachio {

namespace internal {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

}  // namespace

}  // namespace internal

void Ledger::RetryLater(const internal::LedgerOperation& again, TimePoint now) {
  this->operation = again;
  this->retry_at = now + internal::kRetryDelay;
}

void Ledger::OnReply(const internal::LedgerListing& listing, const StoreReply& reply,
                     TimePoint now) {
  if (reply.status != StoreStatus::kOk) {
    this->RetryLater(listing, now);
    return;
  }
  for (const StoreEntry& entry : reply.entries) {
    this->versions[entry.key] = entry.version;
  }
  const auto found = internal::ReadLedger(this->keys, reply.entries);
  if (!found) {
    this->phase = internal::LedgerPhase::kDamaged;
    this->Report(EventCode::kLedgerDamaged, {{"unit", this->unit.str()}, {"reason", "gap"}});
    return;
  }
  if (found->newest_epoch > this->epoch) {
    this->BecomeFenced();
    return;
  }
  this->OnListed(*found, now);
}

void Ledger::OnListed(const internal::LedgerContent& found, TimePoint now) {
  this->content = found;
  this->head = found.head;
  this->last_batch = found.last_batch;
  this->committed = found.head.through_sequence;
  this->batch_ends.clear();
  for (const auto& [number, batch] : found.batches) {
    this->committed = std::max(this->committed, batch.end_sequence() - 1);
    this->batch_ends[number] = batch.end_sequence() - 1;
  }
  this->WriteFence(now);
}

template <class Kind>
void Ledger::OnReply(const Kind& write, const StoreReply& reply, TimePoint now) {
  const std::string key = this->KeyOf(write);
  const StoreEntry current = CurrentEntry(reply);
  switch (reply.status) {
    case StoreStatus::kOk:
      this->OnWritten(write, VersionAfter(reply, this->versions[key]), now);
      return;
    case StoreStatus::kUnavailable:
      this->RetryLater(write, now);
      return;
    case StoreStatus::kUnknown:
      this->Report(EventCode::kLedgerWriteInDoubt, {{"unit", this->unit.str()}, {"key", key}});
      this->RetryLater(internal::ReadBack<Kind>{write}, now);
      return;
    case StoreStatus::kConflict:
      this->OnCurrent(write, current, now);
      return;
  }
}

template <class Kind>
void Ledger::OnReply(const internal::ReadBack<Kind>& read, const StoreReply& reply, TimePoint now) {
  if (reply.status != StoreStatus::kOk) {
    this->RetryLater(read, now);
    return;
  }
  this->OnCurrent(read.write, CurrentEntry(reply), now);
}

template <class Kind>
void Ledger::OnCurrent(const Kind& write, const StoreEntry& current, TimePoint now) {
  // The value holds the epoch and a number, so an equal value is this very write.
  if (current.exists() && current.value == write.value) {
    this->OnWritten(write, current.version, now);
    return;
  }
  if (current.version == this->versions[this->KeyOf(write)]) {
    this->Write(write, now);  // it has not landed: the same write again, which can land only once
    return;
  }
  this->OnOverwritten(write, current, now);
}

void Ledger::OnWritten(const internal::BatchWrite& write, std::uint64_t version,
                       TimePoint /*now*/) {
  this->versions[this->KeyOf(write)] = version;
  this->last_batch = write.batch.number;
  this->batch_ends[write.batch.number] = write.batch.end_sequence() - 1;
  this->committed = write.batch.end_sequence() - 1;
  this->in_flight_records = 0;
  if (write.batch.is_fence) {
    this->FinishRecovery();
    return;
  }
  this->actions.emplace_back(LedgerCommitted{this->committed});
}

void Ledger::FinishRecovery() {
  const internal::LedgerContent found = std::exchange(this->content, internal::LedgerContent{});
  LedgerRecovered recovered;
  recovered.epoch = this->epoch;
  recovered.snapshot = found.snapshot;
  for (const auto& [number, batch] : found.batches) {
    std::uint64_t sequence = batch.first_sequence;
    for (const std::string& record : batch.records) {
      // The snapshot may reach into a batch.
      if (sequence++ > found.head.through_sequence) {
        recovered.records.push_back(record);
      }
    }
  }
  recovered.next_sequence = this->committed + 1;
  this->stale_parts.assign(found.stale_parts.begin(), found.stale_parts.end());
  this->phase = internal::LedgerPhase::kOpen;
  this->Report(EventCode::kLedgerRecovered,
               {{"unit", this->unit.str()},
                {"epoch", std::to_string(this->epoch)},
                {"records", std::to_string(recovered.records.size())}});
  this->actions.emplace_back(std::move(recovered));
}

void Ledger::OnWritten(const internal::PartWrite& write, std::uint64_t version, TimePoint /*now*/) {
  this->versions[write.key] = version;
  this->parts.pop_front();
}

void Ledger::OnWritten(const internal::HeadWrite& write, std::uint64_t version, TimePoint /*now*/) {
  this->versions[this->keys.head()] = version;
  this->AdoptHead(write.head);
  this->Report(
      EventCode::kLedgerSnapshotWritten,
      {{"unit", this->unit.str()}, {"through", std::to_string(write.head.through_sequence)}});
}

void Ledger::AdoptHead(const internal::SnapshotHead& newest) {
  this->head = newest;
  this->head.inline_data.clear();
  this->next_head.reset();
  this->parts.clear();
  this->snapshot_wanted = false;
  this->batch_ends.erase(this->batch_ends.begin(),
                         this->batch_ends.upper_bound(newest.through_batch));
}

void Ledger::OnOverwritten(const internal::BatchWrite& write, const StoreEntry& current,
                           TimePoint now) {
  const auto other = internal::DecodeLedgerBatch(current.value);
  const bool older_won = other && other->epoch < this->epoch && write.batch.is_fence;
  if (!older_won) {
    this->BecomeFenced();
    return;
  }
  // The last owner's write came first and counts: read again and fence behind it.
  this->phase = internal::LedgerPhase::kReading;
  this->retry_at = now;
}

void Ledger::OnOverwritten(const internal::PartWrite& /*write*/, const StoreEntry& /*current*/,
                           TimePoint /*now*/) {
  // The key names this epoch, so only a later owner that tidies up can have touched it.
  this->BecomeFenced();
}

void Ledger::OnOverwritten(const internal::HeadWrite& write, const StoreEntry& current,
                           TimePoint now) {
  const auto other = internal::DecodeSnapshotHead(current.value);
  if (!other || other->epoch >= this->epoch) {
    this->BecomeFenced();
    return;
  }
  // A late snapshot of an earlier owner. It covers committed batches only.
  this->versions[this->keys.head()] = current.version;
  if (other->through_batch > write.head.through_batch) {
    this->AdoptHead(*other);
    return;
  }
  this->Write(write, now);
}

void Ledger::OnReply(const internal::PartDelete& /*sent*/, const StoreReply& /*reply*/,
                     TimePoint /*now*/) {
  // One that failed is tidied up by the next owner.
  this->stale_parts.pop_front();
}

void Ledger::BecomeFenced() {
  this->phase = internal::LedgerPhase::kFenced;
  this->operation.reset();
  this->Report(EventCode::kLedgerFenced,
               {{"unit", this->unit.str()}, {"epoch", std::to_string(this->epoch)}});
  this->actions.emplace_back(LedgerFenced{});
}

void Ledger::Answer(const internal::LedgerOperation& done, const StoreReply& reply, TimePoint now) {
  std::visit([&](const auto& typed) { this->OnReply(typed, reply, now); }, done);
}

}  // namespace pistachio
