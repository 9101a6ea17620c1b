#include "pistachio/process/scheduling/placement.h"

#include <catch2/catch.hpp>

#include "tests/scheduling/untrained_model.h"

namespace pistachio {
namespace {

TargetLoad EmptyTarget() {
  TargetLoad load;
  load.capacity = Resources{16000, 64000, 0};
  return load;
}

/// \returns a target with \a count serving tasks of \a image, each with a tail of \a tail ms.
TargetLoad WithServing(ImageIndex image, int count, double tail) {
  TargetLoad load = EmptyTarget();
  for (int i = 0; i < count; ++i) {
    load.serving.push_back({image, TailTime(tail), TailTime(50.0)});
    load.used += Resources{3200, 6400, 0};
    load.serving_cpu += 3200;
  }
  return load;
}

/// \returns a model trained with samples in which one core of the interfering image triples the
///   tail of the serving image, and the harmless image does not change it.
InterferenceModel TrainedModel() {
  InterferenceModel model = UntrainedModel();
  TimePoint now{};
  for (int i = 0; i < 200; ++i) {
    now += std::chrono::milliseconds(400);
    model.Learn(kServing, {}, 3.0, now);
    model.Learn(kServing, {{kInterfering, 1.0}}, 4.1, now);
    model.Learn(kServing, {{kHarmless, 1.0}}, 3.0, now);
  }
  return model;
}

PlacementRequest BestEffort(ImageIndex image) {
  return PlacementRequest{Resources{1800, 3200, 0}, true, false, image};
}

TEST_CASE("a task does not fit on a target without enough room", "[placement]") {
  const InterferenceModel model = UntrainedModel();
  const PlacementSettings settings;
  const PlacementRequest wide{Resources{4000, 1000, 0}, false, false, 0};
  REQUIRE(FitsOn(wide, WithServing(kServing, 3, 20.0), model, settings));
  REQUIRE_FALSE(FitsOn(wide, WithServing(kServing, 4, 20.0), model, settings));
  const PlacementRequest heavy{Resources{0, 64001, 0}, true, false, kHarmless};
  REQUIRE_FALSE(FitsOn(heavy, EmptyTarget(), model, settings));
  const PlacementRequest accelerated{Resources{0, 0, 1}, false, false, 0};
  REQUIRE_FALSE(FitsOn(accelerated, EmptyTarget(), model, settings));
}

TEST_CASE("a best-effort task fits into the processors that serving tasks leave idle",
          "[placement]") {
  const InterferenceModel model = UntrainedModel();
  const PlacementSettings settings;
  TargetLoad load = WithServing(kServing, 5, 10.0);
  REQUIRE(FitsOn(BestEffort(kHarmless), load, model, settings));
  // Only half of the processors that the task requests are left idle.
  load.best_effort_cpu = static_cast<std::int64_t>(settings.serving_idle_share * 16000) - 900;
  REQUIRE_FALSE(FitsOn(BestEffort(kHarmless), load, model, settings));
}

// Load: serving tasks on nearly all targets, and some best-effort images that slow them down
// several times.
TEST_CASE("an image that slows serving tasks does not fit beside them, a harmless one does",
          "[placement]") {
  const InterferenceModel model = TrainedModel();
  const PlacementSettings settings;
  const TargetLoad serving = WithServing(kServing, 4, 20.0);
  REQUIRE(FitsOn(BestEffort(kHarmless), serving, model, settings));
  REQUIRE_FALSE(FitsOn(BestEffort(kInterfering), serving, model, settings));
  REQUIRE(FitsOn(BestEffort(kInterfering), EmptyTarget(), model, settings));
}

TEST_CASE("a serving task prefers targets that serve its image and fills them up", "[placement]") {
  const InterferenceModel model = UntrainedModel();
  const PlacementSettings settings;
  const PlacementRequest need{Resources{3200, 6400, 0}, false, true, kServing};
  const double same = PlacementScore(need, WithServing(kServing, 2, 20.0), model, settings);
  const double other = PlacementScore(need, WithServing(kOtherServing, 2, 20.0), model, settings);
  const double empty = PlacementScore(need, EmptyTarget(), model, settings);
  REQUIRE(same < empty);
  REQUIRE(empty < other);
}

TEST_CASE("an urgent task prefers the least loaded target and avoids a slow one", "[placement]") {
  const InterferenceModel model = UntrainedModel();
  const PlacementSettings settings;
  const PlacementRequest need{Resources{1600, 3200, 0}, false, false, 0};
  TargetLoad slow = EmptyTarget();
  slow.slowness = 2.0;
  const double busy = PlacementScore(need, WithServing(kServing, 3, 20.0), model, settings);
  REQUIRE(PlacementScore(need, EmptyTarget(), model, settings) < busy);
  REQUIRE(busy < PlacementScore(need, slow, model, settings));
}

}  // namespace
}  // namespace pistachio
