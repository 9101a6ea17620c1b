// Requests, reports and reactions of the simulation.

#include <algorithm>
#include <cmath>

#include "bench/policy/random_draw.h"
#include "bench/policy/simulation.h"

namespace pistachio::bench {

namespace internal {

constexpr double kLoadGain = 0.25;
constexpr double kReportEverySeconds = 5.0;
constexpr double kKnowingEverySeconds = 3.0;
constexpr double kShortestLagSeconds = 5.0;
constexpr double kLongestLagSeconds = 12.0;
constexpr double kLatencyNoise = 0.15;
constexpr double kProgressNoise = 0.1;
constexpr double kUseNoise = 0.15;
constexpr double kLoadNoise = 0.03;
constexpr double kRefusedAfterDeadlines = 2.0;

}  // namespace internal

void Simulation::ServeRequests() {
  const auto second = static_cast<std::size_t>(this->now_s);
  const std::size_t services = this->deployment.services.size();
  const double slots =
      static_cast<double>(this->targets.size() * this->deployment.slots) * kServiceShare;
  std::vector<double> rates;
  double total_rate = 0.0;
  for (std::size_t service = 0; service < services; ++service) {
    const double share = slots / static_cast<double>(services);
    total_rate +=
        share / this->deployment.services[service].best_s * this->trace.demand[service][second];
    rates.push_back(total_rate);
  }
  for (Target& target : this->targets) {
    target.busy_s = 0.0;
  }
  for (double at = Exponential(this->requests, 1.0 / total_rate); at < 1.0;
       at += Exponential(this->requests, 1.0 / total_rate)) {
    const double drawn = Uniform(this->requests) * total_rate;
    const auto service = std::upper_bound(rates.begin(), rates.end(), drawn) - rates.begin();
    this->ServeOne(this->now_s + at, std::min(static_cast<std::size_t>(service), services - 1));
  }
  for (Target& target : this->targets) {
    const double busy = std::min(1.0, target.busy_s / static_cast<double>(this->deployment.slots));
    target.load += internal::kLoadGain * (busy - target.load);
  }
}

void Simulation::ServeOne(double arrival_s, std::size_t service) {
  const auto& route = this->routes[service];
  const std::uint64_t drawn = this->requests();
  constexpr int kHalf = 32;
  const auto first = route[(drawn >> kHalf) % route.size()];
  const auto second = route[(drawn & 0xffffffffU) % route.size()];
  const double noise_factor = this->service_noise[this->requests() % this->service_noise.size()];
  auto free_slot = [this](std::size_t target) {
    auto& slots = this->targets[target].slot_free_at;
    return std::min_element(slots.begin(), slots.end());
  };
  const auto [target_index, instance_index] =
      *free_slot(second.first) < *free_slot(first.first) ? second : first;
  Target& target = this->targets[target_index];
  Instance& instance = target.instances[instance_index];
  const ServiceSpec& spec = this->deployment.services[service];
  const auto slot = free_slot(target_index);
  const double starts_s = std::max(arrival_s, *slot);
  const double wait_s = starts_s - arrival_s;
  const double network_s = 2.0 * this->deployment.one_way_clients_s;
  double latency_s = internal::kRefusedAfterDeadlines * spec.deadline_s;
  if (wait_s < internal::kRefusedAfterDeadlines * spec.deadline_s) {
    const double service_s = spec.best_s * instance.slowdown * noise_factor;
    *slot = starts_s + service_s;
    target.busy_s += service_s;
    latency_s = wait_s + service_s + network_s;
  }
  instance.window_sum_s += latency_s;
  ++instance.window_answers;
  if (this->Measuring()) {
    this->latencies.Add(latency_s);
    this->misses += latency_s > spec.deadline_s ? 1 : 0;
  }
}

void Simulation::MakeReports() {
  constexpr double kMeanOfSpread = 1.063;  // mean over median of the service times
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    if (std::fmod(this->now_s + static_cast<double>(i), internal::kReportEverySeconds) != 0.0) {
      continue;
    }
    Target& target = this->targets[i];
    Report report;
    report.target = i;
    report.load = std::clamp(target.load + internal::kLoadNoise * Normal(this->noise), 0.0, 1.0);
    report.delivered_s = this->now_s + UniformBetween(this->noise, internal::kShortestLagSeconds,
                                                      internal::kLongestLagSeconds);
    UsageSample sample;
    sample.measured_at = this->At(this->now_s - internal::kReportEverySeconds);
    sample.load = report.load;
    for (Instance& instance : target.instances) {
      sample.task = instance.task;
      sample.kind = WorkKind::kService;
      sample.work_class = WorkClass(this->deployment.services[instance.service].name);
      const double best_s = kMeanOfSpread * this->deployment.services[instance.service].best_s +
                            2.0 * this->deployment.one_way_clients_s;
      sample.latency_ratio = instance.window_answers == 0
                                 ? 0.0
                                 : instance.window_sum_s / instance.window_answers / best_s *
                                       LogNormal(this->noise, internal::kLatencyNoise);
      const double used = LogNormal(this->noise, internal::kUseNoise);
      sample.used = {
          static_cast<std::int64_t>(used * static_cast<double>(kServiceDeclared.cpu_millis) *
                                    std::min(1.0, 0.1 + target.load)),
          static_cast<std::int64_t>(kServiceMemoryMib), 0};
      instance.window_sum_s = 0.0;
      instance.window_answers = 0;
      report.samples.push_back(sample);
    }
    for (const std::size_t index : target.tasks) {
      Task& task = this->tasks[index];
      const TaskSpec& spec = this->trace.tasks[task.spec];
      sample.task = spec.task;
      sample.kind = WorkKind::kBatch;
      sample.latency_ratio = 0.0;
      sample.work_class = WorkClass(this->deployment.batch_classes[spec.batch_class]);
      const bool whole_window = task.idle_until_s <= this->now_s - internal::kReportEverySeconds;
      sample.progress_rate = whole_window ? task.window_progress_s / internal::kReportEverySeconds *
                                                LogNormal(this->noise, internal::kProgressNoise)
                                          : 0.0;
      const double used = LogNormal(this->noise, internal::kUseNoise);
      sample.used = {static_cast<std::int64_t>(used * spec.used.cpu_millis * task.speed),
                     static_cast<std::int64_t>(spec.used.memory_mib), 0};
      task.window_progress_s = 0.0;
      report.samples.push_back(sample);
    }
    this->reports.push_back(std::move(report));
  }
}

