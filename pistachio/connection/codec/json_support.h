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

/// \brief JSON of what processes tell each other; lengths of time are whole microseconds.
///
/// A type of its own: the operators' API writes some of the same structs in another form, and the
/// library finds the functions for a struct by the pair of it and the JSON type.
using WireJson = nlohmann::ordered_json;

/// \brief Reads a typed value. \returns nothing if a field is missing, mistyped or out of range.
///
/// Unknown fields are ignored, so that a newer sender may add some.
template <class T>
std::optional<T> FromJson(const WireJson& json) {
  try {
    return json.get<T>();
  } catch (const WireJson::exception&) {
    return std::nullopt;
  }
}

/// \brief Reads JSON text. \returns nothing if it is not JSON or nested more than a few levels.
std::optional<WireJson> ReadJson(const std::string& text);

/// \brief Reads CBOR bytes, bounded like ReadJson.
std::optional<WireJson> ReadCbor(const std::string& bytes);

/// \returns the CBOR bytes of \a json.
std::string WriteCbor(const WireJson& json);

namespace internal {

/// \brief Reads a length of time, in whole microseconds. Throws a JSON error if it is not one.
inline Duration ReadDuration(const WireJson& json) { return Duration(json.get<std::int64_t>()); }

/// \brief Reads an enumerator by its number. Throws a JSON error past \a last.
template <class Enum>
Enum ReadEnum(const WireJson& json, Enum last) {
  using Number = std::underlying_type_t<Enum>;
  const auto number = json.get<Number>();
  if (number < 0 || number > static_cast<Number>(last)) {
    constexpr int kOutOfRange = 501;
    throw WireJson::other_error::create(kOutOfRange, "enumerator out of range", &json);
  }
  return static_cast<Enum>(number);
}

}  // namespace internal

}  // namespace pistachio

namespace nlohmann {

template <class Tag>
struct adl_serializer<pistachio::NamedId<Tag>> {
  template <class Json>
  static void to_json(Json& out, const pistachio::NamedId<Tag>& id) {
    out = id.str();
  }
  template <class Json>
  static void from_json(const Json& in, pistachio::NamedId<Tag>& id) {
    id = pistachio::NamedId<Tag>(in.template get<std::string>());
  }
};

}  // namespace nlohmann
