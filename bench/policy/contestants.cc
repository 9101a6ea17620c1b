#include "bench/policy/contestants.h"

#include <map>
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

// Sets one number that a contestant's name carries after a colon, such as `calm_ratio=1.4`.
void SetNumber(InterferenceSettings& settings, const std::string& key, double value) {
  const std::map<std::string, double*> numbers = {
      {"tail", &settings.weights.tail},
      {"throughput", &settings.weights.throughput},
      {"late_ratio", &settings.late_ratio},
      {"slow_ratio", &settings.reaction.slow_ratio},
      {"calm_ratio", &settings.reaction.calm_ratio},
      {"throttle_step", &settings.reaction.throttle_step},
      {"lowest_throttle", &settings.reaction.lowest_throttle},
      {"prior_effect", &settings.slowdown.prior_effect},
      {"class_variance", &settings.slowdown.class_variance},
      {"pair_variance", &settings.slowdown.pair_variance},
      {"band_variance", &settings.slowdown.band_variance},
      {"base_variance", &settings.slowdown.base_variance},
      {"sample_variance", &settings.slowdown.sample_variance},
      {"drift_per_second", &settings.slowdown.drift_per_second}};
  const auto number = numbers.find(key);
  if (number != numbers.end()) {
    *number->second = value;
  } else if (key == "samples_to_throttle") {
    settings.reaction.samples_to_throttle = static_cast<std::uint32_t>(value);
  } else if (key == "evictions_per_window") {
    settings.reaction.evictions_per_window = static_cast<std::uint32_t>(value);
  } else if (key == "samples_to_restore") {
    settings.reaction.samples_to_restore = static_cast<std::uint32_t>(value);
  }
}

void SetNumbers(InterferenceSettings& settings, const std::string& name) {
  const std::size_t colon = name.find(':');
  if (colon == std::string::npos) {
    return;
  }
  std::istringstream list(name.substr(colon + 1));
  for (std::string pair; std::getline(list, pair, ';');) {
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      SetNumber(settings, pair.substr(0, equals), std::stod(pair.substr(equals + 1)));
    }
  }
}

InterferenceSettings SettingsOf(const std::string& name, const PolicyWeights& weights) {
  InterferenceSettings settings;
  settings.weights = weights;
  SetNumbers(settings, name);
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
