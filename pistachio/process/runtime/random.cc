#include "pistachio/process/runtime/random.h"

#include <xxhash.h>

namespace pistachio {

std::uint64_t StableHash(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t RandomId() {
  std::random_device entropy;
  constexpr int kHalfBits = 32;
  return (static_cast<std::uint64_t>(entropy()) << kHalfBits) | entropy();
}

}  // namespace pistachio
