// Stand-ins of the users' platform for the cases of the second review: store, workers and clients in one process, on loopback
// addresses and the real clock. The hosts are started as separate processes with the command of the deploy file.
//
// The store and the workers follow PROTOCOL.md. The store listens on one port for each host, so that a case can treat the calls of
// one host apart. Only the HTTP server and client of the project are used; nothing of its decisions.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "pistachio/connection/http.h"

namespace lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using pistachio::ExchangeId;
using pistachio::HttpCall;
using pistachio::HttpClient;
using pistachio::HttpResult;
using pistachio::HttpServer;
using pistachio::HttpServerLimits;
using pistachio::ListenAddress;
using pistachio::ServedAnswer;
using pistachio::ServedRequest;

inline double Seconds(Clock::duration d) { return std::chrono::duration<double>(d).count(); }
inline Clock::duration Millis(long ms) { return std::chrono::milliseconds(ms); }
inline long UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// ---------------------------------------------------------------- record
class Record {
 public:
  explicit Record(const std::string& file) : out(file), start(Clock::now()) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", this->Now());
    this->out << time << text << "\n";
    this->out.flush();
  }
  double Now() const { return Seconds(Clock::now() - this->start); }

 private:
  std::mutex mutex;
  std::ofstream out;
  Clock::time_point start;
};

// ---------------------------------------------------------------- base64
inline std::string Base64(const std::string& bytes) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto byte = [&](std::size_t k) { return i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U; };
    const unsigned group = (byte(0) << 16U) | (byte(1) << 8U) | byte(2);
    text += kDigits[(group >> 18U) & 63U];
    text += kDigits[(group >> 12U) & 63U];
    text += i + 1 < bytes.size() ? kDigits[(group >> 6U) & 63U] : '=';
    text += i + 2 < bytes.size() ? kDigits[group & 63U] : '=';
  }
  return text;
}

inline ServedAnswer MakeAnswer(int status, const Json& body) {
  ServedAnswer answer;
  answer.status = status;
  answer.body = body.dump();
  return answer;
}

// ---------------------------------------------------------------- store
// What the store does with one call. kLate: carried out after `delay` if its condition still holds, no answer.
struct Treatment {
  enum Kind { kNormal, kRefuse, kIgnore, kDoneUnanswered, kLate } kind = kNormal;
  Clock::duration delay{};
};

class Store {
 public:
  // Called for each call of a host but watches; `body` is null for reads.
  std::function<Treatment(int host, const std::string& path, const Json& body)> treat;

