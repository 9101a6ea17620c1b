#pragma once

/// \file
/// \brief Store module: the calls on the platform's key-value service, as data.
///
/// - store/calls.h: typed calls and replies
/// - store/cbor.h: values as CBOR, for the modules that keep records
/// - store/fake_store.h: an in-process store with faults, for tests, benches and the stand-in

#include "pistachio/connection/store/calls.h"
#include "pistachio/connection/store/fake_store.h"
