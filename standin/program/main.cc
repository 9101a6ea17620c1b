#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <string>

#include "standin/platform_standin.h"

DEFINE_string(settings_out, "",
              "file that the settings of a host for this platform are written to");

namespace {

/// Opens a free port on loopback that the kernel gives to no connection and to no server without a
/// port of its own. \returns nothing if no port can be opened
std::optional<pistachio::ListenAddress> OpenFreePort(pistachio::HttpServer* probe) {
  constexpr std::uint16_t kFirst = 20000;
  constexpr std::uint16_t kLast = 32000;  // Linux chooses ports from 32768 on.
  constexpr int kAttempts = 100;
  std::random_device random;
  std::uniform_int_distribution<std::uint16_t> ports(kFirst, kLast);
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    pistachio::ListenAddress address;
    address.port = ports(random);
    if (auto opened = probe->Listen(address)) {
      return opened;
    }
  }
  return std::nullopt;
}

/// \returns settings of a host on free ports, or an empty text if no port can be opened. Another
///   process may open the ports before the host does.
std::string HostSettingsText(const pistachio::standin::PlatformStandin& standin) {
  const auto ignore = [](const pistachio::ServedRequest&) {};
  // All are open at the same time, so that their ports differ.
  pistachio::HttpServer callers_probe(pistachio::HttpServerLimits{}, ignore);
  pistachio::HttpServer readiness_probe(pistachio::HttpServerLimits{}, ignore);
  pistachio::HttpServer control_probe(pistachio::HttpServerLimits{}, ignore);
  const auto callers = OpenFreePort(&callers_probe);
  const auto readiness = OpenFreePort(&readiness_probe);
  const auto control = OpenFreePort(&control_probe);
  return callers && readiness && control ? standin.HostSettingsText(*callers, *readiness, *control)
                                         : "";
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
  const std::string settings = standin.Start() ? HostSettingsText(standin) : "";
  if (settings.empty()) {
    std::cerr << "platform_standin: cannot open a port on loopback\n";
    return 1;
  }
  std::ofstream(FLAGS_settings_out) << settings;
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  return 0;
}
