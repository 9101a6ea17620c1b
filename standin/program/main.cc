#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>

#include "standin/platform_standin.h"

DEFINE_string(settings_out, "",
              "file that the settings of a host for this platform are written to");

namespace {

/// Finds a free port on loopback. Another process may take the port before it is used.
/// \returns nothing if no port can be opened
std::optional<pistachio::ListenAddress> FreeAddress() {
  pistachio::HttpServer probe(pistachio::HttpServerLimits{},
                              [](const pistachio::ServedRequest&) {});
  return probe.Listen(pistachio::ListenAddress{});
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "serves a stand-in for the platform (store and targets) on loopback until SIGTERM or SIGINT");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  pistachio::standin::PlatformStandin standin({});
  const auto callers = FreeAddress();
  const auto readiness = FreeAddress();
  const auto control = FreeAddress();
  if (!callers || !readiness || !control || !standin.Start()) {
    std::cerr << "platform_standin: cannot open a port on loopback\n";
    return 1;
  }
  std::ofstream(FLAGS_settings_out) << standin.HostSettingsText(*callers, *readiness, *control);
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  return 0;
}
