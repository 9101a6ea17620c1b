#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/process/runtime/random.h"
#include "pistachio/request/latency_profile.h"
#include "pistachio/request/slot_table.h"
#include "pistachio/request/target_choice.h"
#include "pistachio/request/target_health.h"
#include "pistachio/request/types.h"

namespace pistachio::internal {

/// \brief What an attempt asks of its target.
struct PickConstraints {
  std::vector<TargetId> tried;  ///< targets of earlier attempts of the request
  std::vector<RackId> tried_racks;
  bool avoid_probing = false;  ///< a target on probation only if there is no other
};

/// \brief A target that was looked at and not taken.
struct BeatenTarget {
  TargetId target;
  std::uint32_t in_use = 0;
  double score = 0.0;
};

/// \brief The target for an attempt.
struct PickedTarget {
  TargetId target;
  RackId rack;
  SlotIndex slot = 0;
  double score = 0.0;
  std::vector<BeatenTarget> beaten;
};

/// \brief Targets of one service: their health, and the choice among those with a free slot.
class ServiceRouter {
 public:
  ServiceRouter(ServiceId service, const TargetChoice& choice, double max_ejected_share);

  /// \brief Takes the service's targets over; a target that stays keeps its health.
  void SetTargets(const std::vector<RouteTarget>& targets, SlotTable& slots);

  /// \returns a target with a free slot, or nothing. Cost: constant while slots are free, linear in
  /// the targets when few are, and for an attempt that has tried targets.
  std::optional<PickedTarget> Pick(const PickConstraints& constraints, const SlotTable& slots,
                                   RandomSource& random);

  /// \brief Like Pick, but looks at one target only, the one whose slot came free.
  std::optional<PickedTarget> PickOnly(const TargetId& target, const PickConstraints& constraints,
                                       const SlotTable& slots) const;

  /// \name What became of attempts. Each returns what is worth a log line.
  ///@{
  std::vector<EventRecord> OnAnswer(const TargetId& target, Duration latency,
                                    const SlotTable& slots, TimePoint now);
  std::vector<EventRecord> OnFailure(const TargetId& target, TimePoint now);
  void OnOverload(const TargetId& target);
  /// \brief The attempt has run for \a elapsed without an answer and is given up.
  std::vector<EventRecord> OnTimeout(const TargetId& target, Duration elapsed,
                                     const SlotTable& slots, TimePoint now);
  ///@}

  /// \brief Probes the targets whose ejection is over.
  std::vector<EventRecord> EndEjections(TimePoint now);
  std::optional<TimePoint> next_ejection_end() const { return this->next_end; }

  const LatencyProfile& latency() const { return this->profile; }
  std::size_t size() const { return this->members.size(); }
  std::size_t ejected_count() const { return this->ejected; }

 private:
  struct Member {
    TargetId target;
    RackId rack;
    bool leaving = false;
    SlotIndex slot = 0;
    TargetHealth health;
  };
  enum class Tier { kOtherRack, kOtherTarget, kAny };

  Member* Find(const TargetId& target);
  bool IsEligible(const Member& member, const SlotTable& slots) const;
  bool Suits(const Member& member, const PickConstraints& constraints, Tier tier) const;
  bool HasUntried(const PickConstraints& constraints) const;
  std::vector<TargetCandidate> Sample(const PickConstraints& constraints, const SlotTable& slots,
                                      RandomSource& random) const;
  std::vector<TargetCandidate> Scan(const PickConstraints& constraints, Tier tier,
                                    const SlotTable& slots, RandomSource& random) const;
  TargetCandidate CandidateOf(std::size_t index, const SlotTable& slots) const;
  PickedTarget Choose(const std::vector<TargetCandidate>& candidates, RandomSource& random);
  std::vector<EventRecord> Act(HealthVerdict verdict, Member& member, TimePoint now);
  void CountEjected();
  std::size_t MostEjected() const;

  ServiceId service;
  TargetChoice choice;
  double max_ejected_share;
  std::vector<Member> members;
  std::unordered_map<TargetId, std::size_t> by_target;
  LatencyProfile profile;
  std::size_t ejected = 0;
  std::optional<TimePoint> next_end;  ///< of the running ejections
  bool bound_reported = false;
};

}  // namespace pistachio::internal
