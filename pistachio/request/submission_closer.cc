#include "pistachio/request/submission_closer.h"

#include <set>
#include <utility>

#include "pistachio/process/ownership/store_keys.h"

namespace pistachio {

SubmissionCloserSettings CancelCloserSettings() {
  SubmissionCloserSettings settings;
  settings.write_interval = std::chrono::milliseconds(100);
  settings.max_waiting = 500;
  return settings;
}

SubmissionCloser::SubmissionCloser(const SubmissionCloserSettings& settings, Callbacks callbacks)
    : settings(settings), callbacks(std::move(callbacks)) {}

void SubmissionCloser::Close(const SubmissionId& id, TimePoint until, const Callback& done) {
  if (this->end_at || this->waiting.size() >= this->settings.max_waiting) {
    done(Result{});
    return;
  }
  this->waiting.push_back(Entry{id, until, done});
  this->SendDue();
}

void SubmissionCloser::Tick(TimePoint tick_now) {
  this->now = tick_now;
  this->EndExpired();
  this->SendDue();
}

void SubmissionCloser::EndExpired() {
  const bool stopped = this->end_at && this->now >= *this->end_at;
  std::vector<Entry> expired;
  for (std::list<Entry>* entries : {&this->waiting, &this->sent}) {
    for (auto entry = entries->begin(); entry != entries->end();) {
      const auto next = std::next(entry);
      if (stopped || this->now >= entry->until) {
        expired.push_back(std::move(*entry));
        entries->erase(entry);
      }
      entry = next;
    }
  }
  for (const Entry& entry : expired) {
    entry.done(Result{});
  }
}

void SubmissionCloser::SendDue() {
  if (this->call_open || this->waiting.empty() || this->now < this->next_write_at ||
      !this->callbacks.is_store_reachable()) {
    return;
  }
  if (this->lease == 0 || this->now >= this->lease_usable_until) {
    this->AskForLease();
  } else {
    this->SendWrite();
  }
}

void SubmissionCloser::AskForLease() {
  this->call_open = true;
  const TimePoint asked_at = this->now;
  this->callbacks.store(GrantLease{this->settings.lease_ttl}, this->settings.call_timeout,
                        [this, asked_at](const StoreReply& reply) {
                          this->call_open = false;
                          if (reply.status != StoreStatus::kOk) {
                            this->next_write_at = this->now + this->settings.retry_pause;
                            return;
                          }
                          this->lease = reply.lease;
                          this->lease_usable_until =
                              asked_at + reply.ttl - this->settings.min_lease_left;
                          this->SendDue();
                        });
}

void SubmissionCloser::SendWrite() {
  Transaction write;
  std::set<SubmissionId> included;
  for (auto entry = this->waiting.begin();
       entry != this->waiting.end() && included.size() < this->settings.max_per_write;) {
    const auto next = std::next(entry);
    if (included.insert(entry->id).second) {
      write.preconditions.push_back({store_keys::AssignedCell(entry->id), 0});
      write.puts.push_back(Put{store_keys::Closed(entry->id), "", this->lease});
      this->sent.splice(this->sent.end(), this->waiting, entry);
    }
    entry = next;
  }
  this->call_open = true;
  this->next_write_at = this->now + this->settings.write_interval;
  this->write_count++;
  this->callbacks.store(write, this->settings.call_timeout,
                        [this](const StoreReply& reply) { this->OnWritten(reply); });
}

void SubmissionCloser::OnWritten(const StoreReply& reply) {
  this->call_open = false;
  std::list<Entry> decided = std::exchange(this->sent, {});
  if (reply.status == StoreStatus::kOk) {
    for (const Entry& entry : decided) {
      StoreItem closing;
      closing.key = store_keys::Closed(entry.id);
      closing.revision = reply.revision;
      entry.done(Result{Status::kClosed, closing});
    }
    this->SendDue();
    return;
  }
  if (reply.status == StoreStatus::kMissing) {
    this->lease = 0;
  } else if (reply.status != StoreStatus::kConflict) {
    this->next_write_at = this->now + this->settings.retry_pause;
  }
  // Nothing was written, or it is not known. Those that are not stored go into the next write.
  std::vector<std::pair<Entry, StoreItem>> stored;
  for (auto entry = decided.begin(); entry != decided.end();) {
    const auto next = std::next(entry);
    const StoreItem cell = reply.status == StoreStatus::kConflict
                               ? FindItem(reply, store_keys::AssignedCell(entry->id))
                               : StoreItem();
    if (cell.revision != 0) {
      stored.emplace_back(std::move(*entry), cell);
      decided.erase(entry);
    }
    entry = next;
  }
  this->waiting.splice(this->waiting.begin(), decided);
  for (const auto& [entry, cell] : stored) {
    entry.done(Result{Status::kStored, cell});
  }
  this->SendDue();
}

}  // namespace pistachio
