#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "tests/lease/lease_world.h"

namespace pistachio {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(200);
constexpr Duration kPastLease = std::chrono::seconds(15);
constexpr Duration kOutage = std::chrono::seconds(30);
constexpr Duration kPauseTime = std::chrono::seconds(25);

/// \brief A step that a fault can hit: one kind of store call or message.
struct StepKind {
  const char* name;
  bool is_call;
};

const std::vector<StepKind> kSteps = {
    {"member record: first write", true},
    {"member record: renewal", true},
    {"member record: expulsion", true},
    {"member record: leave", true},
    {"member record: delete", true},
    {"roster: join", true},
    {"roster: retire", true},
    {"unit record: claim", true},
    {"unit record: takeover", true},
    {"unit record: handover", true},
    {"list of members", true},
    {"list of units", true},
    {"read of one unit", true},
    {"heartbeat", false},
    {"vouch request", false},
    {"vouch promise", false},
    {"unit moved", false},
};

enum class Fault {
  kLostBefore,
  kLostAfter,
  kDuplicated,
  kDelayedPastLease,
  kHolderPaused,
  kHolderDead,
  kServiceDown,
  kTwice,
  kWithNext
};

const std::vector<std::pair<Fault, const char*>> kFaults = {
    {Fault::kLostBefore, "lost before"},       {Fault::kLostAfter, "lost after it took effect"},
    {Fault::kDuplicated, "duplicated"},        {Fault::kDelayedPastLease, "delayed past the lease"},
    {Fault::kHolderPaused, "holder paused"},   {Fault::kHolderDead, "holder dead"},
    {Fault::kServiceDown, "service down"},     {Fault::kTwice, "twice in a row"},
    {Fault::kWithNext, "with the next fault"},
};

LeaseTiming MatrixTiming() {
  LeaseTiming timing;
  timing.gone_roster_bound = std::chrono::seconds(30);
  timing.max_request = std::chrono::seconds(5);
  timing.slot_grace = std::chrono::seconds(20);
  return timing;
}

std::vector<HostId> MatrixHosts() { return {HostId("a"), HostId("b"), HostId("c"), HostId("d")}; }

std::vector<UnitId> MatrixUnits() {
  return {UnitId("r1"), UnitId("r2"), UnitId("r3"), UnitId("r4"), UnitId("r5"), UnitId("r6")};
}

/// \brief Names the step that a store call belongs to, from what it writes.
std::string StepOf(const MemberId& sender, const MemberCallStore& action) {
  const internal::LeaseKeys keys(DataCentreId("waikato"));
  if (const auto* list = std::get_if<ListCall>(&action.call)) {
    return list->prefix == keys.members_prefix ? "list of members" : "list of units";
  }
  if (std::holds_alternative<GetCall>(action.call)) {
    return "read of one unit";
  }
  if (std::holds_alternative<DeleteCall>(action.call)) {
    return "member record: delete";
  }
  const auto& write = std::get<CompareAndSwapCall>(action.call);
  if (write.key == keys.roster()) {
    const std::optional<Roster> roster = internal::DecodeRoster(write.value);
    const bool joins =
        roster->joined.count(sender) != 0 && roster->joined.at(sender) == roster->version;
    return joins ? "roster: join" : "roster: retire";
  }
  if (const auto record = internal::DecodeMemberRecord(write.value)) {
    if (record->state == internal::MemberState::kExpelled) {
      return "member record: expulsion";
    }
    if (record->state == internal::MemberState::kLeft) {
      return "member record: leave";
    }
    return write.expected_version == 0 ? "member record: first write" : "member record: renewal";
  }
  const auto unit = internal::DecodeUnitRecord(write.value);
  if (unit->owner != sender) {
    return "unit record: handover";
  }
  return write.expected_version == 0 ? "unit record: claim" : "unit record: takeover";
}

std::string StepOf(const MemberMessage& message) {
  constexpr const char* kNames[] = {"heartbeat", "vouch request", "vouch promise", "unit moved"};
  return kNames[message.index()];
}

/// \brief Runs the one script that contains every step and applies a fault where a step occurs.
class Cell {
 public:
  Cell(const StepKind& step, Fault fault, int skip)
      : step(step),
        fault(fault),
        skip(skip),
        world(MatrixTiming(), MatrixHosts(), MatrixUnits()),
        oracle(&this->world, MatrixUnits(), MatrixTiming()) {
    this->world.call_fate = [this](std::size_t index, const MemberCallStore& call) {
      return this->FateOf(index, call);
    };
    this->world.message_fate = [this](std::size_t index, const SendMemberMessage& message) {
      return this->FateOf(index, message);
    };
  }

  void Play() {
    constexpr double kRates[] = {0.975, 1.0, 1.025};
    for (int host = 0; host < 3; host++) {
      this->world.Start(MatrixHosts()[host], kRates[host]);
    }
    this->Advance(20);
    this->world.store_down = true;
    this->Advance(30);
    this->world.store_down = false;
    this->Advance(15);
    this->Ensure(HostId("d"));
    this->Advance(25);
    this->world.cut_from_store.insert(HostId("a"));
    this->Advance(20);
    this->On(HostId("b"), [&](std::size_t index) { this->world.Kill(index); });
    this->Advance(25);
    this->world.cut_from_store.clear();
    this->On(HostId("c"), [&](std::size_t index) { this->world.Leave(index); });
    this->Advance(25);
    for (const HostId& host : MatrixHosts()) {
      this->Ensure(host);
    }
    this->Advance(120);
  }

  bool hit() const { return this->hits > 0; }
  const LeaseOracle& judged() const { return this->oracle; }

