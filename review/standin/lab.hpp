// Stand-ins of the platform for the review's scripts: store, workers, callers and processes of the
// system, all on loopback and on the real clock. Needs POSIX and nlohmann-json only.
//
// The store and the workers behave like sound ones. A script switches on single disturbances that
// the users' pages name.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

inline std::int64_t NowMs() {
  static const Steady::time_point begin = Steady::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - begin).count();
}
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}
/// Waits until \a done returns true. \returns false after \a ms.
inline bool WaitFor(std::int64_t ms, const std::function<bool()>& done) {
  const std::int64_t until = NowMs() + ms;
  while (!done()) {
    if (NowMs() >= until) return false;
    SleepMs(5);
  }
  return true;
}

/// The file record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file(path, std::ios::trunc) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(NowMs()) / 1000.0);
    this->file << time << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

struct Request {
  std::string method, path, query, body;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
  std::string Query(const std::string& name) const;
};
struct Response {
  int status = 200;
  std::string body;
};

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}
inline std::string Request::Query(const std::string& name) const {
  std::size_t at = 0;
  while (at < this->query.size()) {
    std::size_t end = this->query.find('&', at);
    end = end == std::string::npos ? this->query.size() : end;
    const std::string pair = this->query.substr(at, end - at);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos && pair.substr(0, equals) == name) {
      return Unescape(pair.substr(equals + 1));
    }
    at = end + 1;
  }
  return "";
}

inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/// Reads HTTP messages from a socket, one after the other.
class Reader {
 public:
  explicit Reader(int fd) : fd(fd) {}
  /// \returns the first line, headers and body, or nothing at the end of the channel.
  bool Next(std::string* first_line, std::map<std::string, std::string>* headers,
            std::string* body) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->More()) return false;
    }
    const std::string head = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    *first_line = head.substr(0, at);
    headers->clear();
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line =
          head.substr(at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') value++;
        (*headers)[name] = line.substr(value);
      }
      at = next;
    }
    const std::size_t length =
        headers->count("content-length") != 0 ? std::stoul((*headers)["content-length"]) : 0;
    while (this->buffer.size() < length) {
      if (!this->More()) return false;
    }
    *body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return true;
  }

 private:
  bool More() {
    char chunk[16384];
    const ssize_t got = recv(this->fd, chunk, sizeof chunk, 0);
    if (got <= 0) return false;
    this->buffer.append(chunk, static_cast<std::size_t>(got));
    return true;
  }
  int fd;
  std::string buffer;
};

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// HTTP server with a thread for each channel. The handler returns nothing for a request whose
/// response is lost; the channel then returns nothing further.
class Server {
 public:
  using Handler = std::function<std::optional<Response>(const Request&)>;
  explicit Server(Handler handler) : handler(std::move(handler)) {
    this->port = this->Open(0);
  }
  ~Server() { this->Down(); }
  int port = 0;

