#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pistachio/connection/peer/messages.h"
#include "pistachio/connection/platform/http_client.h"
#include "pistachio/connection/platform/http_types.h"
#include "pistachio/connection/platform/target_client.h"
#include "pistachio/process/daemon/caller_request.h"
#include "pistachio/process/daemon/control_types.h"
#include "pistachio/process/daemon/traffic_metrics.h"
#include "pistachio/request/broker.h"
#include "pistachio/request/id_route.h"

namespace pistachio {

/// \brief Bounds and names of a traffic plane.
struct TrafficConfig {
  DataCentreId data_centre;
  MemberId self;
  BrokerLimits limits;
  std::uint64_t seed = 1;
  Duration default_timeout = std::chrono::seconds(1);  ///< of a request that names none
  std::uint32_t remote_slots = 64;                     ///< requests at once to one data centre
};

/// \brief What a traffic plane has others do. Called from several threads, never under its lock.
struct TrafficPorts {
  /// Tells whether the message was handed to a connection.
  std::function<bool(const HostId&, const TrafficMessage&)> send_peer;
  std::function<void(ExchangeId, const ServedAnswer&)> answer;
  std::function<void(const EventRecord&)> report;
  std::function<void()> wake;  ///< a request came in: Tick is wanted soon
};

namespace internal {

/// \brief A caller on this host's own port.
struct HttpCaller {
  ExchangeId exchange = 0;
};

/// \brief Another entry host that passed a request on.
struct PeerCaller {
  HostId peer;
  std::uint64_t forward = 0;
};

/// \brief Whoever waits for an outcome.
struct OutcomeWaiter {
  std::variant<HttpCaller, PeerCaller> caller;
  RequestId id;
  ServiceId service;
  bool idempotent = false;
  TimePoint arrived;
};

/// \brief A request that was passed to the home of its id, or an attempt passed to a data centre.
struct PassedOn {
  std::variant<OutcomeWaiter, AttemptKey> origin;
  TimePoint deadline;
};

}  // namespace internal

/// \brief Joins the request broker to callers, targets and peers. Thread-safe.
///
/// The data path waits for nothing but targets and, for an id whose home is elsewhere, that home.
class TrafficPlane {
 public:
  TrafficPlane(const TrafficConfig& config, TrafficPorts ports, HttpClient& client,
               const Clock& clock, TrafficMetrics& metrics);

  /// \brief Serves one caller's HTTP request; the answer goes to the port, now or later.
  void Serve(const ServedRequest& request);

  void UpdateRoutes(const std::vector<ServiceRoute>& routes,
                    const std::vector<RemoteCentre>& remote,
                    const std::map<TargetId, std::string>& addresses);

  void Take(const HostId& from, const PeerForward& forward);
  void Take(const HostId& from, const PeerForwardAnswer& answer);

  /// \brief Lets deadlines, hedges and probes run; to be called every few milliseconds while there
  /// are requests in hand, and now and then without any.
  void Tick();

  /// \returns whether requests are in hand.
  bool busy() const;

  /// \brief Takes nothing new and finishes what is in hand.
  void BeginStop();

  /// \returns requests that still wait for an outcome.
  std::vector<RequestId> open_requests() const;
  BrokerCounters counters() const;

 private:
  using HttpCaller = internal::HttpCaller;
  using PeerCaller = internal::PeerCaller;
  using OutcomeWaiter = internal::OutcomeWaiter;
  using PassedOn = internal::PassedOn;
  struct Body {
    std::string bytes;
    std::uint32_t waiters = 0;
  };
  struct AnswerToTell {
    OutcomeWaiter waiter;
    Outcome outcome;
    int status = 0;
    std::string body;
  };
  struct AttemptToSend {
    SendAttempt attempt;
    RequestSpec spec;
    std::string body;
    std::string address;
  };
  struct MessageToSend {
    HostId to;
    TrafficMessage message;
    std::uint64_t forward = 0;
    std::vector<HostId> others;  ///< any of these will do, in this order; empty for \a to alone
  };
  /// What is to be done once the lock is released.
  struct Effects {
    std::vector<AnswerToTell> answers;
    std::vector<AttemptToSend> attempts;
    std::vector<MessageToSend> messages;
    std::vector<EventRecord> events;
  };

  RequestId IssueId();
  RequestSpec SpecOf(const CallerRequest& read);
  void Arrive(const RequestSpec& spec, const OutcomeWaiter& waiter, const std::string& body);
  void PassToHome(const ForwardToHome& home, const RequestSpec& spec, const OutcomeWaiter& waiter,
                  const std::string& body, Effects& effects);
  void Admit(const RequestSpec& spec, const OutcomeWaiter& waiter, const std::string& body,
             Effects& effects);
  void Feed(const BrokerEvent& event, const TargetAnswer* answer, Effects& effects);
  void Do(const SendAttempt& action, const TargetAnswer* answer, Effects& effects);
  void Do(const AbandonAttempt& action, const TargetAnswer* answer, Effects& effects);
  void Do(const CompleteRequest& action, const TargetAnswer* answer, Effects& effects);
  void Do(const BrokerReport& action, const TargetAnswer* answer, Effects& effects);
  void SendToCentre(const AttemptToSend& sending, Effects& effects);
  void CarryOut(Effects& effects);
  void Send(const AttemptToSend& sending);
  void SendMessage(const MessageToSend& sending);
  void Tell(const AnswerToTell& answer);
  void EndAttempt(const AttemptKey& attempt, const TargetAnswer& answer);
  void ExpirePassedOn(Effects& effects);

  TrafficConfig config;
  TrafficPorts ports;
  std::reference_wrapper<HttpClient> client;
  Clock clock;
  std::reference_wrapper<TrafficMetrics> metrics;
  mutable std::mutex mutex;
  RequestBroker broker;
  std::map<TargetId, std::string> addresses;
  std::map<DataCentreId, std::vector<HostId>> remote_hosts;
  std::map<ArrivalNumber, OutcomeWaiter> waiters;
  std::unordered_map<RequestId, Body> bodies;
  std::unordered_map<RequestId, RequestSpec> specs;
  std::map<std::uint64_t, PassedOn> passed_on;
  ArrivalNumber next_arrival = 1;
  std::uint64_t next_forward = 1;
};

}  // namespace pistachio
