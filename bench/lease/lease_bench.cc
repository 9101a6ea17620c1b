// Compares the right to act under three kinds of lease in the same outages, and counts store calls.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "pistachio/process/runtime/random.h"
#include "tests/lease/lease_world.h"

DEFINE_uint64(seed, 20261204, "seed of the outage schedules");
DEFINE_int32(schedules, 4, "schedules for each kind of outage");
DEFINE_int32(minutes, 30, "length of one schedule, in minutes");
DEFINE_bool(json, false, "print one JSON document instead of text");

namespace pistachio {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(200);
constexpr Duration kWarmUp = std::chrono::seconds(90);
constexpr int kUnits = 12;

enum class LeaseKind { kStatic, kPlain, kVouched };

const char* NameOf(LeaseKind kind) {
  switch (kind) {
    case LeaseKind::kStatic:
      return "static shares";
    case LeaseKind::kPlain:
      return "plain lease";
    case LeaseKind::kVouched:
      return "vouched lease";
  }
  return "unknown";
}

/// \brief A fault of a schedule: it begins at a time and lasts for a while.
struct Outage {
  enum class What { kStoreDown, kHostDead, kHostCut, kStoreCut } what;
  Duration begin;
  Duration length;
  std::size_t host = 0;
};

struct Schedule {
  const char* name;
  std::vector<Outage> outages;
};

std::vector<HostId> HostNames(int count) {
  std::vector<HostId> hosts;
  hosts.reserve(count);
  for (int host = 0; host < count; host++) {
    hosts.emplace_back(fmt::format("host-{:02}", host));
  }
  return hosts;
}

std::vector<UnitId> UnitNames(int count) {
  std::vector<UnitId> units;
  units.reserve(count);
  for (int unit = 0; unit < count; unit++) {
    units.emplace_back(fmt::format("rack-{:03}", unit));
  }
  return units;
}

Duration Between(RandomSource* random, Duration least, Duration most) {
  const auto width = static_cast<std::uint64_t>((most - least).count()) + 1;
  return least + Duration(static_cast<Duration::rep>((*random)() % width));
}

/// \brief Outages of one kind, one after the other with quiet times between them.
std::vector<Outage> Repeat(RandomSource* random, Outage::What what, Duration least, Duration most,
                           std::size_t hosts) {
  std::vector<Outage> outages;
  const Duration end = std::chrono::minutes(FLAGS_minutes);
  for (Duration at = std::chrono::seconds(60); at < end;) {
    const Duration length = Between(random, least, most);
    outages.push_back(Outage{what, at, length, (*random)() % hosts});
    at += length + Between(random, std::chrono::minutes(1), std::chrono::minutes(4));
  }
  return outages;
}

std::vector<Schedule> Schedules(std::uint64_t seed, std::size_t hosts) {
  using std::chrono::minutes;
  using std::chrono::seconds;
  RandomSource random(seed);
  const auto repeat = [&](Outage::What what, Duration least, Duration most) {
    return Repeat(&random, what, least, most, hosts);
  };
  const auto both = [](std::vector<Outage> first, const std::vector<Outage>& second) {
    first.insert(first.end(), second.begin(), second.end());
    return first;
  };
  const auto short_outages = repeat(Outage::What::kStoreDown, seconds(5), seconds(20));
  const auto long_outages = repeat(Outage::What::kStoreDown, minutes(4), minutes(10));
  const auto deaths = repeat(Outage::What::kHostDead, seconds(30), minutes(3));
  return {
      {"quiet", {}},
      {"service away 5 to 20 s", short_outages},
      {"service away 4 to 10 min", long_outages},
      {"a host dead 0.5 to 3 min", deaths},
      {"a host cut off 0.5 to 3 min", repeat(Outage::What::kHostCut, seconds(30), minutes(3))},
      {"a host cut off from the service", repeat(Outage::What::kStoreCut, minutes(1), minutes(5))},
      {"long outages and deaths", both(long_outages, deaths)},
      {"long outages and restarts of 3 s",
       both(long_outages,
            repeat(Outage::What::kHostDead, std::chrono::seconds(3), std::chrono::seconds(3)))}};
}

/// \brief Plays schedules against one kind of lease and adds up the time in which units are served.
class AvailabilityRun {
 public:
  AvailabilityRun(LeaseKind kind, std::vector<Outage> outages, int hosts)
      : kind(kind),
        outages(std::move(outages)),
        hosts(HostNames(hosts)),
        units(UnitNames(kUnits)),
        world(LeaseTiming{}, this->hosts, this->units),
        oracle(&this->world, this->units, LeaseTiming{}),
        running(this->outages.size(), false) {
    if (kind == LeaseKind::kPlain) {
      // Without promises, what is left is the lease in the record alone.
      this->world.message_fate = [](std::size_t /*index*/, const SendMemberMessage& message) {
        MessageFate fate;
        fate.lose = std::holds_alternative<VouchRequest>(message.message);
        return fate;
      };
    }
  }

  /// \returns the share of unit time that had an owner with the right to act.
  double Play() {
    for (const HostId& host : this->hosts) {
      this->world.Start(host);
    }
    for (Duration done{0}; done < kWarmUp; done += kStep) {
      this->world.Step(kStep);
    }
    std::uint64_t served = 0;
    std::uint64_t looked = 0;
    for (Duration at{0}; at < std::chrono::minutes(FLAGS_minutes); at += kStep) {
      this->SwitchOutages(at);
      this->world.Step(kStep);
      for (const UnitId& unit : this->units) {
        looked++;
        served += this->IsServed(unit) ? 1 : 0;
      }
    }
    return static_cast<double>(served) / static_cast<double>(looked);
  }

