#pragma once

/// \file
/// \brief Store module: the interface to the cluster's key-value store.
///
/// - store/calls.h: calls and replies, independent of any wire format
/// - store/revision_clock.h: times at which the store had a revision
/// - store/prefix_mirror.h: a local copy of all keys with a prefix, kept up to date by watches

#include "pistachio/connection/store/calls.h"
#include "pistachio/connection/store/prefix_mirror.h"
#include "pistachio/connection/store/revision_clock.h"
