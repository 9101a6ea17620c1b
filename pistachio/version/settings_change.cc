#include "pistachio/version/settings_change.h"

#include <utility>

#include "pistachio/version/subtree_record.h"

namespace pistachio {

namespace internal {

constexpr std::size_t kMaxChangeIdLength = 128;

bool IsChangeId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxChangeIdLength &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") ==
             std::string::npos;
}

EventCode EventOf(ChangeResult result) {
  switch (result) {
    case ChangeResult::kAccepted:
      return EventCode::kSettingsAccepted;
    case ChangeResult::kRejected:
      return EventCode::kSettingsRejected;
    case ChangeResult::kUnknown:
      break;
  }
  return EventCode::kSettingsUnknown;
}

}  // namespace internal

SettingsChange::SettingsChange(std::string subtree, ChangeRequest request,
                               const ChangeTiming& timing, TimePoint now)
    : subtree(std::move(subtree)),
      request(std::move(request)),
      timing(timing),
      deadline(now + timing.give_up_after),
      now(now),
      send_at(now) {}

std::vector<ChangeAction> SettingsChange::Handle(const ChangeEvent& event, TimePoint now) {
  this->now = now;
  this->actions.clear();
  const auto* answered = std::get_if<ChangeStoreAnswered>(&event);
  const bool awaited = answered != nullptr && this->waiting && answered->call_id == this->last_call;
  if (awaited) {
    this->waiting = false;
    this->HandleReply(answered->reply);
  }
  if (this->step != Step::kDone && now >= this->deadline) {
    this->GiveUp();
  }
  if (this->step != Step::kDone && !this->waiting && now >= this->send_at) {
    this->SendForStep();
  }
  return std::exchange(this->actions, {});
}

void SettingsChange::Send(const StoreCall& call) {
  this->last_call++;
  this->waiting = true;
  this->actions.emplace_back(ChangeCallStore{this->last_call, StoreRole::kOperator, call});
}

void SettingsChange::SendForStep() {
  const std::string key = CurrentKeyOf(this->subtree);
  switch (this->step) {
    case Step::kReadRoot:
      if (!internal::IsChangeId(this->request.change_id)) {
        this->Reject("the change id is not 1 to 128 letters, digits, - and _");
      } else if (this->subtree == kRootSubtree) {
        // A root's limits bind every team.
        this->Send(ListCall{kCurrentSettingsPrefix});
      } else {
        this->Send(GetCall{CurrentKeyOf(kRootSubtree)});
      }
      return;
    case Step::kReadSubtree:
      this->Send(GetCall{key});
      return;
    case Step::kReadWinner:
      this->Send(GetCall{HistoryKeyOf(this->subtree, this->request.base_version + 1)});
      return;
    case Step::kFilePrevious:
      this->Send(CompareAndSwapCall{HistoryKeyOf(this->subtree, this->current.version), 0,
                                    EncodeSubtreeRecord(this->current)});
      return;
    case Step::kSwap:
      this->Send(CompareAndSwapCall{
          key, this->current_entry.version,
          EncodeSubtreeRecord(SubtreeVersion{this->subtree, this->request.base_version + 1,
                                             this->request.change_id, this->request.document})});
      return;
    case Step::kDone:
      return;
  }
}

void SettingsChange::HandleReply(const StoreReply& reply) {
  const bool failed =
      reply.status == StoreStatus::kUnavailable || reply.status == StoreStatus::kUnknown;
  if (failed) {
    this->swap_uncertain = this->swap_uncertain ||
                           (this->step == Step::kSwap && reply.status == StoreStatus::kUnknown);
    this->RetryLater();
    return;
  }
  this->send_at = this->now;
  switch (this->step) {
    case Step::kReadRoot:
      return this->TakeRoot(reply);
    case Step::kReadSubtree:
      return this->TakeSubtree(reply);
    case Step::kReadWinner:
      return this->TakeWinner(reply);
    case Step::kFilePrevious:
      return this->TakeFiled(reply);
    case Step::kSwap:
      return this->TakeSwap(reply);
    case Step::kDone:
      return;
  }
}

void SettingsChange::RetryLater() { this->send_at = this->now + this->timing.retry_every; }

void SettingsChange::TakeRoot(const StoreReply& reply) {
  for (const StoreEntry& entry : reply.entries) {
    if (const auto version = DecodeSubtreeRecord(entry.value)) {
      this->hierarchy.Put(*version);
    }
  }
  this->step = Step::kReadSubtree;
}

void SettingsChange::TakeSubtree(const StoreReply& reply) {
  this->CompareWithCurrent(reply.entries.empty() ? StoreEntry{CurrentKeyOf(this->subtree), "", 0}
                                                 : reply.entries.front());
}

