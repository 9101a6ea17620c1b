#include "pistachio/connection/peer/messages.h"

#include "pistachio/connection/codec/task_json.h"

namespace pistachio {

using json = WireJson;

// The fields of each message. Bodies are bytes, everything else is text, numbers and lists.

void to_json(json& out, const Outcome& outcome) {
  out = {{"kind", static_cast<int>(outcome.kind)},
         {"reason", outcome.reason},
         {"retry_after", outcome.retry_after.count()}};
}

void from_json(const json& in, Outcome& outcome) {
  outcome.kind = internal::ReadEnum(in.at("kind"), OutcomeKind::kDeadlinePassed);
  in.at("reason").get_to(outcome.reason);
  outcome.retry_after = internal::ReadDuration(in.at("retry_after"));
}

namespace internal {

json WriteBytes(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string ReadBytes(const json& in) {
  const auto& bytes = in.get_ref<const json::binary_t&>();
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace internal

void to_json(json& out, const MemberId& message) {
  out = json::object({{"host", message.host}, {"incarnation", message.incarnation}});
}

void from_json(const json& in, MemberId& message) {
  in.at("host").get_to(message.host);
  in.at("incarnation").get_to(message.incarnation);
}

void to_json(json& out, const Heartbeat& message) {
  out = json::object({{"from", message.from},
                      {"sequence", message.sequence},
                      {"roster_version", message.roster_version},
                      {"leaving", message.leaving}});
}

void from_json(const json& in, Heartbeat& message) {
  in.at("from").get_to(message.from);
  in.at("sequence").get_to(message.sequence);
  in.at("roster_version").get_to(message.roster_version);
  in.at("leaving").get_to(message.leaving);
}

void to_json(json& out, const VouchRequest& message) {
  out = json::object({{"holder", message.holder}, {"sequence", message.sequence}});
}

void from_json(const json& in, VouchRequest& message) {
  in.at("holder").get_to(message.holder);
  in.at("sequence").get_to(message.sequence);
}

void to_json(json& out, const VouchPromise& message) {
  out = json::object({{"voucher", message.voucher},
                      {"holder", message.holder},
                      {"sequence", message.sequence},
                      {"valid_for", message.valid_for.count()}});
}

void from_json(const json& in, VouchPromise& message) {
  in.at("voucher").get_to(message.voucher);
  in.at("holder").get_to(message.holder);
  in.at("sequence").get_to(message.sequence);
  message.valid_for = internal::ReadDuration(in.at("valid_for"));
}

void to_json(json& out, const UnitMoved& message) {
  out = json::object({{"from", message.from},
                      {"unit", message.unit},
                      {"owner", message.owner},
                      {"epoch", message.epoch}});
}

void from_json(const json& in, UnitMoved& message) {
  in.at("from").get_to(message.from);
  in.at("unit").get_to(message.unit);
  in.at("owner").get_to(message.owner);
  in.at("epoch").get_to(message.epoch);
}

void to_json(json& out, const PeerAssignment& message) {
  out = json::object({{"assignment", message.assignment}});
}

void from_json(const json& in, PeerAssignment& message) {
  in.at("assignment").get_to(message.assignment);
}

void to_json(json& out, const PeerWithdrawal& message) {
  out = json::object({{"rack", message.rack}, {"withdrawal", message.withdrawal}});
}

void from_json(const json& in, PeerWithdrawal& message) {
  in.at("rack").get_to(message.rack);
  in.at("withdrawal").get_to(message.withdrawal);
}

void to_json(json& out, const PeerEndAcknowledged& message) {
  out = json::object({{"rack", message.rack}, {"acknowledged", message.acknowledged}});
}

void from_json(const json& in, PeerEndAcknowledged& message) {
  in.at("rack").get_to(message.rack);
  in.at("acknowledged").get_to(message.acknowledged);
}

void to_json(json& out, const PeerConfirmation& message) {
  out = json::object(
      {{"queue", message.queue}, {"task", message.task}, {"attempt", message.attempt}});
}

void from_json(const json& in, PeerConfirmation& message) {
  in.at("queue").get_to(message.queue);
  in.at("task").get_to(message.task);
  in.at("attempt").get_to(message.attempt);
}

void to_json(json& out, const PeerEnd& message) {
  out = json::object({{"queue", message.queue}, {"end", message.end}});
}

void from_json(const json& in, PeerEnd& message) {
  in.at("queue").get_to(message.queue);
  in.at("end").get_to(message.end);
}

void to_json(json& out, const PeerRoom& message) { out = json::object({{"room", message.room}}); }

void from_json(const json& in, PeerRoom& message) { in.at("room").get_to(message.room); }

void to_json(json& out, const RackServiceTargets& message) {
  out = json::object({{"service", message.service}, {"targets", message.targets}});
}

void from_json(const json& in, RackServiceTargets& message) {
  in.at("service").get_to(message.service);
  in.at("targets").get_to(message.targets);
}

void to_json(json& out, const PeerRoutes& message) {
  out = json::object({{"rack", message.rack},
                      {"epoch", message.epoch},
                      {"version", message.version},
                      {"services", message.services}});
}

void from_json(const json& in, PeerRoutes& message) {
  in.at("rack").get_to(message.rack);
  in.at("epoch").get_to(message.epoch);
  in.at("version").get_to(message.version);
  in.at("services").get_to(message.services);
}

void to_json(json& out, const PeerCentreServices& message) {
  out = json::object({{"data_centre", message.data_centre}, {"services", message.services}});
}

void from_json(const json& in, PeerCentreServices& message) {
  in.at("data_centre").get_to(message.data_centre);
  in.at("services").get_to(message.services);
}

void to_json(json& out, const RequestId& message) {
  out = json::object(
      {{"data_centre", message.data_centre}, {"home", message.home}, {"number", message.number}});
}

void from_json(const json& in, RequestId& message) {
  in.at("data_centre").get_to(message.data_centre);
  in.at("home").get_to(message.home);
  in.at("number").get_to(message.number);
}

void to_json(json& out, const Standings& message) {
  out = json::object({{"version", message.version}, {"drained", message.drained}});
}

void from_json(const json& in, Standings& message) {
  in.at("version").get_to(message.version);
  in.at("drained").get_to(message.drained);
}

void to_json(json& out, const PeerStandings& message) {
  out = json::object({{"standings", message.standings}});
}

void from_json(const json& in, PeerStandings& message) {
  in.at("standings").get_to(message.standings);
}

void to_json(json& out, const PeerForward& message) {
  out = json::object({{"forward", message.forward},
                      {"is_attempt", message.is_attempt},
                      {"id", message.id},
                      {"caller", message.caller},
                      {"service", message.service},
                      {"time_left", message.time_left.count()},
                      {"idempotent", message.idempotent},
                      {"body", internal::WriteBytes(message.body)}});
}

void from_json(const json& in, PeerForward& message) {
  in.at("forward").get_to(message.forward);
  in.at("is_attempt").get_to(message.is_attempt);
  in.at("id").get_to(message.id);
  in.at("caller").get_to(message.caller);
  in.at("service").get_to(message.service);
  message.time_left = internal::ReadDuration(in.at("time_left"));
  in.at("idempotent").get_to(message.idempotent);
  message.body = internal::ReadBytes(in.at("body"));
}

void to_json(json& out, const PeerForwardAnswer& message) {
  out = json::object({{"forward", message.forward},
                      {"outcome", message.outcome},
                      {"status", message.status},
                      {"body", internal::WriteBytes(message.body)}});
}

void from_json(const json& in, PeerForwardAnswer& message) {
  in.at("forward").get_to(message.forward);
  in.at("outcome").get_to(message.outcome);
  in.at("status").get_to(message.status);
  message.body = internal::ReadBytes(in.at("body"));
}

void to_json(json& out, const PeerOperatorCall& message) {
  out = json::object({{"call", message.call},
                      {"method", message.method},
                      {"path", message.path},
                      {"body", internal::WriteBytes(message.body)}});
}

void from_json(const json& in, PeerOperatorCall& message) {
  in.at("call").get_to(message.call);
  in.at("method").get_to(message.method);
  in.at("path").get_to(message.path);
  message.body = internal::ReadBytes(in.at("body"));
}

void to_json(json& out, const PeerOperatorAnswer& message) {
  out = json::object({{"call", message.call},
                      {"status", message.status},
                      {"body", internal::WriteBytes(message.body)}});
}

void from_json(const json& in, PeerOperatorAnswer& message) {
  in.at("call").get_to(message.call);
  in.at("status").get_to(message.status);
  message.body = internal::ReadBytes(in.at("body"));
}

void to_json(json& out, const SubtreeVersion& message) {
  out = json::object({{"subtree", message.subtree},
                      {"version", message.version},
                      {"change_id", message.change_id},
                      {"document", message.document}});
}

void from_json(const json& in, SubtreeVersion& message) {
  in.at("subtree").get_to(message.subtree);
  in.at("version").get_to(message.version);
  in.at("change_id").get_to(message.change_id);
  in.at("document").get_to(message.document);
}

void to_json(json& out, const SubtreeVersionNumber& message) {
  out = json::object({{"subtree", message.subtree}, {"version", message.version}});
}

void from_json(const json& in, SubtreeVersionNumber& message) {
  in.at("subtree").get_to(message.subtree);
  in.at("version").get_to(message.version);
}

void to_json(json& out, const SettingsDigest& message) {
  out = json::object({{"data_centre", message.data_centre},
                      {"subtrees", message.subtrees},
                      {"version_sum", message.version_sum},
                      {"hash", message.hash},
                      {"store_failing", message.store_failing}});
}

void from_json(const json& in, SettingsDigest& message) {
  in.at("data_centre").get_to(message.data_centre);
  in.at("subtrees").get_to(message.subtrees);
  in.at("version_sum").get_to(message.version_sum);
  in.at("hash").get_to(message.hash);
  in.at("store_failing").get_to(message.store_failing);
}

void to_json(json& out, const SettingsRequest& message) {
  out = json::object({{"have", message.have}});
}

void from_json(const json& in, SettingsRequest& message) { in.at("have").get_to(message.have); }

void to_json(json& out, const SettingsUpdate& message) {
  out = json::object({{"subtrees", message.subtrees}, {"more", message.more}});
}

void from_json(const json& in, SettingsUpdate& message) {
  in.at("subtrees").get_to(message.subtrees);
  in.at("more").get_to(message.more);
}

namespace internal {

/// Reads the alternative of \a Family whose place in it is \a type.
template <class Family, std::size_t Place = 0>
std::optional<PeerMessage> ReadAlternative(std::size_t type, const json& body) {
  if constexpr (Place < std::variant_size_v<Family>) {
    if (type != Place) {
      return ReadAlternative<Family, Place + 1>(type, body);
    }
    auto message = FromJson<std::variant_alternative_t<Place, Family>>(body);
    return message ? std::optional<PeerMessage>(Family(std::move(*message))) : std::nullopt;
  } else {
    return std::nullopt;
  }
}

std::optional<PeerMessage> ReadFamily(std::size_t family, std::size_t type, const json& body) {
  if (family == 0) {
    return ReadAlternative<ControlMessage>(type, body);
  }
  return family == 1 ? ReadAlternative<TrafficMessage>(type, body) : std::nullopt;
}

struct EnvelopeWriter {
  json envelope = json::array();

  template <class Family>
  void operator()(const Family& family) {
    this->envelope.push_back(family.index());
    std::visit([this](const auto& message) { this->envelope.push_back(message); }, family);
  }
};

}  // namespace internal

std::string EncodePeerMessage(const PeerMessage& message) {
  internal::EnvelopeWriter writer;
  writer.envelope.push_back(message.index());
  std::visit(writer, message);
  return kPeerProtocolVersion + WriteCbor(writer.envelope);
}

std::optional<PeerMessage> DecodePeerMessage(const std::string& bytes) {
  if (bytes.empty() || bytes.front() != kPeerProtocolVersion) {
    return std::nullopt;
  }
  const auto envelope = ReadCbor(bytes.substr(1));
  constexpr std::size_t kLeastFields = 3;
  if (!envelope || !envelope->is_array() || envelope->size() < kLeastFields ||
      !envelope->at(0).is_number_unsigned() || !envelope->at(1).is_number_unsigned()) {
    return std::nullopt;
  }
  return internal::ReadFamily(envelope->at(0).get<std::size_t>(),
                              envelope->at(1).get<std::size_t>(), envelope->at(2));
}

}  // namespace pistachio
