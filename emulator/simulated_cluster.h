#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "emulator/fake_store.h"
#include "emulator/fake_target.h"
#include "emulator/rule_checker.h"
#include "pistachio/process/node/node.h"
#include "pistachio/process/runtime/random.h"

namespace pistachio::emulator {

/// \brief Size, layout and random seed of a simulated cluster.
struct SimulatedClusterSettings {
  std::vector<std::string> data_centres = {"north", "south"};
  std::uint32_t hosts_per_data_centre = 2;
  std::uint32_t targets_per_data_centre = 4;
  std::uint32_t targets_per_rack = 2;
  Resources target_capacity{16000, 64000, 0};  ///< of each target
  std::uint64_t seed = 1;
  CellLayout layout = CellLayout::kPerDataCentre;
  std::uint32_t max_attempts = 3;                 ///< of each task
  Duration delay = std::chrono::milliseconds(1);  ///< one-way latency of every connection
  /// See RunLimits::evacuation_apply; nothing for an installation without evacuations.
  std::optional<std::chrono::milliseconds> evacuation_apply;
};

/// \brief Faults of one host's writes to the store. Its reads, watches and leases have none.
/// Probabilities are from 0 to 1.
struct HostWriteFaults {
  bool refuses = false;                  ///< every write is answered as refused and not executed
  double lost_answer_probability = 0.0;  ///< of a write that is executed and not answered
  double late_write_probability = 0.0;   ///< of a write executed 1 to 6 s later and not answered
};

/// \brief Faults of calls to the store. Probabilities are from 0 to 1.
struct StoreFaults {
  bool down = false;                     ///< no call is executed or answered
  bool refuses = false;                  ///< every call is answered as refused and not executed
  bool leases_pause = true;              ///< leases do not expire while the store is down
  double refuse_probability = 0.0;       ///< of a call answered as refused and not executed
  double lost_answer_probability = 0.0;  ///< of a write that is executed and not answered
  double late_write_probability = 0.0;   ///< of a write executed 1 to 6 s later and not answered
  Duration extra_latency{0};             ///< added to each answer
  std::set<std::string> disconnected_hosts;  ///< hosts whose calls are lost
  /// By host. A host with an entry counts as disturbed, the others do not.
  std::map<std::string, HostWriteFaults> write_faults;
  /// Hosts and prefixes whose watches are lost.
  std::set<std::pair<std::string, std::string>> lost_watches;
  /// No watch reports a change, as before the store loses its history. The host counts as
  /// undisturbed.
  bool silent_watches = false;
  /// Added to the answers of watches, by host and prefix, as on a link that carries large answers.
  /// The host counts as undisturbed.
  std::map<std::pair<std::string, std::string>, Duration> watch_delays;
};

/// \brief Faults between hosts and targets.
struct OrderFaults {
  /// Probability, from 0 to 1, that an order is executed 2 to 12 s late and not answered.
  double late_probability = 0.0;
  /// Probability, from 0 to 1, that a hold is executed and not answered. Every other one of these
  /// is executed 2 to 12 s late.
  double lost_hold_probability = 0.0;
  Duration hold_answer_delay{0};  ///< added to the answer of each hold
  /// Pairs of a host and a target that cannot reach each other.
  std::set<std::pair<std::string, std::string>> unreachable_pairs;
  /// Time from the decision to send an order until it is sent, as on a host that is suspended in
  /// between. Orders whose `Order::send_before` has passed by then are not sent.
  Duration send_delay{0};
};

/// \brief How a target returns after a crash.
struct TargetReturn {
  Duration downtime = std::chrono::milliseconds(3300);  ///< from the crash until it boots again
  /// It boots as a new process with a new target id at the same address, and refuses orders to its
  /// former id.
  bool new_id = false;
  /// From the crash until its registration is removed, unless it has booted under the same id.
  Duration registration_lifetime = std::chrono::milliseconds(3300);
  /// From the boot until its registration is written. That of its former incarnation stays until
  /// then, or for `registration_lifetime`.
  Duration registration_delay{0};
  /// Orders that are sent to a target while it is down wait, and are executed when it boots. Those
  /// to its former id are refused.
  bool executes_missed_orders = false;
};

/// \brief Discrete-event simulation of a small installation: hosts, targets, store and callers on
/// a simulated clock.
///
/// Runs the same `Node` as the daemon and calls its functions directly. A simulation is
/// deterministic: the same settings and the same calls give the same result.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(const SimulatedClusterSettings& settings);
  ~SimulatedCluster();
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  /// \brief Advances the simulated clock by \a time and executes everything due until then.
  void Run(Duration time);

