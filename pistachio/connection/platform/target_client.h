#pragma once

#include <functional>
#include <string>
#include <vector>

#include "pistachio/connection/platform/http_client.h"
#include "pistachio/process/tasks/types.h"
#include "pistachio/request/types.h"

namespace pistachio {

/// \brief Sends commands and requests to targets over HTTP.
class TargetClient {
 public:
  using CommandCallback = std::function<void(const CommandAnswer&)>;

  explicit TargetClient(HttpClient& client);

  /// \brief Sends \a command under \a epoch to the target at \a address.
  void SendCommand(const std::string& address, Epoch epoch, const TargetCommand& command,
                   Duration timeout, CommandCallback callback);

 private:
  std::reference_wrapper<HttpClient> client;
};

/// \brief What a target said about a request.
struct TargetAnswer {
  std::optional<AttemptFailure> failure;  ///< nothing if it answered in full
  std::string reason;
  int status = 0;
  std::string body;
};

/// \brief A request on its way to a target.
struct TargetRequest {
  std::string address;
  RequestId id;
  std::uint32_t attempt = 1;
  ServiceId service;
  std::string body;
  Duration time_left{0};
  bool idempotent = false;
};

/// \brief Sends a request to a target; \a callback runs once, on the client's thread.
void SendRequestToTarget(HttpClient& client, const TargetRequest& request,
                         std::function<void(const TargetAnswer&)> callback);

/// \brief What the platform's lagging list says.
struct PlatformHosts {
  std::vector<std::pair<HostId, DataCentreId>> entry_hosts;
  std::vector<TargetListing> targets;
};

/// \brief Reads the platform's list. \a callback gets nothing if it cannot be read.
void FetchPlatformHosts(HttpClient& client, const std::string& url,
                        std::function<void(const std::optional<PlatformHosts>&)> callback);

}  // namespace pistachio
