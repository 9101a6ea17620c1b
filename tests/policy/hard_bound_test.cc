#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "pistachio/process/policy.h"

namespace pistachio {
namespace {

Resources Amount(std::int64_t largest) {
  Resources amount;
  amount.cpu_millis = *rc::gen::inRange<std::int64_t>(0, largest);
  amount.memory_mib = *rc::gen::inRange<std::int64_t>(0, largest);
  amount.accelerators = *rc::gen::inRange<std::int64_t>(0, 4);
  return amount;
}

std::vector<TargetView> Targets() {
  std::vector<TargetView> targets(*rc::gen::inRange<std::size_t>(0, 12));
  for (std::size_t i = 0; i < targets.size(); ++i) {
    targets[i].target = TargetId("t" + std::to_string(i));
    targets[i].capacity = Amount(20);
    targets[i].committed = Amount(20);
    targets[i].load = *rc::gen::inRange(0, 11) / 10.0;
  }
  return targets;
}

bool Fits(const TargetView& view, const Resources& more) {
  return view.committed.cpu_millis + more.cpu_millis <= view.capacity.cpu_millis &&
         view.committed.memory_mib + more.memory_mib <= view.capacity.memory_mib &&
         view.committed.accelerators + more.accelerators <= view.capacity.accelerators;
}

void CheckBound(Policy policy) {
  const auto targets = Targets();
  PlacementRequest request;
  request.kind = *rc::gen::element(WorkKind::kBatch, WorkKind::kService);
  request.work_class = WorkClass("any");
  request.declared = Amount(10);
  const auto decision = Place(policy, request, targets);
  std::size_t fitting = 0;
  for (const auto& view : targets) {
    const bool fits = Fits(view, request.declared);
    fitting += fits ? 1 : 0;
    RC_ASSERT(!decision || decision->target != view.target || fits);
  }
  RC_ASSERT(decision.has_value() == (fitting > 0));
}

}  // namespace

TEST_CASE("no policy places beyond a target's capacity, and each uses room that is there") {
  const std::vector<Policy> policies = {RandomPolicy{},  RoundRobinPolicy{}, LeastCommittedPolicy{},
                                        BestFitPolicy{}, TwoChoicesPolicy{}, InterferencePolicy{}};
  for (const auto& policy : policies) {
    INFO("policy " << policy.index());
    CHECK(rc::check("hard bound", [&policy] { CheckBound(policy); }));
  }
}

}  // namespace pistachio
