// A start without an answer is carried out late, in the next life of its worker under the same id; see review/11/claim.txt.
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
  if (!s.Begin(3, 8)) {
    End(&s, 2);
  }
  Job& job = s.NewJob("/lohu930/", {{"spec", "text"}, {"steps", {{{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 12000}}}}}, 4);
  // The worker that gets the first start leaves the starts of the task unanswered and carries them out 2 to 12 s later.
  Worker* first = nullptr;
  std::int64_t first_at = 0;
  s.world->late_by = [&](Worker* w, const std::string& path, const Json& body) -> std::int64_t {
    if (!trouble || path != "/v1/run-start" || body["task"] != job.id + ".0.0.0" || body["run"] != 1) {
      return 0;
    }
    if (first == nullptr) {
      first = w;
      first_at = NowMs();
    }
    Rec().Line("start of run 1 gets no answer on " + w->name);
    return 7500 - (NowMs() - first_at);
  };
  if (!s.HandIn(&job, 1)) {
    End(&s, 2);
  }
  if (trouble) {
    const std::int64_t until = NowMs() + 5000;
    while (first_at == 0 && NowMs() < until) {
      Sleep(10);
    }
    if (first_at == 0) {
      End(&s, 2);
    }
    Sleep(6500 - (NowMs() - first_at));
    s.world->Crash(first);
    Sleep(7300 - (NowMs() - first_at));
    s.world->Boot(first, false, 800);
  }
  std::string state;
  const std::int64_t until = NowMs() + 30000;
  while (NowMs() < until && state != "completed") {
    Sleep(1000);
    s.Send(job, "GET", 2, &state);
  }
  if (state != "completed") {
    Rec().Break("LOST", job.id + " isn't completed");
  }
  Sleep(2000);
  End(&s, Result());
}
