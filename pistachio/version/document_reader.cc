#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "pistachio/version/document.h"

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxErrors = 50;
constexpr std::size_t kMaxLineBytes = 4096;
// Each dot may open a table one level deeper, and the parser works by recursion.
constexpr std::size_t kMaxDotsInLine = 32;

std::string Join(const std::string& parent, const std::string& name) {
  return parent.empty() ? name : parent + "." + name;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

/// \brief Checks one parsed document against the schema and collects its values.
class DocumentChecker {
 public:
  DocumentChecker(DocumentKind kind, const std::string& file, std::vector<SettingsError>* errors)
      : keys(KeysOf(kind)), errors(errors) {
    this->document.file = file;
    for (const KeySpec& spec : this->keys) {
      this->AddPrefixes(spec.path);
    }
  }

  void CheckTable(const toml::table* table, const std::string& path, const std::string& pattern,
                  std::uint32_t line) {
    this->document.lines[path] = line;
    if (table != nullptr) {
      for (const auto& [key, node] : *table) {
        this->CheckEntry(std::string(key.str()), node, path, pattern,
                         static_cast<std::uint32_t>(key.source().begin.line));
      }
    }
    this->FillIn(table, path, pattern, line);
  }

  CheckedDocument document;

 private:
  void AddPrefixes(const std::string& path) {
    for (std::size_t dot = path.find('.'); dot != std::string::npos;
         dot = path.find('.', dot + 1)) {
      this->prefixes.insert(path.substr(0, dot));
    }
  }

  const KeySpec* FindSpec(const std::string& pattern) const {
    const auto spec = std::find_if(this->keys.begin(), this->keys.end(),
                                   [&](const KeySpec& k) { return k.path == pattern; });
    return spec == this->keys.end() ? nullptr : &*spec;
  }

  void Refuse(std::uint32_t line, const std::string& key, const std::string& problem,
              const std::string& allowed) {
    if (this->errors->size() < kMaxErrors) {
      this->errors->push_back(SettingsError{this->document.file, line, key, problem, allowed});
    }
  }

  void CheckEntry(const std::string& name, const toml::node& node, const std::string& path,
                  const std::string& pattern, std::uint32_t line) {
    const std::string child_path = Join(path, name);
    const std::string child_pattern = Join(pattern, name);
    // A name with a pattern's own signs must not pass for the pattern.
    const bool literal = name.find_first_of("*[].") == std::string::npos;
    const KeySpec* spec = literal ? this->FindSpec(child_pattern) : nullptr;
    if (spec != nullptr) {
      this->CheckValue(*spec, node, child_path, line);
    } else if (literal && this->prefixes.count(child_pattern) != 0) {
      this->CheckSubtable(node, child_path, child_pattern, line);
    } else if (literal && this->prefixes.count(child_pattern + "[]") != 0) {
      this->CheckItems(node, child_path, child_pattern + "[]", line);
    } else if (this->prefixes.count(Join(pattern, "*")) != 0) {
      this->CheckNamedTable(name, node, path, Join(pattern, "*"), line);
    } else {
      this->Refuse(line, child_path, "unknown key", this->NamesBelow(pattern));
    }
  }

  void CheckNamedTable(const std::string& name, const toml::node& node, const std::string& path,
                       const std::string& pattern, std::uint32_t line) {
    // A dot in a name would make its path ambiguous.
    if (!IsName(name) || name.find('.') != std::string::npos) {
      this->Refuse(line, Join(path, name.substr(0, 64)), "not a name",
                   "1 to 63 of a-z, 0-9, - and _, starting with a letter or digit");
      return;
    }
    if (!node.is_table()) {
      this->Refuse(line, Join(path, name), "has to be a table", "");
      return;
    }
    this->document.tables[path].push_back(name);
    this->CheckTable(node.as_table(), Join(path, name), pattern, line);
  }

  void CheckSubtable(const toml::node& node, const std::string& path, const std::string& pattern,
                     std::uint32_t line) {
    if (!node.is_table()) {
      this->Refuse(line, path, "has to be a table", this->NamesBelow(pattern));
      return;
    }
    this->CheckTable(node.as_table(), path, pattern, line);
  }

  void CheckItems(const toml::node& node, const std::string& path, const std::string& pattern,
                  std::uint32_t line) {
    const toml::array* items = node.as_array();
    if (items == nullptr) {
      this->Refuse(line, path, "has to be a list of tables", this->NamesBelow(pattern));
      return;
    }
    this->document.items[path] = items->size();
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
      this->Refuse(line, path, problem, spec.AllowedRange());
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
      *problem = "has to be a whole number";
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
      *problem = "has to be a number";
      return std::nullopt;
    }
    const double value = node.value<double>().value_or(std::numeric_limits<double>::quiet_NaN());
    const bool in_range = value >= static_cast<double>(spec.min) &&
                          value <= static_cast<double>(spec.max);  // false for not-a-number
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
      *problem = "has to be a duration in quotes, such as \"250ms\"";
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
      *problem = "has to be text in quotes";
      return std::nullopt;
    }
    if (const auto wrong = CheckText(spec, text->get())) {
      *problem = *wrong;
      return std::nullopt;
    }
    return text->get();
  }

  static std::optional<SettingsValue> ReadNames(const KeySpec& spec, const toml::node& node,
                                                std::string* problem) {
    const toml::array* items = node.as_array();
    if (items == nullptr) {
      *problem = "has to be a list of names";
      return std::nullopt;
    }
    if (static_cast<std::int64_t>(items->size()) > spec.max) {
      *problem = "a list of " + std::to_string(items->size());
      return std::nullopt;
    }
    std::vector<std::string> names;
    for (const toml::node& item : *items) {
      const toml::value<std::string>* text = item.as_string();
      if (text == nullptr || CheckText(spec, text->get())) {
        *problem = "holds an item that is not a name";
        return std::nullopt;
      }
      names.push_back(text->get());
    }
    return names;
  }

  // Goes through the schema's keys right below a pattern: defaults, and keys that have to be there.
  void FillIn(const toml::table* table, const std::string& path, const std::string& pattern,
              std::uint32_t line) {
    std::set<std::string> missing_tables;
    const std::string start = pattern.empty() ? "" : pattern + ".";
    for (const KeySpec& spec : this->keys) {
      if (!StartsWith(spec.path, start)) {
        continue;
      }
      const std::string rest = spec.path.substr(start.size());
      const std::string name = rest.substr(0, rest.find('.'));
      const bool in_document = table != nullptr && table->contains(name);
      if (in_document || name == "*" || name.find("[]") != std::string::npos) {
        continue;
      }
      if (rest == name) {
        this->FillInKey(spec, Join(path, name), line);
      } else if (missing_tables.insert(name).second) {
        this->FillIn(nullptr, Join(path, name), Join(pattern, name), line);
      }
    }
  }

  void FillInKey(const KeySpec& spec, const std::string& path, std::uint32_t line) {
    if (spec.required) {
      this->Refuse(line, path, "is missing", spec.AllowedRange());
      return;
    }
    if (const auto value = ParseDefault(spec)) {
      this->document.values[path] = LocatedValue{*value, 0};
    }
  }

  std::string NamesBelow(const std::string& pattern) const {
    std::set<std::string> names;
    const std::string start = pattern.empty() ? "" : pattern + ".";
    for (const KeySpec& spec : this->keys) {
      if (StartsWith(spec.path, start)) {
        const std::string rest = spec.path.substr(start.size());
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
  std::set<std::string> prefixes;
  std::vector<SettingsError>* errors;
};

/// \brief Refuses what would make the parser slow or deep. \returns the reason, if any.
std::optional<SettingsError> CheckShape(const std::string& text, const std::string& file) {
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
      return SettingsError{file, line, "", "the line is too long; write one item of a list a line",
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
  if (const auto shape = internal::CheckShape(text, file)) {
    errors->push_back(*shape);
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
