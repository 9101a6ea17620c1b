#include <catch2/catch.hpp>
#include <string>

#include "pistachio/process/policy.h"

namespace pistachio {
namespace {

constexpr double kSlow = 3.0;
constexpr double kCalm = 1.0;

// One target with a service and two batch tasks, on a clock that the test advances.
class Host {
 public:
  explicit Host(const InterferenceSettings& settings = {})
      : settings(settings), policy(InterferencePolicy(settings)) {
    this->view.target = TargetId("t1");
    this->view.capacity = {16000, 61440, 0};
    this->view.neighbours = {Make("relay", WorkKind::kService), Make("loud", WorkKind::kBatch),
                             Make("quiet", WorkKind::kBatch)};
  }

  static Neighbour Make(const std::string& name, WorkKind kind) {
    Neighbour neighbour;
    neighbour.task = {JobId(name), 0};
    neighbour.kind = kind;
    neighbour.work_class = WorkClass(name);
    neighbour.declared = {2000, 4096, 0};
    return neighbour;
  }

  std::vector<Reaction> Measure(double ratio, Duration after = std::chrono::seconds(5)) {
    this->now += after;
    UsageSample sample;
    sample.task = {JobId("relay"), 0};
    sample.work_class = WorkClass("relay");
    sample.kind = WorkKind::kService;
    sample.measured_at = this->now - this->lag;
    sample.latency_ratio = ratio;
    sample.load = 0.4;
    Learn(this->policy, sample, this->view);
    return this->ReactNow();
  }

  std::vector<Reaction> ReactNow() {
    auto reactions = React(this->policy, this->view, this->now);
    for (const Reaction& reaction : reactions) {
      for (Neighbour& neighbour : this->view.neighbours) {
        if (neighbour.task == reaction.task && reaction.kind != ReactionKind::kEvict) {
          neighbour.throttle = reaction.throttle;
        }
      }
    }
    return reactions;
  }

  std::vector<Reaction> MeasureUntilReaction(double ratio, int at_most) {
    for (int i = 0; i < at_most; ++i) {
      auto reactions = this->Measure(ratio);
      if (!reactions.empty()) {
        return reactions;
      }
    }
    return {};
  }

