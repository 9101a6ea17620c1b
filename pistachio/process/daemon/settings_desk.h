#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/connection/store/calls.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/version/hierarchy.h"
#include "pistachio/version/operator_api.h"
#include "pistachio/version/settings_change.h"
#include "pistachio/version/settings_spread.h"

namespace pistachio {

/// \brief An operator's call about settings, its token checked.
struct SettingsCall {
  std::uint64_t call = 0;
  std::string method;
  std::string subtree;  ///< empty for all of them
  std::string part;     ///< `status`, `history`, a version's number, or empty
  std::string body;
};

/// \brief What a settings desk has others do.
struct SettingsPorts {
  std::function<void(std::uint64_t call, StoreRole, const StoreCall&)> call_store;
  std::function<void(const HostId&, const SettingsMessage&)> send;
  std::function<void(std::uint64_t call, int status, const std::string& body)> answer;
  std::function<void(const EventRecord&)> report;
  std::function<void()> in_force;  ///< the hierarchy has changed
};

/// \brief Keeps the settings in force on this host and carries operators' changes of them.
///
/// Joins the spread, the changes under way and the reads of the history to the key-value service,
/// each call finding its way back by its number.
class SettingsDesk {
 public:
  SettingsDesk(const HostId& self, const DataCentreId& data_centre, SettingsPorts ports,
               TimePoint now);

  void Tick(TimePoint now);
  void SetMembers(const SpreadMembersChanged& members, TimePoint now);
  void TakeReply(std::uint64_t call, const StoreReply& reply, TimePoint now);
  void TakeMessage(const HostId& from, const SettingsMessage& message, TimePoint now);
  void Serve(const SettingsCall& call, TimePoint now);

  const Hierarchy& hierarchy() const { return this->documents; }
  std::uint64_t version_sum() const;

 private:
  struct SpreadOwner {
    std::uint64_t id = 0;
  };
  struct ChangeOwner {
    std::uint64_t operator_call = 0;
    std::uint64_t id = 0;
  };
  struct ReadOwner {
    std::uint64_t operator_call = 0;
    std::string subtree;
    std::uint64_t wanted = 0;  ///< version; 0 for the newest
    bool from_history = false;
  };
  struct HistoryOwner {
    std::uint64_t operator_call = 0;
    std::string subtree;
    std::vector<StoreEntry> earlier;
    bool has_earlier = false;
  };
  using CallOwner = std::variant<SpreadOwner, ChangeOwner, ReadOwner, HistoryOwner>;

  void Feed(const SpreadEvent& event, TimePoint now);
  void Do(const SpreadCallStore& action);
  void Do(const SendSettingsMessage& action);
  void Do(const SettingsInForce& action);
  void Do(const SpreadReport& action);
  void FeedChange(std::uint64_t operator_call, const ChangeEvent& event, TimePoint now);
  void DoChange(std::uint64_t operator_call, const ChangeCallStore& action);
  void DoChange(std::uint64_t operator_call, const ChangeFinished& action);
  void DoChange(std::uint64_t operator_call, const ChangeReport& action);
  void TakeRead(ReadOwner owner, const StoreReply& reply);
  void TakeHistory(HistoryOwner owner, const StoreReply& reply);
  void Call(CallOwner owner, StoreRole role, const StoreCall& call);
  void Refuse(std::uint64_t operator_call, int status, const std::string& reason,
              const std::string& next_step);

  SettingsPorts ports;
  SettingsSpread spread;
  Hierarchy documents;
  std::map<std::uint64_t, SettingsChange> changes;  ///< by the operator's call
  std::map<std::uint64_t, CallOwner> owners;
  std::uint64_t next_call = 1;
};

}  // namespace pistachio
