#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "emulator/fake_store.h"
#include "pistachio/process/ownership.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CellId kCell("all");

/// The owner of a cell with one target and one running task, whose store answers at once until the
/// test holds an answer back. From then on, the store is cut off but for the reads of a takeover.
class OwnerFixture {
 public:
  using IsLate = std::function<bool(const StoreCall&)>;

  OwnerFixture() {
    QueueSettings queue;
    queue.id = QueueId("queue");
    queue.service = ServiceId("service");
    this->configuration->queues.push_back(queue);
    this->StartProcess();
    this->RunUntil([this] { return this->ownership->cell() != nullptr; });
    this->Submit(SubmissionId("0000000000000001"));
    this->RunUntil([this] { return !this->running.empty(); });
    this->Run(seconds(3));
  }

  /// Writes a submission with one task to the inbox of the cell.
  void Submit(const SubmissionId& id) { this->Submit(id, Resources{1000, 1000, 0}, true); }
  void Submit(const SubmissionId& id, const Resources& need, bool long_running) {
    AcceptedSubmission accepted;
    accepted.id = id;
    accepted.queue = this->configuration->queues.front();
    StepSpec step;
    step.need = need;
    step.long_running = long_running;
    step.estimate = seconds(1);
    accepted.spec.steps = {step};
    this->store.Write(store_keys::Accepted(kCell, id), EncodeAccepted(accepted));
  }

  Cell* cell() { return this->ownership->cell(); }

  /// Ends the process, with its calls in flight, and starts another one on the host.
  void StartProcess() {
    this->calls.clear();
    const StorePort port = [this](const StoreCall& call, Duration /*timeout*/,
                                  const StoreCallback& callback) {
      this->calls.push_back({call, callback, this->now});
    };
    CellOwnershipSettings settings;
    settings.retry_delay = seconds(1);
    this->ownership = std::make_unique<CellOwnership>(
        CellScope{kCell, {DataCentreId("north")}}, std::vector<CellId>{}, settings, CellSettings{},
        port, [](const std::function<void(bool)>& done) { done(false); });
    this->membership = std::make_unique<Membership>(
        MemberRecord{HostId("host"), DataCentreId("north"), 1}, MembershipSettings{}, port);
    this->mirror = std::make_unique<PrefixMirror>(
        MirrorSettings{store_keys::kClusterPrefix}, port, [](const StoreItem&) {}, [] {});
    this->view = std::make_unique<ClusterView>(*this->mirror);
    this->ownership->SetConfiguration(this->configuration);
    TargetEntry entry;
    entry.id = TargetId("target");
    entry.service = ServiceId("service");
    entry.address = "target:1";
    entry.data_centre = DataCentreId("north");
    entry.capacity = Resources{4000, 4000, 0};
    entry.incarnation = 1000;
    this->ownership->PutTarget(entry);
    this->mirror->Start(this->now);
  }

  /// Holds back the answer to the next call for which \a late_call returns true.
  void HoldBack(const IsLate& late_call) { this->is_late = late_call; }
  bool IsHeldBack() const { return this->held_answer != nullptr; }
  /// Suspends the process for \a time, in which the answer arrives. The process notices the time
  /// before it handles the answer.
  void SuspendAndAnswer(Duration time) {
    this->now += time;
    this->Tick();
    std::exchange(this->held_answer, nullptr)();
  }

