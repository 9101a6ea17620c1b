#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "pistachio/connection/codec.h"

namespace {

/// What is read has to be written and read again as the same text.
template <class Value>
void CheckRoundTrip(const pistachio::WireJson& json) {
  const auto value = pistachio::FromJson<Value>(json);
  if (!value) {
    return;
  }
  const pistachio::WireJson written = *value;
  const auto again = pistachio::FromJson<Value>(written);
  if (!again || pistachio::WireJson(*again) != written) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto json = pistachio::ReadJson(std::string(reinterpret_cast<const char*>(data), size));
  if (!json) {
    return 0;
  }
  CheckRoundTrip<pistachio::StoreCall>(*json);
  CheckRoundTrip<pistachio::StoreReply>(*json);
  CheckRoundTrip<pistachio::FencedCommand>(*json);
  CheckRoundTrip<pistachio::CommandAnswer>(*json);
  CheckRoundTrip<pistachio::TargetListing>(*json);
  return 0;
}
