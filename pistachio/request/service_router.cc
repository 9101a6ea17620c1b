#include "pistachio/request/service_router.h"

#include <algorithm>
#include <utility>

namespace pistachio::internal {

constexpr std::size_t kDrawsPerCandidate = 2;
constexpr std::size_t kMostBeatenKept = 3;
constexpr int kTimeoutOverMedian = 4;  ///< shorter attempts say nothing about their target

template <class T>
bool Contains(const std::vector<T>& items, const T& item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

ServiceRouter::ServiceRouter(ServiceId service, const TargetChoice& choice,
                             double max_ejected_share)
    : service(std::move(service)), choice(choice), max_ejected_share(max_ejected_share) {}

void ServiceRouter::SetTargets(const std::vector<RouteTarget>& targets, SlotTable& slots) {
  std::vector<Member> next;
  std::unordered_map<TargetId, std::size_t> next_by_target;
  next.reserve(targets.size());
  for (const RouteTarget& route : targets) {
    Member member;
    if (const Member* known = this->Find(route.target)) {
      member.health = known->health;
    }
    member.target = route.target;
    member.rack = route.rack;
    member.leaving = route.leaving;
    member.slot = slots.SetLimit(route.target, route.slots);
    if (next_by_target.emplace(route.target, next.size()).second) {
      next.push_back(std::move(member));
    }
  }
  this->members = std::move(next);
  this->by_target = std::move(next_by_target);
  this->CountEjected();
}

std::optional<PickedTarget> ServiceRouter::Pick(const PickConstraints& constraints,
                                                const SlotTable& slots, RandomSource& random) {
  if (this->members.empty()) {
    return std::nullopt;
  }
  if (constraints.tried.empty()) {
    std::vector<TargetCandidate> sample = this->Sample(constraints, slots, random);
    if (sample.empty()) {
      sample = this->Scan(constraints, Tier::kAny, slots, random);
    }
    if (sample.empty() && constraints.avoid_probing) {
      PickConstraints relaxed = constraints;
      relaxed.avoid_probing = false;
      sample = this->Scan(relaxed, Tier::kAny, slots, random);
    }
    return sample.empty() ? std::nullopt : std::make_optional(this->Choose(sample, random));
  }
  const bool untried = this->HasUntried(constraints);
  for (const Tier tier : {Tier::kOtherRack, Tier::kOtherTarget, Tier::kAny}) {
    if (tier == Tier::kAny && untried) {
      return std::nullopt;  // an untried target will have a free slot again
    }
    const std::vector<TargetCandidate> found = this->Scan(constraints, tier, slots, random);
    if (!found.empty()) {
      return this->Choose(found, random);
    }
  }
  return std::nullopt;
}

std::optional<PickedTarget> ServiceRouter::PickOnly(const TargetId& target,
                                                    const PickConstraints& constraints,
                                                    const SlotTable& slots) const {
  const auto found = this->by_target.find(target);
  if (found == this->by_target.end()) {
    return std::nullopt;
  }
  const Member& member = this->members[found->second];
  const bool tried = Contains(constraints.tried, target);
  if (!this->IsEligible(member, slots) || (tried && this->HasUntried(constraints))) {
    return std::nullopt;
  }
  const double score = this->CandidateOf(found->second, slots).score;
  return PickedTarget{member.target, member.rack, member.slot, score, {}};
}

std::vector<EventRecord> ServiceRouter::OnAnswer(const TargetId& target, Duration latency,
                                                 const SlotTable& slots, TimePoint now) {
  const std::optional<Duration> typical = this->profile.median();
  this->profile.Add(latency);
  Member* member = this->Find(target);
  if (member == nullptr) {
    return {};
  }
  const std::uint32_t limit = slots.limit(member->slot);
  return this->Act(member->health.OnAnswer(latency, typical, limit), *member, now);
}

std::vector<EventRecord> ServiceRouter::OnFailure(const TargetId& target, TimePoint now) {
  Member* member = this->Find(target);
  return member == nullptr ? std::vector<EventRecord>()
                           : this->Act(member->health.OnFailure(), *member, now);
}

void ServiceRouter::OnOverload(const TargetId& target) {
  if (Member* member = this->Find(target)) {
    member->health.OnOverload();
  }
}

std::vector<EventRecord> ServiceRouter::OnTimeout(const TargetId& target, Duration elapsed,
                                                  const SlotTable& slots, TimePoint now) {
  const std::optional<Duration> typical = this->profile.median();
  Member* member = this->Find(target);
  if (member == nullptr || !typical || elapsed < *typical * kTimeoutOverMedian) {
    return {};
  }
  const std::uint32_t limit = slots.limit(member->slot);
  return this->Act(member->health.OnAnswer(elapsed, typical, limit), *member, now);
}

std::vector<EventRecord> ServiceRouter::EndEjections(TimePoint now) {
  std::vector<EventRecord> records;
  for (Member& member : this->members) {
    const std::optional<TimePoint> end = member.health.ejection_end();
    if (!end || *end > now) {
      continue;
    }
    member.health.StartProbing();
    records.push_back({EventCode::kTargetProbed,
                       {{"service", this->service.str()}, {"target", member.target.str()}}});
  }
  this->CountEjected();
  return records;
}

void ServiceRouter::CountEjected() {
  this->ejected = 0;
  this->next_end.reset();
  for (const Member& member : this->members) {
    const std::optional<TimePoint> end = member.health.ejection_end();
    if (!end) {
      continue;
    }
    this->ejected += 1;
    this->next_end = std::min(this->next_end.value_or(*end), *end);
  }
  this->bound_reported = this->bound_reported && this->ejected >= this->MostEjected();
}

std::size_t ServiceRouter::MostEjected() const {
  if (this->members.size() < 2) {
    return 0;
  }
  const double most = this->max_ejected_share * static_cast<double>(this->members.size());
  return std::max<std::size_t>(1, static_cast<std::size_t>(most));
}

ServiceRouter::Member* ServiceRouter::Find(const TargetId& target) {
  const auto found = this->by_target.find(target);
  return found == this->by_target.end() ? nullptr : &this->members[found->second];
}

bool ServiceRouter::IsEligible(const Member& member, const SlotTable& slots) const {
  if (member.leaving || !slots.HasFree(member.slot)) {
    return false;
  }
  if (!IsAdaptive(this->choice)) {
    return true;
  }
  const std::uint32_t limit = member.health.ConcurrencyLimit(slots.limit(member.slot));
  return !member.health.ejected() && slots.in_use(member.slot) < limit;
}

bool ServiceRouter::Suits(const Member& member, const PickConstraints& constraints,
                          Tier tier) const {
  if (constraints.avoid_probing && member.health.probing()) {
    return false;
  }
  if (tier == Tier::kAny) {
    return true;
  }
  if (Contains(constraints.tried, member.target)) {
    return false;
  }
  return tier == Tier::kOtherTarget || !Contains(constraints.tried_racks, member.rack);
}

bool ServiceRouter::HasUntried(const PickConstraints& constraints) const {
  return std::any_of(this->members.begin(), this->members.end(), [&](const Member& member) {
    return !member.leaving && !Contains(constraints.tried, member.target);
  });
}

std::vector<TargetCandidate> ServiceRouter::Sample(const PickConstraints& constraints,
                                                   const SlotTable& slots,
                                                   RandomSource& random) const {
  const std::size_t wanted = SampleSizeOf(this->choice);
  std::vector<TargetCandidate> sample;
  for (std::size_t draw = 0; draw < wanted * kDrawsPerCandidate; ++draw) {
    const std::size_t index = random() % this->members.size();
    const Member& member = this->members[index];
    const bool seen = std::any_of(sample.begin(), sample.end(), [index](const auto& candidate) {
      return candidate.member == index;
    });
    if (seen || !this->IsEligible(member, slots) || !this->Suits(member, constraints, Tier::kAny)) {
      continue;
    }
    sample.push_back(this->CandidateOf(index, slots));
    if (sample.size() == wanted) {
      break;
    }
  }
  return sample;
}

std::vector<TargetCandidate> ServiceRouter::Scan(const PickConstraints& constraints, Tier tier,
                                                 const SlotTable& slots,
                                                 RandomSource& random) const {
  const std::size_t wanted = SampleSizeOf(this->choice);
  const std::size_t count = this->members.size();
  // A choice that looks at all targets sees them in their order.
  const std::size_t start = wanted == 0 ? 0 : random() % count;
  std::vector<TargetCandidate> found;
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t index = (start + step) % count;
    const Member& member = this->members[index];
    if (!this->IsEligible(member, slots) || !this->Suits(member, constraints, tier)) {
      continue;
    }
    found.push_back(this->CandidateOf(index, slots));
    if (wanted != 0 && found.size() == wanted) {
      break;
    }
  }
  return found;
}

TargetCandidate ServiceRouter::CandidateOf(std::size_t index, const SlotTable& slots) const {
  const Member& member = this->members[index];
  const std::uint32_t in_use = slots.in_use(member.slot);
  const double score = member.health.Score(in_use, this->profile.median());
  return {index, in_use, score, member.health.learning()};
}

PickedTarget ServiceRouter::Choose(const std::vector<TargetCandidate>& candidates,
                                   RandomSource& random) {
  const std::size_t chosen = ChooseTarget(this->choice, candidates, random);
  const Member& member = this->members[candidates[chosen].member];
  PickedTarget picked{member.target, member.rack, member.slot, candidates[chosen].score, {}};
  for (std::size_t i = 0; i < candidates.size() && picked.beaten.size() < kMostBeatenKept; ++i) {
    if (i != chosen) {
      const TargetCandidate& other = candidates[i];
      picked.beaten.push_back({this->members[other.member].target, other.in_use, other.score});
    }
  }
  return picked;
}

std::vector<EventRecord> ServiceRouter::Act(HealthVerdict verdict, Member& member, TimePoint now) {
  if (verdict == HealthVerdict::kFine || member.health.ejected() || !IsAdaptive(this->choice)) {
    return {};
  }
  EventRecord record{EventCode::kTargetRecovered,
                     {{"service", this->service.str()}, {"target", member.target.str()}}};
  if (verdict == HealthVerdict::kRecovered) {
    return {record};
  }
  if (this->ejected >= this->MostEjected()) {
    const bool reported = std::exchange(this->bound_reported, true);
    record.code = EventCode::kEjectionBoundReached;
    return reported ? std::vector<EventRecord>() : std::vector<EventRecord>{record};
  }
  const TimePoint until = member.health.Eject(now);
  this->CountEjected();
  record.code = EventCode::kTargetEjected;
  record.fields.emplace_back("for_us", std::to_string((until - now).count()));
  return {record};
}

}  // namespace pistachio::internal
