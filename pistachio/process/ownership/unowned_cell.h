#pragma once

#include <map>
#include <memory>
#include <vector>

#include "pistachio/connection/store.h"
#include "pistachio/process/ownership/cluster_view.h"
#include "pistachio/process/ownership/departures.h"
#include "pistachio/process/ownership/membership.h"
#include "pistachio/process/scheduling/move_choice.h"

namespace pistachio {

/// \brief Intervals and limits for a cell without an owner.
struct UnownedCellSettings {
  /// Time without an owner after which another host looks after the cell's waiting submissions. A
  /// host of the cell's data centre that is alive takes the cell sooner.
  Duration start_after = std::chrono::milliseconds(1500);
  /// Interval between two reads of the cell's submissions.
  Duration read_interval = std::chrono::milliseconds(1000);
  /// Timeout of each store call.
  Duration call_timeout = std::chrono::milliseconds(1500);
  MoveSettings move;
};

/// \brief Looks after the waiting submissions of a cell that no host can take.
///
/// While a data centre is cut off, no host owns its cell: the hosts inside do not reach the store,
/// and those outside do not reach the targets. One live host then publishes how many submissions
/// wait there, and moves those that never had a run to cells with room. Every write requires that
/// the cell still has no owner and the submission no progress record, so a submission that an owner
/// has assigned, or can still assign, does not move.
class UnownedCell {
 public:
  /// \param other_cells the other cells of the installation
  UnownedCell(CellId cell, std::vector<CellId> other_cells, const UnownedCellSettings& settings,
              StorePort store);

  /// \brief Reads, publishes and moves if the cell has no owner and this host is responsible.
  void Tick(TimePoint now, const ClusterView& view, const Membership& membership);

  /// \returns the events logged since the last call.
  std::vector<EventRecord> TakeEvents() { return std::exchange(this->state->events, {}); }

 private:
  /// State shared with the callbacks of store calls.
  struct State {
    TimePoint now{};                     ///< time of the last tick
    TimePoint unowned_since{};           ///< zero while the cell has an owner
    std::uint64_t unowned_revision = 0;  ///< of the view at `unowned_since`
    TimePoint next_read_at{};
    bool reading = false;
    std::uint64_t generation = 0;  ///< replies to calls of an older generation are ignored
    std::vector<StoreItem> inbox;
    std::uint64_t inbox_revision = 0;              ///< store revision of the first page of `inbox`
    std::map<SubmissionId, std::string> progress;  ///< progress records
    LoadRecord last_load;                          ///< load record of the last owner
    std::vector<MoveDestination> destinations;
    /// Queues and destinations of the submissions in the last move.
    std::map<SubmissionId, std::pair<QueueId, CellId>> moving;
    Departures departures;
    std::map<CellId, std::uint64_t> counted_revisions;  ///< of the other cells, before the read
    std::vector<EventRecord> events;
  };

  /// \returns true if this host is the one that looks after the cell.
  bool IsResponsible(const ClusterView& view, const Membership& membership) const;
  /// Records for how long the cell has had no owner. The next owner, whose data centre may have
  /// been cut off meanwhile, then waits less for targets that it can't reach.
  void RecordAbsence();
  void ReadInboxPage(const std::string& after_key);
  void ReadProgressPage(const std::string& after_key);
  /// \returns the submission as a count of one, or of none if a task of it has begun.
  SubmissionCount Count(const AcceptedSubmission& accepted) const;
  /// Publishes the number of waiting submissions and moves some of them.
  void OnRead();
  /// Notes which submissions of the last move have left the inbox, whether it was answered or not.
  void NoteDepartures();
  /// Sends a store call. \param on_reply skipped if the generation has changed by then
  void CallStore(const StoreCall& call, std::function<void(const StoreReply&)> on_reply);

  CellId cell;
  std::vector<CellId> other_cells;
  UnownedCellSettings settings;
  StorePort store;
  std::shared_ptr<State> state = std::make_shared<State>();
};

}  // namespace pistachio