  /// Closes the port and resets all channels, as when the process is killed.
  void Down() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->listener < 0) return;
    shutdown(this->listener, SHUT_RDWR);
    close(this->listener);
    this->listener = -1;
    this->epoch++;
    for (const int fd : this->channels) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(fd, SHUT_RDWR);
    }
    this->channels.clear();
  }
  /// Serves again at the same port.
  void Up() { this->Open(this->port); }

 private:
  int Open(int wanted) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(wanted));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, 512) != 0) {
      std::perror("lab: bind");
      std::_Exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    std::uint64_t my_epoch = 0;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->listener = fd;
      my_epoch = ++this->epoch;
    }
    std::thread([this, fd, my_epoch] { this->Accept(fd, my_epoch); }).detach();
    return ntohs(address.sin_port);
  }
  void Accept(int fd, std::uint64_t my_epoch) {
    while (true) {
      const int channel = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (channel < 0) return;
      const int one = 1;
      setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->epoch != my_epoch) {
          close(channel);
          return;
        }
        this->channels.insert(channel);
      }
      std::thread([this, channel, my_epoch] { this->Serve(channel, my_epoch); }).detach();
    }
  }
  void Serve(int channel, std::uint64_t my_epoch) {
    Reader reader(channel);
    std::string line, body;
    std::map<std::string, std::string> headers;
    while (reader.Next(&line, &headers, &body)) {
      Request request;
      const std::size_t space = line.find(' ');
      const std::size_t end = line.find(' ', space + 1);
      request.method = line.substr(0, space);
      std::string target = line.substr(space + 1, end - space - 1);
      const std::size_t mark = target.find('?');
      request.path = target.substr(0, mark);
      request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
      request.headers = headers;
      request.body = body;
      const auto response = this->handler(request);
      if (!response) {
        // Nothing further is returned on this channel.
        char sink[4096];
        while (recv(channel, sink, sizeof sink, 0) > 0) {
        }
        break;
      }
      std::string text = "HTTP/1.1 " + std::to_string(response->status) +
                         " X\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->epoch != my_epoch) break;
      }
      if (!SendAll(channel, text)) break;
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->channels.erase(channel);
    }
    close(channel);
  }

  Handler handler;
  std::mutex mutex;
  int listener = -1;
  std::uint64_t epoch = 0;
  std::set<int> channels;
};

inline std::string EncodeBase64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return out;
}
inline std::string DecodeBase64(const std::string& text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    else if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    else if (c >= '0' && c <= '9') digit = c - '0' + 52;
    else if (c == '+') digit = 62;
    else if (c == '/') digit = 63;
    else break;
    bits = bits << 6U | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255U);
    }
  }
  return out;
}

/// The platform's metadata store.
class Store {
 public:
  explicit Store(Record* record)
      : record(record), server([this](const Request& request) { return this->Serve(request); }) {
    std::thread([this] {
      while (true) {
        SleepMs(10);
        this->ExpireLeases();
      }
    }).detach();
  }
  int port() const { return this->server.port; }
  std::atomic<std::int64_t> answer_ms{4};  ///< time from a call to its answer
  std::atomic<bool> log_writes{false};