  explicit Store(int hosts) {
    for (int host = 0; host < hosts; ++host) {
      HttpServerLimits limits;
      limits.threads = 1;
      this->servers.push_back(std::make_unique<HttpServer>(
          limits, [this, host](const ServedRequest& request) { this->OnRequest(host, request); }));
      this->addresses.push_back(this->servers.back()->Listen(ListenAddress{}).value().str());
    }
    this->ticker = std::thread([this] { this->Run(); });
  }
  ~Store() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->stopping = true;
    }
    this->ticker.join();
    for (auto& server : this->servers) {
      server->Stop();
    }
  }
  const std::string& AddressFor(int host) const { return this->addresses.at(host); }

  // A write of the operator or of a worker.
  std::uint64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->revision++;
    this->SetItem(key, Base64(value), 0);
    this->WakeWatches();
    return this->revision;
  }
  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->revision++;
    this->RemoveItem(key);
    this->WakeWatches();
  }
  bool Has(const std::string& key) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->items.count(key) != 0;
  }
  std::vector<std::string> KeysWith(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (key.compare(0, prefix.size(), prefix) == 0) {
        keys.push_back(key);
      }
    }
    return keys;
  }

 private:
  struct Item {
    std::string value;  // base64
    std::uint64_t rev = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    Item item;
    bool removed = false;
  };
  struct Lease {
    Clock::duration ttl;
    Clock::time_point ends;
  };
  struct Watch {
    HttpServer* server;
    ExchangeId exchange;
    std::string prefix;
    std::uint64_t after;
    Clock::time_point ends;
  };
  struct LateCall {
    Clock::time_point due;
    Json body;
  };

  static Json ToJson(const std::string& key, const Item& item) {
    return {{"key", key}, {"value", item.value}, {"rev", item.rev}, {"created", item.created}, {"lease", item.lease}};
  }
  void SetItem(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& item = this->items[key];
    item.value = value;
    item.created = item.rev == 0 ? this->revision : item.created;
    item.rev = this->revision;
    item.lease = lease;
    this->history.push_back({key, item, false});
  }
  void RemoveItem(const std::string& key) {
    const auto found = this->items.find(key);
    if (found != this->items.end()) {
      Item item = found->second;
      item.rev = this->revision;
      this->items.erase(found);
      this->history.push_back({key, item, true});
    }
  }
  ServedAnswer Transact(const Json& body) {
    Json found_items = Json::array();
    bool holds = true;
    for (const Json& row : body.at("precondition")) {
      const std::string key = row.at("key");
      const auto found = this->items.find(key);
      const std::uint64_t rev = found == this->items.end() ? 0 : found->second.rev;
      holds = holds && rev == row.at("rev").get<std::uint64_t>();
      if (found != this->items.end()) {
        found_items.push_back(ToJson(key, found->second));
      }
    }
    if (!holds) {
      return MakeAnswer(412, {{"items", found_items}});
    }
    for (const Json& row : body.at("puts")) {
      const std::uint64_t lease = row.value("lease", std::uint64_t{0});
      if (lease != 0 && this->leases.count(lease) == 0) {
        return MakeAnswer(404, Json::object());
      }
    }
    this->revision++;
    for (const Json& row : body.at("puts")) {
      this->SetItem(row.at("key"), row.at("value"), row.value("lease", std::uint64_t{0}));
    }
    for (const Json& key : body.at("remove")) {
      this->RemoveItem(key);
    }
    this->WakeWatches();
    return MakeAnswer(200, {{"rev", this->revision}});
  }
  void EndLease(std::uint64_t lease) {
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      this->revision++;
      for (const std::string& key : keys) {
        this->RemoveItem(key);
      }
      this->WakeWatches();
    }
  }
  // Answers a watch if there are events for it.
  bool TryWatch(const Watch& watch, bool over) {
    constexpr std::size_t kMaxEvents = 500;
    Json events = Json::array();
    std::uint64_t last = this->revision;
    const auto first = std::upper_bound(this->history.begin(), this->history.end(), watch.after,
                                        [](std::uint64_t rev, const Change& change) { return rev < change.item.rev; });
    for (auto change = first; change != this->history.end(); ++change) {
      if (events.size() >= kMaxEvents && change->item.rev != last) {
        break;
      }
      last = change->item.rev;
      if (change->key.compare(0, watch.prefix.size(), watch.prefix) != 0) {
        continue;
      }
      events.push_back(change->removed ? Json{{"key", change->key}, {"rev", change->item.rev}, {"removed", true}}
                                       : ToJson(change->key, change->item));
    }
    if (events.empty() && !over) {
      return false;
    }
    const std::uint64_t reached = events.size() >= kMaxEvents ? last : this->revision;
    watch.server->Answer(watch.exchange, MakeAnswer(200, {{"events", events}, {"storeRevision", reached}}));
    return true;
  }
  void WakeWatches() {
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
      watch = this->TryWatch(*watch, false) ? this->watches.erase(watch) : std::next(watch);
    }
  }
  void Run() {
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->stopping) {
        return;
      }
      const auto now = Clock::now();
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : this->leases) {
        if (now >= lease.ends) {
          ended.push_back(id);
        }
      }
      for (const std::uint64_t id : ended) {
        this->EndLease(id);
      }
      for (auto late = this->late_calls.begin(); late != this->late_calls.end();) {
        if (now >= late->due) {
          this->Transact(late->body);
          late = this->late_calls.erase(late);
        } else {
          ++late;
        }
      }
      for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        watch = now >= watch->ends && this->TryWatch(*watch, true) ? this->watches.erase(watch) : std::next(watch);
      }
    }
  }
  void OnRequest(int host, const ServedRequest& request) {
    HttpServer& server = *this->servers[host];
    const Json body = request.body.empty() ? Json() : Json::parse(request.body, nullptr, false);
    Treatment treatment;
    if (this->treat) {
      treatment = this->treat(host, request.path, body);
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto now = Clock::now();
    const std::string& path = request.path;
    if (treatment.kind == Treatment::kIgnore) {
      return;
    }
    if (treatment.kind == Treatment::kRefuse) {
      server.Answer(request.exchange, MakeAnswer(503, Json::object()));
      return;
    }
    if (treatment.kind == Treatment::kLate && path == "/v1/kv-txn") {
      this->late_calls.push_back({now + treatment.delay, body});
      return;
    }
    const auto answer = [&](int status, const Json& json) {
      if (treatment.kind == Treatment::kNormal) {
        server.Answer(request.exchange, MakeAnswer(status, json));
      }
    };
    const std::string last = path.substr(path.rfind('/') + 1);
    if (path == "/v1/kv-key") {
      const std::string key = request.Query("key");
      const auto found = this->items.find(key);
      if (found == this->items.end()) {
        answer(404, {{"storeRevision", this->revision}});
      } else {
        Json item = ToJson(key, found->second);
        item["storeRevision"] = this->revision;
        answer(200, item);
      }
    } else if (path == "/v1/kv-range") {
      const std::string prefix = request.Query("prefix");
      const std::string after = request.Query("after");
      Json list = Json::array();
      bool truncated = false;
      for (auto item = this->items.lower_bound(std::max(prefix, after));
           item != this->items.end() && item->first.compare(0, prefix.size(), prefix) == 0; ++item) {
        if (item->first <= after) {
          continue;
        }
        if (list.size() == 500) {
          truncated = true;
          break;
        }
        list.push_back(ToJson(item->first, item->second));
      }
      answer(200, {{"items", list}, {"truncated", truncated}, {"storeRevision", this->revision}});
    } else if (path == "/v1/kv-watch") {
      const Watch watch{&server, request.exchange, request.Query("prefix"), std::stoull(request.Query("after")),
                        now + Millis(std::stol(request.Query("waitMs")))};
      if (!this->TryWatch(watch, false)) {
        this->watches.push_back(watch);
      }
    } else if (path == "/v1/kv-txn") {
      const ServedAnswer result = this->Transact(body);
      if (treatment.kind == Treatment::kNormal) {
        server.Answer(request.exchange, result);
      }
    } else if (path == "/v1/kv-lease") {
      const std::uint64_t id = this->next_lease++;
      const long ttl = std::max<long>(1000, body.at("ttlMs"));
      this->leases[id] = {Millis(ttl), now + Millis(ttl)};
      answer(200, {{"lease", id}, {"ttlMs", ttl}});
    } else if (path.rfind("/v1/kv-keep/", 0) == 0) {
      const auto lease = this->leases.find(std::stoull(last));
      if (lease != this->leases.end()) {
        lease->second.ends = now + lease->second.ttl;
      }
      answer(lease == this->leases.end() ? 404 : 200, Json::object());
    } else if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
      this->EndLease(std::stoull(last));
      answer(200, Json::object());
    } else {
      answer(400, Json::object());
    }
  }

  std::mutex mutex;
  bool stopping = false;
  std::uint64_t revision = 100;
  std::uint64_t next_lease = 1000;
  std::map<std::string, Item> items;
  std::deque<Change> history;  // never dropped: a case lasts 120 s at most
  std::map<std::uint64_t, Lease> leases;
  std::list<Watch> watches;
  std::list<LateCall> late_calls;
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::vector<std::string> addresses;
  std::thread ticker;
};

