#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/tasks.h"

namespace pistachio::bench {

/// \brief Delays of the modelled platform, on the paused clock.
struct FleetDelays {
  Duration message = std::chrono::milliseconds(1);
  Duration command = std::chrono::milliseconds(2);
  Duration checkpoint = std::chrono::milliseconds(500);
  Duration commit = std::chrono::milliseconds(5);
  Duration batch_interval = std::chrono::seconds(1);
  Duration tick = std::chrono::milliseconds(100);
};

/// \brief What the fleet sent and wrote; the same in every run.
struct FleetCounts {
  std::uint64_t starts = 0;
  std::uint64_t writes = 0;
  std::uint64_t queue_records = 0;
  std::uint64_t queue_bytes = 0;
  std::uint64_t rack_records = 0;
  std::uint64_t rack_bytes = 0;
  std::uint64_t commands = 0;
  std::uint64_t messages = 0;
};

/// \brief A unit's ledger: one commit in flight, urgent records do not wait for the interval.
struct FleetLedger {
  std::uint64_t pending_through = 0;
  std::uint64_t pending_records = 0;
  bool urgent = false;
  bool in_flight = false;
  TimePoint last_commit{};
  std::vector<std::string> records;
};

/// \brief A target that keeps every lease and finishes each task after its declared run time.
struct FleetTarget {
  std::map<TaskId, std::pair<TargetTask, TimePoint>> rows;  ///< with the instant of the finish
};

/// \brief One job queue, its racks and their targets in one thread on a paused clock.
class Fleet {
 public:
  Fleet(int workers, int targets_per_rack, const FleetDelays& delays);

  void Submit(const JobSpec& spec);
  void Run(Duration time);

  /// \brief Lets a new controller take over each rack from its records. \returns commands sent.
  std::uint64_t TakeOverEveryRack();

  TimePoint now{};
  FleetCounts counts;
  std::map<TaskId, TimePoint> started_at;
  std::map<TaskId, std::uint32_t> start_counts;

 private:
  void At(TimePoint when, std::function<void()> act);
  void FeedQueue(const QueueEvent& event);
  void FeedRack(std::size_t index, const RackEvent& event);
  void Act(const QueueAction& action);
  void Act(std::size_t index, const RackAction& action);
  void Append(FleetLedger& ledger, const AppendRecord& append);
  void Flush(std::size_t unit);
  void Committed(std::size_t unit, std::uint64_t through);
  void Carry(std::size_t index, const SendCommand& send);
  CommandAnswer Execute(const SendCommand& send);
  void TellRoom(std::size_t index);
  void TickRack(std::size_t index);
  void TickQueue();

  FleetDelays delays;
  JobQueue queue;
  std::vector<RackController> racks;
  std::vector<FleetLedger> ledgers;  ///< of each rack, then of the queue
  std::vector<TargetsListed> listings;
  std::map<TargetId, FleetTarget> targets;
  std::map<RackId, std::size_t> rack_numbers;
  std::multimap<TimePoint, std::function<void()>> agenda;
};

}  // namespace pistachio::bench
