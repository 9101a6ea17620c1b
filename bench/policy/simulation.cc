#include "bench/policy/simulation.h"

#include <algorithm>
#include <cmath>

#include "bench/policy/random_draw.h"

namespace pistachio::bench {

namespace internal {

constexpr std::size_t kNoiseQuantiles = 4096;
constexpr double kServiceTimeSpread = 0.35;
constexpr double kStartSeconds = 2.0;
constexpr double kFailAfterSeconds = 5.0;
constexpr double kCheckpointEverySeconds = 60.0;
constexpr double kQuarantineSeconds = 60.0;
constexpr std::uint32_t kFailuresToQuarantine = 3;
constexpr std::uint32_t kMaxAttempts = 5;
constexpr double kLargestLogSlowdown = 2.5;
constexpr std::size_t kPlacementsTried = 40;  ///< waiting tasks looked at in one second

}  // namespace internal

Simulation::Simulation(const Deployment& deployment, const Trace& trace, std::uint64_t seed,
                       Contestant contestant)
    : deployment(deployment),
      trace(trace),
      contestant(std::move(contestant)),
      seed(seed),
      requests(SourceFor("requests", seed)),
      noise(SourceFor("noise", seed)),
      targets(deployment.targets.size()),
      routes(deployment.services.size()) {
  RandomSource quantiles = SourceFor("service times", seed);
  for (std::size_t i = 0; i < internal::kNoiseQuantiles; ++i) {
    this->service_noise.push_back(LogNormal(quantiles, internal::kServiceTimeSpread));
  }
  for (Target& target : this->targets) {
    target.slot_free_at.assign(deployment.slots, 0.0);
  }
  for (const std::size_t broken : trace.broken_targets) {
    this->targets[broken].broken = true;
  }
}

const TrueInterference& Simulation::truth() const {
  return this->now_s < this->trace.change_s ? this->trace.truth : this->trace.later_truth;
}

TimePoint Simulation::At(double seconds) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return TimePoint(std::chrono::hours(1)) +
         Duration(static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond));
}

RunResult Simulation::Run() {
  this->PlaceServices();
  while (this->now_s < kRunSeconds) {
    this->AddArrivals();
    this->PlaceWaiting();
    this->KnowingThrottle();
    this->UpdateSlowdowns();
    this->ServeRequests();
    this->RunBatch();
    this->now_s += 1.0;
    this->MakeReports();
    this->DeliverReports();
  }
  return this->Result();
}

void Simulation::AddArrivals() {
  while (this->arrived < this->trace.tasks.size() &&
         this->trace.tasks[this->arrived].arrives_s <= this->now_s) {
    Task task;
    task.spec = this->arrived++;
    this->tasks.push_back(task);
    this->waiting.push_back(this->tasks.size() - 1);
  }
}

void Simulation::PlaceServices() {
  for (std::size_t number = 0; number < this->deployment.instances_per_service; ++number) {
    for (std::size_t service = 0; service < this->deployment.services.size(); ++service) {
      PlacementRequest request;
      request.task = {JobId(this->deployment.services[service].name),
                      static_cast<std::uint32_t>(number)};
      request.kind = WorkKind::kService;
      request.work_class = WorkClass(this->deployment.services[service].name);
      request.declared = kServiceDeclared;
      std::vector<std::size_t> barred;
      for (std::size_t i = 0; i < this->targets.size(); ++i) {
        const auto& there = this->targets[i].instances;
        const bool twice = std::any_of(there.begin(), there.end(), [&](const Instance& instance) {
          return instance.service == service;
        });
        if (twice) {
          barred.push_back(i);
        }
      }
      Tenant tenant{service, WorkKind::kService, 1.0, {1500.0, kServiceMemoryMib}};
      const auto chosen = this->Choose(request, tenant, barred);
      if (chosen) {
        Target& target = this->targets[*chosen];
        target.instances.push_back({service, request.task});
        target.view_is_stale = true;
        this->routes[service].emplace_back(*chosen, target.instances.size() - 1);
      }
    }
  }
}

void Simulation::PlaceWaiting() {
  std::size_t tried = std::min(internal::kPlacementsTried, this->waiting.size());
  std::optional<Resources> too_large;  // had no room anywhere in this second
  for (; tried > 0; --tried) {
    const std::size_t task = this->waiting.front();
    this->waiting.pop_front();
    const Resources& declared = this->trace.tasks[this->tasks[task].spec].declared;
    if ((too_large && too_large->FitsIn(declared)) || !this->PlaceTask(task)) {
      too_large = too_large && too_large->FitsIn(declared) ? too_large : declared;
      this->waiting.push_back(task);
    }
  }
}

