#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pistachio/process/policy/types.h"

namespace pistachio {

/// \returns true if \a target can take \a declared more without passing its capacity anywhere.
///
/// This is the hard bound of every policy; predicted use never enters it. Cost: constant.
bool HasRoom(const TargetView& target, const Resources& declared);

/// \returns the largest share of a dimension of \a target that is committed after \a declared more.
///
/// Dimensions that the target does not have count as empty. Cost: constant.
double CommittedShare(const TargetView& target, const Resources& declared);

/// \returns indices of the targets with room for \a declared, in order. Cost: linear.
std::vector<std::size_t> TargetsWithRoom(const std::vector<TargetView>& targets,
                                         const Resources& declared);

/// \brief Turns scores into a decision: the lowest score wins, ties go to the smaller target id.
///
/// \param scored candidates with their scores; lower is better
/// \returns the decision with a few beaten alternatives, or nothing without candidates.
///   Cost: linear in the candidates.
std::optional<PlacementDecision> PickLowest(std::vector<ScoredTarget> scored, std::string reason);

}  // namespace pistachio
