#include "pistachio/connection/lease/records.h"

#include "pistachio/connection/store/cbor.h"

namespace pistachio::internal {

using Json = nlohmann::json;

namespace {

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
  return FromCbor(value, ToMemberRecord);
}

std::optional<UnitRecord> DecodeUnitRecord(const std::string& value) {
  return FromCbor(value, ToUnitRecord);
}

std::optional<Roster> DecodeRoster(const std::string& value) { return FromCbor(value, ToRoster); }

}  // namespace pistachio::internal
