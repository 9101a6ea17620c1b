#include "pistachio/process/runtime/event_catalogue.h"

namespace pistachio::internal {

const std::vector<EventDescription>& TaskEvents() {
  static const std::vector<EventDescription> kEvents = {};
  return kEvents;
}

}  // namespace pistachio::internal
