#pragma once

/// \file
/// \brief Ledger module: a unit's durable, fenced log in the key-value service.
///
/// - ledger/ledger_types.h: limits, events and actions
/// - ledger/ledger.h: the ring of batches, its fence, group commit and snapshots

#include "pistachio/process/ledger/ledger.h"
#include "pistachio/process/ledger/ledger_types.h"
