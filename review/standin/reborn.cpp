// Case: an acknowledgement of ends is carried out late, by the next life of the worker, and erases
// the end of a task there; the task, which is done, is started again.
#include "lab.hpp"

using namespace lab;

int main(int, char** argv) {
  std::atomic<bool> second_part{false};
  Deployment deployment(std::string(argv[1]) + "/record.txt", 8, 2, [&](const std::string&) {
    return Work{second_part ? 600 : 300, "done"};
  });
  std::mutex mutex;
  std::optional<Request> late_hold;   // with ackCursor, left unanswered
  Worker* reborn = nullptr;           // the worker that it was sent to
  std::int64_t late_sent = 0;
  std::uint64_t late_cursor = 0;
  std::atomic<bool> armed{false};
  std::atomic<bool> mute{false};      // holds to `reborn` are left unanswered
  std::atomic<int> orders{0};
  std::atomic<int> unanswered{0};
  for (auto& worker : deployment.workers) {
    worker->treat = [&](Worker& self, const Request& request, const Json& body) {
      const std::lock_guard<std::mutex> lock(mutex);
      orders++;
      const bool hold = request.path == "/v1/hold";
      const std::uint64_t cursor = body.value("ackCursor", std::uint64_t{0});
      if (armed && !late_hold && hold && cursor >= 3) {
        late_hold = request;
        late_sent = NowMs();
        late_cursor = cursor;
        reborn = &self;
        unanswered++;
        deployment.record.Line(self.id + ": leaves a hold with ackCursor " +
                               std::to_string(cursor) + " unanswered");
        return Worker::Treat::kLate;
      }
      if (mute && hold && &self == reborn) {
        unanswered++;
        deployment.record.Line(self.id + ": leaves a hold unanswered");
        return Worker::Treat::kLate;
      }
      return Worker::Treat::kNow;
    };
  }
  if (!deployment.Start()) deployment.Exit(2, "the deployment did not start");
  const auto body = [](int count) {
    return R"({"spec":"pay","steps":[{"count":)" + std::to_string(count) +
           R"(,"cpu":1000,"memMb":256,"estimateMs":300}]})";
  };
  armed = Trouble();
  if (deployment.Post(0, "00000000000000d1", body(32)).status != 200) {
    deployment.Exit(2, "not accepted");
  }
  const auto completed = [&](const std::string& id) {
    return [&deployment, id] {
      SleepMs(50);
      return deployment.State(0, id) == "completed";
    };
  };
  if (!WaitFor(10000, completed("00000000000000d1"))) deployment.Exit(2, "not completed");
  if (Trouble()) {
    if (!WaitFor(3000, [&] {
          const std::lock_guard<std::mutex> lock(mutex);
          return late_hold.has_value();
        })) {
      deployment.Exit(2, "no acknowledgement was sent");
    }
    // The worker crashes and is back under its id after 1.5 s.
    reborn->Crash();
    SleepMs(1500);
    reborn->Restart();
    SleepMs(1200);
  }
  second_part = true;
  // Left unanswered: the holds to that worker until its next runs have ended.
  mute = Trouble();
  const std::string id = "00000000000000d2";
  if (deployment.Post(0, id, body(32)).status != 200) deployment.Exit(2, "not accepted");
  if (Trouble()) {
    if (!WaitFor(8000, [&] { return reborn->RunCount() > 0; })) {
      deployment.Exit(2, "no task began on the worker that had crashed");
    }
    if (!WaitFor(3000, [&] { return reborn->RunCount() == 0; })) deployment.Exit(2, "no end");
    const std::int64_t after = NowMs() - late_sent;
    deployment.record.Line(reborn->id + ": carries out the hold with ackCursor " +
                           std::to_string(late_cursor) + ", " + std::to_string(after) +
                           " ms after it was sent");
    if (after < 2000 || after > 12000) deployment.Exit(2, "outside 2 to 12 s");
    reborn->CarryOut(*late_hold);
    mute = false;
  }
  WaitFor(15000, completed(id));
  SleepMs(3000);
  int again = 0;
  for (int index = 0; index < 32; ++index) {
    const auto runs = deployment.runs.Of(id + ".0.0." + std::to_string(index));
    for (std::size_t first = 0; first < runs.size(); ++first) {
      for (std::size_t next = first + 1; next < runs.size(); ++next) {
        const bool twice = runs[first].how == "done" && runs[first].noted >= 0 &&
                           runs[next].begin > runs[first].end;
        if (twice) {
          again++;
          deployment.record.Line("TWICE: " + runs[next].task + " begins as run " +
                                 std::to_string(runs[next].run) + " on " + runs[next].worker +
                                 " after run " + std::to_string(runs[first].run) + " on " +
                                 runs[first].worker + " ended done, which ackCursor has reached");
        }
      }
    }
  }
  deployment.record.Line(std::to_string(unanswered) + " of " + std::to_string(orders) +
                         " orders were left unanswered");
  deployment.Exit(again > 0 ? 1 : 0, (again > 0 ? "TWICE broken: " : "held: ") +
                                         std::to_string(again) + " starts of tasks that were done");
}
