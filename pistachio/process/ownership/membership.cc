#include "pistachio/process/ownership/membership.h"

#include "pistachio/process/ownership/store_keys.h"

namespace pistachio {

Membership::Membership(MemberRecord self, const MembershipSettings& settings, StorePort store)
    : settings(settings), store(std::move(store)) {
  this->state->self = std::move(self);
}

void Membership::Tick(TimePoint now) {
  State& state = *this->state;
  state.now = now;
  if (state.has_left || state.in_flight || now < state.next_call_at) {
    return;
  }
  state.in_flight = true;
  state.next_call_at = now + this->settings.renew_interval;
  if (state.lease == 0) {
    this->Grant();
  } else if (!state.registered) {
    this->Register();
  } else {
    this->Renew();
  }
}

void Membership::Leave() {
  State& state = *this->state;
  state.has_left = true;
  if (state.lease != 0) {
    this->store(EndLease{state.lease}, this->settings.call_timeout, [](const StoreReply&) {});
  }
  state.lease = 0;
  state.registered = false;
}

void Membership::Grant() {
  this->store(
      GrantLease{this->settings.ttl}, this->settings.call_timeout,
      [state = this->state, retry_delay = this->settings.retry_delay](const StoreReply& reply) {
        state->in_flight = false;
        const bool granted = reply.status == StoreStatus::kOk && reply.lease != 0;
        state->lease = granted ? reply.lease : 0;
        state->next_call_at = granted ? state->now : state->now + retry_delay;
      });
}

void Membership::Register() {
  Transaction put;
  put.puts.push_back(Put{store_keys::Member(this->state->self.host),
                         EncodeRecord(this->state->self), this->state->lease});
  this->store(
      put, this->settings.call_timeout,
      [state = this->state, retry_delay = this->settings.retry_delay](const StoreReply& reply) {
        state->in_flight = false;
        if (reply.status == StoreStatus::kOk) {
          state->registered = true;
          state->events.push_back(
              {EventCode::kLeaseHeld, {{"lease", std::to_string(state->lease)}}});
        } else if (reply.status == StoreStatus::kMissing) {
          state->lease = 0;
        }
        if (!state->registered) {
          state->next_call_at = state->now + retry_delay;
        }
      });
}

void Membership::Renew() {
  this->store(
      RenewLease{this->state->lease}, this->settings.call_timeout,
      [state = this->state, retry_delay = this->settings.retry_delay](const StoreReply& reply) {
        state->in_flight = false;
        if (reply.status == StoreStatus::kMissing) {
          state->events.push_back(
              {EventCode::kLeaseLapsed, {{"lease", std::to_string(state->lease)}}});
          state->lease = 0;
          state->registered = false;
          state->next_call_at = state->now;
        } else if (reply.status != StoreStatus::kOk) {
          state->next_call_at = state->now + retry_delay;
        }
      });
}

}  // namespace pistachio
