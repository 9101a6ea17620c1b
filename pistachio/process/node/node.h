#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pistachio/process/node/host_settings.h"
#include "pistachio/process/node/store_monitor.h"
#include "pistachio/process/ownership.h"
#include "pistachio/request.h"

namespace pistachio {

/// \brief Store keys of the documents that the platform writes, and their decoders.
///
/// A decoder returns nothing if the document cannot be read.
struct PlatformDocuments {
  std::string configuration_key;  ///< key of the operators' configuration
  std::string target_prefix;      ///< prefix of the keys of target registrations; the id follows
  /// Prefix of the keys that request the evacuation of a data centre; its name follows. A key's
  /// value has no meaning.
  std::string evacuation_prefix;
  std::function<std::optional<Configuration>(const std::string&)> decode_configuration;
  /// Decodes a target's registration from its key and value.
  std::function<std::optional<TargetEntry>(const std::string&, const std::string&)> decode_target;
};

/// \brief Functions through which the node sends calls.
///
/// Each returns at once and runs its callback once, later, on the control thread.
struct NodePorts {
  StorePort store;  ///< sends a call to the store
  /// Sends a start, stop or pace order to a target.
  std::function<void(const Order&, FencingToken, std::function<void(const OrderReply&)>)> order;
  /// Sends a hold order to a target: it extends the lease of the target's runs and returns the runs
  /// and their ends.
  std::function<void(const Order&, FencingToken, std::function<void(const HoldReply&)>)> hold;
  /// Requests a target's health page; the callback gets true if there was any answer.
  std::function<void(const std::string& address, const std::string& path,
                     std::function<void(bool)>)>
      probe_target;
};

/// \brief Settings of a node and of the modules it is built from.
struct NodeSettings {
  CellOwnershipSettings ownership;
  UnownedCellSettings unowned_cell;
  CellSettings cell;
  RequestHandlerSettings request_handler;
  MembershipSettings membership;
  StoreMonitorSettings store_monitor;
  /// Longest times for which the store holds a watch of each prefix open without a change. A change
  /// of the configuration has to be active on each host within 2 s; a wait of 1 s leaves time for
  /// one lost watch.
  std::chrono::milliseconds configuration_watch_wait{1000};
  /// See `MirrorSettings::cut_off_extension`. The configuration alone may be large. The copies of
  /// targets and submissions must not be as old, because starts depend on them.
  std::chrono::milliseconds configuration_cut_off_extension{4000};
  /// Longest time for which requests wait for the first configuration of a process that has just
  /// started. It is read within some tens of milliseconds if the store answers.
  Duration max_configuration_wait = std::chrono::milliseconds(500);
  /// Most requests that wait for it.
  std::size_t max_configuration_waiters = 256;
  std::chrono::milliseconds hosts_watch_wait{1500};
  std::chrono::milliseconds targets_watch_wait{1500};
  /// Pauses after a watch that returned changes. Each target and each cell owner writes its key
  /// once a second. A pause collects several changes in one call, and the saved calls are worth
  /// more than the added delay of about a third of a second.
  Duration hosts_watch_pause = std::chrono::milliseconds(400);
  Duration owner_targets_watch_pause = std::chrono::milliseconds(300);
  /// Pause of the watch over targets on hosts that own no cell. Such a host uses the targets only
  /// to choose a cell for new submissions.
  Duration idle_targets_watch_pause = std::chrono::milliseconds(1500);
  /// Time after a store outage at which all targets have registered again. The platform's
  /// documentation gives about 2 s.
  Duration registration_settle_time = std::chrono::milliseconds(2000);
  /// Age up to which the copy of the registrations is recent enough for starts. A room that has
  /// shrunk binds 3 s after the target's next registration.
  Duration max_registration_age = std::chrono::milliseconds(2800);
  /// Time after the request for an evacuation from which on no run may start in the data centre;
  /// nothing if the installation has no evacuations. See RunLimits::evacuation_apply.
  std::optional<Duration> evacuation_apply;
  /// Time that a start may take from its sending until the target carries it out. The owner gives
  /// up on an order after 0.4 s; the rest is a margin for connections and slow targets.
  Duration start_transit_time = std::chrono::milliseconds(1000);
  /// Time for which the store may report no changes before it loses its history. Watches that end
  /// in this time confirm a copy that may be that much older.
  Duration max_silent_time = std::chrono::milliseconds(1000);
  /// Longest times for which the store holds the watch over evacuations open without a change. An
  /// owner needs the confirmation that none has begun, any other host only hears of changes.
  std::chrono::milliseconds owner_evacuations_watch_wait{1000};
  std::chrono::milliseconds idle_evacuations_watch_wait{10000};
  /// Time for which the set of targets has to stay unchanged before a host proposes a cell layout
  /// for it. Each host waits one `layout_rank_step` more for every member whose name sorts before
  /// its own, so that usually only one host proposes.
  Duration layout_delay = std::chrono::milliseconds(1200);
  Duration layout_rank_step = std::chrono::milliseconds(300);
  /// Time for which this host's member record has to be missing in the store before the host writes
  /// it again.
  Duration reregister_after = std::chrono::milliseconds(2000);
};

/// \returns the default settings of a node, adjusted to the limits in \a host.
NodeSettings MakeNodeSettings(const HostSettings& host);

/// \brief Control state of one host: membership, owned cells and the handling of callers' requests.
///
/// Not thread-safe; all calls come from the control thread. A node has no threads and performs no
/// input or output itself: it sends calls through NodePorts and records events for the log.
class Node {
 public:
  /// \param incarnation number that distinguishes this process from earlier ones of the same host
  Node(const HostSettings& host, const NodeSettings& settings, std::uint64_t incarnation,
       PlatformDocuments documents, NodePorts ports);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// \brief Starts to read the store and to register this host. Call once, before Tick().
  void Start(TimePoint start_time);