// ---------------------------------------------------------------- workers
// One end or begin of a run, as its worker saw it.
struct RunEvent {
  double at = 0.0;
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  std::string what;  // start, how it ended, `crash` if the worker crashed under it, `noted` and how once the end is acknowledged
};

// All that the workers have seen.
class Journal {
 public:
  explicit Journal(Record* record) : record(record) {}
  void Add(const std::string& task, std::uint64_t run, const std::string& worker, const std::string& what) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->events.push_back({this->record->Now(), task, run, worker, what});
    this->record->Line("worker " + worker + ": " + task + " run " + std::to_string(run) + " " + what);
  }
  std::vector<RunEvent> Events() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->events;
  }

 private:
  Record* record;
  std::mutex mutex;
  std::vector<RunEvent> events;
};

// The `spec` of a submission tells the worker what its tasks do: "ms=N" for N ms of work, "lasts" for tasks that last.
class Worker {
 public:
  // Share of the orders that get no answer and are carried out 2 to 12 s later, by the life that is there then.
  inline static std::atomic<double> late_share{0.0};

  Worker(int number, std::string service, std::string zone, std::string rack, Store* store, Journal* journal)
      : number(number), service(std::move(service)), zone(std::move(zone)), rack(std::move(rack)), store(store), journal(journal) {
    HttpServerLimits limits;
    limits.threads = 1;
    this->server =
        std::make_unique<HttpServer>(limits, [this](const ServedRequest& request) { this->OnRequest(request); });
    this->address = this->server->Listen(ListenAddress{}).value().str();
    this->Boot();
  }
  ~Worker() { this->server->Stop(); }
  // The worker loses power: it runs nothing, answers nothing and sends no liveness reports.
  void Crash() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& [task, run] : this->running) {
      this->journal->Add(task, run.run, this->id, "crash");
    }
    this->running.clear();
    this->finished.clear();
    this->holds.clear();
    this->up = false;
    this->crashed_id = this->id;
    this->crashed_at = Clock::now();
  }
  // A new life at the same address, under a new id or under the id that it had.
  void Boot(bool same_id = false) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->life++;
    if (same_id) {
      this->crashed_id.clear();  // the entry stays
    } else {
      this->id = "w" + std::to_string(this->number) + "-" + std::to_string(this->life);
    }
    this->born = UnixMillis();
    this->booted = Clock::now();
    this->fence = 0;
    this->deadline = 0;
    this->next_end = 1;
    this->barred.clear();
    this->up = true;
    // `lag_ms` of the site files: what a worker says of itself is in the store that much later.
    this->next_beat = Clock::now() + (this->life == 1 ? Millis(0) : Millis(800));
  }
  std::string Id() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->id;
  }
  // Ends runs, answers holds and sends the liveness report, as far as they are due.
  void Tick() {
    std::string beat_key;
    std::string beat;
    std::string gone;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      const auto now = Clock::now();
      // What comes while the worker has no power is lost.
      for (auto late = this->late_orders.begin(); late != this->late_orders.end();) {
        if (now < late->first) {
          ++late;
          continue;
        }
        if (this->up) {
          this->Handle(late->second);
        }
        late = this->late_orders.erase(late);
      }
      if (this->up) {
        const bool lapsed = !this->running.empty() && this->ClockMs() > this->deadline;
        std::vector<std::pair<std::string, std::string>> ends;
        for (const auto& [task, run] : this->running) {
          if (lapsed) {
            ends.emplace_back(task, "lapsed");
          } else if (run.stop_at && now >= *run.stop_at) {
            ends.emplace_back(task, "stopped");
          } else if (run.work_ms > 0 && now >= run.began + Millis(run.work_ms)) {
            ends.emplace_back(task, "done");
          }
        }
        for (const auto& [task, how] : ends) {
          this->End(task, how);
        }
        this->AnswerHolds();
        if (now >= this->next_beat) {
          this->next_beat = now + Millis(1100);
          beat_key = "servers/" + this->id;
          beat = Json{{"service", this->service},
                      {"address", this->address},
                      {"zone", this->zone},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"coldRemainingMs", 0},
                      {"sequence", ++this->sequence},
                      {"room", {{"cpu", 16000}, {"memMb", 64000}, {"gpu", 0}}},
                      {"labels", {"a", this->rack}},
                      {"machine", "m-" + std::to_string(this->number)},
                      {"born", this->born}}
                     .dump();
        }
      }
      // Three liveness reports have been missed.
      if (!this->crashed_id.empty() && now >= this->crashed_at + Millis(3300)) {
        gone = "servers/" + this->crashed_id;
        this->crashed_id.clear();
      }
    }
    if (!beat.empty()) {
      this->store->Put(beat_key, beat);
    }
    if (!gone.empty()) {
      this->store->Remove(gone);
    }
  }


 private:
  struct RunState {
    std::uint64_t run = 0;
    Clock::time_point began;
    long work_ms = 0;  // 0: lasts
    std::optional<Clock::time_point> stop_at;
  };
  struct HeldRequest {
    ExchangeId exchange;
    std::uint64_t cursor;
    Clock::time_point ends;
  };

  long ClockMs() const { return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - this->booted).count(); }
  Json Base() const { return {{"clockMs", this->ClockMs()}, {"born", this->born}}; }
  void Answer(ExchangeId exchange, int status, const std::string& reason = "") {
    Json body = this->Base();
    if (!reason.empty()) {
      body["reason"] = reason;
    }
    this->server->Answer(exchange, MakeAnswer(status, body));
  }
  Json Lists() const {
    Json body = this->Base();
    body["running"] = Json::array();
    body["finished"] = Json::array();
    for (const auto& [task, run] : this->running) {
      const double done = Seconds(Clock::now() - run.began) * 1000.0;
      const double percent = run.work_ms == 0 ? (done > 100 ? 100.0 : 0.0) : std::min(99.0, 100.0 * done / run.work_ms);
      body["running"].push_back(Json::array({task, run.run, "", static_cast<int>(percent), 500}));
    }
    for (const Json& end : this->finished) {
      if (body["finished"].size() < 500) {
        body["finished"].push_back(end);
      }
    }
    return body;
  }
  void End(const std::string& task, const std::string& how) {
    const RunState run = this->running.at(task);
    this->running.erase(task);
    this->barred[task] = std::max(this->barred[task], run.run);
    this->finished.push_back(Json::array({this->next_end++, task, run.run, how, ""}));
    this->journal->Add(task, run.run, this->id, how);
  }
  void OnRequest(const ServedRequest& request) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->up) {
      return;  // No power: no answer.
    }
    const bool is_order = request.path != "/health";
    if (is_order && std::uniform_real_distribution<>(0.0, 1.0)(this->random) < late_share) {
      const long delay = std::uniform_int_distribution<long>(2000, 12000)(this->random);
      this->late_orders.emplace_back(Clock::now() + Millis(delay), request);
      return;
    }
    this->Handle(request);
  }
  // Carries out an order. The answer to one that is late comes long after its sender has left.
  void Handle(const ServedRequest& request) {
    if (request.path == "/health") {
      this->server->Answer(request.exchange, MakeAnswer(200, Json::object()));
      return;
    }
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != this->id) {
      this->Answer(request.exchange, 421);
      return;
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      this->Answer(request.exchange, 400);
      return;
    }
    const std::uint64_t token = body.value("fenceToken", std::uint64_t{0});
    if (token < this->fence) {
      this->Answer(request.exchange, 409, "fence");
      return;
    }
    this->fence = token;
    if (body.contains("deadlineMs")) {
      const long wanted = body.at("deadlineMs");
      if (request.path == "/v1/run-start" && wanted <= this->ClockMs()) {
        this->Answer(request.exchange, 409, "late");
        return;
      }
      this->deadline = std::max(this->deadline, std::min<long>(wanted, this->ClockMs() + 10000));
    }
    if (request.path == "/v1/hold") {
      const std::uint64_t cursor = body.value("ackCursor", std::uint64_t{0});
      while (!this->finished.empty() && this->finished.front().at(0).get<std::uint64_t>() <= cursor) {
        const Json& end = this->finished.front();
        this->journal->Add(end.at(1), end.at(2), this->id, "noted " + end.at(3).get<std::string>());
        this->finished.pop_front();
      }
      this->holds.push_back({request.exchange, cursor, Clock::now() + Millis(body.value("waitMs", 0L))});
      this->AnswerHolds();
      return;
    }
    const std::string task = body.value("task", "");
    const std::uint64_t run = body.value("run", std::uint64_t{0});
    const auto found = this->running.find(task);
    if (request.path == "/v1/run-start") {
      if (found != this->running.end() && found->second.run == run) {
        this->Answer(request.exchange, 200);
      } else if (found != this->running.end() || (this->barred.count(task) != 0 && run <= this->barred[task])) {
        this->Answer(request.exchange, 409, "old");
      } else {
        RunState state;
        state.run = run;
        state.began = Clock::now();
        const std::string spec = body.value("spec", "");
        state.work_ms = spec.rfind("ms=", 0) == 0 ? std::stol(spec.substr(3)) : 0;
        this->running[task] = state;
        this->journal->Add(task, run, this->id, "start");
        this->Answer(request.exchange, 200);
      }
    } else if (request.path == "/v1/run-stop") {
      if (found != this->running.end() && found->second.run == run) {
        if (!found->second.stop_at) {
          found->second.stop_at = Clock::now() + Millis(100);
        }
      } else {
        this->barred[task] = std::max(this->barred[task], run);
      }
      this->Answer(request.exchange, 200);
    } else {
      this->Answer(request.exchange, request.path == "/v1/pace" ? 200 : 400);
    }
  }
  void AnswerHolds() {
    for (auto hold = this->holds.begin(); hold != this->holds.end();) {
      const bool has_end = !this->finished.empty() && this->finished.back().at(0).get<std::uint64_t>() > hold->cursor;
      if (has_end || Clock::now() >= hold->ends) {
        this->server->Answer(hold->exchange, MakeAnswer(200, this->Lists()));
        hold = this->holds.erase(hold);
      } else {
        ++hold;
      }
    }
  }
  int number;
  std::string service;
  std::string zone;
  std::string rack;
  Store* store;
  Journal* journal;
  std::unique_ptr<HttpServer> server;
  std::string address;
  std::mutex mutex;
  bool up = false;
  int life = 0;
  std::string id;
  std::string crashed_id;
  Clock::time_point crashed_at;
  long born = 0;
  Clock::time_point booted;
  std::uint64_t fence = 0;
  long deadline = 0;
  std::uint64_t next_end = 1;
  std::uint64_t sequence = 0;
  std::map<std::string, std::uint64_t> barred;
  std::map<std::string, RunState> running;
  std::deque<Json> finished;
  std::list<HeldRequest> holds;
  std::list<std::pair<Clock::time_point, ServedRequest>> late_orders;
  std::mt19937 random{std::random_device{}()};
  Clock::time_point next_beat;
};

