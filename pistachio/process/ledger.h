#pragma once

/// \file
/// \brief Ledger module: a fenced, group-committed log in the key-value service.
///
/// - ledger/ledger.h: the ring of deltas, its snapshot and its fence

#include "pistachio/process/ledger/ledger.h"
