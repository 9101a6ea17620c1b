#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pistachio/version/schema.h"
#include "pistachio/version/settings.h"
#include "pistachio/version/values.h"

namespace pistachio {

/// \brief Maximum size of a settings document in bytes. Its record must fit into one store value.
constexpr std::size_t kMaxDocumentBytes = 1U << 19U;

/// \brief A value together with its position in the document.
struct LocatedValue {
  SettingsValue value;
  std::uint32_t line = 0;  ///< counted from 1; 0 if the value is the schema's default
};

/// \brief A parsed document that conforms to the schema, with defaults filled in.
///
/// Values are looked up by concrete paths, such as `services.alarm.count` or `peers[0].host`.
struct CheckedDocument {
  /// \returns the value at \a path, or `nullptr` if the document omits the key and it has no
  /// default. The pointer is valid as long as the document is not changed.
  const LocatedValue* Find(const std::string& path) const;

  /// \returns the text at \a path, or an empty text if the key has no text value.
  std::string GetText(const std::string& path) const;
  /// \returns the integer at \a path, or 0 if the key has no integer value.
  std::int64_t GetInteger(const std::string& path) const;
  /// \returns the floating-point number at \a path, or 0 if the key has no such value.
  double GetNumber(const std::string& path) const;
  /// \returns the duration at \a path, or 0 if the key has no duration value.
  Duration GetDuration(const std::string& path) const;
  /// \returns the list of names at \a path, or an empty list if the key has no such value.
  std::vector<std::string> GetNames(const std::string& path) const;

  /// \returns the names of the tables directly below \a path, sorted by name, such as the names of
  /// a team's services for `services`; empty if there are none.
  std::vector<std::string> TableNames(const std::string& path) const;
  /// \returns the number of tables in the list at \a path, or 0 if there is no such list.
  std::size_t ListSize(const std::string& path) const;
  /// \returns the line of the value or table at \a path, counted from 1, or 0 if the document does
  /// not contain it.
  std::uint32_t LineOf(const std::string& path) const;

  std::string file;  ///< name of the document in error messages
  /// Values by concrete path.
  std::map<std::string, LocatedValue> values;
  /// Names of the freely named tables, sorted, by path of the table that contains them.
  std::map<std::string, std::vector<std::string>> table_names;
  /// Number of tables in each list of tables, by path of the list.
  std::map<std::string, std::size_t> list_sizes;
  /// Line of each table, counted from 1, by path.
  std::map<std::string, std::uint32_t> table_lines;
};

/// \brief Parses a TOML document and validates every key against the schema.
///
/// The cost is linear in the size of the text, which is at most `kMaxDocumentBytes`.
/// \param file name of the document in error messages
/// \param errors receives the errors in line order; validation adds none once it holds 50
/// \returns the document, or nothing if an error was added to \a errors
std::optional<CheckedDocument> ReadDocument(DocumentKind kind, const std::string& text,
                                            const std::string& file,
                                            std::vector<SettingsError>* errors);

}  // namespace pistachio