  void Write(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->revision++;
    this->Put(key, value, 0);
    this->changed.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->items.count(key) == 0) return;
    this->revision++;
    this->Erase(key);
    this->changed.notify_all();
  }
  bool Has(const std::string& key) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->items.count(key) != 0;
  }
  std::size_t CountPrefix(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t count = 0;
    for (auto it = this->items.lower_bound(prefix);
         it != this->items.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
      count++;
    }
    return count;
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t rev = 0, created = 0, lease = 0;
  };
  struct Event {
    std::uint64_t rev;
    std::string key;
    Json json;
  };
  struct Lease {
    std::int64_t ttl, until;
  };
  static Json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", EncodeBase64(item.value)},
            {"rev", item.rev},
            {"created", item.created},
            {"lease", item.lease}};
  }
  void Put(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& item = this->items[key];
    item.created = item.rev == 0 ? this->revision : item.created;
    item.value = value;
    item.rev = this->revision;
    item.lease = lease;
    this->history.push_back({this->revision, key, ToJson(key, item)});
  }
  void Erase(const std::string& key) {
    if (this->items.erase(key) != 0) {
      this->history.push_back(
          {this->revision, key, {{"key", key}, {"rev", this->revision}, {"removed", true}}});
    }
  }
  void EndLease(std::uint64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == id) keys.push_back(key);
    }
    this->leases.erase(id);
    if (keys.empty()) return;
    this->revision++;
    for (const std::string& key : keys) this->Erase(key);
    this->changed.notify_all();
  }
  void ExpireLeases() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : this->leases) {
      if (NowMs() >= lease.until) over.push_back(id);
    }
    for (const std::uint64_t id : over) this->EndLease(id);
  }
  std::optional<Response> Serve(const Request& request) {
    const std::int64_t wait = this->answer_ms / 2;
    SleepMs(wait);
    Response response = this->Apply(request);
    SleepMs(this->answer_ms - wait);
    return response;
  }
  Response Apply(const Request& request) {
    std::unique_lock<std::mutex> lock(this->mutex);
    if (request.path == "/v1/kv-key") {
      const auto found = this->items.find(request.Query("key"));
      if (found == this->items.end()) {
        return {404, Json{{"storeRevision", this->revision}}.dump()};
      }
      Json body = ToJson(found->first, found->second);
      body["storeRevision"] = this->revision;
      return {200, body.dump()};
    }
    if (request.path == "/v1/kv-range") {
      const std::string prefix = request.Query("prefix");
      const std::string after = request.Query("after");
      Json rows = Json::array();
      bool truncated = false;
      for (auto it = this->items.lower_bound(prefix);
           it != this->items.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        if (!after.empty() && it->first <= after) continue;
        if (rows.size() >= 500) {
          truncated = true;
          break;
        }
        rows.push_back(ToJson(it->first, it->second));
      }
      return {200, Json{{"items", rows},
                        {"truncated", truncated},
                        {"storeRevision", this->revision}}
                       .dump()};
    }
    if (request.path == "/v1/kv-watch") {
      const std::string prefix = request.Query("prefix");
      std::uint64_t after = std::stoull("0" + request.Query("after"));
      const std::int64_t until = NowMs() + std::stoll("0" + request.Query("waitMs"));
      while (true) {
        Json rows = Json::array();
        for (const Event& event : this->history) {
          if (event.rev > after && event.key.compare(0, prefix.size(), prefix) == 0) {
            rows.push_back(event.json);
          }
        }
        const std::int64_t left = until - NowMs();
        if (!rows.empty() || left <= 0) {
          return {200, Json{{"events", rows}, {"storeRevision", this->revision}}.dump()};
        }
        this->changed.wait_for(lock, std::chrono::milliseconds(left));
      }
    }
    const Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
    if (request.path == "/v1/kv-txn") {
      bool holds = true;
      Json found = Json::array();
      for (const Json& row : body.value("precondition", Json::array())) {
        const auto it = this->items.find(row.at("key").get<std::string>());
        const std::uint64_t rev = it == this->items.end() ? 0 : it->second.rev;
        holds = holds && rev == row.value("rev", std::uint64_t{0});
        if (it != this->items.end()) found.push_back(ToJson(it->first, it->second));
      }
      if (!holds) return {412, Json{{"items", found}}.dump()};
      for (const Json& row : body.value("puts", Json::array())) {
        const std::uint64_t lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && this->leases.count(lease) == 0) return {404, "{}"};
      }
      this->revision++;
      for (const Json& row : body.value("puts", Json::array())) {
        const std::string key = row.at("key").get<std::string>();
        this->Put(key, DecodeBase64(row.at("value").get<std::string>()),
                  row.value("lease", std::uint64_t{0}));
        if (this->log_writes && key.compare(0, 3, "id/") == 0) {
          this->record->Line("store: wrote " + key);
        }
      }
      for (const Json& key : body.value("remove", Json::array())) {
        this->Erase(key.get<std::string>());
      }
      this->changed.notify_all();
      return {200, Json{{"rev", this->revision}}.dump()};
    }
    if (request.path == "/v1/kv-lease") {
      const std::int64_t ttl = body.at("ttlMs").get<std::int64_t>();
      const std::uint64_t id = ++this->last_lease;
      this->leases[id] = {ttl, NowMs() + ttl};
      return {200, Json{{"lease", id}, {"ttlMs", ttl}}.dump()};
    }
    const std::uint64_t id =
        std::strtoull(request.path.substr(request.path.rfind('/') + 1).c_str(), nullptr, 10);
    if (request.path.rfind("/v1/kv-keep/", 0) == 0) {
      const auto lease = this->leases.find(id);
      if (lease == this->leases.end()) return {404, "{}"};
      lease->second.until = NowMs() + lease->second.ttl;
      return {200, Json{{"lease", id}, {"ttlMs", lease->second.ttl}}.dump()};
    }
    if (request.path.rfind("/v1/kv-lease-end/", 0) == 0) {
      this->EndLease(id);
      return {200, "{}"};
    }
    return {400, "{}"};
  }

  Record* record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::deque<Event> history;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 10;
  std::uint64_t last_lease = 100;
  Server server;
};

