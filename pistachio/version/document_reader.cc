#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "pistachio/version/document.h"

namespace pistachio {

namespace internal {

// Maximum number of reported errors.
constexpr std::size_t kMaxErrors = 50;
constexpr std::size_t kMaxLineBytes = 4096;
// Each dot can nest a table one level deeper, and the TOML parser is recursive.
constexpr std::size_t kMaxDotsInLine = 32;

std::string Join(const std::string& parent, const std::string& name) {
  return parent.empty() ? name : parent + "." + name;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

/// \brief Validates a parsed document against the schema and collects its values.
///
/// In the methods, `path` is the concrete path of an entry and `pattern` the matching path of the
/// schema.
class DocumentChecker {
 public:
  DocumentChecker(DocumentKind kind, const std::string& file, std::vector<SettingsError>* errors)
      : keys(KeysOf(kind)), errors(errors) {
    this->document.file = file;
    for (const KeySpec& spec : this->keys) {
      this->AddTablePaths(spec.path);
    }
  }

  /// \brief Validates a table with all tables and values below it.
  /// \param table the table, or `nullptr` if the document omits it
  /// \param line line of the table, counted from 1
  void CheckTable(const toml::table* table, const std::string& path, const std::string& pattern,
                  std::uint32_t line) {
    this->document.table_lines[path] = line;
    if (table != nullptr) {
      for (const auto& [key, node] : *table) {
        this->CheckEntry(std::string(key.str()), node, path, pattern,
                         static_cast<std::uint32_t>(key.source().begin.line));
      }
    }
    this->FillInDefaults(table, path, pattern, line);
  }

  CheckedDocument document;

 private:
  /// \brief Records the path of every table above the key at \a path.
  void AddTablePaths(const std::string& path) {
    for (std::size_t dot = path.find('.'); dot != std::string::npos;
         dot = path.find('.', dot + 1)) {
      this->table_paths.insert(path.substr(0, dot));
    }
  }

  /// \returns the key with exactly this path in the schema, or `nullptr`.
  const KeySpec* FindSpec(const std::string& pattern) const {
    const auto spec = std::find_if(this->keys.begin(), this->keys.end(),
                                   [&](const KeySpec& k) { return k.path == pattern; });
    return spec == this->keys.end() ? nullptr : &*spec;
  }

  /// \brief Adds an error unless `kMaxErrors` are reached.
  void AddError(std::uint32_t line, const std::string& key, const std::string& problem,
                const std::string& allowed) {
    if (this->errors->size() < kMaxErrors) {
      this->errors->push_back(SettingsError{this->document.file, line, key, problem, allowed});
    }
  }

  void CheckEntry(const std::string& name, const toml::node& node, const std::string& path,
                  const std::string& pattern, std::uint32_t line) {
    const std::string child_path = Join(path, name);
    const std::string child_pattern = Join(pattern, name);
    // A name that contains characters of the pattern syntax must not match the pattern itself.
    const bool is_plain_name = name.find_first_of("*[].") == std::string::npos;
    const KeySpec* spec = is_plain_name ? this->FindSpec(child_pattern) : nullptr;
    if (spec != nullptr) {
      this->CheckValue(*spec, node, child_path, line);
    } else if (is_plain_name && this->table_paths.count(child_pattern) != 0) {
      this->CheckSubtable(node, child_path, child_pattern, line);
    } else if (is_plain_name && this->table_paths.count(child_pattern + "[]") != 0) {
      this->CheckTableList(node, child_path, child_pattern + "[]", line);
    } else if (this->table_paths.count(Join(pattern, "*")) != 0) {
      this->CheckNamedTable(name, node, path, Join(pattern, "*"), line);
    } else {
      this->AddError(line, child_path, "unknown key", this->DescribeKeysBelow(pattern));
    }
  }

  /// \brief Validates a table with a name that the operator chooses, such as a service.
  void CheckNamedTable(const std::string& name, const toml::node& node, const std::string& path,
                       const std::string& pattern, std::uint32_t line) {
    // A dot in the name would make the path ambiguous.
    if (!IsName(name) || name.find('.') != std::string::npos) {
      this->AddError(line, Join(path, name.substr(0, 64)), "not a name",
                     "1 to 63 of a-z, 0-9, - and _, starting with a letter or digit");
      return;
    }
    if (!node.is_table()) {
      this->AddError(line, Join(path, name), "must be a table", "");
      return;
    }
    this->document.table_names[path].push_back(name);
    this->CheckTable(node.as_table(), Join(path, name), pattern, line);
  }

  void CheckSubtable(const toml::node& node, const std::string& path, const std::string& pattern,
                     std::uint32_t line) {
    if (!node.is_table()) {
      this->AddError(line, path, "must be a table", this->DescribeKeysBelow(pattern));
      return;
    }
    this->CheckTable(node.as_table(), path, pattern, line);
  }

  void CheckTableList(const toml::node& node, const std::string& path, const std::string& pattern,
                      std::uint32_t line) {
    const toml::array* items = node.as_array();
    if (items == nullptr) {
      this->AddError(line, path, "must be a list of tables", this->DescribeKeysBelow(pattern));
      return;
    }
    this->document.list_sizes[path] = items->size();
    for (std::size_t i = 0; i < items->size(); i++) {
      const toml::node& item = (*items)[i];
      const std::string item_path = path + "[" + std::to_string(i) + "]";
      this->CheckSubtable(item, item_path, pattern,
                          static_cast<std::uint32_t>(item.source().begin.line));
    }
  }

  void CheckValue(const KeySpec& spec, const toml::node& node, const std::string& path,
                  std::uint32_t line) {
    std::string problem;
    const std::optional<SettingsValue> value = ReadValue(spec, node, &problem);
    if (!value) {
      this->AddError(line, path, problem, spec.AllowedRange());
      return;
    }
    this->document.values[path] = LocatedValue{*value, line};
  }

  static std::optional<SettingsValue> ReadValue(const KeySpec& spec, const toml::node& node,
                                                std::string* problem) {
    switch (spec.kind) {
      case ValueKind::kInteger:
        return ReadInteger(spec, node, problem);
      case ValueKind::kNumber:
        return ReadNumber(spec, node, problem);
      case ValueKind::kDuration:
        return ReadDuration(spec, node, problem);
      case ValueKind::kNameList:
        return ReadNames(spec, node, problem);
      default:
        return ReadText(spec, node, problem);
    }
  }

  static std::optional<SettingsValue> ReadInteger(const KeySpec& spec, const toml::node& node,
                                                  std::string* problem) {
    if (!node.is_integer()) {
      *problem = "must be an integer";
      return std::nullopt;
    }
    const std::int64_t value = node.as_integer()->get();
    if (value < spec.min || value > spec.max) {
      *problem = std::to_string(value) + " is out of range";
      return std::nullopt;
    }
    return value;
  }

  static std::optional<SettingsValue> ReadNumber(const KeySpec& spec, const toml::node& node,
                                                 std::string* problem) {
    if (!node.is_number()) {
      *problem = "must be a number";
      return std::nullopt;
    }
    const double value = node.value<double>().value_or(std::numeric_limits<double>::quiet_NaN());
    const bool in_range = value >= static_cast<double>(spec.min) &&
                          value <= static_cast<double>(spec.max);  // false for NaN
    if (!in_range) {
      *problem = "is out of range";
      return std::nullopt;
    }
    return value;
  }

  static std::optional<SettingsValue> ReadDuration(const KeySpec& spec, const toml::node& node,
                                                   std::string* problem) {
    const toml::value<std::string>* text = node.as_string();
    const auto value = text == nullptr ? std::nullopt : ParseDuration(text->get());
    if (!value) {
      *problem = "must be a duration in quotes, such as \"250ms\"";
      return std::nullopt;
    }
    if (*value < std::chrono::milliseconds(spec.min) ||
        *value > std::chrono::milliseconds(spec.max)) {
      *problem = FormatDuration(*value) + " is out of range";
      return std::nullopt;
    }
    return *value;
  }

  static std::optional<SettingsValue> ReadText(const KeySpec& spec, const toml::node& node,
                                               std::string* problem) {
    const toml::value<std::string>* text = node.as_string();
    if (text == nullptr) {
      *problem = "must be text in quotes";
      return std::nullopt;
    }
    if (const auto text_problem = CheckText(spec, text->get())) {
      *problem = *text_problem;
      return std::nullopt;
    }
    return text->get();
  }

  static std::optional<SettingsValue> ReadNames(const KeySpec& spec, const toml::node& node,
                                                std::string* problem) {
    const toml::array* items = node.as_array();
    if (items == nullptr) {
      *problem = "must be a list of names";
      return std::nullopt;
    }
    if (static_cast<std::int64_t>(items->size()) > spec.max) {
      *problem = "too many names: " + std::to_string(items->size());
      return std::nullopt;
    }
    std::vector<std::string> names;
    for (const toml::node& item : *items) {
      const toml::value<std::string>* text = item.as_string();
      if (text == nullptr || CheckText(spec, text->get())) {
        *problem = "contains an item that is not a name";
        return std::nullopt;
      }
      names.push_back(text->get());
    }
    return names;
  }

  /// \brief Fills in the defaults of the keys below \a pattern that \a table omits, and reports
  /// omitted keys that are required. Tables with freely chosen names and lists are skipped.
  void FillInDefaults(const toml::table* table, const std::string& path, const std::string& pattern,
                      std::uint32_t line) {
    std::set<std::string> missing_tables;
    const std::string parent_prefix = pattern.empty() ? "" : pattern + ".";
    for (const KeySpec& spec : this->keys) {
      if (!StartsWith(spec.path, parent_prefix)) {
        continue;
      }
      const std::string rest = spec.path.substr(parent_prefix.size());
      const std::string name = rest.substr(0, rest.find('.'));
      const bool in_document = table != nullptr && table->contains(name);
      if (in_document || name == "*" || name.find("[]") != std::string::npos) {
        continue;
      }
      if (rest == name) {
        this->FillInKeyDefault(spec, Join(path, name), line);
      } else if (missing_tables.insert(name).second) {
        this->FillInDefaults(nullptr, Join(path, name), Join(pattern, name), line);
      }
    }
  }

  /// \brief Fills in the default of an omitted key, or reports the key if it is required.
  void FillInKeyDefault(const KeySpec& spec, const std::string& path, std::uint32_t line) {
    if (spec.required) {
      this->AddError(line, path, "is missing", spec.AllowedRange());
      return;
    }
    if (const auto value = ParseDefault(spec)) {
      this->document.values[path] = LocatedValue{*value, 0};
    }
  }

  /// \returns an error text that lists the keys and tables directly below \a pattern.
  std::string DescribeKeysBelow(const std::string& pattern) const {
    std::set<std::string> names;
    const std::string parent_prefix = pattern.empty() ? "" : pattern + ".";
    for (const KeySpec& spec : this->keys) {
      if (StartsWith(spec.path, parent_prefix)) {
        const std::string rest = spec.path.substr(parent_prefix.size());
        names.insert(rest.substr(0, rest.find('.')));
      }
    }
    std::string joined = "keys here:";
    for (const std::string& name : names) {
      joined += " " + name;
    }
    return joined;
  }

  const std::vector<KeySpec>& keys;
  std::set<std::string> table_paths;  ///< paths of all tables in the schema
  std::vector<SettingsError>* errors;
};

/// \brief Checks the size of the document and of its lines before parsing, because larger input
/// would make the parser slow or its recursion deep. \returns the first exceeded limit, or nothing
std::optional<SettingsError> CheckTextLimits(const std::string& text, const std::string& file) {
  if (text.size() > kMaxDocumentBytes) {
    return SettingsError{file, 0, "", "the document has " + std::to_string(text.size()) + " bytes",
                         "at most " + std::to_string(kMaxDocumentBytes) + " bytes"};
  }
  std::uint32_t line = 1;
  std::size_t length = 0;
  std::size_t dots = 0;
  for (const char c : text) {
    if (c == '\n') {
      line++;
      length = 0;
      dots = 0;
      continue;
    }
    length++;
    dots += c == '.' ? 1 : 0;
    if (length > kMaxLineBytes || dots > kMaxDotsInLine) {
      return SettingsError{file, line, "",
                           "the line is too long; write each item of a list on its own line",
                           "at most " + std::to_string(kMaxLineBytes) + " bytes and " +
                               std::to_string(kMaxDotsInLine) + " dots in a line"};
    }
  }
  return std::nullopt;
}

}  // namespace internal

std::optional<CheckedDocument> ReadDocument(DocumentKind kind, const std::string& text,
                                            const std::string& file,
                                            std::vector<SettingsError>* errors) {
  const std::size_t errors_before = errors->size();
  if (const auto limit_error = internal::CheckTextLimits(text, file)) {
    errors->push_back(*limit_error);
    return std::nullopt;
  }
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    errors->push_back(SettingsError{file, static_cast<std::uint32_t>(error.source().begin.line), "",
                                    "not TOML: " + std::string(error.description()), ""});
    return std::nullopt;
  }
  internal::DocumentChecker checker(kind, file, errors);
  checker.CheckTable(&table, "", "", 1);
  if (errors->size() > errors_before) {
    std::stable_sort(
        errors->begin() + static_cast<std::ptrdiff_t>(errors_before), errors->end(),
        [](const SettingsError& a, const SettingsError& b) { return a.line < b.line; });
    return std::nullopt;
  }
  return std::move(checker.document);
}

}  // namespace pistachio