// ---------------------------------------------------------------- hosts
// \returns a free port outside the range from which the system takes the ports of connections.
inline int FreePort() {
  static std::mt19937 random{std::random_device{}()};
  while (true) {
    const int port = std::uniform_int_distribution<int>(12000, 31999)(random);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free) {
      return port;
    }
  }
}

// The daemon as the deploy file starts it: `target/tools/pistachiod`, its settings named by PISTACHIOSTALL_SETTINGS.
class Host {
 public:
  std::string name;
  std::string front;
  std::string ready;

  Host(int number, const std::string& zone, const std::vector<std::string>& zones, const std::string& store_address,
       const std::string& folder)
      : name("edge-" + zone + "-" + std::to_string(number)), folder(folder) {
    const auto address = [] { return "127.0.0.1:" + std::to_string(FreePort()); };
    this->front = address();
    this->ready = address();
    std::ofstream settings(folder + "/" + this->name + ".conf");
    settings << "nodeName=" << this->name << "\nrole=scheduler\nmachineClass=edge\nserves=edge,control_plane\nip=127.0.0.1\nzone="
             << zone << "\nregion=nz-north\n";
    for (const std::string& other : zones) {
      settings << "zones." << other << "=nz-north\n";
    }
    settings << "listenAddrs.front=" << this->front << "\nlistenAddrs.ready=" << this->ready
             << "\nlistenAddrs.control=" << address()
             << "\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
                "heartbeatMs=1100\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n"
                "bounds.maxHoldMs=10000\nbounds.stopTimeoutMs=900\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000\n"
                "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.leaseMs=3000\n"
                "commands=invocation\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\n"
                "platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\nplatform.address="
             << store_address << "\n";
  }
  ~Host() { this->Signal(SIGKILL); }
  void Start() {
    const std::string settings = "PISTACHIOSTALL_SETTINGS=" + this->folder + "/" + this->name + ".conf";
    const std::string log = this->folder + "/" + this->name + ".log";
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the stand-ins, also if these are killed
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 16384; ++fd) {
        close(fd);
      }
      char* argv[] = {const_cast<char*>("target/tools/pistachiod"), nullptr};
      char* envp[] = {const_cast<char*>(settings.c_str()), const_cast<char*>("PATH=/usr/bin:/bin"), nullptr};
      execve("target/tools/pistachiod", argv, envp);
      _exit(127);
    }
  }
  void Signal(int number) {
    if (this->pid > 0) {
      kill(this->pid, number);
      if (number == SIGKILL) {
        kill(this->pid, SIGCONT);
        waitpid(this->pid, nullptr, 0);
        this->pid = -1;
      }
    }
  }
  // \returns true if the process has ended by itself.
  bool HasEnded(int* status) {
    if (this->pid > 0 && waitpid(this->pid, status, WNOHANG) == this->pid) {
      this->pid = -1;
      return true;
    }
    return false;
  }

 private:
  std::string folder;
  pid_t pid = -1;
};

