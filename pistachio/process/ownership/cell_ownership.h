#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/ownership/cluster_view.h"
#include "pistachio/process/ownership/departures.h"
#include "pistachio/process/ownership/end_forwarder.h"
#include "pistachio/process/ownership/membership.h"
#include "pistachio/process/ownership/owner_choice.h"
#include "pistachio/process/scheduling/cell.h"

namespace pistachio {

/// \brief Timeouts, intervals and limits for taking, holding and releasing a cell.
struct CellOwnershipSettings {
  /// Maximum age of the cluster view for taking a cell. It covers the longest wait of one watch of
  /// the store and the slack for its answer.
  Duration max_view_age = std::chrono::milliseconds(2500);
  /// Delay per rank before a host of the cell's data centres tries to take an unowned cell, so that
  /// usually only one host tries.
  Duration takeover_rank_delay = std::chrono::milliseconds(40);
  /// Added to the delay of a host while one with much more CPU owns no cell. Hosts learn of the
  /// loss of an owner up to `NodeSettings::hosts_watch_pause` apart, and a take is two store calls.
  Duration weak_host_takeover_delay = std::chrono::milliseconds(700);
  /// Time for which a cell must have no owner, and its data centres no live host, before a host of
  /// another data centre takes it. It is longer than a process restart.
  Duration remote_takeover_delay = std::chrono::milliseconds(3000);
  /// Time for which a better host must be available before the owner hands the cell over: a live
  /// host of the cell's own data centres for a remote owner, or an idle host with much more CPU.
  Duration handover_delay = std::chrono::milliseconds(1500);
  /// Minimum time between any handover and the next one to a host with more CPU. It limits repeated
  /// handovers to a host that fails to take the cell.
  Duration min_handover_interval = std::chrono::seconds(30);
  /// Timeout of the store calls that take the cell, release it and read its interference model.
  Duration take_timeout = std::chrono::milliseconds(900);
  /// Timeout of reading one page of progress records.
  Duration read_timeout = std::chrono::milliseconds(1500);
  /// Timeout of a commit and of a load write. It doubles after each commit without an answer and
  /// returns to this value after a successful one.
  Duration commit_timeout = std::chrono::milliseconds(500);
  /// Interval between two checks for submissions that should move to another cell.
  Duration move_interval = std::chrono::milliseconds(100);
  /// Maximum age of an estimate of another cell's load that contains submissions moved there. After
  /// it, or with the next load record, the record replaces the estimate.
  Duration max_estimate_age = std::chrono::milliseconds(2500);
  /// Upper bound of the doubled commit timeout.
  Duration max_commit_timeout = std::chrono::milliseconds(2000);
  /// Delay before a failed store call is repeated or the cell is taken again.
  Duration retry_delay = std::chrono::milliseconds(100);
  /// Interval at which an owner counts the targets of other cells for moves: that of the records of
  /// their loads. The count reads the registrations of the whole installation.
  Duration shape_interval = std::chrono::milliseconds(1000);
  /// Interval at which the submissions in the inbox are compared with those in memory.
  Duration inbox_check_interval = std::chrono::milliseconds(5000);
  /// Whether load records contain what forecasts need, see ForecastSettings::enabled.
  bool publish_forecast = false;
  /// Interval between load records. The load that callers receive may be up to 2 s old.
  Duration load_interval = std::chrono::milliseconds(1000);
  /// Interval between writes of the interference model. A crash of the owner may lose the last few
  /// seconds of learned data.
  Duration model_interval = std::chrono::seconds(4);
  /// Maximum time that a release waits for open writes.
  Duration max_release_wait = std::chrono::milliseconds(800);
  /// Maximum number of unregistered targets whose addresses are kept: as many as a large
  /// installation loses in an outage.
  std::size_t max_departed_targets = 200;
};

/// \brief Checks asynchronously whether this host can reach any target of a cell.
///
/// The probe calls its argument once, with true if a target answers.
using ReachabilityProbe = std::function<void(std::function<void(bool)>)>;

/// \brief Takes, loads, commits and releases one cell on behalf of this host.
///
/// The owner key is attached to the host's lease, so it disappears when the host fails. Every
/// commit has the revisions of the owner key and of the previous commit as preconditions: a former
/// owner can't write any more, and a commit that the store executes late has no effect.
class CellOwnership {
 public:
  /// \param other_cells the other cells of the installation
  CellOwnership(CellScope scope, std::vector<CellId> other_cells,
                const CellOwnershipSettings& settings, const CellSettings& cell_settings,
                StorePort store, ReachabilityProbe probe);

