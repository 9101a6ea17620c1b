#pragma once

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Own load of one serving task, as the logarithm of its tail in milliseconds without the
/// slowdown by best-effort work.
///
/// Designed for loads that swing by half within seconds, each submission with a phase of its own.
struct TailLevel {
  double present = 0.0;    ///< last level
  double peak = 0.0;       ///< recent peak; falls towards the level within some periods of the load
  double slope = 0.0;      ///< smoothed change of the level per second
  double variance = 0.0;   ///< of the error of `present`
  TimePoint first_at{};    ///< time of the first sample; the epoch if there is none
  TimePoint updated_at{};  ///< time of the last sample

  /// \brief Adds one sample.
  void Add(double level, TimePoint now);

  /// \returns the peak to expect, for an image whose tasks peak at \a image_peak: that of the image
  ///   while the task is new, that of its own reports once they cover a period of the load.
  double ExpectedPeak(double image_peak) const;

  /// \returns the highest level to expect within \a horizon, given the peak.
  double ExpectedWithin(Duration horizon, double peak) const;
};

}  // namespace pistachio