// ---------------------------------------------------------------- clients
struct ClientAnswer {
  int status = 0;  // 0: no answer
  std::string body;
  std::string retry_after;
};

class Clients {
 public:
  Clients(Record* record, std::string host_header) : record(record), host_header(std::move(host_header)), client(0) {}
  ClientAnswer Call(const std::string& method, const std::string& address, const std::string& path, const std::string& body = "",
                    long budget_ms = 3000, bool log = true) {
    HttpCall call;
    call.method = method;
    call.url = "http://" + address + path;
    call.headers = {{"Host", this->host_header}, {"X-Deadline-Ms", std::to_string(budget_ms)}};
    if (!body.empty()) {
      call.headers.emplace_back("Content-Type", "application/json");
      call.body = body;
    }
    call.timeout = std::chrono::milliseconds(budget_ms);
    call.send_once = true;
    if (log) {
      this->record->Line("client: " + method + " " + path + " to " + address);
    }
    const HttpResult result = this->client.SendAndWait(call);
    ClientAnswer answer;
    answer.status = result.answered() ? result.status : 0;
    answer.body = result.body;
    if (log) {
      this->record->Line("client: " + method + " " + path + " answered " +
                         (answer.status == 0 ? "nothing (" + result.reason + ")" : std::to_string(answer.status) + " " + answer.body));
    }
    return answer;
  }

