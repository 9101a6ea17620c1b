#include "pistachio/process/daemon/route_table.h"

#include <set>
#include <tuple>

namespace pistachio {

bool RouteTable::Update(const PeerRoutes& routes) {
  const auto known = this->racks.find(routes.rack);
  const bool newer =
      known == this->racks.end() ||
      std::tie(routes.epoch, routes.version) > std::tie(known->second.epoch, known->second.version);
  if (newer) {
    this->racks[routes.rack] = routes;
  }
  return newer;
}

void RouteTable::Update(const std::vector<TargetListing>& listings) {
  this->targets.clear();
  for (const TargetListing& listing : listings) {
    this->targets[listing.target] = listing;
  }
}

void RouteTable::Update(const PeerCentreServices& services) {
  this->remote[services.data_centre] = services.services;
}

std::vector<ServiceId> RouteTable::services() const {
  std::set<ServiceId> names;
  for (const auto& [rack, routes] : this->racks) {
    for (const RackServiceTargets& row : routes.services) {
      if (!row.targets.empty()) {
        names.insert(row.service);
      }
    }
  }
  return {names.begin(), names.end()};
}

std::vector<TargetId> RouteTable::TargetsOf(const ServiceId& service) const {
  std::vector<TargetId> found;
  for (const auto& [rack, routes] : this->racks) {
    for (const RackServiceTargets& row : routes.services) {
      if (row.service == service) {
        found.insert(found.end(), row.targets.begin(), row.targets.end());
      }
    }
  }
  return found;
}

}  // namespace pistachio
