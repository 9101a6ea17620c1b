#include "pistachio/request/store_retries.h"

#include <algorithm>
#include <vector>

#include "pistachio/process/runtime/random.h"

namespace pistachio {

namespace internal {

StoreReply RefusedReply(const char* reason) {
  StoreReply reply;
  reply.status = StoreStatus::kRefused;
  reply.reason = reason;
  return reply;
}

}  // namespace internal

StoreRetries::StoreRetries(const StoreRetrySettings& settings, Callbacks callbacks)
    : settings(settings), callbacks(std::move(callbacks)) {}

CallerDeadline StoreRetries::DeadlineOf(TimePoint arrived_at,
                                        std::chrono::milliseconds caller_wait) const {
  const Duration wait =
      std::clamp(caller_wait, this->settings.min_caller_wait, this->settings.max_caller_wait);
  const auto after = [&](double share) {
    return arrived_at + std::chrono::duration_cast<Duration>(wait * share);
  };
  return {after(this->settings.retry_share), after(this->settings.answer_share)};
}

void StoreRetries::Send(const StoreCall& call, const CallerDeadline& deadline,
                        const Callback& done) {
  PendingCall pending{call, deadline, done, 0, false, internal::RefusedReply("store-away"), {}};
  if (this->end_at) {
    done(internal::RefusedReply("stopping"), false);
  } else if (this->callbacks.is_store_reachable()) {
    this->Attempt(std::move(pending));
  } else if (!WritesKeys(call) &&
             this->callbacks.store_outage_duration() >= deadline.retry_until - this->now) {
    done(pending.last_reply, false);
  } else {
    this->WaitOrFail(std::move(pending), this->settings.first_pause);
  }
}

void StoreRetries::Attempt(PendingCall pending) {
  pending.attempts++;
  const bool write = WritesKeys(pending.call);
  const Duration left = pending.deadline.answer_by - this->now;
  const Duration least = write ? this->settings.min_write_timeout : this->settings.first_pause;
  const Duration timeout = std::clamp(left, least, this->settings.call_timeout);
  const StoreCall call = pending.call;
  const std::uint64_t number = ++this->attempts_sent;
  this->sent_calls.emplace(number, std::move(pending));
  this->callbacks.store(call, timeout,
                        [this, number](const StoreReply& reply) { this->OnReply(number, reply); });
}

void StoreRetries::OnReply(std::uint64_t number, const StoreReply& reply) {
  const auto found = this->sent_calls.find(number);
  if (found == this->sent_calls.end()) {
    return;  // The call has ended in doubt since.
  }
  PendingCall pending = std::move(found->second);
  this->sent_calls.erase(found);
  pending.in_doubt = pending.in_doubt || reply.status == StoreStatus::kUnknown;
  if (reply.status != StoreStatus::kRefused && reply.status != StoreStatus::kUnknown) {
    pending.done(reply, pending.in_doubt);
    return;
  }
  pending.last_reply = reply;
  const std::uint32_t doublings = std::min<std::uint32_t>(pending.attempts - 1, 16);
  const Duration pause =
      std::min(this->settings.max_pause, this->settings.first_pause * (1U << doublings));
  this->WaitOrFail(std::move(pending), pause);
}

void StoreRetries::WaitOrFail(PendingCall pending, Duration pause) {
  pending.retry_at = std::min(this->now + this->Spread(pause), pending.deadline.retry_until);
  if (this->end_at || this->now + this->settings.first_pause > pending.deadline.retry_until ||
      this->waiting_calls.size() >= this->settings.max_waiting) {
    pending.done(pending.last_reply, pending.in_doubt);
    return;
  }
  this->waiting_calls.push_back(std::move(pending));
}

void StoreRetries::BeginStop(TimePoint end_time) {
  this->end_at = end_time;
  for (PendingCall& call : std::exchange(this->waiting_calls, {})) {
    call.done(call.last_reply, call.in_doubt);
  }
}

void StoreRetries::EndSentCalls() {
  for (auto& [number, call] : std::exchange(this->sent_calls, {})) {
    StoreReply reply = internal::RefusedReply("stopping");
    if (WritesKeys(call.call)) {
      // The store may have carried it out, or may do so later.
      reply.status = StoreStatus::kUnknown;
      call.in_doubt = true;
    }
    call.done(reply, call.in_doubt);
  }
}

void StoreRetries::Tick(TimePoint tick_now) {
  this->now = tick_now;
  if (this->end_at) {
    if (tick_now >= *this->end_at) {
      this->EndSentCalls();
    }
    return;
  }
  std::vector<PendingCall> due;
  for (auto call = this->waiting_calls.begin(); call != this->waiting_calls.end();) {
    const auto next = std::next(call);
    if (tick_now >= call->retry_at) {
      due.push_back(std::move(*call));
      this->waiting_calls.erase(call);
    }
    call = next;
  }
  const bool reachable = this->callbacks.is_store_reachable();
  for (PendingCall& call : due) {
    // The process may have been suspended meanwhile, and the caller has left.
    if (tick_now > call.deadline.retry_until + this->settings.first_pause) {
      call.done(call.last_reply, call.in_doubt);
    } else if (reachable) {
      this->Attempt(std::move(call));
    } else {
      this->WaitOrFail(std::move(call), this->settings.first_pause);
    }
  }
}

Duration StoreRetries::Spread(Duration pause) {
  constexpr std::uint64_t kSteps = 1024;
  const std::uint64_t step = StableHash("pause", ++this->spread_count) % kSteps;
  const double share = static_cast<double>(step) / static_cast<double>(kSteps);
  return std::chrono::duration_cast<Duration>(pause * (1.0 + share * this->settings.pause_spread));
}

}  // namespace pistachio
