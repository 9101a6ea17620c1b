#pragma once

namespace pistachio {

/// \brief Distribution of the ratio of a task's real run time to its declared estimate, as natural
/// logarithms. The defaults stand for exact estimates.
struct DurationFactor {
  double mean_log = 0.0;
  double deviation_log = 0.0;
};

}  // namespace pistachio
