#include <gflags/gflags.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <vector>

#include "tests/standins/platform_server.h"

DEFINE_string(listen, "127.0.0.1:0", "IP number and port to serve on; port 0 takes a free one");
DEFINE_string(address_file, "", "file that gets the address in use");
DEFINE_int32(list_lag_ms, 500, "how far the list of hosts lags, in milliseconds");
DEFINE_int32(life_s, 300, "seconds after which the program ends by itself");
DEFINE_int32(free_ports, 0, "print this many free ports and exit");

namespace {

/// Ports taken from the kernel all at once, so that no two are the same.
int PrintFreePorts(int count) {
  std::vector<std::unique_ptr<pistachio::HttpServer>> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back(std::make_unique<pistachio::HttpServer>(pistachio::HttpServerLimits{},
                                                              [](const auto& /*request*/) {}));
    const auto address = servers.back()->Listen(pistachio::ListenAddress{});
    if (!address) {
      std::cerr << servers.back()->last_error() << "\n";
      return 1;
    }
    std::cout << address->port << "\n";
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_free_ports > 0) {
    return PrintFreePorts(FLAGS_free_ports);
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto listen = pistachio::ParseListenAddress(FLAGS_listen);
  if (!listen) {
    std::cerr << "--listen takes ip:port\n";
    return 2;
  }
  pistachio::standins::PlatformServer server(pistachio::BootClock{},
                                             std::chrono::milliseconds(FLAGS_list_lag_ms));
  const auto address = server.Listen(*listen);
  if (!address) {
    std::cerr << "cannot listen on " << FLAGS_listen << "\n";
    return 1;
  }
  if (!FLAGS_address_file.empty()) {
    std::ofstream(FLAGS_address_file) << address->str() << "\n";
  }
  timespec life{};
  life.tv_sec = FLAGS_life_s;
  sigtimedwait(&signals, nullptr, &life);
  server.Stop();
  return 0;
}
