#include "pistachio/connection/store/fake_store.h"

namespace pistachio {

namespace internal {

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace internal

StoreReply FakeStore::Call(const StoreCall& call, StoreFault fault) {
  if (fault == StoreFault::kDown) {
    return StoreReply{StoreStatus::kUnavailable, {}, 0};
  }
  if (fault == StoreFault::kLostCall) {
    return StoreReply{StoreStatus::kUnknown, {}, 0};
  }
  this->call_counts.bytes_in += BytesOf(call);
  StoreReply reply = std::visit([this](const auto& typed) { return this->Serve(typed); }, call);
  this->call_counts.bytes_out += BytesOf(reply);
  if (fault == StoreFault::kLostAnswer) {
    return StoreReply{StoreStatus::kUnknown, {}, 0};
  }
  return reply;
}

StoreEntry FakeStore::EntryOf(const std::string& key) const {
  const auto cell = this->cells.find(key);
  if (cell == this->cells.end()) {
    return StoreEntry{key, "", 0};
  }
  return StoreEntry{key, cell->second.value, cell->second.version};
}

StoreReply FakeStore::ConflictOn(const std::string& key) {
  this->call_counts.conflicts++;
  return StoreReply{StoreStatus::kConflict, {this->EntryOf(key)}, this->last_revision};
}

StoreReply FakeStore::Serve(const GetCall& call) {
  this->call_counts.reads++;
  StoreReply reply{StoreStatus::kOk, {}, this->last_revision};
  if (this->cells.count(call.key) != 0) {
    reply.entries.push_back(this->EntryOf(call.key));
  }
  return reply;
}

StoreReply FakeStore::Serve(const ListCall& call) {
  this->call_counts.reads++;
  return this->ListChanged(call.prefix, 0);
}

StoreReply FakeStore::Serve(const CompareAndSwapCall& call) {
  this->call_counts.writes++;
  const StoreEntry current = this->EntryOf(call.key);
  if (current.version != call.expected_version) {
    return this->ConflictOn(call.key);
  }
  Cell& cell = this->cells[call.key];
  cell.version = current.exists() ? current.version + 1 : this->deleted_versions[call.key] + 1;
  cell.value = call.value;
  cell.revision = ++this->last_revision;
  return StoreReply{StoreStatus::kOk, {this->EntryOf(call.key)}, this->last_revision};
}

StoreReply FakeStore::Serve(const DeleteCall& call) {
  this->call_counts.writes++;
  const StoreEntry current = this->EntryOf(call.key);
  if (current.version != call.expected_version || !current.exists()) {
    return this->ConflictOn(call.key);
  }
  this->deleted_versions[call.key] = current.version;
  this->cells.erase(call.key);
  this->last_revision++;
  return StoreReply{StoreStatus::kOk, {}, this->last_revision};
}

StoreReply FakeStore::Serve(const WatchCall& call) {
  this->call_counts.watches++;
  return this->ListChanged(call.prefix, call.after_revision);
}

bool FakeStore::HasChanged(const WatchCall& call) const {
  return !this->ListChanged(call.prefix, call.after_revision).entries.empty();
}

StoreReply FakeStore::ListChanged(const std::string& prefix, std::uint64_t after_revision) const {
  StoreReply reply{StoreStatus::kOk, {}, this->last_revision};
  for (auto cell = this->cells.lower_bound(prefix);
       cell != this->cells.end() && internal::HasPrefix(cell->first, prefix); ++cell) {
    if (cell->second.revision > after_revision) {
      reply.entries.push_back(StoreEntry{cell->first, cell->second.value, cell->second.version});
    }
  }
  return reply;
}

}  // namespace pistachio
