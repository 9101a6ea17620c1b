#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/process/runtime/clock.h"

namespace pistachio {

/// \brief Kind of a settings document.
enum class DocumentKind {
  kRoot,  ///< root subtree of the hierarchy
  kTeam,  ///< subtree of one team
  kJob,   ///< job that an operator submits
};

/// \returns the name of \a kind in messages, such as `team`.
const char* NameOf(DocumentKind kind);

/// \brief Type of the value of a key.
enum class ValueKind {
  kName,      ///< 1 to 63 of a-z, 0-9, `-`, `_` and `.`, starting with a letter or digit
  kText,      ///< text with a length between the bounds of the key
  kFile,      ///< path of a file
  kAddress,   ///< IP address and port, such as `127.0.0.1:7001` or `[::1]:7001`
  kUrl,       ///< `http://` URL
  kInteger,   ///< integer
  kNumber,    ///< number with or without a fraction
  kDuration,  ///< text with a unit: `250ms`, `9s`, `2m`, `1h`
  kNameList,  ///< list of names
  kDigest,    ///< 40 lower-case hexadecimal digits
};

/// \returns the name of \a kind in messages and on the settings page, such as `duration`.
const char* NameOf(ValueKind kind);

/// \brief Definition of a key that a document may contain. Validation, the settings page and
/// `ExplainKey` all use it.
struct KeySpec {
  DocumentKind document = DocumentKind::kTeam;  ///< kind of document that may contain the key
  /// Path with dots, in which `*` matches any name and `[]` each table of a list.
  std::string path;
  ValueKind kind = ValueKind::kText;  ///< type of the value
  bool required = false;              ///< true if omitting the key is an error
  /// Inclusive bounds of a number, of a duration in milliseconds, of the length of a text in bytes
  /// or of the number of names in a list.
  std::int64_t min = 0;
  std::int64_t max = 0;
  std::string unit;              ///< unit of an integer or number, such as `bytes`
  std::string default_value;     ///< default as text; empty if there is none
  std::string root_default_key;  ///< root key that provides the value if the key is omitted
  std::string root_limit_key;    ///< root key whose value is the upper limit
  std::string description;       ///< meaning of the key, for the settings page

  /// \returns the allowed values in words, with the unit.
  std::string AllowedRange() const;
};

/// \returns every key of a kind of document, in the order of the settings page.
const std::vector<KeySpec>& KeysOf(DocumentKind kind);

/// \brief Finds the definition of a key by its path, in linear time in the number of keys.
/// \param path pattern such as `services.*.count`, or concrete path such as `services.alarm.count`
/// \returns the definition, or nothing if documents of this kind have no such key
std::optional<KeySpec> FindKey(DocumentKind kind, const std::string& path);

/// \returns the output of `pistachioctl settings explain`: one block for each kind of document that
/// has the key, or an empty text if none has it.
std::string ExplainKey(const std::string& path);

/// \returns the content of docs/SETTINGS.md.
std::string RenderSettingsPage();

namespace internal {

// Keys of each kind of document.
const std::vector<KeySpec>& RootKeys();
const std::vector<KeySpec>& TeamKeys();
const std::vector<KeySpec>& JobKeys();

}  // namespace internal

}  // namespace pistachio
