#include "pistachio/request/request_handler.h"

#include <algorithm>

#include "pistachio/process/ownership/store_keys.h"
#include "pistachio/process/runtime/random.h"
#include "pistachio/process/scheduling/record_codec.h"

namespace pistachio {

namespace internal {

/// Maximum number of submissions whose cell is remembered, and of those whose closing key is: as
/// many as a host handles in the time for which the store keeps an ended submission.
constexpr std::size_t kMaxRememberedSubmissions = 20000;
/// Maximum number of cells to which a cancel follows a submission that is moved meanwhile.
constexpr std::uint32_t kMaxCancelAttempts = 6;

CallerAnswer MakeAnswer(Outcome outcome, const std::string& reason = "") {
  CallerAnswer answer;
  answer.outcome = outcome;
  answer.reason = reason;
  return answer;
}

CallerAnswer MakeStateAnswer(SubmissionState state) {
  CallerAnswer answer = MakeAnswer(Outcome::kState);
  answer.state = state;
  return answer;
}

/// \returns a number in [0, 1) that differs between submissions.
double FractionOf(const SubmissionId& id) {
  constexpr std::uint64_t kFractionSteps = 1024;
  return static_cast<double>(StableHash(id.str()) % kFractionSteps) /
         static_cast<double>(kFractionSteps);
}

}  // namespace internal

RequestHandler::RequestHandler(const RequestHandlerSettings& settings,
                               RequestHandlerCallbacks callbacks)
    : settings(settings),
      callbacks(std::move(callbacks)),
      store(settings.store, {this->callbacks.store, this->callbacks.is_store_reachable,
                             this->callbacks.store_outage_duration}),
      closer(settings.closer, {this->callbacks.store, this->callbacks.is_store_reachable}),
      cancel_closer(settings.cancel_closer,
                    {this->callbacks.store, this->callbacks.is_store_reachable}),
      load_returns(settings.returns),
      store_returns(settings.returns) {}

void RequestHandler::Tick(TimePoint tick_now) {
  this->now = tick_now;
  this->store.Tick(tick_now);
  this->closer.Tick(tick_now);
  this->cancel_closer.Tick(tick_now);
  this->load_returns.DropExpired(tick_now);
  this->store_returns.DropExpired(tick_now);
}

CallerAnswer RequestHandler::Unavailable(const std::string& reason) const {
  // The expected remaining time of an outage grows with the time that it has lasted.
  const auto outage =
      std::chrono::duration_cast<std::chrono::seconds>(this->callbacks.store_outage_duration());
  CallerAnswer answer = internal::MakeAnswer(Outcome::kUnavailable, reason);
  answer.retry_after =
      std::clamp(outage, this->settings.min_retry_after, this->settings.max_retry_after);
  return answer;
}

void RequestHandler::Handle(const CallerRequest& request,
                            const ActiveConfiguration& active_configuration,
                            const ClusterView& view, TimePoint arrived_at,
                            std::uint64_t arrival_revision, WallTime wall,
                            const AnswerCallback& done) {
  const bool outdated =
      arrived_at - active_configuration.confirmed_at > this->settings.max_configuration_age;
  if (active_configuration.configuration->version == 0) {
    done(active_configuration.known_missing && !outdated
             ? this->Unavailable("no-configuration")
             : internal::MakeAnswer(Outcome::kInDoubt, "no-configuration"));
    return;
  }
  const auto caller = [&](const auto& typed_request) {
    return Caller{this->store.DeadlineOf(arrived_at, typed_request.caller_wait), done,
                  arrival_revision};
  };
  if (const auto* submit = std::get_if<SubmitRequest>(&request)) {
    this->Submit(*submit, active_configuration, view, wall, caller(*submit));
  } else if (const auto* state = std::get_if<StateRequest>(&request)) {
    this->ReadState(state->id, caller(*state));
  } else if (const auto* cancel = std::get_if<CancelRequest>(&request)) {
    this->Cancel(cancel->id, caller(*cancel));
  } else if (std::holds_alternative<PendingRequest>(request) && outdated) {
    done(this->Unavailable("configuration-old"));
  } else if (const auto* pending = std::get_if<PendingRequest>(&request)) {
    done(this->AnswerPending(pending->queue, arrived_at));
  } else if (std::holds_alternative<UnroutedRequest>(request)) {
    // The request may be an attempt of a submission to a queue that another host knows.
    done(outdated ? internal::MakeAnswer(Outcome::kInDoubt, "configuration-old")
                  : internal::MakeAnswer(Outcome::kNoSuchQueue));
  } else {
    const auto& malformed = std::get<MalformedRequest>(request);
    CallerAnswer answer = internal::MakeAnswer(Outcome::kMalformed, malformed.reason);
    answer.malformed_status = malformed.status;
    done(answer);
  }
}

CallerAnswer RequestHandler::AnswerPending(const QueueId& queue, TimePoint asked_at) {
  const PendingCount count = this->callbacks.count_pending(queue);
  CallerAnswer answer = this->Unavailable("count-old");
  if (count.IsComplete(asked_at, this->settings.max_count_age)) {
    answer = internal::MakeAnswer(Outcome::kPending);
    answer.pending = count.Total();
  }
  this->events.push_back(
      {EventCode::kPendingCounted,
       {{"queue", queue.str()},
        {"outcome", NameOf(answer.outcome)},
        {"waiting", std::to_string(count.submissions.waiting)},
        {"unconfirmed", std::to_string(count.submissions.unconfirmed)},
        {"cells", std::to_string(count.cells)},
        {"missing", std::to_string(count.missing_cells)},
        {"moves-unknown", count.moves_unknown ? "1" : "0"},
        {"oldest", count.oldest_cell.str()},
        {"age-ms",
         count.complete_until ? MillisecondsText(asked_at - *count.complete_until) : "unknown"}}});
  return answer;
}

void RequestHandler::Submit(const SubmitRequest& request,
                            const ActiveConfiguration& active_configuration,
                            const ClusterView& view, WallTime wall, const Caller& caller) {
  if (this->cell_cache.count(request.id) != 0) {
    caller.done(internal::MakeAnswer(Outcome::kAccepted, "known-before"));
    return;
  }
  std::vector<CellCandidate> candidates = this->callbacks.candidates(request);
  std::optional<CallerAnswer> refusal = this->ApplyForecasts(request, view, &candidates);
  const auto cell = ChooseCell(candidates, DemandOf(request.spec), internal::FractionOf(request.id),
                               this->settings.cell_choice);
  if (!cell && !refusal) {
    refusal = this->Unavailable("no-targets");
  }
  if (!refusal && !candidates.front().forecast) {
    refusal = this->CheckBacklog(request, *cell, view);
  }
  if (refusal) {
    this->Refuse(request.id, *refusal, caller);
    return;
  }
  auto submission = std::make_shared<SubmissionWrite>();
  submission->accepted = AcceptedSubmission{request.id, request.queue, request.spec, wall, 0, ""};
  submission->cell = *cell;
  const auto closed = this->closed_revisions.find(request.id);
  submission->closed_revision = closed == this->closed_revisions.end() ? 0 : closed->second;
  if (submission->closed_revision > caller.arrival_revision) {
    caller.done(internal::MakeAnswer(Outcome::kInDoubt, "closed-meanwhile"));
    return;
  }
  // The revision of the configuration is a precondition, so a submission that a newer configuration
  // forbids is not accepted. That of the id makes the write harmless when it is executed twice, and
  // that of the closing key after a refusal.
  submission->write.preconditions = {
      {store_keys::AssignedCell(request.id), 0},
      {active_configuration.source.key, active_configuration.source.revision},
      {store_keys::Closed(request.id), submission->closed_revision}};
  submission->write.puts = {
      Put{store_keys::AssignedCell(request.id), cell->str(), 0},
      Put{store_keys::Accepted(*cell, request.id), EncodeAccepted(submission->accepted), 0}};
  this->SendSubmission(submission, caller);
}

void RequestHandler::SendSubmission(const std::shared_ptr<SubmissionWrite>& submission,
                                    const Caller& caller) {
  this->store.Send(submission->write, caller.deadline,
                   [this, submission, caller](const StoreReply& reply, bool in_doubt) {
                     this->OnSubmitted(submission, reply, in_doubt, caller);
                   });
}

std::optional<CallerAnswer> RequestHandler::CheckBacklog(const SubmitRequest& request,
                                                         const CellId& cell,
                                                         const ClusterView& view) const {
  const auto load = view.LoadOf(cell);
  const Duration backlog = load ? load->backlog : Duration(0);
  const auto retry_delay =
      OverloadRetryAfter(request.queue.priority, ObjectiveOf(request.queue, request.spec), backlog,
                         internal::FractionOf(request.id), this->settings.admission);
  if (!retry_delay) {
    return std::nullopt;
  }
  CallerAnswer answer = internal::MakeAnswer(Outcome::kRejectedForLoad, "backlog");
  answer.retry_after = retry_delay;
  return answer;
}

std::optional<CallerAnswer> RequestHandler::ApplyForecasts(const SubmitRequest& request,
                                                           const ClusterView& view,
                                                           std::vector<CellCandidate>* candidates) {
  const bool long_running = DemandOf(request.spec).long_running;
  const bool complete = std::all_of(
      candidates->begin(), candidates->end(),
      [](const CellCandidate& candidate) { return candidate.room.forecast.has_value(); });
  if (!this->settings.forecast.enabled || long_running || request.queue.priority == 0 ||
      candidates->size() < 2 || !complete) {
    return std::nullopt;
  }
  const Duration objective = ObjectiveOf(request.queue, request.spec);
  // The callers return to any cell.
  const double reserved = this->load_returns.ReservedAhead(request.id, request.queue.priority) /
                          static_cast<double>(candidates->size());
  std::optional<Forecast> best;
  std::vector<CellCandidate> worthwhile;
  const std::uint32_t min_targets = DemandOf(request.spec).min_targets;
  bool any_eligible = false;
  for (CellCandidate& candidate : *candidates) {
    ForecastLoad load = *candidate.room.forecast;
    if (reserved > 0.0) {
      load.waiting[request.queue.priority] += reserved;
    }
    candidate.forecast =
        ForecastEnd(request.spec, request.queue.priority, load, this->settings.forecast);
    const bool eligible = candidate.targets >= min_targets && candidate.owned;
    any_eligible = any_eligible || eligible;
    if (!eligible) {
      continue;
    }
    best = !best || candidate.forecast->median < best->median ? candidate.forecast : best;
    if (IsWorthAccepting(*candidate.forecast, request.queue.priority, objective,
                         this->settings.forecast)) {
      worthwhile.push_back(candidate);
    }
  }
  if (!any_eligible) {
    return std::nullopt;
  }
  if (!worthwhile.empty()) {
    *candidates = std::move(worthwhile);
    return std::nullopt;
  }
  return this->RefuseForLoad(request, view, *candidates, *best);
}

CallerAnswer RequestHandler::RefuseForLoad(const SubmitRequest& request, const ClusterView& view,
                                           const std::vector<CellCandidate>& candidates,
                                           const Forecast& best) {
  constexpr double kWorkPerCoreSecond = 1e9;
  double end_rate = 0.0;
  for (const CellCandidate& candidate : candidates) {
    const ForecastLoad& load = *candidate.room.forecast;
    const double least =
        (load.cores_in_use + load.free_cores) * this->settings.forecast.min_rate_share;
    end_rate += std::max(load.end_rate, least);
  }
  // Each host promises its share of the work that ends.
  const double hosts = static_cast<double>(std::max<std::size_t>(1, view.Members().size()));
  const Duration worthless_after =
      std::chrono::duration_cast<Duration>(ObjectiveOf(request.queue, request.spec) *
                                           this->settings.forecast.worthless_after_objectives);
  CallerAnswer answer = internal::MakeAnswer(Outcome::kRejectedForLoad,
                                             "forecast-ms=" + MillisecondsText(best.median));
  answer.retry_after = this->load_returns.Promise(
      request.id, request.queue.priority, DemandOf(request.spec).work / kWorkPerCoreSecond,
      end_rate / hosts, best.median - worthless_after, this->now);
  return answer;
}

CallerAnswer RequestHandler::UndecidedByStore(const SubmissionId& id, const std::string& reason) {
  CallerAnswer answer = this->Unavailable(reason);
  answer.outcome = Outcome::kInDoubt;
  answer.retry_after = this->store_returns.Promise(
      id, 0, 1.0, this->settings.store_returns_per_second, *answer.retry_after, this->now);
  return answer;
}

void RequestHandler::OnSubmitted(const std::shared_ptr<SubmissionWrite>& submission,
                                 const StoreReply& reply, bool in_doubt, const Caller& caller) {
  const SubmissionId& id = submission->accepted.id;
  if (reply.status == StoreStatus::kOk) {
    this->RememberCell(id, AssignedCell{submission->cell, reply.revision});
    this->callbacks.on_accepted(submission->cell, submission->accepted);
    this->load_returns.Remove(id);
    this->store_returns.Remove(id);
    if (Cell* cell = this->callbacks.find_owned_cell(submission->cell)) {
      cell->Accept(submission->accepted, reply.revision, this->now);
    }
    caller.done(internal::MakeAnswer(Outcome::kAccepted, submission->cell.str()));
    return;
  }
  if (reply.status != StoreStatus::kConflict) {
    this->OnSubmitFailed(id, reply.reason, in_doubt, caller);
    return;
  }
  const StoreItem assigned_cell = FindItem(reply, store_keys::AssignedCell(id));
  if (assigned_cell.revision != 0) {
    this->RememberCell(id, AssignedCell{CellId(assigned_cell.value), assigned_cell.revision});
    caller.done(internal::MakeAnswer(Outcome::kAccepted, "known-before"));
    return;
  }
  const StoreItem closed = FindItem(reply, store_keys::Closed(id));
  if (closed.revision != submission->closed_revision) {
    this->OnSubmissionClosed(submission, closed.revision, caller);
    return;
  }
  // The write would also need the earlier configuration, so an attempt in doubt has no effect.
  const StoreItem newer_configuration = FindItem(reply, submission->write.preconditions[1].key);
  if (newer_configuration.revision != 0) {
    this->callbacks.on_newer_configuration(newer_configuration);
  }
  caller.done(internal::MakeAnswer(Outcome::kConfigurationChanged));
}

void RequestHandler::OnSubmissionClosed(const std::shared_ptr<SubmissionWrite>& submission,
                                        std::uint64_t closed_revision, const Caller& caller) {
  const SubmissionId& id = submission->accepted.id;
  // Earlier sends of the write need the earlier revision, so they have no effect any more. The
  // promise of a refusal covers this attempt if it came before.
  if (closed_revision > caller.arrival_revision) {
    caller.done(internal::MakeAnswer(Outcome::kInDoubt, "closed-meanwhile"));
    return;
  }
  this->RememberClosed(id, closed_revision);
  submission->closed_revision = closed_revision;
  submission->write.preconditions.back().revision = closed_revision;
  this->SendSubmission(submission, caller);
}

void RequestHandler::OnSubmitFailed(const SubmissionId& id, const std::string& reason,
                                    bool in_doubt, const Caller& caller) {
  const auto fail = [this, id, reason, caller] {
    caller.done(this->UndecidedByStore(id, "store: " + reason));
  };
  if (!in_doubt || this->now >= caller.deadline.answer_by) {
    fail();
    return;
  }
  const CallerDeadline read_deadline{caller.deadline.answer_by, caller.deadline.answer_by};
  this->FindCell(id, read_deadline, [fail, caller](StoreStatus status, const AssignedCell& cell) {
    if (status == StoreStatus::kOk) {
      caller.done(internal::MakeAnswer(Outcome::kAccepted, cell.cell.str()));
    } else {
      fail();
    }
  });
}

void RequestHandler::Refuse(const SubmissionId& id, const CallerAnswer& refusal,
                            const Caller& caller) {
  this->closer.Close(
      id, caller.deadline.answer_by,
      [this, id, refusal, caller](const SubmissionCloser::Result& result) {
        switch (result.status) {
          case SubmissionCloser::Status::kClosed:
            this->RememberClosed(id, result.item.revision);
            caller.done(refusal);
            return;
          case SubmissionCloser::Status::kStored:
            this->RememberCell(id, AssignedCell{CellId(result.item.value), result.item.revision});
            caller.done(internal::MakeAnswer(Outcome::kAccepted, "known-before"));
            return;
          case SubmissionCloser::Status::kUnknown:
            caller.done(this->UndecidedByStore(id, refusal.reason));
            return;
        }
      });
}

void RequestHandler::FindCell(
    const SubmissionId& id, const CallerDeadline& deadline,
    const std::function<void(StoreStatus, const AssignedCell&)>& on_result) {
  const auto cached = this->cell_cache.find(id);
  if (cached != this->cell_cache.end()) {
    on_result(StoreStatus::kOk, cached->second);
    return;
  }
  this->store.Send(
      ReadKey{store_keys::AssignedCell(id)}, deadline,
      [this, id, on_result](const StoreReply& reply, bool /*in_doubt*/) {
        if (reply.status == StoreStatus::kOk && !reply.items.empty()) {
          const AssignedCell cell{CellId(reply.items.front().value), reply.items.front().revision};
          this->RememberCell(id, cell);
          on_result(StoreStatus::kOk, cell);
        } else {
          const bool missing = reply.status == StoreStatus::kMissing;
          on_result(missing ? StoreStatus::kMissing : StoreStatus::kRefused, AssignedCell());
        }
      });
}

void RequestHandler::ReadState(const SubmissionId& id, const Caller& caller) {
  this->FindCell(
      id, caller.deadline, [this, id, caller](StoreStatus status, const AssignedCell& cell) {
        if (status == StoreStatus::kMissing) {
          caller.done(internal::MakeAnswer(Outcome::kUnknownId));
          return;
        }
        if (status != StoreStatus::kOk) {
          caller.done(this->Unavailable("store-away"));
          return;
        }
        const Cell* owned_cell = this->callbacks.find_owned_cell(cell.cell);
        const auto state = owned_cell == nullptr ? std::nullopt : owned_cell->DurableState(id);
        if (state) {
          caller.done(internal::MakeStateAnswer(*state));
          return;
        }
        this->ReadProgress(id, cell, caller);
      });
}

void RequestHandler::AnswerWithoutProgress(const SubmissionId& id, const AssignedCell& cell,
                                           const Caller& caller) {
  this->ForgetCell(id);
  this->FindCell(id, caller.deadline,
                 [this, id, cell, caller](StoreStatus status, const AssignedCell& latest) {
                   if (status == StoreStatus::kMissing) {
                     caller.done(internal::MakeAnswer(Outcome::kUnknownId));
                   } else if (status != StoreStatus::kOk) {
                     caller.done(this->Unavailable("store-away"));
                   } else if (latest.revision == cell.revision) {
                     caller.done(internal::MakeStateAnswer(SubmissionState::kQueued));
                   } else {
                     this->ReadProgress(id, latest, caller);
                   }
                 });
}

void RequestHandler::ReadProgress(const SubmissionId& id, const AssignedCell& cell,
                                  const Caller& caller) {
  this->store.Send(ReadKey{store_keys::Progress(cell.cell, id)}, caller.deadline,
                   [this, id, cell, caller](const StoreReply& reply, bool /*in_doubt*/) {
                     if (reply.status == StoreStatus::kMissing) {
                       this->AnswerWithoutProgress(id, cell, caller);
                       return;
                     }
                     const auto state = reply.status == StoreStatus::kOk && !reply.items.empty()
                                            ? DecodeState(reply.items.front().value)
                                            : std::nullopt;
                     caller.done(state ? internal::MakeStateAnswer(*state)
                                       : this->Unavailable("store: " + reply.reason));
                   });
}

void RequestHandler::Cancel(const SubmissionId& id, const Caller& caller) {
  this->FindCell(id, caller.deadline,
                 [this, id, caller](StoreStatus status, const AssignedCell& cell) {
                   if (status == StoreStatus::kMissing) {
                     this->CancelUnknown(id, 0, caller);
                   } else if (status != StoreStatus::kOk) {
                     caller.done(this->Unavailable("store-away"));
                   } else {
                     this->SendCancel(id, cell, 0, caller);
                   }
                 });
}

void RequestHandler::CancelUnknown(const SubmissionId& id, std::uint32_t attempts,
                                   const Caller& caller) {
  this->cancel_closer.Close(
      id, caller.deadline.answer_by,
      [this, id, attempts, caller](const SubmissionCloser::Result& result) {
        switch (result.status) {
          case SubmissionCloser::Status::kClosed:
            this->RememberClosed(id, result.item.revision);
            caller.done(internal::MakeAnswer(Outcome::kUnknownId));
            return;
          case SubmissionCloser::Status::kStored: {
            const AssignedCell cell{CellId(result.item.value), result.item.revision};
            this->RememberCell(id, cell);
            this->SendCancel(id, cell, attempts, caller);
            return;
          }
          case SubmissionCloser::Status::kUnknown:
            caller.done(this->Unavailable("not-closed"));
            return;
        }
      });
}

void RequestHandler::SendCancel(const SubmissionId& id, const AssignedCell& cell,
                                std::uint32_t attempts, const Caller& caller) {
  // The mark is written only where the submission is, as an owner reads the marks of its own cell.
  const std::string mark = store_keys::CancelMark(cell.cell, id);
  Transaction cancellation;
  cancellation.preconditions = {{mark, 0}, {store_keys::AssignedCell(id), cell.revision}};
  cancellation.puts = {Put{mark, "", 0}};
  this->store.Send(
      cancellation, caller.deadline,
      [this, id, cell, attempts, mark, caller](const StoreReply& reply, bool in_doubt) {
        const bool conflict = reply.status == StoreStatus::kConflict;
        const bool marked = conflict && FindItem(reply, mark).revision != 0;
        if (reply.status == StoreStatus::kOk || marked) {
          const std::uint64_t revision = marked ? FindItem(reply, mark).revision : reply.revision;
          this->OnCancelled(id, cell.cell, revision, caller);
        } else if (conflict) {
          this->OnCancelConflict(id, cell, attempts, reply, caller);
        } else {
          this->OnCancelFailed(id, cell.cell, reply.reason, in_doubt, caller);
        }
      });
}

void RequestHandler::OnCancelled(const SubmissionId& id, const CellId& cell, std::uint64_t revision,
                                 const Caller& caller) {
  if (Cell* owned_cell = this->callbacks.find_owned_cell(cell)) {
    owned_cell->Cancel(id, {"own-request", revision}, this->now);
  }
  caller.done(internal::MakeAnswer(Outcome::kCancelled));
}

void RequestHandler::OnCancelConflict(const SubmissionId& id, const AssignedCell& cell,
                                      std::uint32_t attempts, const StoreReply& reply,
                                      const Caller& caller) {
  const StoreItem assigned = FindItem(reply, store_keys::AssignedCell(id));
  if (assigned.revision == 0) {
    this->ForgetCell(id);
    if (attempts < internal::kMaxCancelAttempts) {
      this->CancelUnknown(id, attempts + 1, caller);
    } else {
      caller.done(this->Unavailable("moved"));
    }
    return;
  }
  const AssignedCell latest{CellId(assigned.value), assigned.revision};
  this->RememberCell(id, latest);
  if (attempts < internal::kMaxCancelAttempts && latest.revision != cell.revision) {
    this->SendCancel(id, latest, attempts + 1, caller);
    return;
  }
  // An attempt in doubt has no effect: the mark needs the revision before the move, and a marked
  // submission does not move.
  caller.done(this->Unavailable("moved"));
}

void RequestHandler::OnCancelFailed(const SubmissionId& id, const CellId& cell,
                                    const std::string& reason, bool in_doubt,
                                    const Caller& caller) {
  if (!in_doubt) {
    caller.done(this->Unavailable("store: " + reason));
    return;
  }
  if (this->now >= caller.deadline.answer_by) {
    caller.done(internal::MakeAnswer(Outcome::kInDoubt, reason));
    return;
  }
  const CallerDeadline read_deadline{caller.deadline.answer_by, caller.deadline.answer_by};
  this->store.Send(ReadKey{store_keys::CancelMark(cell, id)}, read_deadline,
                   [this, id, cell, reason, caller](const StoreReply& reply, bool /*in_doubt*/) {
                     if (reply.status == StoreStatus::kOk && !reply.items.empty()) {
                       this->OnCancelled(id, cell, reply.items.front().revision, caller);
                     } else {
                       caller.done(internal::MakeAnswer(Outcome::kInDoubt, reason));
                     }
                   });
}

void RequestHandler::RememberClosed(const SubmissionId& id, std::uint64_t revision) {
  if (this->closed_revisions.insert_or_assign(id, revision).second) {
    this->closed_order.push_back(id);
  }
  if (this->closed_order.size() > internal::kMaxRememberedSubmissions) {
    this->closed_revisions.erase(this->closed_order.front());
    this->closed_order.pop_front();
  }
}

void RequestHandler::ForgetCell(const SubmissionId& id) { this->cell_cache.erase(id); }

void RequestHandler::RememberCell(const SubmissionId& id, const AssignedCell& cell) {
  const auto [known, added] = this->cell_cache.emplace(id, cell);
  if (!added) {
    known->second = known->second.revision < cell.revision ? cell : known->second;
    return;
  }
  this->cell_cache_order.push_back(id);
  if (this->cell_cache_order.size() > internal::kMaxRememberedSubmissions) {
    this->cell_cache.erase(this->cell_cache_order.front());
    this->cell_cache_order.pop_front();
  }
}

}  // namespace pistachio
