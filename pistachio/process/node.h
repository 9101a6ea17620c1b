#pragma once

/// \file
/// \brief Node module: the control state of one host and the daemon that runs it.
///
/// - node/host_settings.h: settings that one process reads from its settings file
/// - node/store_monitor.h: tracks whether this host can reach the store
/// - node/node.h: the control state, single-threaded; performs no input or output itself
/// - node/daemon.h: the threads and sockets that drive the control state

#include "pistachio/process/node/daemon.h"
#include "pistachio/process/node/host_settings.h"
#include "pistachio/process/node/node.h"
#include "pistachio/process/node/store_monitor.h"
