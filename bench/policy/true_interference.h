#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pistachio::bench {

/// \brief How much work of each class truly slows work of each other; no policy sees it.
///
/// Classes are numbered services first, then batch classes.
struct TrueInterference {
  std::size_t services = 0;
  std::vector<std::vector<double>> effect;  ///< by victim, then aggressor: log slowdown
  std::vector<double> load_share;  ///< by aggressor: part of its effect that grows with load

  /// \returns the log slowdown that \a aggressor at \a speed adds to \a victim at \a load.
  double EffectAt(std::size_t victim, std::size_t aggressor, double load, double speed) const;
};

/// \returns interference drawn for one seed.
TrueInterference DrawInterference(std::size_t services, std::size_t batch_classes,
                                  std::uint64_t seed);

}  // namespace pistachio::bench