  /// \brief Makes the decisions that are due and sends the resulting calls.
  /// \param wall wall-clock time; the times in submissions and in stored records refer to it
  void Tick(TimePoint now, WallTime wall);

  /// Decodes a request according to a configuration. Runs again if the configuration changes before
  /// the request takes effect.
  using Decode = std::function<CallerRequest(const Configuration&)>;

  /// \brief Handles a caller's request. \param done gets the answer; runs once, during this call or
  /// later on the control thread
  /// \param handled_at current time; after a suspension of the process it is later than that of the
  /// last Tick()
  void Handle(const Decode& decode, const RequestHandler::AnswerCallback& done,
              TimePoint handled_at);

  /// \returns true if the load balancer should route new callers to this host.
  bool Ready() const;

  /// \brief Starts to release all cells and takes no new ones; still answers callers.
  void BeginStop();
  /// \brief Answers the callers that wait, see RequestHandler::BeginStop(). Called after
  /// BeginStop(), once callers have learned that this host is not ready.
  void EndRequests(TimePoint end_at);
  /// \returns true if a caller's request waits for the store.
  bool HasOpenRequests() const {
    return this->request_handler->HasOpenRequests() || !this->without_configuration.empty();
  }
  /// \returns true if this host neither owns a cell nor is taking or releasing one.
  bool AllCellsReleased() const;

  /// \returns true if this host owns a cell or is taking or releasing one. While it does, Tick()
  /// has to be called every few milliseconds.
  bool HasActiveCells() const;

  /// \brief Removes and returns the events that the node and its modules recorded since the last
  /// call.
  std::vector<EventRecord> TakeEvents();

  /// \returns the ownership of each cell of the layout; empty until the layout is known.
  const std::map<CellId, CellOwnership>& cell_ownerships() const { return this->ownership_by_cell; }
  const StoreMonitor& store_monitor() const { return this->monitor; }
  /// \returns the data centres that are under evacuation, as far as this host knows.
  const std::set<DataCentreId>& evacuated() const { return this->evacuated_data_centres; }
  /// \returns the version of the active configuration; 0 before the first one is read.
  std::uint64_t configuration_version() const {
    return this->active_configuration.configuration->version;
  }
  /// \returns the largest body that the active configuration accepts, in bytes; nothing before the
  /// first one is read.
  std::optional<std::size_t> max_body_bytes() const {
    const Configuration& configuration = *this->active_configuration.configuration;
    return configuration.version == 0 ? std::nullopt
                                      : std::optional<std::size_t>(configuration.max_body_bytes);
  }

 private:
  /// When a request arrived.
  struct Arrival {
    TimePoint at;
    std::uint64_t revision = 0;  ///< latest store revision that this host knew then
  };
  /// A request that came before this process had a configuration to decode it with.
  struct WaitingRequest {
    Decode decode;
    RequestHandler::AnswerCallback done;
    Arrival arrival;
  };

  /// Raises `newest_revision` to the revisions in a reply.
  void NoteRevisions(const StoreReply& reply);

