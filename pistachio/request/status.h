#pragma once

#include "pistachio/request/types.h"

namespace pistachio {

/// \brief HTTP status code for an outcome other than kAnswered, which has the target's own.
///
/// Clients repeat a request of their own accord on 502, 503 and 504. So these codes stand only
/// where a repeat, also under a new id, is harmless: nothing ran, or the request is idempotent.
int HttpStatusOf(const Outcome& outcome, bool idempotent);

/// \returns the hint for a Retry-After header: whole seconds, rounded up, or 0 for no header.
std::chrono::seconds RetryAfterOf(const Outcome& outcome);

}  // namespace pistachio