 private:
  Record* record;
  std::string host_header;
  HttpClient client;
};

inline std::string StateOf(const ClientAnswer& answer) {
  const Json json = Json::parse(answer.body, nullptr, false);
  return answer.status == 200 && json.is_object() ? json.value("state", "") : "";
}

// A small installation: three zones, the store, workers and hosts.
class Installation {
 public:
  std::vector<std::string> zones;
  Record record;
  Journal journal;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Host>> hosts;
  Clients clients;

  // Hosts and workers are dealt to the zones in turn.
  Installation(const std::string& record_file, const std::string& folder, int host_count, int worker_count,
               std::vector<std::string> zones = {"waikato", "manawatu", "hawkes"})
      : zones(std::move(zones)),
        record(record_file),
        journal(&this->record),
        store(host_count),
        clients(&this->record, "nony24.example") {
    // Each worker needs a few descriptors of this process.
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 16384);
    setrlimit(RLIMIT_NOFILE, &limit);
    this->WriteConfiguration(1, {});
    for (int i = 0; i < worker_count; ++i) {
      const std::string& zone = this->zones[i % this->zones.size()];
      this->workers.push_back(std::make_unique<Worker>(i, "alarm-relay", zone, "r-" + std::to_string(i % 6), &this->store, &this->journal));
    }
    for (int i = 0; i < host_count; ++i) {
      this->hosts.push_back(std::make_unique<Host>(i, this->zones[i % this->zones.size()], this->zones, this->store.AddressFor(i), folder));
    }
    this->ticker = std::thread([this] {
      while (!this->stopping) {
        std::this_thread::sleep_for(Millis(5));
        for (auto& worker : this->workers) {
          worker->Tick();
        }
      }
    });
  }
  ~Installation() {
    this->stopping = true;
    this->ticker.join();
    this->hosts.clear();
  }
  void WriteConfiguration(int version, const std::vector<std::string>& more_routes) {
    Json routes = Json::array();
    const auto add = [&routes](const std::string& name, int priority, int attempts, int target, double stretch) {
      routes.push_back({{"name", "r-" + name}, {"host", "nony24.example"}, {"prefix", "/" + name + "/"}, {"kind", "non_idempotent"},
                        {"timeoutMs", 3000}, {"targetDurationMs", target}, {"priority", priority}, {"service", "alarm-relay"},
                        {"maxAttempts", attempts}, {"stretch", stretch}});
    };
    add("check", 0, 2, 250, 1.5);
    add("audit", 2, 2, 1000, 2.0);
    add("watch", 0, 4, 2500, 2.2);
    for (const std::string& name : more_routes) {
      add(name, 2, 2, 1000, 2.0);
    }
    const Json config = {{"version", version},
                         {"routes", routes},
                         {"services", {{{"name", "alarm-relay"}, {"healthPath", "/health"}, {"maxConns", 64}, {"protocol", "h1"},
                                        {"tls", false}, {"admissionCheck", false}, {"headroom", false}}}},
                         {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}}};
    this->store.Put("op/config", config.dump());
  }
  // Starts all hosts. \returns true once all are ready, a cell has an owner and a probe submission is completed.
  bool StartHosts() {
    for (auto& host : this->hosts) {
      host->Start();
    }
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    for (auto& host : this->hosts) {
      while (this->clients.Call("GET", host->ready, "/v1/ready", "", 500, false).status != 200) {
        if (Clock::now() > deadline) {
          return false;
        }
        std::this_thread::sleep_for(Millis(100));
      }
    }
    const std::string probe = "/check/00000000000000aa";
    while (this->clients.Call("POST", this->hosts[0]->front, probe, Submission("ms=200", 1, 500, 200)).status != 200) {
      if (Clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(Millis(300));
    }
    while (StateOf(this->clients.Call("GET", this->hosts[0]->front, probe, "", 3000, false)) != "completed") {
      if (Clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(Millis(200));
    }
    return true;
  }
  static std::string Submission(const std::string& spec, int count, int cpu, int estimate, bool lasts = false) {
    Json step = {{"count", count}, {"cpu", cpu}, {"memMb", 500}, {"estimateMs", estimate}};
    if (lasts) {
      step["longRunning"] = true;
    }
    return Json{{"spec", spec}, {"steps", Json::array({step})}}.dump();
  }
  static std::string IdOf(std::uint64_t number) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x5a00000000000000ULL + number * 0x9e3779b97ULL));
    return text;
  }

 private:
  std::atomic<bool> stopping{false};
  std::thread ticker;
};

// \returns a part of the arguments, or exits with 2.
inline std::string Argument(int argc, char** argv, int index) {
  if (index >= argc) {
    std::fprintf(stderr, "missing argument\n");
    std::exit(2);
  }
  return argv[index];
}

inline bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace lab
