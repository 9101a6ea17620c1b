#include "pistachio/process/ledger/ledger.h"

#include <algorithm>
#include <utility>

namespace pistachio {

namespace internal {

namespace {

// Share of the ring that only fences use, so that owners which die young cannot fill it.
constexpr std::uint32_t kFenceShare = 4;
// Room in a value for the fields around a snapshot or a record.
constexpr std::size_t kEncodingBytes = 1024;

}  // namespace

}  // namespace internal

Ledger::Ledger(UnitId unit, const LedgerLimits& limits)
    : unit(std::move(unit)), limits(limits), keys(this->unit) {}

std::vector<LedgerAction> Ledger::Handle(const LedgerEvent& event, TimePoint now) {
  this->actions.clear();
  std::visit([&](const auto& typed) { this->On(typed, now); }, event);
  this->Proceed(now);
  return std::exchange(this->actions, {});
}

void Ledger::On(const LedgerOpened& opened, TimePoint now) {
  const std::uint64_t call = this->last_call;  // answers to earlier calls stay unknown
  *this = Ledger(this->unit, this->limits);
  this->last_call = call;
  this->epoch = opened.epoch;
  this->phase = internal::LedgerPhase::kReading;
  this->retry_at = now;
}

void Ledger::On(const RecordAppended& appended, TimePoint /*now*/) {
  if (this->phase != internal::LedgerPhase::kOpen) {
    return;
  }
  if (appended.record.size() + internal::kEncodingBytes > kMaxStoreValueBytes) {
    this->Report(EventCode::kLedgerRecordTooLarge,
                 {{"unit", this->unit.str()}, {"bytes", std::to_string(appended.record.size())}});
  }
  this->waiting.push_back(
      internal::PendingRecord{appended.sequence, appended.record, appended.urgent});
}

void Ledger::On(const SnapshotTaken& taken, TimePoint /*now*/) {
  const bool expected = this->phase == internal::LedgerPhase::kOpen && !this->next_head;
  if (expected) {
    this->snapshot = taken;
  }
}

void Ledger::On(const LedgerStoreAnswered& answered, TimePoint now) {
  if (!this->waiting_for_reply || answered.call != this->last_call) {
    return;
  }
  this->waiting_for_reply = false;
  const internal::LedgerOperation done = *std::exchange(this->operation, std::nullopt);
  this->Answer(done, answered.reply, now);
}

void Ledger::On(const LedgerTick& /*tick*/, TimePoint now) {
  if (this->waiting_for_reply && now >= this->expires) {
    this->On(LedgerStoreAnswered{this->last_call, StoreReply{}}, now);
  }
}

void Ledger::Start(const StoreCall& call, const internal::LedgerOperation& started, TimePoint now) {
  this->operation = started;
  this->waiting_for_reply = true;
  this->expires = now + this->limits.store_timeout;
  this->retry_at = now;
  this->actions.emplace_back(CallStore{++this->last_call, StoreRole::kLedger, call});
}

template <class Kind>
void Ledger::Write(const Kind& write, TimePoint now) {
  const std::string key = this->KeyOf(write);
  this->Start(CompareAndSwapCall{key, this->versions[key], write.value}, write, now);
}

void Ledger::Proceed(TimePoint now) {
  if (this->waiting_for_reply || now < this->retry_at) {
    return;
  }
  if (this->operation) {
    const internal::LedgerOperation again = *this->operation;
    std::visit([&](const auto& typed) { this->Repeat(typed, now); }, again);
    return;
  }
  if (this->phase == internal::LedgerPhase::kReading) {
    this->Repeat(internal::LedgerListing{}, now);
    return;
  }
  if (this->phase != internal::LedgerPhase::kOpen) {
    return;
  }
  this->WantSnapshot();
  // The snapshot goes first, or a steady stream of batches would fill the ring.
  if (!this->SnapshotNext(now) && !this->CommitNext(now)) {
    this->DeleteNext(now);
  }
}

void Ledger::Repeat(const internal::LedgerListing& listing, TimePoint now) {
  this->Start(ListCall{this->keys.prefix}, listing, now);
}

void Ledger::Repeat(const internal::PartDelete& sent, TimePoint now) {
  this->Start(DeleteCall{sent.key, this->versions[sent.key]}, sent, now);
}

template <class Kind>
void Ledger::Repeat(const Kind& write, TimePoint now) {
  this->Write(write, now);
}

template <class Kind>
void Ledger::Repeat(const internal::ReadBack<Kind>& read, TimePoint now) {
  this->Start(GetCall{this->KeyOf(read.write)}, read, now);
}

void Ledger::WriteFence(TimePoint now) {
  this->phase = internal::LedgerPhase::kFencing;
  // One more slot has to stay free for the batch that a snapshot may wait for.
  if (!this->HasRoom(2)) {
    this->phase = internal::LedgerPhase::kDamaged;
    this->Report(EventCode::kLedgerDamaged, {{"unit", this->unit.str()}, {"reason", "ring full"}});
    return;
  }
  internal::LedgerBatch fence;
  fence.number = this->last_batch + 1;
  fence.epoch = this->epoch;
  fence.is_fence = true;
  fence.first_sequence = this->committed + 1;
  this->Write(internal::BatchWrite{fence, internal::Encode(fence)}, now);
}

bool Ledger::HasRoom(std::uint64_t batches) const {
  return this->last_batch + batches <= this->head.through_batch + this->limits.slots;
}

bool Ledger::CommitNext(TimePoint now) {
  const bool urgent = std::any_of(this->waiting.begin(), this->waiting.end(),
                                  [](const auto& record) { return record.urgent; });
  // A snapshot that waits for these records may use the reserve: it is what frees the ring.
  const std::uint32_t reserved = this->snapshot ? 0 : this->limits.slots / internal::kFenceShare;
  const bool due = urgent || now >= this->next_commit;
  if (this->waiting.empty() || !due || !this->HasRoom(1 + reserved)) {
    return false;
  }
  internal::LedgerBatch batch;
  batch.number = this->last_batch + 1;
  batch.epoch = this->epoch;
  batch.first_sequence = this->waiting.front().sequence;
  // Into the last free slot goes whatever the snapshot waits for.
  const std::size_t most =
      this->HasRoom(2) ? this->limits.max_batch_bytes : kMaxStoreValueBytes / 2;
  std::size_t bytes = 0;
  while (!this->waiting.empty()) {
    bytes += this->waiting.front().record.size();
    if (!batch.records.empty() && bytes > most) {
      break;
    }
    batch.records.push_back(std::move(this->waiting.front().record));
    this->waiting.pop_front();
  }
  this->in_flight_records = batch.records.size();
  this->next_commit = now + this->limits.batch_interval;
  this->Write(internal::BatchWrite{batch, internal::Encode(batch)}, now);
  return true;
}

void Ledger::WantSnapshot() {
  const bool half_full = this->last_batch >= this->head.through_batch + this->limits.slots / 2;
  const bool under_way = this->snapshot_wanted || this->next_head;
  if (half_full && !under_way) {
    this->snapshot_wanted = true;
    this->actions.emplace_back(SnapshotWanted{});
  }
}

std::uint64_t Ledger::BatchCoveredBy(std::uint64_t sequence) const {
  std::uint64_t covered = this->head.through_batch;
  for (const auto& [number, end] : this->batch_ends) {
    if (end > sequence) {
      break;
    }
    covered = number;
  }
  return covered;
}

void Ledger::PrepareParts() {
  internal::SnapshotHead next;
  next.epoch = this->epoch;
  next.through_sequence = this->snapshot->through;
  next.through_batch = this->BatchCoveredBy(next.through_sequence);
  // Another epoch's parts have other keys, so a late write of its owner cannot hit these.
  next.set = 1 - this->head.set;
  const std::string data = std::exchange(this->snapshot, std::nullopt)->snapshot;
  if (data.size() <= this->limits.max_part_bytes) {
    next.inline_data = data;
  } else {
    for (std::size_t from = 0; from < data.size(); from += this->limits.max_part_bytes) {
      const internal::SnapshotPart part{this->epoch, next.through_batch,
                                        data.substr(from, this->limits.max_part_bytes)};
      const std::string key = this->keys.part(this->epoch, next.set, next.parts++);
      this->parts.push_back(internal::PartWrite{key, internal::Encode(part)});
    }
  }
  this->next_head = next;
}

bool Ledger::SnapshotNext(TimePoint now) {
  const bool committed_all = this->snapshot && this->snapshot->through <= this->committed;
  if (committed_all && !this->next_head) {
    this->PrepareParts();
  }
  if (!this->next_head) {
    return false;
  }
  if (!this->parts.empty()) {
    this->Write(internal::PartWrite(this->parts.front()), now);
    return true;
  }
  this->Write(internal::HeadWrite{*this->next_head, internal::Encode(*this->next_head)}, now);
  return true;
}

bool Ledger::DeleteNext(TimePoint now) {
  // Until this owner's own head is written, a late one of the last owner may still name its parts.
  if (this->stale_parts.empty() || this->head.epoch != this->epoch) {
    return false;
  }
  const std::string key = this->stale_parts.front();
  this->Repeat(internal::PartDelete{key}, now);
  return true;
}

std::string Ledger::KeyOf(const internal::BatchWrite& write) const {
  return this->keys.slot(write.batch.number, this->limits.slots);
}

std::string Ledger::KeyOf(const internal::HeadWrite& /*write*/) const { return this->keys.head(); }

void Ledger::Report(EventCode code, std::vector<std::pair<std::string, std::string>> fields) {
  this->actions.emplace_back(LedgerReport{EventRecord{code, std::move(fields)}});
}

template void Ledger::Write(const internal::BatchWrite& write, TimePoint now);
template void Ledger::Write(const internal::PartWrite& write, TimePoint now);
template void Ledger::Write(const internal::HeadWrite& write, TimePoint now);

}  // namespace pistachio
