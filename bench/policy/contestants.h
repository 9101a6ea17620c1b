#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/policy/simulation.h"

namespace pistachio::bench {

/// \returns the policies that the product's is compared with.
const std::vector<std::string>& BaselineNames();

/// \returns names of the contestants that a flag asks for: `all`, `ablations` or a list of names.
std::vector<std::string> ContestantNames(const std::string& flag);

/// \returns a fresh contestant; `interference-without-X` lacks part X, and `interference:A=1;B=2`
///   has other settings.
Contestant MakeContestant(const std::string& name, const PolicyWeights& weights,
                          std::uint64_t seed);

}  // namespace pistachio::bench
