#include "bench/policy/contestants.h"

#include <sstream>

#include "bench/policy/random_draw.h"

namespace pistachio::bench {

namespace internal {

const std::vector<std::string>& Ablations() {
  static const std::vector<std::string> kNames = {"interference",
                                                  "interference-without-bands",
                                                  "interference-without-uncertainty",
                                                  "interference-without-decay",
                                                  "interference-without-learned-sizes",
                                                  "interference-without-throttle",
                                                  "interference-without-evict"};
  return kNames;
}

bool IsWithout(const std::string& name, const std::string& part) {
  return name == "interference-without-" + part;
}

InterferenceSettings SettingsOf(const std::string& name, const PolicyWeights& weights) {
  InterferenceSettings settings;
  settings.weights = weights;
  settings.parts.bands = !IsWithout(name, "bands");
  settings.parts.uncertainty = !IsWithout(name, "uncertainty");
  settings.parts.decay = !IsWithout(name, "decay");
  settings.parts.learned_sizes = !IsWithout(name, "learned-sizes");
  settings.parts.throttle = !IsWithout(name, "throttle");
  settings.parts.evict = !IsWithout(name, "evict");
  return settings;
}

}  // namespace internal

const std::vector<std::string>& BaselineNames() {
  static const std::vector<std::string> kNames = {"random", "round-robin", "least-committed",
                                                  "best-fit", "two-choices"};
  return kNames;
}

std::vector<std::string> ContestantNames(const std::string& flag) {
  if (flag == "ablations") {
    return internal::Ablations();
  }
  std::vector<std::string> names;
  if (flag == "all") {
    names = BaselineNames();
    names.emplace_back("interference");
    names.emplace_back("knowing");
    return names;
  }
  std::istringstream list(flag);
  for (std::string name; std::getline(list, name, ',');) {
    names.push_back(name);
  }
  return names;
}

Contestant MakeContestant(const std::string& name, const PolicyWeights& weights,
                          std::uint64_t seed) {
  if (name == "random") {
    return Policy(RandomPolicy{SourceFor("random", seed)});
  }
  if (name == "round-robin") {
    return Policy(RoundRobinPolicy{});
  }
  if (name == "least-committed") {
    return Policy(LeastCommittedPolicy{});
  }
  if (name == "best-fit") {
    return Policy(BestFitPolicy{});
  }
  if (name == "two-choices") {
    return Policy(TwoChoicesPolicy{SourceFor("two choices", seed)});
  }
  if (name == "knowing") {
    CostSettings costs;
    costs.weights = weights;
    return KnowingPolicy(costs);
  }
  return Policy(InterferencePolicy(internal::SettingsOf(name, weights)));
}

}  // namespace pistachio::bench
