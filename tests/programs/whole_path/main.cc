#include <gflags/gflags.h>

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "pistachio/connection/codec.h"
#include "pistachio/connection/platform.h"
#include "pistachio/process/runtime.h"

DEFINE_string(callers, "", "callers' ports of the entry hosts, separated by commas");
DEFINE_string(targets, "", "addresses of the targets, separated by commas");
DEFINE_string(platform, "", "address of the platform's stand-in");
DEFINE_string(service, "alarm-check", "service that the requests are for");
DEFINE_int32(requests, 1200, "how many requests are sent in all");
DEFINE_int32(rate, 100, "requests a second, whether answers come or not");
DEFINE_int32(tasks, 50, "how many tasks of the batch job have to finish");
DEFINE_string(job, "nightly-log", "the batch job");
DEFINE_int32(wait_s, 40, "how long to wait for the batch job, in seconds");

namespace {

using pistachio::HttpCall;
using pistachio::HttpClient;
using pistachio::HttpFailure;
using pistachio::HttpResult;
using pistachio::WireJson;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

/// What callers were told, counted by outcome.
struct Told {
  std::map<std::string, int> outcomes;
  std::set<std::string> answered_ids;
  int wrong_answers = 0;
  int outstanding = 0;
};

/// Sends requests to the entry hosts in turn, as the platform's balancer does.
class Callers {
 public:
  explicit Callers(std::vector<std::string> hosts) : hosts(std::move(hosts)) {}

  Told Run(int count, int rate) {
    const pistachio::Clock clock = pistachio::BootClock{};
    const pistachio::TimePoint start = Now(clock);
    std::unique_lock<std::mutex> lock(this->mutex);
    for (int i = 0; i < count; ++i) {
      const auto due = start + std::chrono::microseconds(1000000) * i / rate;
      while (Now(clock) < due) {
        this->changed.wait_for(lock, due - Now(clock));
      }
      this->told.outstanding++;
      lock.unlock();
      this->Send(i, 0);
      lock.lock();
    }
    this->changed.wait(lock, [this] { return this->told.outstanding == 0; });
    return this->told;
  }

 private:
  void Send(int number, std::size_t tries) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->hosts[(number + tries) % this->hosts.size()] + "/v1/services/" +
               FLAGS_service + "/requests";
    call.body = "reading " + std::to_string(number);
    // Every second request is a callout, which must never run twice.
    const bool idempotent = number % 2 == 0;
    call.headers = {{"X-Timeout-Ms", "2000"},
                    {"X-Idempotent", idempotent ? "true" : "false"},
                    {"X-Caller", "caller-" + std::to_string(number % 3)}};
    call.timeout = std::chrono::seconds(5);
    call.send_once = true;
    this->client.Send(call, [this, number, tries](const HttpResult& result) {
      this->TakeResult(number, tries, result);
    });
  }