/// What a worker does with a task: how long it runs and how it ends. An empty end: it lasts.
struct Work {
  std::int64_t ms = 300;
  std::string how = "done";
};

/// One begin of a task on a worker, over all workers and lives.
struct Run {
  std::string task, worker, how;  ///< how: empty while it runs, `lost` if it ended with its worker
  std::uint64_t run = 0;
  std::int64_t begin = 0, end = -1;
  std::int64_t noted = -1;  ///< when ackCursor reached the end
};

/// All runs of a script, for its check.
class Runs {
 public:
  std::mutex mutex;
  std::deque<Run> all;
  std::vector<Run> Of(const std::string& task) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Run> found;
    for (const Run& run : this->all) {
      if (run.task == task) found.push_back(run);
    }
    return found;
  }
};

/// A worker: one machine that may crash and start again under its id.
class Worker {
 public:
  Worker(std::string id, Store* store, Runs* runs, Record* record,
         std::function<Work(const std::string&)> work_of)
      : id(std::move(id)),
        store(store),
        runs(runs),
        record(record),
        work_of(std::move(work_of)),
        server([this](const Request& request) { return this->Serve(request); }) {
    this->Boot();
    std::thread([this] {
      while (true) {
        SleepMs(5);
        this->Tick();
      }
    }).detach();
  }
  const std::string id;

