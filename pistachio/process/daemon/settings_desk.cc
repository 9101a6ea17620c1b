#include "pistachio/process/daemon/settings_desk.h"

#include <algorithm>

#include "pistachio/process/daemon/operator_gather.h"
#include "pistachio/version/subtree_record.h"

namespace pistachio {

namespace internal {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

int StatusOf(const ChangeFinished& finished) {
  if (finished.store_unreachable) {
    return kUnavailable;
  }
  switch (finished.answer.result) {
    case ChangeResult::kAccepted:
      return kOk;
    case ChangeResult::kRejected:
      return kConflict;
    case ChangeResult::kUnknown:
      return kAccepted;
  }
  return kAccepted;
}

bool Answers(const StoreReply& reply) { return reply.status == StoreStatus::kOk; }

}  // namespace internal

SettingsDesk::SettingsDesk(const HostId& self, const DataCentreId& data_centre, SettingsPorts ports,
                           TimePoint now)
    : ports(std::move(ports)), spread(self, data_centre, SpreadTiming{}, now) {}

void SettingsDesk::Tick(TimePoint now) {
  this->Feed(SpreadTick{}, now);
  std::vector<std::uint64_t> under_way;
  for (const auto& [operator_call, change] : this->changes) {
    under_way.push_back(operator_call);
  }
  for (const std::uint64_t operator_call : under_way) {
    this->FeedChange(operator_call, ChangeTick{}, now);
  }
}

void SettingsDesk::SetMembers(const SpreadMembersChanged& members, TimePoint now) {
  this->Feed(members, now);
}

void SettingsDesk::TakeMessage(const HostId& from, const SettingsMessage& message, TimePoint now) {
  this->Feed(SpreadMessageReceived{from, message}, now);
}

void SettingsDesk::TakeReply(std::uint64_t call, const StoreReply& reply, TimePoint now) {
  const auto found = this->owners.find(call);
  if (found == this->owners.end()) {
    return;
  }
  const CallOwner owner = std::move(found->second);
  this->owners.erase(found);
  if (const auto* spread_owner = std::get_if<SpreadOwner>(&owner)) {
    this->Feed(SpreadStoreAnswered{spread_owner->id, reply}, now);
  } else if (const auto* change = std::get_if<ChangeOwner>(&owner)) {
    this->FeedChange(change->operator_call, ChangeStoreAnswered{change->id, reply}, now);
  } else if (const auto* read = std::get_if<ReadOwner>(&owner)) {
    this->TakeRead(*read, reply);
  } else {
    this->TakeHistory(std::get<HistoryOwner>(owner), reply);
  }
}

void SettingsDesk::Call(CallOwner owner, StoreRole role, const StoreCall& call) {
  const std::uint64_t number = this->next_call++;
  this->owners.emplace(number, std::move(owner));
  this->ports.call_store(number, role, call);
}

void SettingsDesk::Feed(const SpreadEvent& event, TimePoint now) {
  for (const SpreadAction& action : this->spread.Handle(event, now)) {
    std::visit([this](const auto& typed) { this->Do(typed); }, action);
  }
}

void SettingsDesk::Do(const SpreadCallStore& action) {
  this->Call(SpreadOwner{action.call_id}, action.role, action.call);
}

void SettingsDesk::Do(const SendSettingsMessage& action) {
  this->ports.send(action.to, action.message);
}

void SettingsDesk::Do(const SettingsInForce& action) {
  this->documents.Put(action.version);
  this->ports.in_force();
}

void SettingsDesk::Do(const SpreadReport& action) { this->ports.report(action.event); }

void SettingsDesk::FeedChange(std::uint64_t operator_call, const ChangeEvent& event,
                              TimePoint now) {
  const auto change = this->changes.find(operator_call);
  if (change == this->changes.end()) {
    return;
  }
  for (const ChangeAction& action : change->second.Handle(event, now)) {
    std::visit([this, operator_call](const auto& typed) { this->DoChange(operator_call, typed); },
               action);
  }
  if (change->second.finished()) {
    this->changes.erase(change);
  }
}

void SettingsDesk::DoChange(std::uint64_t operator_call, const ChangeCallStore& action) {
  this->Call(ChangeOwner{operator_call, action.call_id}, action.role, action.call);
}

void SettingsDesk::DoChange(std::uint64_t operator_call, const ChangeFinished& action) {
  this->ports.answer(operator_call, internal::StatusOf(action), EncodeBody(action.answer));
}

void SettingsDesk::DoChange(std::uint64_t /*operator_call*/, const ChangeReport& action) {
  this->ports.report(action.event);
}

void SettingsDesk::Refuse(std::uint64_t operator_call, int status, const std::string& reason,
                          const std::string& next_step) {
  this->ports.answer(operator_call, status, ErrorBody(reason, next_step));
}

void SettingsDesk::Serve(const SettingsCall& call, TimePoint now) {
  if (call.method == "PUT") {
    const auto request = DecodeBody<ChangeRequest>(call.body);
    if (!request) {
      this->Refuse(call.call, internal::kBadRequest, "the body is not a change",
                   "see docs/operators-api.md");
      return;
    }
    this->changes.emplace(call.call, SettingsChange(call.subtree, *request, ChangeTiming{}, now));
    this->FeedChange(call.call, ChangeTick{}, now);
  } else if (call.part == "status") {
    this->ports.answer(call.call, internal::kOk, EncodeBody(this->spread.Status(now)));
  } else if (call.subtree.empty()) {
    SubtreeList list;
    for (const auto& [subtree, version] : this->documents.versions()) {
      list.subtrees.push_back(SubtreeRow{subtree, version.version, version.change_id});
    }
    this->ports.answer(call.call, internal::kOk, EncodeBody(list));
  } else if (call.part == "history") {
    this->Call(HistoryOwner{call.call, call.subtree, {}, false}, StoreRole::kOperator,
               ListCall{HistoryPrefixOf(call.subtree)});
  } else {
    const std::uint64_t wanted = call.part.empty() ? 0 : std::stoull(call.part);
    this->Call(ReadOwner{call.call, call.subtree, wanted, false}, StoreRole::kOperator,
               GetCall{CurrentKeyOf(call.subtree)});
  }
}

void SettingsDesk::TakeRead(ReadOwner owner, const StoreReply& reply) {
  if (!internal::Answers(reply)) {
    this->Refuse(owner.operator_call, internal::kUnavailable,
                 "the key-value service cannot be reached",
                 "`pistachioctl settings status` tells what is in force");
    return;
  }
  const auto version =
      reply.entries.empty() ? std::nullopt : DecodeSubtreeRecord(reply.entries.front().value);
  const bool other = version && owner.wanted != 0 && version->version != owner.wanted;
  if (other && !owner.from_history) {
    // Only versions that were replaced have a key of their own.
    owner.from_history = true;
    const StoreCall call = GetCall{HistoryKeyOf(owner.subtree, owner.wanted)};
    this->Call(std::move(owner), StoreRole::kOperator, call);
    return;
  }
  if (!version || other) {
    this->Refuse(owner.operator_call, internal::kNotFound, "no such subtree or version",
                 "`pistachioctl settings history` lists the versions");
    return;
  }
  this->ports.answer(owner.operator_call, internal::kOk, EncodeBody(*version));
}

void SettingsDesk::TakeHistory(HistoryOwner owner, const StoreReply& reply) {
  if (!internal::Answers(reply)) {
    this->Refuse(owner.operator_call, internal::kUnavailable,
                 "the key-value service cannot be reached", "ask again");
    return;
  }
  if (!owner.has_earlier) {
    owner.earlier = reply.entries;
    owner.has_earlier = true;
    const StoreCall call = GetCall{CurrentKeyOf(owner.subtree)};
    this->Call(std::move(owner), StoreRole::kOperator, call);
    return;
  }
  const StoreEntry* current = reply.entries.empty() ? nullptr : &reply.entries.front();
  this->ports.answer(owner.operator_call, internal::kOk,
                     EncodeBody(ListHistory(owner.subtree, current, owner.earlier)));
}

std::uint64_t SettingsDesk::version_sum() const {
  std::uint64_t sum = 0;
  for (const auto& [subtree, version] : this->documents.versions()) {
    sum += version.version;
  }
  return sum;
}

}  // namespace pistachio
