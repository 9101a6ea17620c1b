// Stand-ins of the platform for the scripts of review 3: the key-value store, workers that run tasks, clients and the
// control of the project's processes. They follow PROTOCOL.md; RULES.md gives the checks. Loopback and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void Sleep(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// Lines of the record with the time since the start, in milliseconds.
class Record {
 public:
  void Open(const std::string& path) { this->file.open(path); }
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->file << (NowMs() - this->begun) << " " << text << "\n";
    this->file.flush();
  }
  void Break(const std::string& rule, const std::string& text) {
    this->Line("BROKEN " + rule + ": " + text);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->broken.push_back(rule + ": " + text);
  }
  std::vector<std::string> Broken() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->broken;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  std::int64_t begun = NowMs();
  std::vector<std::string> broken;
};
inline Record& Rec() {
  static Record record;
  return record;
}

// ---- HTTP -------------------------------------------------------------------------------------

struct Request {
  std::string method, path, query, body;
  std::map<std::string, std::string> headers;
};
struct Response {
  int status = 200;
  std::string body;
  bool silent = false;  ///< the channel stays open and returns nothing
  bool reset = false;   ///< the channel is closed without an answer
};
using Handler = std::function<Response(const Request&)>;

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
inline std::string Arg(const Request& request, const std::string& name) {
  std::stringstream parts(request.query);
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) == 0) {
      return Unescape(part.substr(name.size() + 1));
    }
  }
  return "";
}

/// Reads one message; returns false at the end of the channel. The first line goes into `line`.
inline bool ReadMessage(int fd, std::string* buffer, std::string* line,
                        std::map<std::string, std::string>* headers, std::string* body,
                        std::int64_t until = 0) {
  const auto fill = [&] {
    if (until != 0) {
      pollfd p{fd, POLLIN, 0};
      const std::int64_t left = until - NowMs();
      if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
    }
    char chunk[65536];
    const ssize_t got = recv(fd, chunk, sizeof chunk, 0);
    if (got <= 0) {
      return false;
    }
    buffer->append(chunk, static_cast<std::size_t>(got));
    return true;
  };
  std::size_t end;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return false;
    }
  }
  std::stringstream head(buffer->substr(0, end));
  std::string row;
  std::getline(head, *line);
  if (!line->empty() && line->back() == '\r') {
    line->pop_back();
  }
  headers->clear();
  while (std::getline(head, row)) {
    if (!row.empty() && row.back() == '\r') {
      row.pop_back();
    }
    const std::size_t colon = row.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = row.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::size_t from = row.find_first_not_of(' ', colon + 1);
    (*headers)[name] = from == std::string::npos ? "" : row.substr(from);
  }
  buffer->erase(0, end + 4);
  const std::size_t length = headers->count("content-length") ? std::stoul((*headers)["content-length"]) : 0;
  while (buffer->size() < length) {
    if (!fill()) {
      return false;
    }
  }
  *body = buffer->substr(0, length);
  buffer->erase(0, length);
  return true;
}

inline void SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(n);
  }
}

class Server {
 public:
  explicit Server(Handler handler, int fixed_port = 0) : handler(std::move(handler)) { this->Open(fixed_port); }
  ~Server() { this->Close(); }
  int port() const { return this->bound; }
  std::string address() const { return "127.0.0.1:" + std::to_string(this->bound); }
  void Open(int fixed_port) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(fixed_port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(this->listener, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(this->listener, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof a;
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&a), &size);
    this->bound = ntohs(a.sin_port);
    this->open = true;
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  /// Closes the port and all channels.
  void Close() {
    if (!this->open.exchange(false)) {
      return;
    }
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    this->CutChannels();
  }
  /// The open channels go silent for good, without a reset; new ones work.
  void MuteChannels() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->muted = this->channels;
  }
  bool Muted(int fd) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->muted.count(fd) != 0;
  }
  void CutChannels() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const int fd : this->channels) {
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!this->open) {
          return;
        }
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->channels.insert(fd);
      }
      std::thread([this, fd] { this->Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer, line;
    Request request;
    while (ReadMessage(fd, &buffer, &line, &request.headers, &request.body)) {
      std::stringstream words(line);
      std::string target;
      words >> request.method >> target;
      const std::size_t mark = target.find('?');
      request.path = target.substr(0, mark);
      request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
      if (this->Muted(fd)) {
        continue;
      }
      const Response response = this->handler(request);
      if (this->Muted(fd)) {
        continue;
      }
      if (response.reset) {
        break;
      }
      if (response.silent) {
        pollfd p{fd, POLLIN | POLLRDHUP, 0};
        poll(&p, 1, 20000);
        break;
      }
      SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                      " X\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->channels.erase(fd);
    this->muted.erase(fd);
    close(fd);
  }

  Handler handler;
  int listener = -1;
  int bound = 0;
  std::atomic<bool> open{false};
  std::thread acceptor;
  std::mutex mutex;
  std::set<int> channels, muted;
};

/// One call on a new channel. Status 0: no connection, -1: no answer.
inline Response Call(int port, const std::string& method, const std::string& path, const std::string& host,
                     const std::string& body, std::int64_t wait_ms) {
  Response response;
  response.status = 0;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
    close(fd);
    return response;
  }
  SendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Deadline-Ms: " + std::to_string(wait_ms) +
                  "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
  std::string buffer, line;
  std::map<std::string, std::string> headers;
  response.status = -1;
  if (ReadMessage(fd, &buffer, &line, &headers, &response.body, NowMs() + wait_ms)) {
    response.status = std::stoi(line.substr(9, 3));
  }
  close(fd);
  return response;
}

// ---- Store ------------------------------------------------------------------------------------

inline std::string Base64(const std::string& in) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t v = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      v = v << 8 | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > in.size() ? '=' : digits[v >> (18 - 6 * j) & 63U];
    }
  }
  return out;
}

