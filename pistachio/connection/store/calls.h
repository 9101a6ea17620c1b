#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pistachio {

/// \brief Largest value that the key-value service takes, in bytes.
constexpr std::size_t kMaxStoreValueBytes = 1U << 20U;

/// \brief One key with its value. A key that does not exist has version 0.
struct StoreEntry {
  std::string key;
  std::string value;
  std::uint64_t version = 0;  ///< grows by one with every write of this key

  bool exists() const { return this->version != 0; }
};

/// \brief Reads one key.
struct GetCall {
  std::string key;
};

/// \brief Reads every key that starts with a prefix, in key order.
struct ListCall {
  std::string prefix;
};

/// \brief Writes a key if its version is still the expected one; 0 expects that it does not exist.
///
/// A writer that must recognise its own write after a lost answer puts a unique change id in the
/// value.
struct CompareAndSwapCall {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
};

/// \brief Removes a key if its version is still the expected one.
struct DeleteCall {
  std::string key;
  std::uint64_t expected_version = 0;
};

/// \brief Waits until a key with the prefix changes past a revision, or until the time is up.
struct WatchCall {
  std::string prefix;
  std::uint64_t after_revision = 0;
  std::chrono::milliseconds wait{0};
};

/// \brief Any call on the key-value service.
using StoreCall = std::variant<GetCall, ListCall, CompareAndSwapCall, DeleteCall, WatchCall>;

/// \brief What a reply says about the call.
enum class StoreStatus {
  kOk,           ///< the call took effect
  kConflict,     ///< the version differed; nothing was written and the current entry is returned
  kUnavailable,  ///< the service was not reached; nothing was written
  kUnknown,      ///< no answer came; a write may have taken effect
};

/// \brief Reply to a call.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreEntry> entries;  ///< what was read; after a conflict, the current entry
  std::uint64_t revision = 0;       ///< counts every write to the service; for watches
};

/// \returns the entry that a conflicting write or a read found; version 0 if the key is missing.
StoreEntry CurrentEntry(const StoreReply& reply);

/// \returns the version that a successful write of a key left, having expected \a expected.
std::uint64_t VersionAfter(const StoreReply& reply, std::uint64_t expected);

/// \brief Which part of the system makes a call; calls and bytes are counted for each.
enum class StoreRole { kMembership, kOwnership, kLedger, kSettings, kOperator };

/// \returns the role's name in metrics, such as `ledger`.
const char* NameOf(StoreRole role);

/// \returns the bytes of keys and values that a call sends.
std::size_t BytesOf(const StoreCall& call);

/// \returns the bytes of keys and values that a reply carries.
std::size_t BytesOf(const StoreReply& reply);

}  // namespace pistachio
