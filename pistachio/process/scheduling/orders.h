#pragma once

#include <string>
#include <variant>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Starts a run on a target. A repeated start of a run that is running has no effect.
struct StartOrder {
  TaskKey task;
  RunNumber run = 0;
  std::string payload;  ///< the submission's payload, passed on unchanged
  /// End of the lease of all runs on the target; the target refuses the start after it.
  TargetTime deadline{0};
  std::string checkpoint;  ///< to resume from; empty to start from the beginning
};

/// \brief Stops a run. The target also refuses every later start of the run.
struct StopOrder {
  TaskKey task;
  RunNumber run = 0;
};

/// \brief Extends the lease of all runs on a target and requests its lists of running and finished
/// runs.
struct HoldOrder {
  std::optional<TargetTime> deadline;  ///< new end of the lease; without it, the lease stays as is
  std::uint64_t acked_end = 0;  ///< the target may discard ends up to this number; 0 for none
  /// Long poll: time for which the target may delay the answer until a run ends.
  std::chrono::milliseconds wait{0};
};

/// \brief Throttles a run, or removes the throttle.
struct PaceOrder {
  TaskKey task;
  RunNumber run = 0;
  std::uint32_t percent = 100;  ///< of full speed
};

/// \brief An order to one target. The process at `address` refuses the order if the process is not
/// the target with the id `target`.
struct Order {
  TargetId target;
  std::string address;  ///< IP address and port
  std::variant<StartOrder, StopOrder, HoldOrder, PaceOrder> order;
  Duration timeout{0};  ///< time to wait for the answer
  /// The order is not sent from then on. A process may be suspended, or wait for a connection,
  /// between the decision and the sending.
  TimePoint send_before = TimePoint::max();
};

}  // namespace pistachio
