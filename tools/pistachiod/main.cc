#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "pistachio/process/daemon.h"
#include "pistachio/process/runtime.h"
#include "pistachio/version.h"

DEFINE_string(settings, "", "TOML file with this entry host's settings");
DEFINE_bool(print_events, false, "print docs/EVENTS.md and exit");
DEFINE_string(check_settings, "", "check this settings file in full and exit");

namespace {

constexpr int kOk = 0;
constexpr int kRefused = 1;
constexpr int kUsage = 2;

/// Reads and checks a settings file; says on standard error what is wrong.
std::optional<pistachio::DaemonSettings> ReadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    std::cerr << "pistachiod: cannot read " << file << "; give a readable file\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  std::vector<pistachio::SettingsError> errors;
  auto settings = pistachio::ParseDaemonSettings(text.str(), file, &errors);
  for (const pistachio::SettingsError& error : errors) {
    std::cerr << error.str() << "\n";
  }
  return settings;
}

int RunDaemon(const pistachio::DaemonSettings& settings) {
  // The signals are taken by this thread alone, so every later thread has to block them too.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  pistachio::OpenLog(settings.host.str());
  pistachio::Daemon daemon(settings, pistachio::BootClock{});
  if (!daemon.Start()) {
    const pistachio::DaemonError& error = daemon.last_error();
    std::cerr << "pistachiod: " << error.cause << "; " << error.next_step << "\n";
    return kRefused;
  }
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  daemon.Stop();
  return kOk;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetVersionString(PISTACHIO_VERSION);
  gflags::SetUsageMessage(
      "runs one entry host\n\n"
      "  pistachiod --settings FILE\n"
      "  pistachiod --check_settings FILE\n\n"
      "SIGTERM stops it gracefully. Exit codes: 0 done, 1 refused, 2 wrong usage.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_print_events) {
    std::cout << pistachio::RenderEventsPage();
    return kOk;
  }
  if (!FLAGS_check_settings.empty()) {
    const bool good = ReadSettings(FLAGS_check_settings).has_value();
    std::cout << FLAGS_check_settings << (good ? ": correct\n" : ": refused\n");
    return good ? kOk : kRefused;
  }
  if (FLAGS_settings.empty() || argc > 1) {
    std::cerr << "pistachiod: --settings FILE is needed; see --help\n";
    return kUsage;
  }
  const auto settings = ReadSettings(FLAGS_settings);
  return settings ? RunDaemon(*settings) : kRefused;
}
