// Two clients of two queues use one ID; see review/14/claim.txt.
#include "common.hpp"

using namespace lab;

namespace {

/// Asks until the submission has ended or the time is over. \returns its last state
std::string Await(Setup* s, const Job& job, std::int64_t ms) {
  std::string state;
  const std::int64_t until = NowMs() + ms;
  while (NowMs() < until && state != "completed" && state != "failed" && state != "cancelled") {
    Sleep(300);
    s->Send(job, "GET", 2, &state);
  }
  return state;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  Rec().Open(argv[3]);
  const bool trouble = std::string(argv[4]) != "0";
  Setup s(argv[1], argv[2], 15);
  s.AddRoute("r-1", "/lohu930/", 0, 2);
  s.AddRoute("r-2", "/pufi791/", 2, 2);
  if (!s.Begin(3, 6)) {
    End(&s, 2);
  }
  const auto body = [](const char* spec, int ms) {
    return Json{{"spec", spec}, {"steps", {{{"count", 2}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", ms}}}}};
  };
  // The first client's work is done, then the second client hands in its own.
  Job& first = s.NewJob("/lohu930/", body("first", 500), 2);
  if (!s.HandIn(&first, 0) || Await(&s, first, 15000) != "completed") {
    End(&s, 2);
  }
  Job second = s.NewJob("/pufi791/", body("second", 500), 2);
  if (trouble) {
    second.id = first.id;
  }
  const std::uint64_t before = s.world->started;
  if (!s.HandIn(&second, 1)) {
    End(&s, 2);
  }
  const std::string state = Await(&s, second, 15000);
  Sleep(3000);
  if (state != "completed") {
    Rec().Break("LOST", "/pufi791/" + second.id + " is not completed but '" + state + "'");
  } else if (s.world->started == before) {
    Rec().Break("MIXED", "/pufi791/" + second.id + " was accepted and is shown as completed; no task of it was ever started");
  }
  // The first client's work is running; the second client asks for and cancels an ID that it has not handed in.
  Job& running = s.NewJob("/lohu930/", body("running", 12000), 2);
  if (!s.HandIn(&running, 0)) {
    End(&s, 2);
  }
  Sleep(1000);
  Job asked = running;
  asked.prefix = "/pufi791/";
  if (!trouble) {
    asked.id = RandomDigits(s.random);
  }
  std::string shown;
  if (s.Send(asked, "GET", 1, &shown) == 200) {
    Rec().Break("MIXED", "/pufi791/" + asked.id + ", which nobody submitted, is shown as '" + shown + "'");
  }
  s.Send(asked, "DELETE", 1);
  const std::string end = Await(&s, running, 20000);
  if (end != "completed") {
    Rec().Break("LOST", "/lohu930/" + running.id + ", which nobody has cancelled, is shown as '" + end + "'");
  }
  End(&s, Result());
}
