#include "pistachio/request/target_choice.h"

#include <algorithm>

namespace pistachio::internal {

constexpr std::size_t kAll = 0;
constexpr std::size_t kTwo = 2;
constexpr std::size_t kLatencyAwareSample = 6;
constexpr std::uint64_t kPicksPerExploration = 8;

struct Chooser {
  const std::vector<TargetCandidate>& candidates;
  RandomSource& random;

  std::size_t operator()(RandomChoice& /*choice*/) const {
    return this->random() % this->candidates.size();
  }
  std::size_t operator()(RoundRobinChoice& choice) const {
    const auto next = std::find_if(
        this->candidates.begin(), this->candidates.end(),
        [&choice](const TargetCandidate& candidate) { return candidate.member > choice.last; });
    const std::size_t index = next == this->candidates.end()
                                  ? 0
                                  : static_cast<std::size_t>(next - this->candidates.begin());
    choice.last = this->candidates[index].member;
    return index;
  }
  std::size_t operator()(LeastOutstandingChoice& /*choice*/) const { return this->FewestInUse(); }
  std::size_t operator()(TwoChoices& /*choice*/) const { return this->FewestInUse(); }
  std::size_t operator()(LatencyAwareChoice& /*choice*/) const {
    // Or a target that is new or on probation would get nothing while better known ones are idle.
    if (this->random() % kPicksPerExploration == 0) {
      const auto learning =
          std::find_if(this->candidates.begin(), this->candidates.end(),
                       [](const TargetCandidate& candidate) { return candidate.learning; });
      if (learning != this->candidates.end()) {
        return static_cast<std::size_t>(learning - this->candidates.begin());
      }
    }
    const auto best = std::min_element(
        this->candidates.begin(), this->candidates.end(),
        [](const TargetCandidate& a, const TargetCandidate& b) { return a.score < b.score; });
    return static_cast<std::size_t>(best - this->candidates.begin());
  }

  std::size_t FewestInUse() const {
    // Starts at a random place, so that ties do not all go to the first target.
    const std::size_t count = this->candidates.size();
    const std::size_t start = this->random() % count;
    std::size_t best = start;
    for (std::size_t step = 1; step < count; ++step) {
      const std::size_t index = (start + step) % count;
      if (this->candidates[index].in_use < this->candidates[best].in_use) {
        best = index;
      }
    }
    return best;
  }
};

bool IsAdaptive(const TargetChoice& choice) {
  return std::holds_alternative<LatencyAwareChoice>(choice);
}

std::size_t SampleSizeOf(const TargetChoice& choice) {
  struct Size {
    std::size_t operator()(const RandomChoice&) const { return 1; }
    std::size_t operator()(const RoundRobinChoice&) const { return kAll; }
    std::size_t operator()(const LeastOutstandingChoice&) const { return kAll; }
    std::size_t operator()(const TwoChoices&) const { return kTwo; }
    std::size_t operator()(const LatencyAwareChoice&) const { return kLatencyAwareSample; }
  };
  return std::visit(Size{}, choice);
}

std::size_t ChooseTarget(TargetChoice& choice, const std::vector<TargetCandidate>& candidates,
                         RandomSource& random) {
  return std::visit(Chooser{candidates, random}, choice);
}

}  // namespace pistachio::internal
