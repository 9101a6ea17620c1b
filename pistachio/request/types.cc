#include "pistachio/request/types.h"

#include <charconv>

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxIdLength = 256;
constexpr int kHexadecimal = 16;

std::string HexOf(std::uint64_t value) {
  char digits[kHexadecimal];
  const auto result = std::to_chars(digits, digits + sizeof(digits), value, kHexadecimal);
  return std::string(digits, result.ptr);
}

std::optional<std::uint64_t> ParseHex(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, kHexadecimal);
  if (result.ec != std::errc() || result.ptr != end || HexOf(value) != text) {
    return std::nullopt;
  }
  return value;
}

bool IsName(const std::string& text) {
  constexpr char kAllowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !text.empty() && text.find_first_not_of(kAllowed) == std::string::npos;
}

}  // namespace internal

std::string RequestId::str() const {
  return this->data_centre.str() + "." + this->home.host.str() + "." +
         internal::HexOf(this->home.incarnation) + "." + internal::HexOf(this->number);
}

std::optional<RequestId> ParseRequestId(const std::string& text) {
  if (text.size() > internal::kMaxIdLength) {
    return std::nullopt;
  }
  const std::size_t first = text.find('.');
  const std::size_t last = text.rfind('.');
  if (first == std::string::npos || last == first) {
    return std::nullopt;
  }
  const std::size_t middle = text.rfind('.', last - 1);
  if (middle == std::string::npos || middle <= first) {
    return std::nullopt;
  }
  const std::string data_centre = text.substr(0, first);
  const std::string host = text.substr(first + 1, middle - first - 1);
  const auto incarnation = internal::ParseHex(text.substr(middle + 1, last - middle - 1));
  const auto number = internal::ParseHex(text.substr(last + 1));
  if (!internal::IsName(data_centre) || !internal::IsName(host) || !incarnation || !number) {
    return std::nullopt;
  }
  return RequestId{DataCentreId(data_centre), MemberId{HostId(host), *incarnation}, *number};
}

const char* NameOf(OutcomeKind kind) {
  switch (kind) {
    case OutcomeKind::kAnswered:
      return "answered";
    case OutcomeKind::kNotRun:
      return "not-run";
    case OutcomeKind::kUnknown:
      return "outcome-unknown";
    case OutcomeKind::kDeadlinePassed:
      return "deadline-passed";
    case OutcomeKind::kAnsweredBefore:
      return "answered-before";
  }
  return "outcome-unknown";
}

}  // namespace pistachio
