#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>

#include "tests/version/settings_world.h"

namespace pistachio {
namespace {

constexpr Duration kBound = std::chrono::seconds(9);
constexpr std::size_t kCentres = 3;
constexpr std::size_t kHostsEach = 3;
const std::vector<std::string> kSubtrees = {kRootSubtree, "relay", "levy"};

/// \brief One change that an operator asked for, and the newest answer.
struct AskedChange {
  std::string subtree;
  ChangeRequest request;
  std::uint64_t asks = 0;  ///< an operator who asks again waits for the earlier answer no more
  std::optional<ChangeAnswer> answer;
};

/// \brief The world with what its operators asked for.
struct SettingsRun {
  SettingsWorld world{kCentres, kHostsEach};
  std::map<std::string, AskedChange> asked;

  void Ask(const HostId& host, const std::string& id) {
    AskedChange& change = this->asked.at(id);
    change.asks++;
    change.request.repeated = change.asks > 1;
    change.answer.reset();
    this->world.Apply(host, change.subtree, change.request,
                      [this, id, ask = change.asks](const ChangeFinished& finished) {
                        AskedChange& answered = this->asked.at(id);
                        if (answered.asks == ask) {
                          answered.answer = finished.answer;
                        }
                      });
  }

  HostId HostAt(std::size_t index) const {
    const std::vector<HostId> hosts = this->world.hosts();
    return hosts[index % hosts.size()];
  }

  DataCentreId CentreAt(std::size_t index) const {
    return DataCentreId("dc" + std::to_string(index % kCentres));
  }
};

/// \brief What the generator has to know: how many changes were asked for.
struct RunModel {
  std::size_t changes = 0;
};

using Command = rc::state::Command<RunModel, SettingsRun>;

struct ApplyCommand : Command {
  std::size_t host = *rc::gen::inRange<std::size_t>(0, kCentres* kHostsEach);
  std::size_t subtree = *rc::gen::inRange<std::size_t>(0, kSubtrees.size());
  // Both of a team's values keep the higher limit, and one of them the lower.
  int value = *rc::gen::element(300, 900);

  void apply(RunModel& model) const override { model.changes++; }
  void run(const RunModel& model, SettingsRun& run) const override {
    const std::string id = "change-" + std::to_string(model.changes);
    const std::string& name = kSubtrees[this->subtree];
    const HostId at = run.HostAt(this->host);
    const auto& have = run.world.spread(at).versions().versions();
    const auto known = have.find(name);
    const std::string key = name == kRootSubtree ? "limits.max_priority" : "max_priority";
    AskedChange& change = run.asked[id];
    change.subtree = name;
    change.request.base_version = known == have.end() ? 0 : known->second.version;
    change.request.change_id = id;
    change.request.document = key + " = " + std::to_string(this->value) + "\n";
    run.Ask(at, id);
  }
  void show(std::ostream& out) const override {
    out << "apply " << this->subtree << " at " << this->host << " = " << this->value;
  }
};

struct AskAgainCommand : Command {
  std::size_t host = *rc::gen::inRange<std::size_t>(0, kCentres* kHostsEach);
  std::size_t change = *rc::gen::inRange<std::size_t>(0, 100);

  void checkPreconditions(const RunModel& model) const override { RC_PRE(model.changes > 0); }
  void run(const RunModel& model, SettingsRun& run) const override {
    const std::string id = "change-" + std::to_string(this->change % model.changes);
    const auto& answer = run.asked.at(id).answer;
    if (!answer || answer->result == ChangeResult::kUnknown) {
      run.Ask(run.HostAt(this->host), id);
    }
  }
  void show(std::ostream& out) const override {
    out << "ask again for " << this->change << " at " << this->host;
  }
};

struct PassCommand : Command {
  int span = *rc::gen::element(1, 3, 20, 400, 2500, 9000);  // milliseconds

  void run(const RunModel& /*model*/, SettingsRun& run) const override {
    run.world.Advance(std::chrono::milliseconds(this->span));
    RC_ASSERT(run.world.violations.empty());
  }
  void show(std::ostream& out) const override { out << "pass " << this->span << " ms"; }
};

struct FaultCommand : Command {
  int kind = *rc::gen::inRange(0, 12);
  std::size_t where = *rc::gen::inRange<std::size_t>(0, kCentres* kHostsEach);

