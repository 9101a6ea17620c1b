#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/connection/peer/messages.h"
#include "pistachio/connection/store/calls.h"
#include "pistachio/process/tasks/types.h"

namespace pistachio {

/// \brief What became of an operator's change of a target.
struct StandingChanged {
  std::uint64_t request = 0;
  bool accepted = false;
  std::string reason;
};

/// \brief Keeps operators' drains: written by compare-and-swap, spread by peers, never backwards.
///
/// Pure. A change is tried again after a conflict, since another change of the same record is no
/// reason to refuse this one.
class StandingTable {
 public:
  explicit StandingTable(const DataCentreId& data_centre);

  /// \brief Starts a change. \returns the store call to make.
  StoreCall Change(std::uint64_t request, const TargetId& target, bool drained);

  /// \returns the call that reads the record, at the start and now and then.
  StoreCall Read() const;

  /// \brief Takes in the reply to the call of \a request (0 for a read).
  /// \param again gets the call to make next, if one is needed
  /// \returns what became of the change once that is known
  std::optional<StandingChanged> TakeReply(std::uint64_t request, const StoreReply& reply,
                                           std::optional<StoreCall>* again);

  /// \brief Takes in what a peer has. \returns true if it was newer.
  bool Merge(const Standings& told);

  const Standings& current() const { return this->known; }

  /// \brief Marks drained targets in the platform's list.
  void Apply(std::vector<TargetListing>& listings) const;

 private:
  struct PendingChange {
    TargetId target;
    bool drained = false;
    std::uint32_t tries = 0;
  };

  StoreCall CallOf(const PendingChange& change) const;
  void Adopt(const StoreReply& reply);

  std::string key;
  Standings known;
  std::map<std::uint64_t, PendingChange> changes;
};

}  // namespace pistachio