 private:
  // A static share is served by its one host whenever that lives and can reach the data centre.
  bool IsServed(const UnitId& unit) const {
    if (this->kind != LeaseKind::kStatic) {
      return this->oracle.IsOwned(unit);
    }
    const std::size_t home = StableHash(unit.str()) % this->hosts.size();
    return this->world.ProcessOf(this->hosts[home]).has_value();
  }

  void SwitchOutages(Duration at) {
    for (std::size_t index = 0; index < this->outages.size(); index++) {
      const Outage& outage = this->outages[index];
      const bool on = at >= outage.begin && at < outage.begin + outage.length;
      if (on != this->running[index]) {
        this->running[index] = on;
        this->Switch(outage, on);
      }
    }
  }

  void Switch(const Outage& outage, bool on) {
    const HostId& host = this->hosts[outage.host];
    switch (outage.what) {
      case Outage::What::kStoreDown:
        this->world.store_down = on;
        break;
      case Outage::What::kHostDead:
        this->KillOrStart(host, on);
        break;
      case Outage::What::kHostCut:
        this->CutLinks(host, on);
        this->CutStore(host, on);
        break;
      case Outage::What::kStoreCut:
        this->CutStore(host, on);
        break;
    }
  }

  void KillOrStart(const HostId& host, bool on) {
    const std::optional<std::size_t> process = this->world.ProcessOf(host);
    if (on && process) {
      this->world.Kill(*process);
    } else if (!on && !process) {
      this->world.Start(host);
    }
  }

  void CutStore(const HostId& host, bool on) {
    if (on) {
      this->world.cut_from_store.insert(host);
    } else {
      this->world.cut_from_store.erase(host);
    }
  }

  void CutLinks(const HostId& host, bool on) {
    for (const HostId& other : this->hosts) {
      for (const auto& link : {std::make_pair(host, other), std::make_pair(other, host)}) {
        if (on) {
          this->world.cut_links.insert(link);
        } else {
          this->world.cut_links.erase(link);
        }
      }
    }
  }

  LeaseKind kind;
  std::vector<Outage> outages;
  std::vector<HostId> hosts;
  std::vector<UnitId> units;
  LeaseWorld world;
  LeaseOracle oracle;
  std::vector<bool> running;
};

nlohmann::json MeasureAvailability() {
  constexpr int kHosts = 3;
  nlohmann::json rows = nlohmann::json::array();
  const std::size_t kinds = Schedules(FLAGS_seed, kHosts).size();
  for (std::size_t index = 0; index < kinds; index++) {
    nlohmann::json row;
    for (const LeaseKind kind : {LeaseKind::kStatic, LeaseKind::kPlain, LeaseKind::kVouched}) {
      double sum = 0;
      for (int run = 0; run < FLAGS_schedules; run++) {
        const std::vector<Schedule> all = Schedules(FLAGS_seed + run, kHosts);
        row["schedule"] = all[index].name;
        sum += AvailabilityRun(kind, all[index].outages, kHosts).Play();
      }
      row[NameOf(kind)] = sum / FLAGS_schedules;
    }
    rows.push_back(row);
  }
  return rows;
}

/// \brief Counts the store calls, bytes and messages of quiet members over ten minutes.
nlohmann::json MeasureCost(int hosts, int units) {
  constexpr Duration kTime = std::chrono::minutes(10);
  LeaseWorld world(LeaseTiming{}, HostNames(hosts), UnitNames(units));
  for (const HostId& host : HostNames(hosts)) {
    world.Start(host);
  }
  for (Duration done{0}; done < kWarmUp * 4; done += kStep) {
    world.Step(kStep);
  }
  world.counts.clear();
  world.messages = 0;
  for (Duration done{0}; done < kTime; done += kStep) {
    world.Step(kStep);
  }
  const double seconds = std::chrono::duration<double>(kTime).count();
  nlohmann::json row{
      {"hosts", hosts},
      {"units", units},
      {"messages per host and s", static_cast<double>(world.messages) / seconds / hosts}};
  for (const auto& [role, count] : world.counts) {
    const std::string name = NameOf(role);
    row[name + " reads/s"] = static_cast<double>(count.reads) / seconds;
    row[name + " writes/s"] = static_cast<double>(count.writes) / seconds;
    row[name + " bytes per host and s"] =
        static_cast<double>(count.bytes_in + count.bytes_out) / seconds / hosts;
  }
  return row;
}

nlohmann::json MeasureCosts() {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [hosts, units] :
       std::vector<std::pair<int, int>>{{3, 10}, {3, 113}, {9, 10}, {9, 113}, {36, 113}}) {
    rows.push_back(MeasureCost(hosts, units));
  }
  return rows;
}

void PrintText(const nlohmann::json& result) {
  for (const char* part : {"availability", "cost"}) {
    fmt::print("{}\n", part);
    for (const nlohmann::json& row : result.at(part)) {
      for (const auto& [name, value] : row.items()) {
        fmt::print(
            "  {}: {}", name,
            value.is_number_float() ? fmt::format("{:.4f}", value.get<double>()) : value.dump());
      }
      fmt::print("\n");
    }
  }
}

}  // namespace
}  // namespace pistachio

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Availability and cost of leases under fixed outage schedules.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const nlohmann::json result{{"seed", FLAGS_seed},
                              {"schedules", FLAGS_schedules},
                              {"minutes", FLAGS_minutes},
                              {"availability", pistachio::MeasureAvailability()},
                              {"cost", pistachio::MeasureCosts()}};
  if (FLAGS_json) {
    fmt::print("{}\n", result.dump(2));
  } else {
    pistachio::PrintText(result);
  }
  return 0;
}
