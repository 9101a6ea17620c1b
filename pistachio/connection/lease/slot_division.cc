#include "pistachio/connection/lease/slot_division.h"

#include <algorithm>

#include "pistachio/connection/lease/rendezvous.h"

namespace pistachio::internal {

SlotDivision::SlotDivision(const MemberId& self, const LeaseTiming& timing)
    : self(self), timing(timing) {}

void SlotDivision::RosterRead(const Roster& roster, TimePoint now) {
  const std::uint64_t known =
      this->unsettled.empty() ? this->settled.version : this->unsettled.back().version;
  if (roster.version <= known) {
    return;
  }
  this->unsettled.push_back(roster);
  for (const RetiredMember& retired : roster.retired) {
    this->retired_since.emplace(retired.member, now);
  }
}

void SlotDivision::PeerOn(const MemberId& peer, std::uint64_t version, TimePoint now) {
  PeerVersion& known = this->peers[peer];
  if (known.version < version) {
    known = PeerVersion{version, now};
  }
}

bool SlotDivision::IsIdle(const RetiredMember& retired, TimePoint now) const {
  const auto since = this->retired_since.find(retired.member);
  if (since == this->retired_since.end()) {
    return false;
  }
  const Duration grace = retired.stopped ? Duration(0) : this->timing.slot_grace;
  const Duration wait = this->timing.WithMargin(grace + this->timing.max_request);
  return now >= since->second + wait;
}

bool SlotDivision::MaySettle(TimePoint now) const {
  const Roster& newest = this->unsettled.back();
  for (const MemberId& member : newest.members) {
    if (member == this->self) {
      continue;
    }
    const auto peer = this->peers.find(member);
    // A peer on a later version is no proof for this one: it may have passed it over.
    if (peer == this->peers.end() || peer->second.version != newest.version) {
      return false;
    }
    if (now < peer->second.since + this->timing.WithMargin(this->timing.max_request)) {
      return false;
    }
  }
  return std::all_of(newest.retired.begin(), newest.retired.end(),
                     [&](const RetiredMember& retired) { return this->IsIdle(retired, now); });
}

bool SlotDivision::Settle(TimePoint now) {
  if (this->unsettled.empty() || !this->MaySettle(now)) {
    return false;
  }
  this->settled = this->unsettled.back();
  this->unsettled.clear();
  return true;
}

std::uint32_t SlotDivision::Usable(const TargetId& target, std::uint32_t slots) const {
  std::uint32_t usable = 0;
  for (std::uint32_t slot = 0; slot < slots; slot++) {
    const std::string key = target.str() + "/" + std::to_string(slot);
    const auto wins = [&](const Roster& roster) {
      return RendezvousWinner(roster.members, key) == this->self;
    };
    if (wins(this->settled) && std::all_of(this->unsettled.begin(), this->unsettled.end(), wins)) {
      usable++;
    }
  }
  return usable;
}

}  // namespace pistachio::internal
