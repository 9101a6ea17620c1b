#include "pistachio/connection/lease/records.h"

#include <nlohmann/json.hpp>

namespace pistachio::internal {

using Json = nlohmann::json;

namespace {

std::string ToCbor(const Json& json) {
  const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
  return std::string(bytes.begin(), bytes.end());
}

// Discarded input and input of the wrong shape both end as nothing.
Json FromCbor(const std::string& value) {
  return Json::from_cbor(value, /*strict=*/true, /*allow_exceptions=*/false);
}

Json ToJson(const MemberId& member) { return Json::array({member.host.str(), member.incarnation}); }

MemberId ToMemberId(const Json& json) {
  return MemberId{HostId(json.at(0).get<std::string>()), json.at(1).get<std::uint64_t>()};
}

Roster ToRoster(const Json& json) {
  Roster roster;
  roster.version = json.at("v").get<std::uint64_t>();
  for (const Json& entry : json.at("m")) {
    const MemberId member = ToMemberId(entry);
    roster.members.push_back(member);
    roster.joined[member] = entry.at(2).get<std::uint64_t>();
  }
  for (const Json& entry : json.at("r")) {
    roster.retired.push_back(RetiredMember{ToMemberId(entry), entry.at(2).get<bool>()});
  }
  return roster;
}

MemberRecord ToMemberRecord(const Json& json) {
  MemberRecord record;
  record.member = ToMemberId(json.at("m"));
  record.renewals = json.at("n").get<std::uint64_t>();
  record.roster_seen = json.at("r").get<std::uint64_t>();
  const int state = json.at("s").get<int>();
  record.state = state == 0   ? MemberState::kLive
                 : state == 1 ? MemberState::kExpelled
                              : MemberState::kLeft;
  return record;
}

UnitRecord ToUnitRecord(const Json& json) {
  return UnitRecord{ToMemberId(json.at("o")), json.at("e").get<Epoch>()};
}

template <class Convert>
auto Decode(const std::string& value, Convert convert)
    -> std::optional<decltype(convert(std::declval<Json>()))> {
  const Json json = FromCbor(value);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    return convert(json);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

LeaseKeys::LeaseKeys(const DataCentreId& data_centre)
    : members_prefix("dc/" + data_centre.str() + "/members/"),
      units_prefix("dc/" + data_centre.str() + "/units/") {}

std::string LeaseKeys::member(const MemberId& member) const {
  return this->members_prefix + "at/" + member.str();
}

UnitId LeaseKeys::UnitOf(const std::string& key) const {
  return UnitId(key.substr(this->units_prefix.size()));
}

std::string Encode(const MemberRecord& record) {
  return ToCbor(Json{{"m", ToJson(record.member)},
                     {"n", record.renewals},
                     {"r", record.roster_seen},
                     {"s", static_cast<int>(record.state)}});
}

std::string Encode(const UnitRecord& record) {
  return ToCbor(Json{{"o", ToJson(record.owner)}, {"e", record.epoch}});
}

std::string Encode(const Roster& roster) {
  Json members = Json::array();
  for (const MemberId& member : roster.members) {
    Json entry = ToJson(member);
    entry.push_back(roster.joined.at(member));
    members.push_back(entry);
  }
  Json retired = Json::array();
  for (const RetiredMember& gone : roster.retired) {
    Json entry = ToJson(gone.member);
    entry.push_back(gone.stopped);
    retired.push_back(entry);
  }
  return ToCbor(Json{{"v", roster.version}, {"m", members}, {"r", retired}});
}

std::optional<MemberRecord> DecodeMemberRecord(const std::string& value) {
  return Decode(value, ToMemberRecord);
}

std::optional<UnitRecord> DecodeUnitRecord(const std::string& value) {
  return Decode(value, ToUnitRecord);
}

std::optional<Roster> DecodeRoster(const std::string& value) { return Decode(value, ToRoster); }

}  // namespace pistachio::internal
