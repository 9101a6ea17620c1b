#pragma once

#include <memory>
#include <vector>

#include "pistachio/connection/store.h"
#include "pistachio/process/ownership/cluster_view.h"
#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio {

/// \brief Timing of a host's lease.
struct MembershipSettings {
  /// Time to live of the lease. A longer one delays the detection of a lost host. A shorter one may
  /// expire while the store is slow and takes 250 ms to answer a renewal.
  std::chrono::milliseconds ttl{2000};
  /// Interval between renewals. Three fit into the time to live.
  Duration renew_interval = std::chrono::milliseconds(550);
  /// Timeout of each store call.
  Duration call_timeout = std::chrono::milliseconds(900);
  /// Delay before a failed store call is repeated.
  Duration retry_delay = std::chrono::milliseconds(150);
};

/// \brief Holds this host's lease in the store, with the host's member record attached to it.
class Membership {
 public:
  /// \param self member record of this host
  Membership(MemberRecord self, const MembershipSettings& settings, StorePort store);

  /// \brief Obtains the lease, writes the member record or renews the lease when due.
  void Tick(TimePoint now);

  /// \brief Makes a later tick write the member record again. Until then `lease` returns 0.
  void RegisterAgain() { this->state->registered = false; }

  /// \brief Ends the lease, which removes all keys attached to it at once. Takes no new lease.
  void Leave();

  /// \returns the lease that the member record is attached to, or 0 if there is none.
  std::uint64_t lease() const { return this->state->registered ? this->state->lease : 0; }
  const MemberRecord& self() const { return this->state->self; }
  /// \returns the events logged since the last call.
  std::vector<EventRecord> TakeEvents() { return std::exchange(this->state->events, {}); }

 private:
  /// State that callbacks of store calls may still use after the Membership object is destroyed.
  struct State {
    MemberRecord self;
    std::uint64_t lease = 0;  ///< 0 if there is none
    bool registered = false;  ///< the member record is written
    bool in_flight = false;   ///< a store call has no answer yet
    bool has_left = false;
    TimePoint now{};  ///< time of the last tick
    TimePoint next_call_at{};
    std::vector<EventRecord> events;
  };

  void Grant();
  void Register();
  void Renew();

  MembershipSettings settings;
  StorePort store;
  std::shared_ptr<State> state = std::make_shared<State>();
};

}  // namespace pistachio
