#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "pistachio/process/policy/policy_settings.h"
#include "pistachio/process/policy/size_model.h"
#include "pistachio/process/policy/types.h"

namespace pistachio {

/// \brief A task on a target, reduced to what the cost of a target depends on.
struct Tenant {
  std::size_t work_class = 0;  ///< as numbered by the predictor
  WorkKind kind = WorkKind::kBatch;
  double speed = 1.0;
  PredictedUse use;  ///< at full speed
};

/// \brief A target with the tenants that it has or would have.
struct Tenancy {
  std::vector<Tenant> tenants;
  Resources capacity;
  double load = 0.0;
};

/// \brief How costs are counted.
struct CostSettings {
  PolicyWeights weights;
  double late_ratio = 3.0;
};

namespace internal {

/// How fast the share of late answers rises with the logarithm of the slowdown.
constexpr double kLateSteepness = 8.0;
/// Share of memory from which a target is at risk of running out.
constexpr double kMemoryRiskShare = 0.95;
constexpr double kMemoryRiskCost = 200.0;

inline double Share(double used, std::int64_t capacity) {
  return capacity > 0 ? used / static_cast<double>(capacity) : 0.0;
}

}  // namespace internal

/// \returns the log slowdown of everything on a target whose processors are asked for too much.
inline double OverloadSlowdown(const Tenancy& tenancy) {
  double cpu_millis = 0.0;
  for (const Tenant& tenant : tenancy.tenants) {
    cpu_millis += tenant.use.cpu_millis * tenant.speed;
  }
  return std::log(std::max(1.0, internal::Share(cpu_millis, tenancy.capacity.cpu_millis)));
}

/// \returns the cost of the risk that the target runs out of memory.
inline double MemoryRisk(const Tenancy& tenancy) {
  double memory_mib = 0.0;
  for (const Tenant& tenant : tenancy.tenants) {
    memory_mib += tenant.use.memory_mib;
  }
  const double share = internal::Share(memory_mib, tenancy.capacity.memory_mib);
  return internal::kMemoryRiskCost * std::max(0.0, share - internal::kMemoryRiskShare);
}

/// \returns the expected share of late answers at a log slowdown: a smooth step about \a
/// late_ratio.
inline double LateShare(double log_slowdown, double late_ratio) {
  const double beyond = log_slowdown - std::log(late_ratio);
  return 1.0 / (1.0 + std::exp(-internal::kLateSteepness * beyond));
}

/// \returns the predicted log slowdown of tenant \a victim, without overload of the processors.
///
/// \tparam Predictor has `double Base(victim, load)` and `Effect(victim, aggressor, load).mean`
template <class Predictor>
double NeighbourSlowdown(const Predictor& predictor, const Tenancy& tenancy, std::size_t victim) {
  const std::size_t victim_class = tenancy.tenants[victim].work_class;
  double log_slowdown = predictor.Base(victim_class, tenancy.load);
  for (std::size_t i = 0; i < tenancy.tenants.size(); ++i) {
    if (i != victim) {
      const Tenant& other = tenancy.tenants[i];
      log_slowdown +=
          predictor.Effect(victim_class, other.work_class, tenancy.load).mean * other.speed;
    }
  }
  return log_slowdown;
}

/// \returns the cost of a target with these tenants: late answers, lost progress, memory risk.
///   Cost: square of the tenants.
template <class Predictor>
double TenancyCost(const Predictor& predictor, const Tenancy& tenancy,
                   const CostSettings& settings) {
  const double overload = OverloadSlowdown(tenancy);
  double cost = MemoryRisk(tenancy);
  for (std::size_t i = 0; i < tenancy.tenants.size(); ++i) {
    const Tenant& tenant = tenancy.tenants[i];
    const double log_slowdown = NeighbourSlowdown(predictor, tenancy, i) + overload;
    if (tenant.kind == WorkKind::kService) {
      cost += settings.weights.tail * LateShare(log_slowdown, settings.late_ratio);
    } else {
      cost += settings.weights.throughput * (1.0 - tenant.speed * std::exp(-log_slowdown));
    }
  }
  return cost;
}

}  // namespace pistachio
