#include "pistachio/request/store_retries.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store whose answers the test sets, and the times of the calls that it got.
struct ScriptedStore {
  StoreStatus answer = StoreStatus::kRefused;
  bool reachable = true;
  Duration outage{0};
  TimePoint now{std::chrono::hours(1)};
  std::vector<TimePoint> calls;

  StoreRetries MakeRetries(const StoreRetrySettings& settings = {}) {
    StoreRetries::Callbacks callbacks;
    callbacks.store = [this](const StoreCall&, Duration, const StoreCallback& callback) {
      this->calls.push_back(this->now);
      StoreReply reply;
      reply.status = this->answer;
      callback(reply);
    };
    callbacks.is_store_reachable = [this] { return this->reachable; };
    callbacks.store_outage_duration = [this] { return this->outage; };
    return StoreRetries(settings, callbacks);
  }
};

/// Advances the time in steps of the process's ticks.
void Advance(ScriptedStore* store, StoreRetries* retries, Duration time) {
  for (const TimePoint end = store->now + time; store->now < end;) {
    store->now += milliseconds(8);
    retries->Tick(store->now);
  }
}

// Guards against a request that is given up early, held beyond its caller's wait, or repeated so
// often that a busy store gets more calls than before.
TEST_CASE("a refused call is repeated with growing pauses for 0.7 of the caller's wait",
          "[store_retries]") {
  ScriptedStore store;
  StoreRetries retries = store.MakeRetries();
  retries.Tick(store.now);
  const TimePoint arrived_at = store.now;
  std::optional<TimePoint> answered_at;
  retries.Send(Transaction{}, retries.DeadlineOf(arrived_at, seconds(3)),
               [&](const StoreReply& reply, bool in_doubt) {
                 REQUIRE(reply.status == StoreStatus::kRefused);
                 REQUIRE_FALSE(in_doubt);
                 answered_at = store.now;
               });
  Advance(&store, &retries, seconds(4));
  REQUIRE(answered_at);
  REQUIRE(*answered_at - arrived_at >= milliseconds(2050));
  REQUIRE(*answered_at - arrived_at <= milliseconds(2150));
  REQUIRE(store.calls.size() >= 8);
  REQUIRE(store.calls.size() <= 16);
  REQUIRE(store.calls[2] - store.calls[1] > store.calls[1] - store.calls[0]);
  REQUIRE(store.calls.back() - arrived_at >= milliseconds(2000));
}

// Guards against requests that pile up in the memory of a small host.
TEST_CASE("the number of waiting calls is bounded", "[store_retries]") {
  ScriptedStore store;
  StoreRetrySettings settings;
  StoreRetries retries = store.MakeRetries(settings);
  retries.Tick(store.now);
  std::size_t failed = 0;
  for (std::size_t number = 0; number < settings.max_waiting + 50; ++number) {
    retries.Send(Transaction{}, retries.DeadlineOf(store.now, std::chrono::hours(24)),
                 [&failed](const StoreReply&, bool) { failed++; });
  }
  REQUIRE(failed == 50);
  REQUIRE(retries.waiting() == settings.max_waiting);
  Advance(&store, &retries, seconds(8));
  REQUIRE(retries.waiting() == 0);
  REQUIRE(failed == settings.max_waiting + 50);
}

// Guards against writes that become in doubt because they are sent into an outage, and against
// callers held although the outage will outlast their wait.
// A write waits: its caller would only ask again, as an undecided write promises nothing.
TEST_CASE("during an outage nothing is sent, and a long outage fails a read at once",
          "[store_retries]") {
  ScriptedStore store;
  StoreRetries retries = store.MakeRetries();
  retries.Tick(store.now);
  store.reachable = false;
  int answers = 0;
  const auto done = [&answers](const StoreReply&, bool) { answers++; };
  store.outage = milliseconds(2200);
  retries.Send(ReadKey{"key"}, retries.DeadlineOf(store.now, seconds(3)), done);
  REQUIRE(answers == 1);
  int long_outage_answers = 0;
  retries.Send(Transaction{}, retries.DeadlineOf(store.now, seconds(3)),
               [&long_outage_answers](const StoreReply&, bool) { long_outage_answers++; });
  store.outage = milliseconds(500);
  retries.Send(Transaction{}, retries.DeadlineOf(store.now, seconds(3)), done);
  Advance(&store, &retries, seconds(1));
  REQUIRE(answers == 1);
  REQUIRE(long_outage_answers == 0);
  REQUIRE(store.calls.empty());
  store.reachable = true;
  store.answer = StoreStatus::kOk;
  Advance(&store, &retries, milliseconds(100));
  REQUIRE(answers == 2);
  REQUIRE(long_outage_answers == 1);
  REQUIRE(store.calls.size() == 2);
}

