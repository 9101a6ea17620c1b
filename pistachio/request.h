#pragma once

/// \file
/// \brief Request module: what lives for one request: its id, deadline, attempts and outcome.
///
/// - request/types.h: requests, routes and outcomes
/// - request/outcome_reasons.h: the reasons that go with outcomes
/// - request/status.h: HTTP status codes of outcomes
/// - request/id_route.h: which entry host decides on an id
/// - request/target_choice.h: ways to choose among targets
/// - request/counters.h: counters for the metrics
/// - request/broker.h: admission, routing, attempts and completion

#include "pistachio/request/broker.h"
#include "pistachio/request/counters.h"
#include "pistachio/request/id_route.h"
#include "pistachio/request/outcome_reasons.h"
#include "pistachio/request/status.h"
#include "pistachio/request/target_choice.h"
#include "pistachio/request/types.h"
