#include "pistachio/process/policy/slowdown_model.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "pistachio/process/runtime/random.h"

namespace pistachio {
namespace {

constexpr double kLoad = 0.4;

class Learner {
 public:
  Learner() : model(SlowdownSettings{}, PolicyParts{}) {
    this->service = this->model.IndexOf(WorkClass("relay"), WorkKind::kService);
    this->other_service = this->model.IndexOf(WorkClass("check"), WorkKind::kService);
    this->loud = this->model.IndexOf(WorkClass("loud"), WorkKind::kBatch);
    this->quiet = this->model.IndexOf(WorkClass("quiet"), WorkKind::kBatch);
  }

  void Learn(ClassIndex victim, const std::vector<Aggressor>& beside, double truth, double load) {
    constexpr int kRange = 1000;
    const double noise = (static_cast<double>(this->random() % kRange) / kRange - 0.5) * 0.2;
    this->at += std::chrono::seconds(5);
    this->model.Learn(victim, beside, load, truth + noise, this->at);
  }

  SlowdownModel model;
  ClassIndex service = 0;
  ClassIndex other_service = 0;
  ClassIndex loud = 0;
  ClassIndex quiet = 0;
  RandomSource random{7};
  TimePoint at{};
};

}  // namespace

TEST_CASE("a pair that was never seen has the prior effect and its whole uncertainty") {
  Learner learner;
  const SlowdownSettings settings;
  const Estimate effect = learner.model.Effect(learner.service, learner.loud, kLoad);
  CHECK(effect.mean == Approx(settings.prior_effect));
  CHECK(effect.variance ==
        Approx(settings.class_variance + settings.pair_variance + settings.band_variance));
}

TEST_CASE("measurements of two neighbours at once are attributed to the one that slows") {
  Learner learner;
  for (int i = 0; i < 200; ++i) {
    learner.Learn(learner.service, {}, 0.0, kLoad);
    learner.Learn(learner.service, {{learner.loud, 1.0}, {learner.quiet, 1.0}}, 0.6, kLoad);
    learner.Learn(learner.service, {{learner.quiet, 1.0}}, 0.0, kLoad);
  }
  CHECK(learner.model.Effect(learner.service, learner.loud, kLoad).mean == Approx(0.6).margin(0.1));
  CHECK(learner.model.Effect(learner.service, learner.quiet, kLoad).mean < 0.1);
}

TEST_CASE("a new pair falls back to what its class did to other services") {
  Learner learner;
  for (int i = 0; i < 200; ++i) {
    learner.Learn(learner.service, {{learner.loud, 1.0}}, 0.8, kLoad);
    learner.Learn(learner.service, {}, 0.0, kLoad);
  }
  const SlowdownSettings settings;
  const double unseen = learner.model.Effect(learner.other_service, learner.loud, kLoad).mean;
  CHECK(unseen > settings.prior_effect + 0.05);
  CHECK(unseen < 0.8);
}

TEST_CASE("what is learned at one load leaves a difference to another load") {
  Learner learner;
  for (int i = 0; i < 400; ++i) {
    learner.Learn(learner.service, {}, 0.0, 0.1);
    learner.Learn(learner.service, {{learner.loud, 1.0}}, 0.1, 0.1);
    learner.Learn(learner.service, {}, 0.0, 0.9);
    learner.Learn(learner.service, {{learner.loud, 1.0}}, 0.9, 0.9);
  }
  const double at_low = learner.model.Effect(learner.service, learner.loud, 0.1).mean;
  const double at_high = learner.model.Effect(learner.service, learner.loud, 0.9).mean;
  CHECK(at_low == Approx(0.1).margin(0.15));
  CHECK(at_high == Approx(0.9).margin(0.15));
}

TEST_CASE("uncertainty shrinks with measurements and grows again while nothing is measured") {
  Learner learner;
  const double unknown = learner.model.Effect(learner.service, learner.loud, kLoad).variance;
  for (int i = 0; i < 50; ++i) {
    learner.Learn(learner.service, {{learner.loud, 1.0}}, 0.3, kLoad);
  }
  const double known = learner.model.Effect(learner.service, learner.loud, kLoad).variance;
  CHECK(known < unknown);
  learner.at += std::chrono::hours(12);
  learner.Learn(learner.service, {{learner.loud, 1.0}}, 0.3, kLoad);
  const double aged = learner.model.Effect(learner.service, learner.loud, kLoad).variance;
  CHECK(aged > known);
  CHECK(aged <= unknown);
}

TEST_CASE("a changed effect is learned anew") {
  Learner learner;
  for (int i = 0; i < 300; ++i) {
    learner.Learn(learner.service, {{learner.loud, 1.0}}, 0.6, kLoad);
    learner.Learn(learner.service, {}, 0.0, kLoad);
  }
  for (int i = 0; i < 300; ++i) {
    learner.Learn(learner.service, {{learner.loud, 1.0}}, 0.1, kLoad);
    learner.Learn(learner.service, {}, 0.0, kLoad);
  }
  CHECK(learner.model.Effect(learner.service, learner.loud, kLoad).mean ==
        Approx(0.1).margin(0.15));
}

TEST_CASE("the number of classes is bounded, and any number of names is answered") {
  Learner learner;
  for (int i = 0; i < 1000; ++i) {
    const ClassIndex index =
        learner.model.IndexOf(WorkClass("class" + std::to_string(i)), WorkKind::kBatch);
    REQUIRE(index < learner.model.classes());
  }
  CHECK(learner.model.classes() == 256);
  CHECK(std::isfinite(learner.model.Effect(learner.service, 255, kLoad).mean));
}

}  // namespace pistachio
