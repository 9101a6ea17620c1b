// Workers crash under two submissions whose tasks are sound; see review/12/claim.txt.
#include "common.hpp"

using namespace lab;

namespace {

constexpr int kAttempts = 4;
constexpr int kCrashes = 2;

/// Hands a submission in and crashes the worker that has begun its task, 1 s after the start. The worker is back 2 s
/// later as another one. That happens twice.
void Try(Setup* s, const char* name, const Json& step, bool trouble) {
  Job& job = s->NewJob("/lohu930/", {{"spec", name}, {"steps", {step}}}, kAttempts);
  const std::string task = job.id + ".0.0.0";
  const bool lasts = step.value("longRunning", false);
  auto crashes = std::make_shared<std::atomic<int>>(0);
  s->world->on_start = [s, task, trouble, crashes](Worker* w, const std::string& started) {
    if (!trouble || started != task || *crashes >= kCrashes) {
      return;
    }
    ++*crashes;
    std::thread([s, w] {
      Sleep(1000);
      s->world->Crash(w);
      Sleep(2000);
      s->world->Boot(w, true);
    }).detach();
  };
  if (!s->HandIn(&job, 1)) {
    End(s, 2);
  }
  std::string state;
  const std::int64_t until = NowMs() + (lasts ? 25000 : 40000);
  while (NowMs() < until && state != "completed" && state != "failed" && state != "cancelled") {
    Sleep(500);
    s->Send(job, "GET", 2, &state);
  }
  const int failed = s->world->ended_failed[task];
  const std::string text = std::string(name) + " " + job.id + " is shown as '" + state + "' after " +
                           std::to_string(failed) + " ends as failed and " + std::to_string(crashes->load()) +
                           " crashes of workers";
  Rec().Line(text);
  if (state == "failed" && (lasts || failed < kAttempts)) {
    Rec().Break("LOST", text);
  } else if (state != (lasts ? "running" : "completed")) {
    Rec().Break("LOST", text + " at the end");
  }
  Sleep(3000);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  Rec().Open(argv[3]);
  Setup s(argv[1], argv[2], 11);
  s.AddRoute("r-1", "/lohu930/", 0, kAttempts);
  if (!s.Begin(3, 8)) {
    End(&s, 2);
  }
  const bool trouble = std::string(argv[4]) != "0";
  Try(&s, "audit", {{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 4000}}, trouble);
  Try(&s, "watch", {{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 400}, {"longRunning", true}}, trouble);
  End(&s, Result());
}
