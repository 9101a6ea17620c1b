#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "pistachio/connection/lease/records.h"

namespace pistachio::internal {

/// \brief A write of a unit's record, to be sent as a compare-and-swap.
struct UnitWrite {
  UnitId unit;
  UnitRecord record;
  std::uint64_t expected_version = 0;
};

/// \brief What became of a unit after its record was read or written.
enum class UnitChange { kNone, kLost };

/// \brief Ownership records of the data centre's units, as last seen, and what this member holds.
class UnitTable {
 public:
  explicit UnitTable(const MemberId& self);

  /// \brief Replaces the units that have to have an owner.
  void UnitsListed(const std::vector<UnitId>& units);

  /// \brief A record was read. One older than what is known changes nothing.
  UnitChange RecordRead(const UnitId& unit, const UnitRecord& record, std::uint64_t version);

  /// \brief A write was sent; nothing else is written for the unit until it is resolved.
  void WriteSent(const UnitWrite& write);
  /// \brief The write took effect.
  UnitChange WriteLanded(const UnitWrite& write, std::uint64_t version);
  /// \brief The write failed or is in doubt: the record has to be read before the next one.
  void WriteFailed(const UnitId& unit);

  /// \brief A peer told of a record it wrote. \returns true if the record has to be read.
  bool HintReceived(const UnitMoved& hint);

  /// \brief Holds the units whose records name this member under an epoch not held before.
  /// \pre the lease covers this instant, so that no one can have taken the records since they were
  /// read
  /// \returns the units that are new.
  std::vector<UnitId> Acquire();

  /// \brief Marks an owned unit as to be handed over. \returns false if it is already or not owned.
  bool StartDraining(const UnitId& unit);
  /// \brief Stops holding a unit. \returns false if it was not held.
  bool Drop(const UnitId& unit);
  /// \brief Stops holding every unit. \returns those that were held.
  std::vector<UnitId> DropAll();

  /// \returns the write that gives \a unit to \a owner under the next epoch.
  UnitWrite NextWrite(const UnitId& unit, const MemberId& owner) const;

  /// \returns the wanted units that have no record, an owner that gave them back, or an owner for
  /// which \a is_gone holds, and no write under way. Cost: linear in the units.
  template <class IsGone>
  std::vector<UnitId> Ownerless(IsGone is_gone) const;
  /// \returns units whose record names this member but that it does not hold, with no write under
  /// way: their holding was given up and the successor's write did not land.
  std::vector<UnitId> Stranded() const;

  const std::map<UnitId, Epoch>& owned() const { return this->held; }
  std::vector<UnitId> draining() const;
  bool IsDraining(const UnitId& unit) const { return this->draining_units.count(unit) != 0; }
  /// \returns every member that a record names as owner.
  std::set<MemberId> Owners() const;
  bool HasWrites() const;
  bool IsAnyRecordOf(const MemberId& member) const;
  std::optional<HostId> OwnerOf(const UnitId& unit) const;

 private:
  struct Known {
    UnitRecord record;
    std::uint64_t version = 0;
    bool writing = false;
    Epoch held_epoch = 0;  ///< the latest epoch under which this member held the unit
    UnitRecord hint;
  };

  UnitChange Adopt(const UnitId& unit, const Known& known);

  MemberId self;
  std::set<UnitId> wanted;
  std::map<UnitId, Known> units;
  std::map<UnitId, Epoch> held;
  std::set<UnitId> draining_units;
  std::set<UnitId> acquirable;
};

template <class IsGone>
std::vector<UnitId> UnitTable::Ownerless(IsGone is_gone) const {
  std::vector<UnitId> found;
  for (const UnitId& unit : this->wanted) {
    const auto known = this->units.find(unit);
    const bool fresh = known == this->units.end() || known->second.version == 0;
    if (fresh) {
      if (known == this->units.end() || !known->second.writing) {
        found.push_back(unit);
      }
      continue;
    }
    const MemberId& owner = known->second.record.owner;
    if (!known->second.writing && (owner.host.empty() || is_gone(owner))) {
      found.push_back(unit);
    }
  }
  return found;
}

}  // namespace pistachio::internal
