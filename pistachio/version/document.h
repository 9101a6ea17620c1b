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

/// \brief Largest settings document, in bytes; its record has to fit in a value of the store.
constexpr std::size_t kMaxDocumentBytes = 1U << 19U;

/// \brief A value with the line that it stands on; 0 if the schema's default filled it in.
struct LocatedValue {
  SettingsValue value;
  std::uint32_t line = 0;
};

/// \brief A document whose every key and value fits the schema, defaults filled in.
///
/// Values are found by concrete paths, such as `services.alarm.count` or `peers[0].host`.
struct CheckedDocument {
  /// \returns the value, or nothing if the document leaves it out and it has no default.
  const LocatedValue* Find(const std::string& path) const;

  /// \returns the text of a key, empty if it is left out.
  std::string Text(const std::string& path) const;
  /// \returns the whole number of a key, 0 if it is left out.
  std::int64_t Integer(const std::string& path) const;
  /// \returns the number of a key, 0 if it is left out.
  double Number(const std::string& path) const;
  /// \returns the duration of a key, 0 if it is left out.
  Duration Time(const std::string& path) const;
  /// \returns the names of a key, none if it is left out.
  std::vector<std::string> Names(const std::string& path) const;

  /// \returns the names of the tables below \a path, in name order, such as a team's services.
  std::vector<std::string> TablesIn(const std::string& path) const;
  /// \returns the number of tables in the list at \a path.
  std::size_t ItemsIn(const std::string& path) const;
  /// \returns the line of a table or value, 0 if it is not in the document.
  std::uint32_t LineOf(const std::string& path) const;

  std::string file;  ///< name of the document, for messages
  std::map<std::string, LocatedValue> values;
  std::map<std::string, std::vector<std::string>> tables;
  std::map<std::string, std::size_t> items;
  std::map<std::string, std::uint32_t> lines;
};

/// \brief Parses a document and checks every key against the schema.
///
/// \param errors gets the reasons for a refusal, in line order, a bounded number of them
/// \returns nothing if \a errors got any. Cost: linear in the text, which is bounded
std::optional<CheckedDocument> ReadDocument(DocumentKind kind, const std::string& text,
                                            const std::string& file,
                                            std::vector<SettingsError>* errors);

}  // namespace pistachio
