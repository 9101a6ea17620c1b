#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <utility>

#include "pistachio/connection/store.h"

namespace pistachio {

/// \brief Timeouts and pauses of the store calls that a caller waits for.
struct StoreRetrySettings {
  /// Timeout of one store call. The store answers within milliseconds, and within 250 ms when it is
  /// slow.
  Duration call_timeout = std::chrono::milliseconds(700);
  /// Shortest timeout of a write. A shorter one would leave a write in doubt that a slow store
  /// answers.
  Duration min_write_timeout = std::chrono::milliseconds(300);
  /// Pause after the first failed attempt. Each further pause is twice as long, up to the longest.
  Duration first_pause = std::chrono::milliseconds(50);
  /// With 400 ms, 2 % of the calls were refused by a store that refused half of all calls.
  Duration max_pause = std::chrono::milliseconds(200);
  /// Share by which pauses are lengthened at most. Requests that failed together are spread by it.
  double pause_spread = 0.5;
  /// Share of the time that the caller waits after which no attempt is begun.
  double retry_share = 0.7;
  /// Share of the time that the caller waits after which attempts time out. The rest is left for
  /// the way of the answer to the caller.
  double answer_share = 0.9;
  /// Bounds of the time that a caller may state, so that a request neither fails at the first slow
  /// answer nor occupies memory for long.
  std::chrono::milliseconds min_caller_wait{500};
  std::chrono::milliseconds max_caller_wait{10000};
  /// Largest number of calls that wait for their next attempt. A call holds a submission of some
  /// 20 KB at most, so that a full list stays far below the memory limit of a host.
  std::size_t max_waiting = 256;
};

/// \brief Times until which a caller's request may be worked on.
struct CallerDeadline {
  TimePoint retry_until;  ///< the last attempt begins at the first tick after this time
  TimePoint answer_by;    ///< store calls time out by then
};

/// \brief Repeats store calls that a caller waits for until the store has decided them.
///
/// Designed for a store that refuses a part of its calls for some seconds, or all of them for a
/// moment: a refused caller may not come back. A call that the store refuses or does not answer is
/// sent again after a growing pause. While the store is unreachable, nothing is sent, so that no
/// write becomes in doubt. If the outage has already lasted longer than the caller waits, a read
/// fails at once, since an outage is expected to last as long again as it has lasted. A write waits
/// all the same: its failure promises the caller nothing, so the caller would only ask again.
class StoreRetries {
 public:
  /// Functions of the process that the repetitions depend on.
  struct Callbacks {
    StorePort store;
    std::function<bool()> is_store_reachable;
    /// Returns the length of the store outage; zero while the store is reachable.
    std::function<Duration()> store_outage_duration;
  };
  /// Receives the last reply, and whether the call is a write that an earlier or the last attempt
  /// left in doubt.
  using Callback = std::function<void(const StoreReply& reply, bool in_doubt)>;

  StoreRetries(const StoreRetrySettings& settings, Callbacks callbacks);

  /// \returns the times for a request that arrived at \a arrived_at, whose caller waits for
  ///   \a caller_wait for the answer.
  CallerDeadline DeadlineOf(TimePoint arrived_at, std::chrono::milliseconds caller_wait) const;

  /// \brief Sends \a call until the store has decided it.
  ///
  /// A write has to be harmless when it is executed twice.
  /// \param done called exactly once, before or after this function returns; the status is kRefused
  ///   or kUnknown if the store has not decided the call in time
  void Send(const StoreCall& call, const CallerDeadline& deadline, const Callback& done);

  /// \brief Sends the calls whose pause has ended.
  void Tick(TimePoint now);

  /// \brief Repeats no call and sends no new one from now on.
  ///
  /// Calls that wait for their next attempt end at once. Those that the store has not answered by
  /// the first tick at or after \a end_at end then; a write among them is in doubt.
  void BeginStop(TimePoint end_at);

  /// \returns the number of calls that wait for their next attempt.
  std::size_t waiting() const { return this->waiting_calls.size(); }
  /// \returns the number of calls that have not ended.
  std::size_t open() const { return this->waiting_calls.size() + this->sent_calls.size(); }

 private:
  struct PendingCall {
    StoreCall call;
    CallerDeadline deadline;
    Callback done;
    std::uint32_t attempts = 0;
    bool in_doubt = false;
    StoreReply last_reply;
    TimePoint retry_at{};
  };

  void Attempt(PendingCall pending);
  void OnReply(std::uint64_t number, const StoreReply& reply);
  /// Lets the call wait for its next attempt, or ends it if there is none.
  void WaitOrFail(PendingCall pending, Duration pause);
  /// Ends the calls that the store has not answered.
  void EndSentCalls();
  /// Returns \a pause, lengthened by a share that differs between calls.
  Duration Spread(Duration pause);

  StoreRetrySettings settings;
  Callbacks callbacks;
  TimePoint now{};  ///< time of the last tick
  std::uint64_t spread_count = 0;
  std::list<PendingCall> waiting_calls;
  std::uint64_t attempts_sent = 0;                  ///< also the number of the last attempt
  std::map<std::uint64_t, PendingCall> sent_calls;  ///< by the number of their open attempt
  std::optional<TimePoint> end_at;                  ///< see BeginStop()
};

}  // namespace pistachio
