#include <algorithm>
#include <utility>
#include <vector>

#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

TimePoint Cell::FormerOwnersExtendUntil() const {
  const TimePoint latest = this->no_owner_at + this->settings.store_outage_tolerance;
  const auto answered_at = this->witnesses.majority_answered_at();
  if (!answered_at) {
    return latest;
  }
  const WitnessSettings& limits = this->settings.witnesses;
  return std::min(latest, std::max(this->no_owner_at + limits.unwitnessed_time,
                                   *answered_at + limits.validity));
}

TimePoint Cell::InheritedLeaseExpiry(const TargetId& target) const {
  const TimePoint earliest = this->acquired_at + this->settings.min_inherited_wait;
  const TimePoint latest = std::max(
      earliest, this->LeaseExpiry(this->FormerOwnersExtendUntil(), this->settings.lease_duration));
  const auto bound = this->stored_bounds.find(target);
  if (bound == this->stored_bounds.end()) {
    return latest;
  }
  // The bound was computed before this owner took the cell, and no lease was extended since.
  return std::min(latest, std::max(earliest, this->acquired_at + bound->second));
}

void Cell::InheritLeases(const LeaseRecord& leases) {
  this->stored_bounds = leases.bounds;
  this->inherited_long_leases = leases.long_leases;
  this->witnesses.Inherit(leases.witnesses);
}

void Cell::InheritLease(Target* target) {
  target->own_lease_expires_at = this->InheritedLeaseExpiry(target->entry.id);
  const auto long_lease = this->inherited_long_leases.find(target->entry.id);
  if (long_lease != this->inherited_long_leases.end()) {
    target->inherited_deadlines_expire_at = this->acquired_at + long_lease->second;
    target->own_lease_expires_at =
        std::max(target->own_lease_expires_at, target->inherited_deadlines_expire_at);
  }
}

TimePoint Cell::InheritedDeadlinesArriveUntil(const Target& target) const {
  if (this->is_first_owner) {
    return TimePoint::min();
  }
  // An owner without the store goes on extending leases for a while.
  const Duration longest = this->settings.store_outage_tolerance + this->settings.max_order_delay;
  return std::min(this->no_owner_at + longest,
                  target.known_since + this->settings.max_registration_delay + longest);
}

void Cell::CoverInheritedDeadlines(Target* target) {
  target->inherited_deadlines_expire_at =
      std::max(target->inherited_deadlines_expire_at,
               this->LeaseExpiry(this->InheritedDeadlinesArriveUntil(*target),
                                 this->settings.max_lease_duration));
}

TimePoint Cell::LeaseAtFirstList(Target* target, TimePoint now) {
  // From now on the incarnation refuses the orders of earlier owners.
  target->inherited_deadlines_expire_at =
      this->LeaseExpiry(std::min(now, this->InheritedDeadlinesArriveUntil(*target)),
                        this->settings.max_lease_duration);
  return std::max(target->inherited_deadlines_expire_at,
                  this->LeaseExpiry(now, this->settings.lease_duration));
}

TargetTime Cell::EstimateClock(const Target& target, TimePoint now, double drift) {
  const auto since = std::chrono::duration_cast<TargetTime>((now - target.clock_at) * (1 - drift));
  return *target.clock + since;
}

std::optional<TargetTime> Cell::ExtendLease(Target* target, TimePoint now) {
  if (!target->clock || !this->MayExtendLeases(now) || this->HasLeaseBound(target->entry.id)) {
    return std::nullopt;
  }
  const bool draining = target->entry.state == TargetState::kDraining;
  const Duration duration =
      draining ? this->settings.draining_lease_duration : this->settings.lease_duration;
  const TargetTime deadline = EstimateClock(*target, now, this->settings.clock_drift) +
                              std::chrono::duration_cast<TargetTime>(duration);
  const double drift = 1.0 + this->settings.clock_drift;
  target->lease_deadline = std::max(target->lease_deadline.value_or(deadline), deadline);
  const Duration ahead = deadline - *target->clock;
  target->own_lease_expires_at = std::max(target->own_lease_expires_at,
                                          target->clock_at + this->settings.clock_margin +
                                              std::chrono::duration_cast<Duration>(ahead * drift));
  return deadline;
}

std::optional<TargetTime> Cell::LeaseForStart(Target* target, bool resent, TimePoint now) {
  // Holds extend the leases of a target that answers. If each start did so too, the lease of a
  // target that went silent would end later with each start that it leaves unanswered.
  if (!target->clock || !target->lease_deadline || !this->MayExtendLeases(now)) {
    return this->ExtendLease(target, now);
  }
  const TargetTime left =
      *target->lease_deadline - EstimateClock(*target, now, this->settings.clock_drift);
  const bool enough_left = left >= this->settings.min_lease_at_start;
  if (!resent && target->failed_holds > 0) {
    return std::nullopt;
  }
  return resent || enough_left ? target->lease_deadline : this->ExtendLease(target, now);
}

