#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pistachio/connection/lease/membership.h"
#include "pistachio/process/daemon/control_types.h"
#include "pistachio/process/daemon/decision_history.h"
#include "pistachio/process/daemon/ledgered_unit.h"
#include "pistachio/process/daemon/operator_gather.h"
#include "pistachio/process/daemon/route_table.h"
#include "pistachio/process/daemon/settings_desk.h"
#include "pistachio/process/daemon/standing_table.h"
#include "pistachio/version/operator_api.h"

namespace pistachio {

/// \brief What an entry host counts about tasks, for metrics.
struct ControlCounters {
  std::uint64_t commands = 0;
  std::uint64_t assignments = 0;
};

/// \brief All control state of an entry host, on one thread: membership, units, routes.
///
/// Joins the pure machines of the other modules: each event goes to the machine it is for, and the
/// actions that come back go to the ports or, if they are for a unit owned here, back in.
class ControlState {
 public:
  ControlState(ControlConfig config, ControlPorts ports, TimePoint now);

  /// \brief Takes in one event and carries out everything that follows from it.
  void Handle(const ControlEvent& event, TimePoint now);

  TimePoint act_until() const { return this->membership.act_until(); }
  const ControlCounters& counters() const { return this->counts; }
  std::size_t owned_units() const { return this->racks.size() + this->queues.size(); }
  bool store_reachable() const { return this->store_answers; }

 private:
  // Events (control_state.cc).
  void On(const StoreCallAnswered& event);
  void On(const PeerMessageArrived& event);
  void On(const PeerLinkChanged& event);
  void On(const PlatformHostsFetched& event);
  void On(const CommandFinished& event);
  void On(const OperatorCalled& event);
  void On(const ControlTick& event);
  void On(const StopRequested& event);
  void RunLocal();
  void NoteStore(StoreStatus status);
  void RefreshTargets();
  void TickUnits();
  void RejoinIfExpelled();

  // Membership's actions (control_state.cc).
  void FeedMembership(const MembershipEvent& event);
  void Do(const MemberCallStore& action);
  void Do(const SendMemberMessage& action);
  void Do(const UnitAcquired& action);
  void Do(const UnitDraining& action);
  void Do(const UnitLost& action);
  void Do(const LeaveFinished& action);
  void Do(const MemberExpelled& action);
  void Do(const MemberReport& action);

  // Units (control_units.cc).
  void OpenRack(const RackId& rack, const UnitAcquired& action);
  void OpenQueue(const UnitAcquired& action);
  template <class Machine>
  void Open(LedgeredUnit<Machine>& unit);
  template <class Machine, class Event>
  void Feed(LedgeredUnit<Machine>& unit, const Event& event);
  template <class Machine>
  void FeedLedger(LedgeredUnit<Machine>& unit, const LedgerEvent& event);
  template <class Machine>
  void DoLedger(LedgeredUnit<Machine>& unit, const CallStore& action);
  template <class Machine>
  void DoLedger(LedgeredUnit<Machine>& unit, const LedgerRecovered& action);
  template <class Machine>
  void DoLedger(LedgeredUnit<Machine>& unit, const LedgerCommitted& action);
  template <class Machine>
  void DoLedger(LedgeredUnit<Machine>& unit, const LedgerFenced& action);
  template <class Machine>
  void DoLedger(LedgeredUnit<Machine>& unit, const SnapshotWanted& action);
  template <class Machine>
  void DoLedger(LedgeredUnit<Machine>& unit, const LedgerReport& action);
  template <class Machine>
  void TickUnit(LedgeredUnit<Machine>& unit);
  void DoUnit(RackUnit& unit, const AppendRecord& action);
  void DoUnit(RackUnit& unit, const SendCommand& action);
  void DoUnit(RackUnit& unit, const ConfirmAssignment& action);
  void DoUnit(RackUnit& unit, const TellEnd& action);
  void DoUnit(RackUnit& unit, const ReportEvent& action);
  void DoUnit(QueueUnit& unit, const AppendRecord& action);
  void DoUnit(QueueUnit& unit, const SendAssignment& action);
  void DoUnit(QueueUnit& unit, const SendWithdrawal& action);
  void DoUnit(QueueUnit& unit, const AcknowledgeEnd& action);
  void DoUnit(QueueUnit& unit, const AnswerSubmission& action);
  void DoUnit(QueueUnit& unit, const ReportEvent& action);
  void TellActUntil();
  void ListTargets(RackUnit& unit);

