#include "tests/request/broker_driver.h"

#include <algorithm>
#include <stdexcept>
#include <variant>

namespace pistachio::testing {

constexpr std::uint64_t kSeed = 7;
constexpr std::uint64_t kIncarnation = 0xabc;

BrokerDriver::BrokerDriver(const BrokerLimits& limits)
    : subject(DataCentreId("waikato"), MemberId{HostId("host-a1"), kIncarnation}, limits, kSeed,
              this->time) {}

void BrokerDriver::Route(std::uint32_t targets, std::uint32_t slots) {
  ServiceRoute route{ServiceId("service"), {}};
  for (std::uint32_t i = 0; i < targets; ++i) {
    route.targets.push_back(
        {TargetId("t" + std::to_string(i)), RackId("r" + std::to_string(i / 2)), slots, false});
  }
  this->Handle(RoutesChanged{{route}});
}

RequestSpec BrokerDriver::NewSpec(bool idempotent, Duration within) {
  RequestSpec spec;
  spec.id = this->subject.IssueId(this->time);
  spec.caller = CallerId("caller");
  spec.service = ServiceId("service");
  spec.deadline = this->time + within;
  spec.idempotent = idempotent;
  spec.first_use = true;
  return spec;
}

void BrokerDriver::Handle(const BrokerEvent& event) {
  for (const BrokerAction& action : this->subject.Handle(event, this->time)) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      this->sent.push_back(*send);
    } else if (const auto* abandon = std::get_if<AbandonAttempt>(&action)) {
      this->abandoned.push_back(*abandon);
    } else if (const auto* complete = std::get_if<CompleteRequest>(&action)) {
      this->completed.push_back(*complete);
    } else {
      this->records.push_back(std::get<BrokerReport>(action).event);
    }
  }
}

void BrokerDriver::Arrive(const RequestSpec& spec, ArrivalNumber arrival) {
  this->Handle(RequestArrived{spec, arrival});
}

void BrokerDriver::Answer(const SendAttempt& sent) {
  this->Handle(AttemptAnswered{sent.attempt, false});
}

void BrokerDriver::Fail(const SendAttempt& sent, AttemptFailure failure) {
  this->Handle(AttemptFailed{sent.attempt, failure});
}

void BrokerDriver::Advance(Duration step) {
  const TimePoint end = this->time + step;
  for (auto next = this->subject.next_wakeup(); next && *next <= end;
       next = this->subject.next_wakeup()) {
    this->time = std::max(this->time, *next);
    this->Handle(BrokerTick{});
  }
  this->time = end;
  this->Handle(BrokerTick{});
}

std::vector<Outcome> BrokerDriver::OutcomesOf(ArrivalNumber arrival) const {
  std::vector<Outcome> outcomes;
  for (const CompleteRequest& complete : this->completed) {
    if (complete.arrival == arrival) {
      outcomes.push_back(complete.outcome);
    }
  }
  return outcomes;
}

Outcome BrokerDriver::OutcomeOf(ArrivalNumber arrival) const {
  const std::vector<Outcome> outcomes = this->OutcomesOf(arrival);
  if (outcomes.size() != 1) {
    throw std::runtime_error("arrival " + std::to_string(arrival) + " has " +
                             std::to_string(outcomes.size()) + " outcomes");
  }
  return outcomes.front();
}

std::size_t BrokerDriver::CountRecords(EventCode code) const {
  return static_cast<std::size_t>(
      std::count_if(this->records.begin(), this->records.end(),
                    [code](const EventRecord& record) { return record.code == code; }));
}

}  // namespace pistachio::testing
