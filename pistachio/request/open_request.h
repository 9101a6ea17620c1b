#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <tuple>
#include <vector>

#include "pistachio/request/types.h"

namespace pistachio {

/// \brief Names one attempt of one request; answers are matched by it.
///
/// A broker never uses an attempt's number again, also not for another try of the same request id.
struct AttemptKey {
  RequestId request;
  std::uint32_t attempt = 0;

  friend bool operator==(const AttemptKey& a, const AttemptKey& b) {
    return a.attempt == b.attempt && a.request == b.request;
  }
  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return std::tie(a.attempt, a.request) < std::tie(b.attempt, b.request);
  }
};

namespace internal {

/// \brief Why an attempt is sent.
enum class AttemptReason {
  kFirst,
  kRetry,    ///< an earlier attempt failed
  kReroute,  ///< no byte of the earlier attempt left
  kHedge,    ///< the earlier attempt takes longer than most
};

/// \brief A caller that waits for a request's outcome.
struct Waiter {
  ArrivalNumber arrival = 0;
  TimePoint deadline;
};

/// \brief A request that was taken in and has no outcome yet.
struct OpenRequest {
  RequestSpec spec;
  TimePoint taken_in;
  std::vector<Waiter> waiters;
  std::vector<std::uint32_t> live;  ///< numbers of attempts that may still answer it
  std::vector<TargetId> tried;
  std::vector<RackId> tried_racks;
  AttemptReason next_reason = AttemptReason::kFirst;  ///< of the attempt that waits in the queue
  bool queued = false;
  bool may_have_run = false;  ///< by an earlier try of the id, or by an attempt that broke
  bool hedged = false;
  std::optional<TimePoint> hedge_at;
  TimePoint deadline_timer;
};

/// \brief An attempt that holds a slot.
struct Flight {
  ServiceId service;
  TargetId target;
  std::uint32_t slot = 0;
  TimePoint sent;
  TimePoint deadline;
  TimePoint release_at;
  bool idempotent = false;
  bool broken = false;  ///< it failed, but may still run at the target
};

}  // namespace internal
}  // namespace pistachio

namespace std {

template <>
struct hash<pistachio::AttemptKey> {
  size_t operator()(const pistachio::AttemptKey& key) const noexcept {
    constexpr size_t kMixer = 0x9e3779b97f4a7c15U;
    return hash<pistachio::RequestId>()(key.request) ^ (key.attempt * kMixer);
  }
};

}  // namespace std