  /// \brief Advances the ownership state machine: takes, loads, runs or releases the cell.
  /// \param wall wall clock time, passed on to the cell
  void Tick(TimePoint now, WallTime wall, const ClusterView& view, const Membership& membership);

  /// \brief Sets the configuration, now and for a cell that is taken later.
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  /// \brief Adds or updates a registered target of the cell.
  void PutTarget(const TargetEntry& entry);
  /// \brief Passes on whether the registrations are recent enough for starts, see Cell.
  void SetRegistrationsCurrent(bool current);
  /// \brief Sets the data centres under evacuation, now and for a cell that is taken later.
  void SetEvacuatedDataCentres(const std::set<DataCentreId>& data_centres);
  /// \brief Sets the function that returns the targets of a cell that take new work. Without it,
  /// the kinds of targets in other cells are not known.
  void SetShapeReader(std::function<CellShape(const CellId&)> reader);
  /// \brief Sets the function that returns when the store had reached a revision, at the latest,
  /// see RevisionClock::ReachedBy(). Without it, inherited lease bounds count from the takeover.
  void SetRevisionReader(std::function<std::optional<TimePoint>(std::uint64_t)> reader);
  /// \brief Removes a target whose registration is gone. Its address is kept for loading.
  void RemoveTarget(const TargetId& target);

  /// \brief Releases the cell once open writes are done, at the latest after `max_release_wait`.
  /// Never takes it again.
  void Release();
  /// \returns true if this host neither owns the cell nor is taking, loading or releasing it.
  bool idle() const { return this->state->phase == Phase::kIdle; }

  /// \returns the last tick before the answer that the cell was taken, until this host releases or
  /// loses the cell; nothing otherwise.
  std::optional<TimePoint> taken_at() const {
    const Phase phase = this->state->phase;
    return phase == Phase::kIdle || phase == Phase::kTaking ? std::nullopt
                                                            : std::optional(this->state->taken_at);
  }

  /// \returns the cell while this host owns it, or nullptr.
  Cell* cell() { return this->state->phase == Phase::kOwning ? this->state->cell.get() : nullptr; }
  const Cell* cell() const {
    return this->state->phase == Phase::kOwning ? this->state->cell.get() : nullptr;
  }
  /// \returns the events logged since the last call, including those of the cell.
  std::vector<EventRecord> TakeEvents();

 private:
  enum class Phase { kIdle, kTaking, kLoading, kOwning, kReleasing };

