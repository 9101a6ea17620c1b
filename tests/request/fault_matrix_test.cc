#include <catch2/catch.hpp>
#include <iostream>
#include <set>

#include "tests/request/request_world.h"

namespace pistachio {
namespace {

using testing::Fate;
using testing::RequestWorld;

constexpr Duration kBound = std::chrono::milliseconds(500);
constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr std::uint32_t kHome = 0;
constexpr std::uint32_t kOther = 1;
constexpr int kWarmUpRequests = 40;

/// \brief The step of a request's life at which its attempt meets its fate.
enum class Step {
  kFirst,     ///< the first attempt
  kRetry,     ///< the attempt after one that was refused
  kHedge,     ///< the first attempt, once a hedge is under way
  kCancel,    ///< the caller has left
  kHandover,  ///< every slot has been taken from the entry host meanwhile
  kLeaving,   ///< the target is leaving by now
  kStopping,  ///< the entry host is stopping by now
  kDeath,     ///< the entry host's process has died and started anew
};
constexpr int kStepCount = 8;

/// \brief How the caller asks again after that.
enum class Again { kNever, kAtHome, kAtOther, kHomeUnreachable, kHomeRestarted, kTwice };
constexpr int kAgainCount = 6;

void WarmUp(RequestWorld& world) {
  for (int i = 0; i < kWarmUpRequests; ++i) {
    world.SendNew(kHome, true, kDeadline);
    world.Advance(std::chrono::milliseconds(10));
    world.Resolve(Fate::kAnswered);
  }
}

void Prepare(RequestWorld& world, Step step, std::size_t request) {
  constexpr Duration kLongerThanUsual = std::chrono::milliseconds(100);
  switch (step) {
    case Step::kFirst:
      return;
    case Step::kRetry:
      world.Resolve(Fate::kRefused);
      return;
    case Step::kHedge:
      world.Advance(kLongerThanUsual);
      return;
    case Step::kCancel:
      world.Leave(request);
      return;
    case Step::kHandover:
    case Step::kLeaving:
      for (std::uint32_t target = 0; target < RequestWorld::kTargets; ++target) {
        const bool leaving = step == Step::kLeaving;
        world.SetSlots(kHome, target, leaving ? RequestWorld::kSlots : 0, leaving);
      }
      return;
    case Step::kStopping:
      world.Stop(kHome);
      return;
    case Step::kDeath:
      world.RestartHost(kHome);
      return;
  }
}

void AskAgain(RequestWorld& world, Again again, std::size_t request) {
  switch (again) {
    case Again::kNever:
      return;
    case Again::kAtHome:
      world.SendAgain(request, kHome, kDeadline, true);
      return;
    case Again::kAtOther:
      world.SendAgain(request, kOther, kDeadline, true);
      return;
    case Again::kHomeUnreachable:
      world.SendAgain(request, kOther, kDeadline, false);
      return;
    case Again::kHomeRestarted:
      world.RestartHost(kHome);
      world.SendAgain(request, kOther, kDeadline, true);
      return;
    case Again::kTwice:
      world.SendAgain(request, kHome, kDeadline, true);
      world.SendAgain(request, kOther, kDeadline / 2, true);
      return;
  }
}

bool ProvesNotRun(Fate fate) {
  return fate == Fate::kLostBefore || fate == Fate::kRefused || fate == Fate::kOverloaded;
}

bool IsAnsweredInTime(Fate fate) { return fate == Fate::kAnswered || fate == Fate::kAnsweredTwice; }

/// \returns what the first try of a non-idempotent request may be told.
std::set<OutcomeKind> AllowedOnce(Step step, Fate fate) {
  if (IsAnsweredInTime(fate)) {
    return {OutcomeKind::kAnswered};
  }
  if (!ProvesNotRun(fate)) {
    return {OutcomeKind::kUnknown};
  }
  // Another target is tried if there is one and the budget allows.
  const bool no_target = step == Step::kHandover || step == Step::kLeaving;
  return no_target ? std::set<OutcomeKind>{OutcomeKind::kNotRun}
                   : std::set<OutcomeKind>{OutcomeKind::kAnswered, OutcomeKind::kNotRun};
}

/// \returns what the first try of an idempotent request may be told.
///
/// `Not run` speaks of a try of an idempotent id and of what its entry host knows to precede it: a
/// second try that is sent to another entry host meanwhile is not known there.
std::set<OutcomeKind> AllowedIdempotent(Step step, Fate fate, Again again) {
  if (IsAnsweredInTime(fate)) {
    return {OutcomeKind::kAnswered};
  }
  const bool no_target = step == Step::kHandover || step == Step::kLeaving;
  const bool asked_at_home = again == Again::kAtHome || again == Again::kTwice;
  if (ProvesNotRun(fate) && no_target && !asked_at_home) {
    return {OutcomeKind::kNotRun};
  }
  if (no_target) {
    return {OutcomeKind::kUnknown, OutcomeKind::kDeadlinePassed};
  }
  if (fate == Fate::kAnsweredLate || fate == Fate::kNeverHeard) {
    return {OutcomeKind::kAnswered, OutcomeKind::kDeadlinePassed};
  }
  return {OutcomeKind::kAnswered};
}

void RunCell(Step step, Fate fate, bool idempotent, Again again) {
  INFO("step " << static_cast<int>(step) << " fate " << static_cast<int>(fate) << " idempotent "
               << idempotent << " again " << static_cast<int>(again));
  RequestWorld world(1, kBound);
  WarmUp(world);
  const std::size_t request = world.SendNew(kHome, idempotent, kDeadline);
  REQUIRE(world.attempts_underway() == 1);
  Prepare(world, step, request);
  REQUIRE(world.attempts_underway() >= 1);
  world.Resolve(fate);
  AskAgain(world, again, request);
  world.Settle();
  world.CheckSettled();
  CAPTURE(world.faults());
  REQUIRE(world.faults().empty());
  const std::optional<OutcomeKind> outcome = world.first_outcome(request);
  const bool may_die_unheard = again == Again::kHomeRestarted && !outcome;
  if (step == Step::kDeath || step == Step::kCancel || may_die_unheard) {
    REQUIRE_FALSE(outcome);
    return;
  }
  REQUIRE(outcome);
  const std::set<OutcomeKind> allowed =
      idempotent ? AllowedIdempotent(step, fate, again) : AllowedOnce(step, fate);
  INFO("told " << NameOf(*outcome));
  REQUIRE(allowed.count(*outcome) == 1);
}

TEST_CASE("every fault at every step of a request keeps the promises", "[fault-matrix]") {
  int cells = 0;
  for (int step = 0; step < kStepCount; ++step) {
    for (int fate = 0; fate < testing::kFateCount; ++fate) {
      for (int again = 0; again < kAgainCount; ++again) {
        for (const bool idempotent : {false, true}) {
          RunCell(static_cast<Step>(step), static_cast<Fate>(fate), idempotent,
                  static_cast<Again>(again));
          ++cells;
        }
      }
    }
  }
  std::cout << "request fault matrix: " << cells << " cells\n";
  REQUIRE(cells == kStepCount * testing::kFateCount * kAgainCount * 2);
}

}  // namespace
}  // namespace pistachio
