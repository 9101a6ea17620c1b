#pragma once

#include "emulator/simulated_cluster.h"

namespace pistachio::emulator {

/// Faults while submissions move from the cell "north" to the cell "south".
enum class MoveFault {
  kNone,
  kKillOwner,
  kKillOwners,
  kKillOtherOwner,
  kFreezeOwner,
  kLoseAnswers,
  kDelayWrites,
  kDelayOrders,
  kStoreDown,
  kCompact,
  kEndEvacuation,
  kEvacuateAll
};

inline void ApplyFault(SimulatedCluster* cluster, MoveFault fault) {
  switch (fault) {
    case MoveFault::kNone:
      break;
    case MoveFault::kKillOwner:
      cluster->KillHost(cluster->OwnerOf("north"));
      break;
    case MoveFault::kKillOwners:
      cluster->KillHost(cluster->OwnerOf("north"));
      cluster->KillHost(cluster->OwnerOf("south"));
      break;
    case MoveFault::kKillOtherOwner:
      cluster->KillHost(cluster->OwnerOf("south"));
      break;
    case MoveFault::kFreezeOwner:
      cluster->FreezeHost(cluster->OwnerOf("north"));
      break;
    case MoveFault::kLoseAnswers:
      cluster->store_faults.lost_answer_probability = 0.4;
      break;
    case MoveFault::kDelayWrites:
      cluster->store_faults.late_write_probability = 0.3;
      break;
    case MoveFault::kDelayOrders:
      cluster->order_faults.late_probability = 0.3;
      break;
    case MoveFault::kStoreDown:
      cluster->store_faults.down = true;
      break;
    case MoveFault::kCompact:
      cluster->store.Compact();
      break;
    case MoveFault::kEndEvacuation:
      cluster->EndEvacuation("north");
      break;
    case MoveFault::kEvacuateAll:
      cluster->EvacuateDataCentre("south");
      break;
  }
}

/// Starts every host that is not running.
inline void StartMissingHosts(SimulatedCluster* cluster) {
  for (const std::string& host : cluster->hosts()) {
    if (cluster->node(host) == nullptr) {
      cluster->StartHost(host);
    }
  }
}

/// Resumes every host. \param tick_first see SimulatedCluster::ResumeHost
inline void ResumeHosts(SimulatedCluster* cluster, bool tick_first) {
  for (const std::string& host : cluster->hosts()) {
    cluster->ResumeHost(host, tick_first);
  }
}

/// Ends the evacuation of every data centre.
inline void EndEvacuations(SimulatedCluster* cluster) {
  for (const char* data_centre : {"north", "south"}) {
    cluster->EndEvacuation(data_centre);
  }
}

/// Ends all faults and evacuations. Every host runs and every target is registered and ready.
inline void EndAllFaults(SimulatedCluster* cluster) {
  cluster->store_faults = StoreFaults{};
  cluster->order_faults = OrderFaults{};
  EndEvacuations(cluster);
  ResumeHosts(cluster, true);
  StartMissingHosts(cluster);
  for (const std::string& target : cluster->targets()) {
    cluster->target(target).faults = TargetFaults{};
    const FakeTarget& fake_target = cluster->target(target);
    if (!fake_target.up || fake_target.entry.state == TargetState::kDraining) {
      cluster->RestartTarget(target);
    } else {
      cluster->RegisterTarget(target);
    }
  }
}

/// Ends the faults of store and orders, resumes \a suspended_host and starts the hosts that are not
/// running.
inline void EndFaults(SimulatedCluster* cluster, const std::string& suspended_host) {
  cluster->store_faults = StoreFaults{};
  cluster->order_faults = OrderFaults{};
  cluster->ResumeHost(suspended_host);
  StartMissingHosts(cluster);
}

}  // namespace pistachio::emulator