  // Hosts.
  std::vector<std::string> hosts() const;
  /// \brief Ends the host's process at once, as a power loss does.
  void KillHost(const std::string& host);
  /// \brief Starts a new process on the host, without any state of an earlier one.
  void StartHost(const std::string& host);
  /// \brief Suspends the host's process; answers to its calls are deferred until it resumes, and
  /// requests of callers are lost.
  void FreezeHost(const std::string& host);
  /// \param tick_first the process notices the time before it handles the deferred answers
  void ResumeHost(const std::string& host, bool tick_first = false);
  /// \brief Begins a graceful stop; the process stays up until it is killed.
  void StopHostGracefully(const std::string& host);
  /// \brief Ends the requests of a host that stops, see `Node::EndRequests`.
  void EndRequests(const std::string& host, Duration time_left);
  /// \returns the host that owns the cell, or an empty text.
  std::string OwnerOf(const std::string& cell) const;
  /// \returns the control state of a host, or nullptr while it is down.
  const Node* node(const std::string& host) const;

  // Targets. A target keeps its name, which is its address as well. It has the same id until it
  // returns from a crash with a new one.
  std::vector<std::string> targets() const;
  /// \returns the names of the targets with the rack's label.
  std::vector<std::string> TargetsInRack(const std::string& rack) const;
  /// \returns the labels of all racks.
  std::vector<std::string> racks() const;
  /// \brief Crashes the target. It stays down until RestartTarget().
  void CrashTarget(const std::string& target);
  /// \brief Crashes the target if it is up. It returns as `target_return` says, unless it has
  /// restarted before.
  void CrashAndReturnTarget(const std::string& target);
  /// \brief Crashes the target if it is up, then boots and registers a new incarnation.
  void RestartTarget(const std::string& target);
  /// \brief Removes the registration, as happens when a target cannot reach the store.
  void DeregisterTarget(const std::string& target);
  void RegisterTarget(const std::string& target);
  /// \brief Cuts a target off from all hosts and from the store. Its runs go on while their lease
  /// lasts, and its registration is removed after `TargetReturn::registration_lifetime`.
  void CutTarget(const std::string& target);
  /// \brief Ends the cut of a target, which is registered if it is up.
  void EndCut(const std::string& target);
  /// \brief Registers the target as draining.
  ///
  /// The target crashes and is deregistered after \a time_left, but not earlier than after 2 s, in
  /// which hosts see the new registration. If the target restarts in between, neither happens.
  void DrainTarget(const std::string& target, std::chrono::milliseconds time_left);
  /// \brief Changes a target's room. The registration follows at the target's next heartbeat at
  /// which the store is up.
  void SetTargetRoom(const std::string& target, const Resources& room);
  /// \brief Registers the target as cold, and as warm once \a remaining is over.
  void SetTargetCold(const std::string& target, std::chrono::milliseconds remaining);
  FakeTarget& target(const std::string& target);

  // Operators.
  /// \brief Requests the evacuation of a data centre.
  void EvacuateDataCentre(const std::string& data_centre);
  /// \brief Removes the request for the evacuation of a data centre.
  void EndEvacuation(const std::string& data_centre);

  // Callers. Requests to a host that is down or frozen are lost.
  using OnAnswer = std::function<void(const CallerAnswer&)>;
  /// \brief Submits at a host. The same id may be submitted again, as a caller does that retries
  /// after an uncertain outcome.
  void Submit(const std::string& host, const SubmissionId& id, const SubmissionSpec& spec,
              const OnAnswer& on_answer = nullptr);
  void Cancel(const std::string& host, const SubmissionId& id);
  void QueryState(const std::string& host, const SubmissionId& id);
  /// \brief Requests the number of waiting submissions of the queue at a host.
  void QueryPending(const std::string& host, const OnAnswer& on_answer);
  /// \brief Requests that number at every host without recent faults, and has the checker compare
  /// it with the submissions that wait. Run() does so every half a second.
  void QueryPendingAtHosts();
  /// \returns the number of answers to QueryPendingAtHosts() by outcome.
  const std::map<Outcome, std::size_t>& pending_answers() const {
    return this->pending_answer_counts;
  }
  /// \brief Queries the state of every submission at every host.
  void QueryAllStates();
  /// \brief Sets how long a submission's tasks run and whether they fail.
  ///
  /// Without a workload, or with one of length 0, tasks run for the estimate in the submission. The
  /// other fields of \a workload are ignored; their values come from the submission.
  void SetWorkload(const SubmissionId& id, const FakeTarget::Workload& workload);

