#pragma once

#include <cstdint>

#include "pistachio/request/attempt_budget.h"
#include "pistachio/request/request_queue.h"
#include "pistachio/request/service_router.h"

namespace pistachio::internal {

/// \brief Queue, targets and budget of one service.
struct ServiceState {
  ServiceRouter router;
  RequestQueue queue;
  AttemptBudget budget;
  std::uint32_t in_flight = 0;  ///< attempts that hold a slot
  bool listed = true;           ///< named by the routes
};

}  // namespace pistachio::internal
