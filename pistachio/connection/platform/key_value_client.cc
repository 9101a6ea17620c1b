#include "pistachio/connection/platform/key_value_client.h"

#include "pistachio/connection/codec/store_json.h"

namespace pistachio {

namespace internal {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kWatchGrace = std::chrono::seconds(2);

Duration TimeoutOf(const StoreCall& call) {
  const auto* watch = std::get_if<WatchCall>(&call);
  return watch == nullptr ? kCallTimeout : kWatchGrace + watch->wait;
}

StoreReply ReplyOf(const HttpResult& result) {
  if (!result.answered()) {
    const bool nothing_sent = *result.failure == HttpFailure::kNotSent;
    return StoreReply{nothing_sent ? StoreStatus::kUnavailable : StoreStatus::kUnknown, {}, 0};
  }
  constexpr int kServiceUnavailable = 503;
  if (result.status == kServiceUnavailable) {
    return StoreReply{StoreStatus::kUnavailable, {}, 0};
  }
  const auto json = ReadJson(result.body);
  const auto reply = json ? FromJson<StoreReply>(*json) : std::nullopt;
  return reply.value_or(StoreReply{StoreStatus::kUnknown, {}, 0});
}

}  // namespace internal

HttpKeyValueService::HttpKeyValueService(std::string url, HttpClient& client)
    : url(std::move(url)), client(client) {}

void HttpKeyValueService::Call(const StoreCall& call, StoreCallback callback) {
  HttpCall http;
  http.method = "POST";
  http.url = this->url + "/v1/call";
  http.body = WireJson(call).dump();
  http.timeout = internal::TimeoutOf(call);
  this->client.get().Send(http, [callback = std::move(callback)](const HttpResult& result) {
    callback(internal::ReplyOf(result));
  });
}

FakeKeyValueService::FakeKeyValueService(FakeStore& store) : store(store) {}

void FakeKeyValueService::SetFault(StoreFault fault) { this->fault = fault; }

void FakeKeyValueService::Call(const StoreCall& call, const StoreCallback& callback) {
  callback(this->store.get().Call(call, this->fault));
}

void CallStoreService(KeyValueService& service, const StoreCall& call, StoreCallback callback) {
  std::visit([&](auto& typed) { typed.Call(call, std::move(callback)); }, service);
}

void StoreTraffic::CountCall(StoreRole role, const StoreCall& call) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Row& row = this->rows.at(static_cast<std::size_t>(role));
  row.calls++;
  row.bytes += BytesOf(call);
}

void StoreTraffic::CountReply(StoreRole role, const StoreReply& reply) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Row& row = this->rows.at(static_cast<std::size_t>(role));
  row.bytes += BytesOf(reply);
  const bool failed =
      reply.status == StoreStatus::kUnavailable || reply.status == StoreStatus::kUnknown;
  row.failures += failed ? 1 : 0;
}

StoreTraffic::Row StoreTraffic::Read(StoreRole role) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->rows.at(static_cast<std::size_t>(role));
}

}  // namespace pistachio
