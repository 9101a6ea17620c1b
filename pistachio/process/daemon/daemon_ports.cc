#include "pistachio/process/daemon/daemon_state.h"
#include "pistachio/process/runtime/log.h"

namespace pistachio {

namespace internal {

constexpr Duration kCommandTimeout = std::chrono::seconds(2);

}  // namespace internal

void Daemon::State::CallStore(const StoreOrigin& origin, std::uint64_t call, StoreRole role,
                              const StoreCall& store_call) {
  this->store_traffic.CountCall(role, store_call);
  CallStoreService(this->store, store_call, [this, origin, call, role](const StoreReply& reply) {
    this->store_traffic.CountReply(role, reply);
    this->control->Post(StoreCallAnswered{origin, call, reply});
  });
}

bool Daemon::State::SendPeer(const HostId& peer, const PeerMessage& message) {
  return !this->hub->Send(peer, EncodePeerMessage(message));
}

void Daemon::State::SendCommand(const OutgoingCommand& command) {
  const auto answered = [this, unit = command.unit, epoch = command.epoch,
                         id = command.command_id](const CommandAnswer& answer) {
    this->control->Post(CommandFinished{unit, epoch, id, answer});
  };
  const bool too_late = command.not_after && Now(this->clock) >= *command.not_after;
  if (command.address.empty() || too_late) {
    CommandAnswer answer;
    answer.status = CommandStatus::kNotSent;
    answer.reason = too_late ? "the lease ran out" : "target is not on the platform's list";
    answered(answer);
    return;
  }
  this->targets.SendCommand(command.address, command.epoch, command.command,
                            internal::kCommandTimeout, answered);
}

void Daemon::State::PublishRoutes(const std::vector<ServiceRoute>& routes,
                                  const std::vector<RemoteCentre>& remote,
                                  const std::map<TargetId, std::string>& addresses) {
  this->traffic->UpdateRoutes(routes, remote, addresses);
}

void Daemon::State::ReceivePeer(const HostId& from, const std::string& bytes) {
  const auto message = DecodePeerMessage(bytes);
  if (!message) {
    WriteEvent({EventCode::kBadInput, {{"from", from.str()}, {"port", "peers"}}});
    return;
  }
  if (const auto* control_message = std::get_if<ControlMessage>(&*message)) {
    this->control->Post(PeerMessageArrived{from, *control_message});
    return;
  }
  std::visit([this, &from](const auto& typed) { this->traffic->Take(from, typed); },
             std::get<TrafficMessage>(*message));
}

void Daemon::State::FetchHosts() {
  FetchPlatformHosts(this->control_client, this->settings.host_list_url,
                     [this](const std::optional<PlatformHosts>& hosts) {
                       if (hosts) {
                         this->control->Post(PlatformHostsFetched{*hosts});
                       }
                     });
}

}  // namespace pistachio
