#include "pistachio/connection/codec/json_support.h"

#include <vector>

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxDepth = 16;

/// Follows a parse without keeping anything and stops it where it nests too deep: the readers
/// recurse into what they read, so depth has to be bounded before they run.
class DepthCheck {
 public:
  using json = WireJson;

  bool null() { return true; }
  bool boolean(bool /*value*/) { return true; }
  bool number_integer(json::number_integer_t /*value*/) { return true; }
  bool number_unsigned(json::number_unsigned_t /*value*/) { return true; }
  bool number_float(json::number_float_t /*value*/, const json::string_t& /*text*/) { return true; }
  bool string(json::string_t& /*value*/) { return true; }
  bool binary(json::binary_t& /*value*/) { return true; }
  bool key(json::string_t& /*value*/) { return true; }
  bool start_object(std::size_t /*elements*/) { return this->Enter(); }
  bool end_object() { return this->Leave(); }
  bool start_array(std::size_t /*elements*/) { return this->Enter(); }
  bool end_array() { return this->Leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const json::exception& /*error*/) {
    return false;
  }

 private:
  bool Enter() { return ++this->depth <= kMaxDepth; }
  bool Leave() {
    this->depth--;
    return true;
  }

  std::size_t depth = 0;
};

bool IsBounded(const std::string& bytes, WireJson::input_format_t format) {
  DepthCheck check;
  return WireJson::sax_parse(bytes, &check, format);
}

}  // namespace internal

std::optional<WireJson> ReadJson(const std::string& text) {
  if (!internal::IsBounded(text, WireJson::input_format_t::json)) {
    return std::nullopt;
  }
  return WireJson::parse(text);
}

std::optional<WireJson> ReadCbor(const std::string& bytes) {
  if (!internal::IsBounded(bytes, WireJson::input_format_t::cbor)) {
    return std::nullopt;
  }
  return WireJson::from_cbor(bytes);
}

std::string WriteCbor(const WireJson& json) {
  std::string bytes;
  WireJson::to_cbor(json, bytes);
  return bytes;
}

}  // namespace pistachio
