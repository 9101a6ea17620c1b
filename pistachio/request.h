#pragma once

/// \file
/// \brief Request module: what lives for one request: its id, deadline, attempts and outcome.
///
/// - request/types.h: requests, routes and outcomes
/// - request/broker.h: admission, routing, attempts and completion

#include "pistachio/request/broker.h"
#include "pistachio/request/types.h"
