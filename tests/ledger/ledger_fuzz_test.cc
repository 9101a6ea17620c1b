#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "pistachio/process/runtime/random.h"
#include "tests/ledger/ledger_world.h"

namespace pistachio {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr int kMaxCommands = 40;
constexpr std::size_t kMaxOwners = 8;

enum class CommandKind {
  kRun,
  kAppend,
  kAppendUrgent,
  kNextOwner,
  kKill,
  kPause,
  kResume,
  kStoreDown,
  kStoreUp,
  kLoseCalls,
  kLoseAnswers,
  kDelay,
  kQuiet,
  kCount
};

struct Command {
  int kind = 0;
  int owner = 0;
  int tenths = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << "{" << command.kind << "," << command.owner << "," << command.tenths << "}";
}

/// \brief Applies commands to owners of one ledger; the world checks what they see.
class Run {
 public:
  explicit Run(std::uint64_t seed) : random(seed), world(Limits()) {
    this->world.fate = [this](std::size_t /*index*/, const CallStore& /*call*/) {
      return this->Fate();
    };
    this->world.OpenNext();
  }

  void Apply(const Command& command) {
    const std::size_t index = static_cast<std::size_t>(command.owner) % this->world.owners.size();
    switch (static_cast<CommandKind>(command.kind)) {
      case CommandKind::kAppend:
      case CommandKind::kAppendUrgent:
        this->AppendMany(index, command);
        break;
      case CommandKind::kNextOwner:
        if (this->world.owners.size() < kMaxOwners) {
          this->world.OpenNext();
        }
        break;
      case CommandKind::kKill:
        this->world.Kill(index);
        break;
      case CommandKind::kPause:
        this->world.Pause(index);
        break;
      case CommandKind::kResume:
        this->world.Resume(index);
        break;
      case CommandKind::kStoreDown:
        this->world.store_down = true;
        break;
      case CommandKind::kStoreUp:
        this->world.store_down = false;
        break;
      case CommandKind::kLoseCalls:
        this->lose_calls = 30;
        break;
      case CommandKind::kLoseAnswers:
        this->lose_answers = 40;
        break;
      case CommandKind::kDelay:
        this->delay = 30;
        break;
      case CommandKind::kQuiet:
        this->Quiet();
        break;
      default:
        break;
    }
    this->Advance(command.tenths);
  }

  /// \brief Ends every fault and opens a last owner. \returns true if that one can commit.
  bool Recover() {
    this->Quiet();
    this->world.store_down = false;
    for (std::size_t index = 0; index < this->world.owners.size(); index++) {
      this->world.Resume(index);
    }
    this->Advance(kCalmTenths);
    this->world.OpenNext();
    this->Advance(kCalmTenths);
    const std::size_t last = this->world.owners.size() - 1;
    this->world.Append(last, true);
    this->Advance(kCalmTenths);
    const LedgerOwner& owner = this->world.owners[last];
    return owner.open && owner.committed == owner.state.size();
  }

  const std::vector<std::string>& violations() const { return this->world.violations; }

 private:
  static constexpr int kCalmTenths = 300;

  static LedgerLimits Limits() {
    LedgerLimits limits;
    limits.slots = 64;
    limits.max_part_bytes = 100;
    limits.max_batch_bytes = 40;
    return limits;
  }

  void AppendMany(std::size_t index, const Command& command) {
    const bool urgent = static_cast<CommandKind>(command.kind) == CommandKind::kAppendUrgent;
    for (int record = 0; record < command.tenths; record++) {
      this->world.Append(index, urgent);
    }
  }

  void Advance(int tenths) {
    for (int step = 0; step < tenths; step++) {
      this->world.Step(kStep);
    }
  }

  bool Chance(int percent) { return static_cast<int>(this->random() % 100) < percent; }

  LedgerFate Fate() {
    LedgerFate fate;
    fate.lose_call = this->Chance(this->lose_calls);
    fate.lose_answer = this->Chance(this->lose_answers);
    fate.duplicate = this->Chance(this->delay);
    if (this->Chance(this->delay)) {
      fate.there = std::chrono::milliseconds(this->random() % 8000);
    }
    if (this->Chance(this->delay)) {
      fate.back = std::chrono::milliseconds(this->random() % 8000);
    }
    return fate;
  }

  void Quiet() {
    this->lose_calls = 0;
    this->lose_answers = 0;
    this->delay = 0;
  }

  RandomSource random;
  LedgerWorld world;
  int lose_calls = 0;
  int lose_answers = 0;
  int delay = 0;
};

rc::Gen<Command> AnyCommand() {
  return rc::gen::build<Command>(
      rc::gen::set(&Command::kind, rc::gen::inRange(0, static_cast<int>(CommandKind::kCount))),
      rc::gen::set(&Command::owner, rc::gen::inRange(0, static_cast<int>(kMaxOwners))),
      rc::gen::set(&Command::tenths, rc::gen::inRange(1, 50)));
}

// A long run is `RC_PARAMS="seed=1 max_success=20000" test_ledger "[fuzz]"`.
TEST_CASE("whatever fails, every owner recovers what was committed, in order and once",
          "[ledger][fuzz]") {
  const auto property = [](std::uint64_t world_seed) {
    Run run(world_seed);
    const auto commands =
        *rc::gen::resize(kMaxCommands, rc::gen::container<std::vector<Command>>(AnyCommand()));
    for (const Command& command : commands) {
      run.Apply(command);
    }
    const bool committed = run.Recover();
    if (!run.violations().empty()) {
      RC_FAIL(run.violations().front());
    }
    RC_ASSERT(committed);
  };
  REQUIRE(rc::check("committed records stay", property));
}

}  // namespace
}  // namespace pistachio
