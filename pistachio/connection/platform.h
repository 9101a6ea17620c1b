#pragma once

/// \file
/// \brief Platform module: narrow adapters to what the platform gives.
///
/// - platform/http_types.h, http_client.h, http_server.h: HTTP out and in
/// - platform/key_value_client.h: the key-value service, over HTTP or in-process
/// - platform/target_client.h: commands and requests to targets, and the list of hosts

#include "pistachio/connection/platform/http_client.h"
#include "pistachio/connection/platform/http_server.h"
#include "pistachio/connection/platform/http_types.h"
#include "pistachio/connection/platform/key_value_client.h"
#include "pistachio/connection/platform/target_client.h"
