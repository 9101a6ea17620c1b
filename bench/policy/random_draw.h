#pragma once

#include <cmath>
#include <cstdint>
#include <string>

#include "pistachio/process/runtime/random.h"

namespace pistachio::bench {

/// \brief Draws that are the same on every machine, unlike those of the standard distributions.
inline double Uniform(RandomSource& random) {
  constexpr int kDroppedBits = 11;
  constexpr double kStep = 1.0 / 9007199254740992.0;  // 2 to the power -53
  return static_cast<double>(random() >> kDroppedBits) * kStep;
}

inline double UniformBetween(RandomSource& random, double low, double high) {
  return low + (high - low) * Uniform(random);
}

inline double Exponential(RandomSource& random, double mean) {
  return -mean * std::log(1.0 - Uniform(random));
}

/// \returns a normal draw of mean 0 and deviation 1 (Box and Muller).
inline double Normal(RandomSource& random) {
  constexpr double kTwoPi = 6.283185307179586;
  const double radius = std::sqrt(-2.0 * std::log(1.0 - Uniform(random)));
  return radius * std::cos(kTwoPi * Uniform(random));
}

/// \returns a factor about 1 whose logarithm has deviation \a sigma.
inline double LogNormal(RandomSource& random, double sigma) {
  return std::exp(sigma * Normal(random));
}

inline std::size_t Below(RandomSource& random, std::size_t bound) {
  return static_cast<std::size_t>(random() % bound);
}

/// \returns a source for one purpose of one run, apart from the sources of other purposes.
inline RandomSource SourceFor(const std::string& purpose, std::uint64_t seed) {
  return RandomSource(StableHash(purpose, seed));
}

}  // namespace pistachio::bench
