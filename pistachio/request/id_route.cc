#include "pistachio/request/id_route.h"

#include "pistachio/request/outcome_reasons.h"

namespace pistachio {

IdRoute RouteOfId(const RequestSpec& spec, const DataCentreId& self_data_centre,
                  const MemberId& self, const std::optional<MemberId>& connected_home) {
  if (spec.idempotent) {
    return HandleHere{};
  }
  const MemberId& home = spec.id.home;
  const Outcome older{OutcomeKind::kUnknown, outcome_reason::kIdOfOlderIncarnation, Duration(0)};
  if (spec.id.data_centre == self_data_centre && home.host == self.host) {
    if (home.incarnation == self.incarnation) {
      return HandleHere{};
    }
    return TellOutcome{older};
  }
  if (connected_home && connected_home->host == home.host &&
      connected_home->incarnation != home.incarnation) {
    return TellOutcome{older};
  }
  return ForwardToHome{spec.id.data_centre, home.host};
}

Outcome OutcomeOfUnreachableHome() {
  constexpr Duration kRetryAfter = std::chrono::seconds(1);
  return Outcome{OutcomeKind::kUnknown, outcome_reason::kHomeUnreachable, kRetryAfter};
}

}  // namespace pistachio
