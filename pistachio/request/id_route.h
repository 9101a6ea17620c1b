#pragma once

#include <optional>
#include <variant>

#include "pistachio/request/types.h"

namespace pistachio {

/// \brief This entry host decides on the request itself.
struct HandleHere {};
/// \brief The request has to be decided by the id's home; nothing may be sent from here.
struct ForwardToHome {
  DataCentreId data_centre;
  HostId host;
};
/// \brief The home's memory of the id is lost or out of reach: tell the outcome, send nothing.
struct TellOutcome {
  Outcome outcome;
};

/// \brief Where a request's id has to be decided.
using IdRoute = std::variant<HandleHere, ForwardToHome, TellOutcome>;

/// \brief Decides where the id of \a spec has to be decided.
///
/// An idempotent request is handled by any entry host. A non-idempotent one is handled by its home
/// only, since only the home knows whether the id was sent before.
///
/// \param self_data_centre, self this entry host
/// \param connected_home the life of the home's host that this entry host is connected to, if any;
///   what may be out of date must not be passed, since another incarnation proves the older one
///   gone
IdRoute RouteOfId(const RequestSpec& spec, const DataCentreId& self_data_centre,
                  const MemberId& self, const std::optional<MemberId>& connected_home);

/// \brief Outcome of a non-idempotent request whose home cannot be reached, also when no byte of
/// this try left: an earlier try of the same id may have run, and only the home knows.
Outcome OutcomeOfUnreachableHome();

}  // namespace pistachio
