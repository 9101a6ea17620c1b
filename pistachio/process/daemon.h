#pragma once

/// \file
/// \brief Daemon module: joins the pure machines to threads, ports and the platform.
///
/// - daemon/daemon.h: one entry host
/// - daemon/control_state.h, control_loop.h: all control state, on one thread
/// - daemon/traffic_plane.h: requests between callers, targets and peers
/// - daemon/standing_table.h, route_table.h: drained targets, and where services run

#include "pistachio/process/daemon/control_loop.h"
#include "pistachio/process/daemon/control_state.h"
#include "pistachio/process/daemon/daemon.h"
#include "pistachio/process/daemon/route_table.h"
#include "pistachio/process/daemon/standing_table.h"
#include "pistachio/process/daemon/traffic_plane.h"
