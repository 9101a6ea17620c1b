#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/tasks/internal/rack_records.h"
#include "pistachio/process/tasks/types.h"

namespace pistachio::internal {

/// \brief How far an attempt that may run has come.
enum class PlacementStage {
  kIntended,   ///< target chosen and written down, nothing sent
  kStarting,   ///< start sent, no answer yet
  kUncertain,  ///< it may run; the target's list will tell
  kRunning,    ///< the target said that it runs
  kStopping,   ///< stop or checkpoint asked for; no renewals any more
};

/// \brief An attempt that may run on its target; its declared amount stays committed there.
struct Placement {
  TaskId task;
  AttemptNumber attempt = 1;
  UnitId queue;
  std::uint64_t serial = 0;
  std::string checkpoint;  ///< newest one known
  TargetId target;
  PlacementStage stage = PlacementStage::kIntended;
  std::uint64_t record = 0;     ///< the intent; no start before it is committed
  TimePoint quiet_from{};       ///< no start that was sent can still be carried out from here on
  TimePoint sure_stopped_at{};  ///< the task lease has certainly run out by then
  TimePoint running_since{};
  AttemptOutcome goal = AttemptOutcome::kEvicted;  ///< outcome once it has stopped
  std::string reason;
  std::uint32_t stop_tries = 0;
  bool stop_in_flight = false;
  TimePoint next_stop{};
  double throttle = 1.0;
  bool adopted = false;  ///< found on record at a takeover, throttle not yet known
};

/// \brief Urgent work that waits until lower work has left \a target.
struct WaitingAssignment {
  TaskAssignment assignment;
  TargetId target;
  TimePoint since{};
};

/// \brief An attempt whose end is decided; kept until no assignment of it can arrive any more.
struct EndedAttempt {
  AttemptEnd end;
  UnitId queue;
  std::uint64_t record = 0;  ///< told only once this is committed
  TimePoint next_tell{};
  TimePoint quiet_from{};  ///< as in `Placement`; the target must not forget it before
  bool acknowledged = false;
};

/// \brief A job that has, or had, tasks in this rack; records name it by number.
struct RackJob {
  JobSpec spec;
  std::uint32_t number = 0;
  std::uint32_t live_tasks = 0;  ///< placements
};

/// \brief Assignments of a queue below this serial are never new.
struct QueueFloor {
  std::uint64_t settled_below = 0;
  std::uint64_t recorded = 0;  ///< newest value in the ledger
};

/// \brief A target of this rack.
struct RackTarget {
  TargetView view;  ///< committed amounts and neighbours are kept up as tasks come and go
  TargetStanding standing = TargetStanding::kLive;
  bool listed = false;
  bool reported = false;  ///< answered under this epoch
  std::uint64_t boot = 0;
  std::uint32_t misses = 0;         ///< renewals in a row without an answer
  std::uint64_t newest_report = 0;  ///< command that brought the newest report
  bool renew_in_flight = false;
  TimePoint next_renew{};
  std::set<TaskId> tasks;                             ///< placements here
  std::set<std::pair<TaskId, AttemptNumber>> strays;  ///< run here, but are not on record
  std::set<JobId> failed_jobs;   ///< jobs that failed here since the last success
  TimePoint newest_report_at{};  ///< when its command was sent
  bool unread_report = false;    ///< the policy has not reacted to the newest report
  bool quarantined = false;
  TimePoint next_probe{};
  Resources reserved;  ///< for urgent work whose room is being made
};

/// \brief A command whose answer has not come.
struct SentCommand {
  std::uint64_t id = 0;
  TargetId target;
  TargetCommand command;
  TaskId task;
  AttemptNumber attempt = 0;
  TimePoint sent_at{};
};

}  // namespace pistachio::internal
