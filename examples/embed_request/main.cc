// Embeds the request attempt logic: an idempotent request whose first target breaks is tried at
// another one, and a non-idempotent one is never sent again.

#include <pistachio/process/runtime.h>
#include <pistachio/request.h>

#include <iostream>

namespace {

using namespace pistachio;  // NOLINT(google-build-using-namespace)

/// Targets that break the first attempt they get and answer every later one.
class FlakyTargets {
 public:
  BrokerEvent Answer(const SendAttempt& sent) {
    this->sends++;
    std::cout << "  attempt " << this->sends << " to " << sent.target << "\n";
    if (this->sends == 1) {
      return AttemptFailed{sent.attempt, AttemptFailure::kMaybeRun};
    }
    return AttemptAnswered{sent.attempt, false};
  }

 private:
  int sends = 0;
};

/// Carries one request to its outcome; a program of your own sends over its transport instead.
OutcomeKind Run(RequestBroker& broker, bool idempotent, TimePoint now) {
  RequestSpec spec;
  spec.id = broker.IssueId(now);
  spec.service = ServiceId("alarm-check");
  spec.deadline = now + std::chrono::seconds(1);
  spec.idempotent = idempotent;
  spec.first_use = true;
  FlakyTargets targets;
  std::vector<BrokerAction> actions = broker.Handle(RequestArrived{spec, 1}, now);
  for (std::size_t i = 0; i < actions.size(); ++i) {
    if (const auto* done = std::get_if<CompleteRequest>(&actions[i])) {
      return done->outcome.kind;
    }
    if (const auto* sent = std::get_if<SendAttempt>(&actions[i])) {
      const std::vector<BrokerAction> more = broker.Handle(targets.Answer(*sent), now);
      actions.insert(actions.end(), more.begin(), more.end());
    }
  }
  return OutcomeKind::kUnknown;
}

}  // namespace

int main() {
  const ManualClock clock;
  const MemberId self{HostId("host-1"), 1};
  BrokerLimits limits;
  // The budget of extra attempts starts empty; a whole one lets the first request be retried.
  limits.extra_attempt_share = 1.0;
  RequestBroker broker(DataCentreId("waikato"), self, limits, 1, clock.Now());
  ServiceRoute route{ServiceId("alarm-check"), {}};
  for (const char* name : {"target-1", "target-2"}) {
    route.targets.push_back(RouteTarget{TargetId(name), RackId("rack-1"), 4, false});
  }
  broker.Handle(RoutesChanged{{route}}, clock.Now());

  std::cout << "idempotent request:\n";
  const OutcomeKind check = Run(broker, true, clock.Now());
  std::cout << "  outcome: " << NameOf(check) << "\n";
  std::cout << "non-idempotent request:\n";
  const OutcomeKind callout = Run(broker, false, clock.Now());
  std::cout << "  outcome: " << NameOf(callout) << "\n";
  const bool as_promised = check == OutcomeKind::kAnswered && callout == OutcomeKind::kUnknown;
  return as_promised ? 0 : 1;
}
