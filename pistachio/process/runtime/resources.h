#pragma once

#include <cstdint>
#include <string>

namespace pistachio {

/// \brief Amount of CPU, memory and accelerators, as a task requests it or a target provides it.
struct Resources {
  std::int64_t cpu_millis = 0;    ///< thousandths of a CPU core
  std::int64_t memory_mib = 0;    ///< mebibytes
  std::int64_t accelerators = 0;  ///< number of devices

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend bool operator==(const Resources& a, const Resources& b) {
    return a.cpu_millis == b.cpu_millis && a.memory_mib == b.memory_mib &&
           a.accelerators == b.accelerators;
  }
  friend bool operator!=(const Resources& a, const Resources& b) { return !(a == b); }

  /// \returns true if no resource of this amount exceeds that of \a capacity.
  bool FitsIn(const Resources& capacity) const;

  /// \returns text such as `500m/1024MiB/0acc`.
  std::string str() const;
};

}  // namespace pistachio
