#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "pistachio/connection/store.h"
#include "pistachio/process/ownership/cluster_view.h"
#include "pistachio/process/ownership/pending_count.h"
#include "pistachio/process/scheduling/admission.h"
#include "pistachio/process/scheduling/cell.h"
#include "pistachio/request/caller_request.h"
#include "pistachio/request/cell_choice.h"
#include "pistachio/request/return_schedule.h"
#include "pistachio/request/store_retries.h"
#include "pistachio/request/submission_closer.h"

namespace pistachio {

/// \brief Timeouts and limits of request handling.
struct RequestHandlerSettings {
  StoreRetrySettings store;
  SubmissionCloserSettings closer;
  /// For cancels of unknown submissions. They have writes of their own, so that a flood of them
  /// delays no refusal and costs a host ten writes a second.
  SubmissionCloserSettings cancel_closer = CancelCloserSettings();
  /// Maximum age of the configuration for answering that a queue does not exist. A queue that an
  /// older configuration lacks may be a new one.
  Duration max_configuration_age = std::chrono::milliseconds(1700);
  /// Maximum age of a count of waiting submissions: those that were accepted earlier are all
  /// considered.
  Duration max_count_age = std::chrono::seconds(4);
  /// Shortest and longest wait that callers are told to keep before a retry while the store is
  /// unreachable. Between these bounds, the wait is the time that the outage has lasted so far. A
  /// caller makes four attempts: if the first is 1 s into an outage, the waits are 1, 2 and 4 s and
  /// the last attempt is 8 s into it.
  std::chrono::seconds min_retry_after{1};
  std::chrono::seconds max_retry_after{4};
  AdmissionSettings admission;
  ForecastSettings forecast;
  ReturnScheduleSettings returns;
  /// Returns a second that a host promises to callers that a store outage refused. The store takes
  /// 1,200 writes a second, and there are some 40 hosts.
  double store_returns_per_second = 20.0;
  CellChoiceSettings cell_choice;
};

/// \brief The active configuration and the store item that it was read from.
struct ActiveConfiguration {
  std::shared_ptr<const Configuration> configuration;
  StoreItem source;          ///< only key and revision are used; the value may be empty
  TimePoint confirmed_at{};  ///< when the store last confirmed it as the latest
  /// The store was read and contained none, so no submission was ever accepted.
  bool known_missing = false;
};

/// \brief Functions of the process that request handling depends on.
struct RequestHandlerCallbacks {
  StorePort store;
  /// Returns the cell if this host owns it, or nullptr.
  std::function<Cell*(const CellId&)> find_owned_cell;
  /// Returns all cells with their load and the number of ready targets that can run the request.
  std::function<std::vector<CellCandidate>(const SubmitRequest&)> candidates;
  /// Returns the number of waiting submissions of a queue, as far as this host knows.
  std::function<PendingCount(const QueueId&)> count_pending;
  /// Called with the cell of a submission that was accepted here.
  std::function<void(const CellId&, const AcceptedSubmission&)> on_accepted;
  std::function<bool()> is_store_reachable;
  /// Returns the length of the store outage; zero while the store is reachable.
  std::function<Duration()> store_outage_duration;
  /// Called with the store's item of the configuration if it is newer than the active one.
  std::function<void(const StoreItem&)> on_newer_configuration;
};

/// \brief Handles callers' requests by reading and writing the store.
///
/// Not thread-safe; used on the control thread only. A submission is refused only once it is closed
/// in the store, see SubmissionCloser: kRejectedForLoad and kUnavailable promise that no attempt
/// made until then runs. Where the store cannot say so in time, the answer is kInDoubt. Store calls
/// are repeated within the time that the caller waits, see StoreRetries.
class RequestHandler {
 public:
  using AnswerCallback = std::function<void(const CallerAnswer&)>;

  RequestHandler(const RequestHandlerSettings& settings, RequestHandlerCallbacks callbacks);

  /// \brief Handles one request.
  /// \param arrived_at when the request arrived; the caller's wait counts from then
  /// \param arrival_revision latest store revision that this host knew then. What was refused later
  ///   includes this attempt.
  /// \param done called exactly once, before or after this function returns
  void Handle(const CallerRequest& request, const ActiveConfiguration& active_configuration,
              const ClusterView& view, TimePoint arrived_at, std::uint64_t arrival_revision,
              WallTime wall, const AnswerCallback& done);

  /// \brief Sends the store calls of waiting requests that are due.
  void Tick(TimePoint now);

  /// \brief Answers all requests that wait for the store by the first tick at or after \a end_at.
  ///
  /// A request whose write the store has not answered by then is answered as in doubt. Requests
  /// that arrive from now on are refused if they need the store.
  void BeginStop(TimePoint end_at) {
    this->store.BeginStop(end_at);
    this->closer.BeginStop(end_at);
    this->cancel_closer.BeginStop(end_at);
  }
  /// \returns true if a request waits for the store.
  bool HasOpenRequests() const {
    return this->store.open() != 0 || this->closer.open() != 0 || this->cancel_closer.open() != 0;
  }

  /// \returns the events logged since the last call.
  std::vector<EventRecord> TakeEvents() { return std::exchange(this->events, {}); }

 private:
  /// The cell of a submission, as the store had it at \a revision.
  struct AssignedCell {
    CellId cell;
    std::uint64_t revision = 0;
  };
  /// A caller that waits for an answer.
  struct Caller {
    CallerDeadline deadline;
    AnswerCallback done;
    std::uint64_t arrival_revision = 0;  ///< latest store revision known when the request came
  };
  /// A submission that is being written to the store.
  struct SubmissionWrite {
    AcceptedSubmission accepted;
    CellId cell;
    Transaction write;
    std::uint64_t closed_revision = 0;  ///< of the closing key, as the write requires it
  };

