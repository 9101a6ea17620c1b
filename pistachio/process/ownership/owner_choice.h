#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief A live host that may own a cell.
struct OwnerCandidate {
  HostId host;
  std::int64_t cpu_millis = 1000;  ///< thousandths of a core that the host may use
  std::size_t owned_cells = 0;     ///< number of cells that the host owns now
};

/// \brief Ranks a host among the hosts that may take an unowned cell.
///
/// An owner's work grows with its number of targets, so hosts with the most CPU per cell come
/// first. A hash of host and cell breaks ties, which spreads cells over equal hosts without
/// coordination.
/// \returns the number of candidates that rank before \a host, or the number of all candidates if
///   \a host is not one of them.
std::size_t RankOf(const HostId& host, const std::vector<OwnerCandidate>& candidates,
                   const CellId& cell);

/// \returns true if a candidate that owns no cell has at least twice the CPU of \a owner.
bool HasMuchStrongerIdleHost(const OwnerCandidate& owner,
                             const std::vector<OwnerCandidate>& candidates);

}  // namespace pistachio
