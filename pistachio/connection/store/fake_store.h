#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "pistachio/connection/store/calls.h"

namespace pistachio {

/// \brief Fault that a fake store applies to a call.
enum class StoreFault {
  kNone,
  kDown,        ///< not reached: kUnavailable, nothing written
  kLostCall,    ///< lost on the way there: kUnknown, nothing written
  kLostAnswer,  ///< lost on the way back: kUnknown, the write took effect
};

/// \brief Numbers of calls that a store has served.
struct StoreCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t watches = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

/// \brief In-process key-value store with compare-and-swap. Not thread-safe.
///
/// A watch is answered at once with the entries changed past its revision; waiting is up to the
/// caller.
class FakeStore {
 public:
  /// \brief Serves \a call under \a fault. Cost: logarithmic, or linear in the listed entries.
  StoreReply Call(const StoreCall& call, StoreFault fault = StoreFault::kNone);

  /// \returns whether a key with the prefix changed past the revision. Counts nothing.
  bool HasChanged(const WatchCall& call) const;

  const StoreCounts& counts() const { return this->call_counts; }
  std::uint64_t revision() const { return this->last_revision; }

 private:
  struct Cell {
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
  };

  StoreReply Serve(const GetCall& call);
  StoreReply Serve(const ListCall& call);
  StoreReply Serve(const CompareAndSwapCall& call);
  StoreReply Serve(const DeleteCall& call);
  StoreReply Serve(const WatchCall& call);
  StoreReply ListChanged(const std::string& prefix, std::uint64_t after_revision) const;
  StoreEntry EntryOf(const std::string& key) const;
  StoreReply ConflictOn(const std::string& key);

  // A deleted key keeps its cell, so that its version goes on growing when it is made again.
  std::map<std::string, Cell> cells;
  std::map<std::string, std::uint64_t> deleted_versions;
  StoreCounts call_counts;
  std::uint64_t last_revision = 0;
};

}  // namespace pistachio
