#pragma once

/// \file
/// \brief Request module: types and steps of handling one caller's request.
///
/// - request/caller_request.h: requests of callers, and the answers to them
/// - request/cell_choice.h: choice of the cell for a new submission
/// - request/request_handler.h: handles requests by reading and writing the store
/// - request/return_schedule.h: when refused callers should come back
/// - request/store_retries.h: repeats store calls within the time that a caller waits

#include "pistachio/request/caller_request.h"
#include "pistachio/request/cell_choice.h"
#include "pistachio/request/request_handler.h"
#include "pistachio/request/return_schedule.h"
#include "pistachio/request/store_retries.h"
