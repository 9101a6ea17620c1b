#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <variant>

#include "pistachio/connection/platform/http_client.h"
#include "pistachio/connection/store/calls.h"
#include "pistachio/connection/store/fake_store.h"

namespace pistachio {

/// \brief Called once with the reply to a store call.
using StoreCallback = std::function<void(const StoreReply&)>;

/// \brief The key-value service over HTTP and JSON.
class HttpKeyValueService {
 public:
  /// \param url base address, such as `http://127.0.0.1:7000`
  HttpKeyValueService(std::string url, HttpClient& client);

  void Call(const StoreCall& call, StoreCallback callback);

 private:
  std::string url;
  std::reference_wrapper<HttpClient> client;
};

/// \brief An in-process store with switchable faults, in place of the service.
class FakeKeyValueService {
 public:
  explicit FakeKeyValueService(FakeStore& store);

  void SetFault(StoreFault fault);
  void Call(const StoreCall& call, const StoreCallback& callback);

 private:
  std::reference_wrapper<FakeStore> store;
  StoreFault fault = StoreFault::kNone;
};

/// \brief Any key-value service; another platform is one more alternative.
using KeyValueService = std::variant<HttpKeyValueService, FakeKeyValueService>;

/// \brief Calls \a service; \a callback runs once, maybe on another thread.
void CallStoreService(KeyValueService& service, const StoreCall& call, StoreCallback callback);

/// \brief Calls and bytes to the key-value service, by role. Thread-safe.
class StoreTraffic {
 public:
  struct Row {
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
    std::uint64_t failures = 0;
  };

  void CountCall(StoreRole role, const StoreCall& call);
  void CountReply(StoreRole role, const StoreReply& reply);
  Row Read(StoreRole role) const;

 private:
  static constexpr std::size_t kRoles = 5;
  mutable std::mutex mutex;
  std::array<Row, kRoles> rows;
};

}  // namespace pistachio
