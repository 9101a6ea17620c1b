#pragma once

/// \file
/// \brief Policy module: where a task goes, learned from lagging measurements.
///
/// - policy/types.h: what the policy sees and says
/// - policy/room.h: the hard bound of every policy, and the choice of the lowest score
/// - policy/simple_policies.h: policies that look at committed amounts only
/// - policy/policy.h: the policies and the three operations they share

#include "pistachio/process/policy/policy.h"
#include "pistachio/process/policy/room.h"
#include "pistachio/process/policy/simple_policies.h"
#include "pistachio/process/policy/types.h"
