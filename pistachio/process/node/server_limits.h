#pragma once

#include "pistachio/process/node/host_settings.h"

namespace pistachio {

/// \brief Computes the limits of the server for callers from those of the process.
///
/// An eighth of the memory is for the bytes of requests and an eighth for connections; the rest is
/// for the host's own state. A third of the sockets is for the store, targets and other servers.
HttpServerLimits CallerServerLimits(const ProcessLimits& process);

/// \brief Computes the limits of a server that needs no bodies: readiness probes and metrics.
HttpServerLimits InternalServerLimits();

}  // namespace pistachio
