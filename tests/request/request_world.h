#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "pistachio/request.h"

namespace pistachio::testing {

/// \brief What becomes of one attempt on its way to a target and back.
enum class Fate {
  kAnswered,         ///< runs, and its answer arrives
  kLostBefore,       ///< the connection is refused: no byte leaves
  kRefused,          ///< the target says that it did not run it
  kOverloaded,       ///< the target says that it has no room
  kCutBefore,        ///< bytes left, the target never ran it, the connection breaks
  kCutAfter,         ///< runs, the connection breaks before the answer
  kAnsweredTwice,    ///< runs, its answer arrives twice
  kAnsweredLate,     ///< runs, its answer arrives past the deadline
  kNeverHeard,       ///< runs, nothing ever comes back
  kFailsAndAnswers,  ///< runs, breaks, and its answer arrives all the same
};

constexpr int kFateCount = 10;

/// \brief Entry hosts with real brokers; targets that count their own runs; callers that count
/// their outcomes. What the outcomes must be is judged by these counts alone.
class RequestWorld {
 public:
  static constexpr std::uint32_t kHosts = 2;
  static constexpr std::uint32_t kTargets = 4;
  static constexpr std::uint32_t kSlots = 2;

  explicit RequestWorld(std::uint64_t seed, Duration slot_release_bound);

  /// \brief A caller sends a new request at \a host. \returns its index.
  std::size_t SendNew(std::uint32_t host, bool idempotent, Duration within);
  /// \brief The caller of \a request sends it again, with its id, at \a host.
  /// \param home_reachable whether \a host can forward to the home of the id
  void SendAgain(std::size_t request, std::uint32_t host, Duration within, bool home_reachable);
  /// \brief The caller of \a request's first try goes away.
  void Leave(std::size_t request);
  /// \brief Decides on the oldest attempt on its way, at whichever target.
  void Resolve(Fate fate);
  /// \brief Delivers the oldest message that was held back.
  void DeliverHeld();
  /// \brief A host's process dies with all it knew; a new life starts at once.
  void RestartHost(std::uint32_t host);
  /// \brief Changes how many of its slots a host may use at a target, and whether it leaves.
  void SetSlots(std::uint32_t host, std::uint32_t target, std::uint32_t slots, bool leaving);
  void Stop(std::uint32_t host);
  void Advance(Duration step);

  /// \brief Ends all attempts and lets all deadlines pass.
  void Settle();

  /// \returns what is wrong with what was seen so far; empty if nothing is.
  const std::vector<std::string>& faults() const { return this->found; }
  /// \brief Checks that every try got its outcome. \pre Settle was called.
  void CheckSettled();

  std::size_t request_count() const { return this->requests.size(); }
  std::size_t attempts_underway() const { return this->underway.size(); }
  const std::map<OutcomeKind, std::size_t>& outcome_counts() const { return this->outcomes; }
  /// \returns the outcome told to the first try of \a request, if any.
  std::optional<OutcomeKind> first_outcome(std::size_t request) const;

 private:
  struct Request {
    RequestSpec spec;
    ArrivalNumber first_try = 0;
    ArrivalNumber last_try = 0;
    std::size_t runs = 0;
    std::size_t may_run = 0;    ///< attempts on their way, and those that may have run
    bool told_not_run = false;  ///< true until it is sent again
  };
  struct Try {
    std::size_t request = 0;
    std::uint32_t host = 0;
    TimePoint deadline;
    std::optional<OutcomeKind> outcome;
    bool left = false;
    bool host_died = false;
  };
  struct Host {
    std::uint64_t incarnation = 0;
    std::optional<RequestBroker> broker;
    std::vector<std::uint32_t> slots;
    std::vector<bool> leaving;
  };
  struct Attempt {
    std::uint32_t host = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t target = 0;
    SendAttempt sent;
  };
  struct Held {
    Attempt attempt;
    bool ends_run = false;
    BrokerEvent event;
  };

  void StartHost(std::uint32_t host);
  void SendRoutes(std::uint32_t host);
  void Arrive(std::size_t request, std::uint32_t host, const RequestSpec& spec);
  void Feed(std::uint32_t host, const BrokerEvent& event);
  void OnSend(std::uint32_t host, const SendAttempt& sent);
  void OnComplete(const CompleteRequest& complete);
  void CheckNotRun(Request& request, ArrivalNumber arrival);
  void ResolveAt(std::size_t index, Fate fate);
  void ResolveOverdue();
  void Run(const Attempt& attempt);
  void Return(const Attempt& attempt, const BrokerEvent& event);
  void EndRun(const Attempt& attempt);
  std::size_t CountRunning(std::uint32_t host, std::uint32_t target) const;
  std::optional<TimePoint> NextInstant() const;
  Request& RequestOf(const Attempt& attempt);
  void Fault(const std::string& text);

  Duration slot_release_bound;
  std::uint64_t seed;
  std::uint64_t last_incarnation = 0;
  TimePoint now{std::chrono::hours(1)};
  ArrivalNumber last_arrival = 0;
  std::vector<Host> hosts;
  std::vector<Request> requests;
  std::map<RequestId, std::size_t> request_of;
  std::map<ArrivalNumber, Try> tries;
  std::vector<Attempt> underway;
  std::vector<Held> held;
  std::vector<Attempt> running;                               ///< what targets may still work on
  std::set<std::pair<std::uint64_t, std::uint32_t>> answers;  ///< by life and attempt, delivered
  std::map<OutcomeKind, std::size_t> outcomes;
  std::vector<std::string> found;
};

}  // namespace pistachio::testing
