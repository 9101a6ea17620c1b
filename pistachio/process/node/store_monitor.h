#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pistachio/connection/store.h"
#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio {

/// \brief Thresholds at which the store counts as unreachable.
struct StoreMonitorSettings {
  /// Number of consecutive failed calls at which the store counts as unreachable. The number has to
  /// be above one, because a lost reply makes a single call fail although the store is reachable.
  std::uint32_t failure_threshold = 4;
  /// Time since the first of the consecutive failures after which the next failure makes the store
  /// count as unreachable; longer than a slow answer takes.
  Duration silence_threshold = std::chrono::milliseconds(600);
  /// Time without an answer after which the store may have been down for all its clients. While the
  /// store is up, the host's watches are answered at shorter intervals.
  Duration outage_threshold = std::chrono::milliseconds(1600);
};

/// \brief Tracks whether this host can reach the store, from the outcomes of all store calls.
///
/// A call fails if the store refuses it or sends no complete answer. One answered call makes the
/// store count as reachable again.
class StoreMonitor {
 public:
  explicit StoreMonitor(const StoreMonitorSettings& settings) : settings(settings) {}

  /// \brief Begins to measure the time without an answer. \param now start of the process
  void Start(TimePoint now) { this->last_answer_at = now; }

  /// \brief Counts a call about to be sent.
  void OnCall(const StoreCall& call);

  /// \brief Updates the state with the outcome of a call. \param now time of the reply
  void OnReply(const StoreReply& reply, TimePoint now);

  /// \returns true unless the last calls failed beyond a threshold.
  bool reachable() const { return !this->unreachable; }
  /// \returns the time since the first of the consecutive failures; zero while the store is
  ///   reachable.
  Duration UnreachableFor(TimePoint now) const {
    return this->unreachable ? now - this->failing_since : Duration(0);
  }
  /// \returns the time of the first answer since the store may last have been down; the epoch if it
  ///   was up since Start().
  TimePoint answered_since() const { return this->first_answer_at; }
  /// \returns the number of calls since the start of the process, by kind (`read`, `watch`, ...).
  const std::map<std::string, std::uint64_t>& calls() const { return this->calls_by_kind; }
  /// \brief Removes and returns the events recorded since the last call.
  std::vector<EventRecord> TakeEvents() { return std::exchange(this->events, {}); }

 private:
  StoreMonitorSettings settings;
  std::uint32_t consecutive_failures = 0;  ///< failed calls since the last answered one
  std::map<std::string, std::uint64_t> calls_by_kind;
  TimePoint first_answer_at{};  ///< see answered_since()
  TimePoint last_answer_at{};
  TimePoint failing_since{};  ///< time of the first of the consecutive failures
  bool unreachable = false;
  std::vector<EventRecord> events;
};

}  // namespace pistachio
