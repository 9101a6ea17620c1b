#include "pistachio/connection/lease/own_lease.h"

#include <algorithm>

namespace pistachio::internal {

namespace {

constexpr std::size_t kRememberedRounds = 16;

}  // namespace

OwnLease::OwnLease(const MemberId& self, const LeaseTiming& timing) : self(self), timing(timing) {}

std::uint64_t OwnLease::BeginRenewal(const Roster* roster, TimePoint now) {
  Renewal renewal;
  renewal.sent = now;
  renewal.in_roster = roster != nullptr && roster->Holds(this->self);
  if (renewal.in_roster) {
    renewal.members = roster->members;
  }
  this->renewals[++this->last_number] = renewal;
  this->RefreshVoters();
  return this->last_number;
}

void OwnLease::RenewalLanded(std::uint64_t number) {
  const auto landed = this->renewals.find(number);
  if (landed == this->renewals.end() || number < this->landed_number) {
    return;
  }
  this->landed_number = number;
  if (landed->second.in_roster) {
    const TimePoint until = landed->second.sent + this->timing.term - this->timing.drift_margin;
    this->record_until = std::max(this->record_until, until);
  }
  this->renewals.erase(this->renewals.begin(), landed);
  this->RefreshVoters();
}

void OwnLease::RefreshVoters() {
  this->current_voters.clear();
  for (const auto& [number, renewal] : this->renewals) {
    this->current_voters.insert(renewal.members.begin(), renewal.members.end());
  }
  this->current_voters.erase(this->self);
}

std::uint64_t OwnLease::BeginVouchRound(TimePoint now) {
  this->rounds[++this->last_round] = now;
  if (this->rounds.size() > kRememberedRounds) {
    this->rounds.erase(this->rounds.begin());
  }
  return this->last_round;
}

void OwnLease::Promised(const VouchPromise& promise, TimePoint now) {
  const auto round = this->rounds.find(promise.sequence);
  if (promise.holder != this->self || round == this->rounds.end()) {
    return;
  }
  this->NoteEnded(promise.voucher, round->second, now);
  if (promise.valid_for <= Duration(0)) {
    return;
  }
  const Duration valid_for = std::min(promise.valid_for, this->timing.term);
  Promise& known = this->promises[promise.voucher];
  known.until = std::max(known.until, round->second + valid_for - this->timing.drift_margin);
  known.received = now;
}

void OwnLease::NoteEnded(const MemberId& later, TimePoint asked, TimePoint now) {
  for (auto& [voter, promise] : this->promises) {
    const bool same_host = voter.host == later.host && voter != later;
    // The voter ran before the question was asked and the other one after it: that is the order.
    if (same_host && promise.received < asked && now < promise.until) {
      promise.ended = true;
    }
  }
}

bool OwnLease::HasEnded(const MemberId& voter) const {
  const auto promised = this->promises.find(voter);
  return promised != this->promises.end() && promised->second.ended;
}

TimePoint OwnLease::PromisedUntil() const {
  // Promises replace renewals only for a member whose record once named a roster that holds it.
  const auto landed = this->renewals.find(this->landed_number);
  if (landed == this->renewals.end() || !landed->second.in_roster || this->rounds.empty()) {
    return TimePoint();
  }
  TimePoint until = this->rounds.rbegin()->second + this->timing.term - this->timing.drift_margin;
  for (const MemberId& voter : this->current_voters) {
    const auto promised = this->promises.find(voter);
    if (promised == this->promises.end()) {
      return TimePoint();
    }
    if (!promised->second.ended) {
      until = std::min(until, promised->second.until);
    }
  }
  return until;
}

void OwnLease::Release() { this->released = true; }

TimePoint OwnLease::act_until() const {
  if (this->released) {
    return TimePoint();
  }
  return std::max(this->record_until, this->PromisedUntil());
}

}  // namespace pistachio::internal
