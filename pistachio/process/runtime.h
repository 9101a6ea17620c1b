#pragma once

/// \file
/// \brief Runtime module: basic types and process-wide services that all other modules use.
///
/// - ids.h: strongly typed names of hosts, targets, racks, data centres, teams, jobs and services
/// - clock.h: the process's monotonic clock and a manual clock for tests
/// - resources.h: amounts of CPU, memory and accelerators
/// - event_catalogue.h, log.h: numbered events and the log that they are written to
/// - bounded_json.h: parsers for untrusted JSON and CBOR that limit nesting and length
/// - random.h: seeded random numbers and stable hashes

#include "pistachio/process/runtime/bounded_json.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/process/runtime/log.h"
#include "pistachio/process/runtime/random.h"
#include "pistachio/process/runtime/resources.h"