bool Cell::MayExtendLeases(TimePoint now) const {
  const Duration unconfirmed = now - this->ownership_confirmed_at;
  return unconfirmed < this->settings.witnesses.unwitnessed_time ||
         (unconfirmed < this->settings.store_outage_tolerance && this->witnesses.MayExtend(now));
}

void Cell::ConfirmWitness(const Target& target, TimePoint sent_at, TimePoint now) {
  const std::uint64_t witness = WitnessIdOf(target.entry.id, target.incarnation);
  if (!this->witnesses.Confirm(witness, sent_at, now)) {
    return;
  }
  this->Log(EventCode::kWitnessesAnswered,
            {{"cell", this->cell_id.str()},
             {"witnesses", std::to_string(this->witnesses.in_store().size())},
             {"taken-ms", MillisecondsText(now - this->acquired_at)},
             {"unowned-ms", MillisecondsText(now - this->no_owner_at)}});
  for (auto& [id, other] : this->targets) {
    if (!other.answered) {
      other.own_lease_expires_at =
          std::min(other.own_lease_expires_at,
                   std::max(this->InheritedLeaseExpiry(id), other.inherited_deadlines_expire_at));
    }
  }
}

WitnessSet Cell::ChooseWitnesses(TimePoint now) const {
  const bool former_owners_over =
      this->is_first_owner || now >= this->no_owner_at + this->settings.store_outage_tolerance;
  if (!this->witnesses.MayChoose(former_owners_over, now)) {
    return this->witnesses.in_store();
  }
  std::vector<LeaseWitnesses::Candidate> candidates;
  for (const auto& [id, target] : this->targets) {
    const bool in_reach = target.reconciled && !target.restart_seen && target.failed_holds == 0;
    if (in_reach && target.registered && target.entry.state == TargetState::kReady) {
      candidates.push_back({WitnessIdOf(id, target.incarnation), target.entry.data_centre});
    }
  }
  return this->witnesses.Choose(candidates);
}

bool Cell::WitnessesDue(TimePoint now) const {
  const bool any_run = std::any_of(this->targets.begin(), this->targets.end(),
                                   [](const auto& entry) { return !entry.second.tasks.empty(); });
  return any_run && this->ChooseWitnesses(now) != this->witnesses.in_store();
}

LeaseRecord Cell::BeginLeaseRecord(LeaseBounds bounds, TimePoint now) {
  LeaseRecord record{std::move(bounds), this->CurrentLongLeases(now), this->ChooseWitnesses(now)};
  this->open_bounds = record.bounds;
  this->bounds_written_at = now;
  this->witnesses.BeginWrite(record.witnesses, now);
  return record;
}

void Cell::ForgetClock(Target* target) {
  target->clock.reset();
  target->lease_deadline.reset();
  target->listed_at.reset();
}

TimePoint Cell::LeaseExpiry(TimePoint arrival, Duration lease) const {
  return arrival + this->settings.clock_margin +
         std::chrono::duration_cast<Duration>(lease * (1.0 + this->settings.clock_drift));
}

void Cell::NoteDeadline(Target* target, const internal::SentOrder& sent, OrderStatus status,
                        TimePoint now) {
  if (!sent.has_deadline) {
    return;
  }
  const bool may_arrive_late = status == OrderStatus::kNoAnswer;
  const TimePoint arrival = may_arrive_late ? now + this->settings.max_order_delay : now;
  if (sent.incarnation == target->incarnation) {
    target->deadlines_arrive_until = std::max(target->deadlines_arrive_until, arrival);
    return;
  }
  target->earlier_deadlines_arrive_until =
      std::max(target->earlier_deadlines_arrive_until, arrival);
  if (!target->refuses_earlier_orders) {
    this->CoverEarlierDeadlines(target, arrival);
  }
}

void Cell::NoteRefusalOfEarlierOrders(Target* target, const internal::SentOrder& sent,
                                      std::uint64_t answered_by) {
  if (!target->refuses_earlier_orders && answered_by == target->incarnation &&
      sent.token > target->earlier_token) {
    target->refuses_earlier_orders = true;
    target->refusal_is_new = true;
  }
}

void Cell::CoverEarlierDeadlines(Target* target, TimePoint arrival) {
  if (arrival == TimePoint{}) {
    return;
  }
  target->earlier_deadlines_expire_at =
      std::max(target->earlier_deadlines_expire_at,
               this->LeaseExpiry(arrival, this->settings.max_lease_duration));
}

TimePoint Cell::LeaseEnd(const Target& target) {
  return std::max(target.own_lease_expires_at, target.earlier_deadlines_expire_at);
}

TimePoint Cell::LongLeaseExpiry(const Target& target) {
  return std::max(target.earlier_deadlines_expire_at, target.inherited_deadlines_expire_at);
}

const char* Cell::LeaseSource(const Target& target) {
  const TimePoint long_lease = LongLeaseExpiry(target);
  if (long_lease != TimePoint{} && long_lease >= LeaseEnd(target)) {
    return "former-incarnation";
  }
  return target.answered ? "own" : "inherited";
}

