#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& SettingsEvents() {
  static const std::vector<EventDescription> kEvents = {
      {EventCode::kSettingsInForce, Severity::kInfo, "settings-in-force",
       "A newer version of a subtree is in force on this host; the fields tell whence it came."},
      {EventCode::kSettingsWatchStarted, Severity::kInfo, "settings-watch-started",
       "This host watches the key-value service for its data centre."},
      {EventCode::kSettingsWatchStopped, Severity::kInfo, "settings-watch-stopped",
       "Another host of the data centre watches the key-value service instead."},
      {EventCode::kSettingsWatchFailing, Severity::kWarning, "settings-watch-failing",
       "This host's watch on the key-value service fails; peers are asked meanwhile. Check the "
       "service and the way to it."},
      {EventCode::kSettingsUnreadable, Severity::kError, "settings-unreadable",
       "A record or document cannot be read; what was in force before stays. Apply a sound one."},
      {EventCode::kSettingsForked, Severity::kError, "settings-forked",
       "Two changes carry the same version of a subtree. The service was reset or written past "
       "the tool; apply the wanted document again, as a higher version."},
      {EventCode::kSettingsLowered, Severity::kWarning, "settings-lowered",
       "A value is above its limit and was lowered to it; root and team were changed at the same "
       "moment. Apply a document that keeps the limit."},
      {EventCode::kSettingsAccepted, Severity::kInfo, "settings-accepted",
       "An operator's change is on record."},
      {EventCode::kSettingsRejected, Severity::kInfo, "settings-rejected",
       "An operator's change was refused and never takes effect under this id."},
      {EventCode::kSettingsUnknown, Severity::kWarning, "settings-unknown",
       "It is not known whether an operator's change is on record. Ask again with the same id."},
  };
  return kEvents;
}

}  // namespace pistachio::internal
