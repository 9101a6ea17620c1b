// Known entry (TWICE): a start that got no answer is the first order that the worker's next life
// carries out; its task was done, and its end acknowledged, before. Usage: late FOLDER
#include "lab.hpp"

using namespace lab;

int main(int, char** argv) {
  const std::string id = "00000000000000d3";
  const std::string task = id + ".0.0.0";
  Deployment deployment(std::string(argv[1]) + "/record.txt", 8, 2,
                        [](const std::string&) { return Work{300, "done"}; });
  std::mutex mutex;
  std::optional<Request> late_start;
  Worker* reborn = nullptr;
  std::int64_t sent = 0;
  for (auto& worker : deployment.workers) {
    worker->treat = [&](Worker& self, const Request& request, const Json& body) {
      const std::lock_guard<std::mutex> lock(mutex);
      const bool start = request.path == "/v1/run-start" && body.value("task", "") == task;
      if (!Trouble() || late_start || !start) return Worker::Treat::kNow;
      late_start = request;
      reborn = &self;
      sent = NowMs();
      deployment.record.Line(self.id + ": leaves the start of run 1 of " + task + " unanswered");
      return Worker::Treat::kLate;
    };
  }
  if (!deployment.Start()) deployment.Exit(2, "the deployment did not start");
  deployment.Post(0, id,
                  R"({"spec":"pay","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":300}]})");
  const bool completed = WaitFor(10000, [&] {
    SleepMs(50);
    return deployment.State(0, id) == "completed";
  });
  if (!completed) deployment.Exit(2, "not completed");
  SleepMs(500);
  if (Trouble()) {
    reborn->Crash();
    SleepMs(std::max<std::int64_t>(1500, sent + 2500 - NowMs()));
    reborn->RestartWith(*late_start);
  }
  SleepMs(3000);
  int again = 0;
  const auto runs = deployment.runs.Of(task);
  for (const Run& first : runs) {
    for (const Run& next : runs) {
      again += first.how == "done" && first.noted >= 0 && next.begin > first.end ? 1 : 0;
    }
  }
  deployment.Exit(again > 0 ? 1 : 0, (again > 0 ? "TWICE broken: " : "held: ") +
                                         std::to_string(runs.size()) + " begins of " + task);
}
