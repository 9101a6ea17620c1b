// Known entry (LOST): a step that fills and lasts takes all processors that fill; another task that
// fills never runs. Usage: fills FOLDER
#include "lab.hpp"

using namespace lab;

int main(int, char** argv) {
  const std::string lasting = "00000000000000f1";
  const std::string task = "00000000000000f2.0.0.0";
  Deployment deployment(std::string(argv[1]) + "/record.txt", 4, 2, [&](const std::string& name) {
    return name.compare(0, lasting.size(), lasting) == 0 ? Work{0, ""} : Work{300, "done"};
  });
  if (!deployment.Start()) deployment.Exit(2, "the deployment did not start");
  if (Trouble()) {
    deployment.Post(0, lasting,
                    R"({"spec":"scan","steps":[{"count":16,"cpu":4000,"memMb":256,"estimateMs":500,)"
                    R"("longRunning":true,"fills":true,"image":"a"}]})");
  }
  SleepMs(3000);
  deployment.Post(0, "00000000000000f2",
                  R"({"spec":"log","steps":[{"count":1,"cpu":4000,"memMb":256,"estimateMs":500,)"
                  R"("fills":true,"image":"b"}]})");
  SleepMs(40000);
  const std::size_t runs = deployment.runs.Of(task).size();
  deployment.Exit(runs == 0 ? 1 : 0, (runs == 0 ? "LOST broken: " : "held: ") +
                                         std::to_string(runs) + " runs of " + task + " in 40 s");
}
