#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& ProcessEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kProcessStarted, Severity::kInfo, "process-started",
       "The daemon has read its settings, opened its ports and started."},
      {EventCode::kProcessStopping, Severity::kInfo, "process-stopping",
       "A graceful stop has begun: the host reports that it is not ready, gives up its cells and "
       "answers open requests."},
      {EventCode::kProcessStopped, Severity::kInfo, "process-stopped",
       "The daemon has stopped and is about to exit."},
      {EventCode::kStoreUnreachable, Severity::kWarning, "store-unreachable",
       "Calls to the store fail from this host. New submissions are refused; running tasks keep "
       "their leases for a limited time. Check whether other hosts report the same."},
      {EventCode::kStoreReachable, Severity::kInfo, "store-reachable",
       "The store answers this host again."},
      {EventCode::kBadInput, Severity::kWarning, "bad-input",
       "Requests were refused or connections closed by the limits of this host's servers. The "
       "fields "
       "give the totals since the start of the process; see OPERATIONS.md, Limits for clients."},
      {EventCode::kSettingsReread, Severity::kInfo, "settings-reread",
       "The settings file was read again after a signal. Changed settings take effect only after "
       "a restart."},
      {EventCode::kSettingsRefused, Severity::kError, "settings-refused",
       "The settings file is invalid or a port cannot be opened; the reason says what is wrong. "
       "Correct it and restart."},
      {EventCode::kLogLinesDropped, Severity::kWarning, "log-lines-dropped",
       "Log lines were dropped because they came faster than they could be written."},
      {EventCode::kTrafficCounts, Severity::kInfo, "traffic-counts",
       "Number of calls to the store since the start of the process, by kind, and of orders to "
       "targets since this host took the cell."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
