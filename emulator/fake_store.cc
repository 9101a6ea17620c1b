#include "emulator/fake_store.h"

#include <algorithm>

namespace pistachio::emulator {

namespace internal {

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace internal

void FakeStore::RecordChange(const StoreItem& item) { this->history.push_back(item); }

void FakeStore::Write(const std::string& key, const std::string& value) {
  this->Commit(Transaction{{}, {Put{key, value, 0}}, {}});
}

void FakeStore::Remove(const std::string& key) { this->Commit(Transaction{{}, {}, {key}}); }

void FakeStore::RemoveKeysOnLeaseOf(const std::string& key) {
  const auto found = this->all_items.find(key);
  if (found == this->all_items.end() || found->second.lease == 0) {
    return;
  }
  const std::uint64_t lease = found->second.lease;
  Transaction removal;
  for (const auto& [name, item] : this->all_items) {
    if (item.lease == lease) {
      removal.removals.push_back(name);
    }
  }
  this->Commit(removal);
}

StoreReply FakeStore::Commit(const Transaction& transaction) {
  StoreReply reply;
  for (const Precondition& precondition : transaction.preconditions) {
    const auto found = this->all_items.find(precondition.key);
    const std::uint64_t current = found == this->all_items.end() ? 0 : found->second.revision;
    if (current != precondition.revision) {
      reply.status = StoreStatus::kConflict;
    }
    if (found != this->all_items.end()) {
      reply.items.push_back(found->second);
    }
  }
  if (reply.status == StoreStatus::kConflict) {
    return reply;
  }
  reply.items.clear();
  for (const Put& put : transaction.puts) {
    if (put.lease != 0 && this->leases.count(put.lease) == 0) {
      reply.status = StoreStatus::kMissing;
      return reply;
    }
  }
  this->revision++;
  for (const Put& put : transaction.puts) {
    StoreItem& item = this->all_items[put.key];
    item.key = put.key;
    item.value = put.value;
    item.lease = put.lease;
    item.created_revision = item.revision == 0 ? this->revision : item.created_revision;
    item.revision = this->revision;
    this->RecordChange(item);
  }
  for (const std::string& key : transaction.removals) {
    const auto found = this->all_items.find(key);
    if (found != this->all_items.end()) {
      StoreItem removed_item = found->second;
      removed_item.removed = true;
      removed_item.revision = this->revision;
      this->all_items.erase(found);
      this->RecordChange(removed_item);
    }
  }
  reply.status = StoreStatus::kOk;
  reply.revision = this->revision;
  return reply;
}

std::optional<StoreReply> FakeStore::Poll(const WatchPrefix& watch,
                                          std::uint64_t searched_revision) const {
  StoreReply reply;
  if (watch.after_revision < this->compacted_revision) {
    reply.status = StoreStatus::kMissing;
    return reply;
  }
  auto item = std::upper_bound(
      this->history.begin(), this->history.end(), std::max(watch.after_revision, searched_revision),
      [](std::uint64_t bound, const StoreItem& change) { return bound < change.revision; });
  for (; item != this->history.end(); ++item) {
    if (!internal::HasPrefix(item->key, watch.prefix)) {
      continue;
    }
    reply.items.push_back(*item);
    if (reply.items.size() >= this->max_watch_changes) {
      break;
    }
  }
  if (reply.items.empty()) {
    return std::nullopt;
  }
  reply.status = StoreStatus::kOk;
  reply.revision = item == this->history.end() ? this->revision : reply.items.back().revision;
  return reply;
}

void FakeStore::Tick(TimePoint now, bool paused) {
  std::vector<std::uint64_t> expired;
  for (auto& [id, lease] : this->leases) {
    if (paused) {
      lease.expires_at = std::max(lease.expires_at, now + lease.ttl);
    } else if (now >= lease.expires_at) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    this->Apply(EndLease{id}, now);
  }
}

StoreReply FakeStore::Apply(const StoreCall& call, TimePoint now) {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.revision = this->revision;
  if (const auto* read = std::get_if<ReadKey>(&call)) {
    const auto found = this->all_items.find(read->key);
    if (found == this->all_items.end()) {
      reply.status = StoreStatus::kMissing;
    } else {
      reply.items.push_back(found->second);
    }
  } else if (const auto* range = std::get_if<ReadRange>(&call)) {
    constexpr std::size_t kPageSize = 50;
    for (auto item = this->all_items.lower_bound(std::max(range->prefix, range->after_key));
         item != this->all_items.end() && internal::HasPrefix(item->first, range->prefix); ++item) {
      if (item->first <= range->after_key) {
        continue;
      }
      if (reply.items.size() == kPageSize) {
        reply.truncated = true;
        break;
      }
      reply.items.push_back(item->second);
    }
  } else if (const auto* watch = std::get_if<WatchPrefix>(&call)) {
    const auto events = this->Poll(*watch);
    return events ? *events : reply;
  } else if (const auto* transaction = std::get_if<Transaction>(&call)) {
    return this->Commit(*transaction);
  } else if (const auto* grant = std::get_if<GrantLease>(&call)) {
    reply.lease = this->next_lease++;
    reply.ttl = grant->ttl;
    this->leases[reply.lease] = Lease{grant->ttl, now + grant->ttl};
  } else if (const auto* renew = std::get_if<RenewLease>(&call)) {
    const auto lease = this->leases.find(renew->lease);
    if (lease == this->leases.end()) {
      reply.status = StoreStatus::kMissing;
    } else {
      lease->second.expires_at = now + lease->second.ttl;
    }
  } else if (const auto* end = std::get_if<EndLease>(&call)) {
    this->leases.erase(end->lease);
    Transaction removal;
    for (const auto& [key, item] : this->all_items) {
      if (item.lease == end->lease) {
        removal.removals.push_back(key);
      }
    }
    this->Commit(removal);
  }
  return reply;
}

}  // namespace pistachio::emulator
