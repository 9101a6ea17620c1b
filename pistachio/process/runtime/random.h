#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace pistachio {

/// \brief Source of random numbers; seeded, so that a run can be repeated.
using RandomSource = std::mt19937_64;

/// \returns a 64-bit hash of \a text that is the same in every process and version.
std::uint64_t StableHash(const std::string& text, std::uint64_t seed = 0);

/// \returns a number from the machine's entropy, for incarnations and change ids.
std::uint64_t RandomToken();

}  // namespace pistachio
