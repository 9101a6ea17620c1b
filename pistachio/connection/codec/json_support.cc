#include "pistachio/connection/codec/json_support.h"

#include "pistachio/process/runtime/bounded_json.h"

namespace pistachio {

std::optional<WireJson> ReadJson(const std::string& text) {
  return ReadBoundedJson<WireJson>(text);
}

std::optional<WireJson> ReadCbor(const std::string& bytes) {
  return ReadBoundedCbor<WireJson>(bytes);
}

std::string WriteCbor(const WireJson& json) {
  std::string bytes;
  WireJson::to_cbor(json, bytes);
  return bytes;
}

}  // namespace pistachio
