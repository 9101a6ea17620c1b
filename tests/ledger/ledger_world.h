#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pistachio/connection/store.h"
#include "pistachio/process/ledger.h"

namespace pistachio {

/// \brief What becomes of one call of a ledger.
struct LedgerFate {
  bool lose_call = false;
  bool lose_answer = false;
  bool duplicate = false;
  Duration there = std::chrono::milliseconds(2);
  Duration back = std::chrono::milliseconds(2);
};

/// \brief One owner of the unit, under one epoch: its state is the list of records it knows.
struct LedgerOwner {
  LedgerOwner(Epoch epoch, const LedgerLimits& limits)
      : epoch(epoch), ledger(UnitId("rack-1"), limits) {}

  Epoch epoch;
  Ledger ledger;
  bool alive = true;
  bool paused = false;
  bool open = false;
  bool fenced = false;
  std::vector<std::string> state;     // recovered, then appended
  std::uint64_t recovered_count = 0;  // of \a state
  std::uint64_t committed = 0;        // through this sequence
  std::vector<LedgerEvent> inbox;
};

/// \brief Owners with rising epochs on one store, and the checks of what each of them recovers.
class LedgerWorld {
 public:
  explicit LedgerWorld(const LedgerLimits& limits) : limits(limits) {}

  std::function<LedgerFate(std::size_t, const CallStore&)> fate;
  bool store_down = false;
  TimePoint now{std::chrono::hours(1)};
  std::deque<LedgerOwner> owners;
  std::vector<std::string> violations;

  void OpenNext() {
    this->owners.emplace_back(static_cast<Epoch>(this->owners.size() + 1), this->limits);
    this->Feed(this->owners.size() - 1, LedgerOpened{this->owners.back().epoch});
  }

  void Append(std::size_t index, bool urgent) {
    LedgerOwner& owner = this->owners[index];
    const bool able = owner.alive && !owner.paused && owner.open && !owner.fenced;
    if (!able) {
      return;
    }
    const std::string record =
        std::to_string(owner.epoch) + "-" + std::to_string(owner.state.size());
    owner.state.push_back(record);
    this->Feed(index, RecordAppended{owner.state.size(), record, urgent});
  }

  void Pause(std::size_t index) { this->owners[index].paused = true; }

  void Resume(std::size_t index) {
    this->owners[index].paused = false;
    for (const LedgerEvent& event : std::exchange(this->owners[index].inbox, {})) {
      this->Feed(index, event);
    }
  }

  void Kill(std::size_t index) { this->owners[index].alive = false; }

  void Step(Duration step) {
    this->now += step;
    this->Deliver();
    for (std::size_t index = 0; index < this->owners.size(); index++) {
      if (!this->owners[index].paused) {
        this->Feed(index, LedgerTick{});
      }
    }
    this->Deliver();
  }

  const std::vector<std::string>& acknowledged() const { return this->promised; }

 private:
  void Feed(std::size_t index, const LedgerEvent& event) {
    LedgerOwner& owner = this->owners[index];
    if (!owner.alive) {
      return;
    }
    if (owner.paused) {
      owner.inbox.push_back(event);
      return;
    }
    for (const LedgerAction& action : owner.ledger.Handle(event, this->now)) {
      std::visit([&](const auto& typed) { this->Carry(index, typed); }, action);
    }
  }

  void Carry(std::size_t index, const CallStore& action) {
    const LedgerFate fate = this->fate ? this->fate(index, action) : LedgerFate{};
    if (this->store_down) {
      this->Later(fate.there, [this, index, action] {
        this->Feed(index, LedgerStoreAnswered{action.call_id, {StoreStatus::kUnavailable, {}, 0}});
      });
      return;
    }
    if (fate.lose_call) {
      return;
    }
    this->Later(fate.there, [this, index, action, fate] {
      const StoreReply reply = this->store.Call(action.call);
      if (!fate.lose_answer) {
        this->Later(fate.back, [this, index, action, reply] {
          this->Feed(index, LedgerStoreAnswered{action.call_id, reply});
        });
      }
    });
    if (fate.duplicate) {
      this->Later(fate.there + std::chrono::seconds(3),
                  [this, action] { this->store.Call(action.call); });
    }
  }

