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
/// The result has the lines that name the id; for a submission's id, these include the lines of its
/// tasks and of the answers to its callers. The result also has the events about the targets that
/// these lines name and the hosts that logged them, from the first to the last of these lines.
/// \param lines log lines of all processes, in any order
/// \returns the selected lines, oldest first
std::vector<LogLine> Explain(const std::string& id, const std::vector<LogLine>& lines);

}  // namespace pistachio
