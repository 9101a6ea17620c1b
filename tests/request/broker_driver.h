#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pistachio/request.h"

namespace pistachio::testing {

/// \brief Drives one broker by hand on a paused clock and sorts its actions.
class BrokerDriver {
 public:
  explicit BrokerDriver(const BrokerLimits& limits = BrokerLimits());

  /// \brief Routes to \a targets targets of \a slots slots each, two targets to a rack.
  void Route(std::uint32_t targets, std::uint32_t slots);

  /// \returns a spec with a fresh id, for `service` by `caller`, due in \a within.
  RequestSpec NewSpec(bool idempotent, Duration within = std::chrono::seconds(1));

  void Handle(const BrokerEvent& event);
  void Arrive(const RequestSpec& spec, ArrivalNumber arrival);
  void Answer(const SendAttempt& sent);
  void Fail(const SendAttempt& sent, AttemptFailure failure);
  void Advance(Duration step);

  /// \returns the outcomes told to \a arrival so far.
  std::vector<Outcome> OutcomesOf(ArrivalNumber arrival) const;
  /// \returns the one outcome told to \a arrival; throws if there is not exactly one.
  Outcome OutcomeOf(ArrivalNumber arrival) const;
  std::size_t CountRecords(EventCode code) const;

  RequestBroker& broker() { return this->subject; }
  TimePoint now() const { return this->time; }

  std::vector<SendAttempt> sent;
  std::vector<AbandonAttempt> abandoned;
  std::vector<CompleteRequest> completed;
  std::vector<EventRecord> records;

 private:
  TimePoint time{std::chrono::hours(1)};
  RequestBroker subject;
};

}  // namespace pistachio::testing
