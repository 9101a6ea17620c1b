// Case: batch tasks of five minutes, with a right estimate, are stopped and started again all the
// time and leave submissions without a run although the service is almost empty.
#include "lab.hpp"

using namespace lab;

int main(int, char** argv) {
  // One task each, a tenth of a core; together 20 of the 64 cores of 4 workers.
  constexpr int kSubmissions = 200;
  const std::int64_t length = Trouble() ? 300000 : 90000;
  Deployment deployment(std::string(argv[1]) + "/record.txt", 4, 2, [&](const std::string& name) {
    return name.compare(0, 4, "0000") == 0 ? Work{300, "done"} : Work{length, "done"};
  });
  if (!deployment.Start()) deployment.Exit(2, "the deployment did not start");
  const std::string body = R"({"spec":"log","steps":[{"count":1,"cpu":100,"memMb":64,"estimateMs":)" +
                           std::to_string(length) + "}]}";
  std::vector<std::string> tasks;
  for (int i = 0; i < kSubmissions; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "a%015x", static_cast<unsigned>(i));
    if (deployment.Post(0, id, body).status == 200) tasks.push_back(std::string(id) + ".0.0.0");
    SleepMs(20);
  }
  deployment.record.Line("end of the traffic");
  // From finish_s after the end of the traffic.
  SleepMs(14000);
  const std::int64_t from = NowMs();
  SleepMs(45000);
  const std::int64_t to = NowMs();
  int without = 0;
  std::int64_t longest = 0;
  std::size_t starts = 0;
  int done = 0;
  for (const std::string& task : tasks) {
    std::int64_t last_end = from;
    std::int64_t gap = 0;
    for (const Run& run : deployment.runs.Of(task)) {
      starts++;
      done += run.how == "done" ? 1 : 0;
      gap = std::max(gap, std::min(run.begin, to) - last_end);
      last_end = std::max(last_end, run.end < 0 ? to : run.end);
    }
    gap = std::max(gap, to - last_end);
    without += gap >= 3000 ? 1 : 0;
    longest = std::max(longest, gap);
    if (gap >= 3000) {
      deployment.record.Line("LOST: " + task + " was without a run for " + std::to_string(gap) +
                             " ms");
    }
  }
  const std::string counts = std::to_string(without) + " of " + std::to_string(tasks.size()) +
                             " submissions were without a run for 3 s or more, longest " +
                             std::to_string(longest) + " ms, at most a third of the cores in use; " +
                             std::to_string(starts) + " starts in all, " + std::to_string(done) +
                             " tasks done";
  if (tasks.empty()) deployment.Exit(2, "no submission was accepted");
  deployment.Exit(without > 0 ? 1 : 0, (without > 0 ? "LOST broken: " : "held: ") + counts);
}
