// Case: workers crash at the moment when a task was to be started there. No run of the task has
// ever begun, and its submission is shown as failed.
#include "lab.hpp"

using namespace lab;

int main(int, char** argv) {
  const std::string id = "00000000000000c1";
  const std::string task = id + ".0.0.0";
  Deployment deployment(std::string(argv[1]) + "/record.txt", 8, 2,
                        [](const std::string&) { return Work{300, "done"}; });
  std::atomic<int> crashes{0};
  std::atomic<bool> busy{false};
  for (auto& worker : deployment.workers) {
    worker->treat = [&](Worker& self, const Request& request, const Json& body) {
      const bool start = request.path == "/v1/run-start" && body.value("task", "") == task;
      if (!Trouble() || !start || busy || crashes >= 4) return Worker::Treat::kNow;
      // One of eight workers crashes before it has carried the order out, and is back after 1.5 s.
      busy = true;
      crashes++;
      deployment.record.Line(self.id + ": crashes before it begins run " +
                             std::to_string(body.value("run", 0)) + " of " + task);
      std::thread([&] {
        self.Crash();
        SleepMs(1500);
        self.Restart();
        busy = false;
      }).detach();
      return Worker::Treat::kLate;
    };
  }
  if (!deployment.Start()) deployment.Exit(2, "the deployment did not start");
  const std::string body =
      R"({"spec":"pay","steps":[{"count":1,"cpu":2000,"memMb":256,"estimateMs":300}]})";
  if (deployment.Post(0, id, body).status != 200) deployment.Exit(2, "not accepted");
  std::string state;
  const bool over = WaitFor(60000, [&] {
    SleepMs(100);
    state = deployment.State(0, id);
    return state == "completed" || state == "failed" || state == "cancelled";
  });
  int failed = 0;
  const auto runs = deployment.runs.Of(task);
  for (const Run& run : runs) failed += run.how == "failed" ? 1 : 0;
  const std::string counts = "state " + state + ", never cancelled; runs begun " +
                             std::to_string(runs.size()) + ", ended failed " +
                             std::to_string(failed) + ", crashes of workers " +
                             std::to_string(crashes) + ", none of them under a run";
  if (!over) deployment.Exit(2, "not over: " + counts);
  const bool broken = state != "completed" && failed < 2;
  deployment.Exit(broken ? 1 : 0, (broken ? "LOST broken: " : "held: ") + counts);
}