  /// \brief Makes a task deadly: each run crashes its target \a crash_delay after its start, and
  /// the target returns as after CrashAndReturnTarget().
  ///
  /// With a delay of 0, the start order is not answered. Call it before the first start.
  void SetDeadly(const TaskKey& task, Duration crash_delay = std::chrono::milliseconds(10));

  /// \brief Writes a configuration with one queue. The first version is 3, each later one is higher
  /// by 3.
  void PutConfiguration(const std::string& queue, const std::string& prefix);

  /// \returns the number of answers to callers by outcome.
  const std::map<Outcome, std::size_t>& answers() const { return this->answer_counts; }
  const RuleChecker& checker() const { return this->rule_checker; }
  RuleChecker& checker() { return this->rule_checker; }
  TimePoint now() const { return this->clock_now; }

  /// \returns the hosts' log lines that contain \a text, oldest first. A line begins with the
  ///   microseconds since the simulation began and the host's name.
  std::vector<std::string> LogLinesContaining(const std::string& text) const;

  FakeStore store;
  StoreFaults store_faults;
  OrderFaults order_faults;
  TargetReturn target_return;

 private:
  struct Host {
    std::string name;
    std::string data_centre;
    std::unique_ptr<Node> node;
    std::uint64_t process_generation = 0;  ///< rises when the process starts or is killed
    bool frozen = false;
    bool stopping = false;     ///< since StopHostGracefully()
    TimePoint disturbed_at{};  ///< last fault of the host or of one of its connections
    std::vector<std::function<void()>> deferred_actions;  ///< events that came while it was frozen
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;  ///< order of scheduling among events of the same time
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::make_pair(this->at, this->order) > std::make_pair(other.at, other.order);
    }
  };
  /// A watch that waits for events.
  struct WaitingWatch {
    WatchPrefix watch;
    TimePoint ends_at;  ///< answered without events at this time
    std::function<void(const StoreReply&)> answer;
    std::uint64_t searched_revision = 0;  ///< has no events up to this revision
  };
  /// A hold order that waits for the end of a run.
  struct WaitingHold {
    std::string target;
    std::uint64_t incarnation;  ///< dropped without an answer if the target has another one
    HoldOrder order;
    FencingToken token;
    TimePoint ends_at;  ///< answered without an end at this time
    std::function<void(const HoldReply&)> answer;
  };

  /// Schedules \a action for a time; a time in the past counts as now.
  void Schedule(TimePoint at, std::function<void()> action);
  /// \returns the next random number, uniform in [0, 1).
  double RandomFraction();
  NodePorts MakePorts(const std::string& host);
  /// Sends a call from a host to the store under the current faults. \a callback receives one
  /// answer unless the host's process ends before. At the timeout a write gets `kUnknown` and any
  /// other call `kRefused`.
  void CallStore(const std::string& host, const StoreCall& call, Duration timeout,
                 const StoreCallback& callback);
  /// Executes a call on the store at once and reports changed keys of submissions to the checker.
  StoreReply ApplyToStore(const StoreCall& call);
  /// Executes a call that has arrived at the store; a watch without events waits.
  void DeliverToStore(const StoreCall& call, const std::function<void(const StoreReply&)>& answer);
  /// Sends a start, stop or pace order from a host to a target under the current faults.
  /// \a callback receives `kNoAnswer` at the timeout.
  void SendOrder(const std::string& host, const Order& order, FencingToken token,
                 const std::function<void(const OrderReply&)>& callback);
  /// Sends a hold order. `OrderFaults::late_probability` does not apply to it,
  /// `OrderFaults::lost_hold_probability` does.
  void SendHold(const std::string& host, const Order& order, FencingToken token,
                const std::function<void(const HoldReply&)>& callback);
  /// Executes a start, stop or pace order on its target. \pre a target has the order's address
  OrderReply ExecuteOrder(const std::string& host, const Order& order, FencingToken token,
                          bool late, TimePoint sent_at);
  /// Sets the time of the last fault to now for the store and for each host that has a fault. Rules
  /// with a time bound apply only to hosts without recent faults.
  void RecordDisturbances();
  /// \returns the end of the last fault of the store, a host, a target, an order or a connection;
  ///   now while there is one.
  TimePoint LastDisturbance() const;
  /// \returns true if the host, its connections and the store had no faults in the last 3 s.
  bool IsUndisturbed(const std::string& host) const;
  /// Delivers an order to the target with an address, or drops it if the host can't reach the
  /// target. \param deliver gets true if the order has waited for the target to boot
  void DeliverToTarget(const std::string& host, const std::string& address,
                       const std::function<void(bool)>& deliver);
  /// \returns true if a target that is up has the address and the host can connect to it.
  bool CanReach(const std::string& host, const std::string& address) const;
  /// Runs \a action on a host, or drops it if the process has ended since \a process_generation.
  /// While the host is frozen the action is deferred.
  void RunOnHost(const std::string& host, std::uint64_t process_generation,
                 std::function<void()> action);
  /// Answers waiting watches and holds that have events or have timed out.
  void AnswerWaitingCalls();
  PlatformDocuments MakeDocuments();
  /// \returns the name of the target with an address, or an empty text.
  std::string TargetNameAt(const std::string& address) const;
  /// Writes the target's registration to the store.
  void WriteRegistration(const std::string& target);
  /// Removes the registration of a target id.
  void RemoveRegistration(const TargetId& id);
  /// Crashes a target, to return later, if one of its runs is due to crash it.
  void CrashIfDue(const std::string& target);
  /// Writes the target's registration at \a at or at the first later heartbeat at which the store
  /// is up, unless the target has another incarnation or no registration by then.
  void WriteRegistrationAtHeartbeat(const std::string& target, std::uint64_t incarnation,
                                    TimePoint at);
  /// Boots a new incarnation of a target and registers it.
  void BootTarget(const std::string& target);
  WallTime WallNow() const;

  SimulatedClusterSettings settings;
  RandomSource random;
  TimePoint clock_now{std::chrono::hours(1)};  ///< time of the simulation, which begins at 1 h
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t next_event = 0;
  std::map<std::string, std::unique_ptr<Host>> all_hosts;
  std::map<std::string, std::unique_ptr<FakeTarget>> all_targets;
  FakeTarget::SavedProgress saved_progress;
  std::map<std::string, TargetEntry> registered_entries;  ///< by the registration's value
  std::map<std::uint64_t, Configuration> configurations;  ///< by version
  std::map<SubmissionId, SubmissionSpec> specs;
  std::map<SubmissionId, FakeTarget::Workload> workload_by_submission;
  std::map<TaskKey, Duration> crash_delays;             ///< of deadly tasks
  std::map<std::string, std::uint32_t> process_counts;  ///< ids that a target has had, by its name
  std::list<WaitingWatch> watches;
  std::list<WaitingHold> holds;
  std::map<Outcome, std::size_t> answer_counts;
  std::map<Outcome, std::size_t> pending_answer_counts;
  TimePoint next_pending_query{};
  RuleChecker rule_checker;
  TimePoint store_disturbed_at{};
  TimePoint targets_disturbed_at{};              ///< last fault of a target or of its registration
  TimePoint orders_disturbed_at{};               ///< last fault of the orders
  TimePoint last_late_order{};                   ///< when the last late order is executed
  std::set<std::string> deregistered_targets;    ///< names of targets without a registration
  std::map<std::string, TimePoint> cut_targets;  ///< when each target was cut off, by name
  /// Orders that wait for a target to boot, by its name, oldest first.
  std::map<std::string, std::vector<std::function<void()>>> missed_orders;
  std::vector<std::string> log;
  std::uint64_t latest_version = 0;
  std::uint64_t last_registration = 0;
};

/// \returns a submission of \a steps sequential steps with \a width tasks of length \a length each.
SubmissionSpec MakeSubmission(std::uint32_t steps, std::uint32_t width, Duration length);

}  // namespace pistachio::emulator
