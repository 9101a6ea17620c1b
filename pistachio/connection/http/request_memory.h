#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pistachio {

/// \brief Shares a number of bytes among the requests that a server keeps in memory.
///
/// Load: many clients that each send a large part of a request and stop. If the bytes run out, the
/// unfinished request that keeps the most gives its bytes up, the oldest among equal ones, so small
/// requests are served beside any number of large ones. A request that is complete keeps its bytes
/// until Close(). Not thread-safe.
class RequestMemory {
 public:
  using RequestId = std::uint64_t;  ///< rises in the order in which the requests begin

  /// Result of Reserve().
  struct Reservation {
    bool granted = false;            ///< if not, the request keeps no byte any more
    std::vector<RequestId> evicted;  ///< requests that have to give up their bytes first
  };

  /// \param budget bytes that all requests together may keep
  explicit RequestMemory(std::size_t budget) : budget(budget) {}

  /// Reserves bytes for an unfinished request, before they are kept.
  /// \param bytes that the request keeps in total from then on
  Reservation Reserve(RequestId request, std::size_t bytes);

  /// Records that a request is complete; it is no longer evicted.
  void Complete(RequestId request);

  /// Records that a request ends. Does nothing if it has no bytes.
  void Close(RequestId request);

  /// \returns the bytes that all requests together keep.
  std::size_t used() const { return this->used_bytes; }

  /// \returns the number of requests that were evicted or not granted their bytes.
  std::uint64_t refused() const { return this->refused_requests; }

 private:
  struct Entry {
    std::size_t bytes = 0;
    bool complete = false;
  };
  /// Bytes and negated id, so that the last element of a set is the next request to evict.
  using Rank = std::pair<std::size_t, std::int64_t>;

  static Rank RankOf(RequestId request, std::size_t bytes);
  /// \returns the requests to evict so that \a request can keep \a bytes; nothing if that is not
  /// possible.
  std::vector<RequestId> FindVictims(RequestId request, std::size_t bytes) const;

  std::size_t budget;
  std::size_t used_bytes = 0;
  std::uint64_t refused_requests = 0;
  std::unordered_map<RequestId, Entry> entries;
  std::set<Rank> unfinished;
};

/// \brief Computes how many bytes to reserve for a body that grows. A body is moved once at most,
/// and large ones have the same size in most cases, so the allocator can reuse their memory. \param
/// needed bytes that the body has now \param expected length of the whole body, or its limit if the
/// length is not known
std::size_t GrownBodyCapacity(std::size_t needed, std::size_t expected);

}  // namespace pistachio