  /// \returns the number of waiting submissions, or that it is unavailable if this host does not
  ///   know it.
  CallerAnswer AnswerPending(const QueueId& queue, TimePoint asked_at);
  void Submit(const SubmitRequest& request, const ActiveConfiguration& active_configuration,
              const ClusterView& view, WallTime wall, const Caller& caller);
  /// Predicts the end of the submission in each cell and removes the cells in which it would be
  /// worth nothing. Does nothing if the load record of a cell lacks the data for it.
  /// \returns the refusal if no cell is left
  std::optional<CallerAnswer> ApplyForecasts(const SubmitRequest& request, const ClusterView& view,
                                             std::vector<CellCandidate>* candidates);
  /// \returns the refusal for load, with a return promised by the rate at which work ends.
  /// \param best earliest predicted end in any cell
  CallerAnswer RefuseForLoad(const SubmitRequest& request, const ClusterView& view,
                             const std::vector<CellCandidate>& candidates, const Forecast& best);
  /// \returns the answer for a submission that the store has not decided. Returns after an outage
  ///   are spread.
  CallerAnswer UndecidedByStore(const SubmissionId& id, const std::string& reason);
  /// \returns the refusal if the cell's backlog is too long for the submission, by records without
  ///   the data for forecasts.
  std::optional<CallerAnswer> CheckBacklog(const SubmitRequest& request, const CellId& cell,
                                           const ClusterView& view) const;
  /// Sends the write of a submission.
  void SendSubmission(const std::shared_ptr<SubmissionWrite>& submission, const Caller& caller);
  /// \param in_doubt an attempt had no answer and may still take effect
  void OnSubmitted(const std::shared_ptr<SubmissionWrite>& submission, const StoreReply& reply,
                   bool in_doubt, const Caller& caller);
  /// Answers for a submission that could not be written in time, after a read if it is in doubt.
  void OnSubmitFailed(const SubmissionId& id, const std::string& reason, bool in_doubt,
                      const Caller& caller);
  /// Handles the answer to a write that found the submission closed by another attempt.
  void OnSubmissionClosed(const std::shared_ptr<SubmissionWrite>& submission,
                          std::uint64_t closed_revision, const Caller& caller);
  void ReadState(const SubmissionId& id, const Caller& caller);
  /// Reads the state from the progress record in \a cell.
  void ReadProgress(const SubmissionId& id, const AssignedCell& cell, const Caller& caller);
  /// Answers for a submission without a progress record in \a cell. It has had no run there; it may
  /// have been moved to another cell or deleted since the cell was looked up.
  void AnswerWithoutProgress(const SubmissionId& id, const AssignedCell& cell,
                             const Caller& caller);
  void Cancel(const SubmissionId& id, const Caller& caller);
  /// Answers the cancel of a submission that is not in the store. Closes it first, so that no write
  /// of an earlier attempt stores it afterwards; cancels it if one has stored it meanwhile.
  void CancelUnknown(const SubmissionId& id, std::uint32_t attempts, const Caller& caller);
  /// \param attempts number of cells in which the submission was looked for before
  void SendCancel(const SubmissionId& id, const AssignedCell& cell, std::uint32_t attempts,
                  const Caller& caller);
  /// Records in the owned cell, if this host owns it, and answers that the cancellation is stored.
  /// \param revision store revision of the cancel mark
  void OnCancelled(const SubmissionId& id, const CellId& cell, std::uint64_t revision,
                   const Caller& caller);
  /// Handles the answer to a cancel that found the submission moved or deleted.
  void OnCancelConflict(const SubmissionId& id, const AssignedCell& cell, std::uint32_t attempts,
                        const StoreReply& reply, const Caller& caller);
  /// Answers for a cancel that could not be written in time, after a read if it is in doubt.
  void OnCancelFailed(const SubmissionId& id, const CellId& cell, const std::string& reason,
                      bool in_doubt, const Caller& caller);
  /// Looks up the cell of a submission.
  /// \param on_result called with kOk and the cell, kMissing, or kRefused if the store fails
  void FindCell(const SubmissionId& id, const CallerDeadline& deadline,
                const std::function<void(StoreStatus, const AssignedCell&)>& on_result);
  /// Closes the submission and answers with \a refusal, or with kAccepted if it is already stored.
  /// If that cannot be determined, answers with kInDoubt.
  void Refuse(const SubmissionId& id, const CallerAnswer& refusal, const Caller& caller);
  void RememberCell(const SubmissionId& id, const AssignedCell& cell);
  void RememberClosed(const SubmissionId& id, std::uint64_t revision);
  /// Makes the next request for the submission look up its cell in the store.
  void ForgetCell(const SubmissionId& id);
  /// \returns the outcome kUnavailable with the wait before a retry.
  CallerAnswer Unavailable(const std::string& reason) const;

  RequestHandlerSettings settings;
  RequestHandlerCallbacks callbacks;
  StoreRetries store;
  SubmissionCloser closer;
  SubmissionCloser cancel_closer;  ///< for cancels
  ReturnSchedule load_returns;     ///< of callers refused for load
  ReturnSchedule store_returns;    ///< of callers that a store outage refused
  TimePoint now{};                 ///< time of the last tick
  std::unordered_map<SubmissionId, AssignedCell> cell_cache;  ///< cells of recent submissions
  std::deque<SubmissionId> cell_cache_order;                  ///< oldest first, to bound the memory
  /// Closing keys of submissions that this host has refused, by their last revision.
  std::unordered_map<SubmissionId, std::uint64_t> closed_revisions;
  std::deque<SubmissionId> closed_order;  ///< oldest first, to bound the memory
  std::vector<EventRecord> events;
};

}  // namespace pistachio