  /// State shared with the callbacks of store calls and probes.
  struct State {
    Phase phase = Phase::kIdle;
    std::uint64_t generation = 0;  ///< replies to calls of an older generation are ignored
    std::unique_ptr<Cell> cell;
    std::uint64_t fencing_token = 0;      ///< revision of this host's owner key
    std::uint64_t sequence_revision = 0;  ///< revision of the last commit, or of the take
    OwnerRecord owner_record;             ///< written to the owner key
    LeaseRecord inherited_leases;         ///< in the sequence key when the cell was taken
    bool is_first_owner = false;          ///< the cell had no owner before this one
    bool take_in_doubt = false;           ///< an attempt of the present take has had no answer
    TimePoint take_sent_at{};             ///< when the last take of the cell was sent
    TimePoint taken_at{};                 ///< last tick before the answer that it was taken
    std::uint64_t lease = 0;              ///< lease of this host; 0 if there is none
    TimePoint now{};                      ///< time of the last tick
    /// A time at which the store had no owner of the cell any more, and a revision at which it had
    /// none already.
    struct Absence {
      TimePoint at{};
      std::uint64_t revision = 0;
    };
    std::optional<Absence> seen_absence;      ///< as this host has seen it
    std::optional<Absence> recorded_absence;  ///< as another host has recorded it
    TimePoint no_owner_at{};                  ///< see Cell::InheritAbsence
    /// Start of the time without an owner; zero while the cell has one. On a remote host, the time
    /// restarts at each tick at which the cell's data centres have live hosts.
    TimePoint unowned_since{};
    TimePoint better_owner_since{};  ///< since when another host is a better owner
    TimePoint next_handover_at{};    ///< earliest handover to a host with more CPU
    TimePoint next_take_at{};
    std::function<void()> retry_call;  ///< call to repeat while taking or loading
    TimePoint retry_at{};
    bool seen_as_owner = false;  ///< the cluster view has shown this host's owner key
    TimePoint release_deadline{};
    TimePoint next_load_at{};
    TimePoint next_model_at{};
    bool model_read = false;          ///< the read has ended, with or without a model
    double ended_core_seconds = 0.0;  ///< counter of the cell at the last load record
    TimePoint ended_counted_at{};
    double end_rate = 0.0;  ///< smoothed rate of the counter, in core-seconds a second
    bool load_in_flight = false;
    bool earlier_count_read = false;  ///< the load record of the earlier owner was read
    bool probe_in_flight = false;
    bool targets_reachable = false;  ///< result of the last probe while the cell is unowned
    bool stopping = false;           ///< set for good by Release
    std::map<std::string, StoreItem> progress_items;  ///< by key, until loading is done
    bool progress_read = false;
    std::optional<Transaction> open_commit;  ///< sent without a successful answer so far
    std::uint64_t commit_number = 0;
    bool commit_is_move = false;  ///< `open_commit` moves submissions to other cells
    /// Queues and destinations of the waiting submissions that `open_commit` moves.
    std::vector<std::pair<QueueId, CellId>> moving;
    Departures departures;
    EndForwarder end_forwarder;
    /// Estimated loads of the other cells that have an owner.
    std::vector<MoveDestination> destinations;
    std::map<CellId, CellShape> shapes;  ///< targets of the other cells
    TimePoint next_shapes_at{};          ///< when to read the targets again
    TimePoint next_inbox_check_at{};     ///< see `CellOwnershipSettings::inbox_check_interval`
    /// Keys and revisions of submissions in the inbox that were not in memory, and the owner's last
    /// write at that time.
    std::map<std::string, std::uint64_t> missed;
    std::uint64_t missed_as_of = 0;
    std::map<CellId, std::uint64_t> destination_revisions;  ///< load records they were read from
    TimePoint destinations_read_at{};
    TimePoint next_move_at{};
    Duration commit_timeout{0};
    bool commit_in_flight = false;
    /// When `open_commit` was last sent. The store has not confirmed this owner later than that,
    /// however late the answer arrives or is handled.
    TimePoint commit_sent_at{};
    TimePoint commit_retry_at{};
    std::vector<EventRecord> events;
  };

