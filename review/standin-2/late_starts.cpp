// Some orders get no answer and are carried out late, and workers crash and are back under their ids. A task whose end as done has been
// acknowledged must not start again, and no task may have two runs at once.
#include "lab.hpp"

int main(int argc, char** argv) {
  using namespace lab;
  constexpr int kHosts = 3;
  constexpr int kWorkers = 24;
  constexpr double kTrafficSeconds = 60.0;
  constexpr double kLateShare = 0.2;
  Installation site(Argument(argc, argv, 1), Argument(argc, argv, 2), kHosts, kWorkers);
  if (!site.StartHosts()) {
    site.record.Line("the installation did not start");
    return 2;
  }
  const double begin = site.record.Now();
  const auto left = [&] { return begin + kTrafficSeconds - site.record.Now(); };
  std::thread trouble([&] {
    std::mt19937 random(7);
    int down = -1;
    auto next = Clock::now() + Millis(3000);
    auto up_at = next;
    while (left() > 0 || down >= 0) {
      std::this_thread::sleep_for(Millis(10));
      if (Trouble()) {
        // 5.5 s of each 8 s, as long as in the site file.
        Worker::late_share = left() > 0 && static_cast<long>((site.record.Now() - begin) * 10) % 80 < 55 ? kLateShare : 0.0;
      }
      if (down >= 0 && Clock::now() >= up_at) {
        site.record.Line("trouble: worker " + std::to_string(down) + " is back under its id");
        site.workers[down]->Boot(/*same_id=*/true);
        down = -1;
      }
      if (Trouble() && left() > 0 && down < 0 && Clock::now() >= next) {
        down = static_cast<int>(random() % kWorkers);
        site.record.Line("trouble: worker " + std::to_string(down) + " crashes");
        site.workers[down]->Crash();
        up_at = Clock::now() + Millis(400);
        next = Clock::now() + Millis(600);
      }
    }
  });
  std::mutex mutex;
  int accepted = 0;
  std::vector<std::thread> clients;
  for (int client = 0; client < 10; ++client) {
    clients.emplace_back([&, client] {
      std::mt19937 random(300 + client);
      std::uint64_t number = client * 10000 + 1;
      while (left() > 0) {
        const std::string path = "/check/" + Installation::IdOf(number++);
        for (int attempt = 0; attempt < 5; ++attempt) {
          if (site.clients.Call("POST", site.hosts[random() % kHosts]->front, path, Installation::Submission("ms=300", 8, 1000, 300)).status == 200) {
            const std::lock_guard<std::mutex> lock(mutex);
            accepted++;
            break;
          }
          std::this_thread::sleep_for(Millis(1000));
        }
        std::this_thread::sleep_for(Millis(600 + random() % 500));
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  trouble.join();
  std::this_thread::sleep_for(std::chrono::seconds(14));

  // A start after an end as done that has been acknowledged by then, or two runs at once on workers that are up.
  int after_done = 0;
  int at_once = 0;
  std::map<std::string, RunEvent> noted;
  std::map<std::string, std::map<std::uint64_t, RunEvent>> open;
  for (const RunEvent& event : site.journal.Events()) {
    if (event.what == "noted done") {
      noted[event.task] = event;
    } else if (event.what == "start") {
      char text[240];
      if (noted.count(event.task) != 0) {
        after_done++;
        std::snprintf(text, sizeof text, "RULE TWICE: %s run %lu starts on %s at %.3f s; run %lu ended done, and that was acknowledged at %.3f s",
                      event.task.c_str(), static_cast<unsigned long>(event.run), event.worker.c_str(), event.at,
                      static_cast<unsigned long>(noted[event.task].run), noted[event.task].at);
        site.record.Line(text);
      }
      if (!open[event.task].empty()) {
        at_once++;
        const RunEvent& other = open[event.task].begin()->second;
        std::snprintf(text, sizeof text, "RULE TWICE: %s run %lu starts on %s at %.3f s; run %lu is at work on %s since %.3f s", event.task.c_str(),
                      static_cast<unsigned long>(event.run), event.worker.c_str(), event.at, static_cast<unsigned long>(other.run),
                      other.worker.c_str(), other.at);
        site.record.Line(text);
      }
      open[event.task][event.run] = event;
    } else if (event.what.rfind("noted", 0) != 0) {
      open[event.task].erase(event.run);
    }
  }
  const std::string summary = "summary: accepted " + std::to_string(accepted) + ", starts after an acknowledged end as done " +
                              std::to_string(after_done) + ", two runs at once " + std::to_string(at_once);
  site.record.Line(summary);
  std::printf("%s\n", summary.c_str());
  return accepted < 50 ? 2 : after_done + at_once > 0 ? 1 : 0;
}