class Store {
 public:
  struct Item {
    std::string value;  ///< in base64
    std::uint64_t rev = 0, created = 0, lease = 0;
  };
  struct Event {
    std::uint64_t rev = 0;
    std::string key;
    bool removed = false;
    Item item;
  };
  struct Lease {
    std::int64_t ttl = 0, ends_at = 0;
  };
  /// What the store does for one node.
  struct Trouble {
    bool silent = false, busy = false, reset = false;
    double lost = 0.0;   ///< share of writes that are done and not answered
    double late = 0.0;   ///< share of writes that are done 1 to 6 s later and not answered
    std::int64_t slow_ms = 0;
  };

  Store() {
    this->reaper = std::thread([this] {
      while (!this->stop) {
        Sleep(20);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->EndLeases();
      }
    });
  }
  ~Store() {
    this->stop = true;
    this->reaper.join();
  }

  Response Handle(int node, const Request& request) {
    Trouble trouble;
    double dice = 0.0;
    std::int64_t delay = 0;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      trouble = this->troubles[node];
      dice = std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
      delay = std::uniform_int_distribution<std::int64_t>(1000, 6000)(this->random);
    }
    if (trouble.silent) {
      return {0, "", true, false};
    }
    if (trouble.reset) {
      return {0, "", false, true};
    }
    if (trouble.busy) {
      return {503, "{}", false, false};
    }
    Sleep(2 + trouble.slow_ms);
    const bool write = request.path == "/v1/kv-txn";
    if (write && dice < trouble.late) {
      std::thread([this, request, delay] {
        Sleep(delay);
        if (!this->stop) {
          this->Do(request);
        }
      }).detach();
      return {0, "", true, false};
    }
    const Response response = this->Do(request);
    if (write && dice < trouble.late + trouble.lost) {
      return {0, "", true, false};
    }
    return response;
  }

  /// A write of the operator or of a worker.
  std::uint64_t Put(const std::string& key, const std::string& value, std::uint64_t lease = 0) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->revision;
    this->Set(key, Base64(value), lease);
    this->changed.notify_all();
    return this->revision;
  }
  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->revision;
    this->Erase(key);
    this->changed.notify_all();
  }
  std::vector<std::string> Keys(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> keys;
    for (auto i = this->items.lower_bound(prefix); i != this->items.end() && i->first.rfind(prefix, 0) == 0; ++i) {
      keys.push_back(i->first);
    }
    return keys;
  }
  std::string ValueBase64(const std::string& key) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->items.find(key);
    return found == this->items.end() ? "" : found->second.value;
  }
  void Compact() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->history.clear();
    this->oldest = this->revision;
    this->changed.notify_all();
  }
  void SetTrouble(int node, const Trouble& trouble) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->troubles[node] = trouble;
  }
  std::mt19937_64 random{1};

 private:
  void Set(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& item = this->items[key];
    item.created = item.rev == 0 ? this->revision : item.created;
    item.rev = this->revision;
    item.value = value;
    item.lease = lease;
    this->history.push_back({this->revision, key, false, item});
    this->Trim();
  }
  void Erase(const std::string& key) {
    if (this->items.erase(key) != 0) {
      this->history.push_back({this->revision, key, true, Item()});
      this->Trim();
    }
  }
  void Trim() {
    while (this->history.size() > 20000) {
      this->oldest = this->history.front().rev;
      this->history.pop_front();
    }
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
      ++this->revision;
      for (const std::string& key : keys) {
        this->Erase(key);
      }
      this->changed.notify_all();
    }
  }
  void EndLeases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : this->leases) {
      if (NowMs() >= lease.ends_at) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      this->EndLease(id);
    }
  }
  Json ToJson(const std::string& key, const Item& item) const {
    return {{"key", key}, {"value", item.value}, {"rev", item.rev}, {"created", item.created}, {"lease", item.lease}};
  }
  static Response Answer(int status, const Json& body) { return {status, body.dump(), false, false}; }

  Response Do(const Request& request) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->EndLeases();
    if (request.path == "/v1/kv-key") {
      const auto found = this->items.find(Arg(request, "key"));
      if (found == this->items.end()) {
        return Answer(404, {{"storeRevision", this->revision}});
      }
      Json body = this->ToJson(found->first, found->second);
      body["storeRevision"] = this->revision;
      return Answer(200, body);
    }
    if (request.path == "/v1/kv-range") {
      const std::string prefix = Arg(request, "prefix");
      const std::string after = Arg(request, "after");
      Json rows = Json::array();
      bool truncated = false;
      for (auto i = this->items.lower_bound(prefix); i != this->items.end() && i->first.rfind(prefix, 0) == 0; ++i) {
        if (!after.empty() && i->first <= after) {
          continue;
        }
        if (rows.size() >= 500) {
          truncated = true;
          break;
        }
        rows.push_back(this->ToJson(i->first, i->second));
      }
      return Answer(200, {{"items", rows}, {"truncated", truncated}, {"storeRevision", this->revision}});
    }
    if (request.path == "/v1/kv-watch") {
      const std::string prefix = Arg(request, "prefix");
      const std::uint64_t after = std::stoull(Arg(request, "after"));
      const std::int64_t until = NowMs() + std::stoll(Arg(request, "waitMs"));
      for (;;) {
        if (after < this->oldest) {
          return Answer(410, {{"storeRevision", this->revision}});
        }
        Json events = Json::array();
        for (const Event& event : this->history) {
          if (event.rev > after && event.key.rfind(prefix, 0) == 0) {
            events.push_back(event.removed ? Json{{"key", event.key}, {"rev", event.rev}, {"removed", true}}
                                           : this->ToJson(event.key, event.item));
          }
        }
        if (!events.empty() || NowMs() >= until || this->stop) {
          return Answer(200, {{"events", events}, {"storeRevision", this->revision}});
        }
        this->changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, until - NowMs())));
      }
    }
    if (request.path == "/v1/kv-txn") {
      const Json body = Json::parse(request.body);
      bool holds = true;
      Json rows = Json::array();
      for (const Json& row : body.value("precondition", Json::array())) {
        const auto found = this->items.find(row["key"].get<std::string>());
        const std::uint64_t rev = found == this->items.end() ? 0 : found->second.rev;
        holds = holds && rev == row["rev"].get<std::uint64_t>();
        if (found != this->items.end()) {
          rows.push_back(this->ToJson(found->first, found->second));
        }
      }
      if (!holds) {
        return Answer(412, {{"items", rows}, {"storeRevision", this->revision}});
      }
      for (const Json& put : body.value("puts", Json::array())) {
        const std::uint64_t lease = put.value("lease", std::uint64_t{0});
        if (lease != 0 && this->leases.count(lease) == 0) {
          return Answer(404, {{"storeRevision", this->revision}});
        }
      }
      ++this->revision;
      for (const Json& put : body.value("puts", Json::array())) {
        this->Set(put["key"], put["value"], put.value("lease", std::uint64_t{0}));
      }
      for (const Json& key : body.value("remove", Json::array())) {
        this->Erase(key.get<std::string>());
      }
      this->changed.notify_all();
      return Answer(200, {{"rev", this->revision}});
    }
    if (request.path == "/v1/kv-lease") {
      const std::int64_t ttl =
          std::clamp<std::int64_t>(Json::parse(request.body)["ttlMs"].get<std::int64_t>(), 1000, 600000);
      const std::uint64_t id = ++this->next_lease;
      this->leases[id] = {ttl, NowMs() + ttl};
      return Answer(200, {{"lease", id}, {"ttlMs", ttl}});
    }
    const std::uint64_t id = std::strtoull(request.path.substr(request.path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto lease = this->leases.find(id);
    if (lease == this->leases.end()) {
      return Answer(404, Json::object());
    }
    if (request.path.rfind("/v1/kv-keep/", 0) == 0) {
      lease->second.ends_at = NowMs() + lease->second.ttl;
      return Answer(200, {{"ttlMs", lease->second.ttl}});
    }
    this->EndLease(id);
    return Answer(200, Json::object());
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::deque<Event> history;
  std::map<std::uint64_t, Lease> leases;
  std::map<int, Trouble> troubles;
  std::uint64_t revision = 100, oldest = 0, next_lease = 7000;
  std::atomic<bool> stop{false};
  std::thread reaper;
};

// ---- Workers ----------------------------------------------------------------------------------

/// What a client has handed in, and what its tasks do.
struct Job {
  std::string id, prefix, host;
  Json body;
  int max_attempts = 2;
  std::map<std::string, int> fails;  ///< by task: so many runs end `failed`
  bool accepted = false, refused_only = true, cancelled = false;
  std::int64_t accepted_at = 0, cancel_acked_at = 0;
};

struct Bounds {
  std::int64_t stop_ms = 900, gang_ms = 3000, max_hold_ms = 10000, checkpoint_ms = 1000, heartbeat_ms = 1100;
};

inline int FreePort();
class World;

class Worker {
 public:
  struct Run {
    std::uint64_t number = 0;
    std::string checkpoint;
    double work = 0, saved = 0, need = 0;
    std::int64_t begun = 0, stop_at = 0;
    bool at_work = false, gang = false, lasts = false, fails = false, saves = false;
    std::int64_t cpu = 0, mem = 0;
  };
  struct End {
    std::uint64_t n;
    std::string task;
    std::uint64_t run;
    std::string how, checkpoint;
    bool lapsed_since = false, noted = false;
  };

  Worker(World* world, std::string name, std::string zone, std::string rack)
      : world(world), name(std::move(name)), zone(std::move(zone)), rack(std::move(rack)) {}

  World* world;
  std::string name, zone, rack, id;
  std::unique_ptr<Server> server;
  int port = 0;
  bool up = false, cut = false, reports = true, draining = false;
  double late = 0.0;  ///< share of the orders that get no answer and are carried out 2 to 12 s later
  std::int64_t born = 0, booted = 0, last_report = 0, leave_at = 0;
  std::uint64_t sequence = 0;
  std::uint64_t fence = 0, next_end = 1, lives = 0, saves = 0;
  std::int64_t deadline = 0;
  std::map<std::string, Run> running;
  std::map<std::string, std::uint64_t> ended;
  std::deque<End> finished;

  std::int64_t Clock() const { return static_cast<std::int64_t>((NowMs() - this->booted) * 0.99); }
};

class World {
 public:
  explicit World(Store* store) : store(store) {
    this->ticker = std::thread([this] {
      std::int64_t last = NowMs();
      while (!this->stop) {
        Sleep(10);
        const std::int64_t now = NowMs();
        this->Tick(now - last);
        last = now;
      }
    });
  }
  ~World() {
    this->stop = true;
    this->ticker.join();
    for (auto& worker : this->workers) {
      if (worker->server) {
        worker->server->Close();
        static_cast<void>(worker->server.release());
      }
    }
  }

  Store* store;
  Bounds bounds;
  std::string service = "huvo11a";
  std::recursive_mutex mutex;
  std::condition_variable_any ends;
  std::vector<std::unique_ptr<Worker>> workers;
  std::map<std::string, Job> jobs;
  std::map<std::string, std::string> done;                       ///< by task: worker and run that ended `done`
  std::map<std::string, std::set<std::string>> noted_done;       ///< by task: ends that were taken note of
  std::map<std::string, int> noted_failed;                       ///< by task
  std::map<std::string, int> ended_failed;                       ///< by task, taken note of or not
  std::map<std::string, std::vector<std::int64_t>> starts;       ///< by task
  std::map<std::string, std::set<std::string>> checkpoints;      ///< by step or task
  std::function<void(Worker*, const std::string&)> on_start;     ///< a task has begun
  /// How many milliseconds later an order is carried out, which gets no answer then; 0: at once.
  std::function<std::int64_t(Worker*, const std::string&, const Json&)> late_by;
  std::mt19937_64 random{7};
  std::uint64_t started = 0;

  Worker* Add(const std::string& name, const std::string& zone, const std::string& rack) {
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    this->workers.push_back(std::make_unique<Worker>(this, name, zone, rack));
    return this->workers.back().get();
  }
  /// Starts a life of the worker. With `new_id` it has another id; the address stays. It reports itself after
  /// `report_after` ms.
  void Boot(Worker* w, bool new_id, std::int64_t report_after = 0) {
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    if (w->id.empty() || new_id) {
      char text[32];
      std::snprintf(text, sizeof text, "i-%08x", static_cast<unsigned>(this->random()));
      w->id = text;
    }
    w->born = WallMs();
    w->booted = NowMs();
    w->sequence = 0;
    w->fence = 0;
    w->next_end = 1;
    w->deadline = 0;
    w->lives++;
    w->running.clear();
    w->ended.clear();
    w->finished.clear();
    w->draining = false;
    w->up = true;
    if (!w->server) {
      w->port = w->port != 0 ? w->port : FreePort();
      w->server = std::make_unique<Server>([this, w](const Request& r) { return this->Handle(w, r); }, w->port);
      w->port = w->server->port();
    }
    Rec().Line("worker " + w->name + " up as " + w->id + " born " + std::to_string(w->born) + " at " +
               w->server->address());
    if (report_after == 0) {
      this->Report(w);
    } else {
      w->last_report = NowMs() - this->bounds.heartbeat_ms + report_after;
    }
  }
  /// The worker's process dies: nothing runs there any more, and nothing answers.
  void Crash(Worker* w) {
    std::unique_ptr<Server> server;
    {
      const std::lock_guard<std::recursive_mutex> lock(this->mutex);
      Rec().Line("worker " + w->name + " crashes, with " + std::to_string(w->running.size()) + " runs");
      w->up = false;
      std::vector<std::string> lost;
      for (const auto& [task, run] : w->running) {
        lost.push_back(task + " run " + std::to_string(run.number));
        this->BreakGang(task, run, w);
      }
      for (const std::string& text : lost) {
        Rec().Line("run-lost " + text + " on " + w->name);
      }
      w->running.clear();
      w->finished.clear();
      server = std::move(w->server);
    }
    // Threads of its channels may still be at work, so the object stays.
    if (server) {
      server->Close();
      static_cast<void>(server.release());
    }
  }

  void Report(Worker* w) {
    Json entry = {{"service", this->service},
                  {"address", "127.0.0.1:" + std::to_string(w->port)},
                  {"zone", w->zone},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", w->draining ? "draining" : "ready"},
                  {"coldRemainingMs", 0},
                  {"room", {{"cpu", 16000}, {"memMb", 64000}, {"gpu", 0}}},
                  {"labels", {"a", w->rack}},
                  {"clockMs", w->Clock()},
                  {"born", w->born},
                  {"sequence", ++w->sequence}};
    if (w->draining) {
      entry["drainRemainingMs"] = std::max<std::int64_t>(0, w->leave_at - NowMs());
    }
    w->last_report = NowMs();
    this->store->Put("servers/" + w->id, entry.dump());
    this->reported[w->id] = NowMs();
  }

 private:
  friend class Worker;

  static std::string StepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }
  /// Fields of the name ID.K.STEP.INDEX.
  static bool Split(const std::string& task, std::string* id, int* k, int* step, int* index) {
    std::stringstream parts(task);
    std::string part[4];
    for (std::string& p : part) {
      if (!std::getline(parts, p, '.')) {
        return false;
      }
    }
    *id = part[0];
    *k = std::atoi(part[1].c_str());
    *step = std::atoi(part[2].c_str());
    *index = std::atoi(part[3].c_str());
    return true;
  }
  static Response Answer(int status, const Json& body) { return {status, body.dump(), false, false}; }

  Response Handle(Worker* w, const Request& request) {
    std::unique_lock<std::recursive_mutex> lock(this->mutex);
    if (!w->up || w->cut) {
      return {0, "", true, false};
    }
    if (request.path == "/health") {
      return {w->draining ? 503 : 200, "{}", false, false};
    }
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != w->id) {
      return Answer(421, Json::object());
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
      return Answer(400, Json::object());
    }
    if (const std::int64_t delay = this->late_by ? this->late_by(w, request.path, body) : 0) {
      this->CarryLate(w, request.path, body, delay);
      return {0, "", true, false};
    }
    const bool order = request.path != "/v1/hold" || body.contains("deadlineMs");
    if (order && w->late > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < w->late) {
      const std::int64_t delay = std::uniform_int_distribution<std::int64_t>(2000, 12000)(this->random);
      this->CarryLate(w, request.path, body, delay);
      return {0, "", true, false};
    }
    return this->Carry(w, request.path, body, &lock);
  }

  /// Carries an order out later, also if the worker has restarted under its id meanwhile.
  void CarryLate(Worker* w, const std::string& path, const Json& body, std::int64_t delay) {
    const std::string id = w->id;
    std::thread([this, w, path, body, delay, id] {
      Sleep(delay);
      std::unique_lock<std::recursive_mutex> lock(this->mutex);
      if (!this->stop && w->up && !w->cut && w->id == id) {
        Rec().Line("late order " + path + " at " + w->name);
        this->Carry(w, path, body, nullptr);
      }
    }).detach();
  }

  Response Carry(Worker* w, const std::string& path, const Json& body, std::unique_lock<std::recursive_mutex>* lock) {
    const auto reply = [&](int status, Json fields) {
      fields["clockMs"] = w->Clock();
      return Answer(status, fields);
    };
    const std::uint64_t token = body.value("fenceToken", std::uint64_t{0});
    if (token < w->fence) {
      return reply(409, {{"reason", "fence"}});
    }
    w->fence = token;
    const auto extend = [&] {
      if (body.contains("deadlineMs")) {
        const std::int64_t d = std::min(body["deadlineMs"].get<std::int64_t>(), w->Clock() + this->bounds.max_hold_ms);
        w->deadline = std::max(w->deadline, d);
      }
    };
    if (path == "/v1/run-start") {
      if (body["deadlineMs"].get<std::int64_t>() <= w->Clock()) {
        return reply(409, {{"reason", "late"}});
      }
      extend();
      return this->Start(w, body, reply);
    }
    if (path == "/v1/run-stop") {
      const std::string task = body["task"];
      const std::uint64_t run = body["run"];
      const auto found = w->running.find(task);
      if (found != w->running.end() && found->second.number == run) {
        found->second.stop_at = found->second.stop_at != 0 ? found->second.stop_at : NowMs() + 150;
      } else {
        w->ended[task] = std::max(w->ended[task], run);
      }
      Rec().Line("stop " + task + " run " + std::to_string(run) + " on " + w->name);
      return reply(200, Json::object());
    }
    if (path == "/v1/pace") {
      return reply(w->running.count(body["task"].get<std::string>()) ? 200 : 409, Json::object());
    }
    if (path != "/v1/hold") {
      return Answer(404, Json::object());
    }
    extend();
    const std::uint64_t cursor = body.value("ackCursor", std::uint64_t{0});
    while (!w->finished.empty() && w->finished.front().n <= cursor) {
      this->TakeNote(w, w->finished.front());
      w->finished.pop_front();
    }
    const std::int64_t until = NowMs() + std::min<std::int64_t>(2000, body.value("waitMs", std::int64_t{0}));
    const std::uint64_t life = w->lives;
    while (lock != nullptr && w->finished.empty() && NowMs() < until && w->up && w->lives == life && !this->stop) {
      this->ends.wait_for(*lock, std::chrono::milliseconds(std::max<std::int64_t>(1, until - NowMs())));
    }
    if (!w->up || w->lives != life || w->cut) {
      return {0, "", true, false};
    }
    Json running = Json::array();
    for (const auto& [task, run] : w->running) {
      const double percent = run.lasts ? (run.at_work && run.work >= 400 ? 100.0 : 50.0)
                                       : std::min(99.0, 100.0 * run.work / std::max(1.0, run.need));
      running.push_back({task, run.number, run.checkpoint, static_cast<int>(percent), run.cpu});
    }
    Json finished = Json::array();
    for (const Worker::End& end : w->finished) {
      if (finished.size() < 500) {
        finished.push_back({end.n, end.task, end.run, end.how, end.checkpoint});
      }
    }
    return reply(200, {{"running", running}, {"finished", finished}, {"born", w->born}});
  }

  template <class Reply>
  Response Start(Worker* w, const Json& body, const Reply& reply) {
    const std::string task = body["task"];
    const std::uint64_t number = body["run"];
    const auto running = w->running.find(task);
    if (running != w->running.end() && running->second.number == number) {
      return reply(200, Json::object());
    }
    const auto ended = w->ended.find(task);
    if (running != w->running.end() || (ended != w->ended.end() && number <= ended->second)) {
      return reply(409, {{"reason", "old"}});
    }
    std::string id;
    int k = 0, step = 0, index = 0;
    const std::string text = task + " run " + std::to_string(number) + " on " + w->name + " token " +
                             std::to_string(body.value("fenceToken", std::uint64_t{0}));
    const bool named = Split(task, &id, &k, &step, &index);
    const auto job = this->jobs.find(id);
    if (!named || job == this->jobs.end() || job->second.body["spec"] != body["spec"] ||
        step >= static_cast<int>(job->second.body["steps"].size()) ||
        index >= job->second.body["steps"][step]["count"].get<int>()) {
      Rec().Break("UNASKED", text);
      return reply(400, Json::object());
    }
    const Json& spec = job->second.body["steps"][step];
    const bool gang = spec.value("gang", false);
    Rec().Line("start " + text + (body.contains("lastCheckpoint") ? " from " + body["lastCheckpoint"].get<std::string>() : ""));
    this->CheckStart(w, task, job->second, k, step, spec, text, body.value("lastCheckpoint", std::string()));
    Worker::Run run;
    run.number = number;
    run.begun = NowMs();
    run.need = spec.value("estimateMs", 500);
    run.lasts = spec.value("longRunning", false);
    run.saves = spec.value("checkpointing", false);
    run.gang = gang;
    run.at_work = !gang;
    run.cpu = spec.value("cpu", 0);
    run.mem = spec.value("memMb", 0);
    int& fails = job->second.fails[task];
    run.fails = fails > 0;
    fails -= fails > 0 ? 1 : 0;
    const std::string from = body.value("lastCheckpoint", std::string());
    run.checkpoint = from;
    run.work = run.saved = this->saved_work.count(from) ? this->saved_work[from] : 0.0;
    w->running[task] = run;
    this->started++;
    this->starts[task].push_back(NowMs());
    if (gang) {
      this->JoinGang(task, number, spec["count"].get<std::size_t>());
    }
    if (this->on_start) {
      this->on_start(w, task);
    }
    return reply(200, Json::object());
  }

  void CheckStart(Worker* w, const std::string& task, Job& job, int k, int step, const Json& spec,
                  const std::string& text, const std::string& checkpoint) {
    const bool speculative = spec.value("speculative", false);
    const bool gang = spec.value("gang", false);
    std::int64_t cpu = spec.value("cpu", 0), mem = spec.value("memMb", 0);
    int same_step = 1;
    for (const auto& other : this->workers) {
      if (other->up && other->running.count(task) != 0 && !speculative) {
        Rec().Break("TWICE", text + " while run " + std::to_string(other->running[task].number) + " is on " + other->name);
      }
    }
    for (const auto& [other, run] : w->running) {
      cpu += run.cpu;
      mem += run.mem;
      same_step += StepOf(other) == StepOf(task) ? 1 : 0;
    }
    if (cpu > 16000 || mem > 64000) {
      Rec().Break("LIMIT", text + " brings it to cpu " + std::to_string(cpu) + " memory " + std::to_string(mem));
    }
    if (spec.value("antiAffinity", 0) > 0 && same_step > spec["antiAffinity"].get<int>()) {
      Rec().Break("ROUTE", text + " beyond antiAffinity");
    }
    if (!this->noted_done[task].empty() && !speculative) {
      Rec().Break("TWICE", text + " after an end as done was taken note of");
    }
    if (spec.value("longRunning", false) == false && this->noted_failed[task] >= job.max_attempts) {
      Rec().Break("BUDGET", text + " after " + std::to_string(this->noted_failed[task]) + " ends as failed");
    }
    if (!checkpoint.empty() && this->checkpoints[gang ? StepOf(task) : task].count(checkpoint) == 0) {
      Rec().Break("UNASKED", text + " with a checkpoint that isn't the task's: " + checkpoint);
    }
    if (job.cancel_acked_at != 0 && NowMs() - job.cancel_acked_at > 3000) {
      Rec().Line("NOTE start after cancel: " + text);
    }
    for (const Json& earlier : spec.value("after", Json::array())) {
      const std::string prefix = job.id + "." + std::to_string(k) + "." + std::to_string(earlier.get<int>()) + ".";
      const Json& other = job.body["steps"][earlier.get<int>()];
      int ended = 0;
      for (int i = 0; i < other["count"].get<int>(); ++i) {
        ended += static_cast<int>(this->done.count(prefix + std::to_string(i)));
      }
      if (other.value("gang", false) ? ended == 0 : ended < other["count"].get<int>()) {
        Rec().Break("ORDER", text + " before step " + std::to_string(earlier.get<int>()) + " is done");
      }
    }
    const std::int64_t due = job.body.value("startAtMs", std::int64_t{0}) + k * job.body.value("intervalMs", std::int64_t{0});
    if (job.body.value("repeatCount", 0) > 0 && WallMs() < due - 250) {
      Rec().Break("ORDER", text + " " + std::to_string(due - WallMs()) + " ms before its time");
    }
  }

  void TakeNote(Worker* w, const Worker::End& end) {
    Rec().Line("noted " + std::to_string(end.n) + " " + end.task + " run " + std::to_string(end.run) + " " + end.how +
               " on " + w->name);
    if (end.lapsed_since) {
      return;
    }
    if (end.how == "failed") {
      this->noted_failed[end.task]++;
    }
    if (end.how != "done") {
      return;
    }
    std::string id;
    int k = 0, step = 0, index = 0;
    Split(end.task, &id, &k, &step, &index);
    const Json& spec = this->jobs[id].body["steps"][step];
    if (spec.value("longRunning", false) || spec.value("speculative", false)) {
      return;
    }
    this->noted_done[end.task].insert(w->name + "/" + std::to_string(end.run));
    for (const std::int64_t at : this->starts[end.task]) {
      if (at > this->end_times[end.task + "/" + w->name + "/" + std::to_string(end.run)]) {
        Rec().Break("TWICE", end.task + " was started after run " + std::to_string(end.run) +
                                 " had ended done on " + w->name + ", which was taken note of now");
      }
    }
  }

  void Finish(Worker* w, const std::string& task, const std::string& how) {
    const auto found = w->running.find(task);
    if (found == w->running.end()) {
      return;
    }
    Worker::Run run = found->second;
    w->running.erase(found);
    w->ended[task] = std::max(w->ended[task], run.number);
    if (how == "stopped" && run.saves) {
      this->Save(w, task, &run);
    }
    this->ended_failed[task] += how == "failed" ? 1 : 0;
    if (how == "done") {
      this->done[task] = w->name;
      this->end_times[task + "/" + w->name + "/" + std::to_string(run.number)] = NowMs();
    }
    Rec().Line("end " + std::to_string(w->next_end) + " " + task + " run " + std::to_string(run.number) + " " + how +
               " on " + w->name);
    w->finished.push_back({w->next_end++, task, run.number, how, run.checkpoint, false, false});
    this->ends.notify_all();
    if (how != "done") {
      this->BreakGang(task, run, w);
    }
  }
  void Save(Worker* w, const std::string& task, Worker::Run* run) {
    char text[40];
    std::snprintf(text, sizeof text, "%08llx%08x", static_cast<unsigned long long>(++this->saves),
                  static_cast<unsigned>(w->port));
    run->checkpoint = text;
    run->saved = run->work;
    this->saved_work[text] = run->work;
    this->checkpoints[run->gang ? StepOf(task) : task].insert(text);
  }

  /// The others of the gang's run end as broken.
  void BreakGang(const std::string& task, const Worker::Run& run, const Worker* from) {
    if (!run.gang) {
      return;
    }
    for (const auto& other : this->workers) {
      std::vector<std::string> members;
      for (const auto& [name, r] : other->running) {
        if (name != task && StepOf(name) == StepOf(task) && r.number == run.number && r.at_work) {
          members.push_back(name);
        }
      }
      for (const std::string& name : members) {
        if (other.get() != from || other->up) {
          this->broken.emplace_back(other.get(), name);
        }
      }
    }
  }
  void JoinGang(const std::string& task, std::uint64_t number, std::size_t count) {
    std::vector<Worker::Run*> members;
    for (const auto& worker : this->workers) {
      for (auto& [name, run] : worker->running) {
        if (worker->up && StepOf(name) == StepOf(task) && run.number == number) {
          members.push_back(&run);
        }
      }
    }
    if (members.size() == count) {
      for (Worker::Run* run : members) {
        run->at_work = true;
      }
    }
  }

  void Tick(std::int64_t passed) {
    const std::lock_guard<std::recursive_mutex> lock(this->mutex);
    for (const auto& w : this->workers) {
      if (!w->up) {
        continue;
      }
      if (w->reports && !w->cut && NowMs() - w->last_report >= this->bounds.heartbeat_ms) {
        this->Report(w.get());
      }
      if (w->draining && NowMs() >= w->leave_at) {
        this->leaving.push_back(w.get());
        continue;
      }
      const bool lapsed = w->Clock() > w->deadline;
      std::vector<std::pair<std::string, std::string>> over;
      if (lapsed) {
        for (Worker::End& end : w->finished) {
          end.lapsed_since = true;
        }
      }
      for (auto& [task, run] : w->running) {
        if (lapsed) {
          over.emplace_back(task, "lapsed");
        } else if (run.stop_at != 0 && NowMs() >= run.stop_at) {
          over.emplace_back(task, "stopped");
        } else if (!run.at_work && NowMs() - run.begun > this->bounds.gang_ms) {
          over.emplace_back(task, "alone");
        } else if (run.at_work) {
          run.work += static_cast<double>(passed);
          if (run.saves && run.work - run.saved >= static_cast<double>(this->bounds.checkpoint_ms)) {
            this->Save(w.get(), task, &run);
          }
          if (run.fails && run.work >= run.need / 2) {
            over.emplace_back(task, "failed");
          } else if (!run.lasts && run.work >= run.need) {
            over.emplace_back(task, "done");
          }
        }
      }
      for (const auto& [task, how] : over) {
        this->Finish(w.get(), task, how);
      }
    }
    // A gang ends together.
    for (const auto& [task, name] : std::map<std::string, std::string>(this->done)) {
      if (this->gang_done.count(task) != 0) {
        continue;
      }
      this->gang_done.insert(task);
      std::string id;
      int k = 0, step = 0, index = 0;
      Split(task, &id, &k, &step, &index);
      if (!this->jobs[id].body["steps"][step].value("gang", false)) {
        continue;
      }
      for (const auto& w : this->workers) {
        std::vector<std::string> members;
        for (const auto& [other, run] : w->running) {
          if (StepOf(other) == StepOf(task) && run.at_work) {
            members.push_back(other);
          }
        }
        for (const std::string& other : members) {
          this->Finish(w.get(), other, "done");
        }
      }
    }
    for (const auto& [w, task] : std::exchange(this->broken, {})) {
      if (w->up) {
        this->Finish(w, task, "broken");
      }
    }
    // An entry goes after three intervals of silence.
    for (auto entry = this->reported.begin(); entry != this->reported.end();) {
      if (NowMs() - entry->second > 3 * this->bounds.heartbeat_ms) {
        this->store->Remove("servers/" + entry->first);
        entry = this->reported.erase(entry);
      } else {
        ++entry;
      }
    }
  }

  std::atomic<bool> stop{false};
  std::thread ticker;
  std::map<std::string, std::int64_t> reported;  ///< last report by id
  std::map<std::string, double> saved_work;
  std::map<std::string, std::int64_t> end_times;
  std::set<std::string> gang_done;
  std::vector<std::pair<Worker*, std::string>> broken;
  std::vector<Worker*> leaving;
  std::uint64_t saves = 0;
};

