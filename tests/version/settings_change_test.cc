#include "pistachio/version/settings_change.h"

#include <catch2/catch.hpp>
#include <functional>

#include "pistachio/connection/store/fake_store.h"
#include "pistachio/version/subtree_record.h"

namespace pistachio {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);

/// \brief Runs one change against a store with a fault at one call.
class ChangeRun {
 public:
  ChangeRun(FakeStore* store, const std::string& subtree, const ChangeRequest& request)
      : store(store), change(subtree, request, ChangeTiming{}, this->now) {}

  /// \param fault_at number of the call, from 1, that meets \a fault; 0 for none
  /// \param before called before each call with its number, for what others do meanwhile
  ChangeFinished Run(std::size_t fault_at = 0, StoreFault fault = StoreFault::kNone,
                     bool fault_stays = false,
                     const std::function<void(std::size_t)>& before = nullptr) {
    std::vector<ChangeAction> actions = this->change.Handle(ChangeTick{}, this->now);
    for (int turns = 0; turns < 1000; turns++) {
      std::vector<ChangeAction> next;
      for (const ChangeAction& action : actions) {
        if (const auto* finished = std::get_if<ChangeFinished>(&action)) {
          return *finished;
        }
        if (const auto* call = std::get_if<ChangeCallStore>(&action)) {
          this->calls++;
          if (before) {
            before(this->calls);
          }
          const bool hit =
              fault_at != 0 && (this->calls == fault_at || (fault_stays && this->calls > fault_at));
          const StoreReply reply = this->store->Call(call->call, hit ? fault : StoreFault::kNone);
          next = this->change.Handle(ChangeStoreAnswered{call->call_id, reply}, this->now);
        }
      }
      if (next.empty()) {
        this->now += kStep;
        next = this->change.Handle(ChangeTick{}, this->now);
      }
      actions = next;
    }
    FAIL("the change does not end");
    return {};
  }

  std::size_t calls = 0;

 private:
  FakeStore* store;
  TimePoint now{std::chrono::hours(1)};
  SettingsChange change;
};

ChangeRequest Request(std::uint64_t base, const std::string& id, const std::string& document,
                      bool repeated = false) {
  return ChangeRequest{base, id, document, repeated};
}

ChangeFinished ApplyTo(FakeStore* store, const std::string& subtree, const ChangeRequest& request) {
  return ChangeRun(store, subtree, request).Run();
}

SubtreeVersion Newest(FakeStore* store, const std::string& subtree) {
  return DecodeSubtreeRecord(store->Call(GetCall{CurrentKeyOf(subtree)}).entries.at(0).value)
      .value();
}

TEST_CASE("changes number versions upwards and keep the ones before", "[version]") {
  FakeStore store;
  for (std::uint64_t base = 0; base < kKeptVersions + 5; base++) {
    const auto end = ApplyTo(&store, "relay",
                             Request(base, "id-" + std::to_string(base),
                                     "max_priority = " + std::to_string(base) + "\n"));
    REQUIRE(end.answer.result == ChangeResult::kAccepted);
    REQUIRE(end.answer.version == base + 1);
  }
  const auto current = store.Call(GetCall{CurrentKeyOf("relay")}).entries.at(0);
  const auto earlier = store.Call(ListCall{HistoryPrefixOf("relay")}).entries;
  const HistoryList history = ListHistory("relay", &current, earlier);
  REQUIRE(history.versions.front().version == kKeptVersions + 5);
  REQUIRE(history.versions.size() >= kKeptVersions);
  REQUIRE(history.versions.size() <= kKeptVersions + 2);
  for (std::size_t i = 1; i < history.versions.size(); i++) {
    REQUIRE(history.versions[i].version + 1 == history.versions[i - 1].version);
  }
}