  /// Ends the life with all runs. The registration is removed after three intervals of silence.
  void Crash() {
    this->server.Down();
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->record->Line(this->id + ": crashes with " + std::to_string(this->running.size()) +
                       " runs");
    this->up = false;
    this->down_since = NowMs();
    const std::lock_guard<std::mutex> runs_lock(this->runs->mutex);
    for (auto& [task, slot] : this->running) {
      Run& run = this->runs->all[slot.index];
      run.end = NowMs();
      run.how = "lost";
      this->record->Line(this->id + ": run " + std::to_string(run.run) + " of " + run.task +
                         " is lost with its worker");
    }
    this->running.clear();
    this->ends.clear();
    this->highest.clear();
    this->changed.notify_all();
  }
  /// A new life under the same id and address.
  void Restart() {
    this->Boot();
    this->server.Up();
  }
  /// As Restart(); the order that was left unanswered arrives before any other.
  void RestartWith(const Request& late) {
    this->Boot();
    this->Apply(late, true);
    this->server.Up();
  }
  bool IsUp() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->up;
  }
  bool Runs_(const std::string& task) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->running.count(task) != 0;
  }
  std::size_t RunCount() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->running.size();
  }
  /// Called for each order before it is carried out. What it returns: `now` the order is carried
  /// out and answered; `late` it is left unanswered, and the script carries it out later with
  /// `CarryOut`.
  enum class Treat { kNow, kLate };
  std::function<Treat(Worker&, const Request&, const Json&)> treat;
  /// Carries an order out that was left unanswered.
  Response CarryOut(const Request& request) { return this->Apply(request, true); }

 private:
  struct Slot {
    std::uint64_t run = 0;
    std::size_t index = 0;  ///< in `Runs::all`
    std::int64_t began = 0;
    std::int64_t ends_at = 0;
    std::string how;
    std::int64_t stop_at = -1;
  };
  struct End {
    std::uint64_t number;
    std::string task;
    std::uint64_t run;
    std::string how;
    std::size_t index;
  };

  void Boot() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->born = WallMs();
    this->boot = NowMs();
    this->token = 0;
    this->lease_until = 0;
    this->last_end = 0;
    this->sequence = 0;
    this->next_beat = 0;
    this->up = true;
    this->record->Line(this->id + ": starts, born " + std::to_string(this->born));
  }
  std::int64_t Clock() const { return NowMs() - this->boot + 1000; }

  void Tick() {
    std::string value;
    bool remove = false;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (!this->up) {
        // Three liveness report intervals of silence.
        remove = !this->removed && NowMs() - this->down_since > 3300;
        this->removed = this->removed || remove;
      } else {
        this->removed = false;
        if (NowMs() >= this->next_beat) {
          this->next_beat = NowMs() + 1100;
          value = Json{{"service", "service"},
                       {"address", "127.0.0.1:" + std::to_string(this->server.port)},
                       {"zone", "zone-a"},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"coldRemainingMs", 0},
                       {"room", {{"cpu", 16000}, {"memMb", 64000}, {"gpu", 0}}},
                       {"labels", {"kind-a", "rack-" + this->id}},
                       {"born", this->born},
                       {"sequence", ++this->sequence}}
                      .dump();
        }
        std::vector<std::pair<std::string, std::string>> over;
        for (auto& [task, slot] : this->running) {
          if (slot.stop_at >= 0 && NowMs() >= slot.stop_at) {
            over.emplace_back(task, "stopped");
          } else if (!slot.how.empty() && NowMs() >= slot.ends_at) {
            over.emplace_back(task, slot.how);
          } else if (this->Clock() >= this->lease_until) {
            over.emplace_back(task, "lapsed");
          }
        }
        for (const auto& [task, how] : over) this->EndRun(task, how);
      }
    }
    if (!value.empty()) this->store->Write("servers/" + this->id, value);
    if (remove) this->store->Remove("servers/" + this->id);
  }
  void EndRun(const std::string& task, const std::string& how) {
    const Slot slot = this->running.at(task);
    this->running.erase(task);
    this->ends.push_back({++this->last_end, task, slot.run, how, slot.index});
    this->highest[task] = std::max(this->highest[task], slot.run);
    {
      const std::lock_guard<std::mutex> lock(this->runs->mutex);
      this->runs->all[slot.index].end = NowMs();
      this->runs->all[slot.index].how = how;
    }
    this->record->Line(this->id + ": run " + std::to_string(slot.run) + " of " + task + " ends " +
                       how + ", end number " + std::to_string(this->last_end));
    this->changed.notify_all();
  }
  std::optional<Response> Serve(const Request& request) {
    if (request.method == "GET") return Response{200, "{}"};
    if (this->treat) {
      const Json body = Json::parse(request.body);
      if (this->treat(*this, request, body) == Treat::kLate) return std::nullopt;
    }
    return this->Apply(request, false);
  }
  Response Answer(int status, Json body) {
    body["clockMs"] = this->Clock();
    body["born"] = this->born;
    return {status, body.dump()};
  }
  Response Apply(const Request& request, bool late) {
    const Json body = Json::parse(request.body);
    std::unique_lock<std::mutex> lock(this->mutex);
    if (!this->up) return {503, "{}"};
    if (request.Header("x-expect-instance") != this->id) return this->Answer(421, Json::object());
    const std::uint64_t fence = body.value("fenceToken", std::uint64_t{0});
    if (fence < this->token) return this->Answer(409, {{"reason", "fence"}});
    this->token = fence;
    const std::string task = body.value("task", "");
    const std::uint64_t number = body.value("run", std::uint64_t{0});
    const auto extend = [&] {
      if (body.count("deadlineMs") != 0) {
        const std::int64_t most = this->Clock() + 10000;
        this->lease_until = std::max(
            this->lease_until, std::min(most, body.at("deadlineMs").get<std::int64_t>()));
      }
    };
    const std::string note = late ? " (carried out late)" : "";
    if (request.path == "/v1/run-start") {
      const auto present = this->running.find(task);
      if (present != this->running.end() && present->second.run == number) {
        extend();
        return this->Answer(200, Json::object());
      }
      const auto before = this->highest.find(task);
      if ((before != this->highest.end() && number <= before->second) ||
          (present != this->running.end() && number < present->second.run)) {
        extend();
        this->record->Line(this->id + ": rejects run " + std::to_string(number) + " of " + task +
                           " as old" + note);
        return this->Answer(409, {{"reason", "old"}});
      }
      if (body.value("deadlineMs", std::int64_t{0}) <= this->Clock()) {
        return this->Answer(409, {{"reason", "late"}});
      }
      extend();
      const Work work = this->work_of(task);
      Slot slot;
      slot.run = number;
      slot.began = NowMs();
      slot.ends_at = slot.began + work.ms;
      slot.how = work.how;
      {
        const std::lock_guard<std::mutex> runs_lock(this->runs->mutex);
        slot.index = this->runs->all.size();
        Run run;
        run.task = task;
        run.worker = this->id;
        run.run = number;
        run.begin = NowMs();
        this->runs->all.push_back(run);
      }
      this->running[task] = slot;
      this->record->Line(this->id + ": begins run " + std::to_string(number) + " of " + task +
                         note);
      return this->Answer(200, Json::object());
    }
    if (request.path == "/v1/run-stop") {
      const auto present = this->running.find(task);
      if (present != this->running.end() && present->second.run == number) {
        if (present->second.stop_at < 0) present->second.stop_at = NowMs() + 50;
      }
      this->highest[task] = std::max(this->highest[task], number);
      this->record->Line(this->id + ": stop of run " + std::to_string(number) + " of " + task +
                         note);
      return this->Answer(200, Json::object());
    }
    if (request.path == "/v1/pace") return this->Answer(200, Json::object());
    if (request.path != "/v1/hold") return {404, "{}"};
    extend();
    const std::uint64_t cursor = body.value("ackCursor", std::uint64_t{0});
    while (!this->ends.empty() && this->ends.front().number <= cursor) {
      const End end = this->ends.front();
      this->ends.pop_front();
      this->record->Line(this->id + ": ackCursor " + std::to_string(cursor) + " reaches end " +
                         std::to_string(end.number) + " (" + end.how + " of run " +
                         std::to_string(end.run) + " of " + end.task + ")" + note);
      const std::lock_guard<std::mutex> runs_lock(this->runs->mutex);
      this->runs->all[end.index].noted = NowMs();
    }
    if (late) return {200, "{}"};
    const std::int64_t until = NowMs() + body.value("waitMs", std::int64_t{0});
    const std::int64_t my_born = this->born;
    while (this->up && this->born == my_born && this->ends.empty() && NowMs() < until) {
      this->changed.wait_for(lock, std::chrono::milliseconds(until - NowMs()));
    }
    Json running_rows = Json::array();
    for (const auto& [name, slot] : this->running) {
      const std::int64_t percent =  // in whole percent, as in the page's example
          slot.how.empty()
              ? 100
              : 100 * (NowMs() - slot.began) / std::max<std::int64_t>(1, slot.ends_at - slot.began);
      running_rows.push_back(Json::array({name, slot.run, "", percent, 1}));
    }
    Json rows = Json::array();
    for (const End& end : this->ends) {
      if (rows.size() < 500) {
        rows.push_back(Json::array({end.number, end.task, end.run, end.how, ""}));
      }
    }
    return this->Answer(200, {{"running", running_rows}, {"finished", rows}});
  }

  Store* store;
  Runs* runs;
  Record* record;
  std::function<Work(const std::string&)> work_of;
  std::mutex mutex;
  std::condition_variable changed;
  bool up = false;
  bool removed = false;
  std::int64_t down_since = 0;
  std::int64_t born = 0, boot = 0, lease_until = 0, next_beat = 0;
  std::uint64_t token = 0, last_end = 0, sequence = 0;
  std::map<std::string, Slot> running;
  std::deque<End> ends;
  std::map<std::string, std::uint64_t> highest;
  Server server;
};

