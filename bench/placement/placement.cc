/// \file
/// \brief Cost of placing: one decision, a takeover of every rack, the starts of a busy second and
/// the time until urgent work starts, with its growth with the number of workers.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>

#include "bench/placement/fleet.h"

DEFINE_bool(json, false, "print JSON");
DEFINE_int32(targets_per_rack, 10, "targets in a rack");
DEFINE_int32(seconds, 20, "modelled length of the load in seconds");
DEFINE_uint64(seed, 1, "seed of the arrivals of urgent work");

namespace pistachio::bench {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The load at 900 workers; smaller fleets get their share of it.
constexpr int kFullWorkers = 900;
constexpr int kFullServices = 5000;
constexpr int kFullBatch = 5900;
constexpr int kFullStartsPerSecond = 410;
constexpr int kUrgentTasks = 300;

struct Measured {
  Json counts = Json::object();
  Json timings = Json::object();
};

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

/// \brief Wall time of \a work; a benchmark has no paused clock.
template <class Work>
double Time(Work work) {
  const TimePoint begin = BootClock().Now();
  work();
  return Seconds(BootClock().Now() - begin);
}

JobSpec Job(const std::string& name, WorkKind kind, int count, const Resources& declared) {
  JobSpec spec;
  spec.job = JobId(name);
  spec.team = TeamId("team");
  spec.kind = kind;
  spec.service = ServiceId(kind == WorkKind::kService ? name : "");
  spec.work_class = WorkClass(name);
  spec.priority = kind == WorkKind::kService ? 800 : 100;
  spec.count = static_cast<std::uint32_t>(std::max(count, 1));
  spec.declared = declared;
  return spec;
}

void FillWithServices(Fleet& fleet, int workers) {
  const int services = kFullServices * workers / kFullWorkers;
  for (int i = 0; i < 50; ++i) {
    fleet.Submit(
        Job("service-" + std::to_string(i), WorkKind::kService, services / 50, {1500, 4096, 0}));
  }
  fleet.Run(seconds(10));
}

void MeasureDecision(int workers, Measured& out) {
  std::vector<TargetView> views;
  for (int i = 0; i < workers; ++i) {
    TargetView view;
    view.target = TargetId("w" + std::to_string(i));
    view.capacity = {16000, 61440, 2};
    const std::int64_t tasks = i % 13;
    view.committed = {tasks * 1000, tasks * 2048, 0};
    views.push_back(view);
  }
  Policy policy = LeastCommittedPolicy{};
  PlacementRequest request;
  request.declared = {1000, 1024, 0};
  constexpr int kRounds = 2000;
  std::size_t placed = 0;
  const double time = Time([&] {
    for (int i = 0; i < kRounds; ++i) {
      placed += Place(policy, request, views) ? 1 : 0;
    }
  });
  out.counts["decisions"] = placed;
  out.timings["decision_over_all_workers_us"] = time * 1e6 / kRounds;
}

void MeasureLoad(int workers, Measured& out) {
  Fleet fleet(workers, FLAGS_targets_per_rack, {});
  fleet.Run(seconds(4));
  FillWithServices(fleet, workers);
  const int per_second = std::max(1, kFullStartsPerSecond * workers / kFullWorkers);
  const Duration run = milliseconds(1000LL * kFullBatch / kFullStartsPerSecond);
  // The load is in balance once the first tasks have finished.
  const int warm_up = static_cast<int>(run / seconds(1)) + 6;
  FleetCounts before;
  const auto second = [&](int number) {
    JobSpec spec =
        Job("batch-" + std::to_string(number), WorkKind::kBatch, per_second, {1000, 1024, 0});
    spec.expected_run = run;
    fleet.Submit(spec);
    fleet.Run(seconds(1));
  };
  for (int i = 0; i < warm_up; ++i) {
    second(i);
  }
  before = fleet.counts;
  const double wall = Time([&] {
    for (int i = 0; i < FLAGS_seconds; ++i) {
      second(warm_up + i);
    }
  });
  const FleetCounts& after = fleet.counts;
  const auto starts = static_cast<double>(after.starts - before.starts);
  const auto rate = [&](std::uint64_t late, std::uint64_t early) {
    return static_cast<double>(late - early) / static_cast<double>(FLAGS_seconds);
  };
  const auto each = [&](std::uint64_t late, std::uint64_t early) {
    return static_cast<double>(late - early) / starts;
  };
  out.counts["starts_per_s"] = starts / static_cast<double>(FLAGS_seconds);
  out.counts["ledger_writes_per_s"] = rate(after.writes, before.writes);
  out.counts["queue_bytes_per_start"] = each(after.queue_bytes, before.queue_bytes);
  out.counts["rack_bytes_per_start"] = each(after.rack_bytes, before.rack_bytes);
  out.counts["queue_records_per_start"] = each(after.queue_records, before.queue_records);
  out.counts["rack_records_per_start"] = each(after.rack_records, before.rack_records);
  out.counts["record_bytes_per_s"] =
      rate(after.queue_bytes + after.rack_bytes, before.queue_bytes + before.rack_bytes);
  out.counts["commands_per_s"] = rate(after.commands, before.commands);
  out.counts["messages_per_s"] = rate(after.messages, before.messages);
  out.timings["wall_s_per_modelled_s"] = wall / static_cast<double>(FLAGS_seconds);
  std::uint64_t commands = 0;
  const double takeover = Time([&] { commands = fleet.TakeOverEveryRack(); });
  const double racks = std::max(1, workers / FLAGS_targets_per_rack);
  out.counts["takeover_commands"] = commands;
  out.timings["takeover_of_all_racks_ms"] = takeover * 1e3;
  out.timings["takeover_of_one_rack_ms"] = takeover * 1e3 / racks;
}

void MeasureUrgent(int workers, Measured& out) {
  Fleet fleet(workers, FLAGS_targets_per_rack, {});
  fleet.Run(seconds(4));
  FillWithServices(fleet, workers);
  // Batch work takes all that the services leave, so that every urgent task needs an eviction.
  JobSpec batch = Job("batch", WorkKind::kBatch, 11 * workers, {1000, 1024, 0});
  batch.expected_run = std::chrono::hours(10);
  fleet.Submit(batch);
  fleet.Run(seconds(60));
  const std::size_t placed = fleet.started_at.size();
  std::mt19937_64 random(FLAGS_seed);
  // The eviction budget is each rack's own, so the arrivals keep their rate for each rack.
  std::uniform_int_distribution<int> gap(1, 1999 * kFullWorkers / workers);
  std::map<TaskId, TimePoint> submitted;
  for (int i = 0; i < kUrgentTasks; ++i) {
    fleet.Run(milliseconds(gap(random)));
    JobSpec urgent = Job("urgent-" + std::to_string(i), WorkKind::kBatch, 1, {2000, 2048, 0});
    urgent.priority = kUrgentPriority;
    urgent.expected_run = seconds(60);
    submitted[{urgent.job, 0}] = fleet.now;
    fleet.Submit(urgent);
  }
  fleet.Run(seconds(120));
  std::vector<double> latencies;
  for (const auto& [task, when] : submitted) {
    const auto started = fleet.started_at.find(task);
    if (started != fleet.started_at.end()) {
      latencies.push_back(Seconds(started->second - when));
    }
  }
  std::sort(latencies.begin(), latencies.end());
  out.counts["placed_before_urgent"] = placed;
  out.counts["urgent_submitted"] = kUrgentTasks;
  out.counts["urgent_started"] = latencies.size();
  if (!latencies.empty()) {
    out.counts["urgent_p50_s"] = latencies[latencies.size() / 2];
    out.counts["urgent_p99_s"] = latencies[latencies.size() * 99 / 100];
    out.counts["urgent_max_s"] = latencies.back();
  }
}

}  // namespace
}  // namespace pistachio::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures placement at 65, 300 and 900 workers");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  using pistachio::bench::Measured;
  nlohmann::json all = nlohmann::json::array();
  for (const int workers : {65, 300, 900}) {
    Measured out;
    pistachio::bench::MeasureDecision(workers, out);
    pistachio::bench::MeasureLoad(workers, out);
    pistachio::bench::MeasureUrgent(workers, out);
    all.push_back({{"workers", workers}, {"counts", out.counts}, {"timings", out.timings}});
  }
  fmt::print("targets_per_rack={} seconds={} seed={}\n{}\n", FLAGS_targets_per_rack, FLAGS_seconds,
             FLAGS_seed, all.dump(FLAGS_json ? -1 : 2));
  return 0;
}
