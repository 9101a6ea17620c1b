#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <type_traits>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/ids.h"

namespace pistachio {

/// \brief Reads a typed value. \returns nothing if a field is missing, mistyped or out of range.
///
/// Unknown fields are ignored, so that a newer sender may add some.
template <class T>
std::optional<T> FromJson(const nlohmann::json& json) {
  try {
    return json.get<T>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

/// \brief Reads JSON text. \returns nothing if it is not JSON or nested more than a few levels.
std::optional<nlohmann::json> ReadJson(const std::string& text);

/// \brief Reads CBOR bytes, bounded like ReadJson.
std::optional<nlohmann::json> ReadCbor(const std::string& bytes);

/// \returns the CBOR bytes of \a json.
std::string WriteCbor(const nlohmann::json& json);

namespace internal {

/// \brief Reads an enumerator by its number. Throws a JSON error past \a last.
template <class Enum>
Enum ReadEnum(const nlohmann::json& json, Enum last) {
  using Number = std::underlying_type_t<Enum>;
  const auto number = json.get<Number>();
  if (number < 0 || number > static_cast<Number>(last)) {
    constexpr int kOutOfRange = 501;
    throw nlohmann::json::other_error::create(kOutOfRange, "enumerator out of range", &json);
  }
  return static_cast<Enum>(number);
}

}  // namespace internal

}  // namespace pistachio

namespace nlohmann {

template <class Tag>
struct adl_serializer<pistachio::NamedId<Tag>> {
  static void to_json(json& out, const pistachio::NamedId<Tag>& id) { out = id.str(); }
  static void from_json(const json& in, pistachio::NamedId<Tag>& id) {
    id = pistachio::NamedId<Tag>(in.get<std::string>());
  }
};

// Lengths of time travel in microseconds.
template <>
struct adl_serializer<pistachio::Duration> {
  static void to_json(json& out, const pistachio::Duration& length) { out = length.count(); }
  static void from_json(const json& in, pistachio::Duration& length) {
    length = pistachio::Duration(in.get<std::int64_t>());
  }
};

}  // namespace nlohmann
