#include "pistachio/process/daemon/standing_table.h"

#include <algorithm>
#include <set>

#include "pistachio/connection/codec.h"

namespace pistachio {

namespace internal {

constexpr std::uint32_t kMaxTries = 8;

std::optional<Standings> ReadStandings(const StoreEntry& entry) {
  const auto json = ReadCbor(entry.value);
  auto drained = json ? FromJson<std::vector<TargetId>>(*json) : std::nullopt;
  if (!drained) {
    return std::nullopt;
  }
  return Standings{entry.version, std::move(*drained)};
}

}  // namespace internal

StandingTable::StandingTable(const DataCentreId& data_centre)
    : key("dc/" + data_centre.str() + "/drained") {}

StoreCall StandingTable::CallOf(const PendingChange& change) const {
  std::set<TargetId> drained(this->known.drained.begin(), this->known.drained.end());
  if (change.drained) {
    drained.insert(change.target);
  } else {
    drained.erase(change.target);
  }
  const std::vector<TargetId> next(drained.begin(), drained.end());
  return CompareAndSwapCall{this->key, this->known.version, WriteCbor(next)};
}

StoreCall StandingTable::Change(std::uint64_t request, const TargetId& target, bool drained) {
  const PendingChange change{target, drained, 0};
  this->changes[request] = change;
  return this->CallOf(change);
}

StoreCall StandingTable::Read() const { return GetCall{this->key}; }

void StandingTable::Adopt(const StoreReply& reply) {
  for (const StoreEntry& entry : reply.entries) {
    const auto read = internal::ReadStandings(entry);
    if (read) {
      this->Merge(*read);
    }
  }
}

std::optional<StandingChanged> StandingTable::TakeReply(std::uint64_t request,
                                                        const StoreReply& reply,
                                                        std::optional<StoreCall>* again) {
  this->Adopt(reply);
  const auto found = this->changes.find(request);
  if (found == this->changes.end()) {
    return std::nullopt;
  }
  PendingChange& change = found->second;
  StandingChanged changed{request, reply.status == StoreStatus::kOk, ""};
  // After a lost answer the write is simply made again: it says the same in either case.
  const bool try_again =
      reply.status == StoreStatus::kConflict || reply.status == StoreStatus::kUnknown;
  if (try_again && ++change.tries < internal::kMaxTries) {
    *again = this->CallOf(change);
    return std::nullopt;
  }
  if (!changed.accepted) {
    changed.reason = "the key-value service cannot be reached; ask again";
  }
  this->changes.erase(found);
  return changed;
}

bool StandingTable::Merge(const Standings& told) {
  if (told.version <= this->known.version) {
    return false;
  }
  this->known = told;
  return true;
}

void StandingTable::Apply(std::vector<TargetListing>& listings) const {
  const std::set<TargetId> drained(this->known.drained.begin(), this->known.drained.end());
  for (TargetListing& listing : listings) {
    if (listing.standing == TargetStanding::kLive && drained.count(listing.target) != 0) {
      listing.standing = TargetStanding::kDrained;
    }
  }
}

}  // namespace pistachio
