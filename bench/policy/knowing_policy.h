#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bench/policy/scenario.h"
#include "pistachio/process/policy/placement_cost.h"
#include "pistachio/process/policy/slowdown_model.h"

namespace pistachio::bench {

/// \brief What the knowing policy sees of a target: everything, without lag.
struct TrueTarget {
  std::size_t index = 0;
  Tenancy tenancy;  ///< with true use and true current load
  double committed_share = 0.0;
};

/// \brief Answers the questions of `TenancyCost` with the truth.
struct TruePredictor {
  const TrueInterference* truth = nullptr;
  std::size_t slots = 8;

  double Base(std::size_t victim, double load) const;
  Estimate Effect(std::size_t victim, std::size_t aggressor, double load) const;
};

/// \brief The bound of what placement and throttling can reach: knows the true interference.
///
/// It counts costs as the product's policy does; only its knowledge differs.
class KnowingPolicy {
 public:
  explicit KnowingPolicy(const CostSettings& costs) : costs(costs) {}

  /// \returns the index of the best candidate; each has room.
  std::optional<std::size_t> Place(const TruePredictor& predictor, const Tenant& tenant,
                                   const std::vector<TrueTarget>& candidates) const;

  /// \returns the speed that each tenant of the target should have now.
  std::vector<double> Speeds(const TruePredictor& predictor, const TrueTarget& target) const;

 private:
  CostSettings costs;
};

}  // namespace pistachio::bench
