#include "pistachio/process/runtime/resources.h"

#include <fmt/format.h>

namespace pistachio {

Resources& Resources::operator+=(const Resources& other) {
  this->cpu_millis += other.cpu_millis;
  this->memory_mib += other.memory_mib;
  this->accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->cpu_millis -= other.cpu_millis;
  this->memory_mib -= other.memory_mib;
  this->accelerators -= other.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& capacity) const {
  return this->cpu_millis <= capacity.cpu_millis && this->memory_mib <= capacity.memory_mib &&
         this->accelerators <= capacity.accelerators;
}

std::string Resources::str() const {
  return fmt::format("{}m/{}MiB/{}acc", this->cpu_millis, this->memory_mib, this->accelerators);
}

}  // namespace pistachio
