#include "bench/policy/true_interference.h"

#include <algorithm>
#include <cmath>

#include "bench/policy/random_draw.h"

namespace pistachio::bench {

namespace internal {

// Intensities of batch classes, from quiet to noisy; which class gets which is drawn.
constexpr double kIntensities[] = {0.01, 0.03, 0.06, 0.10, 0.15, 0.22};
constexpr double kServiceIntensity = 0.03;
constexpr double kPairSpread = 0.7;
constexpr double kUsualLoad = 0.5;
constexpr double kSpeedExponent = 0.8;

std::vector<double> DrawIntensities(std::size_t services, std::size_t batch_classes,
                                    RandomSource& random) {
  std::vector<double> batch(batch_classes);
  for (std::size_t i = 0; i < batch_classes; ++i) {
    batch[i] = kIntensities[i % std::size(kIntensities)];
  }
  for (std::size_t i = batch_classes; i > 1; --i) {
    std::swap(batch[i - 1], batch[Below(random, i)]);
  }
  std::vector<double> all(services, kServiceIntensity);
  all.insert(all.end(), batch.begin(), batch.end());
  return all;
}

}  // namespace internal

double TrueInterference::EffectAt(std::size_t victim, std::size_t aggressor, double load,
                                  double speed) const {
  const double share = this->load_share[aggressor];
  const double with_load = (1.0 - share) + share * load / internal::kUsualLoad;
  const double with_speed = speed == 1.0 ? 1.0 : std::pow(speed, internal::kSpeedExponent);
  return this->effect[victim][aggressor] * with_load * with_speed;
}

TrueInterference DrawInterference(std::size_t services, std::size_t batch_classes,
                                  std::uint64_t seed) {
  RandomSource random = SourceFor("interference", seed);
  const std::size_t classes = services + batch_classes;
  const auto intensity = internal::DrawIntensities(services, batch_classes, random);
  TrueInterference truth;
  truth.services = services;
  for (std::size_t victim = 0; victim < classes; ++victim) {
    const double sensitivity = UniformBetween(random, 0.6, 1.4);
    std::vector<double> row;
    for (std::size_t aggressor = 0; aggressor < classes; ++aggressor) {
      row.push_back(sensitivity * intensity[aggressor] * LogNormal(random, internal::kPairSpread));
    }
    truth.effect.push_back(row);
  }
  for (std::size_t aggressor = 0; aggressor < classes; ++aggressor) {
    truth.load_share.push_back(UniformBetween(random, 0.0, 1.0));
  }
  return truth;
}

}  // namespace pistachio::bench
