#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "pistachio/process/ownership/cluster_view.h"

namespace pistachio {

/// \returns LoadRecord::counted_revision of each of \a cells, or 0 if its record names none.
std::map<CellId, std::uint64_t> ReadCountedRevisions(const ClusterView& view,
                                                     const std::vector<CellId>& cells);

/// \brief Waiting submissions that have moved to other cells whose load records don't count them
/// yet.
///
/// The cell that they left goes on counting them until then. Otherwise no record would count them
/// from the next record of the one cell to that of the other, whose owner may be down or cut off.
class Departures {
 public:
  /// \brief Adds a submission. \param revision store revision of the move
  void Add(const QueueId& queue, const CellId& destination, std::uint64_t revision, TimePoint now);

  /// \brief Adds the submissions that no other record counts to \a load, and forgets the others.
  /// \param counted_revisions see ReadCountedRevisions; has all destinations
  void AddTo(const std::map<CellId, std::uint64_t>& counted_revisions, TimePoint now,
             LoadRecord* load);

  bool empty() const { return this->departures.empty(); }

  /// \brief Forgets all submissions.
  void Clear() { this->departures.clear(); }

 private:
  struct Departure {
    QueueId queue;
    CellId destination;
    std::uint64_t revision = 0;
    TimePoint left_at;
  };
  std::deque<Departure> departures;  ///< oldest first
};

}  // namespace pistachio
