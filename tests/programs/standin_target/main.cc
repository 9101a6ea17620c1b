#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include "tests/standins/target_server.h"

DEFINE_string(listen, "127.0.0.1:0", "IP number and port to serve on; port 0 takes a free one");
DEFINE_string(platform, "", "address of the platform's list of hosts, to register with");
DEFINE_string(name, "target-1", "name of the target");
DEFINE_string(rack, "rack-1", "name of its rack");
DEFINE_string(data_centre, "centre-1", "name of its data centre");
DEFINE_int32(cpu_millis, 16000, "thousandths of a processor core");
DEFINE_int32(memory_mib, 61440, "memory in mebibytes");
DEFINE_int32(accelerators, 0, "accelerators");
DEFINE_int32(slots, 8, "requests at once");
DEFINE_int32(connections, 64, "connections at once");
DEFINE_int32(life_s, 300, "seconds after which the program ends by itself");

namespace {

pistachio::TargetListing ListingFromFlags() {
  pistachio::TargetListing listing;
  listing.target = pistachio::TargetId(FLAGS_name);
  listing.rack = pistachio::RackId(FLAGS_rack);
  listing.data_centre = pistachio::DataCentreId(FLAGS_data_centre);
  listing.capacity = pistachio::Resources{FLAGS_cpu_millis, FLAGS_memory_mib, FLAGS_accelerators};
  listing.slots = static_cast<std::uint32_t>(FLAGS_slots);
  listing.connections = static_cast<std::uint32_t>(FLAGS_connections);
  return listing;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
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
  pistachio::TargetListing listing = ListingFromFlags();
  pistachio::standins::TargetServer server(listing, pistachio::BootClock{});
  const auto address = server.Listen(*listen);
  if (!address) {
    std::cerr << "cannot listen on " << FLAGS_listen << "\n";
    return 1;
  }
  listing.address = address->str();
  pistachio::HttpClient client;
  pistachio::HttpCall call;
  call.method = "POST";
  call.url = "http://" + FLAGS_platform + "/v1/register";
  call.body = pistachio::WireJson(listing).dump();
  const pistachio::HttpResult registered = client.SendAndWait(call);
  if (!registered.answered()) {
    std::cerr << "cannot register with the platform: " << registered.reason << "\n";
    return 1;
  }
  timespec life{};
  life.tv_sec = FLAGS_life_s;
  sigtimedwait(&signals, nullptr, &life);
  server.Stop();
  return 0;
}