  /// \returns true once requests can be decoded, or it is known that there is no configuration.
  bool KnowsConfiguration() const;
  /// Handles the requests that waited for the configuration, once it is known or the wait is over.
  void HandleWaitingRequests(bool wait_over);
  /// Handles a request. Repeats decoding and handling if the configuration changes meanwhile, until
  /// no attempt is left.
  void HandleWithRetries(const Decode& decode, const RequestHandler::AnswerCallback& done,
                         const Arrival& arrival, int attempts_left);
  /// Activates a newer configuration. If \a item cannot be read or holds an older version, logs an
  /// event and keeps the active configuration.
  void OnConfiguration(const StoreItem& item);
  /// Applies a written or removed registration of a target.
  void OnTarget(const StoreItem& item);
  /// Updates the set of data centres under evacuation.
  void OnEvacuation(const StoreItem& item);
  /// Records that an evacuation has begun or ended, with the state of the data centre's cell if
  /// this host owns it.
  void LogEvacuation(const StoreItem& item, const DataCentreId& data_centre);
  /// Records when the copy of the evacuations becomes too old for starts, and when it no longer is.
  void LogEvacuationsAge();
  /// Returns the age of the copy of the evacuations; 0 if there are no evacuations.
  Duration EvacuationsAge() const;
  /// Returns the age of the copy of the evacuations from which on no start may be sent.
  Duration MaxEvacuationsAge() const;
  /// Returns true unless an evacuation may have been requested so long ago, without this host
  /// having read it, that a start sent now would come too late. \param taken_at when the cell was
  /// taken
  bool EvacuationsCurrent(TimePoint taken_at) const;
  /// Sends the orders of all owned cells to their targets.
  void SendOrders();
  /// Records the traffic-counts event at its interval.
  void LogTrafficCounts();
  /// Creates a CellOwnership for each cell once the layout is in the store; until then, proposes a
  /// layout.
  void CreateOwnerships();
  /// Writes a layout if the store has none and the set of targets has stayed unchanged long enough.
  void ProposeLayout();
  /// Checks whether this host can reach the data centres, by probing one of their targets.
  /// \param on_probed called once: with true if the target answered, with false if it did not or if
  /// there is no target to probe
  void Probe(const std::vector<DataCentreId>& data_centres,
             const std::function<void(bool)>& on_probed);
  /// Submissions that this host has sent to a cell since the cell's last load record.
  struct SentToCell {
    std::uint64_t load_revision = 0;  ///< revision of that record
    std::vector<CellDemand> demands;
  };
  /// Returns true unless targets may have changed their registrations some time ago without this
  /// host having read it, because the store or the watch over targets does not answer or did not
  /// until recently.
  bool RegistrationsCurrent() const;
  /// Returns the load of a cell from its last record, without what was sent to it since.
  CellRoom RoomOf(const CellId& cell) const;
  /// Adds to \a room what this host has sent to the cell since the cell's last load record.
  void AddSent(const CellId& cell, CellRoom* room) const;
  /// \returns the registered targets of the cell that are ready and not under evacuation.
  CellShape ShapeOf(const CellId& cell) const;
  /// Returns the number of waiting submissions of a queue over all cells.
  PendingCount CountPendingOf(const QueueId& queue) const;
  void OnAccepted(const CellId& cell, const AcceptedSubmission& accepted);
  /// Returns the cells that a new submission may go to, with what the choice depends on.
  std::vector<CellCandidate> Candidates(const SubmitRequest& request) const;
  /// Returns the ownership of the cell that holds a data centre's targets, or nullptr.
  CellOwnership* FindOwnership(const DataCentreId& data_centre);

  HostSettings host;
  NodeSettings settings;
  PlatformDocuments documents;
  NodePorts ports;
  StorePort monitored_store;  ///< `ports.store` with every call reported to `monitor`
  StoreMonitor monitor;
  RevisionClock revision_clock;
  std::unique_ptr<Membership> membership;
  std::unique_ptr<PrefixMirror> hosts;            ///< members, cell owners, loads and the layout
  std::unique_ptr<PrefixMirror> targets;          ///< registrations of targets
  std::unique_ptr<PrefixMirror> configurations;   ///< the operators' configuration
  std::unique_ptr<PrefixMirror> evacuations;      ///< null if there are no evacuations
  std::set<DataCentreId> evacuated_data_centres;  ///< under evacuation, as far as is known here
  bool evacuations_outdated = false;              ///< the copy is too old for starts
  std::unique_ptr<ClusterView> cluster_view;
  std::unique_ptr<RequestHandler> request_handler;
  std::map<CellId, CellOwnership> ownership_by_cell;  ///< empty until the layout is known
  std::map<DataCentreId, CellId> cell_by_data_centre;
  /// Start of the time for which the set of targets has stayed unchanged. Restarts when a target is
  /// added or removed, when its registration is unreadable, and at the reply to a proposed layout.
  TimePoint targets_stable_since{};
  bool proposal_in_flight = false;                ///< a proposed layout has no reply yet
  std::map<TargetId, TargetEntry> known_targets;  ///< readable registrations
  std::map<CellId, SentToCell> sent_to_cells;
  std::deque<UnownedCell> unowned_cells;  ///< one for each cell if there are several
  ActiveConfiguration active_configuration;
  std::deque<WaitingRequest> without_configuration;  ///< oldest first
  std::uint64_t newest_revision = 0;  ///< latest store revision that a reply has shown
  TimePoint now{};                    ///< time of the last tick
  WallTime wall{0};                   ///< wall-clock time of the last tick
  /// Last tick at which this host's member record was not missing without a reason: the mirrored
  /// keys included it, the host had no lease, or the host began to write the record again.
  TimePoint last_listed_at{};
  TimePoint next_traffic_log{};
  bool stopping = false;         ///< BeginStop() was called
  bool requests_ending = false;  ///< EndRequests() was called
  std::vector<EventRecord> events;
};

}  // namespace pistachio
