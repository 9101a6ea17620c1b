#include <cstddef>
#include <cstdint>
#include <string>

#include "pistachio/process/explain/explain.h"
#include "pistachio/process/ownership/cluster_view.h"
#include "pistachio/process/scheduling/interference_model.h"
#include "pistachio/process/scheduling/record_codec.h"
#include "platform/platform.h"

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
  platform::DecodeConfiguration(text);
  platform::DecodeSubmission(text);
  std::string reason;
  platform::DecodeSettings(text, &reason);
  ParseTaskKey(text);
  DecodeAccepted(text);
  DecodeState(text);
  Submission submission;
  submission.accepted.spec.steps.resize(2);
  DecodeProgress(text, &submission);
  InterferenceModel(InterferenceSettings{}).Decode(text, TimePoint{});
  DecodeMember(text);
  DecodeOwner(text);
  DecodeLoad(text);
  ParseLogLine(text);
  return 0;
}
