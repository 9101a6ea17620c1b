#include "pistachio/version/values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kDigestDigits = 40;
constexpr std::int64_t kMaxPort = 65535;

struct DurationUnit {
  const char* suffix;
  std::int64_t in_micros;  ///< length in microseconds
};

// `us` and `ms` come before `s`, because all of them end in `s`. Ascending order also lets
// FormatDuration start with the largest unit.
constexpr std::array<DurationUnit, 5> kDurationUnits = {{{"us", 1},
                                                         {"ms", 1000},
                                                         {"s", 1'000'000},
                                                         {"m", 60 * 1'000'000LL},
                                                         {"h", 3600 * 1'000'000LL}}};

/// \returns the integer, or nothing if \a text contains anything else or does not fit in 64 bits.
std::optional<std::int64_t> ParseInteger(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsPort(const std::string& text) {
  const auto port = ParseInteger(text);
  return port && *port >= 1 && *port <= kMaxPort;
}

bool IsIpAddress(const std::string& text, int family) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(family, text.c_str(), buffer.data()) == 1;
}

bool IsDigest(const std::string& text) {
  return text.size() == kDigestDigits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace internal

std::optional<Duration> ParseDuration(const std::string& text) {
  for (const internal::DurationUnit& unit : internal::kDurationUnits) {
    const std::string suffix = unit.suffix;
    if (text.size() <= suffix.size() ||
        text.compare(text.size() - suffix.size(), suffix.size(), suffix) != 0) {
      continue;
    }
    const auto count = internal::ParseInteger(text.substr(0, text.size() - suffix.size()));
    constexpr std::int64_t kMaxCount = 1'000'000'000;
    if (!count || *count < 0 || *count > kMaxCount) {
      return std::nullopt;
    }
    return Duration(*count * unit.in_micros);
  }
  return std::nullopt;
}

std::string FormatDuration(Duration duration) {
  const std::int64_t micros = duration.count();
  for (auto unit = internal::kDurationUnits.rbegin(); unit != internal::kDurationUnits.rend();
       ++unit) {
    if (micros != 0 && micros % unit->in_micros == 0) {
      return std::to_string(micros / unit->in_micros) + unit->suffix;
    }
  }
  return "0ms";
}

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > internal::kMaxNameLength) {
    return false;
  }
  if (std::isalnum(static_cast<unsigned char>(text.front())) == 0) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), internal::IsNameCharacter);
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || !internal::IsPort(text.substr(colon + 1))) {
    return false;
  }
  const std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return internal::IsIpAddress(host.substr(1, host.size() - 2), AF_INET6);
  }
  return internal::IsIpAddress(host, AF_INET);
}

bool IsUrl(const std::string& text) {
  const std::string scheme = "http://";
  if (text.compare(0, scheme.size(), scheme) != 0 || text.size() == scheme.size()) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::optional<std::string> CheckText(const KeySpec& spec, const std::string& text) {
  switch (spec.kind) {
    case ValueKind::kName:
    case ValueKind::kNameList:
      return IsName(text) ? std::nullopt : std::optional<std::string>("not a name");
    case ValueKind::kAddress:
      return IsAddress(text) ? std::nullopt
                             : std::optional<std::string>("not an IP address and port");
    case ValueKind::kUrl:
      return IsUrl(text) ? std::nullopt : std::optional<std::string>("not an http:// URL");
    case ValueKind::kDigest:
      return internal::IsDigest(text)
                 ? std::nullopt
                 : std::optional<std::string>("not 40 lower-case hexadecimal digits");
    default:
      break;
  }
  const auto length = static_cast<std::int64_t>(text.size());
  if (length < spec.min || length > spec.max) {
    return "has a length of " + std::to_string(length) + " bytes";
  }
  return std::nullopt;
}

std::optional<SettingsValue> ParseDefault(const KeySpec& spec) {
  if (spec.kind == ValueKind::kNameList) {
    return SettingsValue(std::vector<std::string>());
  }
  if (spec.default_value.empty()) {
    return std::nullopt;
  }
  switch (spec.kind) {
    case ValueKind::kInteger: {
      const auto value = internal::ParseInteger(spec.default_value);
      return value ? std::optional<SettingsValue>(*value) : std::nullopt;
    }
    case ValueKind::kNumber:
      return SettingsValue(std::stod(spec.default_value));
    case ValueKind::kDuration: {
      const auto value = ParseDuration(spec.default_value);
      return value ? std::optional<SettingsValue>(*value) : std::nullopt;
    }
    default:
      return SettingsValue(spec.default_value);
  }
}

}  // namespace pistachio
