#include "standin/standin_wire.h"

#include "platform/base64.h"
#include "platform/json_fields.h"

namespace pistachio::standin {

using platform::GetArray;
using platform::GetMillis;
using platform::GetString;
using platform::GetUnsigned;
using platform::Json;

namespace internal {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kMisdirectedRequest = 421;

Json ItemToJson(const StoreItem& item) {
  if (item.removed) {
    return {{"key", item.key}, {"rev", item.revision}, {"removed", true}};
  }
  return {{"key", item.key},
          {"value", platform::EncodeBase64(item.value)},
          {"rev", item.revision},
          {"created", item.created_revision},
          {"lease", item.lease}};
}

Transaction DecodeTransaction(const Json& body) {
  Transaction transaction;
  for (const Json& row : GetArray(body, "precondition")) {
    transaction.preconditions.push_back({GetString(row, "key"), GetUnsigned(row, "rev")});
  }
  for (const Json& row : GetArray(body, "puts")) {
    const auto value = platform::DecodeBase64(GetString(row, "value"));
    transaction.puts.push_back(
        {GetString(row, "key"), value ? *value : "", GetUnsigned(row, "lease")});
  }
  for (const Json& key : GetArray(body, "remove")) {
    transaction.removals.push_back(key.get<std::string>());
  }
  return transaction;
}

std::uint64_t ParseNumber(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

std::string LastPathSegment(const std::string& path) { return path.substr(path.rfind('/') + 1); }

ServedAnswer Answer(int status, const Json& body) {
  ServedAnswer answer;
  answer.status = status;
  answer.body = body.dump();
  return answer;
}

const char* OrderReason(OrderStatus status) {
  switch (status) {
    case OrderStatus::kFenced:
      return "fence";
    case OrderStatus::kSuperseded:
      return "old";
    case OrderStatus::kDeadlinePassed:
      return "late";
    default:
      return "room";
  }
}

int HttpStatusOf(OrderStatus status) {
  if (status == OrderStatus::kDone) {
    return kOk;
  }
  return status == OrderStatus::kWrongInstance ? kMisdirectedRequest : kConflict;
}

}  // namespace internal

std::optional<StoreCall> DecodeStoreCall(const ServedRequest& request) {
  const std::string& path = request.path;
  const auto body = platform::ParseObject(request.body);
  if (path == "/v1/kv-key") {
    return ReadKey{request.Query("key")};
  }
  if (path == "/v1/kv-range") {
    return ReadRange{request.Query("prefix"), request.Query("after")};
  }
  if (path == "/v1/kv-watch") {
    return WatchPrefix{request.Query("prefix"), internal::ParseNumber(request.Query("after")),
                       std::chrono::milliseconds(internal::ParseNumber(request.Query("waitMs")))};
  }
  if (path == "/v1/kv-txn" && body) {
    return internal::DecodeTransaction(*body);
  }
  if (path == "/v1/kv-lease" && body) {
    return GrantLease{GetMillis(*body, "ttlMs")};
  }
  if (path.rfind("/v1/kv-keep/", 0) == 0) {
    return RenewLease{internal::ParseNumber(internal::LastPathSegment(path))};
  }
  if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
    return EndLease{internal::ParseNumber(internal::LastPathSegment(path))};
  }
  return std::nullopt;
}

ServedAnswer EncodeStoreReply(const StoreCall& call, const StoreReply& reply) {
  Json items = Json::array();
  for (const StoreItem& item : reply.items) {
    items.push_back(internal::ItemToJson(item));
  }
  if (reply.status == StoreStatus::kConflict) {
    return internal::Answer(internal::kPreconditionFailed, {{"items", items}});
  }
  const bool watch = std::holds_alternative<WatchPrefix>(call);
  if (reply.status == StoreStatus::kMissing) {
    return internal::Answer(watch ? internal::kGone : internal::kNotFound, Json::object());
  }
  if (std::holds_alternative<ReadKey>(call)) {
    Json body = items.front();
    body["storeRevision"] = reply.revision;
    return internal::Answer(internal::kOk, body);
  }
  return internal::Answer(internal::kOk, {{watch ? "events" : "items", items},
                                          {"truncated", reply.truncated},
                                          {"storeRevision", reply.revision},
                                          {"rev", reply.revision},
                                          {"lease", reply.lease},
                                          {"ttlMs", reply.ttl.count()}});
}

std::optional<ReceivedOrder> DecodeOrder(const ServedRequest& request) {
  const auto body = platform::ParseObject(request.body);
  if (!body) {
    return std::nullopt;
  }
  ReceivedOrder received;
  received.expected = TargetId(request.Header("x-expect-instance"));
  received.token = GetUnsigned(*body, "fenceToken");
  if (request.path == "/v1/hold") {
    HoldOrder hold;
    hold.acked_end = GetUnsigned(*body, "ackCursor");
    hold.wait = GetMillis(*body, "waitMs");
    if (body->find("deadlineMs") != body->end()) {
      hold.deadline = GetMillis(*body, "deadlineMs");
    }
    received.order = hold;
    return received;
  }
  const auto task = ParseTaskKey(GetString(*body, "task"));
  if (!task) {
    return std::nullopt;
  }
  const auto run = static_cast<RunNumber>(GetUnsigned(*body, "run"));
  if (request.path == "/v1/run-start") {
    received.order = StartOrder{*task, run, GetString(*body, "spec"),
                                GetMillis(*body, "deadlineMs"), GetString(*body, "lastCheckpoint")};
  } else if (request.path == "/v1/run-stop") {
    received.order = StopOrder{*task, run};
  } else if (request.path == "/v1/pace") {
    received.order =
        PaceOrder{*task, run, static_cast<std::uint32_t>(GetUnsigned(*body, "percent"))};
  } else {
    return std::nullopt;
  }
  return received;
}

ServedAnswer EncodeOrderReply(const OrderReply& reply) {
  Json body = {{"clockMs", reply.clock ? reply.clock->count() : 0}};
  if (reply.status != OrderStatus::kDone) {
    body["reason"] = internal::OrderReason(reply.status);
  }
  return internal::Answer(internal::HttpStatusOf(reply.status), body);
}

ServedAnswer EncodeHoldReply(const HoldReply& reply) {
  Json running = Json::array();
  for (const RunningRun& run : reply.running) {
    running.push_back(
        Json::array({run.task.str(), run.run, run.checkpoint, run.percent, run.metric}));
  }
  Json finished = Json::array();
  for (const FinishedRun& end : reply.finished) {
    finished.push_back(
        Json::array({end.number, end.task.str(), end.run, NameOf(end.outcome), end.checkpoint}));
  }
  Json body = {{"clockMs", reply.clock ? reply.clock->count() : 0},
               {"born", reply.incarnation},
               {"running", running},
               {"finished", finished}};
  if (reply.status != OrderStatus::kDone) {
    body["reason"] = internal::OrderReason(reply.status);
  }
  return internal::Answer(internal::HttpStatusOf(reply.status), body);
}

std::string EncodeTarget(const TargetEntry& entry, std::uint64_t sequence) {
  constexpr int kSlots = 8;
  return Json{{"service", entry.service.str()},
              {"address", entry.address},
              {"zone", entry.data_centre.str()},
              {"version", "v1"},
              {"slots", kSlots},
              {"state", entry.state == TargetState::kReady ? "ready" : "draining"},
              {"coldRemainingMs", 0},
              {"room",
               {{"cpu", entry.capacity.cpu_millis},
                {"memMb", entry.capacity.memory_mib},
                {"gpu", entry.capacity.accelerators}}},
              {"labels", entry.labels},
              {"born", entry.incarnation},
              {"sequence", sequence}}
      .dump();
}

}  // namespace pistachio::standin