inline int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) std::_Exit(2);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

/// An answer that a caller has got; status 0 if there was none.
struct Answered {
  int status = 0;
  std::string body;
};

/// A client's channel to a `front` address.
class Channel {
 public:
  explicit Channel(int port) : fd(Connect(port)), reader(fd) {}
  ~Channel() {
    if (this->fd >= 0) close(this->fd);
  }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  Answered Call(const std::string& method, const std::string& path, const std::string& body = "",
                int deadline_ms = 3000) {
    if (this->fd < 0) return {};
    const timeval limit{deadline_ms / 1000, deadline_ms % 1000 * 1000};
    setsockopt(this->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: " +
                       std::to_string(deadline_ms) + "\r\n";
    if (!body.empty()) text += "Content-Type: application/json\r\n";
    if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!SendAll(this->fd, text + "\r\n" + body)) return {};
    std::string line;
    std::map<std::string, std::string> headers;
    Answered answered;
    if (!this->reader.Next(&line, &headers, &answered.body)) return {};
    answered.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
    return answered;
  }

 private:
  int fd;
  Reader reader;
};

/// A process of the system, started with the command of the deploy file.
class Node {
 public:
  Node(std::string name, std::string folder, Store* store, Record* record)
      : name(std::move(name)), folder(std::move(folder)), record(record) {
    this->front = FreePort();
    this->ready = FreePort();
    this->control = FreePort();
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    this->settings = this->folder + "/" + this->name + ".conf";
    std::ofstream(this->settings)
        << "nodeName=" << this->name << "\nrole=scheduler\nmachineClass=edge\n"
        << "serves=edge,control_plane\nip=127.0.0.1\nzone=zone-a\nregion=region-a\n"
        << "zones.zone-a=region-a\nlistenAddrs.front=" << address(this->front)
        << "\nlistenAddrs.ready=" << address(this->ready)
        << "\nlistenAddrs.control=" << address(this->control)
        << "\nseeds=" << address(this->control) << "\nbootstrap=true\nlimits.cpuShare=0.25\n"
        << "limits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\ndiscovery=platform\n"
        << "entry=vip\nheartbeatMs=1100\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\n"
        << "bounds.drainMs=2000\nbounds.graceS=6\nbounds.configApplyMs=2000\n"
        << "bounds.maxHoldMs=10000\nbounds.stopTimeoutMs=900\nbounds.gangTimeoutMs=3000\n"
        << "bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\n"
        << "bounds.finish_s=14\nbounds.status_s=120\ncommands=invocation\nplatform.address="
        << address(store->port())
        << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\n"
        << "platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
  }
  ~Node() { this->Kill(); }
  const std::string name;
  int front = 0, ready = 0, control = 0;