  /// Takes the cell if the cluster view is fresh and the takeover rules allow it.
  void TakeIfAllowed(const ClusterView& view, const Membership& membership);
  /// \param revision set to the expected revision of the owner key; unchanged if there is no key
  /// \returns true if this host may take the cell now.
  bool MayTake(const ClusterView& view, const Membership& membership, std::uint64_t* revision);
  /// \returns true if this host, outside the cell's data centres, may take the cell now. Starts a
  ///   reachability probe if one is needed.
  bool RemoteHostMayTake(const ClusterView& view);
  /// Reads the sequence key, then takes the cell on the condition that neither key changes.
  /// \param expected_revision of the owner key
  void ReadSequence(std::uint64_t expected_revision);
  /// \returns the lease bounds of a sequence record, less the time that has certainly passed since
  /// the former owner wrote them.
  LeaseRecord LeasesLeft(const StoreItem& sequence) const;
  void TakeOwnership(std::uint64_t expected_revision, const StoreItem& sequence);
  void SendTake(const Transaction& take);
  void OnTaken(const StoreReply& reply, const Transaction& take);
  void StartLoading(std::uint64_t fencing_token);
  void ReadModel();
  void ReadProgressPage(const std::string& after_key);
  /// Fills the cell once the inbox, the progress records and the model are read. Called after each
  /// of the three reads.
  void FinishLoadingIfReady();
  void OnInboxChange(const StoreItem& item);
  /// Delivers ends of tasks that the cell does not have to the cells that have them.
  void ForwardEnds();
  void ScheduleRetry(std::function<void()> call);
  /// Checks that this host still owns the cell, then commits, publishes the load or hands over.
  void MaintainOwnership(const ClusterView& view, const Membership& membership);
  /// Adds submissions to the cell that are in the inbox and not in memory.
  void AdoptMissedSubmissions();
  void AdoptMissed(const StoreItem& item);
  void HandOverIfDue(const ClusterView& view, const Membership& membership);
  /// \param view needed for moves to other cells; null to start none
  void DriveCommit(const ClusterView* view);
  /// Starts a move of waiting submissions to other cells if one is due.
  void StartMove(const ClusterView& view);
  /// Updates the estimated loads of the other cells.
  void UpdateDestinations(const ClusterView& view);
  /// Notes since when the cell has had no owner.
  void NoteAbsence(const ClusterView& view);
  /// Adds the kinds of targets to the destinations of moves.
  void UpdateShapes();
  /// Adds the owner's conditions and the sequence key to a new write with the number \a number.
  void AddSequence(std::uint64_t number, const LeaseRecord& leases, Transaction* write);
  void SendCommit();
  void OnCommitted(const StoreReply& reply);
  void PublishLoad(const ClusterView& view);
  /// Returns the load for forecasts, rounded to keep the record short.
  ForecastLoad RoundedForecast();
  /// Stops owning the cell. \param cause value of the field `cause` of the event
  void EndOwnership(const char* cause);
  void FinishRelease();
  /// Sends a store call. \param on_reply skipped if the generation has changed by then
  void CallStore(const StoreCall& call, Duration timeout,
                 std::function<void(const StoreReply&)> on_reply);
  void Log(EventCode code, std::vector<std::pair<std::string, std::string>> fields);

  /// \returns the live hosts of the cell's data centres.
  std::vector<OwnerCandidate> Candidates(const ClusterView& view) const;
  bool IsInScope(const DataCentreId& data_centre) const;

  CellId cell_id;
  std::vector<CellId> other_cells;
  std::vector<DataCentreId> scope_data_centres;  ///< data centres whose targets the cell holds
  CellOwnershipSettings settings;
  CellSettings cell_settings;
  StorePort store;
  ReachabilityProbe probe;
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  std::set<DataCentreId> evacuated_data_centres;
  std::function<CellShape(const CellId&)> shape_reader;
  std::function<std::optional<TimePoint>(std::uint64_t)> revision_reader;
  std::map<TargetId, TargetEntry> targets;
  std::map<TargetId, TargetEntry> departed_targets;  ///< the most recently unregistered
  std::deque<TargetId> departed_order;               ///< oldest first, to bound the memory
  std::shared_ptr<State> state = std::make_shared<State>();
  std::unique_ptr<PrefixMirror> inbox;
};

}  // namespace pistachio
