#include "bench/policy/scenario.h"

#include <algorithm>
#include <cmath>

#include "bench/policy/random_draw.h"

namespace pistachio::bench {

namespace internal {

constexpr double kSlowWaveSeconds = 1200;
constexpr double kNoisyEverySeconds = 480;
constexpr double kNoisyForSeconds = 120;
constexpr double kNoisyFactor = 2.5;  ///< more tasks of the noisiest class during a wave
constexpr double kMeanWorkSeconds = 150;
constexpr double kNeverRunShare = 0.08;
constexpr std::size_t kBrokenOneIn = 12;
constexpr std::int64_t kTaskCpuMillis = 2000;
constexpr std::int64_t kTaskMemoryMib = 5000;
constexpr double kWrongFactor = 10.0;

std::vector<double> DemandOf(const Scenario& scenario, RandomSource& random) {
  std::vector<double> demand;
  const double phase = Uniform(random);
  double level = 1.0;
  double next_shift = UniformBetween(random, 100, 400);
  for (double second = 0; second < kRunSeconds; second += 1.0) {
    if (scenario.load_shifts && second >= next_shift) {
      constexpr double kLevels[] = {0.5, 0.8, 1.2, 1.6};
      level = kLevels[Below(random, std::size(kLevels))];
      next_shift = second + UniformBetween(random, 200, 400);
    }
    constexpr double kTwoPi = 6.283185307179586;
    const double wave = 1.0 + 0.1 * std::sin(kTwoPi * (second / kSlowWaveSeconds + phase));
    demand.push_back(level * wave);
  }
  return demand;
}

std::size_t NoisiestClass(const TrueInterference& truth) {
  std::size_t noisiest = 0;
  double most = -1.0;
  for (std::size_t c = truth.services; c < truth.effect.size(); ++c) {
    double sum = 0.0;
    for (std::size_t service = 0; service < truth.services; ++service) {
      sum += truth.effect[service][c];
    }
    if (sum > most) {
      most = sum;
      noisiest = c - truth.services;
    }
  }
  return noisiest;
}

// A habit of a class's owners: half of the classes ask for far too much, half for far too little.
double UsedOverDeclared(const Scenario& scenario, std::size_t batch_class) {
  constexpr double kUsual = 0.8;
  if (!scenario.wrong_sizes) {
    return kUsual;
  }
  return batch_class % 2 == 0 ? 1.0 / kWrongFactor : kWrongFactor;
}

// Work that asks for too little declares a tenth of what others do, so that it fits a target.
double DeclaredFactor(const Scenario& scenario, std::size_t batch_class) {
  const bool asks_too_little = scenario.wrong_sizes && batch_class % 2 != 0;
  return asks_too_little ? 1.2 / kWrongFactor : 1.0;
}

TaskSpec DrawTask(const Scenario& scenario, std::size_t batch_class, RandomSource& random) {
  TaskSpec task;
  task.batch_class = batch_class;
  task.work_s = kMeanWorkSeconds * LogNormal(random, 0.6);
  const double declared = DeclaredFactor(scenario, batch_class) * LogNormal(random, 0.3);
  task.declared.cpu_millis = static_cast<std::int64_t>(declared * kTaskCpuMillis);
  task.declared.memory_mib = static_cast<std::int64_t>(declared * kTaskMemoryMib);
  const double used = UsedOverDeclared(scenario, batch_class) * LogNormal(random, 0.1);
  task.used.cpu_millis = used * static_cast<double>(task.declared.cpu_millis);
  task.used.memory_mib = used * static_cast<double>(task.declared.memory_mib);
  if (scenario.never_run && Uniform(random) < kNeverRunShare) {
    task.fate = Uniform(random) < 0.5 ? TaskFate::kFitsNowhere : TaskFate::kFailsAlways;
  }
  if (task.fate == TaskFate::kFitsNowhere) {
    task.declared.cpu_millis = 20000;
  }
  return task;
}

double BatchRate(const Deployment& deployment) {
  const double service_cpu = static_cast<double>(
      deployment.instances_per_service * deployment.services.size() * kServiceDeclared.cpu_millis);
  const double all_cpu = static_cast<double>(deployment.targets.size()) *
                         static_cast<double>(deployment.capacity.cpu_millis);
  const double at_once = kBatchShare * (all_cpu - service_cpu) / kTaskCpuMillis;
  constexpr double kMeanOfWorkFactor = 1.2;  // of a log-normal factor with deviation 0.6
  constexpr double kMeanSlowdown = 1.25;
  return at_once / (kMeanWorkSeconds * kMeanOfWorkFactor * kMeanSlowdown);
}

void AddTasks(const Deployment& deployment, const Scenario& scenario, std::uint64_t seed,
              Trace& trace) {
  RandomSource random = SourceFor("tasks", seed);
  const std::size_t noisiest = NoisiestClass(trace.truth);
  const double rate = BatchRate(deployment);
  std::size_t job = 0;
  for (double at = 0.0; at < kRunSeconds;) {
    const std::size_t count = 1 + Below(random, 4);
    at += Exponential(random, 2.5 / rate);
    std::size_t batch_class = Below(random, deployment.batch_classes.size());
    const bool in_wave =
        scenario.noisy_waves && std::fmod(at, kNoisyEverySeconds) < kNoisyForSeconds;
    if (in_wave && Uniform(random) < 1.0 - 1.0 / kNoisyFactor) {
      batch_class = noisiest;
    }
    for (std::size_t i = 0; i < count; ++i) {
      TaskSpec task = DrawTask(scenario, batch_class, random);
      task.arrives_s = at;
      task.task = {JobId("job" + std::to_string(job)), static_cast<std::uint32_t>(i)};
      trace.tasks.push_back(task);
    }
    ++job;
  }
}

}  // namespace internal

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> kScenarios = {
      {"steady", false, false, false, false, false, false},
      {"load-shift", true, false, false, false, false, false},
      {"noisy-waves", false, true, false, false, false, false},
      {"wrong-sizes", false, false, true, false, false, false},
      {"failing-targets", false, false, false, true, false, false},
      {"never-run", false, false, false, false, true, false},
      {"mixed", true, true, true, true, true, true}};
  return kScenarios;
}

