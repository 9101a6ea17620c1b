#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "tests/version/settings_world.h"

DEFINE_uint32(data_centres, 4, "data centres");
DEFINE_uint32(hosts, 36, "entry hosts, over all data centres");
DEFINE_uint32(teams, 270, "teams, each with one subtree");
DEFINE_uint32(document_bytes, 2000, "bytes of each document");
DEFINE_uint32(changes, 1300, "changes");
DEFINE_uint32(span_seconds, 86400, "time over which they are spread, evenly at random");
DEFINE_string(cut, "none", "none, service (one data centre cut from the key-value service)");
DEFINE_uint64(seed, 1, "seed of the instants and teams of the changes");
DEFINE_bool(json, false, "print JSON");

namespace pistachio {
namespace {

constexpr Duration kBound = std::chrono::seconds(9);
constexpr Duration kSettle = std::chrono::seconds(30);

/// \brief What one run came to.
struct BenchResult {
  std::uint64_t changes = 0;
  std::uint64_t measured = 0;  ///< pairs of a change and a host
  std::uint64_t late = 0;      ///< pairs beyond the bound
  Duration p50{0};
  Duration p99{0};
  Duration longest{0};
  double calls_per_centre = 0.0;  ///< on the key-value service, a second
  double calls_per_host = 0.0;
  double busiest_calls = 0.0;        ///< of one host, a second
  double store_bytes_busiest = 0.0;  ///< read by one host, a second
  double peer_bytes_mean = 0.0;      ///< sent by one host, a second
  double peer_bytes_busiest = 0.0;
  std::uint64_t violations = 0;
};

std::string DocumentOf(std::uint64_t number) {
  std::string document = "# change " + std::to_string(number) + "\n";
  document.resize(std::max<std::size_t>(document.size(), FLAGS_document_bytes), '#');
  return document;
}

/// \brief When each version came into force at each host.
class ArrivalTimes {
 public:
  explicit ArrivalTimes(SettingsWorld* world) : world(world) {
    world->on_in_force = [this](const HostId& host, const SubtreeVersion& version) {
      this->Arrived(host, version);
    };
  }

  void Accepted(const SubtreeVersion& version) {
    this->accepted[{version.subtree, version.version}] = this->world->now();
  }

  // A host that takes a later version of the subtree has skipped the ones before it: for them too
  // the wait ended.
  void Arrived(const HostId& host, const SubtreeVersion& version) {
    std::uint64_t& seen = this->seen_at[{host, version.subtree}];
    for (std::uint64_t v = seen + 1; v <= version.version; v++) {
      const auto start = this->accepted.find({version.subtree, v});
      if (start != this->accepted.end()) {
        this->waits.push_back(this->world->now() - start->second);
      }
    }
    seen = version.version;
  }

  std::vector<Duration> waits;

