#pragma once

#include <cstdint>
#include <optional>

#include "pistachio/process/runtime/clock.h"

namespace pistachio::internal {

/// \brief What an answer or a failure says about a target.
enum class HealthVerdict {
  kFine,
  kOutlier,    ///< it should be ejected, if the bounded share allows
  kRecovered,  ///< it has answered its probes well
};

/// \brief Latency, concurrency limit, slow start and ejection of one target for one service.
///
/// The limit grows by additive increase with good answers and shrinks by a factor on overload, on
/// failures and when the latency leaves the service's typical one. A target that is new, or back
/// from ejection, starts with a limit of one attempt.
class TargetHealth {
 public:
  /// \brief Takes an answer in.
  /// \param typical the service's median latency, if it is known yet
  HealthVerdict OnAnswer(Duration latency, std::optional<Duration> typical, std::uint32_t slots);

  /// \brief Takes a failure in: nothing came back, or the target refused without being full.
  HealthVerdict OnFailure();

  /// \brief The target had no room: its limit shrinks, which is no fault of it.
  void OnOverload();

  /// \brief No new work until the returned instant; longer with each ejection in a row.
  TimePoint Eject(TimePoint now);

  /// \brief Ends an ejection whose time is over; the target is probed from now on.
  void StartProbing();

  bool ejected() const { return this->ejected_until.has_value(); }
  std::optional<TimePoint> ejection_end() const { return this->ejected_until; }
  bool probing() const { return this->probes_left > 0; }
  /// \returns whether the target has answered too seldom for its latency to be known.
  bool learning() const;

  /// \returns how many attempts may be in flight, at most \a slots.
  std::uint32_t ConcurrencyLimit(std::uint32_t slots) const;

  /// \returns the expected latency relative to others with \a attempts attempts in flight there.
  double Score(std::uint32_t attempts, std::optional<Duration> typical) const;

 private:
  double latency_us = 0.0;  ///< moving average
  std::uint32_t samples = 0;
  std::uint32_t failures_in_a_row = 0;
  std::uint32_t ejections_in_a_row = 0;
  std::uint32_t probes_left = 0;
  double limit = 1.0;  ///< attempts in flight
  std::optional<TimePoint> ejected_until;
};

}  // namespace pistachio::internal
