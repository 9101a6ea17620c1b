#pragma once

/// \file
/// \brief Ownership module: assigns each cell to one host by leases and conditional writes.
///
/// - ownership/store_keys.h: keys of the store
/// - ownership/cell_layout.h: division of targets into cells
/// - ownership/membership.h: lease and member record of this host
/// - ownership/cluster_view.h: mirrored records of hosts, owners and loads
/// - ownership/pending_count.h: number of waiting submissions, from the load records
/// - ownership/departures.h: submissions that move between two counts
/// - ownership/owner_choice.h: ranking of hosts that may own a cell
/// - ownership/cell_ownership.h: takes, loads, commits and releases one cell
/// - ownership/unowned_cell.h: waiting submissions of a cell that no host can take

#include "pistachio/process/ownership/cell_layout.h"
#include "pistachio/process/ownership/cell_ownership.h"
#include "pistachio/process/ownership/cluster_view.h"
#include "pistachio/process/ownership/departures.h"
#include "pistachio/process/ownership/membership.h"
#include "pistachio/process/ownership/pending_count.h"
#include "pistachio/process/ownership/store_keys.h"
#include "pistachio/process/ownership/unowned_cell.h"
