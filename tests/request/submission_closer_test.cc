#include "pistachio/request/submission_closer.h"

#include <catch2/catch.hpp>

namespace pistachio {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Status = SubmissionCloser::Status;

SubmissionId IdOf(int number) {
  const std::string digits = std::to_string(number);
  return SubmissionId(std::string(16 - digits.size(), '0') + digits);
}

/// A closer with a store that the test answers call by call.
struct ClosedStore {
  SubmissionCloser closer{
      SubmissionCloserSettings{},
      {[this](const StoreCall& call, Duration /*timeout*/, const StoreCallback& callback) {
         this->calls.push_back(call);
         this->callbacks.push_back(callback);
       },
       [this] { return this->reachable; }}};
  std::vector<StoreCall> calls;
  std::vector<StoreCallback> callbacks;
  bool reachable = true;
  TimePoint now{seconds(1000)};
  std::map<int, Status> results;

  ClosedStore() { this->closer.Tick(this->now); }
  void Close(int number, Duration time = seconds(2)) {
    this->closer.Close(IdOf(number), this->now + time,
                       [this, number](const SubmissionCloser::Result& result) {
                         REQUIRE(this->results.emplace(number, result.status).second);
                       });
  }
  void Advance(Duration time) {
    this->now += time;
    this->closer.Tick(this->now);
  }
  void Answer(const StoreReply& reply) { this->callbacks.back()(reply); }
  void Grant() {
    StoreReply reply;
    reply.status = StoreStatus::kOk;
    reply.lease = 7;
    reply.ttl = milliseconds(60000);
    this->Answer(reply);
  }
  void AnswerWith(StoreStatus status) {
    StoreReply reply;
    reply.status = status;
    reply.revision = 500;
    this->Answer(reply);
  }
  const Transaction& LastWrite() const { return std::get<Transaction>(this->calls.back()); }
};

}  // namespace

TEST_CASE("a submission is closed on the condition that it is not stored", "[closer]") {
  ClosedStore store;
  store.Close(1);
  REQUIRE(std::get<GrantLease>(store.calls.back()).ttl == milliseconds(60000));
  store.Grant();
  const Transaction write = store.LastWrite();
  REQUIRE(write.preconditions.size() == 1);
  REQUIRE(write.preconditions[0].key == "id/0000000000000001");
  REQUIRE(write.preconditions[0].revision == 0);
  REQUIRE(write.puts.size() == 1);
  REQUIRE(write.puts[0].key == "closed/0000000000000001");
  REQUIRE(write.puts[0].lease == 7);
  REQUIRE(store.results.empty());
  store.AnswerWith(StoreStatus::kOk);
  REQUIRE(store.results == std::map<int, Status>{{1, Status::kClosed}});
}

// Load: a burst of 200 refusals at one host.
TEST_CASE("the closings of a burst share writes", "[closer]") {
  ClosedStore store;
  store.Close(0);
  store.Grant();
  for (int number = 1; number < 200; ++number) {
    store.Close(number);
  }
  REQUIRE(store.calls.size() == 2);
  const TimePoint begun_at = store.now;
  while (store.results.size() < 200 && store.now - begun_at < seconds(2)) {
    const std::size_t sent = store.calls.size();
    store.AnswerWith(StoreStatus::kOk);
    while (store.calls.size() == sent && store.results.size() < 200) {
      store.Advance(milliseconds(5));
    }
    REQUIRE(store.LastWrite().puts.size() <= 16);
  }
  REQUIRE(store.results.size() == 200);
  REQUIRE(store.closer.writes() == 14);
  REQUIRE(store.now - begun_at < milliseconds(400));
}

