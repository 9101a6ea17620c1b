#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/connection/lease/membership.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/version/settings.h"

namespace pistachio {

/// \brief Another entry host and where it listens for peers.
struct PeerAddress {
  HostId host;
  DataCentreId data_centre;
  std::string address;  ///< IP number and port
};

/// \brief What one daemon reads from its own settings file at its start.
struct DaemonSettings {
  HostId host;
  DataCentreId data_centre;
  std::string callers_address;  ///< IP number and port, like the next two
  std::string peers_address;
  std::string operators_address;  ///< operators' API and metrics
  std::string store_url;
  std::string host_list_url;
  std::vector<PeerAddress> peers;         ///< the own data centre's other entry hosts
  std::vector<PeerAddress> remote_peers;  ///< entry hosts of other data centres
  std::string peer_secret_file;           ///< empty for none
  std::string operator_tokens_file;       ///< empty for none
  std::size_t max_body_bytes = 0;
  Duration max_deadline{0};
  std::size_t max_waiting_requests = 0;
  LeaseTiming lease;
  std::uint32_t traffic_threads = 1;
};

/// \brief Reads and checks a daemon's settings in full.
///
/// \param text the document
/// \param file its name, for the errors
/// \param errors gets every reason for a refusal, in line order, a bounded number of them
/// \returns nothing if \a errors got any
std::optional<DaemonSettings> ParseDaemonSettings(const std::string& text, const std::string& file,
                                                  std::vector<SettingsError>* errors);

}  // namespace pistachio