void SettingsChange::CompareWithCurrent(const StoreEntry& entry) {
  this->current_entry = entry;
  this->current = SubtreeVersion{this->subtree, 0, "", ""};
  if (entry.exists()) {
    const auto decoded = DecodeSubtreeRecord(entry.value);
    if (!decoded) {
      this->Reject("the newest version's record is unreadable; it has to be mended first");
      return;
    }
    this->current = *decoded;
  }
  const std::uint64_t next = this->request.base_version + 1;
  if (this->current.version < this->request.base_version) {
    this->Reject("the base version " + std::to_string(this->request.base_version) +
                 " does not exist yet; read the newest one and apply to that");
  } else if (this->current.version == this->request.base_version) {
    this->CheckAgainstHierarchy();
  } else if (this->current.version == next) {
    this->SettleByWinner(this->current);
  } else {
    this->step = Step::kReadWinner;
  }
}

void SettingsChange::CheckAgainstHierarchy() {
  this->hierarchy.Put(this->current);
  std::vector<SettingsError> errors =
      this->hierarchy.Check(this->subtree, this->request.document, this->subtree);
  if (errors.empty()) {
    this->step = this->current.version == 0 ? Step::kSwap : Step::kFilePrevious;
    return;
  }
  const bool settled = !this->request.repeated && !this->swap_uncertain;
  if (settled) {
    this->Reject("the check found faults", std::move(errors));
    return;
  }
  ChangeAnswer answer;
  answer.reason =
      "the check refuses the change now, but an earlier try with this id may still take effect; "
      "ask "
      "again, or apply another change to this subtree, which settles it";
  answer.errors = std::move(errors);
  this->Finish(std::move(answer), false);
}

void SettingsChange::TakeWinner(const StoreReply& reply) {
  const auto winner =
      reply.entries.empty() ? std::nullopt : DecodeSubtreeRecord(reply.entries.front().value);
  if (winner) {
    this->SettleByWinner(*winner);
    return;
  }
  ChangeAnswer answer;
  answer.reason = "version " + std::to_string(this->request.base_version + 1) +
                  ", which would tell, is no longer kept; see the history and the newest version";
  answer.current = this->current;
  this->Finish(std::move(answer), false);
}

void SettingsChange::SettleByWinner(const SubtreeVersion& winner) {
  if (winner.change_id != this->request.change_id) {
    this->Reject("another change, " + winner.change_id + ", made version " +
                 std::to_string(winner.version) + " first; compare, and apply to the newest");
  } else if (winner.document != this->request.document) {
    this->Reject("the change id was used for another document, which is version " +
                 std::to_string(winner.version));
  } else {
    this->Accept();
  }
}

void SettingsChange::TakeFiled(const StoreReply& /*reply*/) {
  // A conflict means that this very version was filed before: versions never change.
  this->step = Step::kSwap;
}

void SettingsChange::TakeSwap(const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk) {
    this->Accept();
    return;
  }
  this->TakeSubtree(reply);
  const bool same_base = this->step == Step::kFilePrevious || this->step == Step::kSwap;
  if (same_base) {
    // The record was written anew without a new version; go on from what is there now.
    this->RetryLater();
  }
}

void SettingsChange::GiveUp() {
  // Without an earlier try and without a swap that may be under way, nothing can take effect.
  const bool swap_in_flight = this->step == Step::kSwap && this->waiting;
  if (!this->request.repeated && !this->swap_uncertain && !swap_in_flight) {
    ChangeAnswer answer;
    answer.result = ChangeResult::kRejected;
    answer.reason = "the key-value service cannot be reached; nothing was changed; try again later";
    this->Finish(std::move(answer), true);
    return;
  }
  ChangeAnswer answer;
  answer.reason =
      "the key-value service does not tell whether the change took effect; ask again with this id";
  this->Finish(std::move(answer), false);
}

void SettingsChange::Reject(const std::string& reason, std::vector<SettingsError> errors) {
  ChangeAnswer answer;
  answer.result = ChangeResult::kRejected;
  answer.reason = reason;
  answer.errors = std::move(errors);
  if (this->current.version != 0) {
    answer.current = this->current;
  }
  this->Finish(std::move(answer), false);
}

void SettingsChange::Accept() {
  if (this->request.base_version > kKeptVersions) {
    // Filed once and never changed, so its key is at its first version; a failure leaves it there.
    const std::uint64_t oldest = this->request.base_version - kKeptVersions;
    this->Send(DeleteCall{HistoryKeyOf(this->subtree, oldest), 1});
  }
  ChangeAnswer answer;
  answer.result = ChangeResult::kAccepted;
  answer.version = this->request.base_version + 1;
  this->Finish(std::move(answer), false);
}

void SettingsChange::Finish(ChangeAnswer answer, bool store_unreachable) {
  answer.subtree = this->subtree;
  this->step = Step::kDone;
  this->waiting = false;
  this->actions.emplace_back(
      ChangeReport{EventRecord{internal::EventOf(answer.result),
                               {{"subtree", this->subtree},
                                {"change", this->request.change_id},
                                {"base", std::to_string(this->request.base_version)},
                                {"reason", answer.reason}}}});
  this->actions.emplace_back(ChangeFinished{std::move(answer), store_unreachable});
}

}  // namespace pistachio