  void Carry(std::size_t index, const LedgerRecovered& action) {
    LedgerOwner& owner = this->owners[index];
    owner.open = true;
    std::string text = action.snapshot;
    for (const std::string& record : action.records) {
      text += record + "\n";
    }
    owner.state = Lines(text);
    owner.recovered_count = owner.state.size();
    owner.committed = owner.state.size();
    this->Expect(action.next_sequence == owner.state.size() + 1, "sequence does not follow");
    this->CheckRecovered(owner);
  }

  // What was promised before is there, in order and at its place; nothing is there twice. An owner
  // that learns of its fence only after a later owner's has what was there when its fence landed.
  void CheckRecovered(const LedgerOwner& owner) {
    const bool stale = owner.epoch < this->newest_recovered;
    const std::vector<std::string>& shorter = stale ? owner.state : this->promised;
    const std::vector<std::string>& longer = stale ? this->promised : owner.state;
    this->Expect(longer.size() >= shorter.size() &&
                     std::equal(shorter.begin(), shorter.end(), longer.begin()),
                 "a committed record was lost or moved");
    const std::set<std::string> unique(owner.state.begin(), owner.state.end());
    this->Expect(unique.size() == owner.state.size(), "a record stands twice");
    if (!stale) {
      // Whatever was recovered once is relied on and has to stay.
      this->promised = owner.state;
      this->newest_recovered = owner.epoch;
    }
  }

  void Carry(std::size_t index, const LedgerCommitted& action) {
    LedgerOwner& owner = this->owners[index];
    // An answer may reach a stale owner late; then the record has to be among those recovered.
    for (std::uint64_t at = owner.committed; at < action.through; at++) {
      if (at < this->promised.size()) {
        this->Expect(this->promised[at] == owner.state[at], "committed, but not recovered");
      } else {
        this->Expect(at == this->promised.size() && owner.epoch >= this->newest_recovered,
                     "committed behind a later owner's back");
        this->promised.push_back(owner.state[at]);
      }
    }
    owner.committed = action.through;
  }

  void Carry(std::size_t index, const LedgerFenced& /*action*/) {
    this->Expect(index + 1 < this->owners.size(), "fenced without a later owner");
    this->owners[index].fenced = true;
  }

  void Carry(std::size_t index, const SnapshotWanted& /*action*/) {
    // Taken a little later, so that records which are not committed yet are in it.
    this->Later(std::chrono::milliseconds(300), [this, index] {
      const LedgerOwner& owner = this->owners[index];
      std::string text;
      for (const std::string& record : owner.state) {
        text += record + "\n";
      }
      this->Feed(index, SnapshotTaken{owner.state.size(), text});
    });
  }

  void Carry(std::size_t /*index*/, const LedgerReport& action) {
    this->Expect(action.event.code != EventCode::kLedgerDamaged, action.event.str());
  }

  void Expect(bool holds, const std::string& what) {
    if (!holds) {
      this->violations.push_back(what);
    }
  }

  static std::vector<std::string> Lines(const std::string& text) {
    std::vector<std::string> lines;
    for (std::size_t from = 0; from < text.size();) {
      const std::size_t end = text.find('\n', from);
      lines.push_back(text.substr(from, end - from));
      from = end + 1;
    }
    return lines;
  }

  void Later(Duration delay, std::function<void()> what) {
    this->queue.emplace(this->now + delay, std::move(what));
  }

  void Deliver() {
    while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
      const std::function<void()> what = this->queue.begin()->second;
      this->queue.erase(this->queue.begin());
      what();
    }
  }

  LedgerLimits limits;
  FakeStore store;
  std::multimap<TimePoint, std::function<void()>> queue;
  std::vector<std::string> promised;  // committed or recovered, in order
  Epoch newest_recovered = 0;
};

}  // namespace pistachio
