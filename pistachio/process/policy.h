#pragma once

/// \file
/// \brief Policy module: where a task goes, learned from lagging measurements.
///
/// - policy/types.h: what the policy sees and says
/// - policy/room.h: the hard bound of every policy, and the choice of the lowest score
/// - policy/simple_policies.h: policies that look at committed amounts only
/// - policy/policy_settings.h: weights and bounds of the interference policy
/// - policy/slowdown_model.h: how much work of one class slows work of another
/// - policy/size_model.h: what tasks use beside what they declare
/// - policy/placement_cost.h: what a target costs with the tenants that it has or would have
/// - policy/target_watch.h: whether the services of a target are slow for sure
/// - policy/eviction_budget.h: a bound on evictions
/// - policy/interference_policy.h: the policy that puts these together
/// - policy/policy.h: the policies and the three operations they share

#include "pistachio/process/policy/eviction_budget.h"
#include "pistachio/process/policy/interference_policy.h"
#include "pistachio/process/policy/placement_cost.h"
#include "pistachio/process/policy/policy.h"
#include "pistachio/process/policy/policy_settings.h"
#include "pistachio/process/policy/room.h"
#include "pistachio/process/policy/simple_policies.h"
#include "pistachio/process/policy/size_model.h"
#include "pistachio/process/policy/slowdown_model.h"
#include "pistachio/process/policy/target_watch.h"
#include "pistachio/process/policy/types.h"
