// Case: two workers crash, one after the other, while a task that lasts runs on them. The task has
// never failed, and its submission is shown as failed and never runs again.
#include "lab.hpp"

using namespace lab;

int main(int, char** argv) {
  const std::string id = "00000000000000c1";
  const std::string task = id + ".0.0.0";
  Deployment deployment(std::string(argv[1]) + "/record.txt", 8, 2, [&](const std::string& name) {
    return name == task ? Work{0, ""} : Work{300, "done"};
  });
  if (!deployment.Start()) deployment.Exit(2, "the deployment did not start");
  const std::string body =
      R"({"spec":"watch","steps":[{"count":1,"cpu":2000,"memMb":256,"estimateMs":300,)"
      R"("longRunning":true,"image":"watch"}]})";
  if (deployment.Post(0, id, body).status != 200) deployment.Exit(2, "not accepted");
  const auto holder = [&]() -> Worker* {
    for (auto& worker : deployment.workers) {
      if (worker->Runs_(task)) return worker.get();
    }
    return nullptr;
  };
  for (int crash = 0; Trouble() && crash < 2; ++crash) {
    Worker* worker = nullptr;
    if (!WaitFor(20000, [&] { return (worker = holder()) != nullptr; })) {
      deployment.Exit(2, "the task did not run");
    }
    SleepMs(1000);
    // One of eight workers crashes and is back after 2 s.
    worker->Crash();
    SleepMs(2000);
    worker->Restart();
    SleepMs(1000);
  }
  // LOST: shown as failed without cause; or, from 6 s after the last run, 3 s without a run.
  std::string state;
  const std::int64_t until = NowMs() + 20000;
  std::int64_t without_run_since = -1;
  std::int64_t longest = 0;
  while (NowMs() < until) {
    SleepMs(100);
    state = deployment.State(0, id);
    const bool runs = holder() != nullptr;
    without_run_since = runs ? -1 : without_run_since < 0 ? NowMs() : without_run_since;
    longest = std::max(longest, runs ? 0 : NowMs() - without_run_since);
  }
  int failed = 0;
  int lost = 0;
  for (const Run& run : deployment.runs.Of(task)) {
    failed += run.how == "failed" ? 1 : 0;
    lost += run.how == "lost" ? 1 : 0;
  }
  const bool broken = state != "running" || longest > 9000;
  deployment.Exit(broken ? 1 : 0,
                  std::string(broken ? "LOST broken" : "held") + ": state " + state +
                      ", never cancelled; runs that ended failed " + std::to_string(failed) +
                      ", lost with their worker " + std::to_string(lost) +
                      "; longest time without a run " + std::to_string(longest) +
                      " ms, 8 workers almost empty");
}