TEST_CASE("two operators on one base get one winner and one conflict that shows the winner",
          "[version]") {
  FakeStore store;
  REQUIRE(ApplyTo(&store, "relay", Request(0, "first", "max_priority = 1\n")).answer.result ==
          ChangeResult::kAccepted);
  // The other operator's change lands just before each call of this one.
  for (std::size_t at = 1; at <= 4; at++) {
    const std::uint64_t base = Newest(&store, "relay").version;
    const std::string number = std::to_string(at);
    ChangeRun run(&store, "relay", Request(base, "mine-" + number, "max_priority = 2\n"));
    const auto end = run.Run(0, StoreFault::kNone, false, [&](std::size_t call) {
      if (call == at) {
        ApplyTo(&store, "relay", Request(base, "theirs-" + number, "max_priority = 3\n"));
      }
    });
    CAPTURE(at);
    REQUIRE(end.answer.result == ChangeResult::kRejected);
    REQUIRE(end.answer.current.has_value());
    REQUIRE(end.answer.current->change_id == "theirs-" + number);
    REQUIRE(Newest(&store, "relay").change_id == "theirs-" + number);
  }
}

TEST_CASE("every fault at every call ends in a true answer, and asking again settles it",
          "[version]") {
  for (const bool from_root : {false, true}) {
    for (const StoreFault fault :
         {StoreFault::kDown, StoreFault::kLostCall, StoreFault::kLostAnswer}) {
      for (const bool stays : {false, true}) {
        for (std::size_t at = 1; at <= 5; at++) {
          CAPTURE(from_root, static_cast<int>(fault), stays, at);
          FakeStore store;
          const std::string subtree = from_root ? kRootSubtree : "relay";
          ApplyTo(&store, subtree, Request(0, "first", ""));
          ChangeRun run(&store, subtree, Request(1, "second", "# changed\n"));
          const auto end = run.Run(at, fault, stays);
          const bool on_record = Newest(&store, subtree).change_id == "second";
          if (end.answer.result == ChangeResult::kAccepted) {
            REQUIRE(on_record);
          } else if (end.answer.result == ChangeResult::kRejected) {
            REQUIRE_FALSE(on_record);
          }
          if (!stays) {
            REQUIRE(end.answer.result == ChangeResult::kAccepted);
          }
          const auto again = ApplyTo(&store, subtree, Request(1, "second", "# changed\n", true));
          REQUIRE(again.answer.result == ChangeResult::kAccepted);
          REQUIRE(again.answer.version == 2);
          REQUIRE(Newest(&store, subtree).version == 2);
        }
      }
    }
  }
}

TEST_CASE("a lost answer is settled also when others have changed the subtree since", "[version]") {
  FakeStore store;
  ApplyTo(&store, "relay", Request(0, "first", ""));
  ChangeRun lost(&store, "relay", Request(1, "mine", "# mine\n"));
  // Calls: root, subtree, filing, swap. The swap takes effect and nothing is heard from then on.
  const auto end = lost.Run(4, StoreFault::kLostAnswer, true);
  REQUIRE(end.answer.result == ChangeResult::kUnknown);
  for (std::uint64_t base = 2; base < 6; base++) {
    ApplyTo(&store, "relay", Request(base, "other-" + std::to_string(base), "# other\n"));
  }
  const auto again = ApplyTo(&store, "relay", Request(1, "mine", "# mine\n", true));
  REQUIRE(again.answer.result == ChangeResult::kAccepted);
  REQUIRE(again.answer.version == 2);
  const auto loser = ApplyTo(&store, "relay", Request(1, "loser", "# loser\n", true));
  REQUIRE(loser.answer.result == ChangeResult::kRejected);
}