  InterferenceSettings settings;
  Policy policy;
  TargetView view;
  TimePoint now{std::chrono::hours(1)};
  Duration lag = std::chrono::seconds(0);
};

}  // namespace

TEST_CASE("one slow measurement never causes a reaction") {
  Host host;
  CHECK(host.Measure(kSlow).empty());
  for (int i = 0; i < 20; ++i) {
    CHECK(host.Measure(kCalm).empty());
    CHECK(host.Measure(kSlow).empty());
  }
}

TEST_CASE("slow measurements in a row throttle a batch task, never the service") {
  Host host;
  const auto reactions = host.MeasureUntilReaction(kSlow, 3);
  REQUIRE(reactions.size() == 1);
  CHECK(reactions[0].kind == ReactionKind::kThrottle);
  CHECK(reactions[0].task.job != JobId("relay"));
  CHECK(reactions[0].throttle < 1.0);
  CHECK_FALSE(reactions[0].reason.empty());
}

TEST_CASE("the same measurement never counts twice") {
  Host host;
  host.Measure(kSlow);
  for (int i = 0; i < 20; ++i) {
    CHECK(host.ReactNow().empty());
  }
}

TEST_CASE("measurements from before a reaction took effect cause no second one") {
  Host host;
  host.lag = std::chrono::seconds(30);
  REQUIRE(host.MeasureUntilReaction(kSlow, 3).size() == 1);
  const TimePoint reacted_at = host.now;
  while (host.now < reacted_at + host.lag + host.settings.reaction.settle) {
    CHECK(host.Measure(kSlow).empty());
  }
}

TEST_CASE("the task that was learned to slow the service most is throttled first") {
  Host host;
  const auto all = host.view.neighbours;
  for (int i = 0; i < 100; ++i) {
    host.view.neighbours = {all[0], all[1]};
    host.Measure(1.5);
    host.view.neighbours = {all[0], all[2]};
    host.Measure(1.0);
  }
  host.view.neighbours = all;
  const auto reactions = host.MeasureUntilReaction(kSlow, 10);
  REQUIRE(reactions.size() == 1);
  CHECK(reactions[0].task.job == JobId("loud"));
}

TEST_CASE("throttled work gets its speed back step by step once the service is calm for long") {
  Host host;
  REQUIRE(host.MeasureUntilReaction(kSlow, 3).size() == 1);
  REQUIRE(host.MeasureUntilReaction(kSlow, 10).size() == 1);
  double last = 0.0;
  for (int step = 0; step < 4; ++step) {
    const auto reactions = host.MeasureUntilReaction(kCalm, 20);
    if (reactions.empty()) {
      break;
    }
    CHECK(reactions[0].kind == ReactionKind::kRestore);
    CHECK(reactions[0].throttle > last * 0.5);
    last = reactions[0].throttle;
  }
  for (const Neighbour& neighbour : host.view.neighbours) {
    CHECK(neighbour.throttle == Approx(1.0));
  }
}

TEST_CASE("a latency between slow and calm changes nothing") {
  Host host;
  REQUIRE(host.MeasureUntilReaction(kSlow, 3).size() == 1);
  const double between =
      (host.settings.reaction.slow_ratio + host.settings.reaction.calm_ratio) / 2;
  CHECK(host.MeasureUntilReaction(between, 100).empty());
}

TEST_CASE("work is moved only at the lowest throttle, and within the budget") {
  InterferenceSettings settings;
  settings.reaction.evictions_per_window = 2;
  settings.weights.eviction = 0.0;
  Host host(settings);
  int throttles = 0;
  int evictions = 0;
  const TimePoint start = host.now;
  while (host.now < start + settings.reaction.eviction_window - std::chrono::minutes(1)) {
    for (const Reaction& reaction : host.Measure(kSlow)) {
      if (reaction.kind == ReactionKind::kEvict) {
        ++evictions;
        for (const Neighbour& neighbour : host.view.neighbours) {
          if (neighbour.kind == WorkKind::kBatch) {
            CHECK(neighbour.throttle == Approx(settings.reaction.lowest_throttle));
          }
        }
      } else {
        ++throttles;
        CHECK(evictions == 0);
      }
    }
  }
  CHECK(throttles >= 2);
  CHECK(evictions == 2);
  bool told = false;
  for (const EventRecord& event : TakeEvents(host.policy)) {
    told = told || event.code == EventCode::kEvictionBudgetSpent;
  }
  CHECK(told);
}

TEST_CASE("without a budget, or when it is not worth its weight, nothing is moved") {
  InterferenceSettings no_budget;
  no_budget.weights.eviction = 0.0;
  no_budget.reaction.evictions_per_window = 0;
  InterferenceSettings dear;
  dear.weights.eviction = 1e6;
  dear.reaction.evictions_per_window = 100;
  for (const auto& settings : {no_budget, dear}) {
    Host host(settings);
    for (int i = 0; i < 300; ++i) {
      for (const Reaction& reaction : host.Measure(kSlow)) {
        CHECK(reaction.kind == ReactionKind::kThrottle);
      }
    }
  }
}

TEST_CASE("events that nobody takes stay bounded") {
  InterferenceSettings settings;
  settings.weights.eviction = 0.0;
  settings.reaction.evictions_per_window = 0;
  Host host(settings);
  for (int i = 0; i < 20000; ++i) {
    host.Measure(kSlow);
  }
  CHECK(TakeEvents(host.policy).size() == 1000);
  CHECK(TakeEvents(host.policy).empty());
}

TEST_CASE("simple policies never react") {
  Host host;
  host.policy = LeastCommittedPolicy{};
  CHECK(host.MeasureUntilReaction(kSlow, 50).empty());
}

TEST_CASE("every kind of reaction has an event with its reason") {
  for (const auto kind : {ReactionKind::kThrottle, ReactionKind::kRestore, ReactionKind::kEvict}) {
    Reaction reaction;
    reaction.kind = kind;
    reaction.reason = "the reason";
    const EventRecord event = EventOf(reaction);
    CHECK(FindEvent(event.code).has_value());
    CHECK(event.str().find("the reason") != std::string::npos);
  }
}

}  // namespace pistachio
