#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/process/runtime/resources.h"

namespace pistachio {

/// \brief Interference class of a task: tasks of one class slow their neighbours alike.
///
/// A service's class is its own name; a batch task's class is declared with its job.
using WorkClass = NamedId<struct WorkClassTag>;

/// \brief Whether work answers callers or runs to completion.
enum class WorkKind { kService, kBatch };

/// \brief A task as the policy sees it beside others on a target.
struct Neighbour {
  TaskId task;
  WorkKind kind = WorkKind::kBatch;
  WorkClass work_class;
  std::int32_t priority = 0;  ///< higher is more important
  Resources declared;         ///< committed amount, a hard bound
  double throttle = 1.0;      ///< share of its speed that it is allowed, in (0, 1]
};

/// \brief A target as the policy sees it when it places a task.
struct TargetView {
  TargetId target;
  RackId rack;
  Resources capacity;
  Resources committed;  ///< sum over placed tasks, also of those not yet known to have stopped
  double load = 0.0;    ///< service load in [0, 1], share of request slots in use, lagging
  std::vector<Neighbour> neighbours;
  /// When a task last came, went or was throttled here; older measurements saw other neighbours.
  /// Left at its default, every measurement counts.
  TimePoint changed_at{};
};

/// \brief A task that wants a target.
struct PlacementRequest {
  TaskId task;
  WorkKind kind = WorkKind::kBatch;
  WorkClass work_class;
  std::int32_t priority = 0;
  Resources declared;
};

/// \brief A target that was weighed, with its score; lower is better.
struct ScoredTarget {
  TargetId target;
  double score = 0.0;
};

/// \brief Why and where a task goes, for the log and for `pistachioctl why`.
struct PlacementDecision {
  TargetId target;
  double score = 0.0;
  std::string reason;
  std::vector<ScoredTarget> beaten;  ///< best alternatives first, a few at most
};

/// \brief One lagging measurement of a task on a target.
struct UsageSample {
  TaskId task;
  WorkClass work_class;
  WorkKind kind = WorkKind::kBatch;
  TimePoint measured_at;
  Resources used;
  double latency_ratio = 0.0;  ///< services: latency over the service's own best; 0 if unknown
  double progress_rate = 0.0;  ///< batch: progress per second over the job's best; 0 if unknown
  double load = 0.0;           ///< the target's load in [0, 1] at that instant
};

/// \brief What the policy asks for on a target that it finds too slow for its services.
enum class ReactionKind { kThrottle, kRestore, kEvict };

/// \returns the reaction's name in logs, such as `throttle`.
const char* NameOf(ReactionKind kind);

/// \brief One step of reaction: throttle first, then checkpoint and move.
struct Reaction {
  ReactionKind kind = ReactionKind::kThrottle;
  TargetId target;
  TaskId task;
  double throttle = 1.0;  ///< new share of speed for kThrottle and kRestore
  std::string reason;
};

}  // namespace pistachio
