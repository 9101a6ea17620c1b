#include "pistachio/connection/lease/unit_table.h"

#include <algorithm>
#include <utility>

namespace pistachio::internal {

UnitTable::UnitTable(const MemberId& self) : self(self) {}

void UnitTable::UnitsListed(const std::vector<UnitId>& units) {
  this->wanted = std::set<UnitId>(units.begin(), units.end());
}

UnitChange UnitTable::Adopt(const UnitId& unit, const Known& known) {
  const auto holding = this->held.find(unit);
  const bool is_owner = known.record.owner == this->self;
  if (holding != this->held.end()) {
    if (is_owner && known.record.epoch == holding->second) {
      return UnitChange::kNone;
    }
    this->Drop(unit);
    return UnitChange::kLost;
  }
  if (is_owner) {
    this->acquirable.insert(unit);
  }
  return UnitChange::kNone;
}

std::vector<UnitId> UnitTable::Acquire() {
  std::vector<UnitId> acquired;
  for (const UnitId& unit : std::exchange(this->acquirable, {})) {
    Known& known = this->units[unit];
    // An epoch is held once: what was given up comes back only under a later one.
    const bool is_new =
        known.record.owner == this->self && !known.writing && known.record.epoch > known.held_epoch;
    if (is_new) {
      known.held_epoch = known.record.epoch;
      this->held[unit] = known.record.epoch;
      acquired.push_back(unit);
    }
  }
  return acquired;
}

UnitChange UnitTable::RecordRead(const UnitId& unit, const UnitRecord& record,
                                 std::uint64_t version) {
  Known& known = this->units[unit];
  if (version < known.version) {
    return UnitChange::kNone;
  }
  known.record = record;
  known.version = version;
  return this->Adopt(unit, known);
}

void UnitTable::WriteSent(const UnitWrite& write) { this->units[write.unit].writing = true; }

UnitChange UnitTable::WriteLanded(const UnitWrite& write, std::uint64_t version) {
  this->units[write.unit].writing = false;
  return this->RecordRead(write.unit, write.record, version);
}

void UnitTable::WriteFailed(const UnitId& unit) { this->units[unit].writing = false; }

bool UnitTable::HintReceived(const UnitMoved& hint) {
  Known& known = this->units[hint.unit];
  if (hint.epoch <= known.record.epoch) {
    return false;
  }
  if (hint.epoch > known.hint.epoch) {
    known.hint = UnitRecord{hint.owner, hint.epoch};
  }
  return hint.owner == this->self || this->held.count(hint.unit) != 0;
}

bool UnitTable::StartDraining(const UnitId& unit) {
  return this->held.count(unit) != 0 && this->draining_units.insert(unit).second;
}

bool UnitTable::Drop(const UnitId& unit) {
  this->draining_units.erase(unit);
  return this->held.erase(unit) != 0;
}

std::vector<UnitId> UnitTable::DropAll() {
  std::vector<UnitId> dropped;
  for (const auto& [unit, epoch] : this->held) {
    dropped.push_back(unit);
  }
  this->held.clear();
  this->draining_units.clear();
  return dropped;
}

UnitWrite UnitTable::NextWrite(const UnitId& unit, const MemberId& owner) const {
  const auto known = this->units.find(unit);
  if (known == this->units.end()) {
    return UnitWrite{unit, UnitRecord{owner, 1}, 0};
  }
  const UnitRecord next{owner, known->second.record.epoch + 1};
  return UnitWrite{unit, next, known->second.version};
}

std::vector<UnitId> UnitTable::Stranded() const {
  std::vector<UnitId> found;
  for (const auto& [unit, known] : this->units) {
    const bool stranded =
        known.record.owner == this->self && !known.writing && this->held.count(unit) == 0;
    if (stranded) {
      found.push_back(unit);
    }
  }
  return found;
}

std::vector<UnitId> UnitTable::draining() const {
  return std::vector<UnitId>(this->draining_units.begin(), this->draining_units.end());
}

std::set<MemberId> UnitTable::Owners() const {
  std::set<MemberId> owners;
  for (const auto& [unit, known] : this->units) {
    if (known.version != 0 && !known.record.owner.host.empty()) {
      owners.insert(known.record.owner);
    }
  }
  return owners;
}

bool UnitTable::HasWrites() const {
  return std::any_of(this->units.begin(), this->units.end(),
                     [](const auto& entry) { return entry.second.writing; });
}

bool UnitTable::IsAnyRecordOf(const MemberId& member) const {
  return std::any_of(this->units.begin(), this->units.end(),
                     [&](const auto& entry) { return entry.second.record.owner == member; });
}

std::optional<HostId> UnitTable::OwnerOf(const UnitId& unit) const {
  const auto known = this->units.find(unit);
  if (known == this->units.end()) {
    return std::nullopt;
  }
  const bool hinted = known->second.hint.epoch > known->second.record.epoch;
  const MemberId& owner = hinted ? known->second.hint.owner : known->second.record.owner;
  return owner.host.empty() ? std::nullopt : std::optional<HostId>(owner.host);
}

}  // namespace pistachio::internal
