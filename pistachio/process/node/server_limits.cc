#include "pistachio/process/node/server_limits.h"

#include <algorithm>

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxCallerConnections = 2048;
constexpr std::size_t kMinCallerConnections = 16;
constexpr std::uint32_t kInternalConnections = 32;
/// Descriptors that the platform reserves for files, and those of two internal servers.
constexpr std::size_t kOtherDescriptors = 200 + 2 * kInternalConnections;

}  // namespace internal

HttpServerLimits CallerServerLimits(const ProcessLimits& process) {
  HttpServerLimits limits;
  limits.threads = 1;
  limits.request_memory_bytes = process.memory_bytes / 8;
  const std::size_t sockets =
      process.descriptors - std::min(process.descriptors, internal::kOtherDescriptors);
  const std::size_t connections =
      std::min({internal::kMaxCallerConnections, sockets - sockets / 3,
                process.memory_bytes / 8 / limits.connection_memory_bytes});
  limits.max_connections =
      static_cast<std::uint32_t>(std::max(internal::kMinCallerConnections, connections));
  return limits;
}

HttpServerLimits InternalServerLimits() {
  HttpServerLimits limits;
  limits.threads = 1;
  limits.max_connections = internal::kInternalConnections;
  limits.max_body_bytes = 0;
  return limits;
}

}  // namespace pistachio