  void TakeResult(int number, std::size_t tries, const HttpResult& result) {
    if (result.failure == HttpFailure::kNotSent && tries + 1 < this->hosts.size()) {
      this->Send(number, tries + 1);
      return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->told.outcomes[this->OutcomeOf(number, result)]++;
    this->told.outstanding--;
    this->changed.notify_all();
  }

  std::string OutcomeOf(int number, const HttpResult& result) {
    if (!result.answered()) {
      return result.failure == HttpFailure::kNotSent ? "no entry host" : "connection broken";
    }
    const auto json = pistachio::ReadJson(result.body);
    if (!json || !json->is_object()) {
      this->told.wrong_answers++;
      return "malformed";
    }
    if (!json->contains("echo")) {
      return json->value("outcome", "refused") + " (" + json->value("reason", "") + ")";
    }
    const bool own = json->at("echo") == "reading " + std::to_string(number);
    this->told.wrong_answers += own ? 0 : 1;
    this->told.answered_ids.insert(json->value("id", ""));
    return "answered";
  }

  std::vector<std::string> hosts;
  std::mutex mutex;
  std::condition_variable changed;
  Told told;
  HttpClient client;
};

/// What truly happened, by the stand-ins' own counts.
struct Truth {
  int runs = 0;
  int callouts_run_twice = 0;
  int over_slots = 0;
  int over_commitments = 0;
  int starts = 0;
  int overlapping = 0;
  std::map<std::string, int> finishes;
};

struct Interval {
  std::int64_t begin = 0;
  std::int64_t end = 0;
};

void ReadTarget(const WireJson& counts, std::map<std::string, int>& runs,
                std::map<std::string, std::vector<Interval>>& intervals, Truth& truth) {
  for (const auto& [id, count] : counts.at("runs_by_id").items()) {
    truth.runs += count.get<int>();
  }
  for (const auto& [body, count] : counts.at("non_idempotent_runs").items()) {
    runs[body] += count.get<int>();
  }
  const bool over = counts.at("most_slots_in_use") > counts.at("slots");
  truth.over_slots += over ? 1 : 0;
  truth.over_commitments += counts.at("over_commitments").get<int>();
  const int finished = static_cast<int>(pistachio::TargetTaskState::kFinished);
  for (const WireJson& row : counts.at("intervals")) {
    const auto task = row.at("task").get<std::string>();
    const std::int64_t begin = row.at("begin_us").get<std::int64_t>();
    const bool ended = row.at("ended").get<bool>();
    const std::int64_t end = ended ? row.at("end_us").get<std::int64_t>() : INT64_MAX;
    intervals[task].push_back(Interval{begin, end});
    truth.starts++;
    truth.finishes[task] += ended && row.at("state") == finished ? 1 : 0;
  }
}

int CountOverlaps(const std::map<std::string, std::vector<Interval>>& intervals) {
  int overlaps = 0;
  for (const auto& [task, list] : intervals) {
    for (std::size_t a = 0; a < list.size(); ++a) {
      for (std::size_t b = a + 1; b < list.size(); ++b) {
        overlaps += list[a].begin < list[b].end && list[b].begin < list[a].end ? 1 : 0;
      }
    }
  }
  return overlaps;
}

Truth ReadTruth(HttpClient& client, const std::vector<std::string>& targets) {
  Truth truth;
  std::map<std::string, int> runs;
  std::map<std::string, std::vector<Interval>> intervals;
  for (const std::string& target : targets) {
    HttpCall call;
    call.url = "http://" + target + "/counts";
    const HttpResult result = client.SendAndWait(call);
    const auto counts = pistachio::ReadJson(result.body);
    if (counts) {
      ReadTarget(*counts, runs, intervals, truth);
    }
  }
  for (const auto& [id, count] : runs) {
    truth.callouts_run_twice += count > 1 ? 1 : 0;
  }
  truth.overlapping = CountOverlaps(intervals);
  return truth;
}

int FinishedTasks(const Truth& truth) {
  int finished = 0;
  for (const auto& [task, count] : truth.finishes) {
    finished += task.rfind(FLAGS_job + "/", 0) == 0 && count > 0 ? 1 : 0;
  }
  return finished;
}

int FinishedTwice(const Truth& truth) {
  int twice = 0;
  for (const auto& [task, count] : truth.finishes) {
    twice += count > 1 ? 1 : 0;
  }
  return twice;
}

Truth WaitForJob(HttpClient& client, const std::vector<std::string>& targets) {
  const pistachio::Clock clock = pistachio::BootClock{};
  const pistachio::TimePoint give_up = Now(clock) + std::chrono::seconds(FLAGS_wait_s);
  std::mutex mutex;
  std::condition_variable never;
  std::unique_lock<std::mutex> lock(mutex);
  Truth truth = ReadTruth(client, targets);
  while (FinishedTasks(truth) < FLAGS_tasks && Now(clock) < give_up) {
    never.wait_for(lock, std::chrono::milliseconds(500));
    truth = ReadTruth(client, targets);
  }
  return truth;
}

/// Prints one line and tells whether it is as it has to be.
bool Check(const std::string& what, int found, int wanted) {
  std::cout << (found == wanted ? "  ok     " : "  WRONG  ") << what << ": " << found;
  if (found != wanted) {
    std::cout << " (has to be " << wanted << ")";
  }
  std::cout << "\n";
  return found == wanted;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("sends requests and checks what ran by the stand-ins' own counts");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Callers callers(Split(FLAGS_callers));
  const Told told = callers.Run(FLAGS_requests, FLAGS_rate);
  HttpClient client;
  const Truth truth = WaitForJob(client, Split(FLAGS_targets));
  std::cout << "What callers were told about " << FLAGS_requests << " requests:\n";
  for (const auto& [outcome, count] : told.outcomes) {
    std::cout << "  " << count << " " << outcome << "\n";
  }
  std::cout << "What the targets counted: " << truth.runs << " runs of requests, " << truth.starts
            << " starts of tasks\n";
  const auto answered = told.outcomes.find("answered");
  const int answers = answered == told.outcomes.end() ? 0 : answered->second;
  bool good = Check("answers that were not the caller's own", told.wrong_answers, 0);
  good &= Check("answers without a run of their own",
                answers - static_cast<int>(told.answered_ids.size()), 0);
  good &= Check("tasks of the batch job that finished", FinishedTasks(truth), FLAGS_tasks);
  good &= Check("tasks that finished twice", FinishedTwice(truth), 0);
  good &= Check("tasks that ran in two places at once", truth.overlapping, 0);
  good &= Check("targets committed beyond what they have", truth.over_commitments, 0);
  good &= Check("targets with more requests than slots", truth.over_slots, 0);
  good &= Check("callouts that ran twice", truth.callouts_run_twice, 0);
  return good ? 0 : 1;
}
