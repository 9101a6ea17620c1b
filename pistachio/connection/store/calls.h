#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/runtime/clock.h"

namespace pistachio {

/// \brief A key of the store with the value last written, or a removal event for the key.
struct StoreItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;          ///< store revision of the last write; 0 for no such key
  std::uint64_t created_revision = 0;  ///< store revision of the write that created the key
  std::uint64_t lease = 0;             ///< id of the lease whose end removes the key; 0 for none
  bool removed = false;                ///< set only in watch events and reports of a PrefixMirror
};

/// \brief Linearizable read of one key.
struct ReadKey {
  std::string key;
};

/// \brief Linearizable read of one page of the keys with a prefix, in key order.
struct ReadRange {
  std::string prefix;
  std::string after_key;  ///< last key of the previous page; empty for the first page
};

/// \brief Long poll for changes to keys with a prefix after a revision.
struct WatchPrefix {
  std::string prefix;
  std::uint64_t after_revision = 0;   ///< changes at later store revisions are reported
  std::chrono::milliseconds wait{0};  ///< longest wait for a change; then the reply has no items
};

/// \brief Condition of a transaction: the key has the given revision. Revision 0 requires that the
/// key does not exist.
struct Precondition {
  std::string key;
  std::uint64_t revision = 0;
};

/// \brief A write of one key.
struct Put {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;  ///< id of the lease whose end removes the key; 0 for none
};

/// \brief Atomic writes and removals of keys, applied only if every precondition holds.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Put> puts;
  std::vector<std::string> removals;
};

/// \brief Creates a lease.
struct GrantLease {
  std::chrono::milliseconds ttl{0};  ///< time to live that is asked for
};

/// \brief Renews a lease; its time to live restarts when the call reaches the store.
struct RenewLease {
  std::uint64_t lease = 0;
};

/// \brief Revokes a lease and removes its keys.
struct EndLease {
  std::uint64_t lease = 0;
};

/// \brief Any call to the store.
using StoreCall =
    std::variant<ReadKey, ReadRange, WatchPrefix, Transaction, GrantLease, RenewLease, EndLease>;

/// \brief Effect of a call on the store, as far as its reply shows.
enum class StoreStatus {
  kOk,        ///< the call took effect
  kConflict,  ///< a precondition failed and nothing was written; `items` holds the current state
  kMissing,   ///< no such key or lease, or a watch's history is gone; the call had no effect
  kRefused,   ///< the call had no effect; also a call without a reply if WritesKeys() is false
  kUnknown,   ///< no complete reply; the call may have taken effect or may still do so
};

/// \returns the name under which logs report \a status.
const char* NameOf(StoreStatus status);

/// \brief Reply to a store call.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;  ///< keys read, or the events of a watch
  /// Store revision at the time of the reply; for a successful transaction, that of its writes.
  std::uint64_t revision = 0;
  bool truncated = false;            ///< more keys follow the page
  std::uint64_t lease = 0;           ///< id of the lease that a grant or a renewal returns
  std::chrono::milliseconds ttl{0};  ///< time to live of the lease
  std::string reason;                ///< why the status is kRefused or kUnknown
  /// The call failed after a part of its answer had arrived, for example because the answer was too
  /// long to arrive within the timeout.
  bool cut_off = false;
};

/// \returns the item of \a key in \a reply, or one with revision 0 if \a reply has none.
StoreItem FindItem(const StoreReply& reply, const std::string& key);

/// \brief Receives the reply to a store call; runs once, on the control thread.
using StoreCallback = std::function<void(const StoreReply&)>;

/// \brief Sends a store call and passes its reply to the callback within \a timeout; a call without
/// an answer by then gets the status kRefused or kUnknown.
using StorePort = std::function<void(const StoreCall& call, Duration timeout, StoreCallback)>;

/// \returns true if \a call writes or removes keys, so that a call without a reply may still take
/// effect later. Calls that grant or renew a lease do not count as writes.
bool WritesKeys(const StoreCall& call);

}  // namespace pistachio
