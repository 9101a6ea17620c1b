#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/connection/http/http_server.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits that the settings file sets for the handling of runs and submissions.
struct RunLimits {
  std::chrono::milliseconds max_hold{10000};  ///< longest lease that a target gets for its runs
  /// A target ends a run within this time of a stop order.
  std::chrono::milliseconds stop_timeout{1000};
  /// Time for which an ended submission can be queried.
  std::chrono::milliseconds ended_retention{120000};
  /// Time after its acceptance within which every host knows a submission.
  std::chrono::milliseconds submission_visible{3000};
  /// Time after the operators' request for the evacuation of a data centre from which on no run may
  /// start there; nothing if the installation has no evacuations.
  std::optional<std::chrono::milliseconds> evacuation_apply;
  /// Runs that a target which is still cold may have, relative to the mean of the warm targets.
  double cold_overage = 1.5;
  /// Number of runs that a cold target may have in any case.
  double cold_slack = 5.0;
};

/// \brief Limits of the process that the machine sets.
struct ProcessLimits {
  /// The process is killed if it takes more.
  std::size_t memory_bytes = std::size_t{260} * 1024 * 1024;
  std::size_t descriptors = 4100;  ///< file descriptors, those of files and sockets together
};

/// \brief Settings of one host's process, read from its settings file.
struct HostSettings {
  HostId host;                                ///< name of this host
  DataCentreId data_centre;                   ///< data centre of this host
  std::vector<DataCentreId> data_centres;     ///< all data centres of the installation
  ListenAddress caller_address;               ///< address that serves callers' requests
  ListenAddress readiness_address;            ///< address that the load balancer's probes go to
  ListenAddress control_address;              ///< address that serves metrics
  std::string store_address;                  ///< host name or IP address and port of the store
  std::chrono::milliseconds min_lease{1000};  ///< lower bound of the TTL of a store lease
  std::int64_t cpu_millis = 1000;             ///< thousandths of a core that this process may use
  ProcessLimits limits;
  RunLimits bounds;
};

}  // namespace pistachio
