#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/request/types.h"

namespace pistachio {

/// \brief Names one attempt of one request; answers are matched by it.
struct AttemptKey {
  RequestId request;
  std::uint32_t attempt = 0;
};

// ---- Events.

struct RequestArrived {
  RequestSpec spec;
};
/// \brief A whole answer came; \a latency is that of the attempt.
struct AttemptAnswered {
  AttemptKey attempt;
  bool overloaded = false;  ///< the target answered that it had no room and did not run it
};
struct AttemptFailed {
  AttemptKey attempt;
  AttemptFailure failure = AttemptFailure::kMaybeRun;
};
/// \brief The caller closed its connection.
struct CallerLeft {
  RequestId request;
};
struct RoutesChanged {
  std::vector<ServiceRoute> routes;
};
struct BrokerTick {};
/// \brief The process is stopping: finish what is in hand, take nothing new.
struct BrokerStopping {};

using BrokerEvent = std::variant<RequestArrived, AttemptAnswered, AttemptFailed, CallerLeft,
                                 RoutesChanged, BrokerTick, BrokerStopping>;

// ---- Actions.

/// \brief Send an attempt to a target; give up at the deadline.
struct SendAttempt {
  AttemptKey attempt;
  TargetId target;
  TimePoint deadline;
};
/// \brief Drop an attempt that is not wanted any more; its slot stays taken until it has ended.
struct AbandonAttempt {
  AttemptKey attempt;
};
/// \brief Tell the caller. For kAnswered, with the answer of \a answered_attempt.
struct CompleteRequest {
  RequestId request;
  Outcome outcome;
  std::uint32_t answered_attempt = 0;
};
struct BrokerReport {
  EventRecord event;
};

using BrokerAction = std::variant<SendAttempt, AbandonAttempt, CompleteRequest, BrokerReport>;

/// \brief Bounds of a broker.
struct BrokerLimits {
  std::uint32_t max_queued_per_service = 256;
  std::uint32_t max_attempts = 3;    ///< of an idempotent request
  double extra_attempt_share = 0.1;  ///< retries and hedges over first attempts
  Duration max_deadline = std::chrono::seconds(30);
  Duration id_memory = std::chrono::minutes(10);  ///< how long a let-through id is remembered
};

/// \brief Admits, routes, retries and completes the requests of one entry host. Pure.
class RequestBroker {
 public:
  RequestBroker(const BrokerLimits& limits, std::uint64_t seed);

  std::vector<BrokerAction> Handle(const BrokerEvent& event, TimePoint now);

  /// \returns when to send the next BrokerTick, if any request needs one.
  std::optional<TimePoint> next_wakeup() const;

  /// \returns requests in hand, for a graceful stop.
  std::vector<RequestId> open_requests() const;
};

}  // namespace pistachio
