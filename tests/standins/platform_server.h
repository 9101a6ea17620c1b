#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "pistachio/connection/codec.h"
#include "pistachio/connection/platform.h"

namespace pistachio::standins {

/// \brief Faults of the platform's services that a test switches on.
struct PlatformFaults {
  bool down = false;               ///< the key-value service answers nothing but 503
  std::uint64_t lose_answers = 0;  ///< this many next writes take effect without an answer
  Duration delay{0};               ///< before each answer of the key-value service
  std::set<std::string> cut_off;   ///< data centres whose calls are refused, by header
};

/// \brief The platform over HTTP: the key-value service and the lagging list of hosts.
///
/// `POST /v1/call` serves the store, `GET /v1/hosts` the list as it was \a lag ago, `POST
/// /v1/register` adds a row; for tests `GET /counts` and `POST /control`.
class PlatformServer {
 public:
  PlatformServer(const Clock& clock, Duration lag);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  std::optional<ListenAddress> Listen(const ListenAddress& address);
  void Stop();

 private:
  struct WaitingCall {
    TimePoint due;
    ExchangeId exchange = 0;
    StoreCall call;
  };
  struct ListVersion {
    TimePoint from;
    std::map<TargetId, TargetListing> targets;
    std::map<HostId, DataCentreId> entry_hosts;
  };

  void Serve(const ServedRequest& request);
  void ServeStore(const ServedRequest& request);
  void ServeList(const ServedRequest& request);
  void ServeRegister(const ServedRequest& request);
  void ServeControl(const ServedRequest& request);
  void ServeCounts(const ServedRequest& request);
  void Execute(const WaitingCall& waiting);
  void AnswerWatches(TimePoint now);
  void RunTimers();
  void Reply(ExchangeId exchange, int status, const WireJson& body);

  Clock clock;
  Duration lag;
  std::mutex mutex;
  std::condition_variable wake;
  bool stopping = false;
  FakeStore store;
  PlatformFaults faults;
  std::vector<WaitingCall> delayed;
  std::vector<WaitingCall> watches;
  std::deque<ListVersion> versions;
  HttpServer server;
  std::thread timers;
};

}  // namespace pistachio::standins
