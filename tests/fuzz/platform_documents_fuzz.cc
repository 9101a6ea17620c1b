#include <cstddef>
#include <cstdint>
#include <string>

#include "pistachio/process/explain/explain.h"
#include "pistachio/process/ownership/cell_layout.h"
#include "pistachio/process/ownership/cluster_view.h"
#include "pistachio/process/scheduling/interference_model.h"
#include "pistachio/process/scheduling/model_record.h"
#include "pistachio/process/scheduling/record_codec.h"
#include "pistachio/process/scheduling/submission.h"
#include "platform/platform.h"

namespace {

/// Returns a configuration whose queue matches any path.
pistachio::Configuration AnyQueue() {
  pistachio::Configuration configuration;
  configuration.queues.emplace_back();
  return configuration;
}

}  // namespace

/// \brief Passes the bytes to every decoder of data from outside the process, such as requests, log
/// lines and store records.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace pistachio;  // NOLINT(google-build-using-namespace): one function
  const std::string text(reinterpret_cast<const char*>(data), size);
  HttpResult result;
  result.status = 200;
  result.body = text;
  platform::DecodeOrderReply(result);
  platform::DecodeHoldReply(result);
  platform::DecodeStoreReply(WatchPrefix{}, result);
  platform::DecodeStoreReply(ReadKey{}, result);
  platform::DecodeTarget("servers/i", text);
  if (const auto configuration = platform::DecodeConfiguration(text)) {
    for (const QueueSettings& queue : configuration->queues) {
      ObjectiveOf(queue, std::chrono::hours(1));
    }
  }
  ServedRequest request;
  request.method = "GET";
  request.path = text;
  request.headers["x-deadline-ms"] = text;
  platform::DecodeCallerRequest(request, AnyQueue());
  platform::DecodeSubmission(text);
  std::string reason;
  platform::DecodeSettings(text, &reason);
  ParseTaskKey(text);
  if (const auto accepted = DecodeAccepted(text)) {
    Order order;
    order.order = StartOrder{TaskKey{accepted->id, 0, 0, 0}, 1, accepted->spec.payload, {}, ""};
    platform::EncodeOrder(order, 1);
    ObjectiveOf(accepted->queue, accepted->spec);
  }
  DecodeState(text);
  Submission submission;
  submission.accepted.spec.steps.resize(2);
  DecodeProgress(text, &submission);
  InterferenceModel(InterferenceSettings{}).Decode(text, TimePoint{});
  DecodeMember(text);
  DecodeOwner(text);
  DecodeLoad(text);
  DecodeSequence(text);
  DecodeAbsence(text);
  DecodeLayout(text);
  DecodeModelRecord(text);
  ParseLogLine(text);
  return 0;
}