 private:
  void Advance(int seconds) {
    const Duration time = std::chrono::seconds(seconds);
    for (Duration done{0}; done < time && this->oracle.violations.empty(); done += kStep) {
      this->EndFaults();
      this->world.Step(kStep);
      this->oracle.Check();
    }
  }

  void Ensure(const HostId& host) {
    if (!this->world.ProcessOf(host)) {
      this->world.Start(host);
    }
  }

  template <class Act>
  void On(const HostId& host, Act act) {
    const std::optional<std::size_t> process = this->world.ProcessOf(host);
    if (process) {
      act(*process);
    }
  }

  void EndFaults() {
    if (this->paused && this->world.now >= this->fault_ends) {
      const std::size_t index = *std::exchange(this->paused, std::nullopt);
      this->world.Resume(index);
    }
    if (this->outage && this->world.now >= this->fault_ends) {
      this->outage = false;
      this->world.store_down = false;
    }
  }

  // \returns true if this occurrence is one that the fault hits.
  bool Hits(const std::string& name) {
    const int wanted = this->fault == Fault::kTwice || this->fault == Fault::kWithNext ? 2 : 1;
    if (name != this->step.name || this->hits >= wanted || this->seen++ < this->skip) {
      return false;
    }
    this->hits++;
    return true;
  }

  void HitSender(std::size_t index) {
    this->fault_ends = this->world.now + kPauseTime;
    if (this->fault == Fault::kHolderPaused && !this->paused) {
      this->paused = index;
      this->world.Pause(index);
    }
    if (this->fault == Fault::kHolderDead) {
      this->world.Kill(index);
    }
    if (this->fault == Fault::kServiceDown) {
      this->fault_ends = this->world.now + kOutage;
      this->outage = true;
      this->world.store_down = true;
    }
  }

  CallFate FateOf(std::size_t index, const MemberCallStore& call) {
    CallFate fate;
    if (!this->Hits(StepOf(this->world.processes[index].id, call))) {
      return fate;
    }
    this->HitSender(index);
    const bool second = this->hits == 2;
    fate.lose_call =
        this->fault == Fault::kLostBefore || (this->fault == Fault::kWithNext && second);
    fate.lose_answer = this->fault == Fault::kLostAfter || this->fault == Fault::kTwice ||
                       (this->fault == Fault::kWithNext && !second);
    fate.duplicate = this->fault == Fault::kDuplicated;
    if (this->fault == Fault::kDelayedPastLease || this->fault == Fault::kHolderPaused) {
      fate.there = kPastLease;
    }
    return fate;
  }

  MessageFate FateOf(std::size_t index, const SendMemberMessage& message) {
    MessageFate fate;
    if (!this->Hits(StepOf(message.message))) {
      return fate;
    }
    this->HitSender(index);
    fate.lose = this->fault == Fault::kLostBefore || this->fault == Fault::kTwice;
    fate.duplicate = this->fault == Fault::kDuplicated || this->fault == Fault::kLostAfter;
    const bool late = this->fault == Fault::kDelayedPastLease ||
                      this->fault == Fault::kHolderPaused || this->fault == Fault::kWithNext;
    if (late) {
      fate.delay = kPastLease;
    }
    return fate;
  }

  StepKind step;
  Fault fault;
  int skip;
  LeaseWorld world;
  LeaseOracle oracle;
  int seen = 0;
  int hits = 0;
  std::optional<std::size_t> paused;
  bool outage = false;
  TimePoint fault_ends{};
};

/// \returns docs/FAULTS.md of the tree that holds the working directory, or nothing.
std::string ReadFaultsPage() {
  for (std::filesystem::path folder = std::filesystem::current_path();;
       folder = folder.parent_path()) {
    std::ifstream file(folder / "docs" / "FAULTS.md");
    if (file.good()) {
      return std::string(std::istreambuf_iterator<char>(file), {});
    }
    if (folder == folder.parent_path()) {
      return "";
    }
  }
}

// The fault hits the first or the fourth occurrence: another moment of the script.
constexpr int kSkips[] = {0, 3};

TEST_CASE("fault matrix of membership, lease and ownership: the promises hold in every cell",
          "[lease][matrix]") {
  for (const StepKind& step : kSteps) {
    for (const auto& [fault, fault_name] : kFaults) {
      int hit = 0;
      for (const int skip : kSkips) {
        Cell cell(step, fault, skip);
        cell.Play();
        hit += cell.hit() ? 1 : 0;
        INFO(step.name << " x " << fault_name << ", occurrence " << skip + 1);
        const std::vector<std::string>& violations = cell.judged().violations;
        INFO((violations.empty() ? std::string("no violation") : violations.front()));
        CHECK(violations.empty());
        CHECK(cell.judged().AllOwned());
      }
      INFO(step.name << " x " << fault_name << " has to occur in the script");
      CHECK(hit > 0);
    }
  }
}

TEST_CASE("docs/FAULTS.md lists the rows and columns of the lease's fault matrix",
          "[lease][matrix]") {
  const std::string text = ReadFaultsPage();
  REQUIRE(!text.empty());
  std::set<std::string> rows;
  std::set<std::string> steps;
  std::istringstream lines(text.substr(text.find("### Steps of the lease")));
  for (std::string line;
       std::getline(lines, line) && line.rfind("### Steps of the ledger", 0) != 0;) {
    if (line.rfind("| ", 0) == 0 && line.rfind("| Step", 0) != 0) {
      rows.insert(line.substr(2, line.find(" |", 2) - 2));
    }
  }
  for (const StepKind& step : kSteps) {
    steps.insert(step.name);
  }
  CHECK(rows == steps);
  for (const auto& [fault, name] : kFaults) {
    INFO(name);
    CHECK(text.find(name) != std::string::npos);
  }
}

}  // namespace
}  // namespace pistachio
