#pragma once

#include <array>
#include <cstddef>
#include <unordered_map>
#include <vector>

#include "pistachio/process/policy/policy_settings.h"
#include "pistachio/process/policy/types.h"

namespace pistachio {

/// \brief A learned number: its mean, how far off it may be, and when it last changed.
struct Estimate {
  double mean = 0.0;
  double variance = 0.0;
  TimePoint updated_at{};
};

/// \brief Index of a work class inside one `SlowdownModel`.
using ClassIndex = std::size_t;

/// \brief A neighbour as a cause of slowdown.
struct Aggressor {
  ClassIndex work_class = 0;
  double speed = 1.0;  ///< share of its speed that it is allowed
};

/// \brief Number of bands that load is divided into.
constexpr std::size_t kLoadBands = 4;

/// \brief Learns how much work of one class slows work of another, from noisy measurements.
///
/// The logarithm of a victim's slowdown is a sum: a base of its own, and for each neighbour an
/// effect times the neighbour's speed. An effect is itself a sum of three levels: one of the
/// neighbour's class over all victims of a kind, the difference of this pair, and the difference of
/// this band of load. A pair that was never seen has no differences yet, so it falls back to the
/// class, and a new class to the prior. One measurement of several neighbours corrects each level
/// in proportion to how little is known of it (a Kalman filter with a diagonal covariance).
class SlowdownModel {
 public:
  SlowdownModel(const SlowdownSettings& settings, const PolicyParts& parts);

  /// \returns the index of \a work_class, which is added if it is new. Beyond 256 classes, new
  ///   ones share the last index, which bounds the memory. Cost: constant.
  ClassIndex IndexOf(const WorkClass& work_class, WorkKind kind);

  /// \returns the log slowdown of \a victim alone at \a load. Cost: constant.
  double Base(ClassIndex victim, double load) const;

  /// \returns the log slowdown that one \a aggressor at full speed adds to \a victim, with its
  ///   variance; the mean is never negative. Cost: constant.
  Estimate Effect(ClassIndex victim, ClassIndex aggressor, double load) const;

  /// \brief Takes in one measurement of \a victim among \a aggressors.
  ///
  /// \param log_slowdown logarithm of the slowdown in the measurement
  /// \returns the surprise: the error over its expected standard deviation. Cost: linear in the
  ///   aggressors.
  double Learn(ClassIndex victim, const std::vector<Aggressor>& aggressors, double load,
               double log_slowdown, TimePoint measured_at);

  /// \returns the number of known classes.
  std::size_t classes() const { return this->kinds.size(); }

 private:
  struct BaseEstimates {
    Estimate all;
    std::array<Estimate, kLoadBands> band;
  };
  struct PairEstimates {
    Estimate pair;
    std::array<Estimate, kLoadBands> band;
  };
  struct Term {
    Estimate* estimate;
    double factor;
    double largest_variance;
  };

  std::size_t BandOf(double load) const;
  PairEstimates& Pair(ClassIndex victim, ClassIndex aggressor);
  void Age(const Term& term, TimePoint now) const;
  void Correct(const std::vector<Term>& terms, double error, double variance) const;

  SlowdownSettings settings;
  PolicyParts parts;
  std::unordered_map<std::string, ClassIndex> index;
  std::vector<WorkKind> kinds;
  std::vector<BaseEstimates> bases;
  std::array<std::vector<Estimate>, 2> class_effects;  ///< by kind of victim, then aggressor
  std::vector<std::vector<PairEstimates>> pairs;       ///< by victim, then aggressor
};

}  // namespace pistachio
