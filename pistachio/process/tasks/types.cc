#include "pistachio/process/tasks/types.h"

namespace pistachio {

const char* NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kFinished:
      return "finished";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kEvicted:
      return "evicted";
    case AttemptOutcome::kReturned:
      return "returned";
    case AttemptOutcome::kLost:
      return "lost";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace pistachio
