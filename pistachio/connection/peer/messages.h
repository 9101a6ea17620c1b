#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/connection/lease/membership.h"
#include "pistachio/process/tasks/job_queue.h"
#include "pistachio/process/tasks/rack_controller.h"
#include "pistachio/request/types.h"
#include "pistachio/version/spread_types.h"

namespace pistachio {

/// \brief An assignment on its way to the owner of its rack.
struct PeerAssignment {
  TaskAssignment assignment;
};
/// \brief A withdrawal on its way to the owner of \a rack.
struct PeerWithdrawal {
  RackId rack;
  WithdrawalReceived withdrawal;
};
/// \brief An acknowledgement on its way to the owner of \a rack.
struct PeerEndAcknowledged {
  RackId rack;
  EndAcknowledged acknowledged;
};
/// \brief A confirmation on its way to the owner of \a queue.
struct PeerConfirmation {
  UnitId queue;
  TaskId task;
  AttemptNumber attempt = 1;
};
/// \brief The end of an attempt on its way to the owner of \a queue.
struct PeerEnd {
  UnitId queue;
  AttemptEnd end;
};
/// \brief The room in a rack, told to every member of the data centre.
struct PeerRoom {
  RackRoom room;
};

/// \brief Where a rack's owner has instances of one service.
struct RackServiceTargets {
  ServiceId service;
  std::vector<TargetId> targets;
};
/// \brief The routes of a rack, told by its owner; an older epoch or version changes nothing.
struct PeerRoutes {
  RackId rack;
  Epoch epoch = 0;
  std::uint64_t version = 0;
  std::vector<RackServiceTargets> services;
};
/// \brief The services that a data centre has instances of, told to other data centres.
struct PeerCentreServices {
  DataCentreId data_centre;
  std::vector<ServiceId> services;
};

/// \brief The targets that operators drained, as one versioned record of the data centre.
struct Standings {
  std::uint64_t version = 0;  ///< of the record in the key-value service; only grows
  std::vector<TargetId> drained;
};
/// \brief The newest record of drained targets that the sender knows.
struct PeerStandings {
  Standings standings;
};

/// \brief A caller's request, forwarded to the home of its id or to a data centre that can run it.
struct PeerForward {
  std::uint64_t forward = 0;  ///< names the forwarding; the answer carries it
  /// The id's home stays with the sender: this is one attempt of it, to be run under a new id.
  bool is_attempt = false;
  RequestId id;
  CallerId caller;
  ServiceId service;
  Duration time_left{0};
  bool idempotent = false;
  std::string body;
};
/// \brief The outcome of a forwarded request.
struct PeerForwardAnswer {
  std::uint64_t forward = 0;
  Outcome outcome;
  int status = 0;    ///< status of the target's answer
  std::string body;  ///< the target's whole answer
};

/// \brief An operator's call, passed to the host that owns what it is about.
struct PeerOperatorCall {
  std::uint64_t call = 0;
  std::string method;
  std::string path;
  std::string body;
};
/// \brief The answer to an operator's call.
struct PeerOperatorAnswer {
  std::uint64_t call = 0;
  int status = 0;
  std::string body;
};

/// \brief What is for the control state of another entry host.
using ControlMessage =
    std::variant<Heartbeat, VouchRequest, VouchPromise, UnitMoved, PeerAssignment, PeerWithdrawal,
                 PeerEndAcknowledged, PeerConfirmation, PeerEnd, PeerRoom, PeerRoutes,
                 PeerCentreServices, PeerStandings, PeerOperatorCall, PeerOperatorAnswer,
                 SettingsDigest, SettingsRequest, SettingsUpdate>;

/// \brief What is for the traffic threads of another entry host.
using TrafficMessage = std::variant<PeerForward, PeerForwardAnswer>;

/// \brief Anything that one entry host tells another.
using PeerMessage = std::variant<ControlMessage, TrafficMessage>;

/// \brief Version byte that starts every message; a receiver drops messages of another version.
constexpr char kPeerProtocolVersion = 1;

/// \returns the bytes of a message: the version byte, then CBOR.
std::string EncodePeerMessage(const PeerMessage& message);

/// \brief Reads a message. \returns nothing if it is malformed or of another version.
std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes);

}  // namespace pistachio
