#include "pistachio/process/policy/interference_policy.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "pistachio/process/policy/room.h"

namespace pistachio {

namespace internal {

constexpr double kSmallestLogSlowdown = -0.5;
constexpr double kLargestLogSlowdown = 3.0;
/// Weight of the committed share, which decides between targets of equal cost.
constexpr double kSpreadWeight = 0.05;
constexpr double kDriftGain = 0.02;
constexpr double kDriftSurprise = 0.8;
constexpr std::size_t kMaxPendingEvents = 1000;

double BoundedLog(double ratio) {
  return std::clamp(std::log(ratio), kSmallestLogSlowdown, kLargestLogSlowdown);
}

}  // namespace internal

InterferencePolicy::InterferencePolicy(const InterferenceSettings& settings)
    : settings(settings), slowdown(settings.slowdown, settings.parts) {}

CostSettings InterferencePolicy::Costs() const {
  return {this->settings.weights, this->settings.late_ratio};
}

PredictedUse InterferencePolicy::UseOf(const TaskId& task, const WorkClass& work_class,
                                       const Resources& declared) const {
  if (!this->settings.parts.learned_sizes) {
    return {static_cast<double>(declared.cpu_millis), static_cast<double>(declared.memory_mib)};
  }
  return this->sizes.Predict(task.job, work_class, declared);
}

Tenant InterferencePolicy::TenantOf(const Neighbour& neighbour) {
  Tenant tenant;
  tenant.work_class = this->slowdown.IndexOf(neighbour.work_class, neighbour.kind);
  tenant.kind = neighbour.kind;
  tenant.speed = neighbour.throttle;
  tenant.use = this->UseOf(neighbour.task, neighbour.work_class, neighbour.declared);
  return tenant;
}

Tenancy InterferencePolicy::TenancyOf(const TargetView& view) {
  Tenancy tenancy;
  tenancy.capacity = view.capacity;
  tenancy.load = view.load;
  tenancy.tenants.reserve(view.neighbours.size() + 1);
  for (const Neighbour& neighbour : view.neighbours) {
    tenancy.tenants.push_back(this->TenantOf(neighbour));
  }
  return tenancy;
}

std::optional<PlacementDecision> InterferencePolicy::Place(const PlacementRequest& request,
                                                           const std::vector<TargetView>& targets) {
  const Neighbour placed{request.task,     request.kind,     request.work_class,
                         request.priority, request.declared, 1.0};
  const Tenant tenant = this->TenantOf(placed);
  const CostSettings costs = this->Costs();
  std::vector<ScoredTarget> scored;
  for (const std::size_t index : TargetsWithRoom(targets, request.declared)) {
    const TargetView& view = targets[index];
    Tenancy tenancy = this->TenancyOf(view);
    const double before = TenancyCost(this->slowdown, tenancy, costs);
    tenancy.tenants.push_back(tenant);
    const double after = TenancyCost(this->slowdown, tenancy, costs);
    const double spread = internal::kSpreadWeight * CommittedShare(view, request.declared);
    scored.push_back({view.target, after - before + spread});
  }
  return PickLowest(std::move(scored), "smallest rise of predicted late answers and lost progress");
}

void InterferencePolicy::Learn(const UsageSample& sample, const TargetView& view) {
  const auto self =
      std::find_if(view.neighbours.begin(), view.neighbours.end(),
                   [&](const Neighbour& neighbour) { return neighbour.task == sample.task; });
  if (self == view.neighbours.end()) {
    return;
  }
  this->sizes.Learn(sample, self->declared, self->throttle);
  this->watches[view.target.str()].Observe(sample, this->settings.reaction);
  if (sample.measured_at >= view.changed_at) {
    this->LearnSlowdown(sample, view);
  }
}

void InterferencePolicy::LearnSlowdown(const UsageSample& sample, const TargetView& view) {
  const Tenancy tenancy = this->TenancyOf(view);
  std::vector<Aggressor> aggressors;
  double own_speed = 1.0;
  for (std::size_t i = 0; i < view.neighbours.size(); ++i) {
    const Tenant& tenant = tenancy.tenants[i];
    if (view.neighbours[i].task == sample.task) {
      own_speed = tenant.speed;
    } else {
      aggressors.push_back({tenant.work_class, tenant.speed});
    }
  }
  double ratio = sample.latency_ratio;
  if (sample.kind == WorkKind::kBatch) {
    ratio = sample.progress_rate > 0.0 ? own_speed / sample.progress_rate : 0.0;
  }
  if (ratio <= 0.0) {
    return;
  }
  const double log_slowdown = internal::BoundedLog(ratio) - OverloadSlowdown(tenancy);
  const ClassIndex victim = this->slowdown.IndexOf(sample.work_class, sample.kind);
  const double surprise =
      this->slowdown.Learn(victim, aggressors, sample.load, log_slowdown, sample.measured_at);
  this->NoteSurprise(sample, view, surprise);
}

void InterferencePolicy::NoteSurprise(const UsageSample& sample, const TargetView& view,
                                      double surprise) {
  double& recent = this->drift[sample.work_class.str()];
  const double before = recent;
  recent += internal::kDriftGain * (surprise - recent);
  const bool crossed =
      std::abs(before) < internal::kDriftSurprise && std::abs(recent) >= internal::kDriftSurprise;
  if (crossed) {
    this->Note({EventCode::kModelDrift,
                {{"class", sample.work_class.str()},
                 {"target", view.target.str()},
                 {"surprise", fmt::format("{:.2f}", recent)}}});
  }
}

void InterferencePolicy::Note(EventRecord event) {
  if (this->events.size() < internal::kMaxPendingEvents) {
    this->events.push_back(std::move(event));
  }
}

std::vector<EventRecord> InterferencePolicy::TakeEvents() {
  std::vector<EventRecord> taken;
  taken.swap(this->events);
  return taken;
}

void InterferencePolicy::Forget(const TargetId& target) { this->watches.erase(target.str()); }

}  // namespace pistachio
