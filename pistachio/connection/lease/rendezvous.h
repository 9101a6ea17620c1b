#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pistachio/process/runtime/ids.h"

namespace pistachio::internal {

/// \returns the member with the highest hash score for \a key, or nothing if there is none.
///
/// The order of any two members for a key does not depend on who else is there, so a member that
/// comes or goes moves only its own share. Cost: one hash for each member.
std::optional<MemberId> RendezvousWinner(const std::vector<MemberId>& members,
                                         const std::string& key);

}  // namespace pistachio::internal
