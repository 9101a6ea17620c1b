#pragma once

#include <map>
#include <string>

#include "pistachio/process/tasks.h"

namespace pistachio::testing {

/// \brief A task on a fake target.
struct FakeRow {
  AttemptNumber attempt = 1;
  TargetTaskState state = TargetTaskState::kRunning;
  Resources declared;
  bool service = false;
  Duration done{0};   ///< work done, also before this attempt
  Duration total{0};  ///< work until it finishes
  TimePoint lease_until{};
  std::string resumed_from;
};

/// \brief A target that runs tasks under leases on the test's clock.
class FakeTarget {
 public:
  FakeTarget(TargetId id, const Resources& capacity) : id(std::move(id)), capacity(capacity) {}

  CommandAnswer Handle(Epoch epoch, const TargetCommand& command, TimePoint now);
  void Advance(TimePoint now, Duration step);
  void Restart();
  TargetReport Report() const;

  TargetId id;
  Resources capacity;
  std::map<TaskId, FakeRow> rows;
  std::uint64_t boot = 1;
  bool down = false;
  bool fences_epochs = true;
  bool fails_everything = false;
  Epoch newest_epoch = 0;

 private:
  CommandAnswer On(const StartCommand& command, TimePoint now);
  CommandAnswer On(const RenewCommand& command, TimePoint now);
  CommandAnswer On(const StopCommand& command, TimePoint now);
  CommandAnswer On(const CheckpointCommand& command, TimePoint now);
  CommandAnswer On(const ThrottleCommand& command, TimePoint now);
  CommandAnswer On(const ForgetCommand& command, TimePoint now);
};

}  // namespace pistachio::testing
