#pragma once

#include "pistachio/connection/peer/messages.h"
#include "pistachio/process/ledger/ledger.h"
#include "pistachio/process/runtime/ids.h"
#include "pistachio/process/tasks/job_queue.h"
#include "pistachio/process/tasks/rack_controller.h"

namespace pistachio {

/// \brief A unit that this host owns: its decisions and the ledger that remembers them.
template <class Machine>
struct LedgeredUnit {
  UnitId unit;
  Epoch epoch = 0;
  Ledger ledger;
  Machine machine;
  bool recovered = false;
  bool draining = false;  ///< about to be handed over: takes nothing new
  bool fenced = false;    ///< a newer owner has written
};

/// \brief What a rack's owner last told the others.
struct RackPublication {
  PeerRoutes routes;
  TimePoint routes_told{};
  RackRoom room;
  TimePoint room_told{};
};

using RackUnit = LedgeredUnit<RackController>;
using QueueUnit = LedgeredUnit<JobQueue>;

/// \returns the unit of a rack.
UnitId UnitOfRack(const RackId& rack);

/// \returns the rack of a unit, or nothing if it is not a rack.
std::optional<RackId> RackOfUnit(const UnitId& unit);

/// \returns the unit of the queue share with this number.
UnitId UnitOfQueue(std::uint32_t number);

/// \returns the queue share that holds a team's jobs, of \a queues in all.
UnitId QueueOfTeam(const TeamId& team, std::uint32_t queues);

}  // namespace pistachio
