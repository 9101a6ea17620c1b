#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <iostream>

#include "tests/request/request_world.h"

namespace pistachio {
namespace {

using testing::Fate;
using testing::RequestWorld;

constexpr Duration kBound = std::chrono::milliseconds(500);
constexpr std::uint32_t kOperationKinds = 16;

/// \brief One step of a random history; the numbers are taken modulo what there is to choose from.
struct Operation {
  std::uint32_t kind = 0;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& out, const Operation& operation) {
  return out << operation.kind << ":" << operation.a << ":" << operation.b;
}

Duration WithinOf(std::uint32_t number) {
  constexpr std::uint32_t kLongest = 2000;
  return std::chrono::milliseconds(1 + number % kLongest);
}

void Apply(RequestWorld& world, const Operation& operation) {
  const std::uint32_t host = operation.a % RequestWorld::kHosts;
  switch (operation.kind % kOperationKinds) {
    case 0:
    case 1:
    case 2:
      world.SendNew(host, operation.b % 2 == 0, WithinOf(operation.a / 2));
      return;
    case 3:
    case 4:
      if (world.request_count() > 0) {
        // Most repeats are of recent requests.
        const std::size_t back = operation.b % std::min<std::size_t>(world.request_count(), 8);
        world.SendAgain(world.request_count() - 1 - back, host, WithinOf(operation.a / 2),
                        operation.b % 5 != 0);
      }
      return;
    case 5:
      if (world.request_count() > 0) {
        const std::size_t back = operation.b % std::min<std::size_t>(world.request_count(), 8);
        world.Leave(world.request_count() - 1 - back);
      }
      return;
    case 6:
    case 7:
    case 8:
      world.Resolve(static_cast<Fate>(operation.b % testing::kFateCount));
      return;
    case 9:
    case 10:
      world.Resolve(Fate::kAnswered);
      return;
    case 11:
      world.DeliverHeld();
      return;
    case 12:
      world.SetSlots(host, operation.b % RequestWorld::kTargets,
                     operation.a / 2 % (RequestWorld::kSlots + 1), operation.b % 7 == 0);
      return;
    case 13:
    case 14:
      world.Advance(std::chrono::milliseconds(operation.b % 300));
      return;
    default:
      break;
  }
  if (operation.b % 8 == 0) {
    world.RestartHost(host);
  } else if (operation.b % 64 == 1) {
    world.Stop(host);
  }
}

std::vector<std::string> FaultsOf(RequestWorld& world, const std::vector<Operation>& operations) {
  for (const Operation& operation : operations) {
    Apply(world, operation);
    if (!world.faults().empty()) {
      return world.faults();
    }
  }
  world.Settle();
  world.CheckSettled();
  return world.faults();
}

std::vector<Operation> RandomHistory(RandomSource& random, std::size_t length) {
  std::vector<Operation> operations(length);
  for (Operation& operation : operations) {
    operation.kind = static_cast<std::uint32_t>(random());
    operation.a = static_cast<std::uint32_t>(random());
    operation.b = static_cast<std::uint32_t>(random());
  }
  return operations;
}

TEST_CASE("no random history breaks what the broker promises", "[fuzz]") {
  const bool holds = rc::check("requests over faults", [] {
    const auto number = rc::gen::arbitrary<std::uint32_t>();
    const auto operations = *rc::gen::container<std::vector<Operation>>(rc::gen::build<Operation>(
        rc::gen::set(&Operation::kind, number), rc::gen::set(&Operation::a, number),
        rc::gen::set(&Operation::b, number)));
    RequestWorld world(1, kBound);
    const std::vector<std::string> faults = FaultsOf(world, operations);
    RC_ASSERT(faults == std::vector<std::string>());
  });
  REQUIRE(holds);
}

TEST_CASE("no long random history breaks what the broker promises", "[fuzz]") {
  constexpr std::uint64_t kFirstSeed = 1000;
  constexpr std::uint64_t kHistories = 1000;
  constexpr std::size_t kLength = 400;
  std::map<OutcomeKind, std::size_t> outcomes;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kHistories; ++seed) {
    INFO("seed " << seed);
    RandomSource random(seed);
    RequestWorld world(seed, kBound);
    const std::vector<std::string> faults = FaultsOf(world, RandomHistory(random, kLength));
    CAPTURE(faults);
    REQUIRE(faults.empty());
    for (const auto& [kind, count] : world.outcome_counts()) {
      outcomes[kind] += count;
    }
  }
  std::cout << "request fuzz: " << kHistories << " histories of " << kLength
            << " operations, seeds from " << kFirstSeed << ", outcomes";
  for (const OutcomeKind kind :
       {OutcomeKind::kAnswered, OutcomeKind::kNotRun, OutcomeKind::kUnknown,
        OutcomeKind::kDeadlinePassed, OutcomeKind::kAnsweredBefore}) {
    std::cout << " " << NameOf(kind) << " " << outcomes[kind];
    // A history that never gets there would prove nothing of it.
    REQUIRE(outcomes[kind] > kHistories);
  }
  std::cout << "\n";
}

}  // namespace
}  // namespace pistachio
