#pragma once

/// \file
/// \brief Lease module: who lives, who owns what, and until when each may act.
///
/// - lease/member_types.h: timing, messages, events and actions
/// - lease/membership.h: roster, vouched leases, unit ownership and the division of slots

#include "pistachio/connection/lease/member_types.h"
#include "pistachio/connection/lease/membership.h"
