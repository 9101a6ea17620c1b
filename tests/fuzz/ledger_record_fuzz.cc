#include <cstdint>
#include <cstdlib>
#include <string>

#include "pistachio/process/tasks.h"
#include "pistachio/process/tasks/internal/queue_records.h"
#include "pistachio/process/tasks/internal/rack_records.h"

namespace {

using pistachio::internal::DecodeQueueRecord;
using pistachio::internal::DecodeRackRecord;
using pistachio::internal::EncodeQueueRecord;
using pistachio::internal::EncodeRackRecord;

// What was read must be written and read back to the same bytes.
void CheckRoundTrip(const std::string& bytes) {
  std::string reason;
  const auto rack = DecodeRackRecord(bytes, reason);
  if (rack) {
    const std::string written = EncodeRackRecord(*rack);
    const auto again = DecodeRackRecord(written, reason);
    if (!again || EncodeRackRecord(*again) != written) {
      std::abort();
    }
  }
  const auto queue = DecodeQueueRecord(bytes, reason);
  if (queue) {
    const std::string written = EncodeQueueRecord(*queue);
    const auto again = DecodeQueueRecord(written, reason);
    if (!again || EncodeQueueRecord(*again) != written) {
      std::abort();
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string bytes(data, data + size);
  CheckRoundTrip(bytes);
  const pistachio::TimePoint now(std::chrono::hours(1));
  const pistachio::RackRecovered recovered{2, bytes, {bytes}, 10};
  pistachio::JobQueue queue(pistachio::UnitId("queue"), {});
  queue.Handle(recovered, now);
  queue.Handle(pistachio::QueueTick{}, now);
  pistachio::RackController rack(pistachio::RackId("rack"), {}, pistachio::LeastCommittedPolicy{});
  rack.Handle(recovered, now);
  rack.Handle(pistachio::RackTick{}, now);
  return 0;
}
