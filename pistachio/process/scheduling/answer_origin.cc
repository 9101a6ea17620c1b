#include "pistachio/process/scheduling/answer_origin.h"

#include <chrono>

namespace pistachio {

const char* NameOf(AnswerOrigin origin) {
  switch (origin) {
    case AnswerOrigin::kExpected:
      return "expected";
    case AnswerOrigin::kLater:
      return "later";
    case AnswerOrigin::kUnknown:
      break;
  }
  return "unknown";
}

AnswerOrigin OriginOfAnswer(const ClockAtSending& sent, const std::optional<TargetTime>& reading,
                            TimePoint now) {
  if (!sent.earliest || !reading) {
    return AnswerOrigin::kUnknown;
  }
  if (*reading < *sent.earliest) {
    return AnswerOrigin::kLater;
  }
  // A later incarnation has started after the last reading, so its clock cannot show more.
  const auto longest_since_restart =
      std::chrono::duration_cast<TargetTime>(now - sent.reading_requested_at);
  return *reading > longest_since_restart ? AnswerOrigin::kExpected : AnswerOrigin::kUnknown;
}

}  // namespace pistachio
