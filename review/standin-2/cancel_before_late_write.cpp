// Callers whose submission got no decision in time leave and cancel it. The store carries out some writes seconds late. A submission
// whose cancelling was acknowledged must not run on.
#include "lab.hpp"

int main(int argc, char** argv) {
  using namespace lab;
  constexpr int kHosts = 3;
  constexpr double kCancelSeconds = 3.0;       // bounds.cancel_ms
  constexpr double kStopSeconds = 0.9;         // bounds.stopTimeoutMs
  constexpr double kTouchSeconds = 3.0;        // bounds.stableWindowMs
  constexpr double kTroubleSeconds = 4.5;      // for_s of `platform_lost` in the site file
  constexpr double kPauseSeconds = 6.0;        // between two such times
  constexpr double kLostShare = 0.35;          // its x
  constexpr int kClients = 60;
  Installation site(Argument(argc, argv, 1), Argument(argc, argv, 2), kHosts, 12);
  std::atomic<bool> lossy{false};
  std::mutex mutex;
  std::mt19937 random(11);
  site.store.treat = [&](int, const std::string& path, const Json&) -> Treatment {
    if (!lossy || path != "/v1/kv-txn") {
      return {};
    }
    const std::lock_guard<std::mutex> lock(mutex);
    if (std::uniform_real_distribution<>(0.0, 1.0)(random) >= kLostShare) {
      return {};
    }
    return {Treatment::kLate, Millis(std::uniform_int_distribution<long>(1000, 6000)(random))};
  };
  if (!site.StartHosts()) {
    site.record.Line("the installation did not start");
    return 2;
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));

  struct Cancel {
    double acked_at;
    int status;
    int submit_status;
  };
  std::map<std::string, Cancel> cancels;
  const double begin = site.record.Now();
  const double traffic_end = begin + 2 * kTroubleSeconds + kPauseSeconds;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      std::mt19937 own(500 + client);
      std::uint64_t number = 1000 * client + 7;
      std::this_thread::sleep_for(Millis(own() % 500));
      while (site.record.Now() < traffic_end) {
        const std::string id = Installation::IdOf(number++);
        const std::string path = "/watch/" + id;
        const ClientAnswer submitted = site.clients.Call("POST", site.hosts[own() % kHosts]->front, path,
                                                         Installation::Submission("lasts", 1, 200, 400, true));
        // Every caller leaves right after the answer, and cancels what it sent until that is acknowledged.
        for (int attempt = 0; attempt < 5; ++attempt) {
          const ClientAnswer cancelled = site.clients.Call("DELETE", site.hosts[own() % kHosts]->front, path);
          if (cancelled.status / 100 == 2 || cancelled.status == 410) {
            const std::lock_guard<std::mutex> lock(mutex);
            cancels[id] = {site.record.Now(), cancelled.status, submitted.status};
            break;
          }
          std::this_thread::sleep_for(Millis(300));
        }
        std::this_thread::sleep_for(Millis(150 + own() % 200));
      }
    });
  }
  const auto wait = [](double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); };
  for (int time = 0; time < 2; ++time) {
    wait(time == 0 ? 0.0 : kPauseSeconds);
    if (Trouble()) {
      site.record.Line("trouble: 35 of 100 writes get no answer and are carried out 1 to 6 s late");
      lossy = true;
    }
    wait(kTroubleSeconds);
    lossy = false;
    site.record.Line("trouble: over");
  }
  const double calm = site.record.Now();
  for (std::thread& client : clients) {
    client.join();
  }
  std::this_thread::sleep_for(std::chrono::seconds(20));
  const double end = site.record.Now();

  // Time at work of each task after its cancelling had to take effect, with the store calm for `stableWindowMs`.
  int wrong = 0;
  std::map<std::string, double> began;
  std::map<std::string, double> ended;
  for (const RunEvent& event : site.journal.Events()) {
    (event.what == "start" ? began : ended)[event.task] = event.at;
  }
  std::map<std::string, int> answers;
  for (const auto& [id, cancel] : cancels) {
    answers[std::to_string(cancel.submit_status) + " then " + std::to_string(cancel.status)]++;
    const std::string task = id + ".0.0.0";
    if (began.count(task) == 0) {
      continue;
    }
    const double until = ended.count(task) != 0 && ended[task] > began[task] ? ended[task] : end;
    const double must_be_gone = std::max({cancel.acked_at + kCancelSeconds + kStopSeconds, calm + kTouchSeconds + kCancelSeconds + kStopSeconds,
                                          began[task] + kTouchSeconds});
    if (until > must_be_gone + 1.0) {
      wrong++;
      char text[200];
      std::snprintf(text, sizeof text, "RULE UNASKED: %s: submitted (%d), cancelled (%d) at %.1f s, began at %.1f s, at work until %.1f s%s",
                    id.c_str(), cancel.submit_status, cancel.status, cancel.acked_at, began[task], until, until == end ? " and on" : "");
      site.record.Line(text);
    }
  }
  std::string summary = "summary: cancels acknowledged " + std::to_string(cancels.size());
  for (const auto& [kind, count] : answers) {
    summary += ", " + kind + ": " + std::to_string(count);
  }
  summary += ", running on after that " + std::to_string(wrong);
  site.record.Line(summary);
  std::printf("%s\n", summary.c_str());
  return cancels.size() < 50 ? 2 : wrong > 0 ? 1 : 0;
}
