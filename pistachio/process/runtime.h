#pragma once

/// \file
/// \brief Runtime module: what every other module stands on and what lives as long as the process.
///
/// - ids.h: typed names of hosts, targets, racks, tasks and members
/// - clock.h: the runtime's clock, which tests pause and advance
/// - resources.h: amounts of processors, memory and accelerators
/// - event_catalogue.h, log.h: numbered events and the lines that carry them
/// - bounded_json.h: JSON and CBOR from strangers, read within bounds
/// - random.h: seeded random numbers and stable hashes

#include "pistachio/process/runtime/bounded_json.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/process/runtime/log.h"
#include "pistachio/process/runtime/random.h"
#include "pistachio/process/runtime/resources.h"
