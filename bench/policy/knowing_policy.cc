#include "bench/policy/knowing_policy.h"

#include <cmath>

namespace pistachio::bench {

namespace internal {

constexpr double kSpreadWeight = 0.05;
constexpr double kSpeeds[] = {1.0, 0.5, 0.25};

}  // namespace internal

double TruePredictor::Base(std::size_t victim, double load) const {
  if (victim >= this->truth->services) {
    return 0.0;
  }
  // Mean wait over service time of a queue with several servers (Sakasegawa).
  const auto servers = static_cast<double>(this->slots);
  const double busy = std::min(load, 0.97);
  const double wait =
      std::pow(busy, std::sqrt(2.0 * (servers + 1.0)) - 1.0) / (servers * (1.0 - busy));
  return std::log(1.0 + wait);
}

Estimate TruePredictor::Effect(std::size_t victim, std::size_t aggressor, double load) const {
  return {this->truth->EffectAt(victim, aggressor, load, 1.0), 0.0, {}};
}

std::optional<std::size_t> KnowingPolicy::Place(const TruePredictor& predictor,
                                                const Tenant& tenant,
                                                const std::vector<TrueTarget>& candidates) const {
  std::optional<std::size_t> best;
  double best_score = 0.0;
  for (const TrueTarget& candidate : candidates) {
    Tenancy tenancy = candidate.tenancy;
    const double before = TenancyCost(predictor, tenancy, this->costs);
    tenancy.tenants.push_back(tenant);
    const double after = TenancyCost(predictor, tenancy, this->costs);
    const double score = after - before + internal::kSpreadWeight * candidate.committed_share;
    if (!best || score < best_score) {
      best = candidate.index;
      best_score = score;
    }
  }
  return best;
}

std::vector<double> KnowingPolicy::Speeds(const TruePredictor& predictor,
                                          const TrueTarget& target) const {
  Tenancy tenancy = target.tenancy;
  double cost = TenancyCost(predictor, tenancy, this->costs);
  for (auto& tenant : tenancy.tenants) {
    if (tenant.kind != WorkKind::kBatch) {
      continue;
    }
    double best_speed = tenant.speed;
    for (const double speed : internal::kSpeeds) {
      tenant.speed = speed;
      const double tried = TenancyCost(predictor, tenancy, this->costs);
      if (tried < cost) {
        cost = tried;
        best_speed = speed;
      }
    }
    tenant.speed = best_speed;
  }
  std::vector<double> speeds;
  for (const auto& tenant : tenancy.tenants) {
    speeds.push_back(tenant.speed);
  }
  return speeds;
}

}  // namespace pistachio::bench
