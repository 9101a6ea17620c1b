#pragma once

/// \file
/// \brief Policy module: where a task goes, learned from lagging measurements.
///
/// - policy/types.h: what the policy sees and says
/// - policy/policy.h: the policies and the three operations they share

#include "pistachio/process/policy/policy.h"
#include "pistachio/process/policy/types.h"
