#include <fmt/format.h>
#include <gflags/gflags.h>
#include <malloc.h>

#include <iostream>

#include "pistachio/connection/codec.h"
#include "pistachio/connection/peer.h"
#include "pistachio/process/tasks.h"

DEFINE_bool(json, false, "print one line of JSON");

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using pistachio::ControlMessage;
using pistachio::WireJson;

pistachio::TaskId TaskAt(std::uint32_t index) {
  return {pistachio::JobId("ashgrove-reconcile-20261204"), index};
}

pistachio::JobSpec SpecOfBatch() {
  pistachio::JobSpec spec;
  spec.job = pistachio::JobId("ashgrove-reconcile-20261204");
  spec.team = pistachio::TeamId("ashgrove");
  spec.work_class = pistachio::WorkClass("reconcile");
  spec.count = 1000;
  spec.declared = pistachio::Resources{1000, 2048, 0};
  spec.expected_run = 60s;
  return spec;
}

std::size_t BytesOfMessage(const ControlMessage& message) {
  return pistachio::EncodePeerMessage(message).size();
}

std::size_t BytesOfRoom(std::uint32_t targets) {
  pistachio::PeerRoom room;
  room.room.rack = pistachio::RackId("waikato-r12");
  room.room.free.assign(targets, pistachio::Resources{3500, 20480, 1});
  room.room.capacity.assign(targets, pistachio::Resources{16000, 61440, 2});
  room.room.preemptible = pistachio::Resources{60000, 200000, 3};
  return BytesOfMessage(room);
}

std::size_t BytesOfRoutes(std::uint32_t instances) {
  pistachio::PeerRoutes routes;
  routes.rack = pistachio::RackId("waikato-r12");
  for (std::uint32_t i = 0; i < instances; ++i) {
    routes.services.push_back({pistachio::ServiceId(fmt::format("team{}.service", i % 27)),
                               {pistachio::TargetId(fmt::format("waikato-t{:03}", i % 10))}});
  }
  return BytesOfMessage(routes);
}

std::size_t BytesOfRenewal(std::uint32_t tasks) {
  pistachio::RenewCommand renew;
  renew.lease_term = 12s;
  for (std::uint32_t i = 0; i < tasks; ++i) {
    renew.tasks.emplace_back(TaskAt(i), 1);
  }
  return WireJson(pistachio::FencedCommand{7, renew}).dump().size();
}

std::size_t BytesOfReport(std::uint32_t tasks) {
  pistachio::CommandAnswer answer;
  answer.status = pistachio::CommandStatus::kDone;
  answer.report = pistachio::TargetReport{};
  answer.report->target = pistachio::TargetId("waikato-t101");
  for (std::uint32_t i = 0; i < tasks; ++i) {
    pistachio::TargetTask row;
    row.task = TaskAt(i);
    row.checkpoint = "12345678";
    row.used = pistachio::Resources{900, 1800, 0};
    row.progress_rate = 0.875;
    answer.report->tasks.push_back(row);
  }
  return WireJson(answer).dump().size();
}

std::size_t BytesOfStart() {
  pistachio::StartCommand start;
  start.task = TaskAt(123);
  start.spec = SpecOfBatch();
  start.lease_term = 12s;
  return WireJson(pistachio::FencedCommand{7, start}).dump().size();
}

pistachio::PeerAssignment AssignmentAt(std::uint32_t index) {
  pistachio::PeerAssignment message;
  message.assignment.task = TaskAt(index);
  message.assignment.queue = pistachio::UnitId("queue/1");
  message.assignment.rack = pistachio::RackId("waikato-r12");
  message.assignment.spec = SpecOfBatch();
  message.assignment.serial = index + 1;
  return message;
}

