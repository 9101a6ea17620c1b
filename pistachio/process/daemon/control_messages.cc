#include <algorithm>

#include "pistachio/process/daemon/control_state.h"

namespace pistachio {

namespace internal {

constexpr Duration kRoomRefreshEvery = std::chrono::seconds(5);
constexpr Duration kRoutesRefreshEvery = std::chrono::seconds(30);
constexpr Duration kServicesRefreshEvery = std::chrono::seconds(30);

bool SameRoom(const RackRoom& a, const RackRoom& b) {
  return a.free == b.free && a.capacity == b.capacity && a.preemptible == b.preemptible;
}

bool SameServices(const std::vector<RackServiceTargets>& a,
                  const std::vector<RackServiceTargets>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const RackServiceTargets& x, const RackServiceTargets& y) {
                      return x.service == y.service && x.targets == y.targets;
                    });
}

bool SameRoutes(const std::vector<ServiceRoute>& a, const std::vector<ServiceRoute>& b) {
  const auto same_target = [](const RouteTarget& x, const RouteTarget& y) {
    return x.target == y.target && x.rack == y.rack && x.slots == y.slots && x.leaving == y.leaving;
  };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [&same_target](const ServiceRoute& x, const ServiceRoute& y) {
                      return x.service == y.service &&
                             std::equal(x.targets.begin(), x.targets.end(), y.targets.begin(),
                                        y.targets.end(), same_target);
                    });
}

}  // namespace internal

void ControlState::SendToUnit(const UnitId& unit, const ControlMessage& message) {
  if (this->racks.count(unit) != 0 || this->queues.count(unit) != 0) {
    this->local.emplace_back(this->config.self.host, message);
    return;
  }
  const auto owner = this->membership.OwnerOf(unit);
  // Without a known owner the message is dropped: its sender repeats it until it is confirmed.
  if (owner && *owner != this->config.self.host) {
    this->ports.send_peer(*owner, message);
  }
}

void ControlState::Broadcast(const ControlMessage& message) {
  for (const HostId& peer : this->config.peers) {
    this->ports.send_peer(peer, message);
  }
}

void ControlState::Take(const HostId& /*from*/, const Heartbeat& message) {
  this->FeedMembership(MemberMessageReceived{message});
}

void ControlState::Take(const HostId& /*from*/, const VouchRequest& message) {
  this->FeedMembership(MemberMessageReceived{message});
}

void ControlState::Take(const HostId& /*from*/, const VouchPromise& message) {
  this->FeedMembership(MemberMessageReceived{message});
}

void ControlState::Take(const HostId& /*from*/, const UnitMoved& message) {
  this->FeedMembership(MemberMessageReceived{message});
}

void ControlState::Take(const HostId& /*from*/, const PeerAssignment& message) {
  const auto rack = this->racks.find(UnitOfRack(message.assignment.rack));
  if (rack != this->racks.end() && !rack->second.draining) {
    this->Feed(rack->second, AssignmentReceived{message.assignment});
  }
}

void ControlState::Take(const HostId& /*from*/, const PeerWithdrawal& message) {
  const auto rack = this->racks.find(UnitOfRack(message.rack));
  if (rack != this->racks.end() && !rack->second.draining) {
    this->Feed(rack->second, message.withdrawal);
  }
}

void ControlState::Take(const HostId& /*from*/, const PeerEndAcknowledged& message) {
  const auto rack = this->racks.find(UnitOfRack(message.rack));
  if (rack != this->racks.end()) {
    this->Feed(rack->second, message.acknowledged);
  }
}

void ControlState::Take(const HostId& /*from*/, const PeerConfirmation& message) {
  const auto queue = this->queues.find(message.queue);
  if (queue != this->queues.end()) {
    this->Feed(queue->second, AssignmentConfirmed{message.task, message.attempt});
  }
}

void ControlState::Take(const HostId& /*from*/, const PeerEnd& message) {
  const auto queue = this->queues.find(message.queue);
  if (queue != this->queues.end() && !queue->second.draining) {
    this->Feed(queue->second, EndReceived{message.end});
  }
}

void ControlState::Take(const HostId& /*from*/, const PeerRoom& message) {
  for (auto& [unit, queue] : this->queues) {
    this->Feed(queue, RoomReported{message.room});
  }
}

void ControlState::Take(const HostId& /*from*/, const PeerRoutes& message) {
  if (this->routes.Update(message)) {
    this->PublishRoutes();
  }
}

void ControlState::Take(const HostId& /*from*/, const PeerCentreServices& message) {
  this->routes.Update(message);
}

void ControlState::Take(const HostId& /*from*/, const PeerStandings& message) {
  if (this->standings.Merge(message.standings)) {
    this->RefreshTargets();
  }
}