TEST_CASE("a repeated change that the check refuses now is unknown while its base is the newest",
          "[version]") {
  FakeStore store;
  ApplyTo(&store, "relay", Request(0, "first", ""));
  const std::string document = "max_priority = 800\n";
  const CompareAndSwapCall late{CurrentKeyOf("relay"), 1,
                                EncodeSubtreeRecord({"relay", 2, "mine", document})};
  ApplyTo(&store, kRootSubtree, Request(0, "lower", "limits.max_priority = 700\n"));
  const auto unsettled = ApplyTo(&store, "relay", Request(1, "mine", document, true));
  REQUIRE(unsettled.answer.result == ChangeResult::kUnknown);
  REQUIRE_FALSE(unsettled.answer.errors.empty());
  REQUIRE(store.Call(late).status == StoreStatus::kOk);
  const auto settled = ApplyTo(&store, "relay", Request(1, "mine", document, true));
  REQUIRE(settled.answer.result == ChangeResult::kAccepted);
}

TEST_CASE("a change that the check refuses is rejected and nothing is written", "[version]") {
  FakeStore store;
  const auto end = ApplyTo(&store, "relay", Request(0, "bad", "max_priority = 1001\n"));
  REQUIRE(end.answer.result == ChangeResult::kRejected);
  REQUIRE(end.answer.errors.size() == 1);
  REQUIRE(store.revision() == 0);
  REQUIRE(ApplyTo(&store, "relay", Request(3, "ahead", "")).answer.result ==
          ChangeResult::kRejected);
  REQUIRE(ApplyTo(&store, "relay", Request(0, "", "")).answer.result == ChangeResult::kRejected);
  REQUIRE(ApplyTo(&store, "relay", Request(0, "a b", "")).answer.result == ChangeResult::kRejected);
}

TEST_CASE("one id for two documents is refused for the second", "[version]") {
  FakeStore store;
  ApplyTo(&store, "relay", Request(0, "id", "# one\n"));
  const auto end = ApplyTo(&store, "relay", Request(0, "id", "# two\n"));
  REQUIRE(end.answer.result == ChangeResult::kRejected);
  REQUIRE(end.answer.reason.find("another document") != std::string::npos);
}

TEST_CASE("a version that is no longer kept is unknown, not rejected", "[version]") {
  FakeStore store;
  for (std::uint64_t base = 0; base < 3 * kKeptVersions; base++) {
    ApplyTo(&store, "relay", Request(base, "id-" + std::to_string(base), ""));
  }
  const auto end = ApplyTo(&store, "relay", Request(1, "id-1", "", true));
  REQUIRE(end.answer.result == ChangeResult::kUnknown);
  REQUIRE(end.answer.current.has_value());
}

TEST_CASE("an unreachable service is told apart from a refusal", "[version]") {
  FakeStore store;
  ChangeRun run(&store, "relay", Request(0, "id", ""));
  const auto end = run.Run(1, StoreFault::kDown, true);
  REQUIRE(end.answer.result == ChangeResult::kRejected);
  REQUIRE(end.store_unreachable);
  ChangeRun again(&store, "relay", Request(0, "id", "", true));
  REQUIRE(again.Run(1, StoreFault::kDown, true).answer.result == ChangeResult::kUnknown);
}

TEST_CASE("a record survives the way there and back, and a malformed one is refused", "[version]") {
  const SubtreeVersion version{"relay", 7, "id-7", "a = 1\n\nb = \"\xc3\xa9\"\n"};
  const auto back = DecodeSubtreeRecord(EncodeSubtreeRecord(version));
  REQUIRE(back.has_value());
  REQUIRE(back->document == version.document);
  REQUIRE(back->version == 7);
  for (const char* value : {"", "\n", "{}\n", "[]\n", "{\"subtree\":1}\n", "no line end",
                            "{\"subtree\":\"a\",\"version\":0,\"change_id\":\"b\"}\n"}) {
    CAPTURE(value);
    REQUIRE_FALSE(DecodeSubtreeRecord(value).has_value());
  }
  REQUIRE(
      EncodeSubtreeRecord({"relay", 1, std::string(128, 'x'), std::string(kMaxDocumentBytes, 'y')})
          .size() < kMaxStoreValueBytes);
}

}  // namespace
}  // namespace pistachio
