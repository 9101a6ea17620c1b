#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/random.h"

namespace pistachio {

/// \brief Any target with a free slot, with equal chances.
struct RandomChoice {};
/// \brief One target after the other.
struct RoundRobinChoice {
  std::size_t last = 0;
};
/// \brief The target with the fewest attempts in flight from this entry host.
struct LeastOutstandingChoice {};
/// \brief The one of two random targets with fewer attempts in flight.
struct TwoChoices {};
/// \brief The lowest expected latency among a few random targets, with adaptive limits, slow start
/// and ejection of outliers.
struct LatencyAwareChoice {};

/// \brief How a target is chosen among those with a free slot.
using TargetChoice = std::variant<RandomChoice, RoundRobinChoice, LeastOutstandingChoice,
                                  TwoChoices, LatencyAwareChoice>;

namespace internal {

/// \brief A target that may get the attempt.
struct TargetCandidate {
  std::size_t member = 0;  ///< index in the service's list of targets
  std::uint32_t in_use = 0;
  double score = 0.0;     ///< expected latency, lower is better
  bool learning = false;  ///< little is known of its latency yet
};

/// \returns whether \a choice adapts to the latency and the failures of targets.
bool IsAdaptive(const TargetChoice& choice);

/// \returns how many candidates \a choice looks at; 0 for all of them.
std::size_t SampleSizeOf(const TargetChoice& choice);

/// \returns the index of the chosen one in \a candidates. \pre there is one.
std::size_t ChooseTarget(TargetChoice& choice, const std::vector<TargetCandidate>& candidates,
                         RandomSource& random);

}  // namespace internal
}  // namespace pistachio
