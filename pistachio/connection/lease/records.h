#pragma once

#include <optional>
#include <string>

#include "pistachio/connection/lease/member_types.h"

namespace pistachio::internal {

/// \brief State of a member's lease record. Only kLive ever changes.
enum class MemberState { kLive = 0, kExpelled = 1, kLeft = 2 };

/// \brief A member's lease record; the member and \a renewals together name one write.
struct MemberRecord {
  MemberId member;
  std::uint64_t renewals = 0;
  std::uint64_t roster_seen = 0;  ///< members of this roster may expel the holder; 0 before joining
  MemberState state = MemberState::kLive;
};

/// \brief A unit's ownership record. An empty owner means that it was given back.
struct UnitRecord {
  MemberId owner;
  Epoch epoch = 0;
};

/// \brief Keys of a data centre's records. One prefix holds the roster and every member record, so
/// that a single list call returns them as of one instant.
struct LeaseKeys {
  std::string members_prefix;
  std::string units_prefix;

  explicit LeaseKeys(const DataCentreId& data_centre);
  std::string roster() const { return this->members_prefix + "roster"; }
  std::string member(const MemberId& member) const;
  std::string unit(const UnitId& unit) const { return this->units_prefix + unit.str(); }
  /// \returns the unit that \a key belongs to. \pre \a key starts with the units' prefix.
  UnitId UnitOf(const std::string& key) const;
};

// CBOR values of the records; decoding returns nothing for malformed input.

std::string Encode(const MemberRecord& record);
std::string Encode(const UnitRecord& record);
std::string Encode(const Roster& roster);
std::optional<MemberRecord> DecodeMemberRecord(const std::string& value);
std::optional<UnitRecord> DecodeUnitRecord(const std::string& value);
std::optional<Roster> DecodeRoster(const std::string& value);

}  // namespace pistachio::internal
