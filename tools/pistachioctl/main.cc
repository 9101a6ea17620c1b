#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "pistachio/process/explain/explain.h"
#include "pistachio/version.h"

DEFINE_string(logs, "", "explain: log files of the hosts, separated by commas");

namespace {

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;

constexpr const char* kHelp =
    "Command line tool for operators of pistachiostall.\n\n"
    "  pistachioctl explain ID --logs FILE[,FILE...]   print the log lines about a submission, "
    "task or "
    "target\n"
    "  pistachioctl settings check root|team|job FILE  validate a settings document\n"
    "  pistachioctl settings explain KEY               print type, range, default and limit of a "
    "key\n"
    "  pistachioctl settings page                      print the content of docs/SETTINGS.md\n\n"
    "Exit codes: 0 success, 1 document refused or nothing found, 2 wrong usage or unreadable file.";

/// \returns the content of a file, or nothing after printing an error if it cannot be opened.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    std::cerr << "pistachioctl: cannot read " << path << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/// \brief Prints the lines of the files in `--logs` about \a id, oldest first. \returns the exit
/// code.
int ExplainId(const std::string& id) {
  std::vector<pistachio::LogLine> lines;
  std::istringstream file_list(FLAGS_logs);
  std::string file;
  while (std::getline(file_list, file, ',')) {
    const auto text = ReadFile(file);
    if (!text) {
      return kExitUsage;
    }
    std::istringstream file_lines(*text);
    std::string raw_line;
    while (std::getline(file_lines, raw_line)) {
      if (auto line = pistachio::ParseLogLine(raw_line)) {
        lines.push_back(std::move(*line));
      }
    }
  }
  const auto related_lines = pistachio::Explain(id, lines);
  for (const pistachio::LogLine& line : related_lines) {
    std::cout << line.text << "\n";
  }
  if (related_lines.empty()) {
    std::cerr << "pistachioctl: no log line mentions " << id << "; lines read: " << lines.size()
              << "\n";
    return kExitRefused;
  }
  return kExitOk;
}

/// \brief Validates a document of the given kind, `root`, `team` or `job`, and prints its errors.
///
/// Every other kind counts as `team`. Limits are checked against a root document with defaults.
/// \returns the exit code
int CheckDocument(const std::string& kind, const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return kExitUsage;
  }
  std::vector<pistachio::SettingsError> errors;
  if (kind == "job") {
    pistachio::ParseJobDocument(*text, file, &errors);
  } else {
    errors = pistachio::SettingsHierarchy().Check(kind == "root" ? pistachio::kRootSubtree : "team",
                                                  *text, file);
  }
  for (const pistachio::SettingsError& error : errors) {
    std::cerr << error.str() << "\n";
  }
  std::cout << file << (errors.empty() ? ": correct\n" : ": refused\n");
  return errors.empty() ? kExitOk : kExitRefused;
}

/// \brief Runs a `settings` subcommand. \returns the exit code.
int RunSettings(const std::vector<std::string>& arguments) {
  if (arguments.size() == 4 && arguments[1] == "check") {
    return CheckDocument(arguments[2], arguments[3]);
  }
  if (arguments.size() == 3 && arguments[1] == "explain") {
    const std::string text = pistachio::ExplainKey(arguments[2]);
    std::cout << text;
    return text.empty() ? kExitRefused : kExitOk;
  }
  if (arguments.size() == 2 && arguments[1] == "page") {
    std::cout << pistachio::RenderSettingsPage();
    return kExitOk;
  }
  std::cerr << kHelp << "\n";
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetVersionString(PISTACHIO_VERSION);
  gflags::SetUsageMessage(kHelp);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() == 2 && arguments[0] == "explain" && !FLAGS_logs.empty()) {
    return ExplainId(arguments[1]);
  }
  if (!arguments.empty() && arguments[0] == "settings") {
    return RunSettings(arguments);
  }
  std::cerr << kHelp << "\n";
  return kExitUsage;
}
