#include "pistachio/request/decision_records.h"

#include <string>

namespace pistachio::internal {

const char* NameOf(AttemptReason reason) {
  switch (reason) {
    case AttemptReason::kFirst:
      return "first";
    case AttemptReason::kRetry:
      return "retry";
    case AttemptReason::kReroute:
      return "reroute";
    case AttemptReason::kHedge:
      return "hedge";
  }
  return "first";
}

std::string MicrosOf(Duration duration) { return std::to_string(duration.count()); }

std::string ScoreOf(double score) { return std::to_string(static_cast<std::int64_t>(score)); }

std::string TextOf(const std::vector<BeatenTarget>& beaten) {
  std::string text;
  for (const BeatenTarget& other : beaten) {
    text += text.empty() ? "" : ",";
    text += other.target.str() + ":" + std::to_string(other.in_use) + ":" + ScoreOf(other.score);
  }
  return text;
}

EventRecord RoutedRecord(const OpenRequest& request, std::uint32_t attempt,
                         const PickedTarget& picked, AttemptReason reason, TimePoint now) {
  return {EventCode::kRequestRouted,
          {{"request", request.spec.id.str()},
           {"service", request.spec.service.str()},
           {"attempt", std::to_string(attempt)},
           {"target", picked.target.str()},
           {"rack", picked.rack.str()},
           {"reason", NameOf(reason)},
           {"score", ScoreOf(picked.score)},
           {"beat", TextOf(picked.beaten)},
           {"waited_us", MicrosOf(now - request.taken_in)},
           {"left_us", MicrosOf(request.spec.deadline - now)}}};
}

EventRecord QueuedRecord(const OpenRequest& request, std::size_t queue_size) {
  return {EventCode::kRequestQueued,
          {{"request", request.spec.id.str()},
           {"service", request.spec.service.str()},
           {"caller", request.spec.caller.str()},
           {"queued", std::to_string(queue_size)}}};
}

EventRecord RefusedRecord(const RequestSpec& spec, const Outcome& outcome) {
  return {EventCode::kRequestRefused,
          {{"request", spec.id.str()},
           {"service", spec.service.str()},
           {"caller", spec.caller.str()},
           {"outcome", pistachio::NameOf(outcome.kind)},
           {"reason", outcome.reason},
           {"retry_after_us", MicrosOf(outcome.retry_after)}}};
}

EventRecord FinishedRecord(const OpenRequest& request, const Outcome& outcome, TimePoint now) {
  return {EventCode::kRequestFinished,
          {{"request", request.spec.id.str()},
           {"service", request.spec.service.str()},
           {"caller", request.spec.caller.str()},
           {"outcome", pistachio::NameOf(outcome.kind)},
           {"reason", outcome.reason},
           {"attempts", std::to_string(request.tried.size())},
           {"took_us", MicrosOf(now - request.taken_in)}}};
}

EventRecord JoinedRecord(const RequestSpec& spec, std::size_t waiters) {
  return {EventCode::kRequestJoined,
          {{"request", spec.id.str()},
           {"service", spec.service.str()},
           {"waiters", std::to_string(waiters)}}};
}

EventRecord DroppedRecord(const AttemptKey& attempt, const char* why) {
  return {EventCode::kAnswerDropped,
          {{"request", attempt.request.str()},
           {"attempt", std::to_string(attempt.attempt)},
           {"why", why}}};
}

EventRecord ReleasedRecord(const AttemptKey& attempt, const TargetId& target) {
  return {EventCode::kSlotReleasedByBound,
          {{"request", attempt.request.str()},
           {"attempt", std::to_string(attempt.attempt)},
           {"target", target.str()}}};
}

}  // namespace pistachio::internal
