#pragma once

#include <cstddef>
#include <cstdint>

#include "pistachio/process/runtime/clock.h"

namespace pistachio {

/// \brief What the operators weigh: larger counts for more.
struct PolicyWeights {
  double tail = 10.0;       ///< cost of all answers of one service instance being late
  double throughput = 1.0;  ///< cost of one batch task standing still
  double eviction = 5.0;    ///< predicted cost from which one eviction is worth it
};

/// \brief Parts of the interference policy, each of which can be turned off to see what it brings.
struct PolicyParts {
  bool bands = true;          ///< effects of their own for each band of load
  bool uncertainty = true;    ///< learn fast where little is known, and slowly where much is
  bool decay = true;          ///< old knowledge grows uncertain again
  bool learned_sizes = true;  ///< score by learned instead of declared use
  bool throttle = true;
  bool evict = true;
};

/// \brief How the slowdown model learns. Slowdowns are natural logarithms of ratios.
struct SlowdownSettings {
  double prior_effect = 0.1;          ///< of one neighbour of which nothing is known
  double class_variance = 0.05;       ///< how far classes differ from the prior
  double pair_variance = 0.1;         ///< how far pairs differ from their class
  double band_variance = 0.03;        ///< how far a band of load differs from its pair
  double base_variance = 0.05;        ///< how far services differ when alone
  double sample_variance = 0.08;      ///< noise of one measurement
  double drift_per_second = 0.00002;  ///< variance that an estimate gains while unseen
};

/// \brief When the policy throttles, restores and evicts.
struct ReactionSettings {
  double slow_ratio = 2.2;                ///< latency over the service's best that is too slow
  double calm_ratio = 1.3;                ///< latency ratio below which throttled work may speed up
  std::uint32_t samples_to_throttle = 3;  ///< slow measurements in a row
  std::uint32_t samples_to_restore = 4;   ///< calm measurements in a row
  std::uint32_t samples_to_evict = 12;    ///< slow measurements in a row at the lowest throttle
  double throttle_step = 0.5;             ///< factor of one throttle step
  double lowest_throttle = 0.25;          ///< share of its speed that work always keeps
  Duration settle = std::chrono::seconds(10);  ///< from an action to its full effect
  std::uint32_t evictions_per_window = 0;      ///< eviction budget; 0 leaves it at throttling
  Duration eviction_window = std::chrono::minutes(30);
};

/// \brief Settings of the interference policy.
struct InterferenceSettings {
  PolicyWeights weights;
  PolicyParts parts;
  SlowdownSettings slowdown;
  ReactionSettings reaction;
  double late_ratio = 3.0;  ///< latency over the service's best at which half the answers are late
};

}  // namespace pistachio
