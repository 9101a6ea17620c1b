#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace pistachio {

namespace internal {

/// \brief SAX handler that stores nothing and stops a parse that exceeds the limits.
///
/// A callback stops the parse by returning false. The library's parsers recurse once per nesting
/// level and reserve memory for the length that a CBOR list or object declares. Both have to be
/// checked before such a parser runs on untrusted input.
template <class Json>
class BoundCheckHandler {
 public:
  /// \param max_elements largest number of elements that one list or object may declare
  explicit BoundCheckHandler(std::size_t max_elements) : max_elements(max_elements) {}

  bool null() { return true; }
  bool boolean(bool /*value*/) { return true; }
  bool number_integer(typename Json::number_integer_t /*value*/) { return true; }
  bool number_unsigned(typename Json::number_unsigned_t /*value*/) { return true; }
  bool number_float(typename Json::number_float_t /*value*/,
                    const typename Json::string_t& /*text*/) {
    return true;
  }
  bool string(typename Json::string_t& /*value*/) { return true; }
  bool binary(typename Json::binary_t& /*value*/) { return true; }
  bool key(typename Json::string_t& /*value*/) { return true; }
  bool start_object(std::size_t elements) { return this->Enter(elements); }
  bool end_object() { return this->Leave(); }
  bool start_array(std::size_t elements) { return this->Enter(elements); }
  bool end_array() { return this->Leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const typename Json::exception& /*error*/) {
    return false;
  }

 private:
  static constexpr std::size_t kMaxDepth = 16;
  /// Element count that the library passes if the input declares none, as in JSON.
  static constexpr std::size_t kUnknownLength = static_cast<std::size_t>(-1);

  bool Enter(std::size_t elements) {
    const bool fits = elements == kUnknownLength || elements <= this->max_elements;
    return ++this->depth <= kMaxDepth && fits;
  }
  bool Leave() {
    this->depth--;
    return true;
  }

  std::size_t max_elements;
  std::size_t depth = 0;
};

/// Returns true if the input is well-formed and within the limits on nesting and on declared
/// elements.
template <class Json>
bool IsBounded(const std::string& bytes, typename Json::input_format_t format) {
  // Each element takes at least one byte, so a list that declares more elements than the input has
  // bytes is invalid.
  BoundCheckHandler<Json> handler(bytes.size());
  return Json::sax_parse(bytes, &handler, format);
}

}  // namespace internal

/// \brief Parses JSON text from an untrusted source. \returns nothing if \a text is not JSON or
/// nests more than 16 levels deep.
template <class Json>
std::optional<Json> ReadBoundedJson(const std::string& text) {
  if (!internal::IsBounded<Json>(text, Json::input_format_t::json)) {
    return std::nullopt;
  }
  return Json::parse(text);
}

/// \brief Parses CBOR bytes from an untrusted source. \returns nothing if \a bytes are not CBOR,
/// nest more than 16 levels deep or declare a list or object with more elements than there are
/// bytes.
template <class Json>
std::optional<Json> ReadBoundedCbor(const std::string& bytes) {
  if (!internal::IsBounded<Json>(bytes, Json::input_format_t::cbor)) {
    return std::nullopt;
  }
  return Json::from_cbor(bytes);
}

/// \returns \a json encoded as CBOR.
template <class Json>
std::string ToCborBytes(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

}  // namespace pistachio
