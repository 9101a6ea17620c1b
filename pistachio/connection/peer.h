#pragma once

/// \file
/// \brief Peer module: what entry hosts tell each other and how it travels.
///
/// - peer/messages.h: the messages and their bytes
/// - peer/hub.h: connections between entry hosts

#include "pistachio/connection/peer/hub.h"
#include "pistachio/connection/peer/messages.h"
