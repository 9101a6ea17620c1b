#pragma once

/// \file
/// \brief HTTP module: a client built on libcurl and a server built on libmicrohttpd.

#include "pistachio/connection/http/http_client.h"
#include "pistachio/connection/http/http_server.h"
#include "pistachio/connection/http/http_types.h"
