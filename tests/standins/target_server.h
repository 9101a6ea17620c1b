#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "pistachio/connection/codec.h"
#include "pistachio/connection/platform.h"
#include "tests/standins/target_model.h"

namespace pistachio::standins {

/// \brief How a target answers requests.
struct RequestBehaviour {
  Duration service_time = std::chrono::milliseconds(5);
  std::uint64_t lose_answers = 0;  ///< this many next requests run but are never answered
  bool refuse = false;             ///< says that it runs nothing
};

/// \brief A target over HTTP: tasks under leases and requests in slots.
///
/// `POST /v1/command`, `POST /v1/requests/SERVICE`, and for tests `GET /counts`, `POST /control`.
class TargetServer {
 public:
  TargetServer(const TargetListing& listing, const Clock& clock);
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  /// \returns the address in use, or nothing.
  std::optional<ListenAddress> Listen(const ListenAddress& address);
  void Stop();

  /// \returns what ran here: requests by id, intervals of tasks, slots in use at most.
  WireJson Counts();

 private:
  struct PendingAnswer {
    ExchangeId exchange = 0;
    ServedAnswer answer;
    bool lost = false;
  };

  void Serve(const ServedRequest& request);
  void ServeCommand(const ServedRequest& request);
  void ServeRequest(const ServedRequest& request);
  void ServeControl(const ServedRequest& request);
  bool Admit(const ServiceId& service);
  void RunTimers();
  void FinishDue(std::unique_lock<std::mutex>& lock);
  void Reply(ExchangeId exchange, int status, const WireJson& body);

  Clock clock;
  std::mutex mutex;
  std::condition_variable wake;
  bool stopping = false;
  TargetModel model;
  RequestBehaviour behaviour;
  std::map<std::string, std::uint64_t> runs_by_id;
  std::map<std::string, std::uint64_t> non_idempotent_runs;  ///< by body
  std::multimap<TimePoint, PendingAnswer> pending;
  std::uint32_t slots_in_use = 0;
  std::uint32_t most_slots_in_use = 0;
  std::uint64_t refusals = 0;
  std::uint64_t commands = 0;
  HttpServer server;
  std::thread timers;
};

}  // namespace pistachio::standins
