#include "bench/requests/cost.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <stdexcept>
#include <string>

#include "pistachio/request.h"

namespace pistachio::bench {

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kRackSize = 10;
constexpr std::uint64_t kSeed = 1;
constexpr std::uint32_t kWarmUpRequests = 100000;
constexpr std::uint32_t kQueued = 128;
constexpr Duration kBetweenRequests = std::chrono::microseconds(10);
constexpr Duration kDeadline = std::chrono::seconds(10);

class CostRun {
 public:
  CostRun(std::uint32_t targets, CostCase which)
      : broker(DataCentreId("dc"), MemberId{HostId("h"), 1}, BrokerLimits(), kSeed, this->now),
        which(which),
        half_of_slots(targets * kSlots / 2) {
    ServiceRoute route{ServiceId("service"), {}};
    for (std::uint32_t i = 0; i < targets; ++i) {
      route.targets.push_back({TargetId("t" + std::to_string(i)),
                               RackId("r" + std::to_string(i / kRackSize)), kSlots, false});
    }
    this->Handle(RoutesChanged{{route}});
  }

  std::uint64_t refused() const { return this->broker.counters().not_run; }

  void Step() {
    this->now += kBetweenRequests;
    this->Arrive();
    this->in_hand += 1;
    while (this->MustAnswer()) {
      const SendAttempt oldest = this->sent.front();
      this->sent.pop_front();
      this->Handle(AttemptAnswered{oldest.attempt, false});
    }
  }

 private:
  bool MustAnswer() const {
    const std::uint64_t queued = this->in_hand - std::min(this->in_hand, this->sent.size());
    if (this->which == CostCase::kRefused) {
      return false;
    }
    if (this->which == CostCase::kQueued) {
      return queued > kQueued;
    }
    return queued > 0 || this->sent.size() > this->half_of_slots;
  }

  void Arrive() {
    RequestSpec spec;
    spec.id = this->broker.IssueId(this->now);
    spec.caller = CallerId("caller" + std::to_string(this->arrival % kRackSize));
    spec.service = ServiceId("service");
    spec.deadline = this->now + kDeadline;
    spec.idempotent = this->arrival % 2 == 0;
    spec.first_use = true;
    this->arrival += 1;
    this->Handle(RequestArrived{spec, this->arrival});
  }

  void Handle(const BrokerEvent& event) {
    for (const BrokerAction& action : this->broker.Handle(event, this->now)) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        this->sent.push_back(*send);
      } else if (std::holds_alternative<CompleteRequest>(action)) {
        this->in_hand -= 1;
      }
    }
  }

  TimePoint now{std::chrono::hours(1)};
  RequestBroker broker;
  CostCase which;
  std::uint64_t half_of_slots;
  std::size_t in_hand = 0;
  std::uint64_t arrival = 0;
  std::deque<SendAttempt> sent;
};

double MicrosPerRequest(std::uint32_t targets, CostCase which, std::uint32_t requests) {
  CostRun run(targets, which);
  for (std::uint32_t i = 0; i < kWarmUpRequests; ++i) {
    run.Step();
  }
  const std::clock_t before = std::clock();
  for (std::uint32_t i = 0; i < requests; ++i) {
    run.Step();
  }
  const auto ticks = static_cast<double>(std::clock() - before);
  const bool refused = run.refused() > 0;
  if (refused != (which == CostCase::kRefused)) {
    throw std::runtime_error("the requests did not take the way whose cost is wanted");
  }
  return ticks / CLOCKS_PER_SEC * 1e6 / requests;
}

}  // namespace pistachio::bench
