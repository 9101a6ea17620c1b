#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "pistachio/process/policy.h"

namespace pistachio {
namespace {

Neighbour MakeNeighbour(const std::string& name, WorkKind kind) {
  Neighbour neighbour;
  neighbour.task = {JobId(name), 0};
  neighbour.kind = kind;
  neighbour.work_class = WorkClass(name);
  neighbour.declared = {2000, 4096, 0};
  return neighbour;
}

TargetView MakeTarget(const std::string& name, const std::vector<Neighbour>& neighbours) {
  TargetView view;
  view.target = TargetId(name);
  view.capacity = {16000, 61440, 0};
  view.load = 0.4;
  view.neighbours = neighbours;
  for (const Neighbour& neighbour : neighbours) {
    view.committed += neighbour.declared;
  }
  return view;
}

PlacementRequest MakeRequest(const std::string& work_class) {
  PlacementRequest request;
  request.task = {JobId("new"), 0};
  request.work_class = WorkClass(work_class);
  request.declared = {2000, 4096, 0};
  return request;
}

UsageSample MakeSample(const Neighbour& neighbour, TimePoint at) {
  UsageSample sample;
  sample.task = neighbour.task;
  sample.kind = neighbour.kind;
  sample.work_class = neighbour.work_class;
  sample.measured_at = at;
  sample.load = 0.4;
  return sample;
}

const Neighbour kRelay = MakeNeighbour("relay", WorkKind::kService);
const Neighbour kCheck = MakeNeighbour("check", WorkKind::kService);
const Neighbour kLoud = MakeNeighbour("loud", WorkKind::kBatch);

// Teaches that loud work slows the relay and leaves the check alone.
void TeachPairs(Policy& policy, TimePoint measured_at, const TargetView& relay_host,
                const TargetView& check_host) {
  for (int i = 0; i < 100; ++i) {
    UsageSample slowed = MakeSample(kRelay, measured_at);
    slowed.latency_ratio = 1.7;
    Learn(policy, slowed, relay_host);
    UsageSample unharmed = MakeSample(kCheck, measured_at);
    unharmed.latency_ratio = 1.0;
    Learn(policy, unharmed, check_host);
  }
}

}  // namespace

TEST_CASE("work goes beside the service that it was learned not to slow") {
  Policy policy = InterferencePolicy();
  const TimePoint at{std::chrono::hours(1)};
  TeachPairs(policy, at, MakeTarget("a", {kRelay, kLoud}), MakeTarget("b", {kCheck, kLoud}));
  for (const auto& order :
       {std::vector<TargetView>{MakeTarget("a", {kRelay}), MakeTarget("b", {kCheck})},
        std::vector<TargetView>{MakeTarget("c", {kCheck}), MakeTarget("d", {kRelay})}}) {
    const auto decision = Place(policy, MakeRequest("loud"), order);
    REQUIRE(decision.has_value());
    CHECK((decision->target == TargetId("b") || decision->target == TargetId("c")));
    REQUIRE(decision->beaten.size() == 1);
    CHECK(decision->beaten[0].score > decision->score);
  }
}

TEST_CASE("measurements from before the last change on a target teach no interference") {
  Policy policy = InterferencePolicy();
  const TimePoint at{std::chrono::hours(1)};
  TargetView relay_host = MakeTarget("a", {kRelay, kLoud});
  TargetView check_host = MakeTarget("b", {kCheck, kLoud});
  relay_host.changed_at = at + std::chrono::seconds(1);
  check_host.changed_at = at + std::chrono::seconds(1);
  TeachPairs(policy, at, relay_host, check_host);
  const auto decision =
      Place(policy, MakeRequest("loud"), {MakeTarget("a", {kRelay}), MakeTarget("b", {kCheck})});
  REQUIRE(decision.has_value());
  CHECK(decision->score == Approx(decision->beaten.at(0).score));
}

TEST_CASE("work is kept off a target whose tasks use ten times what they declared") {
  Policy policy = InterferencePolicy();
  Neighbour hungry = MakeNeighbour("hungry", WorkKind::kBatch);
  hungry.declared = {1600, 4096, 0};
  Neighbour modest = MakeNeighbour("modest", WorkKind::kBatch);
  modest.declared = {9000, 4096, 0};
  const TargetView hungry_host = MakeTarget("a", {kRelay, hungry});
  const TargetView modest_host = MakeTarget("b", {kRelay, modest});
  const TimePoint at{std::chrono::hours(1)};
  for (int i = 0; i < 10; ++i) {
    UsageSample sample = MakeSample(hungry, at);
    sample.used = {16000, 4096, 0};
    Learn(policy, sample, hungry_host);
    sample = MakeSample(modest, at);
    sample.used = {900, 4096, 0};
    Learn(policy, sample, modest_host);
  }
  const auto learned = Place(policy, MakeRequest("new"), {hungry_host, modest_host});
  REQUIRE(learned.has_value());
  CHECK(learned->target == TargetId("b"));
  Policy declared_only = LeastCommittedPolicy{};
  CHECK(Place(declared_only, MakeRequest("new"), {hungry_host, modest_host})->target ==
        TargetId("a"));
}

TEST_CASE("the same measurements and requests give the same decisions") {
  auto run = [] {
    Policy policy = InterferencePolicy();
    const TimePoint at{std::chrono::hours(1)};
    TeachPairs(policy, at, MakeTarget("a", {kRelay, kLoud}), MakeTarget("b", {kCheck, kLoud}));
    std::string text;
    for (int i = 0; i < 20; ++i) {
      const auto decision = Place(policy, MakeRequest("class" + std::to_string(i)),
                                  {MakeTarget("a", {kRelay}), MakeTarget("b", {kCheck})});
      text += decision->target.str() + " " + std::to_string(decision->score) + "\n";
    }
    return text;
  };
  CHECK(run() == run());
}

}  // namespace pistachio
