#include "pistachio/request/caller_request.h"

namespace pistachio {

const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAccepted:
      return "accepted";
    case Outcome::kState:
      return "state";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kPending:
      return "pending";
    case Outcome::kUnknownId:
      return "unknown-id";
    case Outcome::kNoSuchQueue:
      return "no-such-queue";
    case Outcome::kMalformed:
      return "malformed";
    case Outcome::kRejectedForLoad:
      return "turned-away";
    case Outcome::kUnavailable:
      return "unavailable";
    case Outcome::kInDoubt:
      return "in-doubt";
    case Outcome::kConfigurationChanged:
      return "configuration-changed";
  }
  return "unknown";
}

}  // namespace pistachio