bool Cell::AwaitsShorterLease(const Target& target, const Submission& submission, const Task& task,
                              TimePoint now) const {
  return LongLeaseExpiry(target) - now > this->settings.max_lease_at_long_running_start &&
         this->TimeWaiting(submission, task, now) < this->settings.max_safe_time_without_run;
}

bool Cell::MayHoldLongerLease(const Target& target, TimePoint now) const {
  return LongLeaseExpiry(target) > this->LeaseExpiry(now, this->settings.lease_duration);
}

void Cell::UpdateClock(Target* target, const std::optional<TargetTime>& clock,
                       TimePoint requested_at, TimePoint now) {
  target->answered = target->answered || clock;
  // Answers may arrive out of order, so an older reading may follow a newer one.
  if (clock && !target->restart_seen && (!target->clock || *clock >= *target->clock)) {
    target->clock = clock;
    target->clock_requested_at = requested_at;
    target->clock_at = now;
    target->clock_is_new = true;
    target->answered_at = now;
  }
}

void Cell::DateClockReadings(TimePoint now) {
  // An answer is handled with the time of the tick before, which may lie before the reading: by
  // seconds if the process was suspended. Deadlines would then be too late.
  for (auto& [id, target] : this->targets) {
    if (std::exchange(target.clock_is_new, false)) {
      target.clock_at = std::max(target.clock_at, now);
    }
    if (std::exchange(target.refusal_is_new, false)) {
      target.earlier_deadlines_expire_at =
          std::min(target.earlier_deadlines_expire_at,
                   this->LeaseExpiry(now, this->settings.max_lease_duration));
    }
    if (std::exchange(target.first_list_is_new, false)) {
      target.own_lease_expires_at =
          std::max(target.own_lease_expires_at, this->LeaseAtFirstList(&target, now));
    }
  }
}

LeaseBounds Cell::CurrentLeaseBounds(TimePoint now) const {
  // A store key holds at most some kilobytes, and every commit writes the bounds.
  constexpr std::size_t kMaxBounds = 64;
  LeaseBounds bounds;
  for (const auto& [id, target] : this->targets) {
    const bool silent = target.failed_holds >= this->settings.health.max_failed_holds;
    const bool stored = this->stored_bounds.count(id) != 0;
    const bool unreached = !target.answered && (silent || target.entry.address.empty() || stored);
    const bool lost = target.answered && silent &&
                      (stored || now - target.silent_since >= this->settings.bound_after_silence);
    if ((unreached || lost) && !target.tasks.empty() && bounds.size() < kMaxBounds) {
      bounds[id] = std::max(Duration(0), LeaseEnd(target) - now);
    }
  }
  return bounds;
}

LeaseBounds Cell::CurrentLongLeases(TimePoint now) const {
  std::map<TargetId, TimePoint> ends;
  for (const auto& [id, target] : this->targets) {
    // A next owner waits for a lease that this owner sets in any case.
    if (!target.tasks.empty() && this->MayHoldLongerLease(target, now)) {
      ends[id] = LongLeaseExpiry(target);
    }
  }
  // Orders to an earlier incarnation that are not answered yet may still reach the present one.
  const TimePoint latest =
      this->LeaseExpiry(now + this->settings.max_order_delay, this->settings.max_lease_duration);
  for (const auto& [ticket, sent] : this->sent_orders) {
    const auto target = this->targets.find(sent.target);
    const bool open_deadline = sent.has_deadline && target != this->targets.end() &&
                               sent.incarnation < target->second.incarnation &&
                               !target->second.refuses_earlier_orders;
    if (open_deadline && !target->second.tasks.empty()) {
      TimePoint& end = ends[sent.target];
      end = std::max(end, latest);
    }
  }
  LeaseBounds long_leases;
  for (const auto& [id, end] : ends) {
    long_leases[id] = end - now;
  }
  return long_leases;
}

bool Cell::LeaseBoundsDue(const LeaseBounds& bounds, TimePoint now) const {
  const bool same_targets = std::equal(
      bounds.begin(), bounds.end(), this->stored_bounds.begin(), this->stored_bounds.end(),
      [](const auto& a, const auto& b) { return a.first == b.first; });
  return !same_targets ||
         (!bounds.empty() && now - this->bounds_written_at >= this->settings.lease_bounds_interval);
}

void Cell::ConfirmLeaseRecord(TimePoint now) {
  this->witnesses.ConfirmWrite();
  if (!this->open_bounds) {
    return;
  }
  const LeaseBounds former = std::exchange(this->stored_bounds, std::move(*this->open_bounds));
  this->open_bounds.reset();
  for (const auto& [id, bound] : former) {
    Target* target = this->FindTarget(id);
    if (target != nullptr && target->answered && !target->hold_in_flight) {
      target->next_hold_at = now;
    }
  }
}

bool Cell::HasLeaseBound(const TargetId& target) const {
  return this->stored_bounds.count(target) != 0 ||
         (this->open_bounds && this->open_bounds->count(target) != 0);
}

}  // namespace pistachio
