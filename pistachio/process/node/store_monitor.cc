#include "pistachio/process/node/store_monitor.h"

namespace pistachio {

namespace internal {

/// Visitor that maps a store call to its kind, as metrics and the traffic-counts event name it.
struct StoreCallName {
  const char* operator()(const ReadKey&) const { return "read"; }
  const char* operator()(const ReadRange&) const { return "range"; }
  const char* operator()(const WatchPrefix&) const { return "watch"; }
  const char* operator()(const Transaction&) const { return "transaction"; }
  const char* operator()(const GrantLease&) const { return "grant"; }
  const char* operator()(const RenewLease&) const { return "renew"; }
  const char* operator()(const EndLease&) const { return "end"; }
};

}  // namespace internal

void StoreMonitor::OnCall(const StoreCall& call) {
  this->calls_by_kind[std::visit(internal::StoreCallName{}, call)]++;
}

void StoreMonitor::OnReply(const StoreReply& reply, TimePoint now) {
  const bool answered =
      reply.status != StoreStatus::kRefused && reply.status != StoreStatus::kUnknown;
  if (answered) {
    if (this->unreachable) {
      this->events.push_back(
          {EventCode::kStoreReachable,
           {{"away-ms", std::to_string((now - this->failing_since).count() / 1000)}}});
    }
    if (now - this->last_answer_at > this->settings.outage_threshold) {
      this->first_answer_at = now;
    }
    this->last_answer_at = now;
    this->consecutive_failures = 0;
    this->unreachable = false;
    return;
  }
  if (this->consecutive_failures == 0) {
    this->failing_since = now;
  }
  this->consecutive_failures++;
  const bool silence_exceeded = now - this->failing_since >= this->settings.silence_threshold;
  if (!this->unreachable &&
      (this->consecutive_failures >= this->settings.failure_threshold || silence_exceeded)) {
    this->unreachable = true;
    this->events.push_back({EventCode::kStoreUnreachable,
                            {{"failures", std::to_string(this->consecutive_failures)},
                             {"answer", NameOf(reply.status)},
                             {"reason", reply.reason}}});
  }
}

}  // namespace pistachio