bool Simulation::PlaceTask(std::size_t task_index) {
  const Task& task = this->tasks[task_index];
  const TaskSpec& spec = this->trace.tasks[task.spec];
  PlacementRequest request;
  request.task = spec.task;
  request.work_class = WorkClass(this->deployment.batch_classes[spec.batch_class]);
  request.declared = spec.declared;
  std::vector<std::size_t> barred = task.avoid;
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    if (this->now_s < this->targets[i].quarantined_until_s) {
      barred.push_back(i);
    }
  }
  const Tenant tenant{this->truth().services + spec.batch_class, WorkKind::kBatch, 1.0, spec.used};
  const auto chosen = this->Choose(request, tenant, barred);
  if (!chosen) {
    return false;
  }
  this->Start(task_index, *chosen);
  return true;
}

const std::vector<TargetView>& Simulation::Views() {
  this->views.resize(this->targets.size());
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    if (this->targets[i].view_is_stale) {
      this->views[i] = this->ViewOf(i);
      this->targets[i].view_is_stale = false;
    }
  }
  return this->views;
}

std::optional<std::size_t> Simulation::Choose(const PlacementRequest& request,
                                              const Tenant& truth_tenant,
                                              const std::vector<std::size_t>& barred) {
  const std::vector<TargetView>& all = this->Views();
  if (const auto* knowing = std::get_if<KnowingPolicy>(&this->contestant)) {
    std::vector<TrueTarget> candidates;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const bool allowed = std::find(barred.begin(), barred.end(), i) == barred.end();
      if (allowed && HasRoom(all[i], request.declared)) {
        candidates.push_back(this->TrueViewOf(i));
      }
    }
    return knowing->Place(this->Predictor(), truth_tenant, candidates);
  }
  std::vector<TargetView> remaining;
  for (std::size_t i = 0; !barred.empty() && i < all.size(); ++i) {
    if (std::find(barred.begin(), barred.end(), i) == barred.end()) {
      remaining.push_back(all[i]);
    }
  }
  const auto decision =
      Place(std::get<Policy>(this->contestant), request, barred.empty() ? all : remaining);
  if (!decision) {
    return std::nullopt;
  }
  const auto& names = this->deployment.targets;
  return std::find(names.begin(), names.end(), decision->target) - names.begin();
}

void Simulation::Start(std::size_t task_index, std::size_t target_index) {
  Task& task = this->tasks[task_index];
  task.started_s = this->now_s;
  task.idle_until_s = this->now_s + internal::kStartSeconds;
  task.speed = 1.0;
  task.window_progress_s = 0.0;
  Target& target = this->targets[target_index];
  target.tasks.push_back(task_index);
  target.changed_s = this->now_s;
  target.view_is_stale = true;
}

void Simulation::Remove(std::size_t task, std::size_t target_index) {
  Target& target = this->targets[target_index];
  target.tasks.erase(std::remove(target.tasks.begin(), target.tasks.end(), task),
                     target.tasks.end());
  target.changed_s = this->now_s;
  target.view_is_stale = true;
}

void Simulation::Requeue(std::size_t task_index, bool to_checkpoint) {
  Task& task = this->tasks[task_index];
  if (to_checkpoint) {
    if (this->Measuring()) {
      constexpr double kSecondsPerHour = 3600.0;
      this->result.wasted_hours += (task.done_s - task.checkpoint_s) / kSecondsPerHour;
    }
    task.done_s = task.checkpoint_s;
  } else {
    task.checkpoint_s = task.done_s;
  }
  this->waiting.push_back(task_index);
}

double Simulation::Overload(const Target& target) const {
  double cpu = static_cast<double>(target.instances.size()) *
               static_cast<double>(kServiceDeclared.cpu_millis) * std::min(1.0, 0.1 + target.load);
  for (const std::size_t task : target.tasks) {
    cpu += this->trace.tasks[this->tasks[task].spec].used.cpu_millis * this->tasks[task].speed;
  }
  return std::log(std::max(1.0, cpu / static_cast<double>(this->deployment.capacity.cpu_millis)));
}

double Simulation::LogSlowdown(const Target& target, std::size_t victim_class,
                               std::size_t self) const {
  double log_slowdown = 0.0;
  const TrueInterference& truth = this->truth();
  for (const Instance& instance : target.instances) {
    if (instance.service != victim_class) {
      log_slowdown += truth.EffectAt(victim_class, instance.service, target.load, 1.0);
    }
  }
  for (const std::size_t task : target.tasks) {
    if (task != self) {
      const std::size_t aggressor =
          truth.services + this->trace.tasks[this->tasks[task].spec].batch_class;
      log_slowdown += truth.EffectAt(victim_class, aggressor, target.load, this->tasks[task].speed);
    }
  }
  return std::min(log_slowdown, internal::kLargestLogSlowdown);
}

