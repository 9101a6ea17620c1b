#include "pistachio/process/explain/explain.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace pistachio {

namespace internal {

/// Returns true for an event about a host or a cell, which names no submission or target.
bool IsHostOrCellEvent(const LogLine& line) {
  static const std::set<std::string> kNames = {"process-started",   "process-stopping",
                                               "store-unreachable", "store-reachable",
                                               "lease-lapsed",      "cell-taken",
                                               "cell-loaded",       "cell-lost",
                                               "commit-unanswered", "configuration-in-force"};
  const std::size_t space = line.event.find(' ');
  return space != std::string::npos && kNames.count(line.event.substr(space + 1)) != 0;
}

/// Reads the word at position \a at and moves \a at to the next word. A word ends at a space
/// outside double quotes; quotes and backslash escapes are removed.
std::string ReadWord(const std::string& text, std::size_t* at) {
  std::string word;
  bool quoted = false;
  for (; *at < text.size() && (quoted || text[*at] != ' '); ++*at) {
    if (text[*at] == '\\' && *at + 1 < text.size()) {
      word.push_back(text[++*at]);
    } else if (text[*at] == '"') {
      quoted = !quoted;
    } else {
      word.push_back(text[*at]);
    }
  }
  while (*at < text.size() && text[*at] == ' ') {
    ++*at;
  }
  return word;
}

/// Returns true if a field's value ends with \a id or has \a id followed by `.` or `/`. This covers
/// the ids of a submission's tasks and the paths of its requests.
bool MentionsId(const LogLine& line, const std::string& id) {
  return std::any_of(line.fields.begin(), line.fields.end(), [&id](const auto& field) {
    const std::string& value = field.second;
    const std::size_t found = value.find(id);
    return found != std::string::npos &&
           (found + id.size() == value.size() || value[found + id.size()] == '.' ||
            value[found + id.size()] == '/');
  });
}

}  // namespace internal

std::optional<LogLine> ParseLogLine(const std::string& text) {
  LogLine line;
  line.text = text;
  // A log collector may put its own columns before the daemon's line, which begins with the time.
  const std::size_t utc_suffix = text.find("Z ");
  const std::size_t begin =
      utc_suffix == std::string::npos ? utc_suffix : text.rfind(' ', utc_suffix);
  std::size_t at = begin == std::string::npos ? 0 : begin + 1;
  line.time = internal::ReadWord(text, &at);
  line.level = internal::ReadWord(text, &at);
  line.host = internal::ReadWord(text, &at);
  line.event = internal::ReadWord(text, &at);
  if (line.event.size() < 2 || line.event[0] != 'E') {
    return std::nullopt;
  }
  line.event += " " + internal::ReadWord(text, &at);
  while (at < text.size()) {
    const std::string word = internal::ReadWord(text, &at);
    const std::size_t equals = word.find('=');
    if (equals != std::string::npos) {
      line.fields[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  return line;
}

std::vector<LogLine> Explain(const std::string& id, const std::vector<LogLine>& lines) {
  std::vector<LogLine> selected;
  std::set<std::string> targets;
  std::set<std::string> hosts;
  std::string first_time;
  std::string last_time;
  for (const LogLine& line : lines) {
    if (!internal::MentionsId(line, id)) {
      continue;
    }
    selected.push_back(line);
    hosts.insert(line.host);
    first_time = first_time.empty() ? line.time : std::min(first_time, line.time);
    last_time = std::max(last_time, line.time);
    const auto target = line.fields.find("target");
    if (target != line.fields.end()) {
      targets.insert(target->second);
    }
  }
  for (const LogLine& line : lines) {
    const auto target = line.fields.find("target");
    const bool about_related_target = line.fields.count("task") == 0 &&
                                      target != line.fields.end() &&
                                      targets.count(target->second) != 0;
    const bool about_related_host =
        internal::IsHostOrCellEvent(line) && hosts.count(line.host) != 0;
    const bool in_time_span = line.time >= first_time && line.time <= last_time;
    if (in_time_span && (about_related_target || about_related_host) &&
        !internal::MentionsId(line, id)) {
      selected.push_back(line);
    }
  }
  std::stable_sort(selected.begin(), selected.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return selected;
}

}  // namespace pistachio