  void Start() {
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open((this->folder + "/" + this->name + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("PISTACHIOSTALL_SETTINGS", this->settings.c_str(), 1);
      execl("target/tools/pistachiod", "target/tools/pistachiod", nullptr);
      std::_Exit(127);
    }
    this->pid = child;
    this->record->Line(this->name + ": started");
  }
  void Signal(int number) {
    if (this->pid > 0) {
      kill(this->pid, number);
      this->record->Line(this->name + ": signal " + strsignal(number));
    }
  }
  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  /// Waits until the process has ended. \returns false after \a ms.
  bool Ended(std::int64_t ms) {
    return WaitFor(ms, [this] {
      if (this->pid <= 0) return true;
      if (waitpid(this->pid, nullptr, WNOHANG) != this->pid) return false;
      this->pid = -1;
      return true;
    });
  }
  bool Ready() {
    Channel channel(this->ready);
    return channel.Call("GET", "/v1/ready", "", 500).status == 200;
  }

 private:
  std::string folder;
  std::string settings;
  Record* record;
  pid_t pid = -1;
};

/// A small deployment: the store, workers and processes of the system.
struct Deployment {
  Deployment(const std::string& record_path, std::size_t workers, std::size_t nodes,
             std::function<Work(const std::string&)> work_of)
      : record(record_path) {
    signal(SIGPIPE, SIG_IGN);
    std::string name = std::filesystem::temp_directory_path() / "pistachio-review-XXXXXX";
    this->folder = mkdtemp(name.data());
    this->store = std::make_unique<Store>(&this->record);
    this->store->Write(
        "op/config",
        R"({"version":1,"routes":[{"name":"queue","host":"jobs.example","prefix":"/jobs/",)"
        R"("kind":"non_idempotent","timeoutMs":3000,"targetDurationMs":1000,"priority":0,)"
        R"("service":"service","maxAttempts":2,"stretch":2.0}],"services":[{"name":"service",)"
        R"("healthPath":"/health","admissionCheck":false}],"limits":{"maxBodyBytes":262144}})");
    for (std::size_t i = 0; i < workers; ++i) {
      this->workers.push_back(std::make_unique<Worker>("i-" + std::to_string(100 + i),
                                                       this->store.get(), &this->runs,
                                                       &this->record, work_of));
    }
    for (std::size_t i = 0; i < nodes; ++i) {
      this->nodes.push_back(std::make_unique<Node>("edge-a-" + std::to_string(i + 1), this->folder,
                                                   this->store.get(), &this->record));
    }
  }
  ~Deployment() {
    for (auto& node : this->nodes) node->Kill();
  }
  /// Starts the processes and waits until they take work. \returns false if they don't.
  bool Start() {
    for (auto& node : this->nodes) node->Start();
    const bool ready = WaitFor(25000, [this] {
      for (auto& node : this->nodes) {
        if (!node->Ready()) return false;
      }
      return true;
    });
    if (!ready) return false;
    // A submission that is done shows that a cell has an owner.
    if (this->Post(0, "00000000000000aa", R"({"spec":"first","steps":[{"count":1,"cpu":500,)"
                                          R"("memMb":256,"estimateMs":300}]})")
            .status != 200) {
      return false;
    }
    return WaitFor(20000, [this] { return this->State(0, "00000000000000aa") == "completed"; });
  }
  Answered Post(std::size_t node, const std::string& id, const std::string& body) {
    Channel channel(this->nodes[node]->front);
    const Answered answered = channel.Call("POST", "/jobs/" + id, body);
    this->record.Line("client: POST " + id + " at " + this->nodes[node]->name + " -> " +
                      std::to_string(answered.status) + " " + answered.body);
    return answered;
  }
  /// \returns the state that a process shows, or the status if it shows none.
  std::string State(std::size_t node, const std::string& id) {
    Channel channel(this->nodes[node]->front);
    const Answered answered = channel.Call("GET", "/jobs/" + id);
    std::string state = std::to_string(answered.status);
    if (answered.status == 200) state = Json::parse(answered.body).value("state", "none");
    const std::string line =
        "client: GET " + id + " at " + this->nodes[node]->name + " -> " + state;
    if (this->last_state[id] != state) this->record.Line(line);
    this->last_state[id] = state;
    return state;
  }
  /// Ends all processes and this one.
  [[noreturn]] void Exit(int code, const std::string& verdict) {
    for (auto& node : this->nodes) node->Kill();
    this->record.Line("verdict: " + verdict);
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    if (std::getenv("KEEP") == nullptr) {
      for (auto& node : this->nodes) {
        unlink((this->folder + "/" + node->name + ".conf").c_str());
        unlink((this->folder + "/" + node->name + ".log").c_str());
      }
      rmdir(this->folder.c_str());
    } else {
      std::printf("logs: %s\n", this->folder.c_str());
      std::fflush(stdout);
    }
    std::_Exit(code);
  }

  Record record;
  Runs runs;
  std::string folder;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, std::string> last_state;
};

/// \returns false if the script plays without its disturbance.
inline bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace lab
