#include <catch2/catch.hpp>

#include "pistachio/process/ledger/ledger_records.h"
#include "tests/ledger/ledger_world.h"

namespace pistachio {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
constexpr Duration kPastLease = std::chrono::seconds(15);
constexpr Duration kPauseTime = std::chrono::seconds(20);

const std::vector<std::string> kSteps = {
    "ledger: list",          "ledger: fence",         "ledger: batch",    "ledger: snapshot part",
    "ledger: snapshot head", "ledger: part deletion", "ledger: read back"};

enum class Fault {
  kLostBefore,
  kLostAfter,
  kDuplicated,
  kDelayedPastLease,
  kHolderPaused,
  kHolderDead,
  kServiceDown,
  kTwice,
  kWithNext,
  kCount
};

LedgerLimits SmallLimits() {
  LedgerLimits limits;
  limits.slots = 16;
  limits.max_part_bytes = 64;
  return limits;
}

std::string StepOf(const StoreCall& call) {
  const internal::LedgerKeys keys(UnitId("rack-1"));
  if (std::holds_alternative<ListCall>(call)) {
    return "ledger: list";
  }
  if (std::holds_alternative<GetCall>(call)) {
    return "ledger: read back";
  }
  if (std::holds_alternative<DeleteCall>(call)) {
    return "ledger: part deletion";
  }
  const auto& write = std::get<CompareAndSwapCall>(call);
  if (write.key == keys.head()) {
    return "ledger: snapshot head";
  }
  if (keys.IsPart(write.key)) {
    return "ledger: snapshot part";
  }
  return internal::DecodeLedgerBatch(write.value)->is_fence ? "ledger: fence" : "ledger: batch";
}

/// \brief Owners that follow each other, each still writing when the next one opens, and one fault.
class Cell {
 public:
  Cell(std::string step, Fault fault, int skip)
      : step(std::move(step)), fault(fault), skip(skip), world(SmallLimits()) {
    this->world.fate = [this](std::size_t index, const CallStore& call) {
      return this->FateOf(index, call);
    };
  }

  void Play() {
    for (int owner = 0; owner < 4; owner++) {
      this->world.OpenNext();
      this->Advance(40);
    }
    this->world.OpenNext();
    this->Advance(60);
  }

  int hits = 0;

  const LedgerWorld& played() const { return this->world; }

 private:
  void Advance(int seconds) {
    for (Duration done{0}; done < std::chrono::seconds(seconds); done += kStep) {
      this->EndFault();
      this->world.Step(kStep);
      // An owner that was replaced goes on for a while, as one that has not noticed yet.
      this->ticks++;
      for (std::size_t index = 0; index < this->world.owners.size(); index++) {
        if (this->ticks % 4 == 0) {
          this->world.Append(index, this->ticks % 12 == 0);
        }
      }
    }
  }

  void EndFault() {
    if (this->world.now < this->fault_ends) {
      return;
    }
    this->world.store_down = false;
    if (this->paused) {
      this->world.Resume(*std::exchange(this->paused, std::nullopt));
    }
  }

  LedgerFate FateOf(std::size_t index, const CallStore& call) {
    LedgerFate fate;
    // Some answers are always lost, so that reading back is a step of every run.
    const bool is_write = std::holds_alternative<CompareAndSwapCall>(call.call);
    fate.lose_answer = is_write && ++this->writes % 9 == 0;
    const int wanted = this->fault == Fault::kTwice || this->fault == Fault::kWithNext ? 2 : 1;
    if (StepOf(call.call) != this->step || this->hits >= wanted || this->seen++ < this->skip) {
      return fate;
    }
    this->hits++;
    this->Hit(index, &fate);
    return fate;
  }

  void Hit(std::size_t index, LedgerFate* fate) {
    this->fault_ends = this->world.now + kPauseTime;
    const bool second = this->hits == 2;
    switch (this->fault) {
      case Fault::kLostBefore:
        fate->lose_call = true;
        break;
      case Fault::kLostAfter:
      case Fault::kTwice:
        fate->lose_answer = true;
        break;
      case Fault::kWithNext:
        fate->lose_call = second;
        fate->lose_answer = !second;
        break;
      case Fault::kDuplicated:
        fate->duplicate = true;
        break;
      case Fault::kDelayedPastLease:
        fate->there = kPastLease;
        break;
      case Fault::kHolderPaused:
        fate->there = kPastLease;
        this->paused = index;
        this->world.Pause(index);
        break;
      case Fault::kHolderDead:
        this->world.Kill(index);
        break;
      case Fault::kServiceDown:
        this->world.store_down = true;
        break;
      case Fault::kCount:
        break;
    }
    // The next owner comes while the fault lasts.
    if (this->hits == 1 && this->fault != Fault::kServiceDown) {
      this->world.OpenNext();
    }
  }

  std::string step;
  Fault fault;
  int skip;
  LedgerWorld world;
  int seen = 0;
  int writes = 0;
  int ticks = 0;
  std::optional<std::size_t> paused;
  TimePoint fault_ends{};
};

// Which occurrence of the step the fault hits.
constexpr int kSkips[] = {0, 1, 2, 4, 7};

TEST_CASE("fault matrix of the ledger: no committed record is lost, moved or doubled",
          "[ledger][matrix]") {
  for (const std::string& step : kSteps) {
    for (int fault = 0; fault < static_cast<int>(Fault::kCount); fault++) {
      int hit = 0;
      for (const int skip : kSkips) {
        Cell cell(step, static_cast<Fault>(fault), skip);
        cell.Play();
        hit += cell.hits > 0 ? 1 : 0;
        INFO(step << ", fault " << fault << ", occurrence " << skip + 1);
        const std::vector<std::string>& violations = cell.played().violations;
        INFO((violations.empty() ? std::string("no violation") : violations.front()));
        CHECK(violations.empty());
        const LedgerOwner& last = cell.played().owners.back();
        INFO("last owner: epoch " << last.epoch << ", fenced " << last.fenced << ", pending "
                                  << last.ledger.pending() << ", state " << last.state.size());
        CHECK(last.open);
        CHECK(last.committed > last.recovered_count);
      }
      INFO(step << ", fault " << fault << " has to occur");
      CHECK(hit > 0);
    }
  }
}

}  // namespace
}  // namespace pistachio
