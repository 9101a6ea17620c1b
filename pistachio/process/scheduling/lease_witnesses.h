#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits on the extension of leases by an owner that has no answer of the store.
struct WitnessSettings {
  /// Time since the store's last confirmation for which an owner extends leases in any case. It
  /// covers the interval of an idle owner's writes and a slow store.
  Duration unwitnessed_time = std::chrono::milliseconds(2000);
  /// Longest time since the sending of an order for which a target that carried it out counts.
  Duration validity = std::chrono::milliseconds(1000);
  /// Longest time for which a witness may delay the answer to a hold while it is needed.
  std::chrono::milliseconds long_poll{300};
  /// Number of witnesses. The loss of some leaves a majority.
  std::size_t count = 11;
  /// Minimum interval between two choices of witnesses.
  Duration choice_interval = std::chrono::milliseconds(1000);
};

/// \returns the number of a target's incarnation among the witnesses.
std::uint64_t WitnessIdOf(const TargetId& target, std::uint64_t incarnation);

/// \brief Decides by a fixed set of targets, the witnesses, whether an owner without the store may
/// go on extending leases, and until when a former owner may have done so.
///
/// Each target refuses the orders of an owner once it has carried out one of a later owner, which
/// has a higher fencing token. An owner that has lost the store extends leases only while a
/// majority of the witnesses carries out its orders. A new owner asks the same targets. Two
/// majorities have a witness in common, so once a majority has answered the new owner, the former
/// one extends no lease for longer than `WitnessSettings::validity`, whether it is up or not.
///
/// The set is in the store, in the record that each owner replaces on the condition that it is
/// unchanged. While a write with another set is not confirmed, a majority of either set is needed,
/// since the next owner may read either. An owner replaces the set of the one before only once
/// that one extends no lease any more: a majority of the set has answered, or the longest time is
/// over for which an owner without the store extends leases.
class LeaseWitnesses {
 public:
  /// A target that the owner reaches.
  struct Candidate {
    std::uint64_t id = 0;  ///< see `WitnessIdOf`
    DataCentreId data_centre;
  };
  /// When the last order that each target has carried out was sent, by `WitnessIdOf`.
  using Confirmations = std::map<std::uint64_t, TimePoint>;

  explicit LeaseWitnesses(const WitnessSettings& settings) : settings(settings) {}

  /// \brief Sets the witnesses that the store has when the cell is taken.
  void Inherit(WitnessSet witnesses) {
    this->stored = std::move(witnesses);
    this->majority_at.reset();
  }

  /// \brief Notes that a target has carried out an order of this owner.
  /// \param sent_at when the order was sent
  /// \returns true if a majority of the inherited witnesses has now answered for the first time
  bool Confirm(std::uint64_t witness, TimePoint sent_at, TimePoint now);

  /// \returns when a majority of the inherited witnesses had answered this owner; nothing before,
  ///   and if there are none.
  std::optional<TimePoint> majority_answered_at() const { return this->majority_at; }

  /// \returns true unless the store may name witnesses of which no majority has carried out a
  ///   recent order. Without witnesses, the next owner waits for longer.
  bool MayExtend(TimePoint now) const;

  /// \returns true if the target is a witness, in the store or in a write that is not confirmed.
  bool Has(std::uint64_t witness) const {
    return this->stored.count(witness) != 0 || (this->open && this->open->count(witness) != 0);
  }

  /// \brief Chooses the witnesses for the next write: those in the store that are among the
  /// candidates, and others in turn from each data centre.
  WitnessSet Choose(const std::vector<Candidate>& candidates) const;

  /// \returns true if witnesses may be chosen again.
  /// \param former_owners_over no earlier owner can extend a lease any more
  bool MayChoose(bool former_owners_over, TimePoint now) const;
  /// \brief Notes that \a witnesses are part of a write that may reach the store from now on.
  void BeginWrite(WitnessSet witnesses, TimePoint now);
  /// \brief Notes that the write of the last `BeginWrite` is in the store.
  void ConfirmWrite();

  /// \returns the witnesses in the store, as far as is known.
  const WitnessSet& in_store() const { return this->stored; }

 private:
  /// \returns true if a majority of \a witnesses carried out an order sent at \a since or later.
  bool HasMajority(const WitnessSet& witnesses, TimePoint since) const;

  WitnessSettings settings;
  WitnessSet stored;
  std::optional<WitnessSet> open;  ///< of a write that is not confirmed
  Confirmations confirmations;     ///< of the witnesses in either set
  std::optional<TimePoint> majority_at;
  bool replaced = false;  ///< this owner has written witnesses of its own
  TimePoint chosen_at{};
};

}  // namespace pistachio
