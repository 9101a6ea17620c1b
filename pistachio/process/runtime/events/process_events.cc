#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& ProcessEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kProcessStarted, Severity::kInfo, "process-started",
       "The daemon has read its settings and opened its ports."},
      {EventCode::kProcessStopping, Severity::kInfo, "process-stopping",
       "A graceful stop began: readiness is withdrawn, units are handed over, requests finish."},
      {EventCode::kProcessStopped, Severity::kInfo, "process-stopped",
       "The daemon is about to exit; the fields name what was left unfinished, if anything."},
      {EventCode::kStoreUnreachable, Severity::kWarning, "store-unreachable",
       "Calls to the key-value service fail. Placing goes on under vouched leases; check the "
       "service."},
      {EventCode::kStoreReachable, Severity::kInfo, "store-reachable",
       "Calls to the key-value service succeed again."},
      {EventCode::kBadInput, Severity::kWarning, "bad-input",
       "A message was malformed or too large and was dropped. Find the sender by the fields."},
      {EventCode::kPeerConnected, Severity::kInfo, "peer-connected",
       "A connection to another entry host is open."},
      {EventCode::kPeerLost, Severity::kWarning, "peer-lost",
       "A connection to another entry host closed or went silent. Check that host if it stays so."},
      {EventCode::kMemberRejoining, Severity::kWarning, "member-rejoining",
       "This host was expelled while it was paused or cut off and joins again as a new member."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
