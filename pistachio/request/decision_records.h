#pragma once

#include <vector>

#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/request/open_request.h"
#include "pistachio/request/service_router.h"

namespace pistachio::internal {

/// \name Log records of the decisions on requests.
///@{
EventRecord RoutedRecord(const OpenRequest& request, std::uint32_t attempt,
                         const PickedTarget& picked, AttemptReason reason, TimePoint now);
EventRecord QueuedRecord(const OpenRequest& request, std::size_t queue_size);
EventRecord RefusedRecord(const RequestSpec& spec, const Outcome& outcome);
EventRecord FinishedRecord(const OpenRequest& request, const Outcome& outcome, TimePoint now);
EventRecord JoinedRecord(const RequestSpec& spec, std::size_t waiters);
EventRecord DroppedRecord(const AttemptKey& attempt, const char* why);
EventRecord ReleasedRecord(const AttemptKey& attempt, const TargetId& target);
///@}

}  // namespace pistachio::internal
