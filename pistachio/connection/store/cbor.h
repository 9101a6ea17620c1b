#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pistachio/process/runtime/bounded_json.h"

namespace pistachio::internal {

/// \returns \a json as CBOR bytes.
inline std::string ToCbor(const nlohmann::json& json) {
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(json);
  return std::string(bytes.begin(), bytes.end());
}

/// \brief Decodes a CBOR object by \a convert, which may throw the library's exceptions.
/// \returns nothing if \a value is no CBOR object or lacks what \a convert reads.
template <class Convert>
auto FromCbor(const std::string& value, Convert convert)
    -> std::optional<decltype(convert(std::declval<nlohmann::json>()))> {
  const auto json = ReadBoundedCbor<nlohmann::json>(value);
  if (!json || !json->is_object()) {
    return std::nullopt;
  }
  try {
    return convert(*json);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace pistachio::internal
