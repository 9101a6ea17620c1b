#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "pistachio/connection/peer/messages.h"

/// A message that is read has to be written and read again as the same bytes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string bytes(1, pistachio::kPeerProtocolVersion);
  bytes.append(reinterpret_cast<const char*>(data), size);
  const auto message = pistachio::DecodePeerMessage(bytes);
  if (!message) {
    return 0;
  }
  const std::string written = pistachio::EncodePeerMessage(*message);
  const auto again = pistachio::DecodePeerMessage(written);
  if (!again || pistachio::EncodePeerMessage(*again) != written) {
    std::abort();
  }
  return 0;
}
