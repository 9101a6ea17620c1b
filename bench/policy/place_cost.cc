#include "bench/policy/place_cost.h"

#include <fmt/format.h>

#include <string>
#include <vector>

#include "pistachio/process/policy.h"
#include "pistachio/process/runtime/clock.h"

namespace pistachio::bench {

namespace internal {

constexpr std::size_t kServicesOnTarget = 2;
constexpr std::size_t kTasksOnTarget = 4;
constexpr std::size_t kClasses = 12;

std::vector<TargetView> MakeViews(std::size_t count) {
  std::vector<TargetView> views(count);
  for (std::size_t i = 0; i < count; ++i) {
    TargetView& view = views[i];
    view.target = TargetId("rack" + std::to_string(i / 10) + "-t" + std::to_string(i % 10));
    view.capacity = {16000, 61440, 0};
    view.load = 0.4;
    for (std::size_t n = 0; n < kServicesOnTarget + kTasksOnTarget; ++n) {
      Neighbour neighbour;
      neighbour.kind = n < kServicesOnTarget ? WorkKind::kService : WorkKind::kBatch;
      neighbour.task = {JobId("job" + std::to_string(i * 10 + n)), 0};
      neighbour.work_class = WorkClass("class" + std::to_string((i + n) % kClasses));
      neighbour.declared = {2000, 4096, 0};
      view.committed += neighbour.declared;
      view.neighbours.push_back(neighbour);
    }
  }
  return views;
}

// Every pair is learned once, so that the model is as large as it gets with these classes.
void TeachAll(Policy& policy, const std::vector<TargetView>& views, TimePoint at) {
  for (const TargetView& view : views) {
    for (const Neighbour& neighbour : view.neighbours) {
      UsageSample sample;
      sample.task = neighbour.task;
      sample.kind = neighbour.kind;
      sample.work_class = neighbour.work_class;
      sample.measured_at = at;
      sample.used = {1500, 3000, 0};
      sample.latency_ratio = 1.2;
      sample.progress_rate = 0.9;
      sample.load = view.load;
      Learn(policy, sample, view);
    }
  }
}

double MicrosecondsOfPlace(Policy& policy, const std::vector<TargetView>& views) {
  constexpr int kRounds = 300;
  const Clock clock = BootClock{};
  PlacementRequest request;
  request.task = {JobId("new"), 0};
  request.work_class = WorkClass("class7");
  request.declared = {1000, 1024, 0};
  const TimePoint start = Now(clock);
  for (int round = 0; round < kRounds; ++round) {
    if (!Place(policy, request, views)) {
      return 0.0;
    }
  }
  return static_cast<double>((Now(clock) - start).count()) / kRounds;
}

}  // namespace internal

int PrintPlaceCost() {
  const std::vector<std::pair<const char*, Policy>> policies = {
      {"least-committed", LeastCommittedPolicy{}}, {"interference", InterferencePolicy{}}};
  for (const auto& [name, fresh] : policies) {
    for (const std::size_t count : {std::size_t{10}, std::size_t{90}, std::size_t{900}}) {
      Policy policy = fresh;
      const auto views = internal::MakeViews(count);
      internal::TeachAll(policy, views, TimePoint(std::chrono::hours(1)));
      fmt::print("{} place at {} targets: {:.1f} us\n", name, count,
                 internal::MicrosecondsOfPlace(policy, views));
    }
  }
  return 0;
}

}  // namespace pistachio::bench
