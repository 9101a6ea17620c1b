#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>

#include "tests/tasks/world.h"

namespace pistachio::testing {
namespace {

using std::chrono::seconds;

constexpr int kTargets = 3;
constexpr int kLifeSeconds = 15;  ///< run time of a task
constexpr Duration kSettleTime = seconds(600);

/// \brief What must come of the jobs: the oracle, which knows nothing of how it is done.
struct Model {
  std::map<std::string, std::uint32_t> jobs;
  std::set<std::string> cancelled;
};

using Step = rc::state::Command<Model, World>;

void CheckPromises(const Model& model, World& world) {
  if (!world.violations.empty()) {
    RC_FAIL(world.violations.front());
  }
  for (const auto& [name, count] : model.jobs) {
    const JobStatus status = world.StatusOf(JobId(name));
    RC_ASSERT(status.finished + status.cancelled + status.failed <= count);
  }
}

struct SubmitJob : Step {
  std::string name = "j" + std::to_string(*rc::gen::inRange(0, 6));
  std::uint32_t count = *rc::gen::inRange(1U, 7U);
  std::int64_t cpu_millis = 500 * *rc::gen::inRange<std::int64_t>(1, 7);
  bool urgent = *rc::gen::inRange(0, 4) == 0;

  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.jobs.count(this->name) == 0);
  }
  void apply(Model& model) const override { model.jobs[this->name] = this->count; }
  void run(const Model& /*model*/, World& world) const override { world.Submit(this->Spec()); }
  void show(std::ostream& out) const override {
    out << "Submit " << this->name << " x" << this->count << " of " << this->cpu_millis << "m"
        << (this->urgent ? " urgent" : "");
  }
  JobSpec Spec() const {
    JobSpec spec = BatchJob(this->name, this->count, seconds(kLifeSeconds), this->cpu_millis);
    spec.priority = this->urgent ? kUrgentPriority : 100;
    return spec;
  }
};

struct CancelJob : Step {
  std::string name = "j" + std::to_string(*rc::gen::inRange(0, 6));

  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.jobs.count(this->name) == 1);
  }
  void apply(Model& model) const override { model.cancelled.insert(this->name); }
  void run(const Model& /*model*/, World& world) const override { world.Cancel(JobId(this->name)); }
  void show(std::ostream& out) const override { out << "Cancel " << this->name; }
};

struct StrikeFault : Step {
  // The messages' own faults come from StormOfFaults.
  Fault fault =
      static_cast<Fault>(*rc::gen::inRange(static_cast<int>(Fault::kHolderPaused), kFaultCount));
  bool queue_side = *rc::gen::arbitrary<bool>();
  int target = *rc::gen::inRange(1, kTargets + 1);

  void run(const Model& /*model*/, World& world) const override {
    world.Strike(this->fault, this->queue_side, TargetId("t" + std::to_string(this->target)));
  }
  void show(std::ostream& out) const override {
    out << "Strike " << NameOf(this->fault) << (this->queue_side ? " queue" : " rack") << " t"
        << this->target;
  }
};

struct StormOfFaults : Step {
  std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
  std::uint64_t percent = *rc::gen::inRange<std::uint64_t>(0, 30);

  void run(const Model& /*model*/, World& world) const override {
    world.plan = [seed = this->seed, percent = this->percent](testing::Step step, int number) {
      const std::string key = std::to_string(static_cast<int>(step)) + ":" + std::to_string(number);
      const std::uint64_t dice = StableHash(key, seed);
      const auto kind = static_cast<int>(1 + dice / 100 % 4);
      return dice % 100 < percent ? static_cast<Fault>(kind) : Fault::kNone;
    };
  }
  void show(std::ostream& out) const override {
    out << "Storm of " << this->percent << "% with seed " << this->seed;
  }
};

struct RunFor : Step {
  int time = *rc::gen::inRange(1, 30);

  void run(const Model& model, World& world) const override {
    world.Run(seconds(this->time));
    CheckPromises(model, world);
  }
  void show(std::ostream& out) const override { out << "Run " << this->time << "s"; }
};

struct DrainTarget : Step {
  bool drained = *rc::gen::arbitrary<bool>();

  void run(const Model& /*model*/, World& world) const override {
    world.SetStanding(TargetId("t1"),
                      this->drained ? TargetStanding::kDrained : TargetStanding::kLive);
  }
  void show(std::ostream& out) const override { out << (this->drained ? "Drain" : "Undrain"); }
};

struct Compact : Step {
  void run(const Model& /*model*/, World& world) const override { world.CheckpointLedgers(); }
  void show(std::ostream& out) const override { out << "Compact"; }
};

// Operators repeat what they got no answer to, so the oracle may ask for everything.
void Settle(const std::vector<SubmitJob>& submitted, const Model& model, World& world) {
  world.plan = nullptr;
  world.SetStanding(TargetId("t1"), TargetStanding::kLive);
  for (int round = 0; round < 3; ++round) {
    world.Run(seconds(60));
    for (const SubmitJob& job : submitted) {
      world.Submit(job.Spec());
    }
    world.Run(seconds(5));
    for (const std::string& name : model.cancelled) {
      world.Cancel(JobId(name));
    }
  }
  world.Run(kSettleTime);
  CheckPromises(model, world);
  for (const auto& [name, count] : model.jobs) {
    const JobStatus status = world.StatusOf(JobId(name));
    const bool cancelled = model.cancelled.count(name) > 0;
    RC_LOG() << name << ": finished " << status.finished << ", cancelled " << status.cancelled
             << ", failed " << status.failed << ", waiting " << status.waiting << ", assigned "
             << status.assigned << ", " << status.reason << "\n";
    RC_ASSERT(status.finished + status.cancelled == count);
    RC_ASSERT(cancelled || status.cancelled == 0U);
  }
  for (const auto& [target, amount] : world.rack().committed()) {
    RC_ASSERT(amount == Resources{});
  }
}

std::vector<SubmitJob> SubmissionsIn(const rc::state::Commands<Step>& steps) {
  std::vector<SubmitJob> found;
  for (const auto& step : steps) {
    const auto* submit = dynamic_cast<const SubmitJob*>(step.get());
    if (submit != nullptr) {
      found.push_back(*submit);
    }
  }
  return found;
}

void Play(bool fences_epochs) {
  const Model start;
  const auto steps = *rc::state::gen::commands(
      start, rc::state::gen::execOneOfWithArgs<SubmitJob, CancelJob, StrikeFault, StormOfFaults,
                                               RunFor, RunFor, RunFor, DrainTarget, Compact>());
  World world(kTargets, fences_epochs);
  world.Run(seconds(5));
  rc::state::runAll(steps, start, world);
  Model end = start;
  for (const auto& step : steps) {
    step->apply(end);
  }
  Settle(SubmissionsIn(steps), end, world);
}

TEST_CASE("random commands and faults keep the promises", "[fuzz]") {
  CHECK(rc::check("targets that refuse older epochs", [] { Play(true); }));
  CHECK(rc::check("targets that compare no epochs", [] { Play(false); }));
}

}  // namespace
}  // namespace pistachio::testing