void Simulation::DeliverReports() {
  std::deque<Report> later;
  for (Report& report : this->reports) {
    if (report.delivered_s > this->now_s) {
      later.push_back(std::move(report));
      continue;
    }
    this->targets[report.target].reported_load = report.load;
    this->targets[report.target].view_is_stale = true;
    if (auto* policy = std::get_if<Policy>(&this->contestant)) {
      const TargetView view = this->ViewOf(report.target);
      for (const UsageSample& sample : report.samples) {
        Learn(*policy, sample, view);
      }
      this->ReactOn(report.target);
    }
  }
  this->reports.swap(later);
}

void Simulation::ReactOn(std::size_t target) {
  auto& policy = std::get<Policy>(this->contestant);
  for (const Reaction& reaction : React(policy, this->ViewOf(target), this->At(this->now_s))) {
    this->Apply(target, reaction);
  }
  TakeEvents(policy);
}

void Simulation::Apply(std::size_t target_index, const Reaction& reaction) {
  Target& target = this->targets[target_index];
  const auto found = std::find_if(target.tasks.begin(), target.tasks.end(), [&](std::size_t task) {
    return this->trace.tasks[this->tasks[task].spec].task == reaction.task;
  });
  if (found == target.tasks.end()) {
    return;
  }
  const std::size_t task = *found;
  if (reaction.kind == ReactionKind::kEvict) {
    this->result.evictions += this->Measuring() ? 1.0 : 0.0;
    this->Remove(task, target_index);
    this->Requeue(task, false);
    return;
  }
  this->tasks[task].speed = reaction.throttle;
  target.changed_s = this->now_s;
  target.view_is_stale = true;
  this->result.throttle_steps += this->Measuring() ? 1.0 : 0.0;
}

void Simulation::KnowingThrottle() {
  const auto* knowing = std::get_if<KnowingPolicy>(&this->contestant);
  if (knowing == nullptr) {
    return;
  }
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    if (std::fmod(this->now_s + static_cast<double>(i), internal::kKnowingEverySeconds) != 0.0) {
      continue;
    }
    Target& target = this->targets[i];
    const auto speeds = knowing->Speeds(this->Predictor(), this->TrueViewOf(i));
    for (std::size_t task = 0; task < target.tasks.size(); ++task) {
      double& speed = this->tasks[target.tasks[task]].speed;
      const double wanted = speeds[target.instances.size() + task];
      this->result.throttle_steps += this->Measuring() && speed != wanted ? 1.0 : 0.0;
      speed = wanted;
    }
  }
}

TargetView Simulation::ViewOf(std::size_t index) const {
  const Target& target = this->targets[index];
  TargetView view;
  view.target = this->deployment.targets[index];
  view.rack = this->deployment.racks[index];
  view.capacity = this->deployment.capacity;
  view.load = target.reported_load;
  view.changed_at = this->At(target.changed_s);
  for (const Instance& instance : target.instances) {
    Neighbour neighbour;
    neighbour.task = instance.task;
    neighbour.kind = WorkKind::kService;
    neighbour.work_class = WorkClass(this->deployment.services[instance.service].name);
    neighbour.declared = kServiceDeclared;
    view.committed += neighbour.declared;
    view.neighbours.push_back(neighbour);
  }
  for (const std::size_t index_of_task : target.tasks) {
    const Task& task = this->tasks[index_of_task];
    const TaskSpec& spec = this->trace.tasks[task.spec];
    Neighbour neighbour;
    neighbour.task = spec.task;
    neighbour.work_class = WorkClass(this->deployment.batch_classes[spec.batch_class]);
    neighbour.declared = spec.declared;
    neighbour.throttle = task.speed;
    view.committed += neighbour.declared;
    view.neighbours.push_back(neighbour);
  }
  return view;
}

TrueTarget Simulation::TrueViewOf(std::size_t index) const {
  const Target& target = this->targets[index];
  TrueTarget seen;
  seen.index = index;
  seen.committed_share = CommittedShare(this->ViewOf(index), {});
  seen.tenancy.capacity = this->deployment.capacity;
  seen.tenancy.load = target.load;
  const double service_cpu =
      static_cast<double>(kServiceDeclared.cpu_millis) * std::min(1.0, 0.1 + target.load);
  for (const Instance& instance : target.instances) {
    seen.tenancy.tenants.push_back(
        {instance.service, WorkKind::kService, 1.0, {service_cpu, kServiceMemoryMib}});
  }
  for (const std::size_t task : target.tasks) {
    const TaskSpec& spec = this->trace.tasks[this->tasks[task].spec];
    seen.tenancy.tenants.push_back({this->truth().services + spec.batch_class, WorkKind::kBatch,
                                    this->tasks[task].speed, spec.used});
  }
  return seen;
}

TruePredictor Simulation::Predictor() const { return {&this->truth(), this->deployment.slots}; }

}  // namespace pistachio::bench