/// Heap bytes of a rack controller that holds \a tasks tasks on ten targets.
std::size_t HeapOfRack(std::uint32_t tasks) {
  const std::size_t before = mallinfo2().uordblks;
  const pistachio::TimePoint now(1h);
  pistachio::RackController rack(pistachio::RackId("waikato-r12"), pistachio::RackLimits{},
                                 pistachio::InterferencePolicy{});
  pistachio::TargetsListed listed;
  for (std::uint32_t i = 0; i < 10; ++i) {
    pistachio::TargetListing listing;
    listing.target = pistachio::TargetId(fmt::format("waikato-t{:03}", i));
    listing.rack = pistachio::RackId("waikato-r12");
    listing.capacity = pistachio::Resources{1000000, 4000000, 0};
    listed.targets.push_back(listing);
  }
  rack.Handle(listed, now);
  rack.Handle(pistachio::RackRecovered{1, "", {}, 1}, now);
  rack.Handle(pistachio::ActUntilChanged{now + 1h}, now);
  for (std::uint32_t i = 0; i < tasks; ++i) {
    rack.Handle(pistachio::AssignmentReceived{AssignmentAt(i).assignment}, now);
  }
  return mallinfo2().uordblks - before;
}

struct Row {
  std::string what;
  std::vector<std::pair<std::uint32_t, std::size_t>> sizes;  ///< size and bytes
};

template <class Measure>
Row MeasureAt(const std::string& what, const std::vector<std::uint32_t>& sizes, Measure measure) {
  Row row{what, {}};
  for (const std::uint32_t size : sizes) {
    row.sizes.emplace_back(size, measure(size));
  }
  return row;
}

/// Bytes for one more of what is counted, between the smallest and the largest size.
double SlopeOf(const Row& row) {
  const auto& [least, least_bytes] = row.sizes.front();
  const auto& [most, most_bytes] = row.sizes.back();
  return static_cast<double>(most_bytes - least_bytes) / (most - least);
}

void Print(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    std::cout << fmt::format("{:<44}", row.what);
    for (const auto& [size, bytes] : row.sizes) {
      std::cout << fmt::format("  {:>5}: {:>8} B", size, bytes);
    }
    if (row.sizes.size() > 1) {
      std::cout << fmt::format("  slope {:.1f} B", SlopeOf(row));
    }
    std::cout << "\n";
  }
}

void PrintJson(const std::vector<Row>& rows) {
  WireJson all = WireJson::array();
  for (const Row& row : rows) {
    all.push_back({{"what", row.what}, {"bytes", row.sizes}});
  }
  std::cout << all.dump() << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("bytes of messages and memory at several sizes, for docs/CAPACITY.md");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const pistachio::MemberId member{pistachio::HostId("waikato-1"), 0xfedcba9876543210U};
  pistachio::PeerEnd end;
  end.queue = pistachio::UnitId("queue/1");
  end.end.task = TaskAt(123);
  end.end.target = pistachio::TargetId("waikato-t101");
  end.end.rack = pistachio::RackId("waikato-r12");
  const std::vector<Row> rows = {
      MeasureAt("heartbeat", {1},
                [&](std::uint32_t) {
                  return BytesOfMessage(pistachio::Heartbeat{member, 100000, 12, false});
                }),
      MeasureAt("assignment", {1}, [](std::uint32_t i) { return BytesOfMessage(AssignmentAt(i)); }),
      MeasureAt("confirmation", {1},
                [](std::uint32_t i) {
                  return BytesOfMessage(
                      pistachio::PeerConfirmation{pistachio::UnitId("queue/1"), TaskAt(i), 1});
                }),
      MeasureAt("end of an attempt", {1}, [&](std::uint32_t) { return BytesOfMessage(end); }),
      MeasureAt("room of a rack, by targets", {5, 10, 20}, BytesOfRoom),
      MeasureAt("routes of a rack, by instances", {14, 28, 56}, BytesOfRoutes),
      MeasureAt("start command", {1}, [](std::uint32_t) { return BytesOfStart(); }),
      MeasureAt("renewal of a target, by tasks", {6, 12, 24}, BytesOfRenewal),
      MeasureAt("report of a target, by tasks", {6, 12, 24}, BytesOfReport),
      MeasureAt("heap of a rack, by tasks", {61, 122, 244}, HeapOfRack)};
  if (FLAGS_json) {
    PrintJson(rows);
  } else {
    Print(rows);
  }
  return 0;
}
