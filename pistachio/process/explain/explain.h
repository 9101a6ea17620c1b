#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pistachio {

/// \brief Parsed line of a process's log.
struct LogLine {
  std::string time;  ///< time in UTC, as text; sorts by time
  std::string level;
  std::string host;
  std::string event;                          ///< number and name, such as `E2204 cell-lost`
  std::map<std::string, std::string> fields;  ///< values by name, without their quotes
  std::string text;                           ///< the line as it was read
};

/// \brief Parses one log line. \returns nothing if \a text is no event, such as the output of
/// another program.
std::optional<LogLine> ParseLogLine(const std::string& text);

/// \brief Selects the log lines that explain what happened to one submission, task or target.
///
/// For a submission's id, the result has the lines of its tasks and the answers to its callers. It
/// also has the events of the targets and hosts that these lines name, between the first and the
/// last of these lines.
/// \param lines log lines of all processes, in any order
/// \returns the selected lines, oldest first
std::vector<LogLine> Explain(const std::string& id, const std::vector<LogLine>& lines);

}  // namespace pistachio