  // Messages between hosts (control_messages.cc).
  void SendToUnit(const UnitId& unit, const ControlMessage& message);
  void Broadcast(const ControlMessage& message);
  void Take(const HostId& from, const Heartbeat& message);
  void Take(const HostId& from, const VouchRequest& message);
  void Take(const HostId& from, const VouchPromise& message);
  void Take(const HostId& from, const UnitMoved& message);
  void Take(const HostId& from, const PeerAssignment& message);
  void Take(const HostId& from, const PeerWithdrawal& message);
  void Take(const HostId& from, const PeerEndAcknowledged& message);
  void Take(const HostId& from, const PeerConfirmation& message);
  void Take(const HostId& from, const PeerEnd& message);
  void Take(const HostId& from, const PeerRoom& message);
  void Take(const HostId& from, const PeerRoutes& message);
  void Take(const HostId& from, const PeerCentreServices& message);
  void Take(const HostId& from, const PeerStandings& message);
  void Take(const HostId& from, const SettingsDigest& message);
  void Take(const HostId& from, const SettingsRequest& message);
  void Take(const HostId& from, const SettingsUpdate& message);
  void Take(const HostId& from, const PeerOperatorCall& message);
  void Take(const HostId& from, const PeerOperatorAnswer& message);
  void PublishRack(RackUnit& unit);
  void PublishRoom(RackUnit& unit, RackPublication& publication);
  void TellRemoteServices();
  void TellStandings();
  void PublishRoutes();

  // Settings (control_settings.cc).
  SettingsPorts MakeSettingsPorts();
  void ServeSettings(const OperatorCalled& event, const std::string& rest);
  void TellSpreadMembers();
  void ApplySettings();
  void ApplySettings(QueueUnit& unit);
  bool MayChange(const OperatorCalled& event, const std::string& subtree) const;
  bool IsKnownOperator(const OperatorCalled& event) const;

  // Claims of jobs (control_jobs.cc).
  void ClaimJob(const OperatorCalled& event, const JobSpec& spec);
  void TakeClaim(std::uint64_t call, const StoreReply& reply);

  // Operators (control_operators.cc).
  bool RefuseOperator(const OperatorCalled& event);
  void ServeOperator(const OperatorCalled& event);
  void ServeOwnCall(const OperatorCaller& caller, const OperatorCalled& event);
  void SubmitJob(const OperatorCaller& caller, const std::string& body);
  void CancelJob(const OperatorCaller& caller, const JobId& job);
  void ChangeStanding(std::uint64_t call, const TargetId& target, const std::string& verb);
  void FinishStanding(std::uint64_t call, const StoreReply& reply);
  void AskEveryHost(const OperatorCalled& event);
  void AskOwner(const UnitId& unit, const OperatorCalled& event);
  void TakeAnswer(std::uint64_t call, int status, const std::string& body);
  void FinishGather(std::uint64_t gather);
  void ExpireGathers();
  void AnswerCaller(const OperatorCaller& caller, int status, const std::string& body);
  void AnswerCommitted(const UnitId& unit, std::uint64_t through);
  JobList OwnJobs() const;
  TargetList OwnTargets() const;
  ServiceList OwnServices() const;
  HostRow OwnHost() const;
  WhyAnswer OwnDecisions(const std::string& id) const;
  Summary OwnSummary() const;

  void Report(const EventRecord& event);

  ControlConfig config;
  ControlPorts ports;
  TimePoint now;
  Membership membership;
  std::map<UnitId, RackUnit> racks;
  std::map<UnitId, QueueUnit> queues;
  std::map<UnitId, RackPublication> publications;
  RouteTable routes;
  StandingTable standings;
  SettingsDesk settings;
  bool settings_changed = false;
  DecisionHistory history;
  std::vector<TargetListing> listed;                    ///< as the platform has it
  std::deque<std::pair<HostId, ControlMessage>> local;  ///< to units that this host owns
  std::vector<ServiceRoute> published_routes;
  std::map<DataCentreId, std::vector<ServiceId>> published_remote;
  std::map<TargetId, std::string> published_addresses;
  std::map<std::uint64_t, OperatorGather> gathers;
  std::map<std::uint64_t, std::uint64_t> gather_of_call;  ///< calls to hosts, by their number
  std::map<std::uint64_t, OperatorCalled> claiming;       ///< submissions whose claim is under way
  std::map<JobId, std::vector<OperatorCaller>> submitters;
  std::vector<CommitWaiter> commit_waiters;
  std::map<HostId, TimePoint> last_heard;
  std::uint64_t next_call = 1;
  ControlCounters counts;
  std::set<HostId> open_links;  ///< peers that this host has a connection to
  std::vector<ServiceId> told_services;
  TimePoint services_told{};
  TimePoint told_act_until{};
  TimePoint next_publication{};
  TimePoint next_standings_read{};
  bool store_answers = true;
  bool stopping = false;
  bool expelled = false;
};

}  // namespace pistachio
