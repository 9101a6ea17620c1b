// Two workers crash and return; then the one that runs a task that lasts is lost for good. See review/13/claim.txt.
#include "common.hpp"

using namespace lab;

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  Rec().Open(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  Setup s(argv[1], argv[2], 13);
  s.AddRoute("r-1", "/lohu930/", 0, 4);
  // Sixteen workers; w0 and w1 are the rack that the task needs.
  s.rack_of = [](int worker) { return "r1-" + std::to_string(worker / 2); };
  if (!s.Begin(3, 16)) {
    End(&s, 2);
  }
  constexpr int kTasks = 4;
  Job& job = s.NewJob("/lohu930/", {{"spec", "watch"}, {"steps", {{{"count", kTasks}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 400}, {"longRunning", true}, {"requirements", "r1-0"}}}}}, 4);
  const auto running_on = [&](Worker* w) {
    const std::lock_guard<std::recursive_mutex> lock(s.world->mutex);
    std::set<std::string> tasks;
    for (const auto& [task, run] : w->running) {
      tasks.insert(task);
    }
    return tasks;
  };
  Worker* w0 = s.world->workers[0].get();
  Worker* w1 = s.world->workers[1].get();
  const auto await_all = [&](std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    while (running_on(w0).size() + running_on(w1).size() < kTasks && NowMs() < until) {
      Sleep(10);
    }
    return running_on(w0).size() + running_on(w1).size() == kTasks;
  };
  if (!s.HandIn(&job, 1) || !await_all(5000)) {
    End(&s, 2);
  }
  Sleep(6000);
  if (trouble) {
    // Both crash and return under their ids, 1 s later.
    s.world->Crash(w0);
    s.world->Crash(w1);
    Sleep(1000);
    s.world->Boot(w0, false);
    s.world->Boot(w1, false);
    const std::int64_t back = NowMs();
    if (!await_all(30000)) {
      Rec().Break("LOST", "a task has had no run for 30 s after the return of its workers");
      End(&s, Result());
    }
    Rec().Line("all run again " + std::to_string(NowMs() - back) + " ms after the return");
    Sleep(3000);
    // The one with more tasks is lost for good.
    Worker* lost = running_on(w0).size() >= running_on(w1).size() ? w0 : w1;
    Worker* sound = lost == w0 ? w1 : w0;
    const std::set<std::string> tasks = running_on(lost);
    const std::int64_t at = NowMs();
    s.world->Crash(lost);
    for (const std::string& task : tasks) {
      while (running_on(sound).count(task) == 0 && NowMs() < at + 40000) {
        Sleep(10);
      }
      const std::int64_t gap = NowMs() - at;
      Rec().Line(task + " had no run for " + std::to_string(gap) + " ms");
      if (gap > 9000) {
        Rec().Break("LOST", task + ", which is to last, had no run for " + std::to_string(gap) + " ms, with room on a sound worker");
      }
    }
  } else {
    Sleep(10000);
    if (!await_all(1)) {
      Rec().Break("LOST", "a task doesn't run");
    }
  }
  End(&s, Result());
}
