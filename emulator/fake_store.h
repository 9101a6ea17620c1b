#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/connection/store.h"

namespace pistachio::emulator {

/// \brief In-memory key-value store with revisions, leases, watches and conditional transactions.
class FakeStore {
 public:
  /// \brief Executes a call at once. \pre \a call is not a watch that has to wait for events.
  ///
  /// \returns the reply; `kMissing` if a read finds no key, a renewal or a put names an unknown
  /// lease
  ///   or a watch begins at a compacted revision; `kConflict` with the current items if a
  ///   precondition fails.
  StoreReply Apply(const StoreCall& call, TimePoint now);

  /// \returns the oldest changes under the watched prefix after the watched revision, `kMissing` if
  ///   the store has compacted that revision, and nothing if there are no such changes yet.
  /// \param searched_revision an earlier call found no change up to this revision; 0 if there was
  ///   none
  std::optional<StoreReply> Poll(const WatchPrefix& watch,
                                 std::uint64_t searched_revision = 0) const;

  /// Largest number of changes that the answer to a watch contains.
  std::size_t max_watch_changes = 500;

  /// \returns the revision of the last change.
  std::uint64_t current_revision() const { return this->revision; }

  /// \brief Ends expired leases and removes their keys.
  ///
  /// \param paused moves the expiry of every lease to at least its full time to live from \a now
  void Tick(TimePoint now, bool paused);

  /// \brief Writes a key without lease or precondition, as an operator or a target does.
  void Write(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  /// \brief Compacts the history: watches from earlier revisions get `kMissing`.
  void Compact() { this->compacted_revision = this->revision; }

  /// \brief Removes all keys on the lease of \a key, as if the lease had ended; the lease itself
  /// stays valid. Does nothing if \a key does not exist or has no lease.
  void RemoveKeysOnLeaseOf(const std::string& key);

  const std::map<std::string, StoreItem>& items() const { return this->all_items; }

 private:
  struct Lease {
    std::chrono::milliseconds ttl{0};
    TimePoint expires_at{};
  };

  /// Executes a transaction atomically.
  StoreReply Commit(const Transaction& transaction);
  void RecordChange(const StoreItem& item);

  std::map<std::string, StoreItem> all_items;
  std::map<std::uint64_t, Lease> leases;  ///< by lease id
  std::vector<StoreItem> history;         ///< all changes, oldest first
  std::uint64_t revision = 100;
  std::uint64_t compacted_revision = 0;  ///< watches from earlier revisions fail
  std::uint64_t next_lease = 1;
};

}  // namespace pistachio::emulator
