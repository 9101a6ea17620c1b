#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace pistachio {

/// \brief Random number generator; the same seed yields the same sequence.
using RandomSource = std::mt19937_64;

/// \returns a 64-bit hash of \a text that does not depend on the process, machine or version of the
///   program.
std::uint64_t StableHash(const std::string& text, std::uint64_t seed = 0);

/// \returns a 64-bit random number from the operating system's entropy source, used as a unique id,
///   for example of a process or of one take of a cell.
std::uint64_t RandomId();

}  // namespace pistachio