void Simulation::UpdateSlowdowns() {
  constexpr std::size_t kNoTask = static_cast<std::size_t>(-1);
  for (Target& target : this->targets) {
    const double overload = this->Overload(target);
    for (Instance& instance : target.instances) {
      instance.slowdown = std::exp(overload + this->LogSlowdown(target, instance.service, kNoTask));
    }
  }
}

void Simulation::RunBatch() {
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    this->KillForMemory(i);
    const double overload = this->Overload(this->targets[i]);
    const std::vector<std::size_t> running = this->targets[i].tasks;
    for (const std::size_t task : running) {
      this->RunTask(i, task, overload);
    }
  }
}

void Simulation::RunTask(std::size_t target_index, std::size_t task_index, double overload) {
  Task& task = this->tasks[task_index];
  const TaskSpec& spec = this->trace.tasks[task.spec];
  const bool fails = spec.fate == TaskFate::kFailsAlways || this->targets[target_index].broken;
  if (fails && this->now_s - task.started_s >= internal::kFailAfterSeconds) {
    this->FailTask(target_index, task_index);
    return;
  }
  if (this->now_s < task.idle_until_s) {
    return;
  }
  const std::size_t work_class = this->truth().services + spec.batch_class;
  const double slowdown =
      overload + this->LogSlowdown(this->targets[target_index], work_class, task_index);
  const double progress = std::min(task.speed * std::exp(-slowdown), spec.work_s - task.done_s);
  task.done_s += progress;
  task.window_progress_s += progress;
  if (this->Measuring() && !fails) {
    this->result.batch_per_hour += progress;
  }
  if (task.done_s - task.checkpoint_s >= internal::kCheckpointEverySeconds) {
    task.checkpoint_s = task.done_s;
  }
  if (task.done_s >= spec.work_s) {
    this->result.finished += this->Measuring() ? 1.0 : 0.0;
    this->targets[target_index].failures_in_a_row = 0;
    this->Remove(task_index, target_index);
  }
}

void Simulation::FailTask(std::size_t target_index, std::size_t task_index) {
  Target& target = this->targets[target_index];
  this->Remove(task_index, target_index);
  if (++target.failures_in_a_row >= internal::kFailuresToQuarantine) {
    target.quarantined_until_s = this->now_s + internal::kQuarantineSeconds;
    target.failures_in_a_row = internal::kFailuresToQuarantine - 1;  // one probe at a time
  }
  Task& task = this->tasks[task_index];
  task.avoid.push_back(target_index);
  if (++task.failures < internal::kMaxAttempts) {
    this->Requeue(task_index, true);
  }
}

void Simulation::KillForMemory(std::size_t target_index) {
  Target& target = this->targets[target_index];
  double memory = kServiceMemoryMib * static_cast<double>(target.instances.size());
  std::optional<std::size_t> largest;
  double largest_excess = 0.0;
  for (const std::size_t task : target.tasks) {
    const TaskSpec& spec = this->trace.tasks[this->tasks[task].spec];
    const double excess = spec.used.memory_mib - static_cast<double>(spec.declared.memory_mib);
    memory += spec.used.memory_mib;
    if (!largest || excess > largest_excess) {
      largest = task;
      largest_excess = excess;
    }
  }
  if (largest && memory > static_cast<double>(this->deployment.capacity.memory_mib)) {
    this->result.kills += this->Measuring() ? 1.0 : 0.0;
    this->Remove(*largest, target_index);
    this->Requeue(*largest, true);
  }
}

RunResult Simulation::Result() const {
  constexpr double kMillis = 1000.0;
  RunResult done = this->result;
  done.answers = this->latencies.size();
  done.p50_ms = this->latencies.Quantile(0.5) * kMillis;
  done.p99_ms = this->latencies.Quantile(0.99) * kMillis;
  done.p999_ms = this->latencies.Quantile(0.999) * kMillis;
  done.miss_share = static_cast<double>(this->misses) / static_cast<double>(done.answers);
  done.batch_per_hour /= kRunSeconds - kWarmUpSeconds;
  done.waiting_at_end = static_cast<double>(
      std::count_if(this->waiting.begin(), this->waiting.end(), [&](std::size_t task) {
        return this->trace.tasks[this->tasks[task].spec].fate == TaskFate::kRuns;
      }));
  return done;
}

}  // namespace pistachio::bench
