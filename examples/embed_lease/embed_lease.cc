// Embeds the fenced lease and the group-committed ledger on a store of the program's own.
//
// Two members share one unit. The first owns it and commits records; it stops without a word; the
// second waits its lease out, takes the unit under a later epoch and recovers the records. Last,
// the first wakes up and tries to commit once more, which the fence refuses.

#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "pistachio/connection/lease.h"
#include "pistachio/process/ledger.h"

namespace {

using pistachio::Duration;
using pistachio::StoreCall;
using pistachio::StoreEntry;
using pistachio::StoreReply;
using pistachio::StoreStatus;
using pistachio::TimePoint;

/// \brief The program's own store: a map with versions that answers at once.
class OwnStore {
 public:
  StoreReply Call(const StoreCall& call) {
    return std::visit([this](const auto& typed) { return this->Serve(typed); }, call);
  }

 private:
  StoreReply Serve(const pistachio::GetCall& call) const {
    const auto found = this->entries.find(call.key);
    StoreReply reply{StoreStatus::kOk, {}, 0};
    if (found != this->entries.end()) {
      reply.entries.push_back(found->second);
    }
    return reply;
  }

  StoreReply Serve(const pistachio::ListCall& call) const {
    StoreReply reply{StoreStatus::kOk, {}, 0};
    for (auto entry = this->entries.lower_bound(call.prefix);
         entry != this->entries.end() && entry->first.rfind(call.prefix, 0) == 0; ++entry) {
      reply.entries.push_back(entry->second);
    }
    return reply;
  }

  StoreReply Serve(const pistachio::CompareAndSwapCall& call) {
    StoreEntry& entry = this->entries[call.key];
    entry.key = call.key;
    if (entry.version != call.expected_version) {
      return StoreReply{StoreStatus::kConflict, {entry}, 0};
    }
    entry.value = call.value;
    entry.version++;
    return StoreReply{StoreStatus::kOk, {entry}, 0};
  }

  StoreReply Serve(const pistachio::DeleteCall& call) {
    this->entries.erase(call.key);
    return StoreReply{StoreStatus::kOk, {}, 0};
  }

  StoreReply Serve(const pistachio::WatchCall& /*call*/) const {
    return StoreReply{StoreStatus::kUnavailable, {}, 0};
  }

  std::map<std::string, StoreEntry> entries;
};

/// \brief One process: a member of the data centre and the ledger of the unit while it owns that.
struct Node {
  Node(OwnStore* store, const std::string& host, const std::string& peer, TimePoint now)
      : store(store),
        name(host),
        member(pistachio::DataCentreId("example"), {pistachio::HostId(host), 1},
               {pistachio::HostId(peer)}, pistachio::LeaseTiming{}, now),
        ledger(pistachio::UnitId("unit-1"), pistachio::LedgerLimits{}) {}

  void Feed(const pistachio::MembershipEvent& event, TimePoint now) {
    for (const auto& action : this->member.Handle(event, now)) {
      if (const auto* call = std::get_if<pistachio::MemberCallStore>(&action)) {
        const StoreReply reply = this->store->Call(call->call);
        this->Feed(pistachio::MemberStoreAnswered{call->call_id, reply}, now);
      } else if (const auto* message = std::get_if<pistachio::SendMemberMessage>(&action)) {
        this->outbox.push_back(*message);
      } else if (const auto* acquired = std::get_if<pistachio::UnitAcquired>(&action)) {
        std::printf("%s owns the unit under epoch %llu\n", this->name.c_str(),
                    static_cast<unsigned long long>(acquired->epoch));
        this->Feed(pistachio::LedgerOpened{acquired->epoch}, now);
      } else if (const auto* draining = std::get_if<pistachio::UnitDraining>(&action)) {
        this->Feed(pistachio::UnitDrained{draining->unit}, now);
      }
    }
  }

  void Feed(const pistachio::LedgerEvent& event, TimePoint now) {
    for (const auto& action : this->ledger.Handle(event, now)) {
      if (const auto* call = std::get_if<pistachio::CallStore>(&action)) {
        const StoreReply reply = this->store->Call(call->call);
        this->Feed(pistachio::LedgerStoreAnswered{call->call_id, reply}, now);
      } else if (const auto* read = std::get_if<pistachio::LedgerRecovered>(&action)) {
        this->next = read->next_sequence;
        std::printf("%s recovered %zu records\n", this->name.c_str(), read->records.size());
      } else if (const auto* done = std::get_if<pistachio::LedgerCommitted>(&action)) {
        std::printf("%s committed through %llu\n", this->name.c_str(),
                    static_cast<unsigned long long>(done->through));
      } else if (std::holds_alternative<pistachio::LedgerFenced>(action)) {
        this->fenced = true;
        std::printf("%s is fenced\n", this->name.c_str());
      }
    }
  }

  void Append(const std::string& record, TimePoint now) {
    this->Feed(pistachio::RecordAppended{this->next++, record, true}, now);
  }

  OwnStore* store;
  std::string name;
  pistachio::Membership member;
  pistachio::Ledger ledger;
  std::uint64_t next = 1;
  bool running = true;
  bool fenced = false;
  std::deque<pistachio::SendMemberMessage> outbox;
};

void Run(std::vector<Node>* nodes, TimePoint* now, Duration time) {
  constexpr Duration kStep = std::chrono::milliseconds(100);
  for (Duration done{0}; done < time; done += kStep) {
    *now += kStep;
    for (Node& node : *nodes) {
      if (node.running) {
        node.Feed(pistachio::MembershipEvent(pistachio::MemberTick{}), *now);
        node.Feed(pistachio::LedgerEvent(pistachio::LedgerTick{}), *now);
      }
    }
    for (Node& node : *nodes) {
      for (const auto& message : std::exchange(node.outbox, {})) {
        for (Node& other : *nodes) {
          if (other.running && other.name == message.to.str()) {
            other.Feed(pistachio::MemberMessageReceived{message.message}, *now);
          }
        }
      }
    }
  }
}

}  // namespace

int main() {
  OwnStore store;
  TimePoint now{std::chrono::hours(1)};
  std::vector<Node> nodes;
  nodes.emplace_back(&store, "node-1", "node-2", now);
  nodes.emplace_back(&store, "node-2", "node-1", now);
  for (Node& node : nodes) {
    node.Feed(pistachio::UnitsListed{{pistachio::UnitId("unit-1")}}, now);
  }
  Run(&nodes, &now, std::chrono::seconds(10));
  const std::size_t first = nodes[0].member.owned().empty() ? 1 : 0;
  Node& owner = nodes[first];
  Node& other = nodes[1 - first];
  owner.Append("alarm checked", now);
  owner.Append("contractor called", now);
  owner.running = false;
  Run(&nodes, &now, std::chrono::seconds(30));
  owner.Append("late", now);
  const bool took_over = other.member.owned().size() == 1 && other.next == 3;
  return took_over && owner.fenced && owner.member.act_until() < now ? 0 : 1;
}
