// Workers are cut off, end a task behind the cut, crash there and start again; see review/12/claim.txt.
#include "common.hpp"

using namespace lab;

namespace {
constexpr int kAttempts = 4;
constexpr int kCuts = 2;
}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  Rec().Open(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  Setup s(argv[1], argv[2], 14);
  s.AddRoute("r-1", "/lohu930/", 0, kAttempts);
  if (!s.Begin(3, 8)) {
    End(&s, 2);
  }
  Job& job = s.NewJob("/lohu930/", {{"spec", "text"}, {"steps", {{{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 700}}}}}, kAttempts);
  const std::string task = job.id + ".0.0.0";
  std::atomic<int> cuts{0};
  std::atomic<int> crashes_under_it{0};
  // The worker that has begun the task is cut off 0.3 s later. The task ends there as done. Then the worker crashes and
  // starts again, still behind the cut, which ends 4 s after it began.
  s.world->on_start = [&](Worker* w, const std::string& started) {
    if (!trouble || started != task || cuts >= kCuts) {
      return;
    }
    ++cuts;
    std::thread([&, w] {
      Sleep(300);
      {
        const std::lock_guard<std::recursive_mutex> lock(s.world->mutex);
        w->cut = true;
        Rec().Line("worker " + w->name + " is cut off");
      }
      Sleep(1200);
      {
        const std::lock_guard<std::recursive_mutex> lock(s.world->mutex);
        crashes_under_it += static_cast<int>(w->running.count(task));
      }
      s.world->Crash(w);
      Sleep(500);
      s.world->Boot(w, true, 5000);
      Sleep(2000);
      const std::lock_guard<std::recursive_mutex> lock(s.world->mutex);
      w->cut = false;
      Rec().Line("the cut of " + w->name + " ends");
      s.world->Report(w);
    }).detach();
  };
  if (!s.HandIn(&job, 1)) {
    End(&s, 2);
  }
  std::string state;
  const std::int64_t until = NowMs() + 60000;
  while (NowMs() < until && state != "completed" && state != "failed" && state != "cancelled") {
    Sleep(500);
    s.Send(job, "GET", 2, &state);
  }
  const int failed = s.world->ended_failed[task];
  const std::string text = job.id + " is shown as '" + state + "' after " + std::to_string(failed) + " ends as failed; " +
                           std::to_string(crashes_under_it.load()) + " workers have crashed under its task";
  Rec().Line(text);
  if (state == "failed" && failed < kAttempts && crashes_under_it < 2) {
    Rec().Break("LOST", text);
  } else if (state != "completed") {
    Rec().Break("LOST", text + ", at the end");
  }
  Sleep(5000);
  End(&s, Result());
}
