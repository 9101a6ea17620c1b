// Case: a task that lasts ends as `done` and is not restarted.
#include "lab.hpp"

using namespace lab;

int main(int, char** argv) {
  const std::string id = "00000000000000b1";
  const std::string task = id + ".0.0.0";
  const bool trouble = Trouble();
  Deployment deployment(std::string(argv[1]) + "/record.txt", 4, 2,
                        [&](const std::string& name) {
                          if (name.compare(0, id.size(), id) != 0) return Work{300, "done"};
                          // The first member ends by itself, once; the other one lasts.
                          static std::atomic<int> begun{0};
                          const bool ends = name == task && begun++ == 0;
                          return ends ? Work{4000, trouble ? "done" : "failed"} : Work{0, ""};
                        });
  if (!deployment.Start()) deployment.Exit(2, "the deployment did not start");
  const std::string body =
      R"({"spec":"watch","steps":[{"count":2,"cpu":2000,"memMb":256,"estimateMs":300,)"
      R"("longRunning":true,"image":"watch","mayMiss":1}]})";
  if (deployment.Post(0, id, body).status != 200) deployment.Exit(2, "not accepted");
  const auto ended = [&] {
    const auto runs = deployment.runs.Of(task);
    return !runs.empty() && runs.front().end >= 0;
  };
  if (!WaitFor(20000, ended)) deployment.Exit(2, "the task did not run and end");
  const std::int64_t end = deployment.runs.Of(task).front().end;
  // LOST: from 6 s after the last run, for 3 s, with the service almost empty.
  const bool restarted = WaitFor(end + 30000 - NowMs(), [&] {
    deployment.State(0, id);
    SleepMs(100);
    return deployment.runs.Of(task).size() > 1;
  });
  const std::string state = deployment.State(1, id);
  if (!restarted) {
    deployment.Exit(1, "LOST broken: " + task + " lasts, had no run for " +
                           std::to_string((NowMs() - end) / 1000) +
                           " s with 4 workers almost empty; its submission, not cancelled, is " +
                           state);
  }
  const std::int64_t gap = deployment.runs.Of(task)[1].begin - end;
  deployment.Exit(gap > 9000 ? 1 : 0, std::string(gap > 9000 ? "LOST broken" : "held") +
                                          ": restarted after " + std::to_string(gap) + " ms");
}
