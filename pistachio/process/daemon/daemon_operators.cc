#include <prometheus/text_serializer.h>

#include "pistachio/process/daemon/daemon_state.h"
#include "pistachio/process/daemon/operator_gather.h"

namespace pistachio {

namespace internal {

constexpr int kOk = 200;
constexpr int kUnauthorised = 401;
constexpr int kForbidden = 403;
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
  if (this->Authorise(request)) {
    this->control->Post(
        OperatorCalled{request.exchange, request.method, request.path, request.body});
  }
}

bool Daemon::State::Authorise(const ServedRequest& request) {
  const auto subtree = SubtreeOfBearer(this->tokens, request.Header("authorization"));
  if (!subtree) {
    ServedAnswer answer;
    answer.status = internal::kUnauthorised;
    answer.body = ErrorBody("no token, or one that is not known", "use --token-file");
    this->operators->Answer(request.exchange, answer);
    return false;
  }
  const auto spec = request.path == "/v1/jobs" && request.method == "POST"
                        ? DecodeBody<JobSpec>(request.body)
                        : std::nullopt;
  const bool foreign_team = spec && *subtree != "*" && *subtree != spec->team.str();
  const bool for_all = request.method != "GET" && !spec && *subtree != "*";
  if (foreign_team || for_all) {
    ServedAnswer answer;
    answer.status = internal::kForbidden;
    answer.body = ErrorBody("the token is bound to " + *subtree, "use that team's token");
    this->operators->Answer(request.exchange, answer);
    return false;
  }
  return true;
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
