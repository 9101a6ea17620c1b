// Two zones with a cell each. Tasks that need much memory fill both from time to time; small submissions that come then wait, and the
// owners move them to the other cell and back. Answers of the store are lost meanwhile. Each accepted submission must run.
#include "lab.hpp"

int main(int argc, char** argv) {
  using namespace lab;
  constexpr int kHosts = 4;
  constexpr int kWorkers = 126;  // above 120, each zone has a cell of its own
  constexpr double kTrafficSeconds = 70.0;
  constexpr double kLostShare = 0.35;  // x of `platform_lost` in the site files
  constexpr long kCycleMillis = 5200;
  Installation site(Argument(argc, argv, 1), Argument(argc, argv, 2), kHosts, kWorkers, {"waikato", "manawatu"});
  std::atomic<bool> lossy{false};
  std::mutex mutex;
  std::mt19937 random(std::random_device{}());
  std::map<bool, int> writes;
  site.store.treat = [&](int, const std::string& path, const Json&) -> Treatment {
    if (!lossy || path != "/v1/kv-txn") {
      return {};
    }
    const std::lock_guard<std::mutex> lock(mutex);
    const bool lost = std::uniform_real_distribution<>(0.0, 1.0)(random) < kLostShare;
    writes[lost]++;
    return lost ? Treatment{Treatment::kDoneUnanswered, {}} : Treatment{};
  };
  if (!site.StartHosts()) {
    site.record.Line("the installation did not start");
    return 2;
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const double begin = site.record.Now();

  std::map<std::string, std::string> accepted;
  std::atomic<std::uint64_t> next_id{1};
  std::list<std::thread> clients;
  const auto submit = [&](int host, const std::string& queue, int tasks, int cpu, int memory, long work_ms) {
    const std::string path = queue + Installation::IdOf(next_id++);
    const Json step = {{"count", tasks}, {"cpu", cpu}, {"memMb", memory}, {"estimateMs", work_ms}};
    const std::string body = Json{{"spec", "ms=" + std::to_string(work_ms)}, {"steps", Json::array({step})}}.dump();
    for (int attempt = 0; attempt < 5; ++attempt) {
      // Each attempt goes to another host of the zone.
      const ClientAnswer answer = site.clients.Call("POST", site.hosts[(host + 2 * attempt) % kHosts]->front, path, body);
      if (answer.status == 200) {
        const std::lock_guard<std::mutex> lock(mutex);
        accepted[path.substr(path.rfind('/') + 1)] = path;
        return;
      }
      std::this_thread::sleep_for(Millis(1000));
    }
  };
  while (site.record.Now() < begin + kTrafficSeconds) {
    const auto start = Clock::now();
    lossy = Trouble();  // for 4.5 s of each cycle, as in the site files
    // A task for each worker, with all of its memory.
    for (int host = 0; host < kHosts; ++host) {
      for (int i = 0; i < 4; ++i) {
        clients.emplace_back(submit, host, "/audit/", 8, 1000, 64000, 3500);
      }
    }
    std::this_thread::sleep_until(start + Millis(400));
    for (int host = 0; host < kHosts; ++host) {
      for (int i = 0; i < 10; ++i) {
        clients.emplace_back(submit, host, "/check/", 2, 500, 500, 300);
      }
    }
    std::this_thread::sleep_until(start + Millis(4500));
    lossy = false;
    std::this_thread::sleep_until(start + Millis(kCycleMillis));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  site.record.Line("traffic: over");
  std::this_thread::sleep_for(std::chrono::seconds(14));  // finish_s
  std::this_thread::sleep_for(std::chrono::seconds(4));   // nothing else runs, and nothing is disturbed

  std::map<std::string, int> runs;
  for (const RunEvent& event : site.journal.Events()) {
    runs[event.task.substr(0, 16)]++;
  }
  int lost = 0;
  std::map<std::string, int> states;
  for (const auto& [id, path] : accepted) {
    const std::string state = StateOf(site.clients.Call("GET", site.hosts[0]->front, path, "", 3000, false));
    states[state.empty() ? "no answer" : state]++;
    if (state != "completed") {
      lost++;
      site.record.Line("RULE LOST: " + path + " was accepted and is shown as " + (state.empty() ? "nothing" : state) + "; its tasks began " +
                       std::to_string(runs[id]) + " runs; all workers are idle");
    }
  }
  std::string summary = "summary: accepted " + std::to_string(accepted.size()) + ", writes answered " + std::to_string(writes[false]) +
                        ", done and not answered " + std::to_string(writes[true]);
  for (const auto& [state, count] : states) {
    summary += ", " + state + " " + std::to_string(count);
  }
  site.record.Line(summary + ", lost " + std::to_string(lost));
  std::printf("%s, lost %d\n", summary.c_str(), lost);
  return accepted.size() < 100 ? 2 : lost > 0 ? 1 : 0;
}