TEST_CASE("a stored submission is not closed, and the others of its write are", "[closer]") {
  ClosedStore store;
  store.Close(1);
  store.Close(2);
  store.Grant();
  StoreReply conflict;
  conflict.status = StoreStatus::kConflict;
  StoreItem cell;
  cell.key = "id/0000000000000001";
  cell.value = "north";
  cell.revision = 400;
  conflict.items = {cell};
  store.Answer(conflict);
  REQUIRE(store.results == std::map<int, Status>{{1, Status::kStored}});
  store.Advance(milliseconds(25));
  REQUIRE(store.LastWrite().puts.size() == 1);
  store.AnswerWith(StoreStatus::kOk);
  REQUIRE(store.results.at(2) == Status::kClosed);
}

// A write that was sent before a request arrived may have taken effect before it, and a later
// attempt may have opened the submission again since.
TEST_CASE("a request that arrives while its submission is being closed gets a write of its own",
          "[closer]") {
  ClosedStore store;
  store.Close(1);
  store.Grant();
  int second = -1;
  store.closer.Close(IdOf(1), store.now + seconds(2),
                     [&second](const SubmissionCloser::Result& result) {
                       second = static_cast<int>(result.status);
                     });
  store.AnswerWith(StoreStatus::kOk);
  REQUIRE(store.results.at(1) == Status::kClosed);
  REQUIRE(second == -1);
  store.Advance(milliseconds(25));
  store.AnswerWith(StoreStatus::kOk);
  REQUIRE(second == static_cast<int>(Status::kClosed));
}

TEST_CASE("a closing that the store does not decide in time is unknown", "[closer]") {
  const StoreStatus status = GENERATE(StoreStatus::kRefused, StoreStatus::kUnknown);
  ClosedStore store;
  store.Close(1);
  store.Grant();
  while (store.results.empty()) {
    const std::size_t sent = store.calls.size();
    store.AnswerWith(status);
    while (store.calls.size() == sent && store.results.empty()) {
      store.Advance(milliseconds(10));
    }
  }
  REQUIRE(store.results == std::map<int, Status>{{1, Status::kUnknown}});
  REQUIRE(store.now == TimePoint(seconds(1002)));
  REQUIRE(store.closer.writes() >= 10);
}

TEST_CASE("nothing is sent while the store is unreachable", "[closer]") {
  ClosedStore store;
  store.reachable = false;
  store.Close(1);
  store.Advance(milliseconds(1900));
  REQUIRE(store.calls.empty());
  store.Advance(milliseconds(100));
  REQUIRE(store.results == std::map<int, Status>{{1, Status::kUnknown}});
}

// A key on a lease that is about to end would not outlast a write on its way.
TEST_CASE("a lease is used for half of its time only, and replaced if the store has ended it",
          "[closer]") {
  ClosedStore store;
  store.Close(1);
  store.Grant();
  store.AnswerWith(StoreStatus::kOk);
  store.Advance(seconds(29));
  store.Close(2);
  REQUIRE(store.LastWrite().puts[0].lease == 7);
  store.AnswerWith(StoreStatus::kMissing);
  store.Advance(milliseconds(25));
  REQUIRE(std::holds_alternative<GrantLease>(store.calls.back()));
  store.Grant();
  store.AnswerWith(StoreStatus::kOk);
  REQUIRE(store.results.at(2) == Status::kClosed);
  store.Advance(seconds(31));
  store.Close(3);
  REQUIRE(std::holds_alternative<GrantLease>(store.calls.back()));
}

TEST_CASE("a stop ends closings as unknown", "[closer]") {
  ClosedStore store;
  store.Close(1);
  store.Grant();
  store.Close(2);
  store.closer.BeginStop(store.now + milliseconds(500));
  store.Close(3);
  REQUIRE(store.results == std::map<int, Status>{{3, Status::kUnknown}});
  store.AnswerWith(StoreStatus::kOk);
  REQUIRE(store.results.at(1) == Status::kClosed);
  store.Advance(milliseconds(500));
  REQUIRE(store.results.at(2) == Status::kUnknown);
  REQUIRE(store.closer.open() == 0);
}

}  // namespace pistachio