 private:
  SettingsWorld* world;
  std::map<std::pair<std::string, std::uint64_t>, TimePoint> accepted;
  std::map<std::pair<HostId, std::string>, std::uint64_t> seen_at;
};

void Load(SettingsWorld* world) {
  world->Accept(kRootSubtree, DocumentOf(0));
  for (std::uint32_t team = 0; team < FLAGS_teams; team++) {
    world->Accept("team-" + std::to_string(team), DocumentOf(0));
  }
  world->Advance(kSettle);
}

std::vector<Duration> Instants(std::mt19937_64* random) {
  std::vector<Duration> instants(FLAGS_changes);
  const auto span = static_cast<std::uint64_t>(FLAGS_span_seconds) * 1'000'000U;
  for (Duration& instant : instants) {
    instant = Duration(static_cast<std::int64_t>(span == 0 ? 0 : (*random)() % span));
  }
  std::sort(instants.begin(), instants.end());
  return instants;
}

void CountTraffic(const std::map<HostId, HostTraffic>& before, const SettingsWorld& world,
                  Duration span, BenchResult* result) {
  const double seconds = std::chrono::duration<double>(span).count();
  double calls = 0.0;
  double peer_bytes = 0.0;
  for (const auto& [host, now] : world.traffic()) {
    const HostTraffic& then = before.at(host);
    const double host_calls = static_cast<double>(now.store_calls - then.store_calls) / seconds;
    const double read = static_cast<double>(now.store_bytes - then.store_bytes) / seconds;
    const double sent = static_cast<double>(now.peer_bytes_sent - then.peer_bytes_sent) / seconds;
    calls += host_calls;
    peer_bytes += sent;
    result->busiest_calls = std::max(result->busiest_calls, host_calls);
    result->store_bytes_busiest = std::max(result->store_bytes_busiest, read);
    result->peer_bytes_busiest = std::max(result->peer_bytes_busiest, sent);
  }
  result->calls_per_centre = calls / FLAGS_data_centres;
  result->calls_per_host = calls / FLAGS_hosts;
  result->peer_bytes_mean = peer_bytes / FLAGS_hosts;
}

void CountWaits(std::vector<Duration> waits, BenchResult* result) {
  std::sort(waits.begin(), waits.end());
  result->measured = waits.size();
  if (waits.empty()) {
    return;
  }
  result->p50 = waits[waits.size() / 2];
  result->p99 = waits[waits.size() * 99 / 100];
  result->longest = waits.back();
  result->late = static_cast<std::uint64_t>(
      std::count_if(waits.begin(), waits.end(), [](Duration wait) { return wait > kBound; }));
}

BenchResult Run() {
  SettingsWorld world(FLAGS_data_centres, FLAGS_hosts / FLAGS_data_centres);
  Load(&world);
  if (FLAGS_cut == "service") {
    world.CutCentreFromStore(DataCentreId("dc1"));
    world.Advance(kSettle);
  }
  std::mt19937_64 random(FLAGS_seed);
  ArrivalTimes arrivals(&world);
  BenchResult result;
  const std::map<HostId, HostTraffic> before = world.traffic();
  const TimePoint start = world.now();
  for (const Duration instant : Instants(&random)) {
    world.Advance(start + instant - world.now());
    const std::string team = "team-" + std::to_string(random() % FLAGS_teams);
    arrivals.Accepted(world.Accept(team, DocumentOf(++result.changes)));
  }
  world.Advance(kSettle);
  CountTraffic(before, world, world.now() - start, &result);
  CountWaits(arrivals.waits, &result);
  // What is still not in force at the end counts as late, too.
  const std::uint64_t expected = result.changes * FLAGS_hosts;
  result.late += expected - std::min(expected, result.measured);
  result.violations = world.violations.size() + world.Lagging().size();
  return result;
}

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

nlohmann::json ToJson(const BenchResult& result) {
  return {{"data_centres", FLAGS_data_centres},
          {"hosts", FLAGS_hosts},
          {"teams", FLAGS_teams},
          {"cut", FLAGS_cut},
          {"changes", result.changes},
          {"pairs_of_change_and_host", result.measured},
          {"pairs_late", result.late},
          {"in_force_p50_ms", Millis(result.p50)},
          {"in_force_p99_ms", Millis(result.p99)},
          {"in_force_max_ms", Millis(result.longest)},
          {"store_calls_per_s_per_data_centre", result.calls_per_centre},
          {"store_calls_per_s_per_host", result.calls_per_host},
          {"store_calls_per_s_busiest_host", result.busiest_calls},
          {"store_bytes_read_per_s_busiest_host", result.store_bytes_busiest},
          {"peer_bytes_sent_per_s_mean", result.peer_bytes_mean},
          {"peer_bytes_sent_per_s_busiest_host", result.peer_bytes_busiest},
          {"violations", result.violations}};
}

}  // namespace
}  // namespace pistachio

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Spread of settings with fakes on a paused clock; same flags, same output.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_data_centres == 0 || FLAGS_hosts % FLAGS_data_centres != 0 || FLAGS_teams == 0) {
    std::cerr << "settings bench: --hosts has to be a multiple of --data_centres, --teams not 0\n";
    return 2;
  }
  const pistachio::BenchResult result = pistachio::Run();
  const nlohmann::json json = pistachio::ToJson(result);
  if (FLAGS_json) {
    std::cout << json.dump() << "\n";
  } else {
    for (const auto& [name, value] : json.items()) {
      std::cout << fmt::format("{:<40}{}\n", name, value.dump());
    }
  }
  return result.late == 0 && result.violations == 0 ? 0 : 1;
}
