#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/runtime/random.h"
#include "pistachio/request/counters.h"
#include "pistachio/request/home_table.h"
#include "pistachio/request/open_request.h"
#include "pistachio/request/service_state.h"
#include "pistachio/request/slot_table.h"
#include "pistachio/request/target_choice.h"
#include "pistachio/request/timer_queue.h"
#include "pistachio/request/types.h"

namespace pistachio {

// ---- Events.

/// \brief A caller waits for the outcome of a request under the number \a arrival.
struct RequestArrived {
  RequestSpec spec;
  ArrivalNumber arrival = 0;
};
/// \brief A whole answer came.
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
  ArrivalNumber arrival = 0;
};
/// \brief All routes; a service that is not named is gone.
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
/// \brief Drop the answer of an attempt that is not wanted any more.
///
/// The connection should be read to its end, since the slot stays taken until the attempt is
/// reported as answered or failed; a cut connection counts as kMaybeRun and keeps the slot longer.
struct AbandonAttempt {
  AttemptKey attempt;
};
/// \brief Tell one waiting caller. For kAnswered, with the answer of \a answered_attempt.
///
/// All callers of one attempt's answer are told in the same call of Handle.
struct CompleteRequest {
  RequestId request;
  Outcome outcome;
  std::uint32_t answered_attempt = 0;
  ArrivalNumber arrival = 0;
};
struct BrokerReport {
  EventRecord event;
};

using BrokerAction = std::variant<SendAttempt, AbandonAttempt, CompleteRequest, BrokerReport>;

/// \brief Bounds of a broker.
struct BrokerLimits {
  std::uint32_t max_queued_per_service = 256;
  std::uint32_t max_attempts = 3;    ///< of one request
  double extra_attempt_share = 0.1;  ///< retries and hedges over first attempts
  double max_ejected_share = 0.34;   ///< of a service's targets
  Duration max_deadline = std::chrono::seconds(30);
  Duration id_memory = std::chrono::minutes(10);  ///< how long a let-through id is remembered
  std::size_t max_remembered_ids = 200000;        ///< the oldest are forgotten first
  /// An attempt that has not ended keeps its slot until this long after its deadline.
  Duration slot_release_bound = std::chrono::milliseconds(500);
  bool hedging = true;
  TargetChoice choice = LatencyAwareChoice{};
};

/// \brief Admits, routes, retries and completes the requests of one entry host.
///
/// Pure: each call gets an event and the time and returns actions. Not thread-safe.
///
/// What it keeps, whatever the order of events:
/// - each arrival gets exactly one CompleteRequest, at the latest at the first call of Handle past
///   its deadline, unless its caller leaves;
/// - a non-idempotent id is sent at most once, but for attempts whose failure proves that nothing
///   ran; ids are remembered for BrokerLimits::id_memory, older ones are never sent;
/// - kNotRun is told only if no try of the id can have run;
/// - attempts in flight at a target never exceed the slots that its route grants.
class RequestBroker {
 public:
  /// \param self this life of the entry host, the home of the ids it hands out
  /// \param now start of the time that ids are counted in
  RequestBroker(DataCentreId data_centre, MemberId self, const BrokerLimits& limits,
                std::uint64_t seed, TimePoint now);

  /// \brief Hands out a request id. Never returns the same id twice.
  RequestId IssueId(TimePoint now);

  std::vector<BrokerAction> Handle(const BrokerEvent& event, TimePoint now);

  /// \returns when to send the next BrokerTick, if any request needs one.
  std::optional<TimePoint> next_wakeup() const;

  /// \returns requests in hand, for a graceful stop.
  std::vector<RequestId> open_requests() const;

  const BrokerCounters& counters() const { return this->counts; }

  /// \returns attempts that hold a slot.
  std::size_t attempts_in_flight() const { return this->flights.size(); }

 private:
  using OpenRequests = std::unordered_map<RequestId, internal::OpenRequest>;
  using Flights = std::unordered_map<AttemptKey, internal::Flight>;

  // broker.cc: arrivals and outcomes.
  void On(const RequestArrived& event);
  void On(const CallerLeft& event);
  void On(const RoutesChanged& event);
  void On(const BrokerTick& event);
  void On(const BrokerStopping& event);
  std::optional<Outcome> OutcomeOfKnownId(const RequestSpec& spec) const;
  std::optional<Outcome> OutcomeOfOwnId(const RequestSpec& spec) const;
  void Join(internal::OpenRequest& request, const RequestArrived& event);
  void Refuse(const RequestArrived& event, const Outcome& outcome);
  Outcome RefusalOf(const RequestSpec& spec, const char* reason, Duration retry_after);
  Duration Jittered(Duration hint);
  bool IsTooShort(const RequestSpec& spec, const internal::ServiceState& service) const;
  std::optional<Outcome> Admit(const RequestSpec& spec, internal::ServiceState& service);
  void RunDeadlines();
  void TellOverdueWaiters(internal::OpenRequest& request);
  Outcome OutcomeAtDeadline(const internal::OpenRequest& request, bool closes) const;
  void Close(RequestId id, const Outcome& outcome, std::uint32_t answered_attempt);
  void SetDeadlineTimer(internal::OpenRequest& request);
  void Report(EventRecord record);
  void Report(std::vector<EventRecord> records);

  // broker_attempts.cc: attempts, retries, hedges and slots.
  void On(const AttemptAnswered& event);
  void On(const AttemptFailed& event);
  bool SendFromPool(internal::OpenRequest& request, internal::ServiceState& service,
                    internal::AttemptReason reason);
  void Send(internal::OpenRequest& request, internal::ServiceState& service,
            const internal::PickedTarget& picked, internal::AttemptReason reason);
  void Enqueue(internal::OpenRequest& request, internal::ServiceState& service);
  void Dispatch(internal::ServiceState& service, const std::optional<TargetId>& freed);
  bool DispatchOne(internal::ServiceState& service, const std::optional<TargetId>& freed);
  bool DropIfTooLate(const internal::OpenRequest& request, internal::ServiceState& service);
  void EndFlight(Flights::iterator flight);
  void FailAttempt(const AttemptKey& key, AttemptFailure failure, bool overloaded);
  void NoteFailure(const internal::Flight& flight, bool overloaded);
  void AfterFailure(internal::OpenRequest& request, AttemptFailure failure);
  bool TryAgain(internal::OpenRequest& request, AttemptFailure failure);
  void AbandonLive(const internal::OpenRequest& request, std::uint32_t except);
  void RunHedges();
  void RunReleases();
  void RunEjections();

  DataCentreId data_centre;
  MemberId self;
  BrokerLimits limits;
  RandomSource random;
  internal::HomeTable home;
  internal::SlotTable slots;
  std::map<ServiceId, internal::ServiceState> services;
  OpenRequests open;
  Flights flights;
  internal::TimerQueue<RequestId> deadlines;
  internal::TimerQueue<RequestId> hedges;
  internal::TimerQueue<AttemptKey> releases;
  std::uint32_t last_attempt = 0;
  bool stopping = false;
  BrokerCounters counts;

  // Valid during one call of Handle.
  TimePoint now;
  std::vector<BrokerAction> actions;
};

}  // namespace pistachio
