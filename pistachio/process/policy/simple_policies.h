#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "pistachio/process/policy/types.h"
#include "pistachio/process/runtime/random.h"

namespace pistachio {

/// \brief Places on any target with room, each as likely.
struct RandomPolicy {
  RandomSource random;

  std::optional<PlacementDecision> Place(const PlacementRequest& request,
                                         const std::vector<TargetView>& targets);
};

/// \brief Places on targets with room in turn.
struct RoundRobinPolicy {
  std::size_t next = 0;

  std::optional<PlacementDecision> Place(const PlacementRequest& request,
                                         const std::vector<TargetView>& targets);
};

/// \brief Places where the largest committed share after placing is smallest.
struct LeastCommittedPolicy {
  std::optional<PlacementDecision> Place(const PlacementRequest& request,
                                         const std::vector<TargetView>& targets);
};

/// \brief Places where the largest committed share after placing is largest, to keep others free.
struct BestFitPolicy {
  std::optional<PlacementDecision> Place(const PlacementRequest& request,
                                         const std::vector<TargetView>& targets);
};

/// \brief Draws two targets with room and takes the one that is less committed.
struct TwoChoicesPolicy {
  RandomSource random;

  std::optional<PlacementDecision> Place(const PlacementRequest& request,
                                         const std::vector<TargetView>& targets);
};

}  // namespace pistachio