// ---- The project's processes ------------------------------------------------------------------

/// \returns a free port below those that the system gives to channels, so that none takes it meanwhile.
inline int FreePort() {
  static std::mt19937 random(static_cast<unsigned>(getpid()) * 2654435761U + static_cast<unsigned>(WallMs()));
  for (;;) {
    const int port = std::uniform_int_distribution<int>(15000, 31000)(random);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    close(fd);
    if (free) {
      return port;
    }
  }
}

/// One node: a process of the project with settings of its own, and its own port of the store.
struct Node {
  std::string name, zone, settings, log;
  int front = 0, ready = 0, control = 0;
  std::unique_ptr<Server> store_port;
  pid_t pid = 0;
  std::atomic<bool> ended_itself{false};
};

class Deployment {
 public:
  Deployment(std::string program, std::string directory) : program(std::move(program)), directory(std::move(directory)) {}
  ~Deployment() { this->StopAll(); }
  std::string program, directory;
  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::string> zones{"waikato", "manawatu", "hawkes"};

  void AddNode(const std::string& zone) {
    auto node = std::make_unique<Node>();
    const int number = static_cast<int>(this->nodes.size());
    node->name = "edge-" + zone + "-" + std::to_string(number);
    node->zone = zone;
    node->front = FreePort();
    node->ready = FreePort();
    node->control = FreePort();
    node->store_port = std::make_unique<Server>([this, number](const Request& r) { return this->store.Handle(number, r); });
    node->settings = this->directory + "/" + node->name + ".conf";
    node->log = this->directory + "/" + node->name + ".log";
    this->nodes.push_back(std::move(node));
  }
  void WriteSettings() {
    for (const auto& node : this->nodes) {
      std::ofstream out(node->settings);
      out << "nodeName=" << node->name << "\nrole=scheduler\nmachineClass=edge\nserves=edge,control_plane\n"
          << "ip=127.0.0.1\nzone=" << node->zone << "\nregion=nz-north\n";
      for (const std::string& zone : this->zones) {
        out << "zones." << zone << "=nz-north\n";
      }
      out << "listenAddrs.front=127.0.0.1:" << node->front << "\nlistenAddrs.ready=127.0.0.1:" << node->ready
          << "\nlistenAddrs.control=127.0.0.1:" << node->control << "\nportRange=7720,7735\nseeds=127.0.0.1:"
          << this->nodes.front()->control << "\nbootstrap=true\nfaultCounted=false\nlimits.cpuShare=0.25\n"
          << "limits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
          << "discovery=platform\nentry=vip\nheartbeatMs=1100\n"
          << "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n"
          << "faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n"
          << "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\n"
          << "bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
          << "bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\nbounds.recoveryS=12\n"
          << "bounds.maxHoldMs=10000\nbounds.stopTimeoutMs=900\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000\n"
          << "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
          << "bounds.slowdownFactor=1.5\nbounds.checkpointS=1\nbounds.restoreMs=600\nbounds.noticeMs=4500\n"
          << "bounds.migrateS=1.5\nbounds.maintenanceS=2\nbounds.fencingEnabled=true\nbounds.leaseMs=3000\n"
          << "bounds.thawSlackMs=300\nbounds.paceMs=100\nbounds.impactMs=4000\ncommands=invocation\n"
          << "platform.address=" << node->store_port->address() << "\nplatform.form=kv\nplatform.writesPerS=400\n"
          << "platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
          << "cloudApi.ratePerS=60.0\ncloudApi.duties=\ncloudApi.dutyPerS=60.0\n";
    }
  }
  void Start(int number) {
    Node& node = *this->nodes[number];
    Rec().Line("node " + node.name + " starts");
    const pid_t pid = fork();
    if (pid == 0) {
      const int out = open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const std::string variable = "PISTACHIOSTALL_SETTINGS=" + node.settings;
      char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
      char* arguments[] = {const_cast<char*>(this->program.c_str()), nullptr};
      execve(this->program.c_str(), arguments, environment);
      _exit(127);
    }
    node.pid = pid;
  }
  void Signal(int number, int signal_number) {
    Node& node = *this->nodes[number];
    if (node.pid <= 0) {
      return;
    }
    Rec().Line("node " + node.name + " gets signal " + std::to_string(signal_number));
    kill(node.pid, signal_number);
  }
  /// Waits until the process has ended; kills it after `ms`.
  int Wait(int number, std::int64_t ms) {
    Node& node = *this->nodes[number];
    if (node.pid <= 0) {
      return 0;
    }
    int status = 0;
    const std::int64_t until = NowMs() + ms;
    while (waitpid(node.pid, &status, WNOHANG) == 0) {
      if (NowMs() > until) {
        kill(node.pid, SIGKILL);
        waitpid(node.pid, &status, 0);
        break;
      }
      Sleep(10);
    }
    node.pid = 0;
    return status;
  }
  /// \returns true if the process has ended by itself.
  bool Ended(int number) {
    Node& node = *this->nodes[number];
    int status = 0;
    if (node.pid > 0 && waitpid(node.pid, &status, WNOHANG) == node.pid) {
      Rec().Line("node " + node.name + " ended by itself, status " + std::to_string(status));
      node.pid = 0;
      return true;
    }
    return false;
  }
  void StopAll() {
    for (const auto& node : this->nodes) {
      if (node->pid > 0) {
        kill(node->pid, SIGCONT);
        kill(node->pid, SIGKILL);
        waitpid(node->pid, nullptr, 0);
        node->pid = 0;
      }
    }
  }
  bool Ready(int number) { return Call(this->nodes[number]->ready, "GET", "/v1/ready", "x", "", 500).status == 200; }
  bool WaitReady(std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    for (std::size_t i = 0; i < this->nodes.size();) {
      if (this->Ready(static_cast<int>(i))) {
        ++i;
      } else if (NowMs() > until) {
        return false;
      } else {
        Sleep(50);
      }
    }
    return true;
  }
  /// The node that owns the work now, by the key that it holds in the store, or -1.
  int Owner() {
    for (const std::string& key : this->store.Keys("")) {
      if (key.find("/own/") == std::string::npos) {
        continue;
      }
      const std::string value = this->store.ValueBase64(key);
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        // The record holds the host's name; base64 differs by its offset, so three forms are tried.
        for (int pad = 0; pad < 3; ++pad) {
          const std::string text = Base64(std::string(static_cast<std::size_t>(pad), 'x') + this->nodes[i]->name);
          const std::size_t skip = pad == 0 ? 0 : 4;
          const std::string core = text.substr(skip, text.size() - skip - 4);
          if (value.find(core) != std::string::npos) {
            return static_cast<int>(i);
          }
        }
      }
    }
    return -1;
  }
};

inline std::string ConfigText(int version, const std::string& service, const Json& routes) {
  Json config = {{"version", version},
                 {"routes", routes},
                 {"services",
                  {{{"name", service},
                    {"healthPath", "/health"},
                    {"maxConns", 64},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"admissionCheck", false},
                    {"headroom", false}}}},
                 {"limits",
                  {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
  return config.dump();
}
inline Json Route(const std::string& name, const std::string& host, const std::string& prefix,
                  const std::string& service, int priority, int attempts) {
  return {{"name", name},        {"host", host},           {"prefix", prefix},      {"kind", "non_idempotent"},
          {"timeoutMs", 3000},   {"targetDurationMs", 250}, {"priority", priority}, {"service", service},
          {"maxAttempts", attempts}, {"stretch", 1.5}};
}

inline std::string RandomDigits(std::mt19937_64& random) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace lab
