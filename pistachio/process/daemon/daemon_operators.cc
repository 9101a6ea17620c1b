#include <prometheus/text_serializer.h>

#include "pistachio/process/daemon/daemon_state.h"

namespace pistachio {

namespace internal {

constexpr int kOk = 200;
constexpr int kNotReady = 503;

ServedAnswer TextAnswer(int status, const std::string& body) {
  ServedAnswer answer;
  answer.status = status;
  answer.body = body;
  answer.content_type = "text/plain; charset=utf-8";
  return answer;
}

}  // namespace internal

void Daemon::State::ServeOperator(const ServedRequest& request) {
  if (request.path == "/healthz") {
    this->operators->Answer(request.exchange, internal::TextAnswer(internal::kOk, "alive\n"));
    return;
  }
  if (request.path == "/readyz") {
    const bool is_ready = this->ready;
    this->operators->Answer(request.exchange,
                            internal::TextAnswer(is_ready ? internal::kOk : internal::kNotReady,
                                                 is_ready ? "ready\n" : "stopping\n"));
    return;
  }
  if (request.path == "/metrics") {
    this->ServeMetrics(request);
    return;
  }
  OperatorCalled call{request.exchange, request.method, request.path, request.body};
  call.version = request.Query("version");
  const std::string authorization = request.Header("authorization");
  call.file_subtree = SubtreeOfBearer(this->tokens, authorization).value_or("");
  call.token = TokenOfBearer(authorization);
  this->control->Post(std::move(call));
}

void Daemon::State::ServeMetrics(const ServedRequest& request) {
  this->control->Read([this, exchange = request.exchange](const ControlState& state) {
    this->control_metrics.Set(state.counters(), state.owned_units(), state.store_reachable());
    this->control_metrics.Set(this->traffic->counters());
    this->control_metrics.Set(this->store_traffic);
    this->control_metrics.Set(this->hub->traffic());
    this->control_metrics.SetProcessCost();
    const prometheus::TextSerializer serializer;
    this->operators->Answer(
        exchange,
        internal::TextAnswer(internal::kOk, serializer.Serialize(this->registry->Collect())));
  });
}

void Daemon::State::AnswerOperator(std::uint64_t call, int status, const std::string& body) {
  ServedAnswer answer;
  answer.status = status;
  answer.body = body;
  this->operators->Answer(call, answer);
}

}  // namespace pistachio