  void run(const RunModel& /*model*/, SettingsRun& run) const override {
    SettingsWorld& world = run.world;
    using Fate = SettingsWorld::CallFate;
    constexpr int kFirstFate = 6;
    const std::vector<Fate> fates = {Fate::kDown, Fate::kLostCall, Fate::kLostAnswer, Fate::kLate};
    switch (this->kind) {
      case 0:
        return world.CutFromStore(run.HostAt(this->where));
      case 1:
        return world.CutCentreFromStore(run.CentreAt(this->where));
      case 2:
        return world.CutCentres(run.CentreAt(this->where), run.CentreAt(this->where + 1));
      case 3:
        return world.CutStore();
      case 4:
        return world.Restart(run.HostAt(this->where));
      case 5:
        return world.RestartCentre(run.CentreAt(this->where));
      case 10:
        return world.LoseMessagesOfHost(run.HostAt(this->where));
      case 11:
        return world.HealAll();
      default:
        return world.SetOperatorFate(fates[static_cast<std::size_t>(this->kind - kFirstFate)]);
    }
  }
  void show(std::ostream& out) const override {
    out << "fault " << this->kind << " at " << this->where;
  }
};

/// \returns which change made each version, as the service tells.
std::map<std::pair<std::string, std::uint64_t>, std::string> MakersOf(SettingsRun* run) {
  std::map<std::pair<std::string, std::uint64_t>, std::string> makers;
  for (const StoreEntry& entry : run->world.store().Call(ListCall{"settings/"}).entries) {
    const auto version = DecodeSubtreeRecord(entry.value);
    RC_ASSERT(version.has_value());
    const auto placed =
        makers.emplace(std::make_pair(version->subtree, version->version), version->change_id);
    RC_ASSERT(placed.first->second == version->change_id);
  }
  return makers;
}

void CheckAnswers(SettingsRun* run) {
  const auto makers = MakersOf(run);
  std::map<std::string, std::uint64_t> made;
  for (const auto& [place, id] : makers) {
    RC_ASSERT(made.emplace(id, place.second).second);
  }
  for (const auto& [id, change] : run->asked) {
    RC_ASSERT(change.answer.has_value());
    if (change.answer->result == ChangeResult::kAccepted) {
      RC_ASSERT(made.count(id) == 1);
      RC_ASSERT(made.at(id) == change.answer->version);
    } else if (change.answer->result == ChangeResult::kRejected) {
      RC_ASSERT(made.count(id) == 0);
    } else {
      // Only what the check refuses now, with the base still the newest, cannot be settled.
      RC_ASSERT_FALSE(change.answer->errors.empty());
    }
  }
}

void CheckAfterHealing(SettingsRun* run) {
  run->world.HealAll();
  // Late writes land, and changes under way end.
  run->world.Advance(std::chrono::seconds(15));
  for (const auto& [id, change] : run->asked) {
    if (!change.answer || change.answer->result == ChangeResult::kUnknown) {
      run->Ask(run->HostAt(0), id);
    }
  }
  run->world.Advance(std::chrono::seconds(1));
  run->world.Advance(kBound);
  RC_ASSERT(run->world.Lagging().empty());
  RC_ASSERT(run->world.violations.empty());
  CheckAnswers(run);
}

TEST_CASE(
    "racing operators under lost answers, outages, partitions and restarts: versions never "
    "fall, answers are true, healing brings one state",
    "[version][stateful]") {
  const bool sound = rc::check([] {
    SettingsRun run;
    run.world.ShakeLinks(std::chrono::milliseconds(300), *rc::gen::arbitrary<std::uint64_t>());
    run.world.Advance(std::chrono::seconds(2));
    std::map<std::pair<std::string, std::uint64_t>, std::string> seen;
    run.world.on_in_force = [&seen](const HostId& /*host*/, const SubtreeVersion& version) {
      const auto placed =
          seen.emplace(std::make_pair(version.subtree, version.version), version.change_id);
      RC_ASSERT(placed.first->second == version.change_id);
    };
    const auto commands = *rc::state::gen::commands(
        RunModel{}, rc::state::gen::execOneOfWithArgs<ApplyCommand, AskAgainCommand, PassCommand,
                                                      FaultCommand, PassCommand>());
    rc::state::runAll(commands, RunModel{}, run);
    CheckAfterHealing(&run);
  });
  REQUIRE(sound);
}

}  // namespace
}  // namespace pistachio