// Guards against a refusal after a write that may have taken effect.
TEST_CASE("a write without an answer stays in doubt until the store decides it",
          "[store_retries]") {
  ScriptedStore store;
  StoreRetries retries = store.MakeRetries();
  retries.Tick(store.now);
  store.answer = StoreStatus::kUnknown;
  std::vector<bool> doubts;
  retries.Send(Transaction{}, retries.DeadlineOf(store.now, seconds(3)),
               [&doubts](const StoreReply&, bool in_doubt) { doubts.push_back(in_doubt); });
  Advance(&store, &retries, milliseconds(200));
  store.answer = StoreStatus::kRefused;
  Advance(&store, &retries, seconds(3));
  REQUIRE(doubts == std::vector<bool>{true});
}

// Guards against a stopping process that refuses callers whose write the store carries out.
TEST_CASE("a stop ends each call with what is known of it", "[store_retries]") {
  std::vector<StoreCallback> open;
  StoreRetries::Callbacks callbacks;
  callbacks.store = [&open](const StoreCall&, Duration, const StoreCallback& callback) {
    open.push_back(callback);
  };
  callbacks.is_store_reachable = [] { return true; };
  callbacks.store_outage_duration = [] { return Duration(0); };
  StoreRetries retries(StoreRetrySettings{}, callbacks);
  TimePoint now{std::chrono::hours(1)};
  retries.Tick(now);
  std::map<std::string, std::pair<StoreStatus, bool>> ends;
  const auto send = [&](const std::string& name, const StoreCall& call) {
    retries.Send(call, retries.DeadlineOf(now, seconds(3)),
                 [&ends, name](const StoreReply& reply, bool in_doubt) {
                   REQUIRE(ends.emplace(name, std::make_pair(reply.status, in_doubt)).second);
                 });
  };
  StoreReply reply;
  send("refused write", Transaction{});
  reply.status = StoreStatus::kRefused;
  open.back()(reply);
  send("write without an answer", Transaction{});
  reply.status = StoreStatus::kUnknown;
  open.back()(reply);
  REQUIRE(ends.empty());
  send("write that is answered in time", Transaction{});
  const StoreCallback answer_in_time = open.back();
  send("write that is not answered in time", Transaction{});
  const StoreCallback answer_late = open.back();
  send("read", ReadKey{"key"});
  retries.BeginStop(now + milliseconds(500));
  REQUIRE(ends.size() == 2);
  REQUIRE(ends["refused write"] == std::make_pair(StoreStatus::kRefused, false));
  REQUIRE(ends["write without an answer"].second);
  reply.status = StoreStatus::kOk;
  answer_in_time(reply);
  REQUIRE(ends["write that is answered in time"] == std::make_pair(StoreStatus::kOk, false));
  now += milliseconds(496);
  retries.Tick(now);
  REQUIRE(retries.open() == 2);
  now += milliseconds(8);
  retries.Tick(now);
  REQUIRE(retries.open() == 0);
  REQUIRE(ends["write that is not answered in time"] ==
          std::make_pair(StoreStatus::kUnknown, true));
  REQUIRE(ends["read"] == std::make_pair(StoreStatus::kRefused, false));
  answer_late(reply);
  const std::size_t sent = open.size();
  send("write after the stop", Transaction{});
  REQUIRE(ends["write after the stop"] == std::make_pair(StoreStatus::kRefused, false));
  REQUIRE(open.size() == sent);
}

}  // namespace
}  // namespace pistachio