void ControlState::Take(const HostId& from, const SettingsDigest& message) {
  this->settings.TakeMessage(from, message, this->now);
}

void ControlState::Take(const HostId& from, const SettingsRequest& message) {
  this->settings.TakeMessage(from, message, this->now);
}

void ControlState::Take(const HostId& from, const SettingsUpdate& message) {
  this->settings.TakeMessage(from, message, this->now);
}

void ControlState::Take(const HostId& from, const PeerOperatorCall& message) {
  this->ServeOwnCall(OperatorCaller{from, message.call},
                     OperatorCalled{message.call, message.method, message.path, message.body});
}

void ControlState::Take(const HostId& /*from*/, const PeerOperatorAnswer& message) {
  this->TakeAnswer(message.call, message.status, message.body);
}

void ControlState::PublishRack(RackUnit& unit) {
  if (!unit.recovered || unit.fenced) {
    return;
  }
  RackPublication& publication = this->publications[unit.unit];
  std::vector<RackServiceTargets> services;
  for (const auto& [service, targets] : unit.machine.routes()) {
    services.push_back(RackServiceTargets{service, targets});
  }
  const bool changed = !internal::SameServices(services, publication.routes.services) ||
                       publication.routes.version == 0;
  if (changed) {
    publication.routes.rack = *RackOfUnit(unit.unit);
    publication.routes.epoch = unit.epoch;
    publication.routes.version++;
    publication.routes.services = std::move(services);
    this->routes.Update(publication.routes);
  }
  if (changed || this->now - publication.routes_told >= internal::kRoutesRefreshEvery) {
    publication.routes_told = this->now;
    this->Broadcast(publication.routes);
  }
  this->PublishRoom(unit, publication);
}

void ControlState::PublishRoom(RackUnit& unit, RackPublication& publication) {
  RackRoom room;
  room.rack = *RackOfUnit(unit.unit);
  room.preemptible = unit.machine.preemptible();
  for (const TargetView& view : unit.machine.views()) {
    room.free.push_back(view.capacity - view.committed);
    room.capacity.push_back(view.capacity);
  }
  const bool changed = !internal::SameRoom(room, publication.room);
  if (!changed && this->now - publication.room_told < internal::kRoomRefreshEvery) {
    return;
  }
  publication.room = room;
  publication.room_told = this->now;
  std::set<HostId> owners;
  for (std::uint32_t number = 0; number < this->config.queues; ++number) {
    const auto owner = this->membership.OwnerOf(UnitOfQueue(number));
    if (owner) {
      owners.insert(*owner);
    }
  }
  if (!this->queues.empty()) {
    this->local.emplace_back(this->config.self.host, PeerRoom{room});
  }
  owners.erase(this->config.self.host);
  for (const HostId& owner : owners) {
    this->ports.send_peer(owner, PeerRoom{room});
  }
}

void ControlState::TellRemoteServices() {
  // One host speaks for its data centre, and only when there is news: told by every host at every
  // publication, the list alone would be most of what entry hosts send.
  const auto speaker = this->membership.OwnerOf(UnitOfQueue(0));
  const PeerCentreServices services{this->config.data_centre, this->routes.services()};
  const bool due = services.services != this->told_services ||
                   this->now - this->services_told >= internal::kServicesRefreshEvery;
  if (!due || !speaker || *speaker != this->config.self.host) {
    return;
  }
  this->told_services = services.services;
  this->services_told = this->now;
  for (const auto& [host, data_centre] : this->config.remote_peers) {
    this->ports.send_peer(host, services);
  }
}

void ControlState::TellStandings() { this->Broadcast(PeerStandings{this->standings.current()}); }

void ControlState::PublishRoutes() {
  std::vector<ServiceRoute> built =
      this->routes.Build([this](const TargetId& target, std::uint32_t slots) {
        return this->membership.UsableSlots(target, slots, this->now);
      });
  std::vector<RemoteCentre> remote;
  for (const auto& [data_centre, services] : this->routes.remote_services()) {
    RemoteCentre centre{data_centre, {}, services};
    for (const auto& [host, where] : this->config.remote_peers) {
      if (where == data_centre) {
        centre.hosts.push_back(host);
      }
    }
    remote.push_back(std::move(centre));
  }
  std::map<TargetId, std::string> addresses;
  for (const auto& [target, listing] : this->routes.listings()) {
    addresses[target] = listing.address;
  }
  const bool same = internal::SameRoutes(built, this->published_routes) &&
                    addresses == this->published_addresses &&
                    this->routes.remote_services() == this->published_remote;
  if (same) {
    return;
  }
  this->published_routes = built;
  this->published_addresses = addresses;
  this->published_remote = this->routes.remote_services();
  this->ports.publish_routes(built, remote, addresses);
}

}  // namespace pistachio
