// Case: processes are stopped in turn (SIGTERM). Each answers 503, "not accepted, never runs", to
// submissions whose write to the store is on its way; they are stored and run.
#include "lab.hpp"

using namespace lab;

int main(int, char** argv) {
  Deployment deployment(std::string(argv[1]) + "/record.txt", 4, 3, [](const std::string&) {
    return Work{300, "done"};
  });
  if (!deployment.Start()) deployment.Exit(2, "the deployment did not start");
  deployment.store->log_writes = true;
  // Channels that clients opened before the stop; an open channel stays with its node. Together
  // they stay under the store's 400 writing calls a second.
  constexpr int kClients = 80;
  constexpr std::int64_t kFirstMs = 3400;
  constexpr int kEveryUs = 2500;
  const std::string body =
      R"({"spec":"x","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":300}]})";
  std::vector<std::pair<std::string, Answered>> answers;
  std::mutex mutex;
  for (std::size_t round = 0; round < deployment.nodes.size(); ++round) {
    Node& node = *deployment.nodes[round];
    std::vector<std::unique_ptr<Channel>> channels;
    for (int i = 0; i < kClients; ++i) channels.push_back(std::make_unique<Channel>(node.front));
    const Steady::time_point begin = Steady::now();
    if (Trouble()) node.Signal(SIGTERM);
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([&, i] {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(0x1000 * (round + 1)) + i);
        std::this_thread::sleep_until(begin + std::chrono::milliseconds(kFirstMs) +
                                      std::chrono::microseconds(i * kEveryUs));
        deployment.record.Line("client: sends POST " + std::string(id) + " to " + node.name);
        const Answered answered = channels[i]->Call("POST", "/jobs/" + std::string(id), body);
        deployment.record.Line("client: POST " + std::string(id) + " -> " +
                               std::to_string(answered.status) + " " + answered.body);
        const std::lock_guard<std::mutex> lock(mutex);
        answers.emplace_back(id, answered);
      });
    }
    for (std::thread& client : clients) client.join();
    if (Trouble()) {
      if (!node.Ended(6000)) deployment.Exit(2, "a process did not end within graceS");
      SleepMs(1300);
      node.Start();
      WaitFor(10000, [&] { return node.Ready(); });
    }
  }
  SleepMs(10000);
  int accepted = 0;
  int refused = 0;
  int refused_and_run = 0;
  for (const auto& [id, answered] : answers) {
    accepted += answered.status == 200 ? 1 : 0;
    if (answered.status != 503 && answered.status != 429) continue;
    refused++;
    for (const Run& run : deployment.runs.Of(id + ".0.0.0")) {
      refused_and_run++;
      deployment.record.Line("REFUSED: " + run.task + " began on " + run.worker +
                             "; its only attempt was answered " +
                             std::to_string(answered.status) + ": not accepted, never runs");
    }
  }
  const std::string counts = std::to_string(accepted) + " accepted, " + std::to_string(refused) +
                             " refused, " + std::to_string(refused_and_run) + " refused and run";
  if (accepted == 0) deployment.Exit(2, "no submission was accepted");
  deployment.Exit(refused_and_run > 0 ? 1 : 0,
                  (refused_and_run > 0 ? "REFUSED broken: " : "held: ") + counts);
}
