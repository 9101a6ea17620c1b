#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "pistachio/connection/store/calls.h"
#include "pistachio/process/runtime/clock.h"
#include "pistachio/process/runtime/event_catalogue.h"
#include "pistachio/version/hierarchy.h"
#include "pistachio/version/operator_api.h"

namespace pistachio {

/// \brief Times of one change.
struct ChangeTiming {
  Duration retry_every = std::chrono::milliseconds(200);
  Duration give_up_after = std::chrono::seconds(10);
};

// ---- Events.

/// \brief The change begins, or time has passed.
struct ChangeTick {};
struct ChangeStoreAnswered {
  std::uint64_t call_id = 0;
  StoreReply reply;
};
using ChangeEvent = std::variant<ChangeTick, ChangeStoreAnswered>;

// ---- Actions.

struct ChangeCallStore {
  std::uint64_t call_id = 0;
  StoreRole role = StoreRole::kOperator;
  StoreCall call;
};
/// \brief The change is over; answer the operator.
struct ChangeFinished {
  ChangeAnswer answer;
  bool store_unreachable = false;  ///< rejected only because the service was never reached
};
struct ChangeReport {
  EventRecord event;
};
using ChangeAction = std::variant<ChangeCallStore, ChangeFinished, ChangeReport>;

/// \brief Carries one change of a subtree to a certain end where there is one.
///
/// Reads what the hierarchy holds now, checks the change against it, files the version that it
/// replaces under its own key, and only then swaps the newest version by compare-and-swap. So every
/// version below the newest one stays readable, and with it the id of the change that made it: a
/// lost answer, or the same id asked again later, is settled by reading back. While the base
/// version is still the newest, an uncertain swap is sent again, for the old one may still arrive.
/// One call at a time. Pure: events in, actions out.
class SettingsChange {
 public:
  /// \pre \a subtree is `root` or a team's name, and the operator may change it
  SettingsChange(std::string subtree, ChangeRequest request, const ChangeTiming& timing,
                 TimePoint now);

  std::vector<ChangeAction> Handle(const ChangeEvent& event, TimePoint now);

  /// \returns true once ChangeFinished was returned; later events change nothing.
  bool finished() const { return this->step == Step::kDone; }

 private:
  enum class Step {
    kReadRoot,      ///< read what the check needs
    kReadSubtree,   ///< read the version that it would replace
    kReadWinner,    ///< read who made the version after the base
    kFilePrevious,  ///< file the version that is to be replaced
    kSwap,          ///< the point from which the change is accepted
    kDone,
  };

  void Send(const StoreCall& call);
  void SendForStep();
  void HandleReply(const StoreReply& reply);
  void RetryLater();
  void TakeRoot(const StoreReply& reply);
  void TakeSubtree(const StoreReply& reply);
  void TakeWinner(const StoreReply& reply);
  void TakeFiled(const StoreReply& reply);
  void TakeSwap(const StoreReply& reply);
  void CompareWithCurrent(const StoreEntry& entry);
  void CheckAgainstHierarchy();
  void SettleByWinner(const SubtreeVersion& winner);
  void GiveUp();
  void Reject(const std::string& reason, std::vector<SettingsError> errors = {});
  void Accept();
  void Finish(ChangeAnswer answer, bool store_unreachable);

  std::string subtree;
  ChangeRequest request;
  ChangeTiming timing;
  Step step = Step::kReadRoot;
  TimePoint deadline;
  TimePoint now;
  TimePoint send_at;     ///< when the step's call is to be sent again
  bool waiting = false;  ///< a call is under way
  std::uint64_t last_call = 0;
  bool swap_uncertain = false;  ///< a swap was sent whose end is not known
  Hierarchy hierarchy;
  StoreEntry current_entry;
  SubtreeVersion current;
  std::vector<ChangeAction> actions;
};

}  // namespace pistachio
