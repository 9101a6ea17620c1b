#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "pistachio/process/node/daemon.h"
#include "pistachio/process/runtime.h"
#include "platform/platform.h"

DEFINE_string(
    settings, "",
    "settings file of this host; if empty, the variable PISTACHIOSTALL_SETTINGS gives its path");
DEFINE_bool(print_events, false, "print the content of docs/EVENTS.md and exit");
DEFINE_string(check_settings, "", "validate this whole settings file and exit");

namespace {

constexpr int kExitOk = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;

/// \returns the path of the settings file from the flag, else from the environment; empty if
/// neither is set.
std::string SettingsPath() {
  const char* const path_from_environment = std::getenv(pistachio::platform::kSettingsVariable);
  return FLAGS_settings.empty() && path_from_environment != nullptr
             ? std::string(path_from_environment)
             : FLAGS_settings;
}

/// \brief Reads and decodes a settings file.
/// \param reason receives the error
/// \returns the settings, or nothing on an error
std::optional<pistachio::HostSettings> ReadSettings(const std::string& file, std::string* reason) {
  std::ifstream stream(file);
  if (!stream) {
    *reason = "cannot read " + file;
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return pistachio::platform::DecodeSettings(text.str(), reason);
}

/// \brief Runs the daemon until SIGTERM or SIGINT and reloads the settings on SIGHUP. An error at
/// the start is logged as an event. \returns the exit code
int RunDaemon(const std::string& file) {
  std::string reason;
  const auto settings = ReadSettings(file, &reason);
  pistachio::OpenLog(settings ? settings->host.str() : "pistachiod");
  if (!settings) {
    pistachio::WriteEvent({pistachio::EventCode::kSettingsRefused, {{"reason", reason}}});
    pistachio::CloseLog();
    return kExitRefused;
  }
  pistachio::Daemon daemon(*settings, pistachio::platform::MakeCodec());
  if (!daemon.Start()) {
    pistachio::WriteEvent(
        {pistachio::EventCode::kSettingsRefused, {{"reason", daemon.last_error()}}});
    pistachio::CloseLog();
    return kExitRefused;
  }
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  int signal_number = SIGHUP;
  while (signal_number == SIGHUP) {
    sigwait(&signals, &signal_number);
    if (signal_number == SIGHUP) {
      const auto new_settings = ReadSettings(file, &reason);
      daemon.Reload(new_settings, new_settings ? "" : reason);
    }
  }
  daemon.Stop();
  pistachio::CloseLog();
  return kExitOk;
}

/// \brief Blocks the signals that the main thread receives with `sigwait`. Threads inherit the
/// mask, so the call must come before any other thread starts. SIGPIPE is ignored.
void BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetVersionString(PISTACHIO_VERSION);
  gflags::SetUsageMessage(
      "Runs pistachiostall on one host.\n\n"
      "  pistachiod [--settings FILE]\n"
      "  pistachiod --check_settings FILE\n"
      "  pistachiod --print_events\n\n"
      "SIGTERM and SIGINT stop the daemon gracefully, SIGHUP reloads the settings. Exit codes: 0 "
      "success, 1 settings refused or start failed, 2 wrong usage.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_print_events) {
    std::cout << pistachio::RenderEventsPage();
    return kExitOk;
  }
  if (!FLAGS_check_settings.empty()) {
    std::string reason;
    const bool valid = ReadSettings(FLAGS_check_settings, &reason).has_value();
    std::cout << FLAGS_check_settings << (valid ? ": correct" : ": refused: " + reason) << "\n";
    return valid ? kExitOk : kExitRefused;
  }
  const std::string file = SettingsPath();
  if (file.empty() || argc > 1) {
    std::cerr << "pistachiod: no settings file given, or unexpected arguments; see --help\n";
    return kExitUsage;
  }
  BlockSignals();
  return RunDaemon(file);
}