  void Run(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += milliseconds(10);
      this->store.Tick(this->now, false);
      this->AnswerCalls();
      this->Tick();
    }
  }
  void RunUntil(const std::function<bool()>& condition) {
    for (int step = 0; step < 1000 && !condition(); ++step) {
      this->Run(milliseconds(10));
    }
    REQUIRE(condition());
  }

  TimePoint now{std::chrono::hours(1)};
  TimePoint answered_at{};    ///< when the store has answered the call that was held back
  TimePoint last_extended{};  ///< when the lease of the target was last extended

 private:
  struct Call {
    StoreCall call;
    StoreCallback callback;
    TimePoint sent_at;
  };

  /// \returns true if the store still answers \a call after the answer that is held back.
  static bool IsReadOfTakeover(const StoreCall& call) {
    const auto* watch = std::get_if<WatchPrefix>(&call);
    return std::holds_alternative<ReadKey>(call) || std::holds_alternative<ReadRange>(call) ||
           (watch != nullptr && watch->prefix == store_keys::InboxPrefix(kCell));
  }

  void AnswerCalls() {
    for (const Call& sent : std::exchange(this->calls, {})) {
      const bool cut_off = this->answered_at != TimePoint{};
      if (cut_off && !IsReadOfTakeover(sent.call)) {
        continue;
      }
      StoreReply reply;
      if (const auto* watch = std::get_if<WatchPrefix>(&sent.call)) {
        const auto events = this->store.Poll(*watch);
        if (!events && this->now < sent.sent_at + watch->wait) {
          this->calls.push_back(sent);
          continue;
        }
        reply.status = StoreStatus::kOk;
        reply.revision = std::max(watch->after_revision, this->store.current_revision());
        reply = events ? *events : reply;
      } else {
        reply = this->store.Apply(sent.call, this->now);
      }
      if (!cut_off && this->is_late && this->is_late(sent.call)) {
        this->held_answer = [callback = sent.callback, reply] { callback(reply); };
        this->answered_at = this->now;
      } else {
        sent.callback(reply);
      }
    }
  }

  void Tick() {
    this->mirror->Tick(this->now);
    this->membership->Tick(this->now);
    this->ownership->Tick(this->now, WallTime(0), *this->view, *this->membership);
    Cell* cell = this->ownership->cell();
    if (cell == nullptr) {
      return;
    }
    for (const OutgoingOrder& outgoing : cell->TakeOrders()) {
      const auto clock = std::chrono::duration_cast<TargetTime>(this->now.time_since_epoch());
      if (const auto* start = std::get_if<StartOrder>(&outgoing.order.order)) {
        this->running.push_back(RunningRun{start->task, start->run, "", 100.0, 0.0});
        this->last_extended = this->now;
        cell->OnOrderReply(outgoing.ticket, OrderReply{OrderStatus::kDone, clock}, this->now);
      } else if (const auto* hold = std::get_if<HoldOrder>(&outgoing.order.order)) {
        this->last_extended = hold->deadline ? this->now : this->last_extended;
        HoldReply reply;
        reply.status = OrderStatus::kDone;
        reply.incarnation = 1000;
        reply.clock = clock;
        reply.running = this->running;
        cell->OnHoldReply(outgoing.ticket, reply, this->now);
      }
    }
  }

  FakeStore store;
  std::shared_ptr<Configuration> configuration = std::make_shared<Configuration>();
  std::unique_ptr<CellOwnership> ownership;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<PrefixMirror> mirror;
  std::unique_ptr<ClusterView> view;
  std::vector<Call> calls;  ///< not answered yet
  IsLate is_late;
  std::function<void()> held_answer;
  std::vector<RunningRun> running;
};

// A fault of the owner left a submission in the inbox that no later change would report.
TEST_CASE("a submission that is in the inbox and not in memory is added late", "[ownership]") {
  OwnerFixture owner;
  const SubmissionId id("0000000000000002");
  Cell& cell = *owner.cell();
  owner.Submit(id, Resources{5000, 1000, 0}, false);
  owner.RunUntil([&] { return cell.Knows(id); });
  std::optional<MoveBatch> move;
  owner.RunUntil([&] {
    MoveDestination destination;
    destination.cell = CellId("other");
    destination.room.targets = 40;
    destination.room.capacity_cpu = 320000;
    for (int target = 0; target < 40; ++target) {
      destination.room.free_slots.AddTarget(8000, 8);
    }
    std::vector<MoveDestination> destinations{destination};
    move = move ? move : cell.NextMove(&destinations, owner.now);
    return move.has_value();
  });
  // The write is older than the record in the inbox.
  cell.OnMoved(move->number, 1, owner.now);
  REQUIRE_FALSE(cell.Knows(id));
  owner.Run(seconds(1));
  const TimePoint lost_at = owner.now;
  while (!cell.Knows(id) && owner.now - lost_at < seconds(30)) {
    owner.Run(milliseconds(100));
  }
  CHECK(cell.Knows(id));
}

/// \returns a predicate for the transactions whose first write is of \a key.
OwnerFixture::IsLate IsWriteOf(const std::string& key) {
  return [key](const StoreCall& call) {
    const auto* write = std::get_if<Transaction>(&call);
    return write != nullptr && !write->puts.empty() && write->puts.front().key == key;
  };
}

// Another host may take the cell as soon as the store has confirmed this owner for the last time.
// It waits for as long as this owner may extend leases, counted from the take, so this owner must
// not count from the time at which it handles the answer.
TEST_CASE("an answer of the store that is handled late does not prolong the extension of leases",
          "[ownership]") {
  OwnerFixture owner;
  SECTION("a commit") {
    owner.HoldBack(IsWriteOf(store_keys::Sequence(kCell)));
    owner.Submit(SubmissionId("0000000000000002"));
  }
  SECTION("a load record") { owner.HoldBack(IsWriteOf(store_keys::Load(kCell))); }
  SECTION("a watch of the owner key") {
    owner.HoldBack([](const StoreCall& call) {
      const auto* watch = std::get_if<WatchPrefix>(&call);
      return watch != nullptr && watch->prefix == store_keys::kClusterPrefix;
    });
  }
  SECTION("the take of the cell") {
    owner.StartProcess();
    owner.HoldBack(IsWriteOf(store_keys::Owner(kCell)));
  }
  owner.RunUntil([&owner] { return owner.IsHeldBack(); });
  owner.SuspendAndAnswer(seconds(2));
  owner.Run(seconds(10));
  const Duration extended_for = owner.last_extended - owner.answered_at;
  CAPTURE(extended_for.count());
  // The owner goes on extending the lease during an outage.
  CHECK(extended_for > seconds(3));
  CHECK(extended_for <= CellSettings().store_outage_tolerance);
}

}  // namespace
}  // namespace pistachio::emulator
