#pragma once

#include <map>
#include <vector>

#include "pistachio/connection/peer/messages.h"
#include "pistachio/process/tasks/types.h"
#include "pistachio/request/types.h"

namespace pistachio {

/// \brief What an entry host last knew of where services run, kept while owners come and go.
class RouteTable {
 public:
  /// \brief Takes in a rack's routes. \returns false if they are older than what is known.
  bool Update(const PeerRoutes& routes);

  /// \brief Takes in the platform's list.
  void Update(const std::vector<TargetListing>& listings);

  /// \brief Takes in the services of another data centre.
  void Update(const PeerCentreServices& services);

  /// \brief The routes for the broker. \param usable_slots gives this host's part of a target's
  /// slots. Cost: linear in the instances.
  template <class UsableSlots>
  std::vector<ServiceRoute> Build(UsableSlots usable_slots) const;

  /// \returns the services with a running instance here.
  std::vector<ServiceId> services() const;

  const std::map<TargetId, TargetListing>& listings() const { return this->targets; }
  const std::map<DataCentreId, std::vector<ServiceId>>& remote_services() const {
    return this->remote;
  }
  /// \returns the targets known to run \a service.
  std::vector<TargetId> TargetsOf(const ServiceId& service) const;

 private:
  std::map<RackId, PeerRoutes> racks;
  std::map<TargetId, TargetListing> targets;
  std::map<DataCentreId, std::vector<ServiceId>> remote;
};

template <class UsableSlots>
std::vector<ServiceRoute> RouteTable::Build(UsableSlots usable_slots) const {
  std::map<ServiceId, ServiceRoute> by_service;
  for (const auto& [rack, routes] : this->racks) {
    for (const RackServiceTargets& row : routes.services) {
      ServiceRoute& route = by_service[row.service];
      route.service = row.service;
      for (const TargetId& target : row.targets) {
        const auto listing = this->targets.find(target);
        if (listing == this->targets.end()) {
          continue;
        }
        const bool leaving = listing->second.standing != TargetStanding::kLive;
        route.targets.push_back(
            RouteTarget{target, rack, usable_slots(target, listing->second.slots), leaving});
      }
    }
  }
  std::vector<ServiceRoute> all;
  all.reserve(by_service.size());
  for (auto& [service, route] : by_service) {
    all.push_back(std::move(route));
  }
  return all;
}

}  // namespace pistachio
