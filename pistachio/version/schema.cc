#include "pistachio/version/schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "pistachio/version/values.h"

namespace pistachio {

namespace internal {

constexpr std::array<DocumentKind, 3> kDocumentKinds = {DocumentKind::kRoot, DocumentKind::kTeam,
                                                        DocumentKind::kJob};

/// \returns true if the concrete \a path matches \a pattern, in which `*` stands for a name and
/// `[]` for an index in brackets.
bool MatchesPattern(const std::string& pattern, const std::string& path) {
  std::size_t p = 0;
  std::size_t c = 0;
  while (p < pattern.size() && c < path.size()) {
    if (pattern[p] == '*') {
      c = std::min(path.find('.', c), path.size());
      p++;
    } else if (pattern.compare(p, 2, "[]") == 0) {
      c = path[c] == '[' ? std::min(path.find(']', c), path.size() - 1) + 1 : path.size();
      p += 2;
    } else if (pattern[p] == path[c]) {
      p++;
      c++;
    } else {
      return false;
    }
  }
  return p == pattern.size() && c == path.size();
}

/// \returns the text of the column for the default.
std::string DescribeDefault(const KeySpec& spec) {
  if (spec.required) {
    return "none, required";
  }
  if (!spec.root_default_key.empty()) {
    return "`" + spec.root_default_key + "` of the root";
  }
  return spec.default_value.empty() ? "empty" : "`" + spec.default_value + "`";
}

/// \returns the text of the column for the limit, empty if the root does not limit the key.
std::string DescribeLimit(const KeySpec& spec) {
  return spec.root_limit_key.empty() ? "" : "at most `" + spec.root_limit_key + "` of the root";
}

std::string TitleOf(DocumentKind kind) {
  switch (kind) {
    case DocumentKind::kRoot:
      return "The root subtree";
    case DocumentKind::kTeam:
      return "The subtree of a team";
    case DocumentKind::kJob:
      return "A job document";
  }
  return "";
}

}  // namespace internal

const char* NameOf(DocumentKind kind) {
  switch (kind) {
    case DocumentKind::kRoot:
      return "root";
    case DocumentKind::kTeam:
      return "team";
    case DocumentKind::kJob:
      return "job";
  }
  return "unknown";
}

const char* NameOf(ValueKind kind) {
  switch (kind) {
    case ValueKind::kName:
      return "name";
    case ValueKind::kText:
      return "text";
    case ValueKind::kFile:
      return "file";
    case ValueKind::kAddress:
      return "address";
    case ValueKind::kUrl:
      return "URL";
    case ValueKind::kInteger:
      return "integer";
    case ValueKind::kNumber:
      return "number";
    case ValueKind::kDuration:
      return "duration";
    case ValueKind::kNameList:
      return "list of names";
    case ValueKind::kDigest:
      return "digest";
  }
  return "unknown";
}

std::string KeySpec::AllowedRange() const {
  const std::string in_unit = this->unit.empty() ? "" : " " + this->unit;
  switch (this->kind) {
    case ValueKind::kName:
      return "1 to 63 of a-z, 0-9, `-`, `_` and `.`, starting with a letter or digit";
    case ValueKind::kAddress:
      return "an IP address and a port from 1 to 65535, such as \"127.0.0.1:7001\"";
    case ValueKind::kUrl:
      return "a URL, such as \"http://127.0.0.1:9000\"";
    case ValueKind::kDigest:
      return "40 digits of 0-9 and a-f";
    case ValueKind::kDuration:
      return fmt::format("{} to {}", FormatDuration(std::chrono::milliseconds(this->min)),
                         FormatDuration(std::chrono::milliseconds(this->max)));
    case ValueKind::kNameList:
      return fmt::format("at most {} names", this->max);
    case ValueKind::kText:
    case ValueKind::kFile:
      return fmt::format("text of {} to {} bytes", this->min, this->max);
    case ValueKind::kInteger:
    case ValueKind::kNumber:
      return fmt::format("{} to {}{}", this->min, this->max, in_unit);
  }
  return "";
}

const std::vector<KeySpec>& KeysOf(DocumentKind kind) {
  switch (kind) {
    case DocumentKind::kRoot:
      return internal::RootKeys();
    case DocumentKind::kJob:
      return internal::JobKeys();
    case DocumentKind::kTeam:
      break;
  }
  return internal::TeamKeys();
}

std::optional<KeySpec> FindKey(DocumentKind kind, const std::string& path) {
  for (const KeySpec& spec : KeysOf(kind)) {
    if (spec.path == path || internal::MatchesPattern(spec.path, path)) {
      return spec;
    }
  }
  return std::nullopt;
}

std::string ExplainKey(const std::string& path) {
  std::string text;
  for (const DocumentKind kind : internal::kDocumentKinds) {
    const auto spec = FindKey(kind, path);
    if (!spec) {
      continue;
    }
    text += fmt::format("{} ({})\n  type     {}\n  allowed  {}\n  default  {}\n", spec->path,
                        NameOf(kind), NameOf(spec->kind), spec->AllowedRange(),
                        internal::DescribeDefault(*spec));
    if (!spec->root_limit_key.empty()) {
      text += "  limit    " + internal::DescribeLimit(*spec) + "\n";
    }
    text += "  " + spec->description + "\n";
  }
  return text;
}

std::string RenderSettingsPage() {
  std::string page =
      "# Settings\n\n"
      "Generated by `pistachioctl settings page` from the schema. Do not edit this page; change "
      "the schema.\n\n"
      "Settings are TOML documents. A duration is a text with a unit: `\"250ms\"`, `\"9s\"`, "
      "`\"2m\"`, `\"1h\"`. Unknown keys are errors. In a key, `*` stands for any name and `[]` for "
      "each table of a list.\n";
  for (const DocumentKind kind : internal::kDocumentKinds) {
    page += fmt::format("\n## {}\n\n| Key | Type | Allowed | Default | Limit | Meaning |\n",
                        internal::TitleOf(kind));
    page += "|---|---|---|---|---|---|\n";
    for (const KeySpec& spec : KeysOf(kind)) {
      page += fmt::format("| `{}` | {} | {} | {} | {} | {} |\n", spec.path, NameOf(spec.kind),
                          spec.AllowedRange(), internal::DescribeDefault(spec),
                          internal::DescribeLimit(spec), spec.description);
    }
  }
  return page;
}

}  // namespace pistachio
