#include "pistachio/connection/platform/target_client.h"

#include "pistachio/connection/codec/task_json.h"

namespace pistachio {

namespace internal {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

CommandAnswer CommandAnswerOf(const HttpResult& result) {
  CommandAnswer answer;
  answer.reason = result.reason;
  if (!result.answered()) {
    const bool nothing_sent = *result.failure == HttpFailure::kNotSent;
    answer.status = nothing_sent ? CommandStatus::kNotSent : CommandStatus::kUnknown;
    return answer;
  }
  const auto json = ReadJson(result.body);
  const auto parsed = json ? FromJson<CommandAnswer>(*json) : std::nullopt;
  if (!parsed) {
    answer.reason = "answer is not a command answer";
    return answer;
  }
  return *parsed;
}

/// A 503 with this field proves that the target ran nothing.
bool SaysNotRun(const HttpResult& result) {
  return result.status == kServiceUnavailable &&
         result.body.find("\"not_run\":true") != std::string::npos;
}

TargetAnswer TargetAnswerOf(const HttpResult& result) {
  TargetAnswer answer;
  answer.reason = result.reason;
  answer.status = result.status;
  if (!result.answered()) {
    const bool nothing_sent = *result.failure == HttpFailure::kNotSent;
    answer.failure = nothing_sent ? AttemptFailure::kNotSent : AttemptFailure::kMaybeRun;
    return answer;
  }
  if (SaysNotRun(result)) {
    answer.failure = AttemptFailure::kRefused;
    answer.reason = "target refused";
    return answer;
  }
  answer.body = result.body;
  return answer;
}

std::optional<PlatformHosts> PlatformHostsOf(const HttpResult& result) {
  if (!result.answered() || result.status != kOk) {
    return std::nullopt;
  }
  const auto json = ReadJson(result.body);
  if (!json) {
    return std::nullopt;
  }
  PlatformHosts list;
  try {
    json->at("targets").get_to(list.targets);
    json->at("entry_hosts").get_to(list.entry_hosts);
  } catch (const WireJson::exception&) {
    return std::nullopt;
  }
  return list;
}

}  // namespace internal

TargetClient::TargetClient(HttpClient& client) : client(client) {}

void TargetClient::SendCommand(const std::string& address, Epoch epoch,
                               const TargetCommand& command, Duration timeout,
                               CommandCallback callback) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address + "/v1/command";
  call.body = WireJson(FencedCommand{epoch, command}).dump();
  call.timeout = timeout;
  this->client.get().Send(call, [callback = std::move(callback)](const HttpResult& result) {
    callback(internal::CommandAnswerOf(result));
  });
}

void SendRequestToTarget(HttpClient& client, const TargetRequest& request,
                         std::function<void(const TargetAnswer&)> callback) {
  const auto time_left =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.time_left).count();
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + request.address + "/v1/requests/" + request.service.str();
  call.headers = {{"X-Request-Id", request.id.str()},
                  {"X-Attempt", std::to_string(request.attempt)},
                  {"X-Time-Left-Ms", std::to_string(time_left)},
                  {"X-Idempotent", request.idempotent ? "true" : "false"}};
  call.body = request.body;
  call.timeout = request.time_left;
  call.send_once = !request.idempotent;
  client.Send(call, [callback = std::move(callback)](const HttpResult& result) {
    callback(internal::TargetAnswerOf(result));
  });
}

void FetchPlatformHosts(HttpClient& client, const std::string& url,
                        std::function<void(const std::optional<PlatformHosts>&)> callback) {
  HttpCall call;
  call.url = url + "/v1/hosts";
  client.Send(call, [callback = std::move(callback)](const HttpResult& result) {
    callback(internal::PlatformHostsOf(result));
  });
}

}  // namespace pistachio
