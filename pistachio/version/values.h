#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/version/schema.h"

namespace pistachio {

/// \brief A valid value of a settings document.
using SettingsValue =
    std::variant<std::int64_t, double, std::string, Duration, std::vector<std::string>>;

/// \brief Parses an integer with a unit: `800us`, `250ms`, `9s`, `2m` or `1h`.
/// \returns the duration, or nothing if \a text is malformed or the number is negative or above
/// 1,000,000,000.
std::optional<Duration> ParseDuration(const std::string& text);

/// \returns \a duration as an integer of the largest possible unit, such as `1500ms`.
std::string FormatDuration(Duration duration);

/// \returns true if \a text is a valid name of a host, team, service, rack or similar object.
bool IsName(const std::string& text);

/// \returns true if \a text is an IP address and a port from 1 to 65535, such as `[::1]:7001`.
bool IsAddress(const std::string& text);

/// \returns true if \a text is an `http://` URL of printable ASCII characters without blanks.
bool IsUrl(const std::string& text);

/// \brief Validates a text value against the type and bounds of its key.
/// \returns a description of the problem, or nothing if \a text is valid.
std::optional<std::string> CheckText(const KeySpec& spec, const std::string& text);

/// \brief Parses the default of a key, which the schema gives as text.
/// \returns the value, an empty list for a list of names, or nothing if the key has no default.
std::optional<SettingsValue> ParseDefault(const KeySpec& spec);

}  // namespace pistachio
