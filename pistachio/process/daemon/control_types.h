#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/connection/lease/membership.h"
#include "pistachio/connection/peer/messages.h"
#include "pistachio/connection/platform/target_client.h"
#include "pistachio/connection/store/calls.h"
#include "pistachio/process/ledger/ledger.h"
#include "pistachio/process/policy/policy.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/tasks/rack_controller.h"
#include "pistachio/process/tasks/types.h"
#include "pistachio/request/types.h"

namespace pistachio {

// ---- Who made a store call, so that its reply finds the way back.

struct MembershipOrigin {};
/// \brief The ledger of a unit, in the life that began with \a epoch.
struct LedgerOrigin {
  UnitId unit;
  Epoch epoch = 0;
};
struct StandingsOrigin {};
struct SettingsOrigin {};
/// \brief The claim of a job for this data centre, made for an operator's call.
struct JobClaimOrigin {};

using StoreOrigin =
    std::variant<MembershipOrigin, LedgerOrigin, StandingsOrigin, SettingsOrigin, JobClaimOrigin>;

// ---- Events of the control state.

struct StoreCallAnswered {
  StoreOrigin origin;
  std::uint64_t call = 0;
  StoreReply reply;
};
struct PeerMessageArrived {
  HostId from;
  ControlMessage message;
};
struct PeerLinkChanged {
  HostId peer;
  bool open = false;
};
struct PlatformHostsFetched {
  PlatformHosts hosts;
};
/// \brief A target answered a command of the rack's owner of \a epoch.
struct CommandFinished {
  UnitId unit;
  Epoch epoch = 0;
  std::uint64_t command = 0;
  CommandAnswer answer;
};
/// \brief An operator's call came in at this host.
struct OperatorCalled {
  std::uint64_t call = 0;
  std::string method;
  std::string path;
  std::string body;
  std::string version = {};       ///< query argument; empty if there is none
  std::string token = {};         ///< never logged, never told to peers
  std::string file_subtree = {};  ///< what the daemon's own file binds the token to, if it does
};
struct ControlTick {};
/// \brief Hand everything over and leave.
struct StopRequested {};

using ControlEvent =
    std::variant<StoreCallAnswered, PeerMessageArrived, PeerLinkChanged, PlatformHostsFetched,
                 CommandFinished, OperatorCalled, ControlTick, StopRequested>;

/// \brief A command on its way to a target.
struct OutgoingCommand {
  UnitId unit;
  Epoch epoch = 0;
  std::uint64_t command_id = 0;
  std::string address;
  TargetCommand command;
  std::optional<TimePoint> not_after;  ///< not sent from this instant on
};

/// \brief Where another data centre's services can be reached.
struct RemoteCentre {
  DataCentreId data_centre;
  std::vector<HostId> hosts;
  std::vector<ServiceId> services;
};

/// \brief What the control state has others do. Each may be called on the control thread only.
struct ControlPorts {
  std::function<void(const StoreOrigin&, std::uint64_t call, StoreRole, const StoreCall&)>
      call_store;
  std::function<void(const HostId&, const ControlMessage&)> send_peer;
  std::function<void(const OutgoingCommand&)> send_command;
  std::function<void(const std::vector<ServiceRoute>&, const std::vector<RemoteCentre>&,
                     const std::map<TargetId, std::string>& addresses)>
      publish_routes;
  std::function<void(std::uint64_t call, int status, const std::string& body)> answer_operator;
  std::function<void(const EventRecord&)> report;
  std::function<std::uint64_t()> new_incarnation;  ///< unlike any before
  std::function<void()> left;  ///< every unit is handed over and the lease released
};

/// \brief What the control state is told at its start.
struct ControlConfig {
  DataCentreId data_centre;
  MemberId self;
  std::vector<HostId> peers;  ///< of the same data centre
  std::map<HostId, DataCentreId> remote_peers;
  LeaseTiming lease;
  LedgerLimits ledger;
  RackLimits rack;
  Policy policy = LeastCommittedPolicy{};
  std::uint32_t queues = 2;  ///< shares of the data centre's job queue
};

}  // namespace pistachio