Trace MakeTrace(const Deployment& deployment, const Scenario& scenario, std::uint64_t seed) {
  Trace trace;
  const std::size_t services = deployment.services.size();
  const std::size_t classes = deployment.batch_classes.size();
  const std::uint64_t mixed_seed = StableHash(deployment.name, seed);
  trace.truth = DrawInterference(services, classes, mixed_seed);
  trace.later_truth = trace.truth;
  if (scenario.class_changes) {
    trace.change_s = (kWarmUpSeconds + kRunSeconds) / 2;
    const std::size_t quiet = services + (internal::NoisiestClass(trace.truth) + 1) % classes;
    const std::size_t noisy = services + internal::NoisiestClass(trace.truth);
    for (auto& row : trace.later_truth.effect) {
      std::swap(row[quiet], row[noisy]);
    }
  }
  RandomSource demand_random = SourceFor("demand", mixed_seed);
  for (std::size_t service = 0; service < services; ++service) {
    trace.demand.push_back(internal::DemandOf(scenario, demand_random));
  }
  internal::AddTasks(deployment, scenario, mixed_seed, trace);
  if (scenario.failing_targets) {
    RandomSource random = SourceFor("broken", mixed_seed);
    const std::size_t broken = 1 + deployment.targets.size() / internal::kBrokenOneIn;
    for (std::size_t i = 0; i < broken; ++i) {
      trace.broken_targets.push_back(Below(random, deployment.targets.size()));
    }
  }
  return trace;
}

}  // namespace pistachio::bench
