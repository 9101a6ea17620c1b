#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"

namespace pistachio {

/// \brief Id of a request, handed out by an entry host and naming it as the id's home.
///
/// The home remembers which ids it let through. The incarnation tells whether the home's memory
/// still reaches back to the id.
struct RequestId {
  DataCentreId data_centre;
  MemberId home;
  std::uint64_t number = 0;

  /// \returns `centre.host.incarnation.number`, with the incarnation and number in hexadecimal.
  std::string str() const;
  friend bool operator==(const RequestId& a, const RequestId& b) {
    return a.number == b.number && a.home == b.home && a.data_centre == b.data_centre;
  }
  friend bool operator<(const RequestId& a, const RequestId& b) {
    return std::tie(a.data_centre, a.home, a.number) < std::tie(b.data_centre, b.home, b.number);
  }
};

/// \brief Reads what RequestId::str writes; the data centre's name holds no dot.
/// \returns nothing if \a text is not an id.
std::optional<RequestId> ParseRequestId(const std::string& text);

/// \brief Number of one waiting caller of an entry host; several may wait for the same request id.
using ArrivalNumber = std::uint64_t;

/// \brief A request as its entry host sees it; the body stays with the traffic threads.
struct RequestSpec {
  RequestId id;
  CallerId caller;
  ServiceId service;
  TimePoint deadline;
  bool idempotent = false;
  /// The id was handed out for this very arrival, so no earlier try of it can exist anywhere.
  bool first_use = false;
};

/// \brief What a caller is told.
enum class OutcomeKind {
  kAnswered,        ///< the target's whole answer
  kNotRun,          ///< this request was not run and will not be; it may be sent again
  kUnknown,         ///< it may have run; asking again with the same id is safe
  kDeadlinePassed,  ///< idempotent work ran out of time; it may have run
  kAnsweredBefore,  ///< it ran once and was answered before; the answer is not kept
};

/// \returns the outcome's name in the API, such as `not-run`.
const char* NameOf(OutcomeKind kind);

/// \brief Outcome of a request with its reason, one of request/outcome_reasons.h.
struct Outcome {
  OutcomeKind kind = OutcomeKind::kUnknown;
  std::string reason;
  Duration retry_after{0};  ///< a hint when to try again; 0 for none
};

/// \brief A target that runs an instance of a service, as the router sees it.
struct RouteTarget {
  TargetId target;
  RackId rack;
  std::uint32_t slots = 0;  ///< slots of the target that this entry host may use
  bool leaving = false;     ///< gets no new work
};

/// \brief Where a service runs.
struct ServiceRoute {
  ServiceId service;
  std::vector<RouteTarget> targets;
};

/// \brief How an attempt at a target failed.
enum class AttemptFailure {
  kNotSent,   ///< no byte left for the target
  kRefused,   ///< the target says that it did not run it
  kMaybeRun,  ///< bytes may have left and no whole answer came
};

}  // namespace pistachio

namespace std {

template <>
struct hash<pistachio::RequestId> {
  size_t operator()(const pistachio::RequestId& id) const noexcept {
    constexpr size_t kMixer = 0x9e3779b97f4a7c15U;
    return (id.number * kMixer) ^ id.home.incarnation;
  }
};

}  // namespace std
