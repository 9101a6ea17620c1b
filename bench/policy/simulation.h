#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bench/policy/knowing_policy.h"
#include "bench/policy/latency_histogram.h"
#include "bench/policy/scenario.h"
#include "pistachio/process/policy.h"

namespace pistachio::bench {

/// \brief What one run of one policy gave, after the warm-up.
struct RunResult {
  double p50_ms = 0.0;
  double p99_ms = 0.0;
  double p999_ms = 0.0;
  double miss_share = 0.0;  ///< of all answers, those after their deadline
  std::uint64_t answers = 0;
  double batch_per_hour = 0.0;  ///< task hours of work at full speed, done per hour
  double finished = 0.0;        ///< tasks
  double evictions = 0.0;
  double kills = 0.0;         ///< tasks that ended for lack of memory
  double wasted_hours = 0.0;  ///< work done and lost
  double throttle_steps = 0.0;
  double waiting_at_end = 0.0;  ///< tasks that can run
};

/// \brief A policy in the bench: one of the product's, or the one that knows.
using Contestant = std::variant<Policy, KnowingPolicy>;

/// \brief One run: fakes of targets whose true interference the policy cannot see, on a clock that
///   only the run advances.
class Simulation {
 public:
  Simulation(const Deployment& deployment, const Trace& trace, std::uint64_t seed,
             Contestant contestant);

  /// \brief Runs to the end. \returns the results after the warm-up.
  RunResult Run();

 private:
  struct Task {
    std::size_t spec = 0;
    double done_s = 0.0;
    double checkpoint_s = 0.0;
    double started_s = 0.0;
    double idle_until_s = 0.0;  ///< starting or resuming
    double speed = 1.0;
    std::uint32_t failures = 0;
    std::vector<std::size_t> avoid;
    double window_progress_s = 0.0;  ///< work done since the last report
  };
  struct Instance {
    std::size_t service = 0;
    TaskId task;
    double window_sum_s = 0.0;
    std::uint32_t window_answers = 0;
    double slowdown = 1.0;
  };
  struct Target {
    std::vector<Instance> instances;
    std::vector<std::size_t> tasks;
    std::vector<double> slot_free_at;
    double busy_s = 0.0;  ///< in this second
    double load = 0.0;    ///< true, smoothed over a few seconds
    double reported_load = 0.0;
    double changed_s = 0.0;
    double quarantined_until_s = 0.0;
    std::uint32_t failures_in_a_row = 0;
    bool broken = false;
    bool view_is_stale = true;
  };
  struct Report {
    double delivered_s = 0.0;
    std::size_t target = 0;
    double load = 0.0;
    std::vector<UsageSample> samples;
  };

  const TrueInterference& truth() const;
  TimePoint At(double seconds) const;
  bool Measuring() const { return this->now_s >= kWarmUpSeconds; }

  void PlaceServices();
  void AddArrivals();
  void PlaceWaiting();
  bool PlaceTask(std::size_t task);
  std::optional<std::size_t> Choose(const PlacementRequest& request, const Tenant& truth_tenant,
                                    const std::vector<std::size_t>& barred);
  const std::vector<TargetView>& Views();
  void Start(std::size_t task, std::size_t target);
  void Remove(std::size_t task, std::size_t target);
  void Requeue(std::size_t task, bool to_checkpoint);

  void UpdateSlowdowns();
  double LogSlowdown(const Target& target, std::size_t victim_class, std::size_t self) const;
  double Overload(const Target& target) const;
  void RunBatch();
  void RunTask(std::size_t target, std::size_t task, double overload);
  void FailTask(std::size_t target, std::size_t task);
  void KillForMemory(std::size_t target);

  void ServeRequests();
  void ServeOne(double arrival_s, std::size_t service);

  void MakeReports();
  void DeliverReports();
  void ReactOn(std::size_t target);
  void Apply(std::size_t target, const Reaction& reaction);
  void KnowingThrottle();

  TargetView ViewOf(std::size_t target) const;
  TrueTarget TrueViewOf(std::size_t target) const;
  TruePredictor Predictor() const;
  RunResult Result() const;

  const Deployment& deployment;
  const Trace& trace;
  Contestant contestant;
  std::uint64_t seed;
  RandomSource requests;
  RandomSource noise;
  std::vector<double> service_noise;  ///< quantiles of the spread of service times
  std::vector<Target> targets;
  std::vector<TargetView> views;  ///< what policies see, refreshed where stale
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> routes;  ///< target, instance
  std::vector<Task> tasks;
  std::deque<std::size_t> waiting;
  std::deque<Report> reports;
  double now_s = 0.0;
  std::size_t arrived = 0;
  LatencyHistogram latencies;
  std::uint64_t misses = 0;
  RunResult result;
};

}  // namespace pistachio::bench
