#pragma once

/// \file
/// \brief Store module: the interface to the cluster's key-value store.
///
/// - store/calls.h: calls and replies, independent of any wire format
/// - store/prefix_mirror.h: a local copy of all keys with a prefix, kept up to date by watches

#include "pistachio/connection/store/calls.h"
#include "pistachio/connection/store/prefix_mirror.h"
