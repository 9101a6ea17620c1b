#include "pistachio/connection/store/calls.h"

namespace pistachio {

namespace internal {

struct CallBytes {
  std::size_t operator()(const GetCall& call) const { return call.key.size(); }
  std::size_t operator()(const ListCall& call) const { return call.prefix.size(); }
  std::size_t operator()(const CompareAndSwapCall& call) const {
    return call.key.size() + call.value.size();
  }
  std::size_t operator()(const DeleteCall& call) const { return call.key.size(); }
  std::size_t operator()(const WatchCall& call) const { return call.prefix.size(); }
};

}  // namespace internal

StoreEntry CurrentEntry(const StoreReply& reply) {
  return reply.entries.empty() ? StoreEntry{} : reply.entries.front();
}

std::uint64_t VersionAfter(const StoreReply& reply, std::uint64_t expected) {
  return reply.entries.empty() ? expected + 1 : reply.entries.front().version;
}

const char* NameOf(StoreRole role) {
  switch (role) {
    case StoreRole::kMembership:
      return "membership";
    case StoreRole::kOwnership:
      return "ownership";
    case StoreRole::kLedger:
      return "ledger";
    case StoreRole::kSettings:
      return "settings";
    case StoreRole::kOperator:
      return "operator";
  }
  return "unknown";
}

std::size_t BytesOf(const StoreCall& call) { return std::visit(internal::CallBytes{}, call); }

std::size_t BytesOf(const StoreReply& reply) {
  std::size_t bytes = 0;
  for (const StoreEntry& entry : reply.entries) {
    bytes += entry.key.size() + entry.value.size();
  }
  return bytes;
}

}  // namespace pistachio
