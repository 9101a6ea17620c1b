#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/process/runtime/clock.h"
#include "pistachio/version/schema.h"

namespace pistachio {

/// \brief A checked value of a settings document.
using SettingsValue =
    std::variant<std::int64_t, double, std::string, Duration, std::vector<std::string>>;

/// \brief Reads a duration with a unit: `800us`, `250ms`, `9s`, `2m` or `1h`.
/// \returns nothing if \a text is not one or does not fit.
std::optional<Duration> ParseDuration(const std::string& text);

/// \returns \a duration in the largest unit that holds it whole, such as `1500ms`.
std::string FormatDuration(Duration duration);

/// \returns true if \a text may name a host, team, service and the like.
bool IsName(const std::string& text);

/// \returns true if \a text is an IP number and a port from 1 to 65535.
bool IsAddress(const std::string& text);

/// \returns true if \a text is an `http://` URL with a host.
bool IsUrl(const std::string& text);

/// \brief Checks a text value against its key.
/// \returns what is wrong, or nothing if it fits.
std::optional<std::string> CheckText(const KeySpec& spec, const std::string& text);

/// \brief Reads a value that the schema gives as text, such as a default.
std::optional<SettingsValue> ParseDefault(const KeySpec& spec);

}  // namespace pistachio
