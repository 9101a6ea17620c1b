#pragma once

/// \file
/// \brief Codec module: JSON and CBOR of what crosses a connection.
///
/// - codec/json_support.h: bounded reading, typed values, ids and lengths of time
/// - codec/store_json.h: calls on the key-value service
/// - codec/task_json.h: jobs, assignments, and what targets are told and tell

#include "pistachio/connection/codec/json_support.h"
#include "pistachio/connection/codec/store_json.h"
#include "pistachio/connection/codec/task_json.h"
